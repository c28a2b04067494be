"""Which of the requests that were sent ahead may be at work, so that others find room.

Load pattern: a crowd of clients sends requests ahead on each connection, in one go and without end.
All of them at work at once fill the queues of the upstreams in front of ordinary callers, and what
is kept for them fills the memory. Beside them, sound clients send a few requests ahead, read the
answers and pause.
"""

import dataclasses

ENDLESS_SHARE = 0.5  # Turns that clients which have never paused may take.


@dataclasses.dataclass(eq=False, slots=True)
class Turn:
    """A request that was sent ahead, or whose client has sent the next one.

    Attributes:
        has_paused: Whether the client has ever waited for an answer before it sent on.
        begun: Number of requests sent ahead that have begun since the client's last pause.
        is_at_work: Whether the request may be at work.
    """

    has_paused: bool
    begun: int
    is_at_work: bool = False


class Turns:
    """The requests sent ahead that are at work, and those that wait.

    Clients that have paused come first, then those that have begun the fewest since. Of two turns
    or more, one is for clients that have never paused, so that a new client's turn comes.
    """

    def __init__(self) -> None:
        self._waiting: dict[Turn, None] = {}  # Oldest first.
        self._at_work: dict[Turn, None] = {}  # Oldest first.

    @property
    def has_waiting(self) -> bool:
        """Whether any request waits."""
        return bool(self._waiting)

    def open(self, has_paused: bool, begun: int) -> Turn:
        """Returns the turn of a request, which waits; see `Turn` for the arguments."""
        turn = Turn(has_paused, begun)
        self._waiting[turn] = None
        return turn

    def close(self, turn: Turn) -> None:
        """Records that a request is answered or given up; may be called twice."""
        self._waiting.pop(turn, None)
        self._at_work.pop(turn, None)

    def begin_next(self, limit: int) -> Turn | None:
        """Returns the request that may begin now, which is at work from then on; None if none may.

        Args:
            limit: Maximum number of requests at work.
        """
        if not self._waiting or len(self._at_work) >= limit:
            return None
        endless = self._count_endless()
        prefers_endless = endless == 0 and limit > 1
        turn = min(self._waiting, key=lambda item: (item.has_paused is prefers_endless, item.begun))
        if not turn.has_paused and endless >= max(1, int(limit * ENDLESS_SHARE)):
            return None
        del self._waiting[turn]
        self._at_work[turn] = None
        turn.is_at_work = True
        return turn

    def _count_endless(self) -> int:
        return sum(not turn.has_paused for turn in self._at_work)
