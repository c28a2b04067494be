"""When to look again for objects whose create was given up and may still take effect.

Load pattern: the store is slow or loses its answers, so that a create without an answer takes
effect seconds after the object was looked for in vain. Such an object would stay without an owner.
"""

import collections.abc
import dataclasses
from typing import Generic
from typing import TypeVar

FIRST_CHECK_S = 1.0
MAX_CHECK_INTERVAL_S = 8.0
# Longest time after which a create that was given up may still take effect.
MAX_LATENESS_S = 30.0
MAX_AWAITED = 1024

_Item = TypeVar("_Item")


@dataclasses.dataclass(frozen=True, slots=True)
class _Awaited(Generic[_Item]):
    item: _Item
    check_at: float
    interval_s: float
    until: float


class LateWrites(Generic[_Item]):
    """Objects that are looked for again, at intervals that double."""

    def __init__(self) -> None:
        self._awaited: list[_Awaited[_Item]] = []

    @property
    def next_check_at(self) -> float | None:
        """Time of the next check; None if nothing is awaited."""
        return min((awaited.check_at for awaited in self._awaited), default=None)

    def add(self, item: _Item, now: float) -> bool:
        """Awaits an object; returns False if too many are awaited already."""
        if len(self._awaited) >= MAX_AWAITED:
            return False
        self._awaited.append(
            _Awaited(item, now + FIRST_CHECK_S, FIRST_CHECK_S, now + MAX_LATENESS_S)
        )
        return True

    def take_due(self, now: float) -> collections.abc.Sequence[_Item]:
        """Returns the objects to look for now, and plans their next checks."""
        due = [awaited for awaited in self._awaited if awaited.check_at <= now]
        self._awaited = [awaited for awaited in self._awaited if awaited.check_at > now]
        for awaited in due:
            if awaited.check_at >= awaited.until:
                continue  # This was the last check.
            interval_s = min(2 * awaited.interval_s, MAX_CHECK_INTERVAL_S)
            check_at = min(now + interval_s, max(now, awaited.until))
            self._awaited.append(
                dataclasses.replace(awaited, check_at=check_at, interval_s=interval_s)
            )
        return [awaited.item for awaited in due]

    def forget(self, item: _Item) -> None:
        """Stops awaiting an object, such as one that has been found."""
        self._awaited = [awaited for awaited in self._awaited if awaited.item is not item]
