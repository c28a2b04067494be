"""Engines whose weights the routers take for newer than they are serve and are updated."""

import unittest

import trio

from cicadapier._internal.decisions import members
from cicadapier._internal.models import ids
from cicadapier._internal.services import traffic_messages
from cicadapier._internal.standins import forwarding_deployment
from tests import forwarding_world

MAX_AGE_S = 8.0  # Default of `forwarding.weights_ms`.
MODEL = forwarding_deployment.MODEL
ENGINES = forwarding_deployment.ENGINES


def _mistake_weights(world, router, upstream, version):
    """Makes a router believe that an engine serves a weights version."""
    weights = members.Weights(MODEL, version)
    message = traffic_messages.StatusReported(ENGINES, ids.UpstreamId(upstream), None, weights)
    world.routers[router].kernel.find("traffic").mailbox.send(message)


def _fail_amid_load(world, name):
    """Makes an engine crash amid its first load, and come back with the weights from before."""
    upstream = world.upstreams[name]
    apply_order = upstream._apply_order

    def crash_after_order(order):
        before = upstream.weights
        reply = apply_order(order)
        upstream._apply_order = apply_order
        world.crash(name)
        upstream.weights = before
        upstream._loading_until = 0.0
        upstream._accepted_orders = 0
        return reply

    upstream._apply_order = crash_after_order


class MistakenWeightsTest(unittest.TestCase):
    def test_engine_that_falls_over_amid_a_load_is_updated(self):
        async def check(world):
            _fail_amid_load(world, "engine-0")
            world.set_target_weights(2)
            statuses = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._ask, world, statuses)
                await trio.sleep(MAX_AGE_S)
                nursery.cancel_scope.cancel()
            self.assertEqual(len(world.crashes), 1)
            engines = [u for n, u in world.upstreams.items() if n.startswith("engine")]
            self.assertEqual([engine.weights for engine in engines], [2, 2, 2])
            self.assertEqual(set(statuses), {200})

        forwarding_world.run_in_world(check, routers=2)

    async def _ask(self, world, statuses):
        while True:
            for router in range(2):
                reply = await world.ask(router=router)
                statuses.append(reply.status)
                await trio.sleep(0.1)

    def test_engine_that_all_routers_take_for_newer_is_updated_once_it_refuses_a_request(self):
        async def check(world):
            world.set_target_weights(2)
            for router in range(2):
                for index in range(3):
                    _mistake_weights(world, router, f"engine-{index}", "2")
            await trio.sleep(0.5)
            statuses = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._ask, world, statuses)
                await trio.sleep(MAX_AGE_S)
                nursery.cancel_scope.cancel()
            engines = [u for n, u in world.upstreams.items() if n.startswith("engine")]
            self.assertEqual([engine.weights for engine in engines], [2, 2, 2])
            self.assertEqual(set(statuses), {200})

        forwarding_world.run_in_world(check, routers=2)


if __name__ == "__main__":
    unittest.main()
