"""Combines announcements to the peers that are asked for at about the same time."""

import collections.abc
from typing import Generic
from typing import TypeVar

import trio

COLLECT_S = 0.005  # A crash ends many requests at once.
ANNOUNCE_TIMEOUT_S = 0.5
MAX_PENDING = 256

_Item = TypeVar("_Item")


class Announcer(Generic[_Item]):
    """Sends the items that several tasks announce in as few rounds as possible."""

    def __init__(
        self, send: collections.abc.Callable[[list[_Item]], collections.abc.Awaitable[None]]
    ) -> None:
        self._send = send
        self._pending: list[_Item] = []
        self._requested = trio.Event()
        self._sent = trio.Event()

    async def run(self) -> None:
        """Sends announcements until it is cancelled."""
        while True:
            await self._requested.wait()
            await trio.sleep(COLLECT_S)
            items, self._pending = self._pending, []
            sent, self._sent = self._sent, trio.Event()
            self._requested = trio.Event()
            await self._send(items)
            sent.set()

    async def announce(self, item: _Item) -> None:
        """Announces an item; returns once it has been sent or a timeout expires."""
        if len(self._pending) < MAX_PENDING:
            self._pending.append(item)
        sent = self._sent
        self._requested.set()
        with trio.move_on_after(ANNOUNCE_TIMEOUT_S):
            await sent.wait()
