"""Answers whose heads are cut: callers never get them as whole answers, on any kind of route.

The upstream closes the connection behind the cut, ends the head first, or goes on with another
answer.
"""

import unittest

import trio

from cicadapier._internal.standins import forwarding_upstream
from tests import copying_network
from tests import forwarding_world
from tests import replacing_network
from tests import support

SETTLE_S = 1.0
BODY = b'{"answer":"whole"}' * 2
OK = b"HTTP/1.1 200 OK\r\n"
PROOF = b"X-Server-Stamp: 8.1.7b.0.93f7be2c82d0e21b\r\n"
ID = b"X-Request-Id: %b\r\n"
JSON = b"Content-Type: application/json\r\n"
STREAM = b"Content-Type: text/event-stream\r\n"
KEPT = b"Keep-Alive: timeout=10\r\n"
CLOSED = b"Connection: close\r\n"
NEXT = (
    b"HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: other\r\n"
    b"X-Server-Stamp: other\r\nContent-Length: 4\r\n\r\noops"
)
EVENT = b"id: 1\ndata: piece 1 of v1\n\n"
# Heads before their ends; `%b` is the id of the request.
CUT_HEADS = {
    "within the status line": b"HTTP/1.1 200",
    "behind the status line": OK,
    "within the proof": OK + ID + b"X-Server-Stamp: 8.1.7b",
    "before the value of the proof": OK + ID + b"X-Server-Stamp: ",
    "within the id": OK + PROOF + b"X-Request-Id: r",
    "before the value of the id": OK + PROOF + b"X-Request-Id: ",
    "behind the id": OK + PROOF + ID,
    "within the type": OK + PROOF + ID + b"Content-Type: text/event-str",
    "behind the type of a stream": OK + PROOF + ID + STREAM,
    "before the name of the length": OK + PROOF + ID + JSON + KEPT,
    "within the name of the length": OK + PROOF + ID + JSON + KEPT + b"Content-Le",
    "within the length": OK + PROOF + ID + JSON + b"Content-Length: 12",
    "within the framing": OK + PROOF + ID + STREAM + b"Transfer-Encoding: chun",
    "behind the end of the connection": OK + CLOSED + PROOF + ID + JSON,
    "of an old protocol": b"HTTP/1.0 200 OK\r\n" + PROOF + ID + JSON,
    "behind an interim answer": b"HTTP/1.1 103 Early Hints\r\n\r\n" + OK + PROOF + ID,
    "within an interim answer": b"HTTP/1.1 103 Early Hints\r\nLink: <x>",
    "of a failure": b"HTTP/1.1 404 Not Found\r\n" + PROOF + ID,
    "of an empty answer, within the proof": OK + b"Content-Length: 0\r\n" + ID + PROOF[:-9],
}
# An empty answer whose head is ended by an empty line has its length. What is cut off its proof
# does not show.
UNSEEN = "of an empty answer, within the proof"
# Method, host, path and whether a kept connection is used, for each kind of route.
ROUTES = {
    "idempotent": ("GET", "desk", "/look/1", False),
    "idempotent, on a kept connection": ("GET", "desk", "/look/1", True),
    "not idempotent": ("POST", "desk", "/order/1", False),
    "stream that may be resumed": ("POST", "lm", "/ask/x", False),
    "stream that may be resumed, on a kept connection": ("POST", "lm", "/ask/x", True),
    "stream that may not be resumed": ("POST", "lm", "/long/x", False),
}


def _fill(answer, raw):
    return answer.replace(b"%b", copying_network.request_id(raw))


def _cut_answers(heads):
    """Returns pairs of a name and an answer whose head is cut."""
    pairs = []
    for name, head in heads.items():
        newline = b"" if head.endswith(b"\r\n") else b"\r\n"
        endings = {
            "closed": b"",
            "ended by bare line feeds": newline.replace(b"\r", b"") + b"\n",
            "ended": newline + b"\r\n",
            "ended, then another answer": newline + b"\r\n" + NEXT,
        }
        for ending_name, ending in endings.items():
            if name != UNSEEN or newline + b"\r\n" not in ending:
                pairs.append((f"{name}, {ending_name}", head + ending))
    return pairs


class ForwardedRoutesTest(unittest.TestCase):
    def test_cut_head_is_no_whole_answer(self):
        for kind, route in ROUTES.items():
            for name, answer in _cut_answers(CUT_HEADS):
                with self.subTest(f"{kind}: {name}"):
                    self._check(answer, *route)

    def _check(self, answer, method, host, path, on_kept_connection):
        async def check(world):
            network = replacing_network.install(world, lambda raw: None)
            if on_kept_connection:
                await self._ask(world, method, host, path)
            opened = network.opened
            opened_before = []

            def replace(raw):
                opened_before.append(network.opened - opened)
                return _fill(answer, raw)

            network.make_replacement = replace
            reply = await self._ask(world, method, host, path)
            self.assertEqual(opened_before[0], 0 if on_kept_connection else 1)
            self.assertTrue(reply.broken or reply.status == 502, reply)

        forwarding_world.run_in_world(check, engines=1, desks=1)

    async def _ask(self, world, method, host, path):
        if host == "lm":
            return await world.ask(path, time_left_ms=1500)
        return await world.send(method, host, path, time_left_ms=1500)

    def test_repeatable_request_is_answered_by_another_upstream(self):
        for path in ("/look/1", "/ask/x"):
            for answer in (OK + PROOF + ID + b"\r\n", OK + PROOF + ID + b"\n"):
                with self.subTest(path + repr(answer)):
                    self._check_repeated(path, answer)

    def _check_repeated(self, path, answer):
        async def check(world):
            network = replacing_network.install(
                world, lambda raw: None if network.asked else _fill(answer, raw)
            )
            host = "desk" if path == "/look/1" else "lm"
            reply = await self._ask(world, "GET", host, path)
            self.assertEqual((reply.status, reply.broken), (200, False))
            self.assertTrue(reply.body)
            self.assertEqual(network.asked, 1)

        forwarding_world.run_in_world(check)

    def test_request_that_may_run_once_is_not_repeated(self):
        async def check(world):
            answer = OK + PROOF + ID + JSON + b"\r\n"
            network = replacing_network.install(world, lambda raw: _fill(answer, raw))
            reply = await self._ask(world, "POST", "desk", "/order/1")
            self.assertEqual((reply.status, network.asked), (502, 1))

        forwarding_world.run_in_world(check)

    def test_hedge_with_a_cut_head_does_not_replace_a_silent_attempt(self):
        async def check(world):
            forwarding_world.inject_fault(world, "desk", forwarding_upstream.UpstreamFault.STALLS)
            sent = []

            def replace(raw):
                sent.append(raw)
                return _fill(OK + PROOF + ID + b"\r\n", raw) if len(sent) == 2 else None

            replacing_network.install(world, replace)
            reply = await world.send("GET", "desk", "/look/1", time_left_ms=9000)
            self.assertGreater(len(sent), 1)
            self.assertEqual((reply.status, reply.broken), (200, False))
            self.assertTrue(reply.body)

        forwarding_world.run_in_world(check)

    def test_answer_without_a_length_is_whole(self):
        for fields in (b"", CLOSED, CLOSED + KEPT):
            for path in ("/look/1", "/order/1"):
                with self.subTest(path + repr(fields)):
                    self._check_whole(OK + PROOF + ID + fields + b"\r\n" + BODY, path, BODY)
            head = OK + PROOF + ID + STREAM + fields + b"\r\n"
            self._check_whole(head + EVENT, "/ask/x", EVENT)
            self._check_whole(head + EVENT, "/long/x", EVENT)

    def test_answer_whose_proof_or_id_has_no_value_is_not_relayed(self):
        framed = b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY
        empty_proof = b"X-Server-Stamp:\r\n"
        empty_id = b"X-Request-Id: \r\n"
        for fields in (ID + empty_proof, empty_id + PROOF, empty_id + empty_proof):
            with self.subTest(fields):
                self._check(OK + fields + framed, "POST", "desk", "/order/1", False)

    def test_answer_without_a_length_that_keeps_its_connection_is_not_whole(self):
        head = OK + PROOF + ID + KEPT
        cases = {
            ("GET", "desk", "/look/1", False): head + JSON + b"\r\n" + BODY,
            ("POST", "desk", "/order/1", False): head + JSON + b"\r\n" + BODY,
            ("POST", "lm", "/ask/x", False): head + STREAM + b"\r\n" + EVENT,
            ("POST", "lm", "/long/x", False): head + STREAM + b"\r\n" + EVENT,
        }
        for route, answer in cases.items():
            with self.subTest(route):
                self._check(answer, *route)

    def _check_whole(self, answer, path, body):
        async def check(world):
            replacing_network.install(world, lambda raw: _fill(answer, raw))
            host = "desk" if path in ("/look/1", "/order/1") else "lm"
            reply = await self._ask(world, "POST", host, path)
            self.assertEqual((reply.status, reply.body, reply.broken), (200, body, False))

        forwarding_world.run_in_world(check)


NATIVE_CUT_HEADS = {
    "behind the status line": OK,
    "behind the id": OK + ID,
    "within the type": OK + ID + b"Content-Type: application/js",
    "within the name of the length": OK + ID + JSON + KEPT + b"Content-Le",
    "within the length": OK + ID + JSON + b"Content-Length: 12",
    "behind the end of the connection": OK + CLOSED + ID + JSON,
}
# Calls in the product's own interface, by name.
NATIVE_CALLS = {
    "call that may not be repeated": lambda caller: caller.send_once(b"two copies"),
    "call with a key": lambda caller: caller.send_once(b"two copies", "k1"),
    "call that may be repeated": lambda caller: caller.send(
        "GET", f"/services/{caller.world.plan.deployment.service_pool}/x"
    ),
    "stream": lambda caller: caller.complete("a plain line", 8),
    "answer that is not streamed": lambda caller: caller.complete("a plain line", 8, False),
}


class NativeInterfaceTest(unittest.TestCase):
    """The same for the product's own interface, whose upstreams give no proof."""

    def test_cut_head_is_no_whole_answer(self):
        for kind, call in NATIVE_CALLS.items():
            for name, answer in _cut_answers(NATIVE_CUT_HEADS):
                with self.subTest(f"{kind}: {name}"):
                    self._check(call, answer)

    def _check(self, call, answer):
        async def main():
            world = support.make_world(support.SMALL_DEPLOYMENT, routers=1)
            network = replacing_network.ReplacingNetwork(
                world._network,
                lambda: {server.address for server in world.upstreams.values()},
                lambda raw: _fill(answer, raw) if copying_network.request_id(raw) else None,
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(world.run)
                await trio.sleep(SETTLE_S)
                reply = await call(support.Caller(world))
                nursery.cancel_scope.cancel()
            self.assertGreater(network.asked, 0)
            self.assertNotEqual(reply.outcome, "complete", reply)

        support.run(main)


if __name__ == "__main__":
    unittest.main()
