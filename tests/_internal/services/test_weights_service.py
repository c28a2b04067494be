"""Named weights reach every engine under one order-giver, whatever the store does."""

import itertools
import unittest

import trio

from cicadapier._internal.standins import users_store
from cicadapier._internal.standins import users_upstream
from tests import forwarding_world

Fault = users_upstream.UpstreamFault
StoreFault = users_store.StoreFault


class WeightsTest(unittest.TestCase):
    def _check_weights(self, world, version):
        engines = [u for n, u in world.upstreams.items() if n.startswith("engine")]
        self.assertEqual([u.weights for u in engines], [version] * len(engines))

    def _check_holders(self, world):
        """Checks that orders of two routers keep their distance, under growing numbers."""
        orders = sorted(
            (at, order.holder, order.fencing)
            for u in world.upstreams.values()
            for at, order in u.orders
        )
        for before, after in itertools.pairwise(orders):
            if before[1] != after[1]:
                self.assertGreaterEqual(after[0] - before[0], 3.0)
                self.assertGreater(after[2], before[2])

    def test_new_weights_reach_every_engine_under_one_growing_fence(self):
        async def check(world):
            world.name_weights(2)
            await trio.sleep(12.0)
            self._check_weights(world, 2)
            holders = {order.holder for u in world.upstreams.values() for _, order in u.orders}
            self.assertEqual(len(holders), 1)

        forwarding_world.run_in_world(check, routers=3)

    def test_a_request_never_meets_other_weights_than_its_scope_names(self):
        async def check(world):
            world.name_weights(2)
            for number in range(60):
                await world.ask(request=f"q{number}", parts=f"p{number % 5}:500,z:9")
                await trio.sleep(0.1)
            for run in world.runs:
                self.assertTrue(run.headers["x-cache-salt"].endswith(f"/{run.weights}"))
            self.assertEqual(world.runs[-1].weights, 2)

        forwarding_world.run_in_world(check, routers=2)

    def test_late_orders_are_never_doubled(self):
        async def check(world):
            forwarding_world.inject_fault(world, "engine", Fault.ORDERS_LATE)
            world.name_weights(2)
            await trio.sleep(20.0)
            for name, upstream in world.upstreams.items():
                if name.startswith("engine"):
                    self.assertEqual((upstream.weights, upstream._accepted), (2, 1))

        forwarding_world.run_in_world(check)

    def test_another_router_takes_over_after_the_holder_is_gone_and_keeps_its_distance(self):
        async def check(world):
            world.name_weights(2)
            await trio.sleep(1.0)
            given = [o for u in world.upstreams.values() for o in u.orders]
            holder = given[0][1].holder
            world.end(holder)
            world.name_weights(3)
            await trio.sleep(14.0)
            self._check_holders(world)
            self._check_weights(world, 3)

        forwarding_world.run_in_world(check, routers=3)

    def test_the_watch_stands_in_for_answers_that_the_store_loses(self):
        async def check(world):
            world.store.faults.add(StoreFault.LOSES_ANSWERS)
            world.name_weights(2)
            await trio.sleep(5.0)
            self._check_weights(world, 2)

        forwarding_world.run_in_world(check, routers=2)

    def test_a_lease_is_kept_where_most_of_its_writes_are_late(self):
        async def check(world):
            world.store.faults.add(StoreFault.MOST_WRITES_LATE)
            world.name_weights(2)
            await trio.sleep(6.0)
            self._check_weights(world, 2)

        forwarding_world.run_in_world(check, routers=2)

    def test_a_watch_that_is_seconds_behind_delays_no_rollout_and_brings_no_second_order_giver(
        self,
    ):
        async def check(world):
            world.store.faults.add(StoreFault.STALE)
            for version in (2, 3, 4):
                world.name_weights(version)
                await trio.sleep(4.0)
                self._check_weights(world, version)
            holders = {order.holder for u in world.upstreams.values() for _, order in u.orders}
            self.assertEqual(len(holders), 1)

        forwarding_world.run_in_world(check, routers=3)

    def test_lost_answers_and_a_watch_that_is_seconds_behind_delay_a_rollout_little(self):
        async def check(world):
            world.store.faults.update({StoreFault.STALE, StoreFault.LOSES_ANSWERS})
            world.name_weights(2)
            await trio.sleep(8.0)
            self._check_weights(world, 2)
            self._check_holders(world)

        forwarding_world.run_in_world(check, routers=2)

    def test_a_takeover_keeps_its_distance_where_the_watch_is_seconds_behind(self):
        async def check(world):
            world.store.faults.add(StoreFault.STALE)
            world.name_weights(2)
            await trio.sleep(1.0)
            given = [o for u in world.upstreams.values() for o in u.orders]
            holder = given[0][1].holder
            world.end(holder)
            world.name_weights(3)
            await trio.sleep(20.0)
            self._check_holders(world)
            self._check_weights(world, 3)

        forwarding_world.run_in_world(check, routers=3)

    def test_a_store_that_turns_slow_amid_a_rollout_delays_it_little(self):
        async def check(world):
            world.name_weights(2)
            await trio.sleep(0.5)
            world.store.faults.add(StoreFault.SLOW)
            world.name_weights(3)
            await trio.sleep(8.0)
            self._check_weights(world, 3)

        forwarding_world.run_in_world(check, routers=2)

    def test_a_store_that_refuses_amid_a_rollout_delays_it_and_ends_nobody(self):
        async def check(world):
            world.name_weights(2)
            await trio.sleep(0.06)
            world.store.faults.add(StoreFault.REFUSES)
            await trio.sleep(3.0)
            world.store.faults.clear()
            await trio.sleep(9.0)
            self._check_weights(world, 2)
            self.assertEqual(await world.readiness_status(), 200)

        forwarding_world.run_in_world(check, routers=2)

    def test_lost_and_late_lease_writes_let_nobody_order_beside_another(self):
        for fault in (StoreFault.LOSES_ANSWERS, StoreFault.WRITES_LATE):
            with self.subTest(fault):

                async def check(world, fault=fault):
                    world.store.faults.add(fault)
                    world.name_weights(2)
                    await trio.sleep(6.0)
                    world.store.faults.clear()
                    await trio.sleep(14.0)
                    self._check_holders(world)
                    self._check_weights(world, 2)

                forwarding_world.run_in_world(check, routers=2)

    def test_a_holder_that_the_store_turns_away_gives_way_to_another(self):
        for fault in (StoreFault.SILENT, StoreFault.REFUSES, StoreFault.BUSY):
            with self.subTest(fault):

                async def check(world, fault=fault):
                    world.name_weights(2)
                    await trio.sleep(1.0)
                    holder = next(o.holder for u in world.upstreams.values() for _, o in u.orders)
                    world.doors[int(holder.rpartition("-")[2])].faults.add(fault)
                    world.name_weights(3)
                    await trio.sleep(14.0)
                    self._check_holders(world)
                    self._check_weights(world, 3)

                forwarding_world.run_in_world(check, routers=3)

    def test_a_holder_that_is_restarted_orders_on_without_a_wait(self):
        async def check(world):
            world.name_weights(2)
            await trio.sleep(1.0)
            holder = next(o.holder for u in world.upstreams.values() for _, o in u.orders)
            index = int(holder.rpartition("-")[2])
            world.routers[index].kernel.stop()
            await trio.sleep(7.0)
            started_at = trio.current_time()
            await world.start_router(index)
            world.name_weights(3)
            await trio.sleep(6.0)
            third = [
                (at - started_at, o.holder)
                for u in world.upstreams.values()
                for at, o in u.orders
                if o.version == 3
            ]
            self.assertLess(min(third)[0], 1.5)
            self.assertEqual({name for _, name in third}, {holder})
            self._check_holders(world)
            self._check_weights(world, 3)

        forwarding_world.run_in_world(check, routers=2)

    def test_a_store_with_little_rate_delays_a_rollout_and_is_not_pressed(self):
        async def check(world):
            world.store.rates = users_store.Rates(writes=3, reads=8)
            world.name_weights(2)
            await trio.sleep(10.0)
            self._check_holders(world)
            self._check_weights(world, 2)
            self.assertLess(world.store.turned_away, sum(world.store.calls.values()) / 2)

        forwarding_world.run_in_world(check, routers=3)


if __name__ == "__main__":
    unittest.main()
