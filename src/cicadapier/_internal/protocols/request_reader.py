"""Reads the requests of one connection within the limits for callers."""

import collections.abc
import math
import sys

import h11
import trio

from cicadapier._internal.decisions.clients import connection_room
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import body_beginnings
from cicadapier._internal.protocols import client_events
from cicadapier._internal.protocols import client_output
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import held_bytes
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import http_request
from cicadapier._internal.protocols import read_ahead
from cicadapier._internal.protocols import request_turns
from cicadapier._internal.protocols import transport

_READ_BYTES = 65_536
_LINGER_S = 1.0
_LINGER_READ_BYTES = 4096
_MAX_LINGER_BYTES = 1_048_576
_LEAVE_CHECK_INTERVAL_S = 0.25
_ROOM_CHECK_INTERVAL_S = 1.0
_CONNECT = b"CONNECT"

LimitsProvider = collections.abc.Callable[[], settings.CallerLimits]


def unparsed_bytes(conn: h11.Connection) -> int:
    """Returns the number of bytes that have been received but not parsed."""
    data, _ = conn.trailing_data
    return len(data)


class RequestReader:
    """The receiving side of a client's connection.

    Attributes:
        h11: State of the protocol.
        method: Method of the latest request; empty as long as its head has not been read.
    """

    def __init__(
        self,
        output: client_output.ClientOutput,
        conn: connection_room.OpenConnection,
        read_limits: LimitsProvider,
        held_bodies: held_bytes.HeldBytes[None],
        beginnings: body_beginnings.BodyBeginnings,
        connection_input: read_ahead.ConnectionInput,
    ) -> None:
        self._output = output
        self._stream = output.stream
        self._conn = conn
        self._read_limits = read_limits
        self._limits = read_limits()
        self._held_bodies = held_bodies
        self._held: held_bytes.HeldMessage[None] | None = None
        self._beginnings = beginnings
        self._beginning: body_beginnings.BodyBeginning | None = None
        self._room_scope = trio.CancelScope()
        self._lingers = True
        self._ahead_since: float | None = None
        self._input = connection_input
        self._began_at = 0.0
        self.method = b""
        # The limit may change while the connection is open, so `_parse` enforces it instead.
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)

    @property
    def limits(self) -> settings.CallerLimits:
        """Limits that held when the latest request began."""
        return self._limits

    def release_body(self) -> None:
        """Records that the body of the latest request is not held any more."""
        if self._held:
            self._held.release()
            self._held = None
        if self._beginning:
            self._beginning.release()
            self._beginning = None
        self._conn.holds_body = False

    def refuse_body(self, lingers: bool) -> None:
        """Refuses the request whose body waits for room, or which waits for its turn with a body.

        Args:
            lingers: Whether the connection stays for a while, see `linger`.
        """
        self._lingers = lingers
        self._room_scope.cancel()

    async def wait_for_turn(self, turn: request_turns.ConnectionTurn) -> bool:
        """Waits until a request that was sent ahead may be at work.

        Returns:
            Whether it may; False if the room for its body is needed for others.
        """
        with trio.CancelScope() as self._room_scope:
            await turn.take(self._limits)
            return True
        return False

    def has_input_behind(self) -> bool:
        """Returns whether the client has sent more than was parsed."""
        return unparsed_bytes(self.h11) > 0 or transport.unread_bytes(self._stream) > 0

    def note_sent_ahead(self) -> None:
        """Lets the time of the next request, which was sent ahead, begin now."""
        self._ahead_since = trio.current_time()

    def close(self) -> None:
        """Records that nothing is held any more."""
        self.release_body()
        self._input.set_size(0)

    async def read(self) -> http_request.Request | None:
        """Returns the next request, or None if the connection ends before it.

        Raises:
            BadRequestError: The request is malformed or exceeds a limit.
            ConnectionLostError: The client has closed the connection.
        """
        self._conn.waiting_since = trio.current_time()
        try:
            return await self._read_request()
        finally:
            self._conn.waiting_since = math.inf
            self._input.set_size(unparsed_bytes(self.h11))

    async def _read_request(self) -> http_request.Request | None:
        self._began_at = trio.current_time()
        self.method = b""
        self._limits = self._read_limits()
        self._output.unread_timeout_s = self._limits.unread_timeout_s
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
                if self._ahead_since is not None:
                    self._began_at = self._ahead_since
                    self._ahead_since = None
                return await self._read_body(event)
            else:
                return None

    def _idle_deadline(self) -> float:
        return self._began_at + self._limits.idle_timeout_s

    def _may_stay_idle(self) -> bool:
        """Returns whether the limits have changed and now allow a longer idle time."""
        self._limits = self._read_limits()
        return trio.current_time() < self._idle_deadline()

    async def _read_body(self, head: h11.Request) -> http_request.Request:
        self.method = head.method
        if head.method == _CONNECT:
            raise exceptions.BadRequestError(
                exceptions.BadRequestKind.MALFORMED, "the method CONNECT is not supported"
            )
        headers = list(head.headers)
        self._check_headers(headers)
        length = http_client.read_length(headers)
        if length or http_client.find_header(headers, b"transfer-encoding"):
            await self._take_room(length)
        parts: list[bytes] = []
        size = 0
        deadline = trio.current_time() + self._limits.body_timeout_s
        while True:
            event = self._parse()
            if event is h11.NEED_DATA:
                await self._continue_if_expected()
                if not await self._fill(deadline, length - size):
                    raise _timeout_error("body")
                self._conn.waiting_since = trio.current_time()
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._limits.body_bytes:
                    raise self._body_too_large_error()
                parts.append(bytes(event.data))
                deadline += await self._hold(len(event.data), length)
            else:
                method = head.method.decode("ascii")
                target = head.target.decode("ascii")
                body = b"".join(parts)
                if self._beginning:
                    self._beginning.shrink(size)
                return http_request.Request(method, target, headers, body, self._began_at)

    async def _hold(self, size: int, length: int) -> float:
        """Waits for room after a part of a body; returns the time in seconds that it took.

        Raises:
            BadRequestError: There was no room in time.
        """
        if self._held is None:
            self._held = self._held_bodies.open(None, length)
        self._held.add(size)
        return await self._wait_for_room(self._held.wait_to_grow)

    async def _take_room(self, length: int) -> None:
        """Waits for room for the beginning of a body.

        Raises:
            BadRequestError: There was no room in time, or too many bodies wait already.
        """
        self._beginning = self._beginnings.open(length)
        if self._beginning is None:
            raise no_room_error()
        if not self._beginning.has_room:
            await self._wait_for_room(self._wait_for_beginning)
        self._conn.holds_body = True

    async def _wait_for_beginning(self) -> None:
        assert self._beginning
        while not self._beginning.has_room:
            with trio.move_on_after(_ROOM_CHECK_INTERVAL_S):
                await self._beginning.wait_for_room()
                return
            if transport.has_left(self._stream):
                raise exceptions.ConnectionLostError("the caller closed the connection")
            self._beginnings.make_room()

    async def _wait_for_room(
        self, wait: collections.abc.Callable[[], collections.abc.Awaitable[object]]
    ) -> float:
        """Waits for room in this process, not for the client; returns the time that it took.

        Raises:
            BadRequestError: There was no room in time.
        """
        began_at = trio.current_time()
        self._conn.waiting_since = math.inf
        self._conn.is_without_room = True
        try:
            with trio.move_on_after(self._limits.body_timeout_s) as self._room_scope:
                await wait()
                return trio.current_time() - began_at
        finally:
            self._conn.is_without_room = False
            self._conn.waiting_since = trio.current_time()
        raise no_room_error()

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
        if self.h11.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=100, headers=[], reason="Continue")
            await self._output.write(self.h11.send(response) or b"")
            self._conn.waiting_since = trio.current_time()

    def _headers_too_large_error(self) -> exceptions.BadRequestError:
        message = f"headers exceed {self._limits.header_bytes} bytes"
        return exceptions.BadRequestError(exceptions.BadRequestKind.HEADERS_TOO_LARGE, message)

    def _body_too_large_error(self) -> exceptions.BadRequestError:
        message = f"body exceeds {self._limits.body_bytes} bytes"
        return exceptions.BadRequestError(exceptions.BadRequestKind.BODY_TOO_LARGE, message)

    def _parse(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            event = self.h11.next_event()
        except h11.RemoteProtocolError as exc:
            kind = exceptions.BadRequestKind.MALFORMED
            raise exceptions.BadRequestError(kind, f"malformed HTTP: {exc}") from exc
        if event is h11.NEED_DATA:
            size = unparsed_bytes(self.h11)
            self._input.set_size(size)
            if size > self._limits.header_bytes:
                raise self._headers_too_large_error()
        return event

    async def _fill(self, deadline: float, missing: int = 0) -> bool:
        """Receives data once; returns False if the deadline passes first.

        Args:
            deadline: Time until which it waits.
            missing: Number of bytes that are missing of the body; 0 if that is not known.
        """
        size = min(missing, _READ_BYTES)
        if size <= 0:
            size = self._input.read_size(self._limits.ahead_bytes)
        with trio.move_on_at(deadline):
            try:
                data = await self._stream.receive_some(size)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                raise exceptions.ConnectionLostError("the caller closed the connection") from exc
            self.h11.receive_data(bytes(data))
            return True
        return False

    async def wait_until_left(self) -> None:
        """Returns once the client closes the connection while its request is handled.

        Further requests stay in the buffer until the current one is answered. Nothing is read
        beyond the room for them; the kernel then tells of a client that leaves.
        """
        is_paused = False
        while True:
            size = self._input.read_size_behind(self._limits.ahead_bytes)
            if not size:
                if not is_paused:
                    self._output.events.add(client_events.ClientEvent.READING_PAUSED)
                is_paused = True
                if transport.has_left(self._stream):
                    return
                await trio.sleep(_LEAVE_CHECK_INTERVAL_S)
                continue
            try:
                data = await self._stream.receive_some(size)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            if not data:
                return
            self.h11.receive_data(bytes(data))
            self._input.set_size(self._input.size + len(data))

    async def linger(self) -> None:
        """Reads on for a while before the connection is closed.

        Closing a connection with unread input resets it, and the caller may then lose the rejection
        that was sent.
        """
        size = 0
        with trio.move_on_after(_LINGER_S if self._lingers else 0):
            while size < _MAX_LINGER_BYTES:
                try:
                    data = await self._stream.receive_some(_LINGER_READ_BYTES)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    return
                if not data:
                    return
                size += len(data)


def no_room_error() -> exceptions.BadRequestError:
    """Returns the error of a request for whose body there is no room."""
    kind = exceptions.BadRequestKind.NO_ROOM
    return exceptions.BadRequestError(kind, "the router has no room for the body now")


def _timeout_error(part: str) -> exceptions.BadRequestError:
    message = f"the {part} of the request did not arrive in time"
    return exceptions.BadRequestError(exceptions.BadRequestKind.SLOW, message)
