"""Orders under a lease whose writes are lost or late, in a store that forgets, amid restarts."""

import dataclasses
import enum
import itertools
import random
import unittest

from cicadapier._internal.decisions import leases
from cicadapier._internal.models import ids

TIMING = leases.LeaseTiming(1.6, 2.0, 0.6, 0.0, quiet_s=3.3, reacquires_at_once=True)
MIN_ORDER_GAP_S = 3.0
TOKENS_PER_EPOCH = 1000
ROUTERS = 3
ROUTER_WEIGHTS = (4, 2, 1)
SEEDS = 400
EVENTS = 300
MEAN_PAUSE_S = 0.15


class Action(enum.Enum):
    """What happens to a router next.

    Attributes:
        LOOK: It sees the lease as it is now.
        WRITE: It writes the lease and gets the answer.
        WRITE_LOST: Its write takes effect, the answer is lost.
        WRITE_LATE: Its write takes effect later if its condition still holds; no answer.
        RELEASE: It releases the lease; the answer is lost.
        HAND_OVER: It hands over the lease, which it cannot use; the answer is lost.
        DELIVER: All late writes take effect.
        RESTART: Its process ends, and another one begins on the same VM.
        RESTORE: The store is restored: a new epoch begins, in which there is no lease.
    """

    LOOK = enum.auto()
    WRITE = enum.auto()
    WRITE_LOST = enum.auto()
    WRITE_LATE = enum.auto()
    RELEASE = enum.auto()
    HAND_OVER = enum.auto()
    DELIVER = enum.auto()
    RESTART = enum.auto()
    RESTORE = enum.auto()


WEIGHTS = {
    Action.LOOK: 10,
    Action.WRITE: 30,
    Action.WRITE_LOST: 25,
    Action.WRITE_LATE: 15,
    Action.RELEASE: 1,
    Action.DELIVER: 10,
    Action.RESTART: 2,
    Action.RESTORE: 1,
}
HAND_OVER_WEIGHTS = {**WEIGHTS, Action.HAND_OVER: 6}


@dataclasses.dataclass
class Router:
    """A router's process, and the epoch and the version of the lease that it has seen."""

    lease: leases.Lease
    epoch: int = -1
    seen_version: int = 0


class Simulation:
    """Routers that contend for one lease in a store with conditional writes."""

    def __init__(self, order_share=1.0, seed=0):
        self.now = 0.0
        self.orders = []
        self._order_share = order_share
        self._rng = random.Random(seed)
        self._epoch = 0
        self._versions = [None]
        self._late_writes = []
        self._starts = 0
        self._routers = [self._start(index) for index in range(ROUTERS)]

    def _start(self, index):
        self._starts += 1
        vm = ids.VmId(f"vm{index}")
        router = Router(leases.Lease(vm, f"process {self._starts}", TIMING))
        self._look(router)
        return router

    def _look(self, router):
        if router.epoch != self._epoch:
            router.epoch = self._epoch
            router.lease.begin_anew(self._epoch * TOKENS_PER_EPOCH, self.now)
        router.seen_version = len(self._versions) - 1
        router.lease.observe(self._versions[-1], self.now)

    def _store(self, epoch, version, proposal):
        if epoch == self._epoch and version == len(self._versions) - 1:
            self._versions.append(proposal)

    def act(self, index, pause_s, action):
        self.now += pause_s
        router = self._routers[index]
        if action is Action.DELIVER:
            for late_write in self._late_writes:
                self._store(*late_write)
            self._late_writes.clear()
        elif action is Action.RESTORE:
            self._epoch += 1
            self._versions = [None]
        elif action is Action.RESTART:
            self._routers[index] = self._start(index)
        elif action is Action.LOOK:
            self._look(router)
        else:
            self._write(router, action)
        self._order()

    def _write(self, router, action):
        proposal = self._propose(router.lease, action)
        if proposal is None:
            return
        router.lease.begin_write(proposal, self.now)
        if action is Action.WRITE_LATE:
            self._late_writes.append((router.epoch, router.seen_version, proposal))
            return
        self._store(router.epoch, router.seen_version, proposal)
        if action is Action.WRITE:
            self._look(router)

    def _propose(self, lease, action):
        if action is Action.RELEASE:
            return lease.propose_release(self.now)
        if action is Action.HAND_OVER:
            return lease.propose_hand_over(self.now)
        return lease.propose(self.now)

    def _order(self):
        for index, router in enumerate(self._routers):
            token = router.lease.fencing_token(self.now)
            if token is not None and self._rng.random() < self._order_share:
                router.lease.record_order(self.now)
                self.orders.append((self.now, index, token))


class UnreadOrdersTest(unittest.TestCase):
    """Guards against orders of two holders that come too close, as one is read late (ONE)."""

    TIMING = dataclasses.replace(TIMING, delivery_s=0.3)

    def _take(self, vm, now, previous=None):
        """Returns a router's lease, and what it writes as it takes it."""
        lease = leases.Lease(vm, f"{vm}-nonce", self.TIMING)
        lease.observe(previous, now)
        proposal = lease.propose(now)
        if proposal is not None:
            lease.begin_write(proposal, now)
        return lease, proposal

    def test_last_order_of_a_holder_that_is_gone_is_counted_as_read_late(self):
        first, held = self._take(ids.VmId("a"), 0.0)
        first.observe(held, 0.0)
        last_order_at = max(at / 100 for at in range(200) if first.fencing_token(at / 100))
        second = leases.Lease(ids.VmId("b"), "b-nonce", self.TIMING)
        second.observe(held, 0.0)
        read_at = last_order_at + leases.MAX_ENGINE_SILENCE_S
        self.assertGreaterEqual(second.unread_until, read_at + MIN_ORDER_GAP_S)

    def test_orders_are_not_unread_after_a_release_or_of_an_own_process(self):
        first, held = self._take(ids.VmId("a"), 0.0)
        first.observe(held, 0.0)
        released = first.propose_release(0.5)
        for vm, stored in (("b", released), ("a", held), ("b", None)):
            other = leases.Lease(ids.VmId(vm), "other-nonce", self.TIMING)
            other.observe(stored, 1.0)
            self.assertLess(other.unread_until, 0.0)


class LateWritesTest(unittest.TestCase):
    def _run_random_events(self, seed, weights=WEIGHTS, order_share=1.0):
        rng = random.Random(seed)
        simulation = Simulation(order_share, seed)
        for _ in range(EVENTS):
            index = rng.choices(range(ROUTERS), ROUTER_WEIGHTS)[0]
            action = rng.choices(list(weights), weights.values())[0]
            simulation.act(index, rng.expovariate(1 / MEAN_PAUSE_S), action)
        return simulation.orders

    def _check_orders(self, orders, seed):
        for before, after in itertools.pairwise(orders):
            self.assertGreaterEqual(after[2], before[2], seed)
            if after[1] != before[1]:
                self.assertGreaterEqual(after[0] - before[0], MIN_ORDER_GAP_S, seed)
                self.assertGreater(after[2], before[2], seed)

    def test_orders_of_two_routers_are_apart_and_tokens_grow(self):
        for seed in range(SEEDS):
            self._check_orders(self._run_random_events(seed), seed)

    def test_orders_stay_apart_where_holders_that_have_hardly_ordered_hand_the_lease_over(self):
        for seed in range(SEEDS):
            for order_share in (0.02, 0.2, 1.0):
                orders = self._run_random_events(seed, HAND_OVER_WEIGHTS, order_share)
                self._check_orders(orders, seed)

    def _take(self):
        """Returns the lease of a router that took it at 0 s, and the object in the store."""
        holder = leases.Lease(ids.VmId("vm0"), "process 0", TIMING)
        taken = holder.propose(0.0)
        holder.begin_write(taken, 0.0)
        holder.observe(taken, 0.0)
        return holder, taken

    def _hand_over(self, act=lambda lease: None):
        """Returns the lease that is left as its holder hands it over, 0.7 s after it took it."""
        holder, taken = self._take()
        act(holder)
        return taken, holder.propose_hand_over(0.7)

    def test_lease_that_was_handed_over_without_orders_is_usable_at_once(self):
        taken, handed_over = self._hand_over()
        second = leases.Lease(ids.VmId("vm1"), "process 1", TIMING)
        second.observe(taken, 0.0)
        second.observe(handed_over, 0.7)
        retaken = second.propose(0.7)
        second.begin_write(retaken, 0.7)
        second.observe(retaken, 0.71)
        self.assertEqual(second.fencing_token(0.71), taken.fencing + 1)

    def test_order_that_a_silent_engine_may_still_read_keeps_the_next_holder_quiet(self):
        _, handed_over = self._hand_over(lambda lease: lease.record_order(0.6))
        read_at = 0.6 + leases.MAX_ENGINE_SILENCE_S
        self.assertGreaterEqual(0.7 + handed_over.quiet_s, read_at + MIN_ORDER_GAP_S)

    def test_order_that_was_answered_keeps_the_next_holder_quiet_from_its_answer(self):
        def order(lease):
            lease.record_order_answer(lease.record_order(0.6), 0.65)

        _, handed_over = self._hand_over(order)
        self.assertAlmostEqual(0.7 + handed_over.quiet_s, 0.65 + TIMING.delivery_s + TIMING.quiet_s)

    def test_release_keeps_the_next_holder_quiet_after_orders_that_may_still_be_read(self):
        holder, _ = self._take()
        self.assertEqual(holder.propose_release(0.6).quiet_s, TIMING.quiet_s)
        unanswered = holder.record_order(0.6)
        read_at = 0.6 + leases.MAX_ENGINE_SILENCE_S
        quiet_until = 1.2 + holder.propose_release(1.2).quiet_s
        self.assertAlmostEqual(quiet_until, read_at + TIMING.quiet_s)
        holder.record_order_answer(unanswered, 1.2)
        self.assertEqual(holder.propose_release(1.2).quiet_s, TIMING.quiet_s)

    def test_next_holder_keeps_the_longest_quiet_time_of_a_release(self):
        holder, taken = self._take()
        holder.record_order(0.6)
        successor = leases.Lease(ids.VmId("vm1"), "process 1", TIMING)
        successor.observe(taken, 0.0)
        successor.observe(holder.propose_release(0.6), 0.6)
        taken = successor.propose(0.6)
        read_at = 0.6 + leases.MAX_ENGINE_SILENCE_S
        self.assertAlmostEqual(0.6 + taken.quiet_s, read_at + TIMING.quiet_s)

    def test_routers_take_turns(self):
        turns = 0
        for seed in range(SEEDS):
            orders = self._run_random_events(seed)
            turns += sum(before[1] != after[1] for before, after in itertools.pairwise(orders))
        self.assertGreater(turns, SEEDS // 4)


if __name__ == "__main__":
    unittest.main()
