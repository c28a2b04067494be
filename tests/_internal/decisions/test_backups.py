"""Where runs are backed up, and when they go on from there."""

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
    made = members.Member(spec, load.UpstreamLoad(1000.0, 0.0), 0.0)
    made.versions[MODEL] = version
    made.load.in_flight = running
    return made


def engines(**found):
    return {ids.UpstreamId(name): made for name, made in found.items()}


class ChooseTest(unittest.TestCase):
    def _chosen(self, found, here=EAST, request="q"):
        first = ids.UpstreamId("first")
        backup = backups.choose_backup(found, first, MODEL, here, ids.RequestId(request))
        return backup.upstream if backup else None

    def test_another_failure_domain_than_the_first_ones(self):
        found = engines(
            first=engine("first", EAST), b=engine("b", EAST), c=engine("c", WEST, "3", 5)
        )
        self.assertEqual(self._chosen(found), "c")

    def test_near_this_router_where_the_first_one_is_far(self):
        found = engines(
            first=engine("first", WEST), b=engine("b", SOUTH), c=engine("c", EAST, "3", 5)
        )
        self.assertEqual(self._chosen(found), "c")

    def test_the_least_loaded_of_equals(self):
        found = engines(
            first=engine("first", EAST), b=engine("b", WEST, "3", 5), c=engine("c", WEST)
        )
        self.assertEqual(self._chosen(found), "c")

    def test_the_backups_of_many_runs_are_not_all_at_one_of_equals(self):
        found = engines(first=engine("first", EAST))
        found.update(engines(**{f"e{number}": engine(f"e{number}", WEST) for number in range(10)}))
        chosen = [self._chosen(found, request=f"q{number}") for number in range(200)]
        held = collections.Counter(chosen)
        self.assertEqual(len(held), 10)
        self.assertLess(max(held.values()), 60)

    def test_the_same_failure_domain_is_better_than_none(self):
        found = engines(first=engine("first", EAST), b=engine("b", EAST))
        self.assertEqual(self._chosen(found), "b")

    def test_only_engines_with_the_same_weights_that_take_work(self):
        loading = engine("d", WEST)
        loading.loading = True
        found = engines(first=engine("first", EAST), c=engine("c", WEST, "2"), d=loading)
        self.assertIsNone(self._chosen(found))
        found["first"].versions.clear()
        self.assertIsNone(self._chosen(found))


class ContinueTest(unittest.TestCase):
    def setUp(self):
        self.found = engines(first=engine("first", EAST), other=engine("other", WEST))
        first, request = ids.UpstreamId("first"), ids.RequestId("q")
        self.backup = backups.choose_backup(self.found, first, MODEL, EAST, request)

    def test_goes_on_whether_or_not_the_first_engine_is_still_listed(self):
        self.assertTrue(backups.can_continue(self.found, self.backup))
        del self.found["first"]
        self.assertTrue(backups.can_continue(self.found, self.backup))

    def test_not_on_an_engine_that_is_gone_or_has_started_again(self):
        other = self.found["other"]
        other.spec = dataclasses.replace(other.spec, incarnation=ids.Incarnation("other@2"))
        self.assertFalse(backups.can_continue(self.found, self.backup))
        del self.found["other"]
        self.assertFalse(backups.can_continue(self.found, self.backup))

    def test_not_where_either_engine_has_other_weights_or_may_have(self):
        for name in ("first", "other"):
            with self.subTest(name):
                self.setUp()
                self.found[name].versions[MODEL] = "4"
                self.assertFalse(backups.can_continue(self.found, self.backup))
                self.setUp()
                self.found[name].loading = True
                self.assertFalse(backups.can_continue(self.found, self.backup))


class PaysTest(unittest.TestCase):
    def test_long_answers_pay_and_short_ones_to_long_prompts_do_not(self):
        self.assertTrue(backups.is_worthwhile(826, 300))
        self.assertFalse(backups.is_worthwhile(9190, 13))


if __name__ == "__main__":
    unittest.main()
