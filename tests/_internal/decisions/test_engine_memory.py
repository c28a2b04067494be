"""Tests of loads under which engines run out of memory before they run out of slots."""

import unittest

from cicadapier._internal.decisions import cadence
from cicadapier._internal.decisions import engine_memory
from cicadapier._internal.decisions import load
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
MEMORY_TOKENS = 100_000
LONG_TOKENS = 9_000
SLOTS = 64
ENGINES = 4
PATIENCE_S = 0.3


def make_traffic(engines=ENGINES, slots=SLOTS):
    router = traffic.Traffic(DOMAIN)
    upstreams = {
        ids.UpstreamId(f"engine-{i}"): configuration.Upstream(
            ids.Address("10.0.0.1:80"), DOMAIN, max_in_flight=slots
        )
        for i in range(engines)
    }
    pool = configuration.Pool(
        configuration.PoolKind.MODEL,
        upstreams,
        models={MODEL: configuration.Model("")},
        prefill_tokens_per_s=40_000.0,
        memory_tokens=MEMORY_TOKENS,
    )
    content = configuration.Configuration({ACCOUNT: configuration.Account()}, {MODELS: pool})
    router.configure(configuration.NumberedConfiguration(ids.ConfigNumber(1), content), 0.0)
    return router


def request_spec(number, tokens=LONG_TOKENS):
    name = f"r{number}"
    prompt = prefix.prompt_from_parts(
        ids.PieceId(b"root"), (prefix.Part(name, tokens - 10),), tokens - 10
    )
    return routing.RequestSpec(
        ids.RequestId(name),
        ACCOUNT,
        MODELS,
        prompt,
        10,
        ids.Fingerprint(name),
        model=MODEL,
        max_wait_s=PATIENCE_S,
    )


def used_tokens(router):
    """Returns the memory that this router's requests use at each engine."""
    taken = dict.fromkeys(router.pools[MODELS].policy.members, 0)
    for active in router.attempts.active.values():
        for attempt in active.attempts:
            taken[attempt.estimate.upstream] += active.request_spec.memory_tokens
    return taken


class BurstTest(unittest.TestCase):
    """A burst of far more long prompts than fit into the memory of the engines."""

    def test_no_engine_gets_more_than_its_memory_share(self):
        router = make_traffic()
        for number in range(100):
            router.admit(request_spec(number), 0.001 * number)
        bound = engine_memory.RUNNING_SHARE * MEMORY_TOKENS
        self.assertTrue(all(0 < taken <= bound for taken in used_tokens(router).values()))

    def test_requests_that_do_not_fit_wait_and_are_refused_as_not_run_in_time(self):
        router = make_traffic()
        for number in range(100):
            router.admit(request_spec(number), 0.0)
        refused = [d for d in router.poll(PATIENCE_S) if isinstance(d, routing.Refused)]
        sent = sum(1 for active in router.attempts.active.values() if active.attempt)
        self.assertEqual(len(refused), 100 - sent)
        for decision in refused:
            self.assertIs(decision.refusal.effect, outcomes.Effect.NOT_RUN)
            self.assertIsNotNone(decision.refusal.retry_after_s)

    def test_requests_refused_together_get_different_retry_times(self):
        router = make_traffic()
        for number in range(200):
            router.admit(request_spec(number), 0.0)
        refused = [d for d in router.poll(PATIENCE_S) if isinstance(d, routing.Refused)]
        retry_after_s = sorted(decision.refusal.retry_after_s for decision in refused)
        self.assertGreater(len(set(retry_after_s)), 0.9 * len(retry_after_s))
        self.assertGreater(retry_after_s[-1], 1.4 * retry_after_s[0])

    def test_waiting_requests_are_sent_when_memory_is_freed(self):
        router = make_traffic(engines=1)
        placed = [router.admit(request_spec(number), 0.0) for number in range(20)]
        first = next(decision for decision in placed if decision)
        self.assertEqual(router.poll(0.1), [])
        router.attempts.attempt_ended(first.request, outcomes.Complete(200), 0.1)
        router.end_request(first.request, True, 0.1)
        self.assertEqual(len(router.poll(0.1)), 1)

    def test_requests_of_other_routers_count_as_used_memory(self):
        router = make_traffic()
        router.admit(request_spec(0), 0.0)
        router.attempts.attempt_ended(ids.RequestId("r0"), outcomes.Complete(200), 0.1)
        router.end_request(ids.RequestId("r0"), True, 0.1)
        for upstream in router.pools[MODELS].policy.members:
            router.observations.record_running_requests(MODELS, upstream, 9, 0.1)
        self.assertIsNone(router.admit(request_spec(1), 0.1))

    def test_engines_without_recent_reports_count_as_loaded_as_the_average(self):
        router = make_traffic()
        first, *_ = router.pools[MODELS].policy.members
        for number in range(40):
            now = 0.01 * number
            router.admit(request_spec(number), now)
            router.attempts.attempt_ended(ids.RequestId(f"r{number}"), outcomes.Complete(200), now)
            router.end_request(ids.RequestId(f"r{number}"), True, now)
            router.observations.record_running_requests(MODELS, first, 20, now)
        later = 0.4 + engine_memory.MAX_TURNOVER_S / 10
        self.assertIsNone(router.admit(request_spec(40), later))
        self.assertEqual(len(router.poll(later + PATIENCE_S)), 1)
        # A router that considers every engine full gets no reports; it retries after a while.
        self.assertIsInstance(router.admit(request_spec(41), 30.0), routing.Placed)

    def test_request_larger_than_the_memory_share_runs_alone(self):
        router = make_traffic(engines=1)
        self.assertIsInstance(router.admit(request_spec(0, tokens=90_000), 0.0), routing.Placed)
        self.assertIsNone(router.admit(request_spec(1, tokens=100), 0.0))

    def test_silent_attempt_is_not_hedged_if_that_delays_other_requests(self):
        router = make_traffic(engines=2)
        for number in range(100):
            router.admit(request_spec(number), 0.0)
        self.assertIsNone(router.attempts.place_hedge(ids.RequestId("r0"), 0.2))
        self.assertEqual(max(used_tokens(router).values()), 8 * LONG_TOKENS)


class PeerSendsTest(unittest.TestCase):
    def max_remote_requests(self, times, mean_duration_s):
        """Returns the maximum estimate of remote requests, of sends reported at the given times."""
        upstream_load = load.UpstreamLoad(1000.0, 0.0)
        most = 0
        for at in times:
            upstream_load.record_peer_send(1.0, configuration.ServiceClass.INTERACTIVE, at)
            upstream_load.decay_remote_requests(at, engine_memory.MIN_TURNOVER_S, mean_duration_s)
            most = max(most, upstream_load.remote_requests())
        return most

    def test_peer_sends_count_for_their_mean_duration(self):
        for mean_duration_s in (0.005, 0.05, 0.5):
            with self.subTest(mean_duration_s):
                times = [number / 100 for number in range(1000)]
                most = self.max_remote_requests(times, mean_duration_s)
                self.assertAlmostEqual(most, 100 * mean_duration_s + 0.5, delta=1.0)

    def test_idle_upstream_counts_as_free_in_fleets_of_any_size(self):
        per_s = 60.0
        for routers in (4, 24, 77, 300):
            with self.subTest(routers):
                # Each peer reports all that it has sent in a period as one send.
                period_s = max(routers / per_s, cadence.domain_period_s(range(routers)))
                times = sorted(
                    (period + router / routers) * period_s
                    for period in range(20)
                    for router in range(routers)
                )
                self.assertLess(self.max_remote_requests(times, 0.005), 3)


class RequestAveragesTest(unittest.TestCase):
    def test_turnover_time_follows_the_mean_duration_within_bounds(self):
        averages = engine_memory.RequestAverages()
        self.assertAlmostEqual(averages.turnover_s, engine_memory.MIN_TURNOVER_S)
        for _ in range(200):
            averages.record_end(0.7)
        self.assertAlmostEqual(averages.turnover_s, 2.1, places=2)
        for _ in range(200):
            averages.record_end(9.0)
        self.assertEqual(averages.turnover_s, engine_memory.MAX_TURNOVER_S)


if __name__ == "__main__":
    unittest.main()
