"""Whether an answer makes progress, by what its caller can use of it.

It answers upstreams that are not silent and never finish: bytes that complete no event, a byte now
and then, bodies beyond all bounds. A slow answer that brings enough in each interval goes on.
"""

MAX_ANSWER_BYTES = 16_777_216  # Of an answer that is held whole.
MIN_PROGRESS_BYTES = 256


class Pace:
    """Deadline for the next progress, which begins anew with each."""

    def __init__(self, limit_s: float, now: float) -> None:
        """Starts the first interval.

        Args:
            limit_s: Longest time without progress.
            now: Time at which the head of the answer came.
        """
        self._limit_s = limit_s
        self._until = now + limit_s

    def progressed(self, now: float) -> None:
        """Begins a new interval."""
        self._until = now + self._limit_s

    def left_s(self, now: float) -> float:
        """Returns the time that is left for progress."""
        return max(0.0, self._until - now)


class BodyPace(Pace):
    """Pace of a body that is held whole: some bytes are progress, single ones are not."""

    def __init__(self, limit_s: float, now: float) -> None:
        super().__init__(limit_s, now)
        self._size = 0
        self._since_progress = 0

    def received(self, size: int, now: float) -> None:
        """Counts a part of the body."""
        self._size += size
        self._since_progress += size
        if self._since_progress >= MIN_PROGRESS_BYTES:
            self._since_progress = 0
            self.progressed(now)

    @property
    def too_large(self) -> bool:
        """Whether the body exceeds the bound."""
        return self._size > MAX_ANSWER_BYTES
