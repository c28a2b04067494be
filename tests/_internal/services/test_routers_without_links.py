"""Callers of routers that have lost their links to upstreams are served as others are."""

import itertools
import unittest

import trio

from cicadapier._internal.standins import router_links
from tests import forwarding_world

Fault = router_links.LinkFault
ROUTERS = 4
CONTACT_S = 3.0  # From then on, callers are to be served as well as elsewhere.
CUT_S = 12.0
ASK_INTERVAL_S = 0.25
MIN_SHARE = 2 / 3  # Of the share that is served elsewhere.
KINDS = ("look", "order", "ask", "long")


async def send(world, kind, router, request=None):
    """Sends a request of a kind to a router and returns the reply."""
    if kind in ("look", "order"):
        method = "GET" if kind == "look" else "POST"
        return await world.send(method, "desk", f"/{kind}/x", router=router, request=request)
    return await world.ask(f"/{kind}/x", router=router, request=request)


def is_whole(reply, kind):
    """Returns whether a reply is a complete answer."""
    if reply.status != 200 or reply.broken:
        return False
    return kind in ("look", "order") or reply.numbers == [1, 2, 3, 4, 5, 6]


class Served:
    """Counts of the first tries at each router, and of those that were served."""

    def __init__(self):
        self.tries = dict.fromkeys(range(ROUTERS), 0)
        self.served = dict.fromkeys(range(ROUTERS), 0)

    def share(self, routers):
        """Returns the share of the first tries at some routers that was served."""
        return sum(self.served[r] for r in routers) / sum(self.tries[r] for r in routers)


async def ask_for(world, duration_s, served, routers=range(ROUTERS)):
    """Sends requests of all kinds to all routers for a while."""

    async def ask_once(kind, router):
        reply = await send(world, kind, router)
        served.tries[router] += 1
        served.served[router] += is_whole(reply, kind)

    kinds = itertools.cycle(KINDS)
    until = trio.current_time() + duration_s
    async with trio.open_nursery() as nursery:
        while trio.current_time() < until:
            for router in routers:
                nursery.start_soon(ask_once, next(kinds), router)
            next(kinds)
            await trio.sleep(ASK_INTERVAL_S)


class RoutersWithoutLinksTest(unittest.TestCase):
    def _check(self, cut, fault, names=None):
        served = Served()

        async def check(world):
            await ask_for(world, 2.0, Served())
            for router in cut:
                world.cut_links(router, fault, names)
            await ask_for(world, CONTACT_S, Served())
            await ask_for(world, CUT_S - CONTACT_S, served)

        forwarding_world.run_in_world(check, routers=ROUTERS)
        others = set(range(ROUTERS)) - set(cut)
        self.assertGreater(served.share(others), 0.95)
        self.assertGreaterEqual(served.share(cut), MIN_SHARE * served.share(others))
        self.assertGreater(served.share(cut), 0.95)

    def test_one_router_of_four(self):
        for fault in Fault:
            with self.subTest(fault):
                self._check([2], fault)

    def test_half_of_the_routers(self):
        for fault in Fault:
            with self.subTest(fault):
                self._check([0, 2], fault)

    def test_all_routers_but_one(self):
        for fault in Fault:
            with self.subTest(fault):
                self._check([0, 1, 3], fault)

    def test_links_to_some_upstreams(self):
        for fault in Fault:
            with self.subTest(fault):
                self._check([1], fault, ["engine-0", "engine-1", "desk-0"])

    def test_first_request_after_the_cut_is_served(self):
        for fault in Fault:
            for kind in KINDS:
                with self.subTest(fault=fault, kind=kind):

                    async def check(world, fault=fault, kind=kind):
                        await trio.sleep(5.0)  # No idle connections.
                        world.cut_links(0, fault)
                        reply = await send(world, kind, 0)
                        self.assertTrue(is_whole(reply, kind), reply)
                        self.assertLess(reply.took_s, 0.4)

                    forwarding_world.run_in_world(check, routers=ROUTERS)

    def test_nobody_is_told_of_crashes_or_shuts_an_upstream_out(self):
        for fault in Fault:
            with self.subTest(fault):

                async def check(world, fault=fault):
                    await ask_for(world, 2.0, Served())
                    world.cut_links(0, fault)
                    await ask_for(world, 4.0, Served())
                    world.heal_links(0)
                    served = Served()
                    await ask_for(world, 4.0, served)
                    self.assertEqual(served.share(range(ROUTERS)), 1.0)

                forwarding_world.run_in_world(check, routers=ROUTERS)


if __name__ == "__main__":
    unittest.main()
