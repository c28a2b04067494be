"""Admission where what is believed of upstreams may be out of date."""

import dataclasses
import unittest

from cicadapier._internal.decisions import engine_memory
from cicadapier._internal.decisions import prefix
from cicadapier._internal.decisions import routing
from cicadapier._internal.decisions import traffic
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids

DESK = ids.PoolId("desk")
MODELS = ids.PoolId("models")
MODEL = ids.ModelId("quill")
WEIGHTS_S = 8.0
ACCOUNT = ids.AccountId("press")
HERE = ids.FailureDomainId("here")


def entry(name):
    fingerprint = ids.Fingerprint(name)
    return routing.Entry(ids.RequestId(name), ACCOUNT, DESK, prefix.EMPTY_PROMPT, 0, fingerprint)


def make_traffic(upstreams=3, slots=6):
    made = traffic.Traffic(HERE)
    found = {
        ids.UpstreamId(f"desk-{i}"): configuration.Upstream(
            ids.Address("10.0.0.1:80"), HERE, max_in_flight=slots
        )
        for i in range(upstreams)
    }
    pools = {DESK: configuration.Pool(configuration.PoolKind.SERVICE, found)}
    content = configuration.Configuration({ACCOUNT: configuration.Account()}, pools)
    made.configure(configuration.NumberedConfiguration(ids.ConfigNumber(1), content), 0.0)
    return made


def declare(made, pools):
    """Declares other pools."""
    content = configuration.Configuration({ACCOUNT: configuration.Account()}, pools)
    made.configure(configuration.NumberedConfiguration(ids.ConfigNumber(2), content), 1.0)


def model_entry(name, max_wait_s=None):
    return routing.Entry(
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
    made = traffic.Traffic(HERE, max_weights_age_s=WEIGHTS_S)
    found = {
        ids.UpstreamId(f"engine-{i}"): configuration.Upstream(
            ids.Address("10.0.0.1:80"), HERE, max_in_flight=slots, weights={MODEL: version}
        )
        for i in range(2)
    }
    models = {MODEL: configuration.Model("")}
    pools = {MODELS: configuration.Pool(configuration.PoolKind.MODEL, found, models=models)}
    content = configuration.Configuration({ACCOUNT: configuration.Account()}, pools)
    made.configure(configuration.NumberedConfiguration(ids.ConfigNumber(1), content), 0.0)
    return made


class ChangedPoolsTest(unittest.TestCase):
    """Requests of a pool that is declared no more, or otherwise."""

    def _fill(self):
        made = make_traffic(upstreams=1, slots=1)
        self.assertIsInstance(made.admit(entry("runs"), 0.0), routing.Placed)
        self.assertIsNone(made.admit(entry("waits"), 0.0))
        return made

    def test_a_request_that_waits_as_its_pool_is_taken_away_is_decided(self):
        made = self._fill()
        declare(made, {})
        made.end_request(ids.RequestId("runs"), True, 1.0)
        decided = [decision.request for decision in made.poll(1.1)]
        self.assertEqual(decided, ["waits"])

    def test_a_request_that_waits_as_its_pool_changes_its_kind_is_decided(self):
        made = self._fill()
        spec = made.pools[DESK].spec
        declare(made, {DESK: dataclasses.replace(spec, kind=configuration.PoolKind.MODEL)})
        decided = [decision.request for decision in made.poll(1.1)]
        self.assertEqual(decided, ["waits"])

    def test_a_pool_that_is_taken_away_admits_nothing_and_goes_with_its_last_request(self):
        made = self._fill()
        declare(made, {})
        self.assertIsInstance(made.admit(entry("late"), 1.0), routing.Refused)
        made.end_request(ids.RequestId("waits"), False, 1.0)
        made.end_request(ids.RequestId("runs"), True, 1.0)
        declare(made, {})
        self.assertEqual(made.pools, {})


class OutdatedWeightsTest(unittest.TestCase):
    def _load(self, made, version):
        for upstream in made.pools[MODELS].policy.members:
            made.observations.record_weights_version(MODELS, upstream, MODEL, version)

    def test_requests_are_served_again_once_the_named_weights_are_loaded(self):
        made = make_engines("3")
        made.target_weights.set_target(MODEL, 4, 0.0)
        self.assertIsInstance(made.admit(model_entry("early"), 1.0), routing.Placed)
        self.assertIsInstance(made.admit(model_entry("late"), WEIGHTS_S), routing.Refused)
        self._load(made, "4")
        self.assertIsInstance(made.admit(model_entry("after"), WEIGHTS_S + 1), routing.Placed)

    def test_too_old_weights_are_refused_at_the_first_request(self):
        made = make_engines("3")
        made.target_weights.set_target(MODEL, 4, 0.0)
        refused = made.admit(model_entry("late"), WEIGHTS_S)
        self.assertIsInstance(refused, routing.Refused)
        self.assertEqual(made.active_requests, 0)

    def test_an_engine_whose_queue_is_longer_than_its_weights_may_be_used_is_passed_over(self):
        made = make_engines("3")
        made.target_weights.set_target(MODEL, 4, 0.0)
        members = made.pools[MODELS].policy.members
        engine = members[ids.UpstreamId("engine-0")]
        interactive = configuration.ServiceClass.INTERACTIVE
        engine.load.record_send(3.0 * engine.load.prefill_tokens_per_s, interactive, 5.0)
        self.assertIsInstance(made.admit(model_entry("a"), 5.0), routing.Placed)
        self.assertEqual([m.weights_expired for m in members.values()], [True, False])

    def test_a_waiting_request_is_placed_once_the_named_weights_are_loaded(self):
        made = make_engines("3", slots=1)
        made.target_weights.set_target(MODEL, 4, 0.0)
        placed = [made.admit(model_entry(name), 1.0) for name in ("a", "b")]
        self.assertIsNone(made.admit(model_entry("c", max_wait_s=WEIGHTS_S), 1.0))
        for decision in placed:
            made.end_request(decision.request, True, 1.0)
        self.assertEqual(made.poll(WEIGHTS_S), [])
        self._load(made, "4")
        decisions = made.poll(WEIGHTS_S + 0.1)
        self.assertIsInstance(decisions[0], routing.Placed)
        self.assertEqual(decisions[0].weights, "4")


class LeavingTest(unittest.TestCase):
    def test_a_leaving_upstream_is_never_chosen(self):
        made = make_traffic(upstreams=2)
        spec = made.pools[DESK].spec
        leaving = dataclasses.replace(spec.upstreams["desk-0"], leaving=True)
        pool = dataclasses.replace(spec, upstreams={**spec.upstreams, "desk-0": leaving})
        content = configuration.Configuration({ACCOUNT: configuration.Account()}, {DESK: pool})
        made.configure(configuration.NumberedConfiguration(ids.ConfigNumber(2), content), 1.0)
        for number in range(6):
            placed = made.admit(entry(f"r{number}"), 1.0)
            self.assertEqual(placed.choice.estimate.upstream, "desk-1")


class ReportedLoadTest(unittest.TestCase):
    def _tell_full(self, made, now):
        for upstream in made.pools[DESK].policy.members:
            made.observations.record_running_requests(DESK, upstream, 6, now)

    def test_a_full_pool_keeps_requests_waiting(self):
        made = make_traffic()
        self._tell_full(made, 1.0)
        self.assertIsNone(made.admit(entry("a"), 1.1))

    def test_a_pool_that_was_full_when_last_heard_of_is_tried_again(self):
        made = make_traffic()
        self._tell_full(made, 1.0)
        later = 1.0 + engine_memory.MIN_TURNOVER_S + 0.01
        self.assertIsInstance(made.admit(entry("a"), later), routing.Placed)

    def test_a_waiting_request_is_sent_once_the_news_is_old(self):
        made = make_traffic()
        self._tell_full(made, 1.0)
        self.assertIsNone(made.admit(entry("a"), 1.1))
        decisions = made.poll(1.0 + engine_memory.MIN_TURNOVER_S + 0.01)
        self.assertIsInstance(decisions[0], routing.Placed)

    def test_what_peers_alone_send_does_not_fill_an_upstream_for_good(self):
        made = make_traffic(upstreams=1, slots=2)
        desk = ids.UpstreamId("desk-0")
        for number in range(10):
            made.observations.record_peer_work(DESK, desk, 1.0, 1.0, 0.9 + 0.01 * number)
        self.assertIsNone(made.admit(entry("at once"), 1.0))
        made.end_request(ids.RequestId("at once"), False, 1.0)
        self.assertIsInstance(made.admit(entry("later"), 5.0), routing.Placed)

    def test_what_peers_send_after_old_news_does_not_fill_an_upstream_for_good(self):
        made = make_traffic(upstreams=1, slots=2)
        desk = ids.UpstreamId("desk-0")
        made.observations.record_running_requests(DESK, desk, 2, 0.0)
        made.admit(entry("forgets"), 1.0)
        made.end_request(ids.RequestId("forgets"), False, 1.0)
        for _ in range(10):
            made.observations.record_peer_work(DESK, desk, 1.0, 1.0, 1.1)
        self.assertIsInstance(made.admit(entry("later"), 5.0), routing.Placed)

    def test_own_requests_still_count(self):
        made = make_traffic(upstreams=1, slots=2)
        self.assertIsInstance(made.admit(entry("a"), 0.0), routing.Placed)
        self.assertIsInstance(made.admit(entry("b"), 0.0), routing.Placed)
        made.observations.record_running_requests(DESK, ids.UpstreamId("desk-0"), 2, 0.1)
        self.assertIsNone(made.admit(entry("c"), 5.0))


class PausedTest(unittest.TestCase):
    """Upstreams that want nothing for a while."""

    def test_one_that_wants_nothing_is_not_chosen_until_its_time_is_over(self):
        made = make_traffic(upstreams=2)
        paused = ids.UpstreamId("desk-0")
        made.observations.record_pause(DESK, paused, 5.0)
        chosen = [made.admit(entry(f"r{n}"), 4.9).choice.estimate.upstream for n in range(3)]
        self.assertNotIn(paused, chosen)
        chosen = [made.admit(entry(f"s{n}"), 5.0).choice.estimate.upstream for n in range(3)]
        self.assertEqual(chosen.count(paused), 1)

    def test_where_all_want_nothing_the_refusal_says_when_the_first_is_back(self):
        made = make_traffic(upstreams=2)
        made.observations.record_pause(DESK, ids.UpstreamId("desk-0"), 9.0)
        made.observations.record_pause(DESK, ids.UpstreamId("desk-1"), 5.0)
        decision = made.admit(entry("r"), 1.0)
        self.assertIsInstance(decision, routing.Refused)
        self.assertEqual(decision.refusal.retry_after_s, 4.0)


if __name__ == "__main__":
    unittest.main()
