"""Requests for tunnels and their answers, also from hostile routers and peers."""

import unittest

import hypothesis
import hypothesis.strategies as st
import trio
import trio.testing

from cicadapier._internal.models import ids
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import tunnels
from tests import support

Outcome = tunnels.Outcome
SECRET = "the routers' own"
UPSTREAM = ids.Address("127.0.0.1:8000")
REQUEST = b"CONNECT 127.0.0.1:8000 HTTP/1.1\r\nHost: x\r\n"
WITH_SECRET = REQUEST + b"X-Peer-Secret: the routers' own\r\n"
OPEN = b"HTTP/1.1 200 open\r\nTunnel-Outcome: open\r\n\r\n"
MAX_EXAMPLES = 200

# Parts of messages, so that many drawn inputs come near to one.
_PARTS = st.sampled_from(
    [
        REQUEST,
        WITH_SECRET,
        OPEN,
        b"\r\n",
        b"\n",
        b"\0",
        b"HTTP/1.1 200 open\r\n",
        b"HTTP/1.1 103 hint\r\n\r\n",
        b"HTTP/1.1 502 refused\r\nTunnel-Outcome: refused\r\n",
        b"Tunnel-Outcome: full\r\n",
        b"Content-Length: 5\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"X-More: " + b"x" * 1500 + b"\r\n",
        b"CONNECT \xc2\xb2:\xc2\xb2 HTTP/1.1\r\n",
    ]
)
_DATA = st.lists(st.one_of(_PARTS, st.binary(max_size=3000)), max_size=8)


class _Recorder(trio.abc.Stream):
    """Delivers parts one after the other, then the end, a reset, or nothing."""

    def __init__(self, parts, ending="end"):
        self._parts = [part for part in parts if part]
        self._ending = ending
        self.bytes_read = 0
        self.sent = b""

    async def send_all(self, data):
        await trio.lowlevel.checkpoint()
        self.sent += bytes(data)

    async def wait_send_all_might_not_block(self):
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None):
        await trio.lowlevel.checkpoint()
        if not self._parts:
            if self._ending == "reset":
                raise trio.BrokenResourceError
            if self._ending == "silence":
                await trio.sleep_forever()
            return b""
        part = self._parts[0][:max_bytes]
        self._parts[0] = self._parts[0][len(part) :]
        if not self._parts[0]:
            del self._parts[0]
        self.bytes_read += len(part)
        return part

    async def aclose(self):
        await trio.lowlevel.checkpoint()


def _receive(*parts, ending="end", secret=SECRET):
    """Returns what a peer reads from a router, the error or None for silence, and the stream."""
    stream = _Recorder(parts, ending)

    async def main():
        with trio.move_on_after(1.0):
            try:
                return await tunnels.TunnelRequest(stream).receive(secret)
            except exceptions.ProtocolError as exc:
                return exc

    return support.run(main), stream


def _request(*parts, ending="end"):
    """Returns what a router reads from a peer, the error or None for silence, and the stream."""
    stream = _Recorder(parts, ending)

    async def main():
        with trio.move_on_after(1.0):
            try:
                return await tunnels.request_tunnel(stream, UPSTREAM, SECRET)
            except exceptions.ProtocolError as exc:
                return exc

    return support.run(main), stream


def _answer(outcome):
    stream = _Recorder([])
    support.run(lambda: tunnels.TunnelRequest(stream).answer(outcome))
    return stream.sent


_ENDINGS = st.sampled_from(["end", "reset", "silence"])


class HostileRouterTest(unittest.TestCase):
    @hypothesis.settings(max_examples=MAX_EXAMPLES, deadline=None)
    @hypothesis.given(_DATA, _ENDINGS)
    def test_any_bytes_end_in_an_outcome_or_an_error(self, parts, ending):
        result, stream = _receive(*parts, ending=ending)
        self.assertLessEqual(stream.bytes_read, tunnels.MAX_HEAD_BYTES)
        if isinstance(result, str):
            self.assertTrue(result.isascii())
        else:
            self.assertIn(type(result), (Outcome, exceptions.ConnectionLostError, type(None)))

    def test_request_in_single_bytes_is_read(self):
        data = WITH_SECRET + b"\r\n"
        result, _ = _receive(*[data[i : i + 1] for i in range(len(data))])
        self.assertEqual(result, UPSTREAM)

    def test_request_that_ends_at_any_byte_is_no_request(self):
        data = WITH_SECRET + b"\r\n"
        for size in range(len(data)):
            for ending in ("end", "reset"):
                result, _ = _receive(data[:size], ending=ending)
                self.assertNotIsInstance(result, str, size)

    def test_missing_or_wrong_secret_is_forbidden(self):
        for header in (
            b"",
            b"X-Peer-Secret:\r\n",
            b"X-Peer-Secret: the routers'\r\n",
            b"X-Peer-Secret: the routers' own2\r\n",
            b"X-Peer-Secret: \xff\xfe\r\n",
            b"X-Peer-Secret: the routers' own\r\nX-Peer-Secret: other\r\n",
        ):
            with self.subTest(header):
                result, _ = _receive(REQUEST + header + b"\r\n")
                self.assertIs(result, Outcome.FORBIDDEN)

    def test_data_before_the_answer_is_malformed(self):
        for parts in ((b"\r\nGET / HTTP/1.1\r\n\r\n",), (b"Content-Length: 5\r\n\r\nhello",)):
            with self.subTest(parts):
                result, _ = _receive(WITH_SECRET + parts[0])
                self.assertIs(result, Outcome.MALFORMED)

    def test_body_is_malformed(self):
        for header in (b"Content-Length: 5\r\n", b"Transfer-Encoding: chunked\r\n"):
            with self.subTest(header):
                result, _ = _receive(WITH_SECRET + header + b"\r\n")
                self.assertIs(result, Outcome.MALFORMED)

    def test_other_requests_are_malformed(self):
        for data in (
            b"GET / HTTP/1.1\r\nHost: x\r\nX-Peer-Secret: the routers' own\r\n\r\n",
            WITH_SECRET + b"X-More: " + b"x" * 3000 + b"\r\n\r\n",
            b"\x16\x03\x01\x02\x00\x01\x00" * 100 + b"\r\n\r\n",
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        ):
            with self.subTest(data[:20]):
                result, stream = _receive(data)
                self.assertIs(result, Outcome.MALFORMED)
                self.assertLessEqual(stream.bytes_read, tunnels.MAX_HEAD_BYTES)


class HostilePeerTest(unittest.TestCase):
    @hypothesis.settings(max_examples=MAX_EXAMPLES, deadline=None)
    @hypothesis.given(_DATA, _ENDINGS)
    def test_any_bytes_end_in_an_outcome_or_an_error(self, parts, ending):
        result, stream = _request(*parts, ending=ending)
        self.assertLessEqual(stream.bytes_read, tunnels.MAX_HEAD_BYTES)
        if result is not None:
            self.assertIsInstance(result, Outcome | exceptions.ProtocolError)

    def test_each_outcome_is_read_as_it_was_written(self):
        for outcome in Outcome:
            data = _answer(outcome)
            self.assertEqual(_request(data)[0], outcome)
            self.assertEqual(_request(*[data[i : i + 1] for i in range(len(data))])[0], outcome)

    def test_answer_that_ends_at_any_byte_is_no_outcome(self):
        for outcome in (Outcome.OPEN, Outcome.REFUSED):
            data = _answer(outcome)
            for size in range(len(data)):
                for ending in ("end", "reset"):
                    result, _ = _request(data[:size], ending=ending)
                    self.assertIsInstance(result, exceptions.ProtocolError, size)

    def test_status_that_contradicts_the_outcome_is_malformed(self):
        statuses = {_answer(outcome).split()[1] for outcome in Outcome}
        for outcome in Outcome:
            for status in statuses - {_answer(outcome).split()[1]}:
                data = b"HTTP/1.1 %s x\r\nTunnel-Outcome: %s\r\n\r\n"
                result, _ = _request(data % (status, outcome.value.encode()))
                self.assertIsInstance(result, exceptions.MalformedMessageError)

    def test_answer_of_something_else_is_malformed(self):
        for data in (
            b"HTTP/1.1 200 OK\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTunnel-Outcome: fine\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTunnel-Outcome: open\r\nTunnel-Outcome: full\r\n\r\n",
            b"HTTP/1.1 103 open\r\nTunnel-Outcome: open\r\n\r\n",
            b"HTTP/1.1 101 open\r\nTunnel-Outcome: open\r\n\r\n",
            OPEN + b"HTTP/1.1 200 OK\r\n\r\n",
        ):
            with self.subTest(data):
                result, _ = _request(data)
                self.assertIsInstance(result, exceptions.ProtocolError)

    def test_address_or_secret_that_no_head_can_bear_is_an_error(self):
        for upstream, secret in (
            ("h\u00f6st:80", SECRET),
            ("a b:80", SECRET),
            ("a\r\nX: y:80", SECRET),
            ("", SECRET),
        ):
            with self.subTest(upstream=upstream, secret=secret):

                async def main(upstream=upstream, secret=secret):
                    with self.assertRaises(exceptions.ProtocolError):
                        await tunnels.request_tunnel(_Recorder([OPEN]), upstream, secret)

                support.run(main)


if __name__ == "__main__":
    unittest.main()
