"""HTTP/1.1 client connections over h11."""

import collections.abc
import dataclasses
import math
import re

import h11
import trio

from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import transport

READ_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
MAX_INTERIM_RESPONSES = 32
MAX_REFUSALS = 256  # A connection with more refusals is not used again.
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}( |$)")

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """Head of a request; header names are in lower case."""

    method: str
    target: str
    headers: Headers


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Head of a response; header names are in lower case."""

    status: int
    headers: Headers

    def header(self, name: bytes) -> bytes | None:
        """Returns the value of the first header with a name given in lower case, or None."""
        return find_header(self.headers, name)

    @property
    def is_framed(self) -> bool:
        """Whether the end of the body does not depend on the end of the connection."""
        return any(name in (b"content-length", b"transfer-encoding") for name, _ in self.headers)

    @property
    def media_type(self) -> bytes | None:
        """Media type of the body without its parameters, in lower case; None if none is given."""
        value = self.header(b"content-type")
        return None if value is None else value.partition(b";")[0].strip().lower()


def find_header(
    headers: collections.abc.Iterable[tuple[bytes, bytes]], name: bytes
) -> bytes | None:
    """Returns the value of the first header with a name given in lower case, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def remove_hop_by_hop(
    raw: collections.abc.Iterable[tuple[bytes, bytes]], drop: frozenset[bytes]
) -> Headers:
    """Returns the headers that may be passed on to another connection.

    Args:
        raw: Headers as received, with names in lower case.
        drop: Names of headers to remove, normally at least `headers.HOP_BY_HOP`. Headers that are
            listed in the connection header are removed as well.
    """
    headers = list(raw)
    listed: set[bytes] = set()
    for key, value in headers:
        if key == b"connection":
            listed.update(name.strip().lower() for name in value.split(b","))
    return [(key, value) for key, value in headers if key not in listed and key not in drop]


class ClientConnection:
    """A client connection, used for one request at a time.

    Attributes:
        opened_at: Time on trio's clock when it was opened.
        idle_since: Time on trio's clock when it last became idle.
        sent: Whether sending the current request has begun, so that the peer may have part of it.
        max_idle_s: Time for which the peer keeps an idle connection open; infinite if unknown.
    """

    def __init__(self, stream: trio.abc.Stream, host: str) -> None:
        self._stream = stream
        self._host = host.encode("ascii")
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._watched = False
        self._expired = False
        self._peer_closed = False
        self._send_failed = False
        self._reused = False
        self._refused: set[str] = set()
        self._read_deadline = math.inf
        self.opened_at = trio.current_time()
        self.idle_since = self.opened_at
        self.sent = False
        self.max_idle_s = math.inf

    @property
    def is_stale(self) -> bool:
        """Whether the peer has closed the idle connection or sent unexpected data."""
        return transport.has_input(self._stream)

    def set_watched(self, watched: bool) -> None:
        """Sets whether the owner enforces read deadlines by calling `expire_if_late` regularly.

        A cancel scope for each read costs more than the read itself. For a long stream, the owner
        therefore checks the deadlines instead.
        """
        self._watched = watched

    async def expire_if_late(self, now: float) -> None:
        """Closes the connection if the deadline of the current read has passed."""
        if now >= self._read_deadline:
            self._expired = True
            await self.close()

    async def send(self, head: RequestHead, body: bytes) -> None:
        """Sends a complete request.

        Raises:
            ConnectionLostError: The connection broke while sending.
            MalformedMessageError: A header has a value that cannot be sent; nothing was sent.
        """
        self.sent = False
        headers = head.headers
        if find_header(headers, b"host") is None:
            headers = [(b"host", self._host), *headers]
        if body or head.method in ("POST", "PUT", "PATCH"):
            headers = [*headers, (b"content-length", b"%d" % len(body))]
        try:
            request = h11.Request(method=head.method, target=head.target, headers=headers)
        except h11.LocalProtocolError as exc:
            raise exceptions.MalformedMessageError(f"the request cannot be sent: {exc}") from exc
        parts = [self._h11.send(request) or b""]
        if body:
            parts.append(self._h11.send(h11.Data(data=body)) or b"")
        parts.append(self._h11.send(h11.EndOfMessage()) or b"")
        self.sent = True
        try:
            await self._stream.send_all(b"".join(parts))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            self._send_failed = True
            raise exceptions.ConnectionLostError(f"connection lost while sending: {exc}") from exc

    async def receive_head(self, timeout_s: float) -> ResponseHead:
        """Waits for the head of the response.

        Raises:
            ConnectionLostError: The connection broke.
            SilentConnectionError: Nothing was received within the time limit.
            MalformedMessageError: The answer is not valid HTTP.
        """
        deadline = trio.current_time() + timeout_s
        for _ in range(MAX_INTERIM_RESPONSES):
            event = await self._next_event(deadline)
            if isinstance(event, h11.Response):
                if _is_spliced(event):
                    message = "a head begins within another one"
                    raise exceptions.MalformedMessageError(message)
                return ResponseHead(event.status_code, list(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise exceptions.ConnectionLostError("connection closed before the answer")
        raise exceptions.MalformedMessageError("too many interim responses")

    async def receive_data(self, timeout_s: float) -> bytes | None:
        """Returns the next part of the body, or None at its end.

        Raises:
            ConnectionLostError: The connection broke before the end of the body.
            SilentConnectionError: Nothing was received within the time limit.
            MalformedMessageError: The answer is not valid HTTP.
        """
        event = await self._next_event(trio.current_time() + timeout_s)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise exceptions.ConnectionLostError("connection closed before the end of the answer")

    async def receive_body(self, timeout_s: float, max_bytes: float = math.inf) -> bytes:
        """Returns the complete body; the time limit applies to each part.

        Raises:
            ProtocolError: As for `receive_data`, or the body exceeds `max_bytes`.
        """
        parts = []
        size = 0
        while (part := await self.receive_data(timeout_s)) is not None:
            size += len(part)
            if size > max_bytes:
                raise exceptions.MalformedMessageError(f"body exceeds {max_bytes} bytes")
            parts.append(part)
        return b"".join(parts)

    def make_reusable(self) -> bool:
        """Prepares for the next request; returns False if the connection must be closed instead."""
        if self._send_failed:
            return False
        if len(self._refused) >= MAX_REFUSALS:
            return False
        if self._h11.trailing_data[0]:
            # Data after the answer belongs to no request, so the peer is out of sync.
            return False
        try:
            self._h11.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self._reused = True
        self.idle_since = trio.current_time()
        return True

    def limit_delivery(self, limit_s: float) -> None:
        """Discards what the server has not received by `close`, or after a time limit."""
        transport.limit_delivery(self._stream, limit_s)

    def record_refusal(self, request: str, named: bool) -> bool:
        """Records that the peer refused the current request.

        A faulty peer may repeat an earlier refusal on a reused connection. A refusal is certainly
        new only if it names its request, and that request was not refused here before.

        Args:
            request: Id of the request.
            named: Whether the refusal names the request.

        Returns:
            Whether the refusal is certainly newer than the request.
        """
        is_new = not self._reused or (named and request not in self._refused)
        self._refused.add(request)
        return is_new

    async def close(self) -> None:
        """Closes the connection at once; safe to call while being cancelled."""
        await trio.aclose_forcefully(self._stream)

    async def _next_event(self, deadline: float) -> h11.Event:
        try:
            while (event := self._h11.next_event()) is h11.NEED_DATA:
                await self._fill(deadline)
        except h11.RemoteProtocolError as exc:
            if self._peer_closed:
                raise exceptions.ConnectionLostError(str(exc)) from exc
            raise exceptions.MalformedMessageError(str(exc)) from exc
        if isinstance(event, h11.Event):
            return event
        raise exceptions.ConnectionLostError("connection closed before the end of the exchange")

    async def _fill(self, deadline: float) -> None:
        if self._watched:
            self._read_deadline = deadline
            await self._receive()
            self._read_deadline = math.inf
            return
        with trio.move_on_at(deadline):
            await self._receive()
            return
        raise exceptions.SilentConnectionError("no progress before the deadline")

    async def _receive(self) -> None:
        try:
            data = await self._stream.receive_some(READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            if self._expired:
                message = "no progress before the deadline"
                raise exceptions.SilentConnectionError(message) from exc
            raise exceptions.ConnectionLostError(f"connection lost while receiving: {exc}") from exc
        self._peer_closed = not data
        self._h11.receive_data(bytes(data))


def _is_spliced(response: h11.Response) -> bool:
    """Returns whether a head consists of a part of one head and of the next one.

    A peer that breaks off within a head and then answers on the same connection sends such a head:
    the status of one answer with the headers of another.
    """
    values = [value for _, value in response.headers]
    return any(_STATUS_LINE.search(text) for text in (response.reason, *values))
