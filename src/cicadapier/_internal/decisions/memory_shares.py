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
        group: Who sent it.
        size: Number of bytes.
    """

    group: _Group
    size: int = 0


class MemoryShares(Generic[_Group]):
    """The bytes that are held, and the shares of those who send them.

    A group may hold its share of the limit. The oldest message may grow beyond it, so that one
    always comes to its end and makes room.

    Attributes:
        total: Number of bytes that are held.
    """

    def __init__(self, limit_bytes: int, least_groups: int) -> None:
        """Creates it.

        Args:
            limit_bytes: Number of bytes that may be held, apart from the beginnings of messages and
                the oldest message.
            least_groups: Least number of groups among which the limit is shared, so that a single
                one does not take all of it.
        """
        self._limit_bytes = limit_bytes
        self._least_groups = least_groups
        self._holdings: dict[Holding[_Group], None] = {}  # Oldest first.
        self.total = 0

    def open(self, group: _Group) -> Holding[_Group]:
        """Returns the holding of a new message."""
        holding = Holding(group)
        self._holdings[holding] = None
        return holding

    def add(self, holding: Holding[_Group], size: int) -> None:
        """Records that further bytes of a message are held."""
        holding.size += size
        self.total += size

    def close(self, holding: Holding[_Group]) -> None:
        """Records that nothing of a message is held any more; may be called twice."""
        if self._holdings.pop(holding, holding) is None:
            self.total -= holding.size

    def may_grow(self, holding: Holding[_Group]) -> bool:
        """Returns whether further bytes of a message may be received now."""
        if holding.size < FREE_BYTES:
            return True
        large = [item for item in self._holdings if item.size >= FREE_BYTES]
        if holding is large[0]:
            return True
        groups = len({item.group for item in large})
        share = self._limit_bytes / max(self._least_groups, groups)
        held = sum(item.size for item in large if item.group == holding.group)
        return self.total < self._limit_bytes and held < share
