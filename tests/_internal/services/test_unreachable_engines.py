"""Engines that are unreachable for a while although they have not crashed."""

import unittest

import trio

from cicadapier._internal.protocols import exceptions
from cicadapier._internal.standins import forwarding_upstream
from tests import forwarding_world

Fault = forwarding_upstream.UpstreamFault
LONG_REQUEST = {"path": "/long/x", "output_tokens": 200}  # A stream whose run has a backup.
CUT_AFTER_S = 0.2


class _LossyLinks:
    """Links to upstreams on which attempts to connect may time out because of lost packets.

    Attributes:
        losses_left: Number of attempts to connect that still time out, by address.
    """

    def __init__(self, world):
        self.losses_left = {}
        self._connect = world.network.connect
        world.network.connect = self.connect

    async def connect(self, address, timeout_s):
        if self.losses_left.get(address, 0) > 0:
            self.losses_left[address] -= 1
            await trio.sleep(timeout_s)
            raise exceptions.ConnectError(f"{address}: no answer within {timeout_s} s")
        return await self._connect(address, timeout_s)


async def _ask_with_cuts(world, links, losses, cuts, request):
    """Requests a stream and makes its engine unreachable, and then those it continues on.

    Args:
        world: The world.
        links: Links to the upstreams.
        losses: Number of attempts to connect that time out at each of these engines.
        cuts: Number of engines that become unreachable.
        request: Request id.
    """
    replies = []

    async def ask():
        replies.append(await world.ask(**LONG_REQUEST, request=request, time_left_ms=3000))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        for index in range(cuts):
            while len(world.runs_for(request)) <= index and not replies:
                await trio.sleep(0.01)
            await trio.sleep(CUT_AFTER_S)
            if len(world.runs_for(request)) > index:
                engine = world.upstreams[world.runs_for(request)[index].upstream]
                links.losses_left[engine.entry.address] = losses
    return replies[0]


class UnreachableEnginesTest(unittest.TestCase):
    def test_a_request_whose_engines_were_unreachable_is_not_treated_as_a_suspect(self):
        async def check(world):
            links = _LossyLinks(world)
            forwarding_world.inject_fault(world, "engine", Fault.STALLS)
            for upstream in world.upstreams.values():
                upstream.events = 20
            await _ask_with_cuts(world, links, 1_000_000, 2, "first")
            self.assertEqual(len(world.runs_for("first")), 3)
            links.losses_left.clear()
            for upstream in world.upstreams.values():
                upstream.faults.clear()
            await trio.sleep(20.0)
            reply = await world.ask(**LONG_REQUEST, request="second")
            self.assertEqual(reply.status, 200)
            self.assertFalse(reply.broken)

        forwarding_world.run_in_world(check)

    def test_a_run_survives_packets_lost_while_its_engine_is_checked(self):
        async def check(world):
            links = _LossyLinks(world)
            forwarding_world.inject_fault(world, "engine", Fault.STALLS)
            reply = await _ask_with_cuts(world, links, 2, 1, "q")
            self.assertEqual(set(links.losses_left.values()), {0})
            self.assertFalse(reply.broken)
            self.assertEqual(reply.numbers, [1, 2, 3, 4, 5, 6])
            self.assertEqual(len(world.runs_for("q")), 1)

        forwarding_world.run_in_world(check)


if __name__ == "__main__":
    unittest.main()
