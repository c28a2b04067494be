"""Bounds the connections to the gRPC listener for other routers, and what each may send ahead."""

import asyncio
from collections.abc import Collection
import socket
from typing import Any

import grpclib.config
import grpclib.protocol
import grpclib.server
import trio
import trio_asyncio

from cicadapier._internal.decisions.clients import peer_room
from cicadapier._internal.protocols import client_events
from cicadapier._internal.protocols import transport as transport_lib

# Bytes that a client may send before they are read, over all calls on a connection.
WINDOW_BYTES = 65_536
# The callers' listener may take half of the descriptors.
_MAX_SHARE_OF_DESCRIPTORS = 0.25
_ACCEPT_PAUSE_S = 0.1


class PeerServer(grpclib.server.Server):
    """A gRPC server that closes a connection for a new one beyond a number of them."""

    def __init__(
        self,
        handlers: Collection[Any],
        max_connections: int,
        events: client_events.EventSink,
    ) -> None:
        """Creates it.

        Args:
            handlers: gRPC services.
            max_connections: Maximum number of connections; a quarter of the descriptors of the
                process if that is less.
            events: Counts connections that are closed for others.
        """
        window = grpclib.config.Configuration(
            http2_connection_window_size=WINDOW_BYTES, http2_stream_window_size=WINDOW_BYTES
        )
        super().__init__(handlers, config=window)
        max_descriptors = int(transport_lib.descriptor_limit() * _MAX_SHARE_OF_DESCRIPTORS)
        self._room = peer_room.PeerRoom(max(1, min(max_connections, max_descriptors)))
        self._events = events
        self._protocols: dict[peer_room.PeerConnection, _PeerProtocol] = {}
        self._connections: dict[object, peer_room.PeerConnection] = {}

    async def accept(self, listeners: list[trio.SocketListener]) -> None:
        """Serves connections until it is cancelled, and then closes them.

        The server of asyncio would accept many before it tells of the first.
        """
        try:
            async with trio.open_nursery() as nursery:
                for listener in listeners:
                    nursery.start_soon(self._accept_each, listener)
        finally:
            for protocol in list(self._protocols.values()):
                protocol.abort()

    async def _accept_each(self, listener: trio.SocketListener) -> None:
        """Accepts the next connection only once the one before is counted."""
        connect = trio_asyncio.aio_as_trio(asyncio.get_running_loop().connect_accepted_socket)
        while True:
            try:
                stream = await listener.accept()
                sock = socket.socket(fileno=stream.socket.detach())
                await connect(self._protocol_factory, sock)
            except OSError:
                # The client has left already, or the process has no descriptor now.
                await trio.sleep(_ACCEPT_PAUSE_S)

    def note_call(self, remote_address: object) -> None:
        """Records a call of another router.

        Args:
            remote_address: Address and port of the router's end of the connection.
        """
        conn = self._connections.get(remote_address)
        if conn is not None:
            conn.called_at = trio.current_time()

    def open(self, protocol: "_PeerProtocol", remote_address: object) -> peer_room.PeerConnection:
        """Records a new connection, and closes another one if there is no room."""
        conn = peer_room.PeerConnection()
        least_needed = self._room.add(conn)
        if least_needed is not None:
            self._events.add(client_events.ClientEvent.PEER_CONNECTION_REPLACED)
            self._protocols[least_needed].abort()
        self._protocols[conn] = protocol
        self._connections[remote_address] = conn
        return conn

    def close_connection(self, conn: peer_room.PeerConnection, remote_address: object) -> None:
        """Records that a connection is closed."""
        self._room.remove(conn)
        self._protocols.pop(conn, None)
        if self._connections.get(remote_address) is conn:
            del self._connections[remote_address]

    def _protocol_factory(self) -> grpclib.protocol.H2Protocol:
        self.__gc_step__()
        handler = grpclib.server.Handler(
            self._mapping, self._codec, self._status_details_codec, self.__dispatch__
        )
        self._handlers.add(handler)
        return _PeerProtocol(self, handler, self._config, self._h2_config)


class _PeerProtocol(grpclib.protocol.H2Protocol):
    """One connection."""

    def __init__(self, server: PeerServer, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._remote_address: object = None
        self._conn: peer_room.PeerConnection | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol.connection_made`."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._remote_address = transport.get_extra_info("peername")
        self._conn = self._server.open(self, self._remote_address)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """See `asyncio.Protocol.connection_lost`."""
        if self._conn is not None:
            self._server.close_connection(self._conn, self._remote_address)
        super().connection_lost(exc)

    def abort(self) -> None:
        """Closes the connection at once."""
        if self._transport is not None:
            self._transport.abort()
