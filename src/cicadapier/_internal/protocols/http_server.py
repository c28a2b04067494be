"""HTTP/1.1 server connections over h11."""

import abc
import collections.abc
import dataclasses
import http
import math
import sys

import h11
import msgspec
import structlog
import trio

from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import held_bytes
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import transport

_log = structlog.get_logger()

LimitsProvider = collections.abc.Callable[[], settings.CallerLimits]

READ_BYTES = 65_536
MAX_HELD_BODY_BYTES = 25_165_824  # Bodies of all open requests of a listener.
_MAX_EXTRA_INPUT_BYTES = 1_048_576
_LINGER_S = 1.0
_MAX_COPIED_BYTES = 65_536  # Larger bodies are sent apart from their heads.
_VERSION_WITHOUT_CHUNKS = b"1.0"

_JSON_HEADERS = [(b"content-type", b"application/json")]
_CHUNKED_HEADERS = [(b"transfer-encoding", b"chunked")]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A complete request; header names are in lower case.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers of the request.
        body: Complete body.
        began_at: Time on trio's clock when its first bytes were received.
    """

    method: str
    target: str
    headers: http_client.Headers
    body: bytes
    began_at: float = 0.0

    @property
    def path(self) -> str:
        """Path of the target."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """Query of the target; empty if there is none."""
        return self.target.partition("?")[2]

    def header(self, name: bytes) -> bytes | None:
        """Returns the value of the first header with a name given in lower case, or None."""
        return http_client.find_header(self.headers, name)


class Responder:
    """Sends the answer to a request.

    Attributes:
        started: Whether sending the answer has begun.
    """

    def __init__(
        self, conn: h11.Connection, stream: trio.abc.Stream, handler: "Handler | None" = None
    ) -> None:
        self._h11 = conn
        self._stream = stream
        self._handler = handler
        self.started = False

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
        if body and self._h11.our_state is h11.SEND_BODY:
            encoded = self._h11.send(h11.Data(data=body)) or b""
            if len(encoded) > _MAX_COPIED_BYTES:
                await self._write(data)
                data = b""
            data = data + encoded if data else encoded
        end = self._h11.send(h11.EndOfMessage())
        await self._write(data + end if end else data)

    async def start(
        self, status: int, headers: http_client.Headers, first_part: bytes = b""
    ) -> None:
        """Sends the head of an answer of unknown length, and the first part of its body if any."""
        self._set_reset_on_close(True)
        data = self._encode_head(status, [*headers, *_CHUNKED_HEADERS])
        if first_part:
            data += self._h11.send(h11.Data(data=first_part)) or b""
        await self._write(data)

    async def send_part(self, data: bytes) -> None:
        """Sends a part of the body."""
        await self._write(self._h11.send(h11.Data(data=data)) or b"")

    async def finish(self) -> None:
        """Sends the end of the answer."""
        self._set_reset_on_close(False)
        await self._write(self._h11.send(h11.EndOfMessage()) or b"")

    def _set_reset_on_close(self, enabled: bool) -> None:
        """Lets a caller without chunks know of an answer that breaks off by a reset.

        The end of the connection is the end of such an answer.
        """
        if self._h11.their_http_version == _VERSION_WITHOUT_CHUNKS:
            transport.reset_on_close(self._stream, enabled)

    def _encode_head(self, status: int, headers: http_client.Headers) -> bytes:
        self.started = True
        reason = http.HTTPStatus(status).phrase if status in _KNOWN_STATUSES else ""
        # The connection stays open if part of another request has been read already, so that it is
        # answered too.
        if self._handler and not self._handler.is_accepting and _unparsed_bytes(self._h11) == 0:
            headers = [*headers, (b"connection", b"close")]
        response = h11.Response(status_code=status, headers=headers, reason=reason)
        return self._h11.send(response) or b""

    async def _write(self, data: bytes) -> None:
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise exceptions.ConnectionLostError("the caller closed the connection") from exc


_KNOWN_STATUSES = frozenset(int(status) for status in http.HTTPStatus)


def _unparsed_bytes(conn: h11.Connection) -> int:
    """Returns the number of bytes that have been received but not parsed."""
    data, _ = conn.trailing_data
    return len(data)


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
        stream: trio.abc.Stream,
        handler: Handler,
        read_limits: LimitsProvider,
        held_bodies: held_bytes.HeldBytes[None],
    ) -> None:
        self._stream = stream
        self._held_bodies = held_bodies
        self._held: held_bytes.HeldMessage[None] | None = None
        self._handler = handler
        self._read_limits = read_limits
        self._limits = read_limits()
        self._must_close = False
        self._began_at = 0.0
        # The limit may change while the connection is open, so `_parse` enforces it instead.
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)

    async def serve(self) -> None:
        """Answers requests until either side closes the connection."""
        try:
            while await self._serve_request():
                self._h11.start_next_cycle()
        except (exceptions.ConnectionLostError, h11.LocalProtocolError):
            # The caller disconnected or the answer is incomplete; closing the connection signals
            # the latter to the caller.
            pass
        finally:
            await trio.aclose_forcefully(self._stream)

    async def _serve_request(self) -> bool:
        responder = Responder(self._h11, self._stream, self._handler)
        try:
            return await self._read_and_handle(responder)
        finally:
            if self._held:
                self._held.release()
                self._held = None

    async def _read_and_handle(self, responder: Responder) -> bool:
        try:
            req = await self._read_request()
        except exceptions.BadRequestError as exc:
            if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                await self._handler.reject(exc, responder)
                await self._linger_before_close()
            return False
        if req is None:
            return False
        await self._handle(req, responder)
        if self._must_close or self._h11.our_state is not h11.DONE:
            return False
        return self._handler.is_accepting or _unparsed_bytes(self._h11) > 0

    async def _handle(self, req: Request, responder: Responder) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_disconnect, nursery.cancel_scope)
            try:
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
        held = self._held_bodies.open(None)
        size = 0
        try:
            while size < _MAX_EXTRA_INPUT_BYTES:
                try:
                    data = await self._stream.receive_some(READ_BYTES)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    data = b""
                if not data:
                    scope.cancel()
                    return
                # A pipelined request stays in the parser's buffer until the current one is
                # answered.
                size += len(data)
                self._h11.receive_data(bytes(data))
                held.add(len(data))
                await held.wait_to_grow()
            await trio.sleep_forever()
        finally:
            held.release()

    async def _read_request(self) -> Request | None:
        self._began_at = trio.current_time()
        self._limits = self._read_limits()
        header_deadline = math.inf
        while True:
            event = self._parse()
            if event is h11.NEED_DATA:
                deadline = min(self._idle_deadline(), header_deadline)
                if not await self._fill(deadline):
                    if header_deadline < math.inf:
                        raise _timeout_error("headers")
                    if self._may_stay_idle():
                        continue
                    return None
                if header_deadline == math.inf:
                    self._began_at = trio.current_time()
                    self._limits = self._read_limits()
                    header_deadline = self._began_at + self._limits.header_timeout_s
            elif isinstance(event, h11.Request):
                return await self._read_body(event)
            else:
                return None

    def _idle_deadline(self) -> float:
        return self._began_at + self._limits.idle_timeout_s

    def _may_stay_idle(self) -> bool:
        """Returns whether the limits have changed and now allow a longer idle time."""
        self._limits = self._read_limits()
        return trio.current_time() < self._idle_deadline()

    async def _read_body(self, head: h11.Request) -> Request:
        headers = list(head.headers)
        self._check_headers(headers)
        parts: list[bytes] = []
        size = 0
        deadline = trio.current_time() + self._limits.body_timeout_s
        while True:
            event = self._parse()
            if event is h11.NEED_DATA:
                await self._continue_if_expected()
                if not await self._fill(deadline):
                    raise _timeout_error("body")
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._limits.body_bytes:
                    raise self._body_too_large_error()
                parts.append(bytes(event.data))
                deadline += await self._hold(len(event.data), headers)
            else:
                method = head.method.decode("ascii")
                target = head.target.decode("ascii")
                return Request(method, target, headers, b"".join(parts), self._began_at)

    async def _hold(self, size: int, headers: http_client.Headers) -> float:
        """Waits for room after a part of a body; returns the time in seconds that it took.

        Raises:
            BadRequestError: There was no room in time.
        """
        if self._held is None:
            self._held = self._held_bodies.open(None, http_client.read_length(headers))
        self._held.add(size)
        began_at = trio.current_time()
        with trio.move_on_after(self._limits.body_timeout_s):
            await self._held.wait_to_grow()
            return trio.current_time() - began_at
        kind = exceptions.BadRequestKind.NO_ROOM
        raise exceptions.BadRequestError(kind, "the router has no room for the body now")

    def _check_headers(self, headers: http_client.Headers) -> None:
        if sum(len(name) + len(value) for name, value in headers) > self._limits.header_bytes:
            raise self._headers_too_large_error()
        names = [name for name, _ in headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            # Two lengths for one body would allow request smuggling.
            kind = exceptions.BadRequestKind.MALFORMED
            raise exceptions.BadRequestError(
                kind, "request has both content-length and transfer-encoding"
            )
        length = http_client.find_header(headers, b"content-length")
        if length and int(length) > self._limits.body_bytes:
            raise self._body_too_large_error()

    async def _continue_if_expected(self) -> None:
        if self._h11.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=100, headers=[], reason="Continue")
            await self._stream.send_all(self._h11.send(response) or b"")

    def _headers_too_large_error(self) -> exceptions.BadRequestError:
        message = f"headers exceed {self._limits.header_bytes} bytes"
        return exceptions.BadRequestError(exceptions.BadRequestKind.HEADERS_TOO_LARGE, message)

    def _body_too_large_error(self) -> exceptions.BadRequestError:
        message = f"body exceeds {self._limits.body_bytes} bytes"
        return exceptions.BadRequestError(exceptions.BadRequestKind.BODY_TOO_LARGE, message)

    def _parse(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            event = self._h11.next_event()
        except h11.RemoteProtocolError as exc:
            kind = exceptions.BadRequestKind.MALFORMED
            raise exceptions.BadRequestError(kind, f"malformed HTTP: {exc}") from exc
        if event is h11.NEED_DATA and _unparsed_bytes(self._h11) > self._limits.header_bytes:
            raise self._headers_too_large_error()
        return event

    async def _fill(self, deadline: float) -> bool:
        """Receives data once; returns False if the deadline passes first."""
        with trio.move_on_at(deadline):
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                raise exceptions.ConnectionLostError("the caller closed the connection") from exc
            self._h11.receive_data(bytes(data))
            return True
        return False

    async def _linger_before_close(self) -> None:
        # Closing a connection with unread input resets it, and the caller may then lose the
        # rejection that was sent.
        size = 0
        with trio.move_on_after(_LINGER_S):
            while size < _MAX_EXTRA_INPUT_BYTES:
                try:
                    data = await self._stream.receive_some(READ_BYTES)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    return
                if not data:
                    return
                size += len(data)


def _timeout_error(part: str) -> exceptions.BadRequestError:
    message = f"the {part} of the request did not arrive in time"
    return exceptions.BadRequestError(exceptions.BadRequestKind.SLOW, message)


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
        self._open_connections = 0
        self._held_bodies = held_bytes.HeldBytes[None](MAX_HELD_BODY_BYTES)

    async def run(self, address: ids.Address, task_status: "trio.TaskStatus[ids.Address]") -> None:
        """Accepts connections until it is cancelled; reports the address that it listens on."""
        await self._serve(address, self._accept, task_status=task_status)

    async def _accept(self, stream: trio.abc.Stream) -> None:
        if self._open_connections >= self._read_limits().connections:
            await trio.aclose_forcefully(stream)
            return
        self._open_connections += 1
        try:
            conn = ServerConnection(stream, self._handler, self._read_limits, self._held_bodies)
            await conn.serve()
        finally:
            self._open_connections -= 1
