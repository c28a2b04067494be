"""Cuts of the links of a router in a whole deployment."""

import unittest

import trio

from cicadapier._internal.protocols import exceptions
from cicadapier._internal.standins import forwarding_deployment
from cicadapier._internal.standins import router_links
from tests import forwarding_world

LinkFault = router_links.LinkFault
TIMEOUT_S = 0.4


class ForwardingDeploymentTest(unittest.TestCase):
    async def _statuses(self, world, router):
        return [
            (await world.send("GET", "desk", "/look/x", router=router)).status for _ in range(3)
        ]

    def test_a_cut_router_follows_the_store_while_the_others_serve(self):
        async def check(world):
            for number, fault in enumerate(LinkFault, 10):
                world.cut_links(0, fault)
                self.assertEqual(await self._statuses(world, 1), [200] * 3)
                world.configure(forwarding_deployment.routes(), number)
                await trio.sleep(3.0)
                self.assertEqual(world.routers[0].configuration.current.number, number)
                world.heal_links(0)
                await trio.sleep(10.0)
                self.assertEqual(await self._statuses(world, 0), [200] * 3)

        forwarding_world.run_in_world(check, routers=2)

    def test_named_upstreams_alone_are_cut(self):
        async def check(world):
            world.cut_links(0, LinkFault.RESET, ["desk-0"])
            await world.links[0].connect(world.upstreams["desk-1"].entry.address, TIMEOUT_S)
            with self.assertRaises(exceptions.ConnectRefusedError):
                await world.links[0].connect(world.upstreams["desk-0"].entry.address, TIMEOUT_S)

        forwarding_world.run_in_world(check)

    def test_a_cut_of_all_covers_upstreams_that_are_added_later(self):
        async def check(world):
            world.cut_links(0, LinkFault.REFUSE_NEW)
            upstream = await world.add_upstream("desk-9", forwarding_deployment.DESK, None)
            with self.assertRaises(exceptions.ConnectRefusedError):
                await world.links[0].connect(upstream.entry.address, TIMEOUT_S)
            self.assertIn(upstream.entry.address, world.upstream_addresses())

        forwarding_world.run_in_world(check)

    def test_a_cut_outlasts_a_restart_of_the_router(self):
        async def check(world):
            world.cut_links(0, LinkFault.REFUSE_NEW)
            world.stop("vm-0")
            await trio.sleep(1.0)
            await world.start_router(0)
            with self.assertRaises(exceptions.ConnectRefusedError):
                await world.links[0].connect(world.upstreams["desk-0"].entry.address, TIMEOUT_S)

        forwarding_world.run_in_world(check)


if __name__ == "__main__":
    unittest.main()
