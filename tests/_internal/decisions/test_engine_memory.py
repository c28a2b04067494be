"""Loads under which the memory of engines ends before their slots."""

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
HERE = ids.FailureDomainId("here")
MEMORY_TOKENS = 100_000
LONG_TOKENS = 9_000
SLOTS = 64
ENGINES = 4
PATIENCE_S = 0.3


def make_traffic(engines=ENGINES, slots=SLOTS):
    made = traffic.Traffic(HERE)
    found = {
        ids.UpstreamId(f"engine-{i}"): configuration.Upstream(
            ids.Address("10.0.0.1:80"), HERE, max_in_flight=slots
        )
        for i in range(engines)
    }
    pool = configuration.Pool(
        configuration.PoolKind.MODEL,
        found,
        models={MODEL: configuration.Model("")},
        prefill_tokens_per_s=40_000.0,
        memory_tokens=MEMORY_TOKENS,
    )
    content = configuration.Configuration({ACCOUNT: configuration.Account()}, {MODELS: pool})
    made.configure(configuration.NumberedConfiguration(ids.ConfigNumber(1), content), 0.0)
    return made


def entry(number, tokens=LONG_TOKENS):
    name = f"r{number}"
    prompt = prefix.prompt_from_parts(
        ids.PieceId(b"root"), (prefix.Part(name, tokens - 10),), tokens - 10
    )
    return routing.Entry(
        ids.RequestId(name),
        ACCOUNT,
        MODELS,
        prompt,
        10,
        ids.Fingerprint(name),
        model=MODEL,
        max_wait_s=PATIENCE_S,
    )


def running(made):
    """Returns the memory that this router has its requests take at each engine."""
    taken = dict.fromkeys(made.pools[MODELS].policy.members, 0)
    for active in made.attempts.active.values():
        for attempt in active.attempts:
            taken[attempt.estimate.upstream] += active.entry.memory_tokens
    return taken


class BurstTest(unittest.TestCase):
    """Far more long prompts at once than the engines' memory holds."""

    def test_no_engine_gets_more_than_its_memory_bears(self):
        made = make_traffic()
        for number in range(100):
            made.admit(entry(number), 0.001 * number)
        bound = engine_memory.RUNNING_SHARE * MEMORY_TOKENS
        self.assertTrue(all(0 < taken <= bound for taken in running(made).values()))

    def test_what_does_not_fit_waits_and_is_refused_as_not_run_within_its_patience(self):
        made = make_traffic()
        for number in range(100):
            made.admit(entry(number), 0.0)
        refused = [d for d in made.poll(PATIENCE_S) if isinstance(d, routing.Refused)]
        sent = sum(1 for active in made.attempts.active.values() if active.attempt)
        self.assertEqual(len(refused), 100 - sent)
        for decision in refused:
            self.assertIs(decision.refusal.effect, outcomes.Effect.NOT_RUN)
            self.assertIsNotNone(decision.refusal.retry_after_s)

    def test_callers_that_are_refused_together_do_not_come_back_together(self):
        made = make_traffic()
        for number in range(200):
            made.admit(entry(number), 0.0)
        refused = [d for d in made.poll(PATIENCE_S) if isinstance(d, routing.Refused)]
        returns_s = sorted(decision.refusal.retry_after_s for decision in refused)
        self.assertGreater(len(set(returns_s)), 0.9 * len(returns_s))
        self.assertGreater(returns_s[-1], 1.4 * returns_s[0])

    def test_what_waits_is_sent_as_memory_becomes_free(self):
        made = make_traffic(engines=1)
        placed = [made.admit(entry(number), 0.0) for number in range(20)]
        first = next(decision for decision in placed if decision)
        self.assertEqual(made.poll(0.1), [])
        made.attempts.attempt_ended(first.request, outcomes.Complete(200), 0.1)
        made.end_request(first.request, True, 0.1)
        self.assertEqual(len(made.poll(0.1)), 1)

    def test_requests_of_other_routers_take_memory_too(self):
        made = make_traffic()
        made.admit(entry(0), 0.0)
        made.attempts.attempt_ended(ids.RequestId("r0"), outcomes.Complete(200), 0.1)
        made.end_request(ids.RequestId("r0"), True, 0.1)
        for upstream in made.pools[MODELS].policy.members:
            made.observations.record_running_requests(MODELS, upstream, 9, 0.1)
        self.assertIsNone(made.admit(entry(1), 0.1))

    def test_engines_that_are_not_heard_of_count_as_full_as_the_others(self):
        made = make_traffic()
        first, *_ = made.pools[MODELS].policy.members
        for number in range(40):
            now = 0.01 * number
            made.admit(entry(number), now)
            made.attempts.attempt_ended(ids.RequestId(f"r{number}"), outcomes.Complete(200), now)
            made.end_request(ids.RequestId(f"r{number}"), True, now)
            made.observations.record_running_requests(MODELS, first, 20, now)
        later = 0.4 + engine_memory.MAX_TURNOVER_S / 10
        self.assertIsNone(made.admit(entry(40), later))
        self.assertEqual(len(made.poll(later + PATIENCE_S)), 1)
        # A router that takes all for full hears of none, and so tries again after a while.
        self.assertIsInstance(made.admit(entry(41), 30.0), routing.Placed)

    def test_a_request_larger_than_the_share_runs_alone(self):
        made = make_traffic(engines=1)
        self.assertIsInstance(made.admit(entry(0, tokens=90_000), 0.0), routing.Placed)
        self.assertIsNone(made.admit(entry(1, tokens=100), 0.0))

    def test_a_silent_attempt_is_not_hedged_where_that_would_delay_others(self):
        made = make_traffic(engines=2)
        for number in range(100):
            made.admit(entry(number), 0.0)
        self.assertIsNone(made.attempts.place_hedge(ids.RequestId("r0"), 0.2))
        self.assertEqual(max(running(made).values()), 8 * LONG_TOKENS)


class PeerSendsTest(unittest.TestCase):
    def most_believed(self, times, mean_duration_s):
        """Returns the most requests that were believed to run, of sends that were told of."""
        found = load.UpstreamLoad(1000.0, 0.0)
        most = 0
        for at in times:
            found.record_peer_send(1.0, configuration.ServiceClass.INTERACTIVE, at)
            found.decay_remote_requests(at, engine_memory.MIN_TURNOVER_S, mean_duration_s)
            most = max(most, found.remote_requests())
        return most

    def test_what_peers_send_counts_for_as_long_as_it_stays(self):
        for mean_duration_s in (0.005, 0.05, 0.5):
            with self.subTest(mean_duration_s):
                times = [number / 100 for number in range(1000)]
                most = self.most_believed(times, mean_duration_s)
                self.assertAlmostEqual(most, 100 * mean_duration_s + 0.5, delta=1.0)

    def test_a_fleet_of_any_size_leaves_an_idle_upstream_free(self):
        per_s = 60.0
        for routers in (4, 24, 77, 300):
            with self.subTest(routers):
                # Each peer tells what it has sent once in a while, all of it as one send.
                period_s = max(routers / per_s, cadence.domain_period_s(range(routers)))
                times = sorted(
                    (turn + router / routers) * period_s
                    for turn in range(20)
                    for router in range(routers)
                )
                self.assertLess(self.most_believed(times, 0.005), 3)


class RequestAveragesTest(unittest.TestCase):
    def test_what_was_told_is_believed_for_as_long_as_requests_stay(self):
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
