"""Byte streams: TCP in production, and in memory in tests that control the clock."""

import abc
import collections.abc
import fcntl
import os
import resource
import select
import socket
import ssl
import struct
import sys
import termios

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import exceptions

# A peer that disappears sends no reset. Keepalive probes and a limit for unacknowledged data close
# such a connection.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 2500
# Errors for a text that is no address, which the kernel or the encoding of host names reports.
ADDRESS_ERRORS = (ValueError, OverflowError)
_LINGER_FOR_NO_TIME = struct.pack("ii", 1, 0)
_NO_LINGER = struct.pack("ii", 0, 0)

StreamHandler = collections.abc.Callable[[trio.abc.Stream], collections.abc.Awaitable[None]]


class PollableStream(abc.ABC):
    """A stream that can be checked for available input without waiting."""

    @property
    @abc.abstractmethod
    def has_input(self) -> bool:
        """Whether input or the end of the stream can be read without waiting."""


def has_input(stream: trio.abc.Stream) -> bool:
    """Returns whether reading would not wait; False if the stream cannot be checked."""
    if isinstance(stream, PollableStream):
        return stream.has_input
    if isinstance(stream, trio.SocketStream):
        return stream.socket.is_readable()
    return False


class ResettableStream(abc.ABC):
    """A stream whose close can discard what the peer has not received."""

    @abc.abstractmethod
    def reset_on_close(self, resets: bool = True) -> None:
        """Sets whether a close discards what the peer has not received and resets the connection.

        Args:
            resets: Whether it does.
        """


def reset_on_close(stream: trio.abc.Stream, resets: bool = True) -> None:
    """Sets whether a close, also by the end of the process, discards what was not received.

    Without it, the kernel delivers what was sent even after the close.

    Args:
        stream: The stream.
        resets: Whether a close resets the connection.
    """
    if isinstance(stream, ResettableStream):
        stream.reset_on_close(resets)
    elif isinstance(stream, trio.SocketStream):
        linger = _LINGER_FOR_NO_TIME if resets else _NO_LINGER
        if stream.socket.fileno() >= 0:  # Otherwise, it was closed meanwhile.
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def was_reset(stream: trio.abc.Stream) -> bool:
    """Returns whether the peer has reset a connection, also while input is left to be read.

    The kernel hands out input that came before the reset; streams in memory discard it.
    """
    if not isinstance(stream, trio.SocketStream) or stream.socket.fileno() < 0:
        return False
    poller = select.poll()
    poller.register(stream.socket.fileno(), 0)
    return any(events & select.POLLERR for _, events in poller.poll(0))


def has_left(stream: trio.abc.Stream) -> bool:
    """Returns whether the peer has closed or reset a connection, also while input is unread."""
    while isinstance(stream, trio.SSLStream):
        stream = stream.transport_stream
    if not isinstance(stream, trio.SocketStream) or stream.socket.fileno() < 0:
        return False
    poller = select.poll()
    poller.register(stream.socket.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


def send_now(stream: trio.abc.Stream, data: bytes) -> int:
    """Sends what can be sent without waiting; returns how many bytes that is.

    Only plain sockets can do so; other streams send nothing.

    Raises:
        ConnectionLostError: The connection is closed.
    """
    if not isinstance(stream, trio.SocketStream):
        return 0
    try:
        return os.write(stream.socket.fileno(), data)
    except BlockingIOError:
        return 0
    except OSError as exc:
        raise exceptions.ConnectionLostError(f"the connection is closed: {exc}") from exc


def unreceived_bytes(stream: trio.abc.Stream) -> int:
    """Returns how many bytes that were sent the peer's kernel has not received yet.

    It receives no more once its buffer is full of what the peer has not read. Streams other than
    sockets hold none.
    """
    if not isinstance(stream, trio.SocketStream) or stream.socket.fileno() < 0:
        return 0
    try:
        raw = fcntl.ioctl(stream.socket.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0  # The system does not tell.
    return int.from_bytes(raw, sys.byteorder)


def unread_bytes(stream: trio.abc.Stream) -> int:
    """Returns how many bytes can be read from a socket without waiting; 0 for other streams."""
    if not isinstance(stream, trio.SocketStream) or stream.socket.fileno() < 0:
        return 0
    try:
        raw = fcntl.ioctl(stream.socket.fileno(), termios.FIONREAD, bytes(4))
    except OSError:
        return 0  # The system does not tell.
    return int.from_bytes(raw, sys.byteorder)


def descriptor_limit() -> int:
    """Returns how many descriptors the process may have open."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return sys.maxsize if limit == resource.RLIM_INFINITY else limit


def limit_delivery(stream: trio.abc.Stream, limit_s: float) -> None:
    """Limits how long the kernel tries to deliver what is sent on a socket.

    Data that the peer has not received is discarded when the socket is closed, also by the end of
    the process, and after the limit, also while the process is suspended.
    """
    reset_on_close(stream)
    if isinstance(stream, trio.SocketStream):
        limit_ms = round(limit_s * 1000)
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)


class Connector(abc.ABC):
    """Opens byte streams."""

    @abc.abstractmethod
    async def connect(self, address: ids.Address, timeout_s: float) -> trio.abc.Stream:
        """Opens a stream.

        Raises:
            ConnectRefusedError: The connection was refused because nothing listens at the address.
            ConnectError: The address does not answer in time or is unreachable.
        """


class Network(Connector):
    """Opens and accepts byte streams."""

    @abc.abstractmethod
    async def serve(
        self,
        address: ids.Address,
        handler: StreamHandler,
        task_status: "trio.TaskStatus[ids.Address]" = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accepts streams until it is cancelled; reports the address that it listens on."""


class TcpNetwork(Network):
    """TCP network; accepted connections use TLS if it is configured."""

    def __init__(self, tls: settings.Tls | None = None) -> None:
        self._ssl_context: ssl.SSLContext | None = None
        if tls:
            self._ssl_context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
            self._ssl_context.load_cert_chain(tls.certificate, tls.key)

    async def connect(self, address: ids.Address, timeout_s: float) -> trio.abc.Stream:
        """See `Network.connect`."""
        with trio.move_on_after(timeout_s):
            try:
                host, port = settings.split_address(address)
                stream = await trio.open_tcp_stream(host, port, happy_eyeballs_delay=timeout_s)
                enable_keepalive(stream)
                return stream
            except OSError as exc:
                if _is_refusal(exc):
                    raise exceptions.ConnectRefusedError(f"{address}: connection refused") from exc
                raise exceptions.ConnectError(f"{address}: {exc}") from exc
            except ADDRESS_ERRORS as exc:
                raise exceptions.ConnectError(f"{address!r} is no address: {exc}") from exc
        raise exceptions.ConnectError(f"{address}: no answer within {timeout_s} s")

    async def serve(
        self,
        address: ids.Address,
        handler: StreamHandler,
        task_status: "trio.TaskStatus[ids.Address]" = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """See `Network.serve`."""
        host, port = settings.split_address(address)
        listeners = await trio.open_tcp_listeners(port, host=host)
        bound = listeners[0].socket.getsockname()
        task_status.started(ids.Address(f"{bound[0]}:{bound[1]}"))
        stream_listeners: list[trio.abc.Listener[trio.abc.Stream]] = list(listeners)
        if self._ssl_context:
            context = self._ssl_context
            stream_listeners = [trio.SSLListener(listener, context) for listener in listeners]
        await trio.serve_listeners(handler, stream_listeners)


def _is_refusal(error: OSError) -> bool:
    """Returns whether all addresses of a host refused, according to the causes of trio's error."""
    causes = error.__cause__
    if not isinstance(causes, ExceptionGroup):
        return False
    return all(isinstance(cause, ConnectionRefusedError) for cause in causes.exceptions)


def enable_keepalive(stream: trio.abc.Stream, user_timeout_ms: int = USER_TIMEOUT_MS) -> None:
    """Makes the kernel close a connection if the peer disappears.

    Args:
        stream: The stream.
        user_timeout_ms: Time after which it is closed. It is closed as well if the peer does not
            read for so long although there is something to read.
    """
    if not isinstance(stream, trio.SocketStream):
        return
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
