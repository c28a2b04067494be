"""Answers without a length on connections that are reset, on real sockets.

A kernel reports a reset once: if a send has met it, the next read shows a plain end.
"""

import contextlib
import socket
import struct
import unittest

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import http_client
from tests import tunnel_rig

UPLOADS_BYTES = (200_000, 1_000_000, 4_000_000)
GAPS_S = (0.0, 0.001, 0.02, 0.2)
PROOF = b"X-Request-Id: q\r\nX-Server-Stamp: proof\r\n"
UNFRAMED = (
    b"HTTP/1.1 200 OK\r\nConnection: close\r\n" + PROOF,
    b"HTTP/1.1 200 OK\r\n" + PROOF,
    b"HTTP/1.0 200 OK\r\n" + PROOF,
)
WHOLE = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n" + PROOF,
    b"HTTP/1.1 503 Full\r\nContent-Length: 1000\r\nX-Not-Executed: 1\r\n" + PROOF,
)
BODY = b"b" * 1000
RESET = struct.pack("ii", 1, 0)
TIMEOUT_S = 5.0


async def answer_and_reset(stream, answer, gap_s, read_bytes=0):
    """Answers a request that is not read, or not whole, and resets the connection."""
    if read_bytes:
        await stream.receive_some(read_bytes)
    await stream.send_all(answer)
    await trio.sleep(gap_s)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    await stream.aclose()


async def exchange(stream, upload):
    """Sends an upload; returns the status and the body of its answer, or why there is none."""
    conn = http_client.ClientConnection(stream, ids.Address("upstream:1"))
    head = http_client.RequestHead("POST", "/", [])
    try:
        # An answer may have come early, so it is read also if the send fails.
        with contextlib.suppress(exceptions.ConnectionLostError):
            await conn.send(head, upload)
        received = await conn.receive_head(TIMEOUT_S)
        return received.status, await conn.receive_body(TIMEOUT_S)
    except exceptions.ProtocolError as exc:
        return type(exc)
    finally:
        await conn.close()


class ResetTest(unittest.TestCase):
    """Guards against parts of answers that look complete after a reset (MIXED)."""

    def _answers(self, answer, gap_s, size, read_bytes=0, tunnelled=False):
        """Returns what a client gets for an upload, on sockets of its own."""
        found = []

        async def main(rig):
            async def serve(stream):
                await answer_and_reset(stream, answer, gap_s, read_bytes)

            address = await rig.add_upstream(serve)
            with trio.fail_after(TIMEOUT_S):
                if tunnelled:
                    stream = await rig.open(address)
                else:
                    stream = await rig.network.connect(address, TIMEOUT_S)
                found.append(await exchange(stream, bytes(size)))

        tunnel_rig.run_on_sockets(main)
        return found[0]

    def _check_part(self, **options):
        for head in UNFRAMED:
            for size in UPLOADS_BYTES:
                for gap_s in GAPS_S:
                    with self.subTest(head=head, size=size, gap_s=gap_s):
                        found = self._answers(head + b"\r\n" + BODY, gap_s, size, **options)
                        self.assertIs(found, exceptions.ConnectionLostError)

    def _check_whole(self, **options):
        for head in WHOLE:
            for size in UPLOADS_BYTES:
                for gap_s in GAPS_S:
                    with self.subTest(head=head, size=size, gap_s=gap_s):
                        found = self._answers(head + b"\r\n" + BODY, gap_s, size, **options)
                        self.assertEqual(found, (int(head.split()[1]), BODY))

    def test_part_of_an_answer_is_not_complete_as_the_upload_is_reset(self):
        self._check_part()

    def test_part_of_an_answer_is_not_complete_as_a_part_of_the_upload_was_read(self):
        self._check_part(read_bytes=1000)

    def test_part_of_an_answer_is_not_complete_through_a_tunnel(self):
        self._check_part(tunnelled=True)

    def test_whole_answer_that_comes_early_is_delivered(self):
        self._check_whole()

    def test_whole_answer_that_comes_early_is_delivered_through_a_tunnel(self):
        self._check_whole(tunnelled=True)


if __name__ == "__main__":
    unittest.main()
