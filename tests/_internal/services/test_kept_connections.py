"""Requests on pooled connections that their upstream has dropped without closing them."""

import unittest

import trio

from cicadapier._internal.protocols import transport
from cicadapier._internal.standins import forwarding_upstream
from tests import forwarding_world

# A stream that may run only once.
RUN_ONCE_STREAM = {"path": "/long/x", "output_tokens": 200}


class _DroppableStream(trio.abc.Stream, transport.PollableStream):
    """Stream whose connection can be dropped; later reads and writes are then reset."""

    def __init__(self, inner):
        self._inner = inner
        self._dropped = False

    @property
    def has_input(self):
        return False

    async def send_all(self, data):
        if self._dropped:
            raise trio.BrokenResourceError("reset")
        await self._inner.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self._inner.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        if self._dropped:
            raise trio.BrokenResourceError("reset")
        return await self._inner.receive_some(max_bytes)

    async def aclose(self):
        await self._inner.aclose()

    def drop(self):
        self._dropped = True


class _ConnectionDropper:
    """Drops connections of a world's upstreams without closing them.

    Attributes:
        streams: Streams to upstreams that were opened.
    """

    def __init__(self, world):
        self.streams = []
        self._connect = world.network.connect
        self._upstreams = {upstream.entry.address for upstream in world.upstreams.values()}
        world.network.connect = self.connect

    async def connect(self, address, timeout_s):
        stream = await self._connect(address, timeout_s)
        if address not in self._upstreams:
            return stream
        self.streams.append(_DroppableStream(stream))
        return self.streams[-1]

    def drop_all(self):
        """Drops all open connections."""
        for stream in self.streams:
            stream.drop()


class DroppedConnectionsTest(unittest.TestCase):
    def test_dropped_connection_does_not_make_an_order_unknown(self):
        async def check(world):
            dropper = _ConnectionDropper(world)
            for number in range(6):
                reply = await world.send("POST", "desk", "/order/1", request=f"q{number}")
                self.assertEqual(reply.status, 200)
                self.assertEqual(len(world.runs_for(f"q{number}")), 1)
                dropper.drop_all()

        forwarding_world.run_in_world(check)

    def test_dropped_connection_does_not_break_a_stream_that_runs_once(self):
        async def check(world):
            dropper = _ConnectionDropper(world)
            for number in range(6):
                reply = await world.ask(**RUN_ONCE_STREAM, request=f"q{number}")
                self.assertEqual(reply.status, 200)
                self.assertFalse(reply.broken)
                self.assertEqual(len(world.runs_for(f"q{number}")), 1)
                dropper.drop_all()

        forwarding_world.run_in_world(check)

    def test_lookup_on_a_dropped_connection_is_retried(self):
        async def check(world):
            dropper = _ConnectionDropper(world)
            for number in range(6):
                reply = await world.send("GET", "desk", "/look/1", request=f"q{number}")
                self.assertEqual(reply.status, 200)
                dropper.drop_all()

        forwarding_world.run_in_world(check)

    def test_silent_stream_is_hedged_on_a_new_connection(self):
        async def check(world):
            dropper = _ConnectionDropper(world)
            for number in range(12):
                await world.ask(request=f"q{number}", parts=f"p{number}:500,z:9")
            self.assertEqual(len(dropper.streams), 3)  # One pooled connection for each engine.
            forwarding_world.inject_fault(world, "engine", forwarding_upstream.UpstreamFault.STALLS)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(world.ask)
                await trio.sleep(0.3)
                opened = len(dropper.streams)
                await trio.sleep(0.7)
                self.assertEqual(len(dropper.streams), opened + 1)

        forwarding_world.run_in_world(check)

    def test_repeatable_requests_use_pooled_connections(self):
        async def check(world):
            dropper = _ConnectionDropper(world)
            for number in range(6):
                await world.send("GET", "desk", "/look/1", request=f"q{number}")
            self.assertLessEqual(len(dropper.streams), 2)

        forwarding_world.run_in_world(check)


if __name__ == "__main__":
    unittest.main()
