"""Orders of the own interface are sent under a valid lease only."""

import random
import unittest

import trio

from cicadapier._internal.decisions import leases
from cicadapier._internal.kernel import random_tokens
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.services import orders_service


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
                await service._send_order(order, lease)
            suspended_s = leases.LEASE_DURATION_S
            await service._send_order(order, lease)
            self.assertEqual(conn.sent, 1)

        trio.run(main)


if __name__ == "__main__":
    unittest.main()
