"""Attempts at upstreams that answer early, and what a lost connection says of one."""

import unittest

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.platform import far_side
from cicadapier._internal.platform import requests
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import transport
from cicadapier._internal.services import attempts
from cicadapier._internal.services import connections_service
from tests import support

HERE = ids.Address("10.0.0.1:80")
BODY = b"x" * 1_000_000


class _Stream(trio.abc.Stream):
    """Answers at once, and resets whoever sends on."""

    def __init__(self, answer):
        self.closed = False
        self._answer = answer

    async def send_all(self, data):
        raise trio.BrokenResourceError("reset")

    async def wait_send_all_might_not_block(self):
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None):
        answer, self._answer = self._answer, b""
        if not answer:
            raise trio.BrokenResourceError("reset")
        return answer

    async def aclose(self):
        self.closed = True


class _Network(transport.Network):
    """Connects once, and then fails as it is told to."""

    def __init__(self, answer, failure=None):
        self.streams = []
        self._answer = answer
        self._failure = failure

    async def connect(self, address, timeout_s):
        if self.streams and self._failure:
            raise self._failure
        self.streams.append(_Stream(self._answer))
        return self.streams[-1]

    async def serve(self, address, handler, task_status=trio.TASK_STATUS_IGNORED):
        raise NotImplementedError


def answer(status, headers):
    lines = [b"HTTP/1.1 %d x" % status, *(k + b": " + v for k, v in headers)]
    return b"\r\n".join([*lines, b"content-length: 0", b"", b""])


class _AttemptTest(unittest.TestCase):
    def _try(self, raw, failure=None):
        """Makes one attempt; returns its outcome or the status, and the streams that it used."""
        network = _Network(raw, failure)
        found = []

        async def main():
            async with trio.open_nursery() as nursery:
                service = connections_service.ConnectionsService(network)
                nursery.start_soon(service.run, None, trio.TASK_STATUS_IGNORED)
                call = attempts.Call(
                    ids.RequestId("q"),
                    HERE,
                    ids.Incarnation(""),
                    http_client.RequestHead("POST", "/order/", []),
                    BODY,
                    1.0,
                    1.0,
                    requests.RequestFormat(),
                )
                attempt = attempts.Attempt(service, call)
                try:
                    found.append((await attempt.start()).status)
                    await attempt.finish()
                except attempts.AttemptFailedError as exc:
                    found.append(exc.outcome)
                finally:
                    await attempt.abandon()
                nursery.cancel_scope.cancel()

        support.run(main)
        return found[0], network.streams


class EarlyAnswerTest(_AttemptTest):
    def test_an_early_refusal_is_the_upstreams_word_that_it_has_not_run(self):
        outcome, streams = self._try(answer(503, far_side.not_run_headers()))
        self.assertIsInstance(outcome, outcomes.RefusedBeforeRunning)
        self.assertTrue(streams[0].closed)

    def test_an_early_answer_counts_and_its_connection_is_not_kept(self):
        status, streams = self._try(answer(413, far_side.answer_headers("q")))
        self.assertEqual(status, 413)
        self.assertTrue(streams[0].closed)

    def test_without_an_answer_the_request_may_have_run(self):
        outcome, _ = self._try(b"")
        self.assertIsInstance(outcome, outcomes.SentNoAnswer)


class LostConnectionTest(_AttemptTest):
    def test_an_upstream_that_refuses_connections_has_crashed(self):
        outcome, _ = self._try(b"", exceptions.ConnectRefusedError("refused"))
        self.assertTrue(outcome.crashed)
        self.assertTrue(outcome.unreachable)

    def test_an_upstream_that_cannot_be_reached_is_not_said_to_have_crashed(self):
        outcome, _ = self._try(b"", exceptions.ConnectError("no answer"))
        self.assertFalse(outcome.crashed)
        self.assertTrue(outcome.unreachable)

    def test_an_upstream_that_takes_connections_is_neither(self):
        outcome, _ = self._try(b"")
        self.assertFalse(outcome.crashed)
        self.assertFalse(outcome.unreachable)


if __name__ == "__main__":
    unittest.main()
