"""Whether an answer makes progress, by what its caller can use of it.

It answers upstreams that are not silent and never finish: bytes that complete no event, a byte now
and then, bodies beyond all bounds. A slow answer that brings enough in each interval goes on.
"""

MAX_ANSWER_BYTES = 16_777_216  # Of an answer that is held whole.
MIN_PROGRESS_BYTES = 256


class ProgressDeadline:
    """Deadline for the next progress, which begins anew with each."""

    def __init__(self, timeout_s: float, now: float) -> None:
        """Starts the first interval.

        Args:
            timeout_s: Longest time without progress.
            now: Time at which the head of the answer came.
        """
        self._timeout_s = timeout_s
        self._deadline = now + timeout_s

    def record_progress(self, now: float) -> None:
        """Begins a new interval."""
        self._deadline = now + self._timeout_s

    def remaining_s(self, now: float) -> float:
        """Returns the time that is left for progress."""
        return max(0.0, self._deadline - now)


class BodyProgressDeadline(ProgressDeadline):
    """Pace of a body that is held whole: some bytes are progress, single ones are not."""

    def __init__(self, timeout_s: float, now: float) -> None:
        super().__init__(timeout_s, now)
        self._size = 0
        self._bytes_since_progress = 0

    def record_received(self, size: int, now: float) -> None:
        """Counts a part of the body."""
        self._size += size
        self._bytes_since_progress += size
        if self._bytes_since_progress >= MIN_PROGRESS_BYTES:
            self._bytes_since_progress = 0
            self.record_progress(now)

    @property
    def is_too_large(self) -> bool:
        """Whether the body exceeds the bound."""
        return self._size > MAX_ANSWER_BYTES
