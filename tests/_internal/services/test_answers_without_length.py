"""Answers without a length that end with their connection, on real sockets."""

import socket
import struct
import unittest

import trio

from cicadapier._internal.standins import forwarding_deployment
from tests._internal.services import test_endless_answers

HEAD = test_endless_answers.HEAD + b"Connection: close\r\n\r\n"
STREAM_HEAD = test_endless_answers.HEAD + b"Content-Type: text/event-stream\r\n\r\n"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
RESET = struct.pack("ii", 1, 0)  # Value of SO_LINGER with which closing resets the connection.


class ClosingUpstream(test_endless_answers.EndlessUpstream):
    """Upstream that sends its answer and closes or resets the connection."""

    resets = False

    async def _answer(self, stream):
        await stream.receive_some(65_536)
        await stream.send_all(self._pattern.first)
        await trio.sleep(0.05)
        if self.resets:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        await stream.aclose()


class ResettingUpstream(ClosingUpstream):
    resets = True


class AnswersWithoutLengthTest(unittest.TestCase):
    def _replies(self, answer, pool, upstream_class=ClosingUpstream, path="/long/x"):
        """Returns the replies to two requests that the only upstream answers like this."""
        replies = []

        async def test(world, upstream):
            for _ in range(2):
                if pool == forwarding_deployment.ENGINES:
                    replies.append(await world.ask(path, request="q", time_left_ms=1500))
                else:
                    replies.append(await world.send("POST", "desk", "/order/1", request="q"))

        pattern = test_endless_answers.AnswerPattern(answer, b"")
        test_endless_answers.run_with_upstream(pattern, pool, test, upstream_class)
        return replies

    def test_answer_that_ends_with_its_connection_is_relayed_whole(self):
        for reply in self._replies(HEAD + b"the whole answer", forwarding_deployment.DESK):
            self.assertEqual((reply.status, reply.body), (200, b"the whole answer"))
            self.assertFalse(reply.broken)

    def test_answer_that_is_reset_is_not_relayed_as_complete(self):
        replies = self._replies(HEAD + b"half", forwarding_deployment.DESK, ResettingUpstream)
        for reply in replies:
            self.assertTrue(reply.broken or reply.status == 502, reply)

    def test_stream_that_ends_after_an_event_is_relayed_whole(self):
        for reply in self._replies(STREAM_HEAD + EVENTS, forwarding_deployment.ENGINES):
            self.assertEqual((reply.status, reply.numbers), (200, [1, 2]))
            self.assertFalse(reply.broken)

    def test_stream_that_ends_within_an_event_is_relayed_as_broken(self):
        for rest in (b"id: 3\nda", b"id: 3\ndata: c\n", b"i"):
            answer = STREAM_HEAD + EVENTS + rest
            for reply in self._replies(answer, forwarding_deployment.ENGINES):
                self.assertTrue(reply.broken)
                self.assertEqual(reply.numbers, [1, 2])

    def test_stream_that_is_reset_after_an_event_is_relayed_as_broken(self):
        answer = STREAM_HEAD + EVENTS
        replies = self._replies(answer, forwarding_deployment.ENGINES, ResettingUpstream)
        for reply in replies:
            self.assertTrue(reply.broken or reply.status == 502, reply)


if __name__ == "__main__":
    unittest.main()
