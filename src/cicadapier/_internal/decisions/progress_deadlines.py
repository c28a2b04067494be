"""Deadlines by which an answer has to make progress that is usable by its caller.

They guard against upstreams that keep sending but never finish: bytes that do not complete an
event, single bytes at long intervals, bodies of unlimited size. A slow answer may continue as
long as it delivers enough in each interval.
"""

MAX_ANSWER_BYTES = 16_777_216  # Maximum size of an answer that is buffered in full.
MIN_PROGRESS_BYTES = 256


class ProgressDeadline:
    """Deadline for the next progress; each progress restarts the interval."""

    def __init__(self, timeout_s: float, now: float) -> None:
        """Starts the first interval.

        Args:
            timeout_s: Maximum time without progress.
            now: Time at which the head of the answer arrived.
        """
        self._timeout_s = timeout_s
        self._deadline = now + timeout_s

    def record_progress(self, now: float) -> None:
        """Records progress, which starts a new interval."""
        self._deadline = now + self._timeout_s

    def remaining_s(self, now: float) -> float:
        """Returns the time until the deadline, zero if it has passed."""
        return max(0.0, self._deadline - now)


class BodyProgressDeadline(ProgressDeadline):
    """Progress deadline of a body that is buffered in full.

    Every `MIN_PROGRESS_BYTES` bytes count as progress; single bytes do not.
    """

    def __init__(self, timeout_s: float, now: float) -> None:
        super().__init__(timeout_s, now)
        self._size = 0
        self._bytes_since_progress = 0

    def record_received(self, size: int, now: float) -> None:
        """Counts the bytes of a received part of the body."""
        self._size += size
        self._bytes_since_progress += size
        if self._bytes_since_progress >= MIN_PROGRESS_BYTES:
            self._bytes_since_progress = 0
            self.record_progress(now)

    @property
    def is_too_large(self) -> bool:
        """Whether the body exceeds the maximum size."""
        return self._size > MAX_ANSWER_BYTES
