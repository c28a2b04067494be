"""Who may hold further bytes of messages that are kept as a whole, so that their sum is bounded.

Load pattern: a sick upstream answers many requests at once with bodies that have no end, beside
sound answers that are large. A limit of each message does not bound their sum. The beginnings of
messages are always taken, so that small ones never wait.
"""

import dataclasses
from typing import Generic
from typing import TypeVar

FREE_BYTES = 65_536  # Beginning of a message that may be held without room.

_Group = TypeVar("_Group")


@dataclasses.dataclass(eq=False, slots=True)
class Holding(Generic[_Group]):
    """Bytes that are held of one message.

    Attributes:
        group: Who sends it.
        length: Length that the message states; 0 if it states none.
        size: Number of bytes that are held.
        has_room: Whether there is room for the stated length.
    """

    group: _Group
    length: int = 0
    size: int = 0
    has_room: bool = False

    @property
    def needed(self) -> int:
        """Number of bytes for which there has to be room for the message to grow."""
        return max(self.size, self.length)

    @property
    def taken(self) -> int:
        """Number of bytes that the message takes of the room."""
        return self.needed if self.has_room else self.size


class MemoryShares(Generic[_Group]):
    """The bytes that are held, and the shares of those who send them.

    A group may hold its share of the limit. The oldest large message may grow beyond it, so that
    one always comes to its end and makes room. A message that states its length waits at its
    beginning until there is room for all of it, so that messages do not hold each other up.
    """

    def __init__(self, limit_bytes: int, least_groups: int) -> None:
        """Creates it.

        Args:
            limit_bytes: Number of bytes that may be held, apart from the beginnings of messages and
                the oldest large message.
            least_groups: Least number of groups among which the limit is shared, so that a single
                one does not take all of it.
        """
        self._limit_bytes = limit_bytes
        self._least_groups = least_groups
        self._holdings: dict[Holding[_Group], None] = {}  # Oldest first.

    @property
    def total(self) -> int:
        """Number of bytes that are held."""
        return sum(item.size for item in self._holdings)

    def open(self, group: _Group, length: int = 0) -> Holding[_Group]:
        """Returns the holding of a new message.

        Args:
            group: Who sends it.
            length: Length that it states; 0 if it states none.
        """
        holding = Holding(group, length)
        self._holdings[holding] = None
        return holding

    def close(self, holding: Holding[_Group]) -> None:
        """Records that nothing of a message is held any more; may be called twice."""
        self._holdings.pop(holding, None)

    def may_grow(self, holding: Holding[_Group]) -> bool:
        """Returns whether further bytes of a message may be received now."""
        is_complete = holding.size == holding.length
        if holding.size < FREE_BYTES or is_complete or (holding.has_room and holding.length):
            return True
        large = [item for item in self._holdings if item.size >= FREE_BYTES]
        if holding is large[0] or self._fits(holding, large):
            holding.has_room = True
            return True
        return False

    def _fits(self, holding: Holding[_Group], large: list[Holding[_Group]]) -> bool:
        """Returns whether a message fits into the limit and into the share of its group."""
        share = self._limit_bytes / max(self._least_groups, len({item.group for item in large}))
        others = [item for item in large if item is not holding]
        taken = sum(item.taken for item in others)
        taken_by_group = sum(item.taken for item in others if item.group == holding.group)
        fits_limit = taken + holding.needed <= self._limit_bytes
        return fits_limit and taken_by_group + holding.needed <= share
