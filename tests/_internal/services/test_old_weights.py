"""Requests that wait at an engine until its weights are too old to start on."""

import unittest

from structlog import testing
import trio

from cicadapier._internal.decisions import rollout
from cicadapier._internal.standins import forwarding_upstream
from tests import forwarding_world

MAX_AGE_S = 8.0  # Default of `forwarding.weights_ms`.


def refuse_load_orders(world):
    """Makes all engines refuse load orders."""
    for name, upstream in world.upstreams.items():
        if name.startswith("engine"):
            upstream._apply_order = lambda order: rollout.Reply.REFUSED


class OldWeightsTest(unittest.TestCase):
    def test_attempt_that_has_not_started_is_cancelled_before_the_weights_expire(self):
        for path in ("/ask/x", "/long/x"):
            with self.subTest(path):

                async def check(world, path=path):
                    refuse_load_orders(world)
                    forwarding_world.inject_fault(
                        world, "engine", forwarding_upstream.UpstreamFault.BEGINS_LATE
                    )
                    target_set_at = trio.current_time()
                    world.set_target_weights(2)
                    await trio.sleep(6.0)
                    reply = await world.ask(path, request="q", time_left_ms=5000)
                    ended_at = trio.current_time()
                    self.assertNotEqual(reply.status, 200)
                    self.assertTrue(world.runs_for("q"))
                    self.assertLess(ended_at - target_set_at, MAX_AGE_S)
                    await trio.sleep(0.1)
                    for run in world.runs_for("q"):
                        self.assertLess(run.ended_at - target_set_at, MAX_AGE_S)

                forwarding_world.run_in_world(check)

    def test_log_tells_when_an_attempt_was_given_up_and_how_long_before_it_was_sent(self):
        async def check(world):
            refuse_load_orders(world)
            fault = forwarding_upstream.UpstreamFault.BEGINS_LATE
            forwarding_world.inject_fault(world, "engine", fault)
            world.set_target_weights(2)
            await trio.sleep(6.0)
            await world.ask(request="q", time_left_ms=5000)

        with testing.capture_logs() as lines:
            forwarding_world.run_in_world(check)
        given_up = [line for line in lines if line["event"] == "attempt_given_up"]
        self.assertTrue(given_up)
        self.assertEqual({line["weights"] for line in given_up}, {"1"})
        self.assertTrue(all(line["sent_ms_ago"] > 0 for line in given_up), given_up)

    def test_answer_that_has_started_continues_after_the_weights_expire(self):
        async def check(world):
            refuse_load_orders(world)
            for name, upstream in world.upstreams.items():
                if name.startswith("engine"):
                    upstream.event_interval_s = 0.6
            world.set_target_weights(2)
            await trio.sleep(6.0)
            reply = await world.ask("/long/x", request="q", time_left_ms=5000)
            self.assertEqual((reply.status, reply.broken, len(reply.numbers)), (200, False, 6))

        forwarding_world.run_in_world(check)


if __name__ == "__main__":
    unittest.main()
