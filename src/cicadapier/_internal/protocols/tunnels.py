"""Tunnels: connections to upstreams that a router opens through a peer.

A tunnel begins with an HTTP request `CONNECT address` and its response; after a response that says
so, the connection carries the bytes of the upstream in both directions. An upstream can forge no
such response, as its bytes follow it only.
"""

import enum
import hmac
import http

import h11
import trio

from cicadapier._internal.models import ids
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import transport

MAX_HEAD_BYTES = 2048
_METHOD = b"CONNECT"
_SECRET = b"x-peer-secret"
_OUTCOME = b"tunnel-outcome"
_FRAMING = frozenset((b"content-length", b"transfer-encoding"))


class Outcome(enum.Enum):
    """What a peer says of a tunnel that was requested.

    Attributes:
        OPEN: The connection to the upstream is open.
        REFUSED: The upstream refused the connection, and the peer reaches another one.
        UNREACHABLE: The upstream did not answer in time, or the peer may have lost its own links.
        LINKS_LOST: The peer has lost its own links.
        FULL: The peer carries as many tunnels as it may.
        STOPPING: The peer is stopping.
        UNREGISTERED: No upstream is registered at the address.
        FORBIDDEN: The secret of the routers is missing or wrong.
        MALFORMED: The request is not a request for a tunnel.
    """

    OPEN = "open"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    LINKS_LOST = "links_lost"
    FULL = "full"
    STOPPING = "stopping"
    UNREGISTERED = "unregistered"
    FORBIDDEN = "forbidden"
    MALFORMED = "malformed"


_STATUS = {
    Outcome.OPEN: http.HTTPStatus.OK,
    Outcome.REFUSED: http.HTTPStatus.BAD_GATEWAY,
    Outcome.UNREACHABLE: http.HTTPStatus.GATEWAY_TIMEOUT,
    Outcome.LINKS_LOST: http.HTTPStatus.SERVICE_UNAVAILABLE,
    Outcome.FULL: http.HTTPStatus.SERVICE_UNAVAILABLE,
    Outcome.STOPPING: http.HTTPStatus.SERVICE_UNAVAILABLE,
    Outcome.UNREGISTERED: http.HTTPStatus.NOT_FOUND,
    Outcome.FORBIDDEN: http.HTTPStatus.FORBIDDEN,
    Outcome.MALFORMED: http.HTTPStatus.BAD_REQUEST,
}


class TunnelStream(trio.abc.Stream, transport.PollableStream, transport.ResettableStream):
    """A connection to an upstream through a peer.

    Attributes:
        peer: VM of the peer.
    """

    def __init__(self, inner: trio.abc.Stream, peer: ids.VmId) -> None:
        self.peer = peer
        self._inner = inner

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """See `trio.abc.SendStream.send_all`."""
        await self._inner.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """See `trio.abc.SendStream.wait_send_all_might_not_block`."""
        await self._inner.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        """See `trio.abc.ReceiveStream.receive_some`."""
        return await self._inner.receive_some(max_bytes)

    @property
    def has_input(self) -> bool:
        """See `transport.PollableStream.has_input`."""
        return transport.has_input(self._inner)

    def reset_on_close(self, resets: bool = True) -> None:
        """See `transport.ResettableStream.reset_on_close`."""
        transport.reset_on_close(self._inner, resets)

    async def aclose(self) -> None:
        """See `trio.abc.AsyncResource.aclose`."""
        await self._inner.aclose()


class TunnelRequest:
    """A tunnel that a router has requested, at the side of the peer."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)

    async def receive(self, secret: str) -> ids.Address | Outcome:
        """Returns the address of the upstream, or why no tunnel is opened.

        Args:
            secret: Secret that the routers share.

        Raises:
            ConnectionLostError: The router closed the connection.
        """
        try:
            request = await _next_event(self._h11, self._stream)
        except exceptions.MalformedMessageError:
            return Outcome.MALFORMED
        if not isinstance(request, h11.Request) or request.method != _METHOD:
            return Outcome.MALFORMED
        headers = dict(request.headers)
        if _FRAMING.intersection(headers) or self._h11.trailing_data[0]:
            # The upstream would not get what belongs to no head.
            return Outcome.MALFORMED
        received = headers.get(_SECRET, b"")
        if not hmac.compare_digest(received, secret.encode()):
            return Outcome.FORBIDDEN
        return ids.Address(request.target.decode("ascii"))

    async def answer(self, outcome: Outcome) -> None:
        """Tells the router whether the tunnel is open.

        Raises:
            ConnectionLostError: The router closed the connection.
        """
        headers = [(_OUTCOME, outcome.value.encode())]
        if outcome is not Outcome.OPEN:
            headers += [(b"content-length", b"0"), (b"connection", b"close")]
        response = h11.Response(status_code=_STATUS[outcome], headers=headers, reason=outcome.value)
        try:
            # A request that could not be read is answered as well, hence the parser of its own.
            data = h11.Connection(h11.SERVER).send(response) or b""
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise exceptions.ConnectionLostError("the router closed the connection") from exc


async def request_tunnel(stream: trio.abc.Stream, upstream: ids.Address, secret: str) -> Outcome:
    """Asks the peer at the other end of a connection for a tunnel.

    After `Outcome.OPEN`, the connection carries the bytes of the upstream.

    Raises:
        ProtocolError: The peer closed the connection, its response cannot be read, or the address
            or the secret cannot be sent.
    """
    conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    data = _encode_request(conn, upstream, secret)
    try:
        await stream.send_all(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
        raise exceptions.ConnectionLostError("the peer closed the connection") from exc
    response = await _next_event(conn, stream)
    if not isinstance(response, h11.Response):
        raise exceptions.MalformedMessageError("the peer sent no response")
    outcome = _read_outcome(response)
    if outcome is Outcome.OPEN and conn.trailing_data[0]:
        raise exceptions.MalformedMessageError("the upstream sent data before a request")
    return outcome


def _encode_request(conn: h11.Connection, upstream: ids.Address, secret: str) -> bytes:
    try:
        target = upstream.encode("ascii")
        headers = [(b"host", target), (_SECRET, secret.encode())]
        request = h11.Request(method=_METHOD, target=target, headers=headers)
    except (UnicodeError, h11.LocalProtocolError) as exc:
        raise exceptions.MalformedMessageError(f"no request can bear {upstream!r}: {exc}") from exc
    return (conn.send(request) or b"") + (conn.send(h11.EndOfMessage()) or b"")


def _read_outcome(response: h11.Response) -> Outcome:
    value = dict(response.headers).get(_OUTCOME, b"")
    try:
        outcome = Outcome(value.decode("ascii", "replace"))
    except ValueError as exc:
        raise exceptions.MalformedMessageError(f"unknown tunnel outcome {value!r}") from exc
    if _STATUS[outcome] != response.status_code:
        raise exceptions.MalformedMessageError("the status contradicts the tunnel outcome")
    return outcome


async def _next_event(conn: h11.Connection, stream: trio.abc.Stream) -> h11.Event:
    """Returns the next event of a message; reads at most `MAX_HEAD_BYTES`."""
    bytes_left = MAX_HEAD_BYTES
    try:
        while (event := conn.next_event()) is h11.NEED_DATA:
            if not bytes_left:
                raise exceptions.MalformedMessageError(f"no head in {MAX_HEAD_BYTES} bytes")
            data = bytes(await stream.receive_some(bytes_left))
            bytes_left -= len(data)
            conn.receive_data(data)
    except h11.RemoteProtocolError as exc:
        raise exceptions.MalformedMessageError(str(exc)) from exc
    except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
        raise exceptions.ConnectionLostError(f"connection lost: {exc}") from exc
    if not isinstance(event, h11.Event) or isinstance(event, h11.ConnectionClosed):
        raise exceptions.ConnectionLostError("connection closed before the end of a message")
    return event
