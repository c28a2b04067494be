"""Client connections: answers whose heads are cut at every byte.

The peer closes the connection, ends the head or goes on with another answer behind the cut.
"""

import unittest

import trio.testing

from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import http_client
from tests import support

BODY = b'{"answer":"whole"}' * 2
NEXT = b"HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: other\r\nContent-Length: 4\r\n\r\noops"
LENGTH = b"Content-Length: %d\r\n" % len(BODY)
PROVED = b"X-Request-Id: q1\r\nX-Server-Stamp: 3e1b.07.5a2\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
LENGTH_LAST = OK + PROVED + b"Content-Type: application/json\r\n" + LENGTH + b"\r\n"
EARLIER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
# Whole heads of answers whose bodies are not empty.
HEADS = {
    "length last": LENGTH_LAST,
    "length first": OK + LENGTH + PROVED + b"Connection: close\r\n\r\n",
    "connection first": OK + b"Connection: close\r\n" + PROVED + LENGTH + b"\r\n",
    "chunks": OK
    + PROVED
    + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
    "old protocol": LENGTH_LAST.replace(b"HTTP/1.1", b"HTTP/1.0"),
    "behind an interim answer": b"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n" + LENGTH_LAST,
}


def _with_bare_line_feeds(head):
    return head.replace(b"\r\n", b"\n")


async def _read(answer, on_kept_connection=False, method="GET"):
    """Returns the head and the body of an answer that ends with its connection.

    Raises:
        ProtocolError: The answer is not read as complete.
    """
    client, server = trio.testing.memory_stream_pair()
    conn = http_client.ClientConnection(client, "10.0.0.1:80")
    request = http_client.RequestHead(method, "/", [])
    if on_kept_connection:
        await conn.send(request, b"")
        await server.send_all(EARLIER)
        await conn.receive_head(1.0)
        await conn.receive_body(1.0)
        assert conn.make_reusable()
    await conn.send(request, b"")
    await server.send_all(answer)
    await server.send_eof()
    head = await conn.receive_head(1.0)
    return head, await conn.receive_body(1.0)


def _read_all(answers, **options):
    """Returns the answers that are read as complete, each with its body.

    `NEXT` may be read itself, as the id that it names tells that it is another answer.
    """
    believed = []

    async def main():
        for answer in answers:
            try:
                head, body = await _read(answer, **options)
            except exceptions.ProtocolError:
                continue
            if head.header(b"x-request-id") != b"other":
                believed.append((answer, body))

    support.run(main)
    return believed


def _read_one(answer, **options):
    """Returns the status and the body of an answer, or None if it is not read as complete."""
    results = []

    async def main():
        try:
            head, body = await _read(answer, **options)
        except exceptions.ProtocolError:
            return
        results.append((head.status, body))

    support.run(main)
    return results[0] if results else None


class CutHeadsTest(unittest.TestCase):
    def _check(self, ending, heads=None):
        """Checks that no cut head that goes on with an ending is read as an answer.

        Args:
            ending: Bytes behind the cut.
            heads: Heads by name; by default all of them.
        """
        for name, head in (heads or HEADS).items():
            with self.subTest(name):
                answers = [head[:size] + ending for size in range(1, len(head))]
                self.assertEqual(_read_all(answers), [])

    def _bare(self):
        return {name: _with_bare_line_feeds(head) for name, head in HEADS.items()}

    def test_closed(self):
        self._check(b"")
        self._check(b"", heads=self._bare())

    def test_ended_by_an_empty_line_and_closed(self):
        self._check(b"\r\n")
        self._check(b"\r\n\r\n")

    def test_ended_by_bare_line_feeds_and_closed(self):
        self._check(b"\n")
        self._check(b"\n\n")
        self._check(b"\n", heads=self._bare())
        self._check(b"\n\n", heads=self._bare())

    def test_ended_by_an_empty_line_of_the_other_kind_and_closed(self):
        self._check(b"\r\n", heads=self._bare())
        self._check(b"\r\n\r\n", heads=self._bare())

    def test_ended_and_closed_on_a_kept_connection(self):
        for ending in (b"", b"\n", b"\r\n", b"\r\n\r\n"):
            with self.subTest(ending):
                answers = [LENGTH_LAST[:size] + ending for size in range(1, len(LENGTH_LAST))]
                self.assertEqual(_read_all(answers, on_kept_connection=True), [])

    def test_followed_by_another_answer(self):
        self._check(NEXT)
        self._check(NEXT, heads=self._bare())

    def test_ended_by_an_empty_line_and_followed_by_another_answer(self):
        self._check(b"\r\n" + NEXT)
        self._check(b"\r\n\r\n" + NEXT)

    def test_ended_by_bare_line_feeds_and_followed_by_another_answer(self):
        self._check(b"\n" + NEXT)
        self._check(b"\n\n" + NEXT)
        self._check(b"\n\n" + NEXT, heads=self._bare())


class MixedLineEndsTest(unittest.TestCase):
    def test_head_that_a_bare_line_feed_ends_is_not_read(self):
        for size in range(len(OK), len(LENGTH_LAST) - 3):
            for ending in (b"\n", b"\n\n"):
                for body in (BODY, NEXT):
                    with self.subTest(LENGTH_LAST[:size]):
                        self.assertIsNone(_read_one(LENGTH_LAST[:size] + ending + body))

    def test_interim_head_that_a_bare_line_feed_ends_is_not_read(self):
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: <x>\n\n"
        self.assertIsNone(_read_one(interim + LENGTH_LAST + BODY))

    def test_interim_head_that_runs_into_another_one_is_not_read(self):
        for interim in (b"HTTP/1.1 103 ", b"HTTP/1.1 103 Early Hints\r\nLink: "):
            ended = OK + b"Content-Length: 0\r\n\r\n"
            self.assertIsNone(_read_one(interim + ended + LENGTH_LAST + BODY))

    def test_head_with_line_ends_of_one_kind_is_read(self):
        for head in (LENGTH_LAST, _with_bare_line_feeds(LENGTH_LAST)):
            self.assertEqual(_read_one(head + BODY), (200, BODY))

    def test_head_that_arrives_in_single_bytes_is_judged_as_a_whole(self):
        async def main():
            for ending in (b"\r\n\r\n", b"\r\n\n"):
                client, server = trio.testing.memory_stream_pair()
                conn = http_client.ClientConnection(client, "10.0.0.1:80")
                await conn.send(http_client.RequestHead("GET", "/", []), b"")
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._send_slowly, server, LENGTH_LAST[:-4] + ending)
                    if ending == b"\r\n\r\n":
                        self.assertEqual((await conn.receive_head(9.0)).status, 200)
                    else:
                        with self.assertRaises(exceptions.MalformedMessageError):
                            await conn.receive_head(9.0)

        support.run(main)

    async def _send_slowly(self, server, data):
        for index in range(len(data)):
            await server.send_all(data[index : index + 1])
            await trio.sleep(0.01)


class AnswersWithoutLengthTest(unittest.TestCase):
    def test_answer_without_a_length_and_a_body_is_not_read(self):
        for fields in (b"", PROVED, PROVED + b"Connection: close\r\n"):
            for body in (b"", b"\r\n", b"\n", b"\r\n\r\n"):
                with self.subTest(fields + body):
                    self.assertIsNone(_read_one(OK + fields + b"\r\n" + body))

    def test_answer_without_a_length_whose_body_is_another_answer_is_not_read(self):
        for separator in (b"", b"\n", b"\r\n", b"\r\n\r\n"):
            answer = OK + PROVED + b"\r\n" + separator + NEXT
            with self.subTest(separator):
                self.assertIsNone(_read_one(answer))

    def test_answer_with_a_cut_length_whose_body_is_another_answer_is_not_read(self):
        for length in (b"1", b"9", b"12", b"13", b"60"):
            answer = OK + PROVED + b"Content-Length: " + length + b"\r\n\r\n" + NEXT
            with self.subTest(length):
                self.assertIsNone(_read_one(answer))

    def test_answer_without_a_length_is_read_to_the_end_of_the_connection(self):
        for head in (OK, OK.replace(b"HTTP/1.1", b"HTTP/1.0"), OK + b"Connection: close\r\n"):
            for body in (b"x", b"\r\nx", BODY, b"HTTP/1.1", b"x" * 100_000):
                self.assertEqual(_read_one(head + PROVED + b"\r\n" + body), (200, body))

    def test_answer_without_a_length_that_keeps_its_connection_is_not_read(self):
        for fields in (
            b"Keep-Alive: timeout=10\r\n",
            b"Connection: keep-alive\r\n",
            b"Connection: x, Keep-Alive\r\n",
        ):
            with self.subTest(fields):
                self.assertIsNone(_read_one(OK + PROVED + fields + b"\r\n" + BODY))

    def test_answer_without_a_length_that_closes_its_connection_is_read(self):
        fields = b"Keep-Alive: timeout=10\r\nConnection: Close\r\n"
        self.assertEqual(_read_one(OK + PROVED + fields + b"\r\n" + BODY), (200, BODY))

    def test_answer_that_cannot_have_a_body_is_read(self):
        for status in (b"204 No Content", b"304 Not Modified"):
            answer = b"HTTP/1.1 " + status + b"\r\n" + PROVED + b"\r\n"
            self.assertEqual(_read_one(answer), (int(status[:3]), b""))
        self.assertEqual(_read_one(OK + PROVED + b"\r\n", method="HEAD"), (200, b""))

    def test_empty_answer_with_a_length_is_read(self):
        for framing in (
            b"Content-Length: 0\r\n\r\n",
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        ):
            self.assertEqual(_read_one(OK + PROVED + framing), (200, b""))

    def test_bytes_behind_a_complete_answer_do_not_spoil_it(self):
        for extra in (b"x", b"\r\n", NEXT):
            self.assertEqual(_read_one(LENGTH_LAST + BODY + extra), (200, BODY))

    def test_answer_that_quotes_another_one_is_read(self):
        head = OK + PROVED + b"Content-Length: %d\r\n\r\n" % len(NEXT)
        self.assertEqual(_read_one(head + NEXT), (200, NEXT))


class CutChunksTest(unittest.TestCase):
    HEAD = OK + PROVED + b"Transfer-Encoding: chunked\r\n\r\n"
    CHUNKS = b"a;name=value\r\n0123456789\r\n00b\r\nabcdefghijk\r\n0\r\nTrailer: value\r\n\r\n"
    CONTENT = b"0123456789abcdefghijk"

    def test_answer_in_chunks_is_read(self):
        self.assertEqual(_read_one(self.HEAD + self.CHUNKS), (200, self.CONTENT))

    def test_answer_that_is_cut_within_its_chunks_is_not_read(self):
        for ending in (b"", b"\n", b"\r\n", NEXT, b"\r\n" + NEXT):
            with self.subTest(ending):
                cuts = range(len(self.CHUNKS) - len(b"\r\nTrailer: value\r\n\r\n") - 1)
                answers = [self.HEAD + self.CHUNKS[:size] + ending for size in cuts]
                believed = _read_all(answers)
                self.assertEqual(believed, [])

    def test_answer_that_is_cut_within_its_trailers_is_whole_or_not_read(self):
        for ending in (b"", b"\n", b"\r\n", b"\r\n\r\n", NEXT):
            with self.subTest(ending):
                cuts = range(self.CHUNKS.index(b"\r\n0\r\n") + 5, len(self.CHUNKS))
                answers = [self.HEAD + self.CHUNKS[:size] + ending for size in cuts]
                for _, body in _read_all(answers):
                    self.assertEqual(body, self.CONTENT)


class OverlongHeadsTest(unittest.TestCase):
    def test_head_that_exceeds_the_limit_is_not_read(self):
        filler = b"X-More: " + b"x" * http_client.MAX_HEAD_BYTES
        for ending in (b"", b"\r\n"):
            self.assertIsNone(_read_one(OK + PROVED + filler + ending))


if __name__ == "__main__":
    unittest.main()
