"""HTTP/1.1 server connections over h11."""

import abc
import collections.abc
import dataclasses
import http

import h11
import msgspec
import structlog
import trio

from cicadapier._internal.decisions.clients import connection_room
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import body_beginnings
from cicadapier._internal.protocols import client_events
from cicadapier._internal.protocols import client_output
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import held_bytes
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import http_request
from cicadapier._internal.protocols import read_ahead
from cicadapier._internal.protocols import request_reader
from cicadapier._internal.protocols import request_turns
from cicadapier._internal.protocols import transport

_log = structlog.get_logger()

Request = http_request.Request
LimitsProvider = request_reader.LimitsProvider

MAX_HELD_BODY_BYTES = 25_165_824  # Large bodies of all open requests of a listener.
# Small ones, and the beginnings of large ones, which are received before there is room for all.
MAX_BODY_BEGINNINGS_BYTES = 16_777_216
_MAX_COPIED_BYTES = 16_384  # Larger bodies are sent apart from their heads.
_VERSION_WITHOUT_CHUNKS = b"1.0"
_HEAD = b"HEAD"
_STATUSES_WITHOUT_BODY = (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)

_JSON_HEADERS = [(b"content-type", b"application/json")]
_CHUNKED_HEADERS = [(b"transfer-encoding", b"chunked")]


class Responder:
    """Sends the answer to a request.

    Attributes:
        started: Whether sending the answer has begun.
        is_next_sent_ahead: Whether the client sent more before it could have read this answer.
        nursery: Nursery of the request, while it is handled.
    """

    def __init__(
        self,
        reader: request_reader.RequestReader,
        output: client_output.ClientOutput,
        handler: "Handler",
    ) -> None:
        self._reader = reader
        self._h11 = reader.h11
        self._output = output
        self._handler = handler
        self.started = False
        self.is_next_sent_ahead = False
        self._has_body = True
        self.nursery: trio.Nursery | None = None

    async def send_json(
        self,
        value: object,
        status: int = http.HTTPStatus.OK,
        headers: http_client.Headers | None = None,
    ) -> None:
        """Sends a complete answer with a JSON body."""
        await self.send_response(
            status, [*_JSON_HEADERS, *(headers or [])], msgspec.json.encode(value)
        )

    async def send_response(self, status: int, headers: http_client.Headers, body: bytes) -> None:
        """Sends a complete answer."""
        length = (b"content-length", b"%d" % len(body))
        data = self._encode_head(status, [*headers, length])
        if self._has_body and len(body) > 0:
            encoded = self.encode_part(body)
            if len(encoded) > _MAX_COPIED_BYTES:
                await self._output.write(data)
                data = b""
            data = data + encoded if data else encoded
        end = self._encode_end()
        await self._output.write(data + end if end else data)

    async def start(
        self, status: int, headers: http_client.Headers, first_part: bytes = b""
    ) -> None:
        """Sends the head of an answer of unknown length, and the first part of its body if any."""
        await self.write(self.encode_start(status, headers, first_part))

    async def send_part(self, data: bytes) -> None:
        """Sends a part of the body."""
        await self.write(self.encode_part(data))

    def encode_start(self, status: int, headers: http_client.Headers, first_part: bytes) -> bytes:
        """Returns what `start` sends; the calling code then has to write it."""
        self._set_reset_on_close(True)
        data = self._encode_head(status, [*headers, *_CHUNKED_HEADERS])
        return data + self.encode_part(first_part) if first_part else data

    def encode_part(self, data: bytes) -> bytes:
        """Returns what `send_part` sends; the calling code then has to write it."""
        return (self._h11.send(h11.Data(data=data)) or b"") if self._has_body else b""

    async def write(self, encoded: bytes) -> None:
        """Writes encoded data.

        Raises:
            ConnectionLostError: The client closed the connection or stopped reading.
        """
        await self._output.write(encoded)

    def write_now(self, encoded: bytes) -> int:
        """Writes what the connection takes without waiting; returns how many bytes that is."""
        return transport.send_now(self._output.stream, encoded)

    def start_task(
        self, function: collections.abc.Callable[[], collections.abc.Awaitable[None]]
    ) -> None:
        """Starts a task that is cancelled at the end of the request."""
        assert self.nursery
        self.nursery.start_soon(function)

    async def finish(self) -> None:
        """Sends the end of the answer."""
        self._set_reset_on_close(False)
        await self._output.write(self._encode_end())

    def _set_reset_on_close(self, enabled: bool) -> None:
        """Lets a caller without chunks know of an answer that breaks off by a reset.

        The end of the connection is the end of such an answer.
        """
        if self._h11.their_http_version == _VERSION_WITHOUT_CHUNKS:
            transport.reset_on_close(self._output.stream, enabled)

    def _encode_head(self, status: int, headers: http_client.Headers) -> bytes:
        self.started = True
        reason = http.HTTPStatus(status).phrase if status in _KNOWN_STATUSES else ""
        # The connection stays open if part of another request has been read already, so that it is
        # answered too.
        is_last = not self._handler.is_accepting
        if is_last and request_reader.unparsed_bytes(self._h11) == 0:
            headers = [*headers, (b"connection", b"close")]
        self._has_body = self._reader.method != _HEAD and status not in _STATUSES_WITHOUT_BODY
        response = h11.Response(status_code=status, headers=headers, reason=reason)
        return self._h11.send(response) or b""

    def _encode_end(self) -> bytes:
        self.is_next_sent_ahead = self._reader.has_input_behind()
        return self._h11.send(h11.EndOfMessage()) or b""


_KNOWN_STATUSES = frozenset(int(status) for status in http.HTTPStatus)


class Handler(abc.ABC):
    """Handles the requests of a listener."""

    @abc.abstractmethod
    async def handle(self, req: Request, responder: Responder) -> None:
        """Answers a request."""

    async def reject(self, exc: exceptions.BadRequestError, responder: Responder) -> None:
        """Answers a request that is malformed or exceeds a limit."""
        status = _STATUS_BY_KIND[exc.kind]
        await responder.send_json({"error": {"message": str(exc)}}, status)

    @property
    def is_accepting(self) -> bool:
        """Whether connections stay open for further requests."""
        return True

    def count_client_event(self, kind: str) -> None:  # noqa: B027 - Counting is optional.
        """Counts a measure against a client that keeps no limits, by its kind."""


_STATUS_BY_KIND = {
    exceptions.BadRequestKind.MALFORMED: http.HTTPStatus.BAD_REQUEST,
    exceptions.BadRequestKind.HEADERS_TOO_LARGE: http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    exceptions.BadRequestKind.BODY_TOO_LARGE: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    exceptions.BadRequestKind.SLOW: http.HTTPStatus.REQUEST_TIMEOUT,
    exceptions.BadRequestKind.NO_ROOM: http.HTTPStatus.SERVICE_UNAVAILABLE,
}


class ServerConnection:
    """An accepted connection."""

    def __init__(
        self,
        reader: request_reader.RequestReader,
        output: client_output.ClientOutput,
        handler: Handler,
        turn: request_turns.ConnectionTurn,
    ) -> None:
        self._reader = reader
        self._output = output
        self._handler = handler
        self._turn = turn
        self._must_close = False
        self._has_lost_room = False

    async def serve_request(self) -> "Responder | None":
        """Answers the next request; returns its responder, or None if the connection must close.

        Raises:
            ConnectionLostError: The client has closed the connection, or does not read the answer.
        """
        responder = Responder(self._reader, self._output, self._handler)
        try:
            stays_open = await self._read_and_handle(responder)
        finally:
            self._reader.release_body()
            self._turn.release()
        return responder if stays_open else None

    async def _read_and_handle(self, responder: Responder) -> bool:
        conn = self._reader.h11
        try:
            req = await self._reader.read()
        except exceptions.BadRequestError as exc:
            await self._reject(exc, responder)
            return False
        if req is None:
            return False
        await self._handle(req, responder)
        if self._has_lost_room:
            self._reader.release_body()
            await self._reject(request_reader.no_room_error(), responder)
            return False
        if self._must_close or conn.our_state is not h11.DONE:
            return False
        return self._handler.is_accepting or request_reader.unparsed_bytes(conn) > 0

    async def _reject(self, exc: exceptions.BadRequestError, responder: Responder) -> None:
        if self._reader.h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self._handler.reject(exc, responder)
            await self._reader.linger()

    async def _handle(self, req: Request, responder: Responder) -> None:
        is_ahead = self._reader.has_input_behind()
        async with trio.open_nursery() as nursery:
            responder.nursery = nursery
            nursery.start_soon(self._cancel_on_disconnect, nursery.cancel_scope)
            try:
                if is_ahead and not await self._reader.wait_for_turn(self._turn):
                    self._has_lost_room = True
                else:
                    await self._handler.handle(req, responder)
            except exceptions.ConnectionLostError:
                # The answer is incomplete; only closing the connection signals that to the caller.
                self._must_close = True
            except Exception:
                _log.exception("handler_failed", path=req.path)
                self._must_close = True
            nursery.cancel_scope.cancel()

    async def _cancel_on_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancels the handler when the caller closes the connection."""
        await self._reader.wait_until_left()
        scope.cancel()


@dataclasses.dataclass(frozen=True, slots=True)
class _Client:
    """An open connection and the scope that ends it."""

    stream: trio.abc.Stream
    reader: request_reader.RequestReader
    scope: trio.CancelScope


class Listener:
    """Accepts connections for a handler, up to a maximum number of open connections."""

    def __init__(
        self,
        serve: "collections.abc.Callable[..., collections.abc.Awaitable[None]]",
        handler: Handler,
        limits: settings.CallerLimits | LimitsProvider,
    ) -> None:
        """Creates a listener.

        Args:
            serve: Function that accepts streams on an address.
            handler: Handler of the requests.
            limits: Limits for callers, or a function that returns the current limits.
        """
        self._serve = serve
        self._handler = handler
        self._read_limits = limits if callable(limits) else lambda: limits
        self._room = connection_room.ConnectionRoom()
        self._clients: dict[connection_room.OpenConnection, _Client] = {}
        self._read_ahead = read_ahead.ReadAhead()
        self._events = client_events.EventSink(handler.count_client_event)
        self._held_bodies = held_bytes.HeldBytes[None](MAX_HELD_BODY_BYTES)
        self._beginnings = body_beginnings.BodyBeginnings(
            MAX_BODY_BEGINNINGS_BYTES, self._give_up_body
        )
        self._turns = request_turns.RequestTurns(
            self._events, self._limit_connections, self._end_unresponsive
        )
        # The other half is left to the router's own connections.
        self._max_connections = max(1, transport.descriptor_limit() // 2)

    async def run(self, address: ids.Address, task_status: "trio.TaskStatus[ids.Address]") -> None:
        """Accepts connections until it is cancelled; reports the address that it listens on."""
        await self._serve(address, self._accept, task_status=task_status)

    async def _accept(self, stream: trio.abc.Stream) -> None:
        if not self._make_room():
            self._events.add(client_events.ClientEvent.CONNECTION_REFUSED)
            await trio.aclose_forcefully(stream)
            return
        conn = connection_room.OpenConnection()
        self._room.add(conn)
        output = client_output.ClientOutput(stream, conn, self._events)
        reader = request_reader.RequestReader(
            output,
            conn,
            self._read_limits,
            self._held_bodies,
            self._beginnings,
            self._read_ahead.open(),
        )
        try:
            with trio.CancelScope() as scope:
                self._clients[conn] = _Client(stream, reader, scope)
                await self._serve_connection(conn, reader, output)
        except Exception:
            # A fault that one client finds must not end the process.
            _log.exception("connection_failed")
            self._events.add(client_events.ClientEvent.CONNECTION_FAILED)
        finally:
            self._clients.pop(conn, None)
            self._room.remove(conn)
            await trio.aclose_forcefully(stream)

    def _make_room(self) -> bool:
        """Returns whether there is room for a connection, after closing another one if need be."""
        if len(self._room) < self._limit_connections():
            return True
        conn = self._find_stuck(self._room.find_least_needed)
        if conn is None:
            return False
        self._events.add(client_events.ClientEvent.CONNECTION_REPLACED)
        self._room.remove(conn)
        if conn.is_without_room:
            self._clients[conn].reader.refuse_body(lingers=False)
        else:
            self._end(conn)
        return True

    def _end_unresponsive(self) -> None:
        """Ends the connections that have turns and whose clients neither read nor send."""
        while (conn := self._find_stuck(self._room.find_unresponsive)) is not None:
            self._room.remove(conn)
            self._events.add(client_events.ClientEvent.CONNECTION_ENDED)
            self._end(conn)

    def _give_up_body(self) -> None:
        """Refuses a request that waits for its turn with a body, whose room others need."""
        conn = self._room.find_delayed_with_body()
        if conn is not None:
            self._events.add(client_events.ClientEvent.BODY_REFUSED)
            # Others are to be found the next time.
            conn.is_delayed = False
            self._clients[conn].reader.refuse_body(lingers=True)

    def _find_stuck(
        self, find: "collections.abc.Callable[[float], connection_room.OpenConnection | None]"
    ) -> connection_room.OpenConnection | None:
        """Returns the connection that a decision finds and whose client makes no progress."""
        now = trio.current_time()
        while (conn := find(now)) is not None:
            stream = self._clients[conn].stream
            if not conn.is_sending or not isinstance(stream, trio.SocketStream):
                break
            if not conn.note_unreceived(transport.unreceived_bytes(stream), now):
                break
        return conn

    def _end(self, conn: connection_room.OpenConnection) -> None:
        client = self._clients[conn]
        if conn.is_sending:
            # What the kernel holds for the client would outlive the connection otherwise.
            transport.reset_on_close(client.stream)
        client.scope.cancel()

    def _limit_connections(self) -> int:
        return min(self._read_limits().connections, self._max_connections)

    async def _serve_connection(
        self,
        conn: connection_room.OpenConnection,
        reader: request_reader.RequestReader,
        output: client_output.ClientOutput,
    ) -> None:
        """Answers requests until either side closes the connection."""
        turn = self._turns.open(conn)
        server_connection = ServerConnection(reader, output, self._handler, turn)
        try:
            while responder := await server_connection.serve_request():
                if responder.is_next_sent_ahead:
                    reader.note_sent_ahead()
                    await turn.take(reader.limits)
                    if transport.has_left(output.stream):
                        return
                else:
                    turn.note_pause()
                reader.h11.start_next_cycle()
        except (exceptions.ConnectionLostError, h11.LocalProtocolError):
            # The caller disconnected or the answer is incomplete; closing the connection signals
            # the latter to the caller.
            pass
        finally:
            turn.release()
            reader.close()
