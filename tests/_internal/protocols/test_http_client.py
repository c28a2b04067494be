"""Client connections: heads of answers that run into each other."""

import unittest

import trio.testing

from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import http_client
from tests import support

HALF_HEADS = (
    b"HTTP/1.1 200 ",
    b"HTTP/1.1 200 O",
    b"HTTP/1.1 200 OK",
    b"HTTP/1.1 200 OK\r\nX-Server-Stamp: ",
    b"HTTP/1.1 200 OK\r\nX-Server-Stamp: proof",
    b"HTTP/1.1 200 OK\r\nX-Ser",
    b"HTTP/1.1 200 OK\r\n",
)
FAILURE = b"HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: q\r\nContent-Length: 0\r\n\r\n"


def _receive_head(answer):
    """Returns the head with which a request is answered."""
    heads = []

    async def main():
        client, server = trio.testing.memory_stream_pair()
        conn = http_client.ClientConnection(client, "10.0.0.1:80")
        await conn.send(http_client.RequestHead("GET", "/", []), b"")
        await server.send_all(answer)
        heads.append(await conn.receive_head(1.0))

    support.run(main)
    return heads[0]


class SplicedHeadsTest(unittest.TestCase):
    def test_half_a_head_does_not_lend_its_status_to_the_next(self):
        for half in HALF_HEADS:
            with self.subTest(half), self.assertRaises(exceptions.MalformedMessageError):
                _receive_head(half + FAILURE)

    def test_whole_head_is_read(self):
        self.assertEqual(_receive_head(FAILURE).status, 500)

    def test_head_that_only_names_the_protocol_is_read(self):
        answer = FAILURE.replace(b"Content-", b"Via: HTTP/1.1 gate\r\nContent-")
        self.assertEqual(_receive_head(answer).status, 500)


class StatusTest(unittest.TestCase):
    """Guards against statuses that no caller can understand (MIXED)."""

    def test_answer_with_a_status_that_http_does_not_know_is_none(self):
        for status in (b"000", b"099", b"600", b"999", b"1000", b"20", b"-20", b"2x0"):
            answer = FAILURE.replace(b"500", status)
            with self.subTest(status), self.assertRaises(exceptions.MalformedMessageError):
                _receive_head(answer)

    def test_known_and_unknown_statuses_of_each_class_are_answers(self):
        for status in (200, 299, 399, 499, 599):
            answer = FAILURE.replace(b"500", b"%d" % status)
            self.assertEqual(_receive_head(answer).status, status)


class UnsendableRequestTest(unittest.TestCase):
    def test_header_that_cannot_be_sent_is_an_error_of_the_protocol(self):
        async def main(head):
            client, _ = trio.testing.memory_stream_pair()
            conn = http_client.ClientConnection(client, "10.0.0.1:80")
            with self.assertRaises(exceptions.MalformedMessageError):
                await conn.send(head, b"")
            self.assertFalse(conn.sent)

        for value in (b"a\r\nb", b"a\0b", b" a"):
            with self.subTest(value):
                support.run(main, http_client.RequestHead("GET", "/", [(b"x-tenant", value)]))


class RememberedRefusalsTest(unittest.TestCase):
    def test_connection_is_given_up_before_it_remembers_too_many_refusals(self):
        async def main():
            client, server = trio.testing.memory_stream_pair()
            conn = http_client.ClientConnection(client, "10.0.0.1:80")
            requests = 0
            reusable = True
            while reusable and requests <= http_client.MAX_REFUSALS:
                requests += 1
                await conn.send(http_client.RequestHead("GET", "/", []), b"")
                await server.send_all(FAILURE)
                await conn.receive_head(1.0)
                await conn.receive_body(1.0, 10)
                conn.record_refusal(f"q{requests}", named=True)
                reusable = conn.make_reusable()
            self.assertEqual(requests, http_client.MAX_REFUSALS)

        support.run(main)


if __name__ == "__main__":
    unittest.main()
