"""Orders of the own interface are sent under a valid lease only."""

import itertools
import random
import types
import unittest

import trio

from cicadapier._internal.decisions import leases
from cicadapier._internal.decisions import order_links
from cicadapier._internal.kernel import random_tokens
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import store_versions
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import store_format
from cicadapier._internal.services import names
from cicadapier._internal.services import orders_service
from cicadapier._internal.services import platform_service
from tests import support


class _RecordingConnection:
    """Connection that counts the requests sent on it and loses their answers."""

    def __init__(self):
        self.sent = 0

    def limit_delivery(self, limit_s):
        pass

    async def send(self, head, body):
        self.sent += 1
        raise exceptions.ConnectionLostError("lost")

    async def close(self):
        pass


class _Connections:
    def __init__(self, conn):
        self._conn = conn

    async def open_direct(self, address, timeout_s):
        return self._conn


class SuspensionTest(unittest.TestCase):
    def test_router_that_was_suspended_sends_no_order_under_its_expired_lease(self):
        suspended_s = 0.0

        def clock():
            # The clock of trio stands still during a suspension.
            return suspended_s

        async def main():
            nonlocal suspended_s
            conn = _RecordingConnection()
            tokens = random_tokens.TokenSource(random.Random(0))
            service = orders_service.OrdersService(ids.VmId("vm"), random.Random(0), tokens, clock)
            service._connections = _Connections(conn)
            lease = leases.Lease(ids.VmId("vm"), "n")
            proposal = lease.propose(clock())
            lease.begin_write(proposal, clock())
            lease.observe(proposal, clock())
            order = orders_service.Order(
                ids.PoolId("p"),
                ids.UpstreamId("u"),
                ids.Address("127.0.0.1:1"),
                ids.ModelId("m"),
                "2",
            )
            with self.assertRaises(exceptions.ConnectionLostError):
                await service._send_order(order, lease, order_links.OrderLinks())
            suspended_s = leases.LEASE_DURATION_S
            await service._send_order(order, lease, order_links.OrderLinks())
            self.assertEqual(conn.sent, 1)

        trio.run(main)


class _Store:
    """Store of the platform that holds one lease."""

    is_configured = True

    def __init__(self):
        self.stored = None
        self.writes = 0

    async def get(self, kind, name):
        return self.stored

    async def create(self, kind, name, spec):
        return await self.replace(kind, None, spec)

    async def replace(self, kind, old, spec):
        await trio.sleep(0.01)
        self.writes += 1
        if old is not self.stored:
            return platform_service.NotWritten(self.stored)
        self.stored = store_format.StoredObject(
            "orders-pool", store_versions.StoreVersion(None, str(self.writes)), spec
        )
        return platform_service.Written(self.stored)


class _Links:
    """Links of one router to the engines; each order that arrives loads the new version."""

    def __init__(self, router, versions, orders, unreached):
        self._router = router
        self._versions = versions
        self._orders = orders
        self._unreached = unreached

    async def open_direct(self, address, timeout_s):
        if address in self._unreached:
            await trio.sleep(timeout_s)
            raise exceptions.ConnectError("no answer")
        return _LoadingConnection(self, address)

    def load(self, address):
        self._orders.append((trio.current_time(), self._router, address))
        self._versions[address] = {"m": "2"}


class _LoadingConnection(_RecordingConnection):
    def __init__(self, links, address):
        super().__init__()
        self._links = links
        self._address = address

    async def send(self, head, body):
        self._links.load(self._address)
        raise exceptions.ConnectionLostError("lost")


class LostLinksTest(unittest.TestCase):
    ENGINES = ("e0", "e1", "e2")

    def _load_weights(self, unreached_by_router):
        """Returns the orders that arrive within 40 s.

        Args:
            unreached_by_router: Engines that each router does not reach.
        """
        orders = []

        async def main():
            store = _Store()
            upstreams = {
                ids.UpstreamId(name): configuration.Upstream(
                    ids.Address(name), ids.FailureDomainId("a")
                )
                for name in self.ENGINES
            }
            pool = configuration.Pool(
                configuration.PoolKind.MODEL,
                models={ids.ModelId("m"): configuration.Model("2")},
                upstreams=upstreams,
            )
            content = types.SimpleNamespace(pools={ids.PoolId("pool"): pool})
            found = {
                names.CONFIGURATION: types.SimpleNamespace(
                    current=types.SimpleNamespace(content=content)
                ),
                names.PLATFORM: store,
            }
            versions = {name: {"m": "1"} for name in self.ENGINES}
            async with trio.open_nursery() as nursery:
                for index, unreached in enumerate(unreached_by_router):
                    rng = random.Random(index)
                    service = orders_service.OrdersService(
                        ids.VmId(f"vm-{index}"),
                        rng,
                        random_tokens.TokenSource(rng),
                        trio.current_time,
                    )
                    services = {
                        **found,
                        names.UPSTREAMS: types.SimpleNamespace(model_versions=versions),
                        names.CONNECTIONS: _Links(index, versions, orders, unreached),
                    }
                    kernel = types.SimpleNamespace(find=services.get, is_stopping=False)
                    await nursery.start(service.run, kernel)
                    await trio.sleep(2.0)  # The first router holds the lease.
                await trio.sleep(40.0)
                nursery.cancel_scope.cancel()

        support.run(main)
        return orders

    def test_router_that_reaches_no_engine_leaves_the_orders_to_another_one(self):
        orders = self._load_weights([self.ENGINES, ()])
        self.assertEqual(
            {(router, engine) for _, router, engine in orders},
            {(1, engine) for engine in self.ENGINES},
        )

    def test_engine_that_is_not_reached_does_not_keep_the_others_from_loading(self):
        orders = self._load_weights([("e0",)])
        self.assertEqual({engine for _, _, engine in orders}, {"e1", "e2"})

    def test_orders_of_two_routers_are_apart(self):
        orders = self._load_weights([("e1", "e2"), ("e0",)])
        self.assertEqual({engine for _, _, engine in orders}, set(self.ENGINES))
        for before, after in itertools.pairwise(orders):
            if before[1] != after[1]:
                self.assertGreaterEqual(after[0] - before[0], leases.MAX_ORDER_S)


if __name__ == "__main__":
    unittest.main()
