"""Byte transports: TCP in production, in memory where tests pause the clock."""

import abc
import collections.abc
import socket
import ssl

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import exceptions

# A connection whose other end has vanished shows no reset; probes and unanswered data end it.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 2500

StreamHandler = collections.abc.Callable[[trio.abc.Stream], collections.abc.Awaitable[None]]


class PollableStream(abc.ABC):
    """A stream that can tell whether input or its end is waiting."""

    @property
    @abc.abstractmethod
    def has_input(self) -> bool:
        """Whether reading would return at once."""


def has_input(stream: trio.abc.Stream) -> bool:
    """Returns whether reading would return at once; False where the stream cannot tell."""
    if isinstance(stream, PollableStream):
        return stream.has_input
    if isinstance(stream, trio.SocketStream):
        return stream.socket.is_readable()
    return False


class Network(abc.ABC):
    """Opens and accepts byte streams."""

    @abc.abstractmethod
    async def connect(self, address: ids.Address, timeout_s: float) -> trio.abc.Stream:
        """Opens a stream.

        Raises:
            ConnectRefusedError: The address answers that nothing listens there.
            ConnectError: It does not answer in time, or cannot be reached.
        """

    @abc.abstractmethod
    async def serve(
        self,
        address: ids.Address,
        handler: StreamHandler,
        task_status: "trio.TaskStatus[ids.Address]" = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accepts streams until it is cancelled; reports the bound address."""


class TcpNetwork(Network):
    """Plain TCP, or TLS on the stream_listeners side."""

    def __init__(self, tls: settings.Tls | None = None) -> None:
        self._ssl_context: ssl.SSLContext | None = None
        if tls:
            self._ssl_context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
            self._ssl_context.load_cert_chain(tls.certificate, tls.key)

    async def connect(self, address: ids.Address, timeout_s: float) -> trio.abc.Stream:
        """See `Network.connect`."""
        host, port = settings.split_address(address)
        with trio.move_on_after(timeout_s):
            try:
                stream = await trio.open_tcp_stream(host, port, happy_eyeballs_delay=timeout_s)
                _enable_keepalive(stream)
                return stream
            except OSError as exc:
                if _is_refusal(exc):
                    raise exceptions.ConnectRefusedError(f"{address}: refused") from exc
                raise exceptions.ConnectError(f"{address}: {exc}") from exc
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
    """Returns whether each address of a host has refused, as the causes of trio's error tell."""
    causes = error.__cause__
    if not isinstance(causes, ExceptionGroup):
        return False
    return all(isinstance(cause, ConnectionRefusedError) for cause in causes.exceptions)


def _enable_keepalive(stream: trio.SocketStream) -> None:
    """Lets the kernel end a connection whose other end has vanished."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
