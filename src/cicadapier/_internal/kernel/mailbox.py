"""Bounded mailboxes through which services exchange messages."""

import math
import typing
from typing import Generic

import trio

from cicadapier._internal.kernel import exceptions

_MessageT = typing.TypeVar("_MessageT")
_ReplyT = typing.TypeVar("_ReplyT")

DEFAULT_CAPACITY = 16_384


class Reply(Generic[_ReplyT]):
    """Reply to a single message; the sender of the message waits for it."""

    def __init__(self) -> None:
        self._event = trio.Event()
        self._value: _ReplyT | None = None

    def set(self, value: _ReplyT) -> None:
        """Sets the reply; later calls have no effect."""
        if not self._event.is_set():
            self._value = value
            self._event.set()

    async def get(self) -> _ReplyT:
        """Waits for the reply and returns it."""
        await self._event.wait()
        return typing.cast(_ReplyT, self._value)


class Mailbox(Generic[_MessageT]):
    """Queue of messages to one service.

    Sending never blocks, so two services cannot deadlock by waiting for each other.
    """

    def __init__(self, capacity: int | float = DEFAULT_CAPACITY) -> None:
        self._send_channel, self._receive_channel = trio.open_memory_channel[_MessageT](capacity)

    def send(self, message: _MessageT) -> None:
        """Adds a message to the queue.

        Raises:
            MailboxFullError: The queue has reached its capacity.
            MailboxClosedError: The service has stopped.
        """
        try:
            self._send_channel.send_nowait(message)
        except trio.WouldBlock as exc:
            raise exceptions.MailboxFullError(type(message).__name__) from exc
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise exceptions.MailboxClosedError(type(message).__name__) from exc

    def try_send(self, message: _MessageT) -> bool:
        """Sends a message that may be lost; returns whether it was queued."""
        try:
            self.send(message)
        except exceptions.KernelError:
            return False
        return True

    async def receive(self) -> _MessageT:
        """Waits for the next message and returns it."""
        return await self._receive_channel.receive()

    async def receive_until(self, deadline: float) -> _MessageT | None:
        """Waits for the next message until a deadline; returns None if none arrives in time.

        Args:
            deadline: Time on trio's clock; infinity for no deadline.
        """
        if math.isinf(deadline) or self._receive_channel.statistics().current_buffer_used:
            # Setting up a timeout costs more than the rest of this call, so it is skipped where it
            # is not needed.
            return await self.receive()
        with trio.move_on_at(deadline):
            return await self.receive()
        return None

    def close(self) -> None:
        """Closes the mailbox; later messages are rejected."""
        self._receive_channel.close()
