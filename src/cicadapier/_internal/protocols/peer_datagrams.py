"""Messages between routers in single UDP datagrams, which may be lost.

A datagram costs a fraction of a gRPC call and needs no connection, so frequent messages to other
routers stay cheap regardless of the number of routers.
"""

import collections.abc
import dataclasses
import hashlib
import hmac

import google.protobuf.message
import structlog
import trio

from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import peer_codec
from cicadapier._internal.protocols import peers_pb2
from cicadapier._internal.protocols import transport

MAX_DATAGRAM_BYTES = 8_192
_RECEIVE_BUFFER_BYTES = 65_536
_TAG_BYTES = 16
_MAX_KEY_BYTES = 64  # Longest key of BLAKE2b.

_log = structlog.get_logger()


class DatagramCodec:
    """Encodes datagrams: an authentication tag keyed with the shared secret, then the message."""

    def __init__(self, secret: str) -> None:
        self._key = secret.encode()[:_MAX_KEY_BYTES]

    def encode(self, message: peer_codec.Message) -> bytes:
        """Returns a datagram; the oldest placements of a digest are left out if it is too long."""
        content: bytes = peer_codec.encode_message(message).SerializeToString()
        while len(content) + _TAG_BYTES > MAX_DATAGRAM_BYTES:
            if not isinstance(message, peer_codec.Digest) or not message.placed:
                break
            newest = message.placed[(len(message.placed) + 1) // 2 :]
            message = dataclasses.replace(message, placed=newest)
            content = peer_codec.encode_message(message).SerializeToString()
        return self._compute_tag(content) + content

    def decode(self, data: bytes) -> peer_codec.Message | None:
        """Returns the message, or None if it is unreadable or its tag does not match the secret."""
        tag, content = data[:_TAG_BYTES], data[_TAG_BYTES:]
        if not hmac.compare_digest(tag, self._compute_tag(content)):
            return None
        try:
            return peer_codec.decode_message(peers_pb2.Datagram.FromString(content))
        except google.protobuf.message.DecodeError:
            return None

    def _compute_tag(self, content: bytes) -> bytes:
        return hashlib.blake2b(content, digest_size=_TAG_BYTES, key=self._key).digest()


class DatagramSocket:
    """Sends and receives datagrams at one address."""

    def __init__(self, secret: str) -> None:
        self._codec = DatagramCodec(secret)
        self._socket: trio.socket.SocketType | None = None

    async def serve(
        self,
        address: ids.Address,
        handle_message: collections.abc.Callable[[peer_codec.Message], None],
        task_status: "trio.TaskStatus[None]" = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Passes received messages to `handle_message` until it is cancelled."""
        with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as sock:
            try:
                await sock.bind(settings.split_address(address))
            except OSError as exc:
                # Only logged, because datagrams may be lost in any case; all the rest is meant to
                # work without them.
                _log.warning("datagrams_not_bound", address=address, reason=str(exc))
                task_status.started()
                return
            self._socket = sock
            task_status.started()
            try:
                while True:
                    await self._receive(sock, handle_message)
            finally:
                self._socket = None

    async def _receive(
        self,
        sock: trio.socket.SocketType,
        handle_message: collections.abc.Callable[[peer_codec.Message], None],
    ) -> None:
        try:
            data, sender_address = await sock.recvfrom(_RECEIVE_BUFFER_BYTES)
        except OSError as exc:
            # The socket reports an error of an earlier send, such as an unreachable peer.
            _log.debug("datagram_error", reason=str(exc))
            return
        message = self._codec.decode(data)
        if message is None:
            _log.debug("datagram_unreadable", sender=sender_address, size=len(data))
            return
        handle_message(message)

    async def send(self, addresses: list[ids.Address], message: peer_codec.Message) -> None:
        """Sends a message to some routers. The message may be lost."""
        if self._socket is None:
            return
        data = self._codec.encode(message)
        for address in addresses:
            try:
                await self._socket.sendto(data, settings.split_address(address))
            except (OSError, *transport.ADDRESS_ERRORS) as exc:
                _log.debug("datagram_not_sent", peer=address, reason=str(exc))
