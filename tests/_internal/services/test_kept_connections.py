"""Requests on connections that their upstream has dropped without a word."""

import unittest

import trio

from cicadapier._internal.protocols import transport
from cicadapier._internal.standins import users_upstream
from tests import forwarding_world

LONG = {"path": "/long/x", "output_tokens": 200}  # A stream that may run once only.


class _Dropped(trio.abc.Stream, transport.InputProbe):
    """A stream whose other end forgets it after one answer and resets what is sent next."""

    def __init__(self, inner):
        self._inner = inner
        self._answered = False

    @property
    def has_input(self):
        return False

    async def send_all(self, data):
        if self._answered:
            raise trio.BrokenResourceError("reset")
        await self._inner.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self._inner.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        if self._answered:
            raise trio.BrokenResourceError("reset")
        return await self._inner.receive_some(max_bytes)

    async def aclose(self):
        await self._inner.aclose()

    def forget(self):
        self._answered = True


class _Forgetful:
    """Lets the upstreams of a world forget their connections."""

    def __init__(self, made):
        self.streams = []
        self._connect = made.network.connect
        self._upstreams = {upstream.entry.address for upstream in made.upstreams.values()}
        made.network.connect = self.connect

    async def connect(self, address, timeout_s):
        stream = await self._connect(address, timeout_s)
        if address not in self._upstreams:
            return stream
        self.streams.append(_Dropped(stream))
        return self.streams[-1]

    def forget(self):
        """Forgets all connections that are open."""
        for stream in self.streams:
            stream.forget()


class DroppedConnectionsTest(unittest.TestCase):
    def test_an_order_does_not_end_unknown_for_a_connection_that_was_dropped(self):
        async def check(made):
            upstreams = _Forgetful(made)
            for number in range(6):
                reply = await made.send("POST", "desk", "/order/1", request=f"q{number}")
                self.assertEqual(reply.status, 200)
                self.assertEqual(len(made.runs_for(f"q{number}")), 1)
                upstreams.forget()

        forwarding_world.run_in_world(check)

    def test_a_stream_that_runs_once_does_not_end_for_a_connection_that_was_dropped(self):
        async def check(made):
            upstreams = _Forgetful(made)
            for number in range(6):
                reply = await made.ask(**LONG, request=f"q{number}")
                self.assertEqual(reply.status, 200)
                self.assertFalse(reply.broken)
                self.assertEqual(len(made.runs_for(f"q{number}")), 1)
                upstreams.forget()

        forwarding_world.run_in_world(check)

    def test_a_lookup_is_sent_again_where_its_connection_was_dropped(self):
        async def check(made):
            upstreams = _Forgetful(made)
            for number in range(6):
                reply = await made.send("GET", "desk", "/look/1", request=f"q{number}")
                self.assertEqual(reply.status, 200)
                upstreams.forget()

        forwarding_world.run_in_world(check)

    def test_a_silent_stream_is_hedged_on_a_new_connection(self):
        async def check(made):
            upstreams = _Forgetful(made)
            for number in range(12):
                await made.ask(request=f"q{number}", parts=f"p{number}:500,z:9")
            self.assertEqual(len(upstreams.streams), 3)  # One that is kept for each engine.
            forwarding_world.inject_fault(made, "engine", users_upstream.UpstreamFault.STALLS)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(made.ask)
                await trio.sleep(0.3)
                kept = len(upstreams.streams)
                await trio.sleep(0.7)
                self.assertEqual(len(upstreams.streams), kept + 1)

        forwarding_world.run_in_world(check)

    def test_what_may_be_repeated_uses_kept_connections(self):
        async def check(made):
            upstreams = _Forgetful(made)
            for number in range(6):
                await made.send("GET", "desk", "/look/1", request=f"q{number}")
            self.assertLessEqual(len(upstreams.streams), 2)

        forwarding_world.run_in_world(check)


if __name__ == "__main__":
    unittest.main()
