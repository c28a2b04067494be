"""Sends a stream to its caller."""

import abc
import collections.abc

from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import http_server


class StreamOutput(abc.ABC):
    """The sending side of one stream, over all attempts at its request.

    All methods raise `ConnectionLostError` if the caller can get no more.
    """

    @abc.abstractmethod
    async def start(self, status: int, headers: http_client.Headers, data: bytes) -> None:
        """Sends the head and the first events."""

    @abc.abstractmethod
    async def send(self, data: bytes) -> None:
        """Sends further events."""

    @abc.abstractmethod
    async def end(self) -> None:
        """Records that the stream is complete, and sends its end unless events are held."""

    @abc.abstractmethod
    async def deliver(self) -> None:
        """Waits until the caller's connection has taken all events, and the end if there is one."""

    @abc.abstractmethod
    def check(self) -> None:
        """Raises `ConnectionLostError` if the caller can get no more."""

    @abc.abstractmethod
    def close(self) -> None:
        """Drops what has not been sent."""


# Creates the output of a request; the function is called if the caller can get no more.
MakeOutput = collections.abc.Callable[
    [http_server.Responder, collections.abc.Callable[[], None]], StreamOutput
]


class DirectOutput(StreamOutput):
    """Waits for the caller with each part, so that nothing is held."""

    def __init__(
        self, responder: http_server.Responder, on_lost: collections.abc.Callable[[], None]
    ) -> None:
        """Creates it; see `MakeOutput`."""
        self._responder = responder

    async def start(self, status: int, headers: http_client.Headers, data: bytes) -> None:
        """See `StreamOutput.start`."""
        await self._responder.start(status, headers, data)

    async def send(self, data: bytes) -> None:
        """See `StreamOutput.send`."""
        await self._responder.send_part(data)

    async def end(self) -> None:
        """See `StreamOutput.end`."""
        await self._responder.finish()

    async def deliver(self) -> None:
        """See `StreamOutput.deliver`; all has been sent."""

    def check(self) -> None:
        """See `StreamOutput.check`; the methods that send raise the error."""

    def close(self) -> None:
        """See `StreamOutput.close`; nothing is held."""
