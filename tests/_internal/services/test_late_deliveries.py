"""Requests that were given up and are delivered late never begin."""

import unittest

import trio

from cicadapier._internal.standins import router_links
from tests import forwarding_world
from tests._internal.services import test_old_weights

MAX_AGE_S = 8.0  # Default of `forwarding.weights_ms`.
CUT_AT_S = 5.9
DELIVERED_AT_S = 8.3
CALLERS = 6


async def _ask_many(world, nursery, path, count, router=0):
    for number in range(count):
        nursery.start_soon(lambda n=number: world.ask(path, request=f"q{n}", router=router))


class LateDeliveryTest(unittest.TestCase):
    def _check_no_late_run(self, world, target_set_at):
        late = [run for run in world.runs if run.at - target_set_at > MAX_AGE_S and run.weights < 2]
        self.assertEqual([(run.request, run.at - target_set_at) for run in late], [])

    def test_request_that_a_cut_held_up_does_not_begin_on_old_weights(self):
        async def check(world):
            test_old_weights.refuse_load_orders(world)
            async with trio.open_nursery() as nursery:
                await _ask_many(world, nursery, "/ask/warm", CALLERS)  # Leaves idle connections.
            target_set_at = trio.current_time()
            world.set_target_weights(2)
            async with trio.open_nursery() as nursery:
                while trio.current_time() < target_set_at + CUT_AT_S:
                    nursery.start_soon(world.ask, "/ask/warm")
                    await trio.sleep(0.5)
                await trio.sleep(0.1)
                world.cut_links(0, router_links.LinkFault.HANG)
                await _ask_many(world, nursery, "/ask/x", CALLERS)
                await trio.sleep_until(target_set_at + DELIVERED_AT_S)
                world.heal_links(0)
            await trio.sleep(1.0)
            self._check_no_late_run(world, target_set_at)

        forwarding_world.run_in_world(check, seed=1)

    def test_request_that_is_delivered_late_does_not_begin_on_old_weights(self):
        for path in ("/ask/x", "/long/x"):
            with self.subTest(path):

                async def check(world, path=path):
                    test_old_weights.refuse_load_orders(world)
                    target_set_at = trio.current_time()
                    world.set_target_weights(2)
                    await trio.sleep(CUT_AT_S)
                    world.links[0].delay_delivery_until(
                        target_set_at + DELIVERED_AT_S, world.upstream_addresses()
                    )
                    async with trio.open_nursery() as nursery:
                        await _ask_many(world, nursery, path, CALLERS)
                    await trio.sleep_until(target_set_at + DELIVERED_AT_S + 1.0)
                    self._check_no_late_run(world, target_set_at)

                forwarding_world.run_in_world(check)

    def test_request_whose_caller_has_left_does_not_run_as_it_is_delivered(self):
        async def check(world):
            world.links[0].delay_delivery_until(
                trio.current_time() + 2.0, world.upstream_addresses()
            )
            with trio.move_on_after(1.0):
                await world.send("POST", "desk", "/order/x", b"once", request="q")
            await trio.sleep(2.0)
            self.assertEqual(world.runs_for("q"), [])

        forwarding_world.run_in_world(check)

    def test_request_of_a_router_that_has_ended_does_not_run_as_it_is_delivered(self):
        async def check(world):
            world.links[0].delay_delivery_until(
                trio.current_time() + 2.0, world.upstream_addresses()
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(lambda: world.send("POST", "desk", "/order/x", request="q"))
                await trio.sleep(0.5)
                world.stop("vm-0")
                await trio.sleep(2.5)
                nursery.cancel_scope.cancel()
            self.assertEqual(world.runs_for("q"), [])

        forwarding_world.run_in_world(check)


if __name__ == "__main__":
    unittest.main()
