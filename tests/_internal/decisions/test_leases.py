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
        DELIVER: All late writes take effect.
        RESTART: Its process ends, and another one begins on the same VM.
        RESTORE: The store is restored: a new epoch begins, in which there is no lease.
    """

    LOOK = enum.auto()
    WRITE = enum.auto()
    WRITE_LOST = enum.auto()
    WRITE_LATE = enum.auto()
    RELEASE = enum.auto()
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


@dataclasses.dataclass
class Router:
    """A router's process, and the epoch and the version of the lease that it has seen."""

    lease: leases.Lease
    epoch: int = -1
    seen_version: int = 0


class Simulation:
    """Routers that contend for one lease in a store with conditional writes."""

    def __init__(self):
        self.now = 0.0
        self.orders = []
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
        is_release = action is Action.RELEASE
        lease = router.lease
        proposal = lease.propose_release() if is_release else lease.propose(self.now)
        if proposal is None:
            return
        lease.begin_write(proposal, self.now)
        if action is Action.WRITE_LATE:
            self._late_writes.append((router.epoch, router.seen_version, proposal))
            return
        self._store(router.epoch, router.seen_version, proposal)
        if action is Action.WRITE:
            self._look(router)

    def _order(self):
        for index, router in enumerate(self._routers):
            token = router.lease.fencing_token(self.now)
            if token is not None:
                self.orders.append((self.now, index, token))


class LateWritesTest(unittest.TestCase):
    def _run_random_events(self, seed):
        rng = random.Random(seed)
        simulation = Simulation()
        for _ in range(EVENTS):
            index = rng.choices(range(ROUTERS), ROUTER_WEIGHTS)[0]
            action = rng.choices(list(WEIGHTS), WEIGHTS.values())[0]
            simulation.act(index, rng.expovariate(1 / MEAN_PAUSE_S), action)
        return simulation.orders

    def test_orders_of_two_routers_are_apart_and_tokens_grow(self):
        for seed in range(SEEDS):
            for before, after in itertools.pairwise(self._run_random_events(seed)):
                self.assertGreaterEqual(after[2], before[2], seed)
                if after[1] != before[1]:
                    self.assertGreaterEqual(after[0] - before[0], MIN_ORDER_GAP_S, seed)
                    self.assertGreater(after[2], before[2], seed)

    def test_routers_take_turns(self):
        turns = 0
        for seed in range(SEEDS):
            orders = self._run_random_events(seed)
            turns += sum(before[1] != after[1] for before, after in itertools.pairwise(orders))
        self.assertGreater(turns, SEEDS // 4)


if __name__ == "__main__":
    unittest.main()
