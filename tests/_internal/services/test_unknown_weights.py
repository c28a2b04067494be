"""Engines whose weights version is not known run no requests on old weights."""

import dataclasses
import unittest

import trio

from tests import forwarding_world
from tests._internal.services import test_old_weights

MAX_AGE_S = 8.0  # Default of `forwarding.weights_ms`.


def _hide_weights(world):
    """Registers all engines without the weights that they have loaded."""
    for name, upstream in world.upstreams.items():
        if name.startswith("engine"):
            world.register(dataclasses.replace(upstream.entry, weights={}))


async def _add_engines(world, count=3):
    """Adds engines whose entries never told their weights."""
    for index in range(count):
        name = f"engine-{index}"
        world.unregister(name)
    await trio.sleep(3.0)
    _hide_weights(world)
    await trio.sleep(1.0)


class UnknownWeightsTest(unittest.TestCase):
    def test_engine_that_does_not_tell_its_weights_begins_nothing_on_expired_ones(self):
        async def check(world):
            test_old_weights.refuse_load_orders(world)
            await _add_engines(world)
            named_at = trio.current_time()
            world.set_target_weights(2)
            await trio.sleep(MAX_AGE_S + 1.0)
            for number in range(4):
                reply = await world.ask(request=f"q{number}")
                self.assertNotEqual(reply.status, 200)
            late = [run for run in world.runs if run.at > named_at + MAX_AGE_S]
            self.assertEqual([run.weights for run in late], [])

        forwarding_world.run_in_world(check)

    def test_engine_that_does_not_tell_its_weights_serves_and_is_updated(self):
        async def check(world):
            await _add_engines(world)
            reply = await world.ask()
            self.assertEqual(reply.status, 200)
            world.set_target_weights(2)
            statuses = []
            for _ in range(40):
                statuses.append((await world.ask()).status)
                await trio.sleep(0.2)
            self.assertEqual(set(statuses), {200})
            engines = [u for n, u in world.upstreams.items() if n.startswith("engine")]
            self.assertEqual([engine.weights for engine in engines], [2, 2, 2])

        forwarding_world.run_in_world(check)


if __name__ == "__main__":
    unittest.main()
