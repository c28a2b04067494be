"""Which bodies of requests may be received, so that the sum of small ones is bounded as well.

Load pattern: a crowd opens as many connections as it may, and each sends a body that is too small
to be refused by itself. A body of usual size finds room at once; in a crowd it waits for those
before it, and is refused at once if too many wait already.
"""

import dataclasses


@dataclasses.dataclass(eq=False, slots=True)
class BodyClaim:
    """Room that the beginning of a body needs.

    Attributes:
        size: Number of bytes.
        has_room: Whether the body may be received.
    """

    size: int
    has_room: bool = False


class BodyRoom:
    """The room for the beginnings of all bodies that are held; the first to ask comes first."""

    def __init__(self, limit_bytes: int) -> None:
        """Creates it.

        Args:
            limit_bytes: Number of bytes that may be held, and as many that may be waited for.
        """
        self._limit_bytes = limit_bytes
        self._held = 0
        self._waited_for = 0
        self._waiting: dict[BodyClaim, None] = {}  # Oldest first.

    def open(self, size: int) -> BodyClaim | None:
        """Returns the claim of a body, which may have to wait; None if too many wait already.

        Args:
            size: Number of bytes of its beginning.
        """
        claim = BodyClaim(size)
        if not self._waiting and self._fits(size):
            self._give(claim)
        elif self._waited_for + size > self._limit_bytes:
            return None
        else:
            self._waiting[claim] = None
            self._waited_for += size
        return claim

    def shrink(self, claim: BodyClaim, size: int) -> list[BodyClaim]:
        """Records the size of a body that has been received; returns the claims that get room.

        Args:
            claim: Claim of the body, which has room.
            size: Number of bytes that are held of its beginning.
        """
        self._held -= claim.size - size
        claim.size = size
        return self._give_free_room()

    def close(self, claim: BodyClaim) -> list[BodyClaim]:
        """Records that nothing of a body is held or waited for; returns the claims that get room.

        Args:
            claim: Claim of the body; must not have been closed before.
        """
        if claim.has_room:
            self._held -= claim.size
        else:
            self._remove_waiting(claim)
        return self._give_free_room()

    def _give_free_room(self) -> list[BodyClaim]:
        given = []
        for claim in list(self._waiting):
            if not self._fits(claim.size):
                break
            self._remove_waiting(claim)
            self._give(claim)
            given.append(claim)
        return given

    def _fits(self, size: int) -> bool:
        return not self._held or self._held + size <= self._limit_bytes

    def _give(self, claim: BodyClaim) -> None:
        claim.has_room = True
        self._held += claim.size

    def _remove_waiting(self, claim: BodyClaim) -> None:
        del self._waiting[claim]
        self._waited_for -= claim.size
