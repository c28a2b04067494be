"""HTTP/1.1 client connections over h11."""

import collections.abc
import dataclasses
import math
import re

import h11
import trio

from cicadapier._internal.models import ids
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import held_bytes
from cicadapier._internal.protocols import transport
from cicadapier._internal.protocols import tunnels

READ_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
MAX_INTERIM_RESPONSES = 32
MAX_STATUS = 599  # RFC 9110, section 15: larger ones are invalid.
MAX_LENGTH_DIGITS = 18
MAX_REFUSALS = 256  # A connection with more refusals is not used again.
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}( |$)")
_STATUS_LINE_START = re.compile(rb"[\r\n]*HTTP/\d\.\d \d{3}[ \r\n]")
_HEAD_END = re.compile(rb"\n\r?\n")
_NEWLINES = b"\r\n"
_BEGINNING_BYTES = 32  # Part of a body that is searched for the beginning of another answer.

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
    def content_length(self) -> int:
        """Length of the body that it states; 0 if it states none that can be read."""
        return read_length(self.headers)

    @property
    def keeps_connection(self) -> bool:
        """Whether it announces that the connection stays open behind the answer."""
        options = (self.header(b"connection") or b"").lower().split(b",")
        names = {option.strip() for option in options}
        if b"close" in names:
            return False
        return b"keep-alive" in names or self.header(b"keep-alive") is not None

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


def read_length(headers: collections.abc.Iterable[tuple[bytes, bytes]]) -> int:
    """Returns the length of a body that headers state; 0 if they state none that can be read."""
    value = (find_header(headers, b"content-length") or b"").strip()
    return int(value) if value.isdigit() and len(value) <= MAX_LENGTH_DIGITS else 0


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
        self._raw_heads = bytearray()  # What was received of heads that have not been read.
        self._body: _ReceivedBody | None = None
        self.opened_at = trio.current_time()
        self.idle_since = self.opened_at
        self.sent = False
        self.max_idle_s = math.inf

    @property
    def peer(self) -> ids.VmId | None:
        """Peer through which the connection was opened; None if it is direct."""
        return self._stream.peer if isinstance(self._stream, tunnels.TunnelStream) else None

    @property
    def is_stale(self) -> bool:
        """Whether the peer has closed the idle connection or sent unexpected data."""
        return transport.has_input(self._stream)

    @property
    def is_reused(self) -> bool:
        """Whether another request was answered on the connection before the current one."""
        return self._reused

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

        Until its answer is complete, closing the connection discards what the peer has not
        received, so that a request that was given up is not delivered later.

        Raises:
            ConnectionLostError: The connection broke while sending.
            MalformedMessageError: A header has a value that cannot be sent; nothing was sent.
        """
        self.sent = False
        self._body = None
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
        transport.reset_on_close(self._stream)
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
            if not isinstance(event, h11.Response | h11.InformationalResponse):
                raise exceptions.ConnectionLostError("connection closed before the answer")
            if _is_spliced(event):
                raise exceptions.MalformedMessageError("a head begins within another one")
            if not _has_one_kind_of_line_ends(self._take_raw_head()):
                raise exceptions.MalformedMessageError("a head has line ends of two kinds")
            if event.status_code > MAX_STATUS:
                raise exceptions.MalformedMessageError(f"{event.status_code} is no status")
            if isinstance(event, h11.Response):
                head = ResponseHead(event.status_code, list(event.headers))
                self._body = _ReceivedBody(head)
                return head
        raise exceptions.MalformedMessageError("too many interim responses")

    async def receive_data(self, timeout_s: float) -> bytes | None:
        """Returns the next part of the body, or None at its end.

        Raises:
            ConnectionLostError: The connection broke before the end of the body.
            SilentConnectionError: Nothing was received within the time limit.
            MalformedMessageError: The answer is not valid HTTP.
        """
        event = await self._next_event(trio.current_time() + timeout_s)
        assert self._body
        if isinstance(event, h11.Data):
            data = bytes(event.data)
            self._body.add(data)
            return data
        if isinstance(event, h11.EndOfMessage):
            self._body.check_end(self._h11.trailing_data[0], self._peer_closed)
            if self._peer_closed and self._send_failed:
                # A reset is reported once. As the send has met it, the end may hide it.
                message = "connection lost while sending, so that its end does not end the answer"
                raise exceptions.ConnectionLostError(message)
            return None
        raise exceptions.ConnectionLostError("connection closed before the end of the answer")

    async def receive_body(
        self,
        timeout_s: float,
        max_bytes: float = math.inf,
        held: held_bytes.HeldMessage[None] | None = None,
    ) -> bytes:
        """Returns the complete body; the time limit applies to each part.

        Args:
            timeout_s: Timeout for each part.
            max_bytes: Maximum size of the body.
            held: Counts the bytes and waits for room; None if their sum is not bounded.

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
            if held:
                held.add(len(part))
                await held.wait_to_grow()
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
        transport.reset_on_close(self._stream, False)
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
        if self._h11.their_state is h11.SEND_RESPONSE:
            self._raw_heads += data
        self._h11.receive_data(bytes(data))

    def _take_raw_head(self) -> bytes:
        """Removes the head that has just been read from the received bytes and returns it."""
        end = _HEAD_END.search(self._raw_heads)
        assert end
        raw = bytes(self._raw_heads[: end.end()])
        del self._raw_heads[: end.end()]
        if self._h11.their_state is not h11.SEND_RESPONSE:
            self._raw_heads.clear()  # What follows is the body.
        return raw


class _ReceivedBody:
    """Checks that a body is not what is left of an answer whose head was cut.

    A head that ends before the length of its body makes an answer that runs to the end of the
    connection, whatever follows; a length that is cut makes another length.
    """

    def __init__(self, head: ResponseHead) -> None:
        self._head = head
        self._beginning = b""
        self._has_content = False

    def add(self, data: bytes) -> None:
        """Checks the next part.

        Raises:
            MalformedMessageError: The body is another answer.
        """
        if not self._has_content:
            self._has_content = bool(data.strip(_NEWLINES))
        if len(self._beginning) < _BEGINNING_BYTES:
            self._beginning += data[: _BEGINNING_BYTES - len(self._beginning)]
            if not self._head.is_framed:
                self._check_beginning(self._beginning)

    def check_end(self, extra: bytes, closed: bool) -> None:
        """Checks the body once it has ended.

        Args:
            extra: What was received behind the body.
            closed: Whether the end of the connection ended it.

        Raises:
            MalformedMessageError: The body begins another answer, which goes on behind it.
            ConnectionLostError: The end of the connection is not shown to be that of the answer.
        """
        if extra and self._head.is_framed:
            self._check_beginning(self._beginning + extra[:_BEGINNING_BYTES])
        if closed and not self._has_content:
            message = "connection closed behind the head of an answer without a length"
            raise exceptions.ConnectionLostError(message)
        if closed and self._head.keeps_connection:
            message = "connection closed, though the answer has no length and keeps it open"
            raise exceptions.ConnectionLostError(message)

    def _check_beginning(self, beginning: bytes) -> None:
        if _STATUS_LINE_START.match(beginning):
            raise exceptions.MalformedMessageError("the body of an answer is another answer")


def _has_one_kind_of_line_ends(raw_head: bytes) -> bool:
    """Returns whether no line end was added to a head by something else than its sender.

    An upstream that breaks off within a head may have it ended for it by a bare line feed.
    """
    return raw_head.count(b"\r\n") in (0, raw_head.count(b"\n"))


def _is_spliced(response: h11.Response | h11.InformationalResponse) -> bool:
    """Returns whether a head consists of a part of one head and of the next one.

    A peer that breaks off within a head and then answers on the same connection sends such a head:
    the status of one answer with the headers of another.
    """
    values = [value for _, value in response.headers]
    return any(_STATUS_LINE.search(text) for text in (response.reason, *values))
