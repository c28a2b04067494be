"""How old a target weights version may be when a router learns it.

The store does not tell when a target was set, so its age follows from the answers of a watch: it
was set after the last time at which the watch would have shown it. While the process stands still,
answers wait to be read, so a target that it reads then may be as old as that time.
"""

import math

# Maximum age assumed for a target that was set before the watch got its first answer or while it
# got none. The rest of the time in which requests may start on older weights remains for updating
# the engines.
MAX_ASSUMED_AGE_S = 4.4
MAX_PAUSE_S = 0.5  # A process that was not awake for longer has stood still.


class LearnedAge:
    """Age of the targets that the next answer of a watch shows.

    All times come from a clock that also advances while the VM is suspended.
    """

    def __init__(self) -> None:
        self._is_current = False  # Whether the watch would have shown older targets before.
        self._current_until = -math.inf  # The same until then, if it is not current now.
        self._assumed_set_at = 0.0
        self._awake_at = math.inf
        self._resumed_at = -math.inf

    def record_awake(self, now: float) -> None:
        """Records that the process is running; call it much more often than `MAX_PAUSE_S`."""
        if now - self._awake_at > MAX_PAUSE_S:
            self._resumed_at = now
            if self._is_current:
                self._is_current = False
                self._current_until = self._awake_at
        self._awake_at = now

    def record_answer(self, queried_at: float, now: float) -> None:
        """Records an answer of the watch; call it before its targets are handled.

        Args:
            queried_at: Time just before the query was sent.
            now: Current time.
        """
        self.record_awake(now)
        # After unanswered queries, a target may have been set at any time since the last answer.
        earliest = max(self._current_until, now - MAX_ASSUMED_AGE_S)
        self._assumed_set_at = now if self._is_current else earliest
        if queried_at >= self._resumed_at:
            self._is_current = True
            self._current_until = now

    def record_failure(self) -> None:
        """Records that a query of the watch was not answered."""
        self._is_current = False

    def age_s(self, now: float) -> float:
        """Returns the maximum age of the targets that the last answer shows, in seconds."""
        return now - self._assumed_set_at
