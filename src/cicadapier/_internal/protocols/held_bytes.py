"""Bounds the bytes of messages that the process keeps as a whole."""

from typing import Generic
from typing import TypeVar

import trio

from cicadapier._internal.decisions import memory_shares

_Group = TypeVar("_Group")


class HeldMessage(Generic[_Group]):
    """One message that is being received and kept."""

    def __init__(self, held_bytes: "HeldBytes[_Group]", group: _Group, length: int) -> None:
        self._held_bytes = held_bytes
        self._holding = held_bytes.shares.open(group, length)

    def add(self, size: int) -> None:
        """Records that further bytes are held."""
        self._holding.size += size

    async def wait_to_grow(self) -> bool:
        """Waits until further bytes may be received; returns whether it had to wait."""
        has_waited = False
        while not self._held_bytes.shares.may_grow(self._holding):
            has_waited = True
            await self._held_bytes.changed.wait()
        return has_waited

    def release(self) -> None:
        """Records that nothing is held any more; may be called twice."""
        self._held_bytes.shares.close(self._holding)
        self._held_bytes.notify()


class HeldBytes(Generic[_Group]):
    """The messages that are kept by one part of the process.

    Attributes:
        shares: Decides which message may grow.
        changed: Set when a message is released, and then replaced by a new event.
    """

    def __init__(self, limit_bytes: int, least_groups: int = 1) -> None:
        """Creates it; see `memory_shares.MemoryShares` for the arguments."""
        self.shares = memory_shares.MemoryShares[_Group](limit_bytes, least_groups)
        self.changed = trio.Event()

    def open(self, group: _Group, length: int = 0) -> HeldMessage[_Group]:
        """Returns a new message.

        Args:
            group: Who sends it.
            length: Length that it states; 0 if it states none.
        """
        return HeldMessage(self, group, length)

    def notify(self) -> None:
        """Wakes up the messages that wait for room."""
        self.changed.set()
        self.changed = trio.Event()
