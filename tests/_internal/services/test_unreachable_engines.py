"""Engines that cannot be reached for a while, though they are well."""

import unittest

import trio

from cicadapier._internal.protocols import exceptions
from cicadapier._internal.standins import users_upstream
from tests import forwarding_world

Fault = users_upstream.UpstreamFault
LONG = {"path": "/long/x", "output_tokens": 200}  # A stream whose run is backed up.
CUT_S = 0.2


class _Links:
    """Links to upstreams, on which the first packets of connections may be lost.

    Attributes:
        lost: Connections that are still to be lost, by address.
    """

    def __init__(self, made):
        self.lost = {}
        self._connect = made.network.connect
        made.network.connect = self.connect

    async def connect(self, address, timeout_s):
        if self.lost.get(address, 0) > 0:
            self.lost[address] -= 1
            await trio.sleep(timeout_s)
            raise exceptions.ConnectError(f"{address}: no answer within {timeout_s} s")
        return await self._connect(address, timeout_s)


async def _ask_under(made, links, losses, cuts, request):
    """Cuts off the engine of a stream, and those where it goes on; returns the reply."""
    replies = []

    async def ask():
        replies.append(await made.ask(**LONG, request=request, time_left_ms=3000))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        for index in range(cuts):
            while len(made.runs_for(request)) <= index and not replies:
                await trio.sleep(0.01)
            await trio.sleep(CUT_S)
            if len(made.runs_for(request)) > index:
                engine = made.upstreams[made.runs_for(request)[index].upstream]
                links.lost[engine.entry.address] = losses
    return replies[0]


class CutEnginesTest(unittest.TestCase):
    def test_requests_under_a_cut_are_not_held_back_as_if_they_had_crashed_their_engines(self):
        async def check(made):
            links = _Links(made)
            forwarding_world.inject_fault(made, "engine", Fault.STALLS)
            for upstream in made.upstreams.values():
                upstream.events = 20
            await _ask_under(made, links, 1_000_000, 2, "first")
            self.assertEqual(len(made.runs_for("first")), 3)
            links.lost.clear()
            for upstream in made.upstreams.values():
                upstream.faults.clear()
            await trio.sleep(20.0)
            reply = await made.ask(**LONG, request="second")
            self.assertEqual(reply.status, 200)
            self.assertFalse(reply.broken)

        forwarding_world.run_in_world(check)

    def test_a_run_is_not_given_up_for_packets_that_were_lost_while_its_engine_was_checked(self):
        async def check(made):
            links = _Links(made)
            forwarding_world.inject_fault(made, "engine", Fault.STALLS)
            reply = await _ask_under(made, links, 2, 1, "q")
            self.assertEqual(set(links.lost.values()), {0})
            self.assertFalse(reply.broken)
            self.assertEqual(reply.numbers, [1, 2, 3, 4, 5, 6])
            self.assertEqual(len(made.runs_for("q")), 1)

        forwarding_world.run_in_world(check)


if __name__ == "__main__":
    unittest.main()
