"""Placement of answers that only upstreams of one software version can go on with."""

import dataclasses
import unittest

from cicadapier._internal.decisions import backups
from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import prefix
from cicadapier._internal.decisions import routing
from cicadapier._internal.decisions import traffic
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes

MODELS = ids.PoolId("models")
MODEL = ids.ModelId("quill")
ACCOUNT = ids.AccountId("press")
DOMAIN = ids.FailureDomainId("here")


def make_traffic(versions, slots=4):
    """Returns the decisions of a router before one engine of each named version."""
    router = traffic.Traffic(DOMAIN)
    specs = {
        ids.UpstreamId(f"engine-{number}"): configuration.Upstream(
            ids.Address("10.0.0.1:80"),
            DOMAIN,
            max_in_flight=slots,
            weights={MODEL: "1"},
            software=version,
            incarnation=ids.Incarnation("1"),
        )
        for number, version in enumerate(versions)
    }
    models = {MODEL: configuration.Model("")}
    pools = {MODELS: configuration.Pool(configuration.PoolKind.MODEL, specs, models=models)}
    content = configuration.Configuration({ACCOUNT: configuration.Account()}, pools)
    router.configure(configuration.NumberedConfiguration(ids.ConfigNumber(1), content), 0.0)
    return router


def request_spec(name, software=None, needs_backup=False):
    return routing.RequestSpec(
        ids.RequestId(name),
        ACCOUNT,
        MODELS,
        prefix.EMPTY_PROMPT,
        10,
        ids.Fingerprint(name),
        model=MODEL,
        needs_backup=needs_backup,
        software=software,
    )


class PlacementTest(unittest.TestCase):
    def test_stream_that_is_taken_up_is_placed_at_its_version(self):
        router = make_traffic(["v1"] * 5 + ["v2"])
        for number in range(4):
            placed = router.admit(request_spec(f"q{number}", "v2"), 1.0)
            self.assertEqual(placed.software, "v2")

    def test_the_only_upstream_of_a_version_is_found_in_a_large_pool(self):
        router = make_traffic(["v1"] * 200 + ["v2"])
        self.assertEqual(router.admit(request_spec("q", "v2"), 1.0).software, "v2")

    def test_answer_goes_on_at_the_version_that_produced_output(self):
        for seed in range(20):
            router = make_traffic(["v1", "v2", "v1", "v2"])
            request = ids.RequestId(f"q{seed}")
            first = router.admit(request_spec(request), 1.0)
            broken = outcomes.Broken("lost", 3, crashed=False, had_output=True)
            router.attempts.attempt_ended(request, broken, 2.0)
            second = router.retry(request, 2.0)
            self.assertEqual(first.software, second.software)

    def test_answer_without_output_may_begin_anew_at_any_version(self):
        router = make_traffic(["v1", "v2"])
        request = ids.RequestId("q")
        first = router.admit(request_spec(request), 1.0)
        router.attempts.attempt_ended(request, outcomes.SentNoAnswer("lost", crashed=False), 2.0)
        second = router.retry(request, 2.0)
        self.assertNotEqual(first.software, second.software)

    def test_answer_is_refused_if_no_upstream_of_its_version_is_left(self):
        router = make_traffic(["v1", "v2"])
        refused = router.admit(request_spec("q", "v0"), 1.0)
        self.assertEqual(refused.refusal.code, outcomes.RefusalCode.NO_UPSTREAM)

    def test_stream_that_is_taken_up_does_not_hold_up_the_queue(self):
        router = make_traffic(["v1", "v2"], slots=1)
        router.admit(request_spec("a", "v1"), 1.0)
        taken_up = router.admit(request_spec("b", "v1"), 1.0)
        self.assertIsInstance(taken_up, routing.Placed)
        fresh = router.admit(request_spec("c"), 1.0)
        self.assertEqual(fresh.software, "v2")

    def test_hedge_of_a_begun_answer_is_placed_at_its_version(self):
        for seed in range(20):
            router = make_traffic(["v1", "v2", "v1", "v2"])
            request = ids.RequestId(f"q{seed}")
            first = router.admit(request_spec(request), 1.0)
            router.record_output(request, 1.5)
            hedge = router.attempts.place_hedge(request, 2.0)
            self.assertEqual(first.software, hedge.software)

    def test_backup_is_placed_at_the_version_of_the_run(self):
        for seed in range(20):
            router = make_traffic(["v1", "v2", "v1", "v2"])
            placed = router.admit(request_spec(f"q{seed}", needs_backup=True), 1.0)
            backup = router.pools[MODELS].policy.members[placed.backup]
            self.assertEqual(placed.software, backup.spec.software)

    def test_backup_at_another_version_than_the_run_cannot_be_used(self):
        router = make_traffic(["v1", "v2"])
        pool = router.pools[MODELS].policy.members
        first, second = sorted(pool)
        backup = backups.Backup(
            first, second, ids.Incarnation("1"), members.Weights(MODEL, "1"), "v1"
        )
        self.assertFalse(backups.can_continue(pool, backup))
        at_own_version = dataclasses.replace(backup, software="v2")
        self.assertTrue(backups.can_continue(pool, at_own_version))


if __name__ == "__main__":
    unittest.main()
