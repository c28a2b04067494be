"""Whether an answer gets on, by what its caller can use of it.

It answers upstreams that are not silent and never end: bytes that complete no event, a byte now
and then, bodies beyond all bounds. A slow answer that brings enough with each interval goes on.
"""

import dataclasses
import enum

MAX_ANSWER_BYTES = 16_777_216  # Of an answer that is held whole.
MIN_PROGRESS_BYTES = 256


class Verdict(enum.Enum):
    """What follows a part of an answer."""

    GO_ON = "go_on"
    TOO_LARGE = "too_large"


@dataclasses.dataclass
class BodyPace:
    """Pace of a body that is held whole: enough bytes in each interval, and an end at last.

    Attributes:
        limit_s: Longest time for the next bytes that count as progress.
        until: Time at which those must have come.
        size: Bytes so far.
    """

    limit_s: float
    until: float
    size: int = 0
    _since: int = 0

    def came(self, size: int, now: float) -> Verdict:
        """Counts a part of the body."""
        self.size += size
        self._since += size
        if self._since >= MIN_PROGRESS_BYTES:
            self._since = 0
            self.until = now + self.limit_s
        return Verdict.TOO_LARGE if self.size > MAX_ANSWER_BYTES else Verdict.GO_ON

    def left_s(self, now: float) -> float:
        """Returns the time that is left for progress."""
        return max(0.0, self.until - now)


def body_pace(limit_s: float, now: float) -> BodyPace:
    """Returns the pace of a body whose head has just come."""
    return BodyPace(limit_s, now + limit_s)


@dataclasses.dataclass
class StreamPace:
    """Pace of a stream: a whole event in each interval.

    Attributes:
        limit_s: Longest time for the next event.
        until: Time at which it must have come.
    """

    limit_s: float
    until: float

    def came(self, events: int, now: float) -> None:
        """Counts the events that a part of the stream has completed."""
        if events:
            self.until = now + self.limit_s

    def left_s(self, now: float) -> float:
        """Returns the time that is left for progress."""
        return max(0.0, self.until - now)


def stream_pace(limit_s: float, now: float) -> StreamPace:
    """Returns the pace of a stream whose head has just come."""
    return StreamPace(limit_s, now + limit_s)
