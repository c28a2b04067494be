"""Attempts: early answers, and what a lost connection means for the upstream."""

import unittest

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.platform import requests
from cicadapier._internal.platform import server_formats
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import transport
from cicadapier._internal.services import attempt_errors
from cicadapier._internal.services import attempts
from cicadapier._internal.services import connections_service
from cicadapier._internal.services import upstream_call
from tests import support

UPSTREAM_ADDRESS = ids.Address("10.0.0.1:80")
BODY = b"x" * 1_000_000


class _Stream(trio.abc.Stream):
    """Stream that has an answer at once and resets the connection while the request is sent."""

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
    """Network on which one connection succeeds and later ones fail with a given error."""

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


def encode_answer(status, headers):
    lines = [b"HTTP/1.1 %d x" % status, *(k + b": " + v for k, v in headers)]
    return b"\r\n".join([*lines, b"content-length: 0", b"", b""])


class _AttemptTest(unittest.TestCase):
    def _make_attempt(self, raw, failure=None):
        """Makes one attempt; returns its outcome or status and the streams that were opened."""
        network = _Network(raw, failure)
        results = []

        async def main():
            async with trio.open_nursery() as nursery:
                service = connections_service.ConnectionsService(
                    connections_service.DirectLinks(network)
                )
                nursery.start_soon(service.run, None, trio.TASK_STATUS_IGNORED)
                call = upstream_call.Call(
                    ids.RequestId("q"),
                    UPSTREAM_ADDRESS,
                    ids.Incarnation(""),
                    http_client.RequestHead("POST", "/order/", []),
                    BODY,
                    1.0,
                    1.0,
                    requests.RequestFormat(),
                )
                attempt = attempts.Attempt(service, call)
                try:
                    results.append((await attempt.start()).status)
                    await attempt.finish()
                except attempt_errors.AttemptFailedError as exc:
                    results.append(exc.outcome)
                finally:
                    await attempt.abandon()
                nursery.cancel_scope.cancel()

        support.run(main)
        return results[0], network.streams


class EarlyAnswerTest(_AttemptTest):
    def test_early_refusal_means_that_the_request_was_not_run(self):
        outcome, streams = self._make_attempt(
            encode_answer(503, server_formats.make_not_run_headers("q"))
        )
        self.assertIsInstance(outcome, outcomes.RefusedBeforeRunning)
        self.assertTrue(streams[0].closed)

    def test_early_answer_is_used_and_its_connection_is_closed(self):
        status, streams = self._make_attempt(
            encode_answer(413, server_formats.make_response_headers("q"))
        )
        self.assertEqual(status, 413)
        self.assertTrue(streams[0].closed)

    def test_request_without_answer_may_have_run(self):
        outcome, _ = self._make_attempt(b"")
        self.assertIsInstance(outcome, outcomes.SentNoAnswer)


class LostConnectionTest(_AttemptTest):
    def test_upstream_that_refuses_connections_has_crashed(self):
        outcome, _ = self._make_attempt(b"", exceptions.ConnectRefusedError("refused"))
        self.assertTrue(outcome.crashed)
        self.assertTrue(outcome.unreachable)

    def test_upstream_that_cannot_be_reached_does_not_count_as_crashed(self):
        outcome, _ = self._make_attempt(b"", exceptions.ConnectError("no answer"))
        self.assertFalse(outcome.crashed)
        self.assertTrue(outcome.unreachable)

    def test_upstream_that_accepts_connections_is_neither_crashed_nor_unreachable(self):
        outcome, _ = self._make_attempt(b"")
        self.assertFalse(outcome.crashed)
        self.assertFalse(outcome.unreachable)


if __name__ == "__main__":
    unittest.main()
