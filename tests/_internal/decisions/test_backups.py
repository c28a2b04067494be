"""Choice of the upstream that backs up a run, and when the run may continue there."""

import collections
import dataclasses
import unittest

from cicadapier._internal.decisions import backups
from cicadapier._internal.decisions import load
from cicadapier._internal.decisions import members
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids

MODEL = ids.ModelId("quill")
EAST = ids.FailureDomainId("east")
WEST = ids.FailureDomainId("west")
SOUTH = ids.FailureDomainId("south")


def engine(name, domain, version="3", running=0):
    spec = configuration.Upstream(
        ids.Address("10.0.0.1:80"),
        domain,
        max_in_flight=8,
        incarnation=ids.Incarnation(f"{name}@1"),
    )
    member = members.Member(spec, load.UpstreamLoad(1000.0, 0.0), 0.0)
    member.versions[MODEL] = version
    member.load.in_flight = running
    return member


def engines(**pool_members):
    return {ids.UpstreamId(name): member for name, member in pool_members.items()}


class ChooseBackupTest(unittest.TestCase):
    def _chosen(self, pool_members, router_domain=EAST, request="q"):
        primary = ids.UpstreamId("primary")
        backup = backups.choose_backup(
            pool_members, primary, MODEL, router_domain, ids.RequestId(request)
        )
        return backup.upstream if backup else None

    def test_prefers_a_failure_domain_other_than_that_of_the_primary(self):
        pool_members = engines(
            primary=engine("primary", EAST), b=engine("b", EAST), c=engine("c", WEST, "3", 5)
        )
        self.assertEqual(self._chosen(pool_members), "c")

    def test_prefers_the_failure_domain_of_the_router_where_the_primary_is_elsewhere(self):
        pool_members = engines(
            primary=engine("primary", WEST), b=engine("b", SOUTH), c=engine("c", EAST, "3", 5)
        )
        self.assertEqual(self._chosen(pool_members), "c")

    def test_prefers_the_least_loaded_of_equally_suitable_engines(self):
        pool_members = engines(
            primary=engine("primary", EAST), b=engine("b", WEST, "3", 5), c=engine("c", WEST)
        )
        self.assertEqual(self._chosen(pool_members), "c")

    def test_spreads_the_backups_of_many_runs_over_equally_suitable_engines(self):
        pool_members = engines(primary=engine("primary", EAST))
        pool_members.update(
            engines(**{f"e{number}": engine(f"e{number}", WEST) for number in range(10)})
        )
        chosen = [self._chosen(pool_members, request=f"q{number}") for number in range(200)]
        backups_by_engine = collections.Counter(chosen)
        self.assertEqual(len(backups_by_engine), 10)
        self.assertLess(max(backups_by_engine.values()), 60)

    def test_uses_the_same_failure_domain_where_there_is_no_other(self):
        pool_members = engines(primary=engine("primary", EAST), b=engine("b", EAST))
        self.assertEqual(self._chosen(pool_members), "b")

    def test_requires_a_usable_engine_with_the_same_weights(self):
        loading = engine("d", WEST)
        loading.loading = True
        pool_members = engines(primary=engine("primary", EAST), c=engine("c", WEST, "2"), d=loading)
        self.assertIsNone(self._chosen(pool_members))
        pool_members["primary"].versions.clear()
        self.assertIsNone(self._chosen(pool_members))


class CanContinueTest(unittest.TestCase):
    def setUp(self):
        self.pool_members = engines(primary=engine("primary", EAST), other=engine("other", WEST))
        primary, request = ids.UpstreamId("primary"), ids.RequestId("q")
        self.backup = backups.choose_backup(self.pool_members, primary, MODEL, EAST, request)

    def test_continues_whether_or_not_the_primary_is_still_listed(self):
        self.assertTrue(backups.can_continue(self.pool_members, self.backup))
        del self.pool_members["primary"]
        self.assertTrue(backups.can_continue(self.pool_members, self.backup))

    def test_does_not_continue_on_an_engine_that_is_gone_or_was_restarted(self):
        other = self.pool_members["other"]
        other.spec = dataclasses.replace(other.spec, incarnation=ids.Incarnation("other@2"))
        self.assertFalse(backups.can_continue(self.pool_members, self.backup))
        del self.pool_members["other"]
        self.assertFalse(backups.can_continue(self.pool_members, self.backup))

    def test_does_not_continue_where_either_engine_has_or_may_have_other_weights(self):
        for name in ("primary", "other"):
            with self.subTest(name):
                self.setUp()
                self.pool_members[name].versions[MODEL] = "4"
                self.assertFalse(backups.can_continue(self.pool_members, self.backup))
                self.setUp()
                self.pool_members[name].loading = True
                self.assertFalse(backups.can_continue(self.pool_members, self.backup))


class IsWorthwhileTest(unittest.TestCase):
    def test_long_answers_are_worth_a_backup_and_short_answers_to_long_prompts_are_not(self):
        self.assertTrue(backups.is_worthwhile(826, 300))
        self.assertFalse(backups.is_worthwhile(9190, 13))


if __name__ == "__main__":
    unittest.main()
