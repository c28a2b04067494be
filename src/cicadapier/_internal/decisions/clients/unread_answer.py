"""When a client has stopped reading its answer.

Load pattern: clients read nothing of their answers, beside some who read slowly. The progress of a
slow reader shows in bursts, as its kernel announces room only once much of its buffer is free.
"""

CHECKS = 8  # Checks in a row without progress after which a client has stopped reading.


class UnreadAnswer:
    """What is left of an answer for the client to receive, from one check to the next.

    Checks are counted rather than timed, so that time in which the router stood still does not
    count against the client.
    """

    def __init__(self) -> None:
        self._left: int | None = None
        self._checks = 0

    @staticmethod
    def check_interval_s(timeout_s: float) -> float:
        """Returns the time between two checks.

        Args:
            timeout_s: Time after which a client that receives nothing has stopped reading.
        """
        return timeout_s / CHECKS

    def record_progress(self) -> None:
        """Records that the kernel has taken further data of the answer."""
        self._left = None
        self._checks = 0

    def has_stopped(self, left: int) -> bool:
        """Checks the client; returns whether it has stopped reading.

        Args:
            left: Number of bytes sent that the client's kernel has not received yet.
        """
        is_stalled = self._left is not None and left >= self._left
        self._checks = self._checks + 1 if is_stalled else 0
        self._left = left
        return self._checks >= CHECKS
