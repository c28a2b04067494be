"""Streams that began, broke off, and were taken up by an upstream that answers otherwise.

A caller gets further events or a break: never a head or the text of an error within its stream, and
never an end that looks complete.
"""

import unittest

import trio

from cicadapier._internal.decisions import stream_origins
from cicadapier._internal.protocols import completions
from cicadapier._internal.standins import engine_text
from cicadapier._internal.standins import faults
from cicadapier._internal.standins import forwarding_upstream
from tests import copying_network
from tests import forwarding_world
from tests import replacing_network
from tests import support

Fault = forwarding_upstream.UpstreamFault
PROMPT = "the style sheet asks for plain lines. " * 60
EVENT = b"id: %d\ndata: piece %d of v1\n\n"
ID = b"X-Request-Id: %b\r\n"
PROOF = b"X-Server-Stamp: proof\r\n"
PROVED = ID + PROOF
STREAM = b"Content-Type: text/event-stream\r\n"
JSON = b"Content-Type: application/json\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
ERROR_TEXT = b'{"error":"out of memory"}'
ERROR_HEAD = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 25\r\n\r\n"


def _with_length(body):
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def _chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def _next_events(raw, count=2):
    """Returns the events with which a request for the rest of a stream is to be answered."""
    first = _resumed_after(raw) + 1
    return b"".join(EVENT % (number, number) for number in range(first, first + count))


def _resumed_after(raw):
    for line in raw.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"last-event-id":
            return int(value)
    return 0


def _half_event(raw):
    return b"id: %d\ndata: pie" % (_resumed_after(raw) + 1)


def _whole(status, headers, body=ERROR_TEXT):
    """Returns a function that makes a complete answer with a length."""
    head = b"HTTP/1.1 %d x\r\n" % status + headers
    return lambda raw: _fill(head, raw) + _with_length(body)


def _fill(head, raw):
    return head.replace(b"%b", copying_network.request_id(raw))


def _unframed(head, make_body):
    """Returns a function that makes an answer that ends with its connection."""
    return lambda raw: _fill(head, raw) + b"\r\n" + make_body(raw)


def _chunked(head, make_body, end=b"0\r\n\r\n"):
    return lambda raw: _fill(head, raw) + CHUNKED + _chunk(make_body(raw)) + end


STREAMS_BEFORE = 2  # They show that events are numbered one by one, so that a gap is one.
# Answers to a request for the rest of a stream, none of which ends it.
ANSWERS = {
    "400": _whole(400, PROVED),
    "404 without a proof": _whole(404, ID),
    "413": _whole(413, PROVED + JSON),
    "500": _whole(500, PROVED),
    "500 without a body": _whole(500, PROVED, b""),
    "500 without an id": _whole(500, b""),
    "500 as a stream": _whole(500, PROVED + STREAM),
    "504": _whole(504, PROVED),
    "503 not run": _whole(503, ID + b"X-Not-Executed: 1\r\n"),
    "503 not run, of another request": _whole(503, b"X-Not-Executed: 1\r\nX-Request-Id: o\r\n"),
    "503 with a proof": _whole(503, PROVED),
    "421": _whole(421, ID),
    "302": _whole(302, PROVED + b"Location: /elsewhere\r\n"),
    "304": lambda raw: _fill(b"HTTP/1.1 304 Not Modified\r\n" + PROVED + b"\r\n", raw),
    "204": lambda raw: _fill(b"HTTP/1.1 204 No Content\r\n" + PROVED + b"\r\n", raw),
    "206": lambda raw: (
        _fill(b"HTTP/1.1 206 x\r\n" + PROVED + STREAM, raw) + _with_length(_next_events(raw))
    ),
    "500 without a length": _unframed(
        b"HTTP/1.1 500 x\r\n" + PROVED, lambda raw: ERROR_TEXT + b"\n\n"
    ),
    "500 in chunks": _chunked(b"HTTP/1.1 500 x\r\n" + PROVED, lambda raw: ERROR_TEXT + b"\n\n"),
    "500 in chunks, not whole": _chunked(
        b"HTTP/1.1 500 x\r\n" + PROVED, lambda raw: ERROR_TEXT, b"5\r\nab"
    ),
    "500 behind an interim answer": lambda raw: (
        b"HTTP/1.1 100 Continue\r\n\r\n" + _whole(500, PROVED)(raw)
    ),
    "success that is no stream": _whole(200, PROVED + JSON),
    "success that is no stream, with events": lambda raw: (
        _fill(OK + PROVED + JSON, raw) + _with_length(_next_events(raw))
    ),
    "success that is no stream, without a body": _whole(200, PROVED + JSON, b""),
    "success of no type, without a body": _whole(200, PROVED, b""),
    "success of no type, with text": _whole(200, PROVED, ERROR_TEXT + b"\n\n"),
    "stream without a length and a body": _unframed(OK + PROVED + STREAM, lambda raw: b""),
    "stream without a length, with text": _unframed(OK + PROVED + STREAM, lambda raw: ERROR_TEXT),
    "stream in chunks, with text": _chunked(OK + PROVED + STREAM, lambda raw: ERROR_TEXT + b"\n\n"),
    "stream without a proof": _chunked(OK + ID + STREAM, _next_events),
    "stream without an id": _chunked(OK + PROOF + STREAM, _next_events),
    "stream of another request": _chunked(
        OK + PROOF + b"X-Request-Id: o\r\n" + STREAM, _next_events
    ),
    "encoded stream": _chunked(OK + PROVED + STREAM + b"Content-Encoding: gzip\r\n", _next_events),
    "stream that starts anew": _chunked(
        OK + PROVED + STREAM, lambda raw: EVENT % (1, 1) + EVENT % (2, 2)
    ),
    "stream with a gap": _chunked(
        OK + PROVED + STREAM, lambda raw: _next_events(raw, 3)[len(_next_events(raw, 1)) :]
    ),
    "half an event, then a head": _unframed(
        OK + PROVED + STREAM, lambda raw: _half_event(raw) + ERROR_HEAD + ERROR_TEXT
    ),
    "half an event, then a bare status line": _unframed(
        OK + PROVED + STREAM,
        lambda raw: _half_event(raw) + b"HTTP/1.1 503 Service Unavailable\r\n\r\n",
    ),
    "half an event in chunks, then a head": _chunked(
        OK + PROVED + STREAM, lambda raw: _half_event(raw) + ERROR_HEAD + ERROR_TEXT
    ),
    "half an event, then an answer to no request": lambda raw: (
        _fill(OK + PROVED + STREAM, raw) + CHUNKED + _chunk(_half_event(raw)) + ERROR_HEAD
    ),
    "an id, then another event": _unframed(
        OK + PROVED + STREAM,
        lambda raw: b"id: %d\n" % (_resumed_after(raw) + 1) + EVENT % (1, 1),
    ),
    "half an event, then another one": _unframed(
        OK + PROVED + STREAM,
        lambda raw: b"id: %d\nda" % (_resumed_after(raw) + 1) + EVENT % (1, 1),
    ),
    "events, then a head": _unframed(
        OK + PROVED + STREAM, lambda raw: _next_events(raw) + ERROR_HEAD + ERROR_TEXT
    ),
    "events, then half a head": _unframed(
        OK + PROVED + STREAM, lambda raw: _next_events(raw) + b"HTTP/1.1 500 Int"
    ),
    "text, then a head": lambda raw: ERROR_TEXT + _whole(500, PROVED)(raw),
    "no answer": lambda raw: b"",
}

SPLICED_EVENTS = [kind for kind in ANSWERS if "then" in kind]


class ErrorsAfterAStreamBeganTest(unittest.TestCase):
    def _check_all(self, ask):
        """Checks all answers.

        Args:
            ask: Asks for a stream that is taken up; returns the reply.
        """
        for kind, make_answer in ANSWERS.items():
            with self.subTest(kind):
                self._check(ask, make_answer)

    def _check(self, ask, make_answer, from_beginning=False):
        async def check(world):
            for _ in range(0 if from_beginning else STREAMS_BEFORE):
                self.assertFalse((await world.ask()).broken)
            network = replacing_network.install(
                world,
                lambda raw: make_answer(raw) if from_beginning or _resumed_after(raw) else None,
            )
            reply, first = await ask(world)
            self.assertGreater(network.asked, 0)
            if reply.status not in (0, 200):
                # The stream of this answer has not begun; the caller gets an answer of its own.
                self.assertTrue(from_beginning or first > 1)
                self.assertGreaterEqual(reply.status, 300)
                return
            self._check_events(reply, first)

        forwarding_world.run_in_world(check)

    def _check_events(self, reply, first):
        expected = [EVENT % (number, number) for number in reply.numbers]
        self.assertEqual(reply.body, b"".join(expected))
        self.assertEqual(reply.numbers, list(range(first, first + len(expected))))
        self.assertTrue(reply.broken)

    def test_retry_of_a_stream(self):
        async def ask(world):
            forwarding_world.inject_fault(world, "engine", Fault.BREAKS_OFF)
            return await world.ask(request="q"), 1

        self._check_all(ask)

    def test_hedge_of_a_stream(self):
        async def ask(world):
            forwarding_world.inject_fault(world, "engine", Fault.STALLS)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_end_stalled_runs, world)
                return await world.ask(request="q", time_left_ms=5000), 1

        self._check_all(ask)

    def test_backup_of_a_run(self):
        async def ask(world):
            for upstream in world.upstreams.values():
                upstream.events = 20
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_crash_engine, world)
                return await world.ask("/long/x", request="q", output_tokens=200), 1

        self._check_all(ask)

    def test_stream_that_its_caller_takes_up(self):
        async def ask(world):
            await trio.sleep(stream_origins.STREAM_LIFE_S)  # Until routers can know all streams.
            return await world.ask(request="q", extra=[(b"last-event-id", b"2")]), 3

        self._check_all(ask)

    def test_stream_from_its_beginning(self):
        async def ask(world):
            return await world.ask(request="q"), 1

        for kind in SPLICED_EVENTS:
            with self.subTest(kind):
                self._check(ask, ANSWERS[kind], from_beginning=True)

    def test_answer_of_a_route_without_streams_is_whole_whatever_it_is_asked_for(self):
        async def check(world):
            for method, path in (("GET", "/look/1"), ("POST", "/order/1")):
                reply = await world.send(method, "desk", path, extra=[(b"last-event-id", b"2")])
                self.assertEqual((reply.status, reply.broken), (200, False))

        forwarding_world.run_in_world(check)

    def test_stream_that_broke_off_behind_its_last_event_is_ended(self):
        async def check(world):
            replacing_network.install(
                world,
                lambda raw: (
                    _fill(OK + PROVED + STREAM, raw) + CHUNKED + b"0\r\n\r\n"
                    if _resumed_after(raw)
                    else None
                ),
            )
            forwarding_world.inject_fault(world, "engine", Fault.BREAKS_OFF)
            reply = await world.ask(request="q")
            self.assertEqual((reply.broken, reply.numbers), (False, [1, 2]))

        forwarding_world.run_in_world(check)


NATIVE_ERROR = b'data: {"error":{"message":"out of memory"}}\n\n'
# Answers to a request for the rest of a stream in the product's own interface.
NATIVE_ANSWERS = {
    "400": _whole(400, ID + JSON),
    "500": _whole(500, ID + JSON),
    "500 without a body": _whole(500, ID, b""),
    "503 not run": _whole(503, ID + b"X-Not-Run: true\r\n"),
    "302": _whole(302, ID + b"Location: /elsewhere\r\n"),
    "204": lambda raw: _fill(b"HTTP/1.1 204 No Content\r\n" + ID + b"\r\n", raw),
    "success that is no stream": _whole(200, ID + JSON),
    "success without a body": _whole(200, ID + STREAM, b""),
    "stream without a length and a body": _unframed(OK + ID + STREAM, lambda raw: b""),
    "stream with an error": _chunked(OK + ID + STREAM, lambda raw: NATIVE_ERROR),
    "stream with an error and an end": _chunked(
        OK + ID + STREAM, lambda raw: NATIVE_ERROR + completions.DONE_EVENT
    ),
    "stream with an end alone": _chunked(OK + ID + STREAM, lambda raw: completions.DONE_EVENT),
    "half an event, then a head": _unframed(
        OK + ID + STREAM, lambda raw: b'data: {"id":"' + ERROR_HEAD + ERROR_TEXT
    ),
    "no answer": lambda raw: b"",
}


class NativeInterfaceTest(unittest.TestCase):
    """The same for the product's own interface, whose streams end with a typed refusal."""

    def test_retry_of_a_stream(self):
        for kind, make_answer in NATIVE_ANSWERS.items():
            with self.subTest(kind):
                self._check(make_answer)

    def _check(self, make_answer):
        async def check(world):
            network = replacing_network.ReplacingNetwork(
                world._network,
                lambda: {server.address for server in world.upstreams.values()},
                lambda raw: make_answer(raw) if b'"resume_from"' in raw else None,
            )
            replies = []

            async def ask():
                replies.append(await support.Caller(world).complete(PROMPT, 60))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(1.0)
                runs = [e for e in world.ledger.entries if e.event.value == "started"]
                world.inject(faults.FaultKind.CRASH, runs[-1].upstream, 1e9, None)
            self.assertGreater(network.asked, 0)
            self._check_reply(replies[0])

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def _check_reply(self, reply):
        whole = engine_text.make_answer(PROMPT.encode(), 60)
        self.assertNotIn(b"out of memory", reply.body)
        self.assertNotIn(b"HTTP/1.1", reply.body)
        self.assertNotIn(completions.DONE_EVENT, reply.events)
        self.assertIn(reply.outcome, ("failed", "broken"))
        self.assertTrue(reply.text and whole.startswith(reply.text))


async def _end_stalled_runs(world):
    """Ends a stalled stream once it has been hedged."""
    await trio.sleep(1.2)
    await _crash_engine(world, 0.0)


async def _crash_engine(world, after_s=0.055):
    await trio.sleep(after_s)
    world.stop(world.runs_for("q")[0].upstream)


if __name__ == "__main__":
    unittest.main()
