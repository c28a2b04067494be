"""Tests of the limits of the HTTP listener and of errors at client connections."""

import dataclasses
import unittest
import unittest.mock

import trio

from cicadapier._internal.decisions import memory_shares
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import http_server
from cicadapier._internal.protocols import transport
from cicadapier._internal.standins import faulty_network
from tests import support


class _LengthHandler(http_server.Handler):
    async def handle(self, req, responder):
        if req.path == "/bug":
            raise ZeroDivisionError
        await responder.send_json({"length": len(req.body)})


class ListenerTest(unittest.TestCase):
    def _run_check(self, check, **limits):
        async def main():
            network = faulty_network.MemoryNetwork()
            self._limits = settings.CallerLimits(**limits)
            listener = http_server.Listener(network.serve, _LengthHandler(), lambda: self._limits)
            async with trio.open_nursery() as nursery:
                address = await nursery.start(listener.run, ids.Address("127.0.0.1:0"))

                async def connect():
                    stream = await network.connect(address, 1.0)
                    return http_client.ClientConnection(stream, address)

                await check(connect)
                nursery.cancel_scope.cancel()

        support.run(main)

    def _change_limits(self, **limits):
        self._limits = dataclasses.replace(self._limits, **limits)

    async def _post(self, conn, path="/", body=b""):
        await conn.send(http_client.RequestHead("POST", path, []), body)
        head = await conn.receive_head(5.0)
        body = await conn.receive_body(5.0)
        conn.make_reusable()
        return head.status, body

    def test_connections_above_the_limit_are_closed(self):
        async def check(connect):
            first, second, third = [await connect() for _ in range(3)]
            self.assertEqual((await self._post(first))[0], 200)
            self.assertEqual((await self._post(second))[0], 200)
            with self.assertRaises(exceptions.ConnectionLostError):
                await self._post(third)

        self._run_check(check, connections=2)

    def test_chunked_body_above_the_limit_is_rejected(self):
        async def check(connect):
            conn = await connect()
            head = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            await conn._stream.send_all(head + b"1000\r\n" + b"x" * 4096 + b"\r\n0\r\n\r\n")
            answer = await conn._stream.receive_some()
            self.assertTrue(answer.startswith(b"HTTP/1.1 413"))

        self._run_check(check, body_bytes=1024)

    def test_body_without_room_waits_for_the_one_before_and_is_refused_in_time(self):
        size = 4 * memory_shares.FREE_BYTES
        head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % size
        part = b"x" * (2 * memory_shares.FREE_BYTES)

        async def check(connect):
            first, second, third = [await connect() for _ in range(3)]
            await first._stream.send_all(head + part)
            await trio.sleep(0.1)
            await second._stream.send_all(head + part)
            await trio.sleep(1.0)
            await first._stream.send_all(part)
            self.assertTrue((await first._stream.receive_some()).startswith(b"HTTP/1.1 200"))
            await second._stream.send_all(part)
            self.assertTrue((await second._stream.receive_some()).startswith(b"HTTP/1.1 200"))
            await first._stream.send_all(head + part)
            await trio.sleep(0.1)
            await third._stream.send_all(head + part)
            # The body before does not end in time either.
            answers = [await conn._stream.receive_some() for conn in (third, first)]
            self.assertTrue(answers[0].startswith(b"HTTP/1.1 503"), answers)
            self.assertTrue(answers[1].startswith(b"HTTP/1.1 408"), answers)

        with unittest.mock.patch.object(http_server, "MAX_HELD_BODY_BYTES", size):
            self._run_check(check, body_timeout_s=2.0)

    def test_idle_connection_is_closed_after_the_timeout(self):
        async def check(connect):
            conn = await connect()
            await self._post(conn)
            self.assertEqual(await conn._stream.receive_some(), b"")
            self.assertGreater(trio.current_time(), 7.0)

        self._run_check(check, idle_timeout_s=7.0)

    def test_raised_idle_timeout_applies_to_idle_connections(self):
        async def check(connect):
            conn = await connect()
            await self._post(conn)
            await trio.sleep(0.1)
            self._change_limits(idle_timeout_s=20.0)
            await trio.sleep(15.0)
            self.assertEqual((await self._post(conn))[0], 200)

        self._run_check(check, idle_timeout_s=7.0)

    def test_lowered_idle_timeout_does_not_apply_to_idle_connections(self):
        async def check(connect):
            conn = await connect()
            await self._post(conn)
            await trio.sleep(0.1)
            self._change_limits(idle_timeout_s=1.0)
            await trio.sleep(5.0)
            self.assertEqual((await self._post(conn))[0], 200)

        self._run_check(check, idle_timeout_s=7.0)

    def test_raised_size_limits_apply_to_open_connections(self):
        async def check(connect):
            conn = await connect()
            await self._post(conn)
            self._change_limits(body_bytes=8192, header_bytes=16_384)
            self.assertEqual((await self._post(conn, body=b"x" * 4096))[0], 200)
            self.assertEqual((await self._post(conn, "/" + "x" * 9000))[0], 200)

        self._run_check(check, body_bytes=1024, header_bytes=1024)

    def test_headers_above_the_limit_are_rejected(self):
        async def check(connect):
            for request in (b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 2048, b"x" * 2048):
                conn = await connect()
                await conn._stream.send_all(request)
                answer = await conn._stream.receive_some()
                self.assertTrue(answer.startswith(b"HTTP/1.1 431"), answer)

        self._run_check(check, header_bytes=1024)

    def test_unexpected_error_closes_only_its_connection(self):
        async def check(connect):
            with self.assertRaises(exceptions.ConnectionLostError):
                await self._post(await connect(), "/bug")
            self.assertEqual((await self._post(await connect()))[0], 200)

        self._run_check(check)


class ClientTest(unittest.TestCase):
    def _exchange(self, answer, stay_open=False):
        async def main():
            network = faulty_network.MemoryNetwork()

            async def upstream(stream):
                await stream.receive_some()
                await stream.send_all(answer)
                if stay_open:
                    await trio.sleep_forever()
                await stream.aclose()

            async with trio.open_nursery() as nursery:
                address = await nursery.start(network.serve, ids.Address("127.0.0.1:0"), upstream)
                conn = http_client.ClientConnection(await network.connect(address, 1.0), address)
                try:
                    await conn.send(http_client.RequestHead("GET", "/", []), b"")
                    head = await conn.receive_head(2.0)
                    result = head.status, await conn.receive_body(2.0), conn.make_reusable()
                except exceptions.ProtocolError as exc:
                    result = type(exc)
                nursery.cancel_scope.cancel()
            return result

        return support.run(main)

    def test_closing_before_the_end_of_the_answer_is_a_lost_connection(self):
        for answer in (
            b"",
            b"HTTP/1.1 200 OK\r\nconte",
            b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab",
        ):
            self.assertIs(self._exchange(answer), exceptions.ConnectionLostError)

    def test_invalid_http_is_malformed(self):
        self.assertIs(self._exchange(b"\x00\x01 what\r\n\r\n"), exceptions.MalformedMessageError)

    def test_missing_data_times_out(self):
        result = self._exchange(b"HTTP/1.1 200 OK\r\n", stay_open=True)
        self.assertIs(result, exceptions.SilentConnectionError)

    def test_connection_with_data_after_the_answer_is_not_reused(self):
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
        self.assertEqual(self._exchange(answer, stay_open=True), (200, b"ok", True))
        with_extra_data = answer + b"HTTP/1.1 200 OK\r\n"
        self.assertEqual(self._exchange(with_extra_data, stay_open=True), (200, b"ok", False))


class _PartsHandler(http_server.Handler):
    """Sends an answer in parts, which breaks off if the path says so."""

    async def handle(self, req, responder):
        await responder.start(200, [], b"first")
        await responder.send_part(b"second")
        if req.path == "/breaks":
            raise exceptions.ConnectionLostError("broke off")
        await responder.finish()


class CallersWithoutChunksTest(unittest.TestCase):
    """Callers for whom the end of the connection is the end of the answer, on real sockets."""

    def _read(self, path, version):
        """Returns the answer; raises if the connection is reset."""
        received = bytearray()

        async def main():
            network = transport.TcpNetwork()
            limits = settings.CallerLimits()
            listener = http_server.Listener(network.serve, _PartsHandler(), lambda: limits)
            async with trio.open_nursery() as nursery:
                address = await nursery.start(listener.run, ids.Address("127.0.0.1:0"))
                stream = await network.connect(address, 1.0)
                async with stream:
                    await stream.send_all(b"GET %b HTTP/%b\r\nHost: x\r\n\r\n" % (path, version))
                    with trio.move_on_after(1.0):
                        while data := await stream.receive_some(65_536):
                            received.extend(data)
                nursery.cancel_scope.cancel()

        trio.run(main)
        return bytes(received)

    def test_answer_that_breaks_off_is_reset(self):
        with self.assertRaises(BaseExceptionGroup) as raised:
            self._read(b"/breaks", b"1.0")
        self.assertIsNotNone(raised.exception.subgroup(trio.BrokenResourceError))

    def test_whole_answer_ends_with_the_connection(self):
        self.assertTrue(self._read(b"/whole", b"1.0").endswith(b"\r\n\r\nfirstsecond"))

    def test_answer_in_chunks_that_breaks_off_has_no_end(self):
        answer = self._read(b"/breaks", b"1.1")
        self.assertTrue(answer.endswith(b"6\r\nsecond\r\n"))


if __name__ == "__main__":
    unittest.main()
