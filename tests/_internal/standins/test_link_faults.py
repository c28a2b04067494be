"""Faults of the links between single routers and the upstreams."""

import unittest

import msgspec
import trio

from cicadapier._internal.models import ids
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import http_client
from cicadapier._internal.standins import fault_server
from cicadapier._internal.standins import faults
from cicadapier._internal.standins import forwarding_deployment
from cicadapier._internal.standins import forwarding_faults
from tests import forwarding_world
from tests import support

ROUTER = ids.VmId("router-1")
OTHER_ROUTER = ids.VmId("router-2")
ENGINE = "quill-models-1"
DESK = "catalogue-desk-1"
TIMEOUT_S = 0.4


async def _connect(world, vm, upstream):
    """Returns how an attempt of a router to connect to an upstream ends."""
    links = world._link_faults.links[vm]
    try:
        stream = await links.connect(world.upstreams[upstream].address, TIMEOUT_S)
    except exceptions.ConnectRefusedError:
        return "refused"
    except exceptions.ConnectError:
        return "no answer"
    await stream.aclose()
    return "open"


class LinkFaultsTest(unittest.TestCase):
    def _check_endings(self, kind, target, expected):
        """Injects a fault and checks how attempts to connect end."""

        async def check(world):
            world.inject(kind, target, 60.0, None)
            endings = {
                (vm, upstream): await _connect(world, vm, upstream) for vm, upstream in expected
            }
            self.assertEqual(endings, expected)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_the_links_of_one_router_are_cut(self):
        for kind, ending in (
            (faults.FaultKind.LINKS_HANG, "no answer"),
            (faults.FaultKind.LINKS_RESET, "refused"),
            (faults.FaultKind.LINKS_REFUSED, "refused"),
        ):
            with self.subTest(kind):
                expected = {
                    (ROUTER, ENGINE): ending,
                    (ROUTER, DESK): ending,
                    (OTHER_ROUTER, ENGINE): "open",
                }
                self._check_endings(kind, ROUTER, expected)

    def test_the_link_to_one_upstream_is_cut(self):
        expected = {(ROUTER, ENGINE): "no answer", (ROUTER, DESK): "open"}
        self._check_endings(faults.FaultKind.LINKS_HANG, f"{ROUTER}|{ENGINE}", expected)

    def test_the_links_of_all_routers_are_cut(self):
        expected = {(ROUTER, ENGINE): "refused", (OTHER_ROUTER, DESK): "refused"}
        self._check_endings(faults.FaultKind.LINKS_RESET, faults.ANY, expected)

    def test_a_cut_ends_in_time_or_when_it_is_cleared(self):
        async def check(world):
            world.inject(faults.FaultKind.LINKS_REFUSED, ROUTER, 2.0, None)
            await trio.sleep(1.9)
            self.assertEqual(await _connect(world, ROUTER, ENGINE), "refused")
            await trio.sleep(0.2)
            self.assertEqual(await _connect(world, ROUTER, ENGINE), "open")
            world.inject(faults.FaultKind.LINKS_REFUSED, ROUTER, 60.0, None)
            world.active_faults.clear()
            await trio.sleep(0.1)
            self.assertEqual(await _connect(world, ROUTER, ENGINE), "open")

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_a_cut_outlasts_a_restart_of_the_router(self):
        async def check(world):
            world.inject(faults.FaultKind.LINKS_REFUSED, ROUTER, 60.0, None)
            world.stop_router(ROUTER)
            await world.start_router(0)
            self.assertEqual(await _connect(world, ROUTER, ENGINE), "refused")

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_the_other_routers_serve(self):
        async def check(world):
            world.inject(faults.FaultKind.LINKS_RESET, ROUTER, 60.0, None)
            reply = await support.Caller(world, router=1).complete("Is the last line too long?")
            self.assertEqual(reply.outcome, "complete")

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_the_links_of_a_router_of_forwarded_routes_are_cut(self):
        async def check(world):
            address = world.upstreams["desk-0"].entry.address
            async with trio.open_nursery() as nursery:
                targets = forwarding_faults.ForwardingFaults(world, nursery)
                targets.inject(faults.FaultKind.LINKS_REFUSED, "vm-1|desk-0", 2.0, None)
                await world.links[0].connect(address, TIMEOUT_S)
                with self.assertRaises(exceptions.ConnectRefusedError):
                    await world.links[1].connect(address, TIMEOUT_S)
            await world.links[1].connect(address, TIMEOUT_S)

        forwarding_world.run_in_world(check, routers=2)


class FaultServerTest(unittest.TestCase):
    async def _post(self, world, address, kind):
        body = msgspec.json.encode({"kind": kind, "target": "vm-0", "seconds": 5.0})
        head = http_client.RequestHead("POST", fault_server.PATH, [])
        return (await world._exchange(address, head, body)).status

    def test_only_kinds_that_the_stand_ins_know_are_injected(self):
        async def check(world):
            async with trio.open_nursery() as nursery:
                targets = forwarding_faults.ForwardingFaults(world, nursery)
                server = fault_server.FaultServer(targets, world.network)
                address = await nursery.start(server.run, forwarding_deployment.ANY_PORT)
                self.assertEqual(await self._post(world, address, "poison"), 400)
                self.assertEqual(await self._post(world, address, "links-hang"), 200)
                kinds = [fault.kind for fault in targets.active_faults.active()]
                self.assertEqual(kinds, [faults.FaultKind.LINKS_HANG])
                nursery.cancel_scope.cancel()

        forwarding_world.run_in_world(check)


if __name__ == "__main__":
    unittest.main()
