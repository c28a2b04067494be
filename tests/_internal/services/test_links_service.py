"""A router that opens connections through peers: which it asks, when, and what it concludes."""

import random
import unittest

import trio

from cicadapier._internal.decisions import membership
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import tunnels
from cicadapier._internal.services import links_service
from cicadapier._internal.services import names
from cicadapier._internal.standins import faulty_network
from cicadapier._internal.standins import router_links
from tests import support
from tests import tunnel_rig

Fault = router_links.LinkFault
TIMEOUT_S = 0.4
FAILURE_DOMAIN = ids.FailureDomainId("here")


class _CountingNetwork(router_links.RouterLinks):
    """Counts the connections that were opened and are still open."""

    def __init__(self, inner):
        super().__init__(inner)
        self.asked = []
        self.on_connected = lambda: None

    async def connect(self, address, timeout_s):
        self.asked.append(address)
        stream = await super().connect(address, timeout_s)
        self.on_connected()
        return stream

    @property
    def open_streams(self):
        return [stream for stream in self._streams if not stream._is_closed]


class _Kernel:
    """Stands in for the kernel and for the services that the links ask."""

    def __init__(self):
        self.heartbeats = []
        self.addresses = frozenset()
        self.all_lost = None
        self.events = []

    def find(self, name):
        assert name in (names.PEERS, names.UPSTREAMS, names.CONNECTIONS, names.TELEMETRY)
        return self

    def reachable(self):
        return self.heartbeats

    def set_links_lost(self, all_lost):
        self.all_lost = all_lost

    def drop_idle(self, address):
        pass

    def count_event(self, name):
        self.events.append(name)


class LinksRig:
    """The links of a router, its peers, and upstreams that echo.

    Attributes:
        network: Network of the router.
        kernel: What the links ask and tell.
        links: The links.
        peers: The peers, which work.
        upstreams: Addresses of the upstreams.
        lost: Address of an upstream to which the router has no link.
    """

    def __init__(self, nursery):
        self.nursery = nursery
        self.inner = faulty_network.MemoryNetwork()
        self.network = _CountingNetwork(self.inner)
        self.kernel = _Kernel()
        self.peers = []
        self.upstreams = []

    async def start(self, peers, max_tunnels):
        cfg = settings.Settings(
            ids.VmId("vm-0"), FAILURE_DOMAIN, peers=settings.Peers(secret=tunnel_rig.SECRET)
        )
        self.links = links_service.LinksService(cfg, self.network, random.Random(0))
        await self.nursery.start(self.links.run, self.kernel)
        for number in range(peers):
            peer = tunnel_rig.Rig(self.inner, self.nursery, max_tunnels[number])
            await peer.start()
            self.peers.append(peer)
            self.add_peer(peer.service.listen_address)
        for _ in range(2):
            self.upstreams.append(await self.add_upstream())
        self.lost = self.upstreams[0]

    def add_peer(self, address):
        port = int(address.rpartition(":")[2]) if address else 0
        vm = ids.VmId(f"vm-{1 + len(self.kernel.heartbeats)}")
        self.kernel.heartbeats.append(
            membership.Heartbeat(vm, "127.0.0.1:1", FAILURE_DOMAIN, 1, 1, tunnel_port=port)
        )

    async def add_upstream(self):
        address = await self.nursery.start(self.inner.serve, tunnel_rig.ANY_PORT, _echo)
        self.kernel.addresses |= {address}
        for peer in self.peers:
            peer.kernel.addresses.add(address)
        return address

    async def add_fake_peer(self, handler):
        """Adds a peer that serves connections with a function."""
        address = await self.nursery.start(self.inner.serve, tunnel_rig.ANY_PORT, handler)
        self.add_peer(address)

    async def connect(self, address):
        """Returns the time that a connection took; None for an error."""
        started_at = trio.current_time()
        async with await self.links.connect(address, TIMEOUT_S):
            return trio.current_time() - started_at

    @property
    def asked_peers(self):
        """Number of times that peers were connected to."""
        return sum(address not in self.kernel.addresses for address in self.network.asked)


async def _echo(stream):
    async with stream:
        try:
            while data := await stream.receive_some(1000):
                await stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass


async def _say_nothing(stream):
    await trio.sleep_forever()


def run_with_links(test, peers=0, max_tunnels=(4,) * 9):
    """Runs a test with the links of a router."""

    async def main():
        async with trio.open_nursery() as nursery:
            rig = LinksRig(nursery)
            await rig.start(peers, max_tunnels)
            await test(rig)
            nursery.cancel_scope.cancel()

    support.run(main)


class ChoiceTest(unittest.TestCase):
    def test_no_peer_is_asked_while_the_links_work(self):
        async def test(rig):
            for number in range(200):
                self.assertLess(await rig.connect(rig.upstreams[number % 2]), 0.01)
            await trio.sleep(10.0)
            self.assertEqual((rig.asked_peers, len(rig.network.asked)), (0, 200))
            self.assertEqual(rig.network.open_streams, [])

        run_with_links(test, peers=3)

    def test_peer_without_room_is_followed_by_another(self):
        async def test(rig):
            rig.network.cut(Fault.RESET, rig.upstreams)
            for _ in range(10):
                self.assertLess(await rig.connect(rig.lost), 0.05)
                await trio.sleep(0.5)
            self.assertIn("tunnel_full", rig.kernel.events)
            self.assertEqual(rig.kernel.events.count("tunnel_open"), 10)

        async def fill(rig):
            for peer in rig.peers[:2]:
                await peer.open(rig.lost)
            await test(rig)

        run_with_links(fill, peers=3, max_tunnels=(1, 1, 4))

    def test_peer_that_accepts_and_says_nothing_costs_little_time(self):
        async def test(rig):
            for _ in range(2):
                await rig.add_fake_peer(_say_nothing)
            rig.network.cut(Fault.RESET, rig.upstreams)
            for _ in range(10):
                took_s = await rig.connect(rig.lost)
                self.assertLess(took_s, 2 * links_service.NEXT_PEER_DELAY_S + 0.05)
                await trio.sleep(0.5)

        run_with_links(test, peers=1)

    def test_peer_that_answers_garbage_is_followed_by_another(self):
        async def garbage(stream):
            await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\nhello")

        async def close(stream):
            await stream.aclose()

        for handler in (garbage, close):

            async def test(rig, handler=handler):
                for _ in range(2):
                    await rig.add_fake_peer(handler)
                rig.network.cut(Fault.RESET, rig.upstreams)
                for _ in range(10):
                    self.assertLess(await rig.connect(rig.lost), 0.15)
                    await trio.sleep(0.5)

            run_with_links(test, peers=1)

    def test_peer_without_links_asks_nobody_else(self):
        async def test(rig):
            rig.peers[0].kernel.all_lost = True
            rig.network.cut(Fault.RESET, rig.upstreams)
            for _ in range(3):
                with self.assertRaises(exceptions.ConnectError):
                    await rig.connect(rig.lost)
                await trio.sleep(1.5)
            self.assertEqual(rig.kernel.events, ["tunnel_links_lost"] * 3)

        run_with_links(test, peers=1)

    def test_healed_link_is_used_at_once_if_no_peer_opens_a_connection(self):
        async def hang(address, timeout_s):
            await trio.sleep(timeout_s)
            raise exceptions.ConnectError("no answer")

        async def test(rig):
            rig.network.cut(Fault.HANG, rig.upstreams)
            for _ in range(2):
                for upstream in rig.upstreams:
                    await rig.connect(upstream)
            self.assertTrue(rig.kernel.all_lost)
            for peer in rig.peers:
                peer.kernel.all_lost = peer is rig.peers[0]
                peer.service._network = type("Hanging", (), {"connect": staticmethod(hang)})
            rig.network.heal()
            for upstream in rig.upstreams:
                self.assertLess(await rig.connect(upstream), 0.2)
            self.assertFalse(rig.kernel.all_lost)

        run_with_links(test, peers=2)

    def test_tunnels_are_spread_over_the_peers(self):
        async def test(rig):
            rig.network.cut(Fault.RESET, rig.upstreams)
            for _ in range(200):
                await rig.connect(rig.upstreams[0])
            carried = [peer.kernel.events.count("tunnel_carried") for peer in rig.peers]
            self.assertEqual(sum(carried), 200)
            self.assertGreater(min(carried), 20)

        run_with_links(test, peers=4)


class EvidenceTest(unittest.TestCase):
    def test_crashed_upstream_is_told_from_a_lost_link(self):
        async def test(rig):
            rig.inner.refuse_connections(rig.lost)
            for _ in range(3):
                started_at = trio.current_time()
                with self.assertRaises(exceptions.ConnectRefusedError):
                    await rig.connect(rig.lost)
                self.assertLess(trio.current_time() - started_at, 0.03)
            self.assertIsNone(rig.kernel.all_lost)
            await trio.sleep(1.0)
            self.assertEqual(rig.kernel.events.count("tunnel_open"), 0)

        for peers in (0, 1, 3):
            with self.subTest(peers=peers):
                run_with_links(test, peers=peers)

    def test_each_peer_is_asked_once_a_second_for_a_crashed_upstream(self):
        async def test(rig):
            rig.inner.refuse_connections(rig.lost)
            for _ in range(100):
                with self.assertRaises(exceptions.ConnectRefusedError):
                    await rig.connect(rig.lost)
                await trio.sleep(0.05)
            self.assertLessEqual(rig.asked_peers, 8 * 6)

        run_with_links(test, peers=8)

    def test_upstream_that_crashes_beside_another_is_refused(self):
        async def test(rig):
            third = await rig.add_upstream()
            for upstream in (*rig.upstreams, third):
                await rig.connect(upstream)
            await trio.sleep(1.0)
            for upstream in rig.upstreams:
                rig.inner.refuse_connections(upstream)
            for upstream in rig.upstreams:
                with self.assertRaises(exceptions.ConnectRefusedError):
                    await rig.connect(upstream)

        run_with_links(test)

    def test_lost_link_is_no_refusal_without_a_peer(self):
        async def test(rig):
            rig.network.cut(Fault.RESET, rig.upstreams)
            with self.assertRaises(exceptions.ConnectError) as caught:
                await rig.connect(rig.lost)
            self.assertNotIsInstance(caught.exception, exceptions.ConnectRefusedError)

        run_with_links(test)

    def test_crash_behind_lost_links_is_a_refusal(self):
        async def test(rig):
            rig.network.cut(Fault.HANG, rig.upstreams)
            for _ in range(2):
                for upstream in rig.upstreams:
                    await rig.connect(upstream)
            self.assertTrue(rig.kernel.all_lost)
            rig.inner.refuse_connections(rig.lost)
            with self.assertRaises(exceptions.ConnectRefusedError):
                await rig.connect(rig.lost)

        run_with_links(test, peers=3)

    def test_refusal_of_a_peer_whose_own_links_are_lost_is_none(self):
        async def test(rig):
            cut = router_links.RouterLinks(rig.inner)
            cut.cut(Fault.RESET, rig.upstreams)
            for peer in rig.peers:
                peer.service._network = cut
                peer.kernel.reaches_another = False
            rig.network.cut(Fault.RESET, rig.upstreams)
            with self.assertRaises(exceptions.ConnectError) as caught:
                await rig.connect(rig.lost)
            self.assertNotIsInstance(caught.exception, exceptions.ConnectRefusedError)

        run_with_links(test, peers=3)


class CancelledTest(unittest.TestCase):
    def test_no_stream_is_left_open_whenever_the_caller_leaves(self):
        for fault in (None, Fault.HANG, Fault.RESET):
            for part in range(40):

                async def test(rig, fault=fault, part=part):
                    if fault:
                        rig.network.cut(fault, rig.upstreams)
                    with trio.CancelScope() as scope:
                        async with trio.open_nursery() as nursery:
                            nursery.start_soon(_cancel_after_steps, scope, part)
                            async with await rig.links.connect(rig.lost, TIMEOUT_S):
                                pass
                    await trio.sleep(1.0)
                    self.assertEqual(rig.network.open_streams, [], (fault, part))

                run_with_links(test, peers=2)

    def test_no_stream_is_left_open_if_the_caller_leaves_as_it_is_opened(self):
        for event in ("connected", "tunnel_open"):
            with self.subTest(event):

                async def test(rig, event=event):
                    scope = trio.CancelScope()
                    if event == "tunnel_open":
                        rig.network.cut(Fault.RESET, rig.upstreams)
                        rig.kernel.count_event = lambda name: scope.cancel()
                    else:
                        rig.network.on_connected = scope.cancel
                    with scope:
                        async with await rig.links.connect(rig.lost, TIMEOUT_S):
                            pass
                    self.assertTrue(scope.cancel_called)
                    self.assertEqual(rig.network.open_streams, [])

                run_with_links(test, peers=1)


async def _cancel_after_steps(scope, steps):
    """Cancels a scope at one of the moments at which something happens."""
    await trio.sleep(0.0)
    for _ in range(steps):
        await trio.testing.wait_all_tasks_blocked()
        await trio.sleep(0.0001)
    scope.cancel()


class OutcomesTest(unittest.TestCase):
    def test_each_outcome_is_counted(self):
        async def test(rig):
            rig.network.cut(Fault.RESET, rig.upstreams)
            await rig.connect(rig.lost)
            self.assertEqual(rig.kernel.events, [f"tunnel_{tunnels.Outcome.OPEN.value}"])

        run_with_links(test, peers=1)


if __name__ == "__main__":
    unittest.main()
