"""Routers that lose their links to the engines keep nobody from loading new weights."""

import itertools
import unittest

from structlog import testing
import trio

from cicadapier._internal.models import ids
from cicadapier._internal.standins import router_links
from tests import forwarding_world

Fault = router_links.LinkFault
ROUTERS = 4
MAX_AGE_S = 8.0  # Default of `forwarding.weights_ms`.
MIN_ORDER_GAP_S = 3.0
ASK_INTERVAL_S = 0.2
# From the last renewal: the latest order (1.3 s), its late reading (1.5 s) and the gap behind it,
# less the time between that renewal and the first order.
UNREAD_ORDER_GAP_S = 5.4


def _engines(world):
    return [upstream for name, upstream in world.upstreams.items() if name.startswith("engine")]


def _orders(world):
    return sorted(
        (at, upstream.entry.upstream, order.holder, order.fencing)
        for upstream in _engines(world)
        for at, order in upstream.orders
    )


def _holder(world):
    """Returns the index of the router that sent the last order."""
    return int(_orders(world)[-1][2].removeprefix("vm-"))


class CutOrderHolderTest(unittest.TestCase):
    def _check_gaps(self, world):
        """Checks the time between orders of different routers and that fencing tokens grow."""
        for before, after in itertools.pairwise(_orders(world)):
            if before[2] != after[2]:
                self.assertGreaterEqual(after[0] - before[0], MIN_ORDER_GAP_S)
                self.assertGreater(after[3], before[3])

    def _check_weights(self, world, version):
        self.assertEqual([u.weights for u in _engines(world)], [version] * len(_engines(world)))

    async def _make_holder(self, world):
        world.set_target_weights(2)
        await trio.sleep(8.0)
        self._check_weights(world, 2)
        return _holder(world)

    async def _check_rollout(self, world):
        """Checks that all engines load new weights before the former ones are too old."""
        await trio.sleep(1.0)
        world.set_target_weights(3)
        await trio.sleep(MAX_AGE_S)
        self._check_weights(world, 3)
        self._check_gaps(world)

    async def _ask_until(self, world, router, until, statuses):
        while trio.current_time() < until:
            reply = await world.ask(router=router, time_left_ms=3000)
            statuses.append(reply.status)
            await trio.sleep(ASK_INTERVAL_S)

    def test_last_holder_without_links_keeps_no_engine_on_old_weights(self):
        for fault in Fault:
            with self.subTest(fault):

                async def check(world, fault=fault):
                    holder = await self._make_holder(world)
                    world.cut_links(holder, fault)
                    await trio.sleep(1.0)
                    world.set_target_weights(3)
                    statuses = []
                    until = trio.current_time() + 16.0
                    async with trio.open_nursery() as nursery:
                        for router in range(ROUTERS):
                            if router != holder:
                                nursery.start_soon(self._ask_until, world, router, until, statuses)
                        await trio.sleep(5.0)
                        self._check_weights(world, 3)
                    self._check_gaps(world)
                    self.assertEqual(set(statuses), {200})

                forwarding_world.run_in_world(check, routers=ROUTERS)

    def test_routers_that_know_of_their_lost_links_leave_the_lease_to_others(self):
        for fault in Fault:
            with self.subTest(fault):

                async def check(world, fault=fault):
                    holder = await self._make_holder(world)
                    world.cut_links(holder, fault)
                    for number in range(12):
                        await world.ask(router=holder, parts=f"p{number}:600,x:9")
                        await trio.sleep(ASK_INTERVAL_S)
                    world.set_target_weights(3)
                    await trio.sleep(4.0)
                    self._check_weights(world, 3)
                    self._check_gaps(world)

                with testing.capture_logs() as lines:
                    forwarding_world.run_in_world(check, routers=ROUTERS)
                # Nobody has tried in vain to update an engine.
                self.assertNotIn("weights_not_loaded", {line["event"] for line in lines})

    def test_holder_that_is_cut_off_amid_a_rollout_is_replaced_in_time(self):
        for fault in Fault:
            for after_s in (0.3, 0.5, 1.0):
                with self.subTest(fault=fault, after_s=after_s):

                    async def check(world, fault=fault, after_s=after_s):
                        holder = await self._make_holder(world)
                        world.set_target_weights(3)
                        await trio.sleep(after_s)
                        world.cut_links(holder, fault)
                        await trio.sleep(MAX_AGE_S - after_s)
                        self._check_weights(world, 3)
                        self._check_gaps(world)

                    forwarding_world.run_in_world(check, routers=ROUTERS, engines=6)

    def test_all_routers_but_one_without_links(self):
        for fault in Fault:
            for reached in range(ROUTERS):
                with self.subTest(fault=fault, reached=reached):

                    async def check(world, fault=fault, reached=reached):
                        await self._make_holder(world)
                        await trio.sleep(MIN_ORDER_GAP_S)
                        for router in set(range(ROUTERS)) - {reached}:
                            world.cut_links(router, fault)
                        await self._check_rollout(world)

                    forwarding_world.run_in_world(check, routers=ROUTERS)

    def test_holder_that_reaches_some_engines_leaves_the_others_to_another_router(self):
        for fault in Fault:
            with self.subTest(fault):

                async def check(world, fault=fault):
                    holder = await self._make_holder(world)
                    world.cut_links(holder, fault, ["engine-0", "engine-1"])
                    await self._check_rollout(world)

                forwarding_world.run_in_world(check, routers=ROUTERS)

    def test_engines_that_no_router_reaches_are_updated_once_they_are_reached_again(self):
        for fault in Fault:
            with self.subTest(fault):

                async def check(world, fault=fault):
                    await self._make_holder(world)
                    for router in range(ROUTERS):
                        world.cut_links(router, fault)
                    world.set_target_weights(3)
                    revision_before = world.store.revision
                    await trio.sleep(20.0)
                    # Each hand-over takes two writes, and each router then leaves the lease alone
                    # for a while.
                    self.assertLess(world.store.revision - revision_before, 80)
                    for router in range(ROUTERS):
                        world.heal_links(router)
                    await trio.sleep(8.0)
                    self._check_weights(world, 3)
                    self._check_gaps(world)

                forwarding_world.run_in_world(check, routers=ROUTERS)

    def test_engine_that_restarts_amid_its_update_makes_no_router_give_up_the_others(self):
        async def check(world):
            holder = await self._make_holder(world)
            world.set_target_weights(3)
            await trio.sleep(0.35)
            world.crash("engine-0")
            await trio.sleep(MAX_AGE_S)
            others = [u for u in _engines(world) if u.entry.upstream != ids.UpstreamId("engine-0")]
            self.assertEqual({u.weights for u in others}, {3})
            updates = [order[2] for order in _orders(world) if order[1] != "engine-0"]
            self.assertEqual(updates[-1], f"vm-{holder}")

        forwarding_world.run_in_world(check, routers=ROUTERS, engines=6)


class KilledOrderHolderTest(unittest.TestCase):
    """The holder is killed as an engine has not read its order; the engine reads it late (ONE)."""

    async def _kill_holder_amid_order(self, world):
        """Kills the holder as it has ordered the first engine.

        Returns:
            The engine, the time of its order, and the orders of other holders that follow.
        """
        world.set_target_weights(2)
        engine = None
        while engine is None:
            await trio.sleep(0.005)
            engine = next((upstream for upstream in _engines(world) if upstream.orders), None)
        ordered_at, order = engine.orders[0]
        world.stop(order.holder)
        engine.weights = 1  # As if it had not read the order yet.
        await trio.sleep(10.0)
        later = [item for item in _orders(world) if item[2] != order.holder]
        return engine.entry.upstream, ordered_at, later

    def test_next_holder_orders_the_engine_once_an_order_has_long_been_read(self):
        async def check(world):
            _, ordered_at, later = await self._kill_holder_amid_order(world)
            self.assertGreaterEqual(later[0][0], ordered_at + UNREAD_ORDER_GAP_S)

        forwarding_world.run_in_world(check, routers=ROUTERS, engines=1)

    def test_next_holder_orders_other_engines_earlier(self):
        async def check(world):
            engine, ordered_at, later = await self._kill_holder_amid_order(world)
            own = [at for at, name, _, _ in later if name == engine]
            self.assertGreaterEqual(min(own), ordered_at + UNREAD_ORDER_GAP_S)
            self.assertLess(later[0][0], ordered_at + UNREAD_ORDER_GAP_S)

        forwarding_world.run_in_world(check, routers=ROUTERS)


if __name__ == "__main__":
    unittest.main()
