"""A router that opens connections to upstreams for its peers, and whom it refuses."""

import pathlib
import tempfile
import unittest

import trio
import trustme

from cicadapier._internal.assembly import forwarding as forwarding_assembly
from cicadapier._internal.assembly import router as router_assembly
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import tunnels
from cicadapier._internal.services import names
from cicadapier._internal.services import tunnels_service
from tests import forwarding_world
from tests import tunnel_rig

Outcome = tunnels.Outcome
GARBAGE = (b"", b"\0" * 5000, b"GET / HTTP/1.1\r\n\r\n", b"CONNECT 127.0.0.1:1 HTTP/1.1\r\n")


async def _echo(stream):
    while data := await stream.receive_some(1000):
        await stream.send_all(data)


async def _send_garbage(stream, data):
    """Sends data and keeps the connection open until the other end closes it."""
    try:
        if data:
            await stream.send_all(data)
        await tunnel_rig.receive_all(stream)
    except trio.BrokenResourceError:
        pass
    await stream.aclose()


class RefusalsTest(unittest.TestCase):
    def run_rig(self, test, **options):
        tunnel_rig.run_in_memory(test, **options)

    def test_bytes_are_carried_in_both_directions_and_counted(self):
        async def test(rig):
            stream = await rig.open(await rig.add_upstream(_echo))
            await stream.send_all(b"hello")
            self.assertEqual(await stream.receive_some(100), b"hello")
            self.assertEqual(rig.open_connections, 1)
            await stream.aclose()
            await tunnel_rig.wait_until(lambda: rig.open_connections == 0)
            self.assertEqual(rig.kernel.tunnel_bytes, 10)
            self.assertEqual(rig.kernel.events, ["tunnel_carried"])

        self.run_rig(test)

    def test_router_without_the_secret_learns_and_reaches_nothing(self):
        async def test(rig):
            accepted = []

            async def serve(stream):
                accepted.append(stream)

            known = await rig.add_upstream(serve)
            unknown = await rig.add_upstream(serve, is_registered=False)
            for address in (known, unknown):
                for secret in ("", "other"):
                    self.assertIs(await rig.ask(address, secret), Outcome.FORBIDDEN)
            self.assertEqual(accepted, [])

        self.run_rig(test)

    def test_only_registered_addresses_are_reached(self):
        async def test(rig):
            accepted = []

            async def serve(stream):
                accepted.append(stream)

            address = await rig.add_upstream(serve)
            rig.kernel.addresses.clear()
            for asked in (address, address + "0", rig.service.listen_address):
                self.assertIs(await rig.ask(asked), Outcome.UNREGISTERED)
            self.assertEqual(accepted, [])

        self.run_rig(test)

    def test_upstream_that_refuses_or_does_not_answer_is_told_apart(self):
        async def test(rig):
            rig.kernel.addresses.add("127.0.0.1:1")
            self.assertIs(await rig.ask("127.0.0.1:1"), Outcome.REFUSED)

            async def hang(address, timeout_s):
                await trio.sleep(timeout_s)
                raise exceptions.ConnectError("no answer")

            rig.service._network = type("Hanging", (), {"connect": staticmethod(hang)})
            started_at = trio.current_time()
            self.assertIs(await rig.ask("127.0.0.1:1"), Outcome.UNREACHABLE)
            self.assertLess(
                trio.current_time() - started_at, tunnels_service.CONNECT_TIMEOUT_S + 0.1
            )

        self.run_rig(test)

    def test_no_room(self):
        async def test(rig):
            address = await rig.add_upstream(_echo)
            streams = [await rig.open(address) for _ in range(2)]
            self.assertIs(await rig.ask(address), Outcome.FULL)
            await streams.pop().aclose()
            await trio.sleep(0.01)
            streams.append(await rig.open(address))
            self.assertIs(await rig.ask(address), Outcome.FULL)

        self.run_rig(test, max_tunnels=2)

    def test_zero_tunnels(self):
        async def test(rig):
            self.assertIsNone(rig.service.listen_address)
            self.assertEqual(rig.kernel.tunnel_port, 0)

        self.run_rig(test, max_tunnels=0)

    def test_stopping_router_goes_on_with_open_tunnels_only(self):
        async def test(rig):
            address = await rig.add_upstream(_echo)
            stream = await rig.open(address)
            rig.kernel.is_stopping = True
            self.assertIs(await rig.ask(address), Outcome.STOPPING)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(rig.service.drain)
                await trio.sleep(2.0)
                await stream.send_all(b"hello")
                self.assertEqual(await stream.receive_some(100), b"hello")
                await stream.aclose()

        self.run_rig(test)

    def test_drain_does_not_wait_for_ever(self):
        async def test(rig):
            await rig.service.drain()
            started_at = trio.current_time()
            await rig.open(await rig.add_upstream(_echo))
            await rig.service.drain()
            took_s = trio.current_time() - started_at
            self.assertAlmostEqual(took_s, tunnels_service.MAX_DRAIN_S, 1)

        self.run_rig(test)

    def test_router_without_links_says_so_at_once(self):
        async def test(rig):
            address = await rig.add_upstream(_echo)
            rig.kernel.all_lost = True
            started_at = trio.current_time()
            self.assertIs(await rig.ask(address), Outcome.LINKS_LOST)
            self.assertLess(trio.current_time() - started_at, 0.01)

        self.run_rig(test)

    def test_connection_without_a_request_ends(self):
        async def test(rig):
            for data in GARBAGE:
                started_at = trio.current_time()
                await _send_garbage(await rig.connect(), data)
                took_s = trio.current_time() - started_at
                self.assertLess(took_s, tunnels_service.REQUEST_TIMEOUT_S + 0.1)
            self.assertEqual(rig.open_connections, 0)

        self.run_rig(test)

    def test_connections_without_a_request_take_no_room_from_peers(self):
        async def test(rig):
            address = await rig.add_upstream(_echo)
            async with trio.open_nursery() as nursery:
                for data in GARBAGE * 5:
                    nursery.start_soon(_send_garbage, await rig.connect(), data)
                await trio.sleep(0.1)
                self.assertIs(await rig.ask(address), Outcome.OPEN)
            self.assertEqual(rig.open_connections, 0)

        self.run_rig(test, max_tunnels=2)

    def test_service_outlives_many_connections_without_a_request(self):
        async def test(rig):
            async with trio.open_nursery() as nursery:
                for number in range(500):
                    data = GARBAGE[number % len(GARBAGE)]
                    nursery.start_soon(_send_garbage, await rig.connect(), data)
            self.assertEqual(rig.open_connections, 0)
            stream = await rig.open(await rig.add_upstream(_echo))
            await stream.aclose()

        self.run_rig(test)

    def test_tunnel_that_carries_nothing_ends(self):
        async def test(rig):
            stream = await rig.open(await rig.add_upstream(_echo))
            opened_at = trio.current_time()
            _, was_reset = await tunnel_rig.receive_all(stream)
            self.assertTrue(was_reset)
            idle_s = trio.current_time() - opened_at
            longest_s = tunnels_service.IDLE_TIMEOUT_S + tunnels_service.CHECK_INTERVAL_S
            self.assertTrue(tunnels_service.IDLE_TIMEOUT_S <= idle_s <= longest_s + 0.1, idle_s)

        self.run_rig(test)


class AddressesTest(unittest.TestCase):
    def test_store_peers_and_upstreams_that_have_left_are_not_reached(self):
        async def test(world):
            service = world.routers[0].kernel.find("tunnels")
            asked = [
                next(iter(world.routers[0].kernel.find("platform")._cfg.addresses)),
                world.routers[1].callers.address,
                world.routers[1].kernel.find("peers").address,
                service.listen_address,
            ]
            left = world.upstreams["desk-1"].entry.address
            self.assertIs(await _ask(world, service, left), Outcome.OPEN)
            world.unregister("desk-1")
            await trio.sleep(1.0)
            for address in [*asked, left]:
                with self.subTest(address):
                    self.assertIs(await _ask(world, service, address), Outcome.UNREGISTERED)

        forwarding_world.run_in_world(test, routers=2)


class TlsTest(unittest.TestCase):
    def test_certificate_for_callers_does_not_keep_peers_out(self):
        certificate = trustme.CA().issue_cert("127.0.0.1")
        with tempfile.TemporaryDirectory() as folder:
            chain = pathlib.Path(folder) / "chain.pem"
            key = pathlib.Path(folder) / "key.pem"
            certificate.private_key_and_cert_chain_pem.write_to_path(str(chain))
            certificate.private_key_pem.write_to_path(str(key))
            trio.run(self._check, settings.Tls(str(chain), str(key)))

    async def _check(self, tls):
        cfg = settings.Settings(
            ids.VmId("vm-1"),
            ids.FailureDomainId("here"),
            listen=settings.Listen(*[tunnel_rig.ANY_PORT] * 6),
            tls=tls,
            forwarding=settings.Forwarding(),
        )
        dependencies = router_assembly.production_dependencies(cfg)
        router = forwarding_assembly.assemble(cfg, cfg.forwarding, dependencies)
        async with trio.open_nursery() as nursery:
            await nursery.start(router.kernel.run)
            address = router.kernel.find(names.TUNNELS).listen_address
            async with await dependencies.connect_network.connect(address, 1.0) as stream:
                outcome = await tunnels.request_tunnel(stream, "127.0.0.1:1", "")
            self.assertIs(outcome, Outcome.UNREGISTERED)
            nursery.cancel_scope.cancel()


async def _ask(world, service, address):
    async with await world.network.connect(service.listen_address, 1.0) as stream:
        return await tunnels.request_tunnel(stream, address, "")


if __name__ == "__main__":
    unittest.main()
