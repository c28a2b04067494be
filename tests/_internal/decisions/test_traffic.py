"""Admission where pools change or the state of upstreams is outdated."""

import dataclasses
import unittest

from cicadapier._internal.decisions import engine_memory
from cicadapier._internal.decisions import prefix
from cicadapier._internal.decisions import routing
from cicadapier._internal.decisions import traffic
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes

DESK = ids.PoolId("desk")
MODELS = ids.PoolId("models")
MODEL = ids.ModelId("quill")
MAX_WEIGHTS_AGE_S = 8.0
ACCOUNT = ids.AccountId("press")
DOMAIN = ids.FailureDomainId("here")


def request_spec(name):
    fingerprint = ids.Fingerprint(name)
    return routing.RequestSpec(
        ids.RequestId(name), ACCOUNT, DESK, prefix.EMPTY_PROMPT, 0, fingerprint
    )


def make_traffic(upstreams=3, slots=6):
    router = traffic.Traffic(DOMAIN)
    specs = {
        ids.UpstreamId(f"desk-{i}"): configuration.Upstream(
            ids.Address("10.0.0.1:80"), DOMAIN, max_in_flight=slots
        )
        for i in range(upstreams)
    }
    pools = {DESK: configuration.Pool(configuration.PoolKind.SERVICE, specs)}
    content = configuration.Configuration({ACCOUNT: configuration.Account()}, pools)
    router.configure(configuration.NumberedConfiguration(ids.ConfigNumber(1), content), 0.0)
    return router


def crash(router, name, now):
    """Makes a request a suspect: its upstream crashes before it has answered."""
    outcome = outcomes.SentNoAnswer("lost", crashed=True, unreachable=True)
    router.attempts.attempt_ended(ids.RequestId(name), outcome, now)


def configure_pools(router, pools):
    """Replaces the configured pools."""
    content = configuration.Configuration({ACCOUNT: configuration.Account()}, pools)
    router.configure(configuration.NumberedConfiguration(ids.ConfigNumber(2), content), 1.0)


def model_entry(name, max_wait_s=None):
    return routing.RequestSpec(
        ids.RequestId(name),
        ACCOUNT,
        MODELS,
        prefix.EMPTY_PROMPT,
        10,
        ids.Fingerprint(name),
        model=MODEL,
        max_wait_s=max_wait_s,
    )


def make_engines(version, slots=4):
    router = traffic.Traffic(DOMAIN, max_weights_age_s=MAX_WEIGHTS_AGE_S)
    specs = {
        ids.UpstreamId(f"engine-{i}"): configuration.Upstream(
            ids.Address("10.0.0.1:80"), DOMAIN, max_in_flight=slots, weights={MODEL: version}
        )
        for i in range(2)
    }
    models = {MODEL: configuration.Model("")}
    pools = {MODELS: configuration.Pool(configuration.PoolKind.MODEL, specs, models=models)}
    content = configuration.Configuration({ACCOUNT: configuration.Account()}, pools)
    router.configure(configuration.NumberedConfiguration(ids.ConfigNumber(1), content), 0.0)
    return router


class ChangedPoolsTest(unittest.TestCase):
    """Requests of a pool that is removed from the configuration, or whose kind changes there."""

    def _fill(self):
        router = make_traffic(upstreams=1, slots=1)
        self.assertIsInstance(router.admit(request_spec("runs"), 0.0), routing.Placed)
        self.assertIsNone(router.admit(request_spec("waits"), 0.0))
        return router

    def test_a_queued_request_is_decided_when_its_pool_is_removed(self):
        router = self._fill()
        configure_pools(router, {})
        router.end_request(ids.RequestId("runs"), True, 1.0)
        decided = [decision.request for decision in router.poll(1.1)]
        self.assertEqual(decided, ["waits"])

    def test_a_queued_request_is_decided_when_the_kind_of_its_pool_changes(self):
        router = self._fill()
        spec = router.pools[DESK].spec
        configure_pools(
            router, {DESK: dataclasses.replace(spec, kind=configuration.PoolKind.MODEL)}
        )
        decided = [decision.request for decision in router.poll(1.1)]
        self.assertEqual(decided, ["waits"])

    def test_a_removed_pool_admits_nothing_and_is_dropped_after_its_last_request(self):
        router = self._fill()
        configure_pools(router, {})
        self.assertIsInstance(router.admit(request_spec("late"), 1.0), routing.Refused)
        router.end_request(ids.RequestId("waits"), False, 1.0)
        router.end_request(ids.RequestId("runs"), True, 1.0)
        configure_pools(router, {})
        self.assertEqual(router.pools, {})


class OutdatedWeightsTest(unittest.TestCase):
    def _report_weights(self, router, version):
        for upstream in router.pools[MODELS].policy.members:
            router.observations.record_weights_version(MODELS, upstream, MODEL, version)

    def test_requests_are_placed_again_once_the_target_weights_are_loaded(self):
        router = make_engines("3")
        router.target_weights.set_target(MODEL, 4, 0.0)
        self.assertIsInstance(router.admit(model_entry("early"), 1.0), routing.Placed)
        self.assertIsInstance(router.admit(model_entry("late"), MAX_WEIGHTS_AGE_S), routing.Refused)
        self._report_weights(router, "4")
        self.assertIsInstance(
            router.admit(model_entry("after"), MAX_WEIGHTS_AGE_S + 1), routing.Placed
        )

    def test_the_first_request_is_refused_where_all_weights_have_expired(self):
        router = make_engines("3")
        router.target_weights.set_target(MODEL, 4, 0.0)
        refused = router.admit(model_entry("late"), MAX_WEIGHTS_AGE_S)
        self.assertIsInstance(refused, routing.Refused)
        self.assertEqual(router.active_requests, 0)

    def test_an_engine_whose_weights_expire_during_its_queue_wait_is_not_chosen(self):
        router = make_engines("3")
        router.target_weights.set_target(MODEL, 4, 0.0)
        members = router.pools[MODELS].policy.members
        engine = members[ids.UpstreamId("engine-0")]
        interactive = configuration.ServiceClass.INTERACTIVE
        engine.load.record_send(3.0 * engine.load.prefill_tokens_per_s, interactive, 5.0)
        self.assertIsInstance(router.admit(model_entry("a"), 5.0), routing.Placed)
        self.assertEqual([m.weights_expired for m in members.values()], [True, False])

    def test_a_queued_request_is_placed_once_the_target_weights_are_loaded(self):
        router = make_engines("3", slots=1)
        router.target_weights.set_target(MODEL, 4, 0.0)
        placed = [router.admit(model_entry(name), 1.0) for name in ("a", "b")]
        self.assertIsNone(router.admit(model_entry("c", max_wait_s=MAX_WEIGHTS_AGE_S), 1.0))
        for decision in placed:
            router.end_request(decision.request, True, 1.0)
        self.assertEqual(router.poll(MAX_WEIGHTS_AGE_S), [])
        self._report_weights(router, "4")
        decisions = router.poll(MAX_WEIGHTS_AGE_S + 0.1)
        self.assertIsInstance(decisions[0], routing.Placed)
        self.assertEqual(decisions[0].weights, "4")


class LeavingTest(unittest.TestCase):
    def test_a_leaving_upstream_is_never_chosen(self):
        router = make_traffic(upstreams=2)
        spec = router.pools[DESK].spec
        leaving = dataclasses.replace(spec.upstreams["desk-0"], leaving=True)
        pool = dataclasses.replace(spec, upstreams={**spec.upstreams, "desk-0": leaving})
        content = configuration.Configuration({ACCOUNT: configuration.Account()}, {DESK: pool})
        router.configure(configuration.NumberedConfiguration(ids.ConfigNumber(2), content), 1.0)
        for number in range(6):
            placed = router.admit(request_spec(f"r{number}"), 1.0)
            self.assertEqual(placed.choice.estimate.upstream, "desk-1")


class ReportedLoadTest(unittest.TestCase):
    def _report_full(self, router, now):
        for upstream in router.pools[DESK].policy.members:
            router.observations.record_running_requests(DESK, upstream, 6, now)

    def test_requests_are_queued_while_the_pool_is_full(self):
        router = make_traffic()
        self._report_full(router, 1.0)
        self.assertIsNone(router.admit(request_spec("a"), 1.1))

    def test_a_full_pool_is_tried_again_once_its_reported_load_is_outdated(self):
        router = make_traffic()
        self._report_full(router, 1.0)
        later = 1.0 + engine_memory.MIN_TURNOVER_S + 0.01
        self.assertIsInstance(router.admit(request_spec("a"), later), routing.Placed)

    def test_a_queued_request_is_placed_once_the_reported_load_is_outdated(self):
        router = make_traffic()
        self._report_full(router, 1.0)
        self.assertIsNone(router.admit(request_spec("a"), 1.1))
        decisions = router.poll(1.0 + engine_memory.MIN_TURNOVER_S + 0.01)
        self.assertIsInstance(decisions[0], routing.Placed)

    def test_requests_sent_by_peers_do_not_fill_an_upstream_permanently(self):
        router = make_traffic(upstreams=1, slots=2)
        desk = ids.UpstreamId("desk-0")
        for number in range(10):
            router.observations.record_peer_work(DESK, desk, 1.0, 1.0, 0.9 + 0.01 * number)
        self.assertIsNone(router.admit(request_spec("at once"), 1.0))
        router.end_request(ids.RequestId("at once"), False, 1.0)
        self.assertIsInstance(router.admit(request_spec("later"), 5.0), routing.Placed)

    def test_peer_requests_after_an_outdated_report_do_not_fill_an_upstream_permanently(self):
        router = make_traffic(upstreams=1, slots=2)
        desk = ids.UpstreamId("desk-0")
        router.observations.record_running_requests(DESK, desk, 2, 0.0)
        router.admit(request_spec("forgets"), 1.0)
        router.end_request(ids.RequestId("forgets"), False, 1.0)
        for _ in range(10):
            router.observations.record_peer_work(DESK, desk, 1.0, 1.0, 1.1)
        self.assertIsInstance(router.admit(request_spec("later"), 5.0), routing.Placed)

    def test_requests_of_this_router_still_count(self):
        router = make_traffic(upstreams=1, slots=2)
        self.assertIsInstance(router.admit(request_spec("a"), 0.0), routing.Placed)
        self.assertIsInstance(router.admit(request_spec("b"), 0.0), routing.Placed)
        router.observations.record_running_requests(DESK, ids.UpstreamId("desk-0"), 2, 0.1)
        self.assertIsNone(router.admit(request_spec("c"), 5.0))


class PausedTest(unittest.TestCase):
    """Upstreams that ask for no requests for a while."""

    def test_a_paused_upstream_is_not_chosen_until_its_pause_ends(self):
        router = make_traffic(upstreams=2)
        paused = ids.UpstreamId("desk-0")
        router.observations.record_pause(DESK, paused, 5.0)
        chosen = [
            router.admit(request_spec(f"r{n}"), 4.9).choice.estimate.upstream for n in range(3)
        ]
        self.assertNotIn(paused, chosen)
        chosen = [
            router.admit(request_spec(f"s{n}"), 5.0).choice.estimate.upstream for n in range(3)
        ]
        self.assertEqual(chosen.count(paused), 1)

    def test_the_refusal_names_the_end_of_the_first_pause_where_all_upstreams_are_paused(self):
        router = make_traffic(upstreams=2)
        router.observations.record_pause(DESK, ids.UpstreamId("desk-0"), 9.0)
        router.observations.record_pause(DESK, ids.UpstreamId("desk-1"), 5.0)
        decision = router.admit(request_spec("r"), 1.0)
        self.assertIsInstance(decision, routing.Refused)
        self.assertEqual(decision.refusal.retry_after_s, 4.0)


class IsolationTest(unittest.TestCase):
    def _make_waiting_suspect(self):
        """Returns a router at which a suspect waits, as others run on both upstreams left."""
        router = make_traffic(upstreams=5)
        for name in ("a", "b", "c"):
            router.admit(request_spec(name), 1.0)
            crash(router, name, 1.0)
        placed = [router.retry(ids.RequestId(name), 1.0) for name in ("a", "b")]
        self.assertTrue(all(isinstance(item, routing.Placed) for item in placed))
        self.assertIsNone(router.retry(ids.RequestId("c"), 1.0))
        return router

    def test_suspect_is_placed_beside_another_rather_than_refused(self):
        router = self._make_waiting_suspect()
        self.assertEqual(router.poll(1.1), [])
        (decision,) = router.poll(1.0 + traffic.MAX_ISOLATION_WAIT_S)
        self.assertIsInstance(decision, routing.Placed)

    def test_suspect_waits_for_a_grant_if_its_upstreams_become_limited(self):
        router = self._make_waiting_suspect()
        for upstream in list(router.pools[DESK].policy.members):
            router.observations.record_rate_limited(DESK, upstream, True, 1.1, 1.1)
        self.assertEqual(router.poll(1.0 + traffic.MAX_ISOLATION_WAIT_S), [])
        self.assertEqual(len(router.pools[DESK].queue), 1)
        upstream = next(u for u, m in router.pools[DESK].policy.members.items() if m.awaits_grant)
        router.observations.add_grants(DESK, upstream, 1, 5.0)
        (decision,) = router.poll(1.0 + traffic.MAX_ISOLATION_WAIT_S)
        self.assertIsInstance(decision, routing.Placed)


if __name__ == "__main__":
    unittest.main()
