"""Times by which a process that stops has to end.

Load pattern: the settings change while the process runs, with or without a signal, and may change
once more while it stops. The platform kills the process by the grace time that it knows.
"""

import math


class StopTimes:
    """The one place that knows until when a process may run.

    All times are those of trio's clock, in seconds, and infinite until the process is stopped.
    """

    def __init__(self, limit_s: float) -> None:
        """Creates them.

        Args:
            limit_s: Time from the stop signal until the process ends by itself.
        """
        self._limit_s = limit_s
        self._stopped_at = math.inf
        self._shortest_s = limit_s
        self._longest_s = limit_s

    @property
    def is_stopping(self) -> bool:
        """Whether the process was asked to stop."""
        return self._stopped_at < math.inf

    def set_limit(self, limit_s: float) -> None:
        """Takes over a changed limit.

        Nobody tells whether the platform kills a process that is stopping by the limit of the stop
        signal or by a later one, so both are kept from then on.
        """
        self._limit_s = limit_s
        if self.is_stopping:
            self._shortest_s = min(self._shortest_s, limit_s)
            self._longest_s = max(self._longest_s, limit_s)

    def stop(self, now: float) -> None:
        """Records the stop signal; further ones change nothing."""
        if self.is_stopping:
            return
        self._stopped_at = now
        self._shortest_s = self._longest_s = self._limit_s

    @property
    def earliest_end(self) -> float:
        """Time by which the process may have to end: what cannot end by then must not begin."""
        return self._stopped_at + self._shortest_s

    @property
    def latest_end(self) -> float:
        """Time at which the process ends: what has begun may go on until then."""
        return self._stopped_at + self._longest_s
