"""How upstreams number the events of their streams.

Load pattern: many streams at once, some of which go on at another upstream. The numbers of a sound
stream increase, by one or by more, for example by the tokens of each event. Within one connection
nothing is lost between two events, so any increase is a step. Where a stream goes on elsewhere,
only numbers that have always increased by one show that an event is missing.
"""

import collections
import dataclasses

MAX_VERSIONS = 64  # Software versions that are remembered.
MIN_STEPS = 8  # Fewer steps of one may be chance.


@dataclasses.dataclass(slots=True)
class _Steps:
    of_one: int = 0
    has_others: bool = False


class EventNumbering:
    """Steps between the numbers of events, by the software version that made them."""

    def __init__(self) -> None:
        self._steps: collections.OrderedDict[str, _Steps] = collections.OrderedDict()

    def record_step(self, software: str, step: int) -> None:
        """Records the step between two events of one connection.

        Args:
            software: Software version of the upstream; empty if it is unknown, which shows nothing.
            step: Difference of their numbers, at least 1.
        """
        if software == "":
            return
        steps = self._steps.setdefault(software, _Steps())
        self._steps.move_to_end(software)
        if len(self._steps) > MAX_VERSIONS:
            self._steps.popitem(last=False)
        steps.of_one += step == 1
        steps.has_others |= step != 1

    def may_follow(self, software: str | None, last: int, number: int) -> bool:
        """Returns whether an event may be the one behind the last event of a stream.

        Args:
            software: Software version that makes the stream; None if it is not known.
            last: Number of the last event, which another connection has brought.
            number: Number of the event.
        """
        if number <= last:
            return False
        steps = None if software is None else self._steps.get(software)
        if steps is None or steps.has_others or steps.of_one < MIN_STEPS:
            return True
        return number == last + 1
