"""Two routers never order within the quiet time, whatever the store answers and shows."""

import unittest

import trio
import trio.testing

from cicadapier._internal.decisions import leases
from cicadapier._internal.models import ids
from cicadapier._internal.models import store_versions
from cicadapier._internal.protocols import store_format
from cicadapier._internal.services import engine_orders
from cicadapier._internal.services import order_lease
from cicadapier._internal.services import platform_service
from cicadapier._internal.services import weights_service

MIN_ORDER_GAP_S = 3.0
TIMING = leases.LeaseTiming(
    weights_service.LEASE_VALID_S,
    weights_service.LEASE_EXPIRES_AFTER_S,
    weights_service.LEASE_RENEW_AFTER_S,
    0.0,
    MIN_ORDER_GAP_S + weights_service.QUIET_MARGIN_S,
    reacquires_at_once=True,
    delivery_s=weights_service.LEASE_DELIVERY_S,
)
ROUND_S = 0.1
TAKEOVER_S = 8.0
STEP_S = 0.01
POOL = ids.PoolId("engines")


class LeaseStore:
    """Store with conditional writes.

    Attributes:
        object: The object that was written last.
        epoch: Epoch that its answers name.
    """

    def __init__(self):
        self.object = None
        self.epoch = None
        self.revision = 10
        self._objects = {}

    def find(self, name):
        return self._objects.get(name)

    def write(self, old, name, spec):
        current = self._objects.get(name)
        if (old.version if old else None) != (current.version if current else None):
            return platform_service.NotWritten(current)
        self.revision += 1
        self.put(store_format.StoredObject(name, self._version(), spec))
        return platform_service.Written(self.object)

    def put(self, item):
        self.object = self._objects[item.name] = item

    def _version(self):
        return store_versions.StoreVersion(self.epoch, str(self.revision))

    def remove_all(self):
        self.object = None
        self._objects = {}


class StoreClient:
    """Client of the store for one router; while silent, writes take effect without an answer."""

    def __init__(self, store):
        self.is_silent = False
        self._store = store

    @property
    def epoch(self):
        return self._store.epoch

    async def get(self, kind, name):
        await self._wait()
        return self._store.find(name)

    async def create(self, kind, name, spec):
        written = self._store.write(None, name, spec)
        await self._wait()
        return written

    async def replace(self, kind, old, spec):
        written = self._store.write(old, old.name, spec)
        await self._wait()
        return written

    async def _wait(self):
        if self.is_silent:
            await trio.sleep_forever()
        await trio.sleep(0.004)


class StoreView:
    """A router's copy of the shared objects, which its watch updates."""

    def __init__(self, store):
        self.platform = StoreClient(store)
        self.changed_event = trio.Event()
        self._store = store
        self._objects = {}

    def find(self, name):
        return self._objects.get(name)

    def put(self, item):
        current = self._objects.get(item.name)
        if current is None or current.version.precedes(item.version):
            self._objects[item.name] = item
            self._notify()

    def show(self):
        """Shows the object that was written last, as the watch does."""
        if self._store.object:
            self.put(self._store.object)

    def list_all(self):
        """Shows the state of the store, as a list does."""
        self._objects = {}
        self._notify()
        self.show()

    def _notify(self):
        self.changed_event.set()
        self.changed_event = trio.Event()


class Router:
    """A router that competes for the lease.

    Attributes:
        order_times: Times at which it could have sent an order.
        tokens: Fencing tokens that it could have sent at these times.
    """

    def __init__(self, vm, store, process="first"):
        self.view = StoreView(store)
        self.order_times = []
        self.tokens = []
        nonce = f"{process} process of {vm}"
        lease = leases.Lease(ids.VmId(vm), nonce, TIMING)
        self.lease = order_lease.OrderLease(POOL, lease, nonce, self.view, trio.current_time)
        self.wants_lease = True
        self.is_watch_silent = False

    async def run(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch)
            nursery.start_soon(self._sample)
            while True:
                self.lease.observe()
                if self.wants_lease:
                    await self.lease.acquire_or_renew(order_lease.Note())
                await trio.sleep(ROUND_S)

    async def _watch(self):
        while True:
            if not self.is_watch_silent:
                self.view.show()
            await trio.sleep(STEP_S)

    async def _sample(self):
        while True:
            token = self.lease.fencing_token()
            if token is not None:
                self.order_times.append(trio.current_time())
                self.tokens.append(token)
            await trio.sleep(STEP_S)


def run(scenario):
    """Runs a scenario with two routers, of which only the first wants the lease at first."""

    async def main():
        store = LeaseStore()
        first, second = Router("vm-0", store), Router("vm-1", store)
        second.wants_lease = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first.run)
            nursery.start_soon(second.run)
            await scenario(store, first, second)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def run_second_process(store, watch_silent_s=0.0):
    """Starts a further process on the first router's VM; returns it after some seconds."""
    restarted = Router("vm-0", store, "second")
    restarted.is_watch_silent = True
    async with trio.open_nursery() as nursery:
        nursery.start_soon(restarted.run)
        await trio.sleep(watch_silent_s)
        restarted.is_watch_silent = False
        await trio.sleep(TAKEOVER_S)
        nursery.cancel_scope.cancel()
    return restarted


async def hand_over(former, successor):
    """Lets one router want the lease in place of another, for long enough to order under it."""
    former.wants_lease = False
    successor.wants_lease = True
    successor.order_times.clear()
    successor.tokens.clear()
    await trio.sleep(TAKEOVER_S)


def write_successor(store):
    """Writes the lease of another router that has taken it over."""
    taken = {**store.object.spec, "holder": "vm-1", "nonce": "other", "fencing": 2}
    store.write(store.object, store.object.name, taken)


class OrderLeaseTest(unittest.TestCase):
    def _check_gap(self, first, second):
        self.assertTrue(first.order_times)
        self.assertTrue(second.order_times)
        last_arrival = first.order_times[-1] + engine_orders.CALL_TIMEOUT_S
        gap_s = second.order_times[0] - last_arrival
        self.assertGreaterEqual(gap_s, MIN_ORDER_GAP_S)
        self.assertGreater(min(second.tokens), max(first.tokens))

    def test_order_that_arrives_late_is_still_apart_from_those_of_the_next_holder(self):
        async def check(store, first, second):
            await trio.sleep(1.0)
            await hand_over(first, second)
            self._check_gap(first, second)

        run(check)

    def test_renewal_shown_after_a_later_attempt_counts_from_its_own_start(self):
        # The later attempt did not take effect, so it must not extend the holder's time.
        async def check(store, first, second, silent_s):
            await trio.sleep(0.55)  # The next renewal is due at 0.6 s.
            first.view.platform.is_silent = first.is_watch_silent = True
            await trio.sleep(silent_s)
            first.view.show()
            await trio.sleep(2.3 - silent_s)
            second.wants_lease = True
            await trio.sleep(12.0)
            self._check_gap(first, second)

        for silent_s in (0.7, 1.0, 1.3, 1.6, 1.9, 2.2):
            with self.subTest(silent_s=silent_s):
                run(lambda *args, silent_s=silent_s: check(*args, silent_s))

    def test_lease_of_a_successor_is_not_replaced_by_a_renewal(self):
        async def check(store, first, second):
            await trio.sleep(0.05)
            first.wants_lease = False
            await trio.sleep(1.0)
            first.lease.observe()
            write_successor(store)
            first.view.show()
            await first.lease.acquire_or_renew(order_lease.Note())
            self.assertEqual(store.object.spec["fencing"], 2)
            self.assertIsNone(first.lease.fencing_token())

        run(check)

    def test_lease_of_a_successor_is_not_replaced_by_a_release(self):
        async def check(store, first, second):
            await trio.sleep(0.05)
            first.wants_lease = False
            await trio.sleep(0.5)
            write_successor(store)
            first.view.show()
            await first.lease.release()
            self.assertEqual(store.object.spec["fencing"], 2)
            self.assertFalse(store.object.spec["released"])

        run(check)

    def test_release_beside_a_renewal_takes_effect(self):
        async def check(store, first, second, answered):
            await trio.sleep(0.05)
            first.wants_lease = False
            first.is_watch_silent = True
            await trio.sleep(0.6)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(first.lease.acquire_or_renew, order_lease.Note())
                while store.object.spec["renewals"] < 2:
                    await trio.sleep(0.001)
                if answered:
                    first.view.show()
                await first.lease.release()
            self.assertTrue(store.object.spec["released"])

        for answered in (False, True):
            with self.subTest(answered=answered):
                run(lambda *args, answered=answered: check(*args, answered))

    def test_lease_of_a_former_epoch_of_the_store_is_not_used(self):
        # The store has lost the second router's lease and shows the first router's again.
        async def check(store, first, second):
            store.epoch = 1
            await trio.sleep(6.0)
            copy, revision = store.object, store.revision
            await hand_over(first, second)
            self._check_gap(first, second)
            store.remove_all()
            store.put(copy)
            store.revision = revision
            store.epoch = 2
            self.assertIsNone(second.lease.fencing_token())
            await hand_over(second, first)
            self._check_gap(second, first)

        run(check)

    def test_router_that_starts_in_a_new_epoch_waits_for_orders_of_the_former_one(self):
        async def check(store, first, second):
            store.epoch = 1
            await trio.sleep(6.0)
            store.remove_all()
            store.epoch = 2
            first.wants_lease = False
            restarted = await run_second_process(store)
            self._check_gap(first, restarted)

        run(check)

    def test_tokens_grow_as_the_store_begins_to_name_its_first_epoch(self):
        # The restarted router does not remember the tokens of the lease without an epoch.
        async def check(store, first, second):
            await trio.sleep(1.0)
            first.wants_lease = False
            store.epoch = 0
            restarted = await run_second_process(store)
            self._check_gap(first, restarted)

        run(check)

    def test_restarted_holder_need_not_wait_once_it_sees_its_lease(self):
        async def check(store, first, second):
            store.epoch = 1
            await trio.sleep(6.0)
            first.wants_lease = False
            restarted_at = trio.current_time()
            restarted = await run_second_process(store, watch_silent_s=0.15)
            self.assertLess(restarted.order_times[0] - restarted_at, 1.0)

        run(check)

    def test_lease_that_the_store_has_lost_is_not_used_at_once(self):
        async def check(store, first, second):
            await trio.sleep(1.0)
            store.remove_all()
            first.view.list_all()
            second.view.list_all()
            await hand_over(first, second)
            self._check_gap(first, second)

        run(check)

    def test_earlier_lease_that_the_store_shows_again_gives_no_token_out_twice(self):
        async def check(store, first, second):
            await trio.sleep(1.0)
            copy = store.object
            await hand_over(first, second)
            store.put(copy)
            first.view.list_all()
            second.view.list_all()
            await hand_over(second, first)
            self._check_gap(second, first)

        run(check)


if __name__ == "__main__":
    unittest.main()
