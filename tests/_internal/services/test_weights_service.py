"""Target weights reach every engine through one lease holder at a time, despite store faults."""

import itertools
import unittest

import trio

from cicadapier._internal.standins import forwarding_store
from cicadapier._internal.standins import forwarding_upstream
from tests import forwarding_world

Fault = forwarding_upstream.UpstreamFault
StoreFault = forwarding_store.StoreFault


class WeightsTest(unittest.TestCase):
    def _check_weights(self, world, version):
        engines = [u for n, u in world.upstreams.items() if n.startswith("engine")]
        self.assertEqual([u.weights for u in engines], [version] * len(engines))

    def _check_handovers(self, world):
        """Checks the time between orders of different routers and that fencing tokens grow."""
        orders = sorted(
            (at, order.holder, order.fencing)
            for u in world.upstreams.values()
            for at, order in u.orders
        )
        for before, after in itertools.pairwise(orders):
            if before[1] != after[1]:
                self.assertGreaterEqual(after[0] - before[0], 3.0)
                self.assertGreater(after[2], before[2])

    def test_target_weights_reach_every_engine_through_one_router(self):
        async def check(world):
            world.set_target_weights(2)
            await trio.sleep(12.0)
            self._check_weights(world, 2)
            holders = {order.holder for u in world.upstreams.values() for _, order in u.orders}
            self.assertEqual(len(holders), 1)

        forwarding_world.run_in_world(check, routers=3)

    def test_requests_run_only_on_the_weights_that_their_cache_salt_names(self):
        async def check(world):
            world.set_target_weights(2)
            for number in range(60):
                await world.ask(request=f"q{number}", parts=f"p{number % 5}:500,z:9")
                await trio.sleep(0.1)
            for run in world.runs:
                self.assertTrue(run.headers["x-cache-salt"].endswith(f"/{run.weights}"))
            self.assertEqual(world.runs[-1].weights, 2)

        forwarding_world.run_in_world(check, routers=2)

    def test_orders_that_take_effect_late_are_not_repeated(self):
        async def check(world):
            forwarding_world.inject_fault(world, "engine", Fault.ORDERS_LATE)
            world.set_target_weights(2)
            await trio.sleep(20.0)
            for name, upstream in world.upstreams.items():
                if name.startswith("engine"):
                    self.assertEqual((upstream.weights, upstream._accepted_orders), (2, 1))

        forwarding_world.run_in_world(check)

    def test_another_router_takes_over_after_the_holder_stops_and_waits_before_it_sends_orders(
        self,
    ):
        async def check(world):
            world.set_target_weights(2)
            await trio.sleep(1.0)
            orders = [o for u in world.upstreams.values() for o in u.orders]
            holder = orders[0][1].holder
            world.stop(holder)
            world.set_target_weights(3)
            await trio.sleep(14.0)
            self._check_handovers(world)
            self._check_weights(world, 3)

        forwarding_world.run_in_world(check, routers=3)

    def test_watch_confirms_writes_whose_answers_are_lost(self):
        async def check(world):
            world.store.faults.add(StoreFault.LOSES_ANSWERS)
            world.set_target_weights(2)
            await trio.sleep(5.0)
            self._check_weights(world, 2)

        forwarding_world.run_in_world(check, routers=2)

    def test_lease_is_kept_if_most_of_its_writes_are_late(self):
        async def check(world):
            world.store.faults.add(StoreFault.MOST_WRITES_LATE)
            world.set_target_weights(2)
            await trio.sleep(6.0)
            self._check_weights(world, 2)

        forwarding_world.run_in_world(check, routers=2)

    def test_watch_that_lags_by_seconds_delays_no_rollout_and_causes_no_second_holder(self):
        async def check(world):
            world.store.faults.add(StoreFault.STALE)
            for version in (2, 3, 4):
                world.set_target_weights(version)
                await trio.sleep(4.0)
                self._check_weights(world, version)
            holders = {order.holder for u in world.upstreams.values() for _, order in u.orders}
            self.assertEqual(len(holders), 1)

        forwarding_world.run_in_world(check, routers=3)

    def test_lost_answers_and_a_watch_that_lags_by_seconds_delay_a_rollout_little(self):
        async def check(world):
            world.store.faults.update({StoreFault.STALE, StoreFault.LOSES_ANSWERS})
            world.set_target_weights(2)
            await trio.sleep(8.0)
            self._check_weights(world, 2)
            self._check_handovers(world)

        forwarding_world.run_in_world(check, routers=2)

    def test_takeover_waits_before_it_sends_orders_if_the_watch_lags_by_seconds(self):
        async def check(world):
            world.store.faults.add(StoreFault.STALE)
            world.set_target_weights(2)
            await trio.sleep(1.0)
            orders = [o for u in world.upstreams.values() for o in u.orders]
            holder = orders[0][1].holder
            world.stop(holder)
            world.set_target_weights(3)
            await trio.sleep(20.0)
            self._check_handovers(world)
            self._check_weights(world, 3)

        forwarding_world.run_in_world(check, routers=3)

    def test_store_that_becomes_slow_during_a_rollout_delays_it_little(self):
        async def check(world):
            world.set_target_weights(2)
            await trio.sleep(0.5)
            world.store.faults.add(StoreFault.SLOW)
            world.set_target_weights(3)
            await trio.sleep(8.0)
            self._check_weights(world, 3)

        forwarding_world.run_in_world(check, routers=2)

    def test_store_that_refuses_calls_during_a_rollout_delays_it_and_stops_no_router(self):
        async def check(world):
            world.set_target_weights(2)
            await trio.sleep(0.06)
            world.store.faults.add(StoreFault.REFUSES)
            await trio.sleep(3.0)
            world.store.faults.clear()
            await trio.sleep(9.0)
            self._check_weights(world, 2)
            self.assertEqual(await world.readiness_status(), 200)

        forwarding_world.run_in_world(check, routers=2)

    def test_lost_and_late_lease_writes_never_let_two_routers_send_orders_at_once(self):
        for fault in (StoreFault.LOSES_ANSWERS, StoreFault.WRITES_LATE):
            with self.subTest(fault):

                async def check(world, fault=fault):
                    world.store.faults.add(fault)
                    world.set_target_weights(2)
                    await trio.sleep(6.0)
                    world.store.faults.clear()
                    await trio.sleep(14.0)
                    self._check_handovers(world)
                    self._check_weights(world, 2)

                forwarding_world.run_in_world(check, routers=2)

    def test_holder_whose_calls_the_store_does_not_serve_is_replaced(self):
        for fault in (StoreFault.SILENT, StoreFault.REFUSES, StoreFault.BUSY):
            with self.subTest(fault):

                async def check(world, fault=fault):
                    world.set_target_weights(2)
                    await trio.sleep(1.0)
                    holder = next(o.holder for u in world.upstreams.values() for _, o in u.orders)
                    world.store_endpoints[int(holder.rpartition("-")[2])].faults.add(fault)
                    world.set_target_weights(3)
                    await trio.sleep(14.0)
                    self._check_handovers(world)
                    self._check_weights(world, 3)

                forwarding_world.run_in_world(check, routers=3)

    def test_restarted_holder_resumes_orders_without_waiting(self):
        async def check(world):
            world.set_target_weights(2)
            await trio.sleep(1.0)
            holder = next(o.holder for u in world.upstreams.values() for _, o in u.orders)
            index = int(holder.rpartition("-")[2])
            world.routers[index].kernel.stop()
            await trio.sleep(7.0)
            started_at = trio.current_time()
            await world.start_router(index)
            world.set_target_weights(3)
            await trio.sleep(6.0)
            new_orders = [
                (at - started_at, o.holder)
                for u in world.upstreams.values()
                for at, o in u.orders
                if o.version == 3
            ]
            self.assertLess(min(new_orders)[0], 1.5)
            self.assertEqual({holder_vm for _, holder_vm in new_orders}, {holder})
            self._check_handovers(world)
            self._check_weights(world, 3)

        forwarding_world.run_in_world(check, routers=2)

    def test_orders_stay_apart_and_tokens_grow_after_the_store_comes_back_older(self):
        async def check(world):
            world.store.epoch = 1
            await trio.sleep(6.0)
            world.set_target_weights(2)
            await trio.sleep(3.0)
            first = self._last_order(world).holder
            world.stop(first)
            world.set_target_weights(3)
            started_at = trio.current_time()
            while self._last_order(world).holder == first:
                await trio.sleep(0.05)
            await world.start_router(int(first.removeprefix("vm-")))
            # The copy is from before the takeover.
            await world.store.restore(0.5, age_s=trio.current_time() - started_at)
            await trio.sleep(1.0)
            world.set_target_weights(4)
            await trio.sleep(12.0)
            self._check_handovers(world)
            self._check_weights(world, 4)

        forwarding_world.run_in_world(check, routers=3)

    def _last_order(self, world):
        """Returns the last order that an engine received."""
        orders = [timed for upstream in world.upstreams.values() for timed in upstream.orders]
        return max(orders, key=lambda timed: timed[0])[1]

    def test_rate_limited_store_delays_a_rollout_and_is_not_overloaded(self):
        async def check(world):
            world.store.rates = forwarding_store.Rates(writes=3, reads=8)
            world.set_target_weights(2)
            await trio.sleep(10.0)
            self._check_handovers(world)
            self._check_weights(world, 2)
            self.assertLess(world.store.throttled_calls, sum(world.store.calls.values()) / 2)

        forwarding_world.run_in_world(check, routers=3)


if __name__ == "__main__":
    unittest.main()
