"""Lets bodies of requests wait until there is room for their beginnings."""

import collections.abc

import trio

from cicadapier._internal.decisions import memory_shares
from cicadapier._internal.decisions.clients import body_room


class BodyBeginnings:
    """The beginnings of all bodies that a listener holds."""

    def __init__(self, limit_bytes: int, make_room: collections.abc.Callable[[], None]) -> None:
        """Creates it.

        Args:
            limit_bytes: See `body_room.BodyRoom`.
            make_room: Gives up a body that could go; called whenever another one has to wait.
        """
        self._make_room = make_room
        self._room = body_room.BodyRoom(limit_bytes)
        self._given: dict[body_room.BodyClaim, trio.Event] = {}

    def open(self, length: int) -> "BodyBeginning | None":
        """Returns the beginning of a new body; None if too many wait already.

        Args:
            length: Length that the request states; 0 if it states none.
        """
        size = min(length or memory_shares.FREE_BYTES, memory_shares.FREE_BYTES)
        claim = self._room.open(size)
        if claim is None:
            self._make_room()
            return None
        self._given[claim] = trio.Event()
        if not claim.has_room:
            self._make_room()
        return BodyBeginning(self, claim)

    async def wait(self, claim: body_room.BodyClaim) -> None:
        """Waits until there is room."""
        await self._given[claim].wait()

    def make_room(self) -> None:
        """Gives up a body that could go, maybe one whose request waits for its turn only now."""
        self._make_room()

    def shrink(self, claim: body_room.BodyClaim, size: int) -> None:
        """Records that a body has been received, of which less may be held than was claimed."""
        self._set_given(self._room.shrink(claim, min(size, claim.size)))

    def close(self, claim: body_room.BodyClaim) -> None:
        """Records that nothing of a body is held any more."""
        del self._given[claim]
        self._set_given(self._room.close(claim))

    def _set_given(self, claims: list[body_room.BodyClaim]) -> None:
        for claim in claims:
            self._given[claim].set()


class BodyBeginning:
    """The beginning of one body."""

    def __init__(self, beginnings: BodyBeginnings, claim: body_room.BodyClaim) -> None:
        self._beginnings = beginnings
        self._claim = claim

    @property
    def has_room(self) -> bool:
        """Whether the body may be received."""
        return self._claim.has_room

    async def wait_for_room(self) -> None:
        """Waits until the body may be received."""
        await self._beginnings.wait(self._claim)

    def shrink(self, size: int) -> None:
        """Records that the body has been received; see `body_room.BodyRoom.shrink`."""
        self._beginnings.shrink(self._claim, size)

    def release(self) -> None:
        """Records that nothing is held any more; must be called once."""
        self._beginnings.close(self._claim)
