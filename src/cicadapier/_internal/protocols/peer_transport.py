"""Transport of messages between routers by gRPC and datagrams; tests use direct calls."""

import abc
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import hmac
import sys
from typing import Any
from typing import TypeVar

import grpclib
import grpclib.client
import grpclib.const
import grpclib.exceptions
import grpclib.server
import structlog
import trio
import trio_asyncio

from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import client_events
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import peer_codec
from cicadapier._internal.protocols import peer_connections
from cicadapier._internal.protocols import peer_datagrams
from cicadapier._internal.protocols import peers_grpc
from cicadapier._internal.protocols import peers_pb2
from cicadapier._internal.protocols import transport

EXCHANGE_TIMEOUT_S = 1.0
FETCH_TIMEOUT_S = 10.0
CONFIGURATION_PART_BYTES = 262_144
MAX_CONFIGURATION_BYTES = 67_108_864
MAX_CHANNELS = 64  # Beyond this number, the oldest channel is closed.
_CALL_ERRORS = (
    OSError,
    trio.TooSlowError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
    *transport.ADDRESS_ERRORS,
)
_log = structlog.get_logger()

_ResultT = TypeVar("_ResultT")
_SECRET_METADATA_KEY = "x-peer-secret"


class PeerHandler(abc.ABC):
    """Handles the messages of other routers."""

    @abc.abstractmethod
    def exchange(self, digest: peer_codec.Digest) -> peer_codec.Digest:
        """Handles a peer's digest and returns this router's digest."""

    @abc.abstractmethod
    def handle_datagram(self, message: peer_codec.Message) -> None:
        """Handles a message that was received as a datagram."""

    @abc.abstractmethod
    def configuration_update(
        self, since: ids.ConfigNumber
    ) -> tuple[ids.ConfigNumber, bytes] | None:
        """Returns the current number and the compressed update to it, or None without an update.

        Args:
            since: Number of the peer's configuration.
        """

    def count_client_event(self, kind: str) -> None:  # noqa: B027 - Counting is optional.
        """Counts a measure against clients of the peers' listener, by its kind."""


class PeerTransport(abc.ABC):
    """Sends messages to other routers and receives theirs."""

    @abc.abstractmethod
    async def serve(
        self,
        address: ids.Address,
        handler: PeerHandler,
        task_status: "trio.TaskStatus[ids.Address]" = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Answers messages until it is cancelled; reports the bound address once it listens."""

    @abc.abstractmethod
    async def exchange(self, address: ids.Address, digest: peer_codec.Digest) -> peer_codec.Digest:
        """Sends a digest and returns the peer's digest.

        Raises:
            ProtocolError: The call failed, or the peer did not answer in time.
        """

    @abc.abstractmethod
    async def send_datagram(
        self, addresses: list[ids.Address], message: peer_codec.Message
    ) -> None:
        """Sends a message to some routers. The message may be lost."""

    @abc.abstractmethod
    async def fetch_configuration(
        self, address: ids.Address, since: ids.ConfigNumber
    ) -> tuple[ids.ConfigNumber, bytes] | None:
        """Returns the peer's number and the compressed update to it, or None without an update.

        Args:
            address: Address of the peer.
            since: Number of this router's configuration.

        Raises:
            ProtocolError: The call failed, or the peer did not answer in time.
        """


_ConfigurationStream = grpclib.server.Stream[
    peers_pb2.ConfigurationRequest, peers_pb2.ConfigurationPart
]


class _GrpcService(peers_grpc.PeersBase):
    """The gRPC service `Peers`, which passes the peers' calls to a handler."""

    def __init__(
        self, handler: PeerHandler, secret: str, note_call: Callable[[object], None]
    ) -> None:
        self._handler = handler
        self._secret = secret.encode()
        self._note_call = note_call

    async def Exchange(  # noqa: N802 - name of the generated method
        self, stream: "grpclib.server.Stream[peers_pb2.Digest, peers_pb2.Digest]"
    ) -> None:
        """Answers a peer's digest with this router's digest."""
        self._authenticate(stream)
        message = await stream.recv_message()
        if message is not None:
            answer = self._handler.exchange(peer_codec.decode_digest(message))
            await stream.send_message(peer_codec.encode_digest(answer))

    async def FetchConfiguration(  # noqa: N802 - name of the generated method
        self,
        stream: "_ConfigurationStream",
    ) -> None:
        """Sends the configuration update, if there is one, in parts."""
        self._authenticate(stream)
        message = await stream.recv_message()
        if message is None:
            return
        update = self._handler.configuration_update(ids.ConfigNumber(message.above))
        if update is None:
            return
        number, content = update
        for start in range(0, len(content), CONFIGURATION_PART_BYTES):
            part = content[start : start + CONFIGURATION_PART_BYTES]
            await stream.send_message(peers_pb2.ConfigurationPart(number=number, content=part))

    def _authenticate(self, stream: "grpclib.server.Stream[Any, Any]") -> None:
        metadata: Mapping[str, Any] = stream.metadata or {}
        received_secret = metadata.get(_SECRET_METADATA_KEY, "")
        if not hmac.compare_digest(str(received_secret).encode(), self._secret):
            status = grpclib.const.Status.UNAUTHENTICATED
            raise grpclib.exceptions.GRPCError(status, "wrong peer secret")
        if stream.peer is not None:
            self._note_call(stream.peer.addr())


class GrpcTransport(PeerTransport):
    """gRPC over TCP, and datagrams on the UDP port of the same number.

    grpclib needs asyncio, so its code runs in the trio-asyncio event loop that `serve` opens.
    """

    def __init__(self, secret: str, max_connections: int = sys.maxsize) -> None:
        """Creates it.

        Args:
            secret: Secret that the routers share.
            max_connections: Maximum number of connections that are accepted.
        """
        self._secret = secret
        self._max_connections = max_connections
        self._datagrams = peer_datagrams.DatagramSocket(secret)
        self._metadata = {_SECRET_METADATA_KEY: secret} if secret else {}
        self._channels: dict[ids.Address, grpclib.client.Channel] = {}
        self._loop: trio_asyncio.BaseTrioEventLoop | None = None

    async def serve(
        self,
        address: ids.Address,
        handler: PeerHandler,
        task_status: "trio.TaskStatus[ids.Address]" = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """See `PeerTransport.serve`."""
        async with trio_asyncio.open_loop() as loop:
            # The default handler would stop the whole router on an error that asyncio only reports.
            loop.set_exception_handler(_log_loop_error)
            self._loop = loop
            server = self._make_server(handler)
            host, port = settings.split_address(address)
            listeners = await trio.open_tcp_listeners(port, host=host)
            bound = _bound_address(listeners[0])
            try:
                async with trio.open_nursery() as nursery:
                    await nursery.start(self._datagrams.serve, bound, handler.handle_datagram)
                    nursery.start_soon(server.accept, listeners)
                    task_status.started(bound)
            finally:
                self._loop = None
                for listener in listeners:
                    await trio.aclose_forcefully(listener)
                for channel in self._channels.values():
                    channel.close()

    def _make_server(self, handler: PeerHandler) -> peer_connections.PeerServer:
        def note_call(remote_address: object) -> None:
            server.note_call(remote_address)

        service = _GrpcService(handler, self._secret, note_call)
        events = client_events.EventSink(handler.count_client_event)
        server = peer_connections.PeerServer([service], self._max_connections, events)
        return server

    async def exchange(self, address: ids.Address, digest: peer_codec.Digest) -> peer_codec.Digest:
        """See `PeerTransport.exchange`."""
        message = peer_codec.encode_digest(digest)

        async def call() -> peers_pb2.Digest:
            stub = peers_grpc.PeersStub(self._get_channel(address))
            return await stub.Exchange(message, timeout=EXCHANGE_TIMEOUT_S, metadata=self._metadata)

        return peer_codec.decode_digest(await self._run_call(address, call, EXCHANGE_TIMEOUT_S))

    async def send_datagram(
        self, addresses: list[ids.Address], message: peer_codec.Message
    ) -> None:
        """See `PeerTransport.send_datagram`."""
        await self._datagrams.send(addresses, message)

    async def fetch_configuration(
        self, address: ids.Address, since: ids.ConfigNumber
    ) -> tuple[ids.ConfigNumber, bytes] | None:
        """See `PeerTransport.fetch_configuration`."""

        async def call() -> tuple[ids.ConfigNumber, bytes] | None:
            stub = peers_grpc.PeersStub(self._get_channel(address))
            request = peers_pb2.ConfigurationRequest(above=since)
            parts = await stub.FetchConfiguration(
                request, timeout=FETCH_TIMEOUT_S, metadata=self._metadata
            )
            return _join_parts(parts)

        return await self._run_call(address, call, FETCH_TIMEOUT_S)

    async def _run_call(
        self, address: ids.Address, call: Callable[[], Awaitable[_ResultT]], timeout_s: float
    ) -> _ResultT:
        if self._loop is None:
            raise exceptions.ConnectError("the peer transport has not started")
        try:
            with trio.fail_after(timeout_s):
                result: _ResultT = await trio_asyncio.aio_as_trio(call, loop=self._loop)()
                return result
        except _CALL_ERRORS as exc:
            self._drop_channel(address)
            raise exceptions.ConnectionLostError(f"{address}: {exc!r}") from exc

    def _get_channel(self, address: ids.Address) -> grpclib.client.Channel:
        channel = self._channels.get(address)
        if channel is None:
            if len(self._channels) >= MAX_CHANNELS:
                self._drop_channel(next(iter(self._channels)))
            host, port = settings.split_address(address)
            channel = grpclib.client.Channel(host, port, loop=self._loop)
            self._channels[address] = channel
        return channel

    def _drop_channel(self, address: ids.Address) -> None:
        # The connection of a failed call may never respond again; the next call opens a new one.
        channel = self._channels.pop(address, None)
        if channel:
            channel.close()


def _log_loop_error(_: object, context: dict[str, Any]) -> None:
    _log.warning("peer_transport_error", message=str(context.get("message", "")))


def _bound_address(listener: trio.SocketListener) -> ids.Address:
    host, port = listener.socket.getsockname()[:2]
    return ids.Address(f"{host}:{port}")


def _join_parts(parts: list[peers_pb2.ConfigurationPart]) -> tuple[ids.ConfigNumber, bytes] | None:
    if not parts:
        return None
    content = b"".join(part.content for part in parts)
    if len(content) > MAX_CONFIGURATION_BYTES:
        raise exceptions.MalformedMessageError("the configuration is too large")
    return ids.ConfigNumber(parts[0].number), content
