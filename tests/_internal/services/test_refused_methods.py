"""Refusals of requests of any method: each gets its answer, and the connection goes on."""

import http
import unittest

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.platform import server_formats
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import http_client
from cicadapier._internal.standins import forwarding_store
from cicadapier._internal.standins import forwarding_upstream
from tests import forwarding_world

Fault = forwarding_upstream.UpstreamFault
StoreFault = forwarding_store.StoreFault
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "BREW")
TIMEOUT_S = 5.0


def _headers(request, key="key-1", time_left_ms=3000):
    return server_formats.make_request_headers(ids.RequestId(request), "desk", key, time_left_ms)


class _Client:
    """Client that keeps one connection to the first router."""

    def __init__(self, world):
        self._world = world
        self._conn = None

    async def ask(self, method, path, headers):
        """Returns the head and the body of an answer on the kept connection."""
        address = self._world.routers[0].callers.address
        if self._conn is None:
            stream = await self._world.network.connect(address, 1.0)
            self._conn = http_client.ClientConnection(stream, address)
        await self._conn.send(http_client.RequestHead(method, path, headers), b"")
        head = await self._conn.receive_head(TIMEOUT_S)
        body = await self._conn.receive_body(TIMEOUT_S)
        return head, body

    def is_kept(self, head):
        """Returns whether the connection is kept after an answer."""
        return head.header(b"connection") != b"close" and self._conn.make_reusable()


class RefusedMethodsTest(unittest.TestCase):
    """Guards against a refusal of a request without a body that is not answered at all."""

    def _check(self, *statuses, path="/order/", key="key-1", prepare=None):
        async def check(world):
            if prepare:
                await prepare(world)
            for method in METHODS:
                with self.subTest(method):
                    await self._check_method(world, method, statuses, path, key)

        forwarding_world.run_in_world(check)

    async def _check_method(self, world, method, statuses, path, key):
        client = _Client(world)
        for number in range(3):
            request = f"{method}-{number}"
            head, body = await client.ask(method, path, _headers(request, key))
            self.assertIn(head.status, statuses)
            self.assertEqual(head.header(b"x-request-id"), request.encode())
            self.assertEqual(body == b"", method == "HEAD")
            self.assertTrue(client.is_kept(head))
        head, _ = await client.ask("GET", "/open/", _headers("open"))
        self.assertEqual(head.header(b"x-request-id"), b"open")

    def test_no_route(self):
        self._check(404, path="/nowhere/")

    def test_unknown_key(self):
        self._check(401, key="never")

    def test_upstreams_without_room(self):
        async def fill(world):
            forwarding_world.inject_fault(world, "desk", Fault.SHEDS)

        self._check(503, prepare=fill)

    def test_no_upstreams(self):
        async def remove(world):
            for name in list(world.upstreams):
                world.unregister(name)
            await trio.sleep(1.0)

        self._check(503, prepare=remove)

    def test_configuration_without_proof(self):
        async def cut(world):
            world.store.faults.add(StoreFault.SILENT)
            await trio.sleep(5.0)

        self._check(503, prepare=cut)

    def test_lost_answers(self):
        async def lose(world):
            forwarding_world.inject_fault(world, "desk", Fault.LOSES_ANSWERS)

        # Upstreams that have lost many answers get no requests for a while.
        self._check(502, 503, prepare=lose)

    def test_failed_answers_of_upstreams(self):
        async def fail(world):
            forwarding_world.inject_fault(world, "desk", Fault.FAILS)

        self._check(500, prepare=fail)

    def test_late_answers(self):
        async def check(world):
            forwarding_world.inject_fault(world, "desk", Fault.SILENT)
            for method in METHODS:
                headers = _headers(method, time_left_ms=200)
                head, body = await _Client(world).ask(method, "/order/", headers)
                self.assertEqual(head.status, 504, method)
                self.assertEqual(body == b"", method == "HEAD")

        forwarding_world.run_in_world(check)

    def test_answers_of_all_methods_are_complete(self):
        async def check(world):
            for method in METHODS:
                client = _Client(world)
                for number in range(2):
                    head, _ = await client.ask(method, "/order/", _headers(f"{method}{number}"))
                    self.assertEqual(head.status, 200, method)
                    self.assertTrue(client.is_kept(head), method)

        forwarding_world.run_in_world(check)

    def test_too_large_body(self):
        async def check(world):
            for method in METHODS:
                headers = [*_headers(method), (b"content-length", b"99999999")]
                stream = await world.network.connect(world.routers[0].callers.address, 1.0)
                conn = http_client.ClientConnection(stream, ids.Address(""))
                lines = b"".join(b"%s: %s\r\n" % pair for pair in headers)
                await stream.send_all(b"%s /order/ HTTP/1.1\r\n%s\r\n" % (method.encode(), lines))
                answer = bytearray()
                with trio.move_on_after(TIMEOUT_S):
                    while part := await stream.receive_some():
                        answer += part
                head, _, body = bytes(answer).partition(b"\r\n\r\n")
                self.assertTrue(head.startswith(b"HTTP/1.1 413 "), (method, head))
                self.assertEqual(body == b"", method == "HEAD", body)
                await conn.close()

        forwarding_world.run_in_world(check)

    def test_requests_that_are_sent_ahead(self):
        async def check(world):
            for method in METHODS:
                with self.subTest(method):
                    head, rest = await self._send_ahead(world, method)
                    self.assertTrue(head.startswith(b"HTTP/1.1 404 "), head)
                    self.assertEqual(rest.startswith(b"HTTP/1.1 200 "), method == "HEAD")
                    self.assertIn(b"HTTP/1.1 200 ", rest)

        forwarding_world.run_in_world(check)

    async def _send_ahead(self, world, method):
        """Returns the first head, and all bytes behind it, of the answers to two requests."""
        stream = await world.network.connect(world.routers[0].callers.address, 1.0)
        data = b""
        for verb, path in ((method, "/nowhere/"), ("GET", "/open/")):
            lines = b"".join(b"%s: %s\r\n" % pair for pair in _headers("ahead"))
            data += f"{verb} {path} HTTP/1.1\r\n".encode() + lines + b"\r\n"
        await stream.send_all(data)
        answer = bytearray()
        with trio.move_on_after(1.0):
            while part := await stream.receive_some():
                answer += part
        await trio.aclose_forcefully(stream)
        head, _, rest = bytes(answer).partition(b"\r\n\r\n")
        return head, rest

    def test_connect_is_refused(self):
        # A tunnel through a route would end the protocol on a kept connection.
        async def check(world):
            client = _Client(world)
            try:
                head, _ = await client.ask("CONNECT", "/order/", _headers("c"))
            except exceptions.ProtocolError as exc:
                self.fail(f"no answer: {exc}")
            self.assertGreaterEqual(head.status, http.HTTPStatus.BAD_REQUEST)
            self.assertEqual(world.runs, [])

        forwarding_world.run_in_world(check)


if __name__ == "__main__":
    unittest.main()
