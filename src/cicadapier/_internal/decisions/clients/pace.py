"""When requests that were sent ahead may begin, so that they leave time for those of others.

Load pattern: a crowd of clients sends many cheap requests ahead on each connection. Without a pace,
the router does little else than to answer them, and the requests of ordinary callers, which take
many steps, come too late.
"""

import math


class Pace:
    """Spreads beginnings over time, after a burst that is free."""

    def __init__(self, burst: int) -> None:
        """Creates it.

        Args:
            burst: Number of beginnings that need not wait after a pause.
        """
        self._burst = burst
        self._next_at = -math.inf

    def reserve(self, now: float, per_s: float) -> float:
        """Returns the time at which the next request may begin; each call reserves a beginning.

        Args:
            now: Current time.
            per_s: Number of beginnings per second.
        """
        interval_s = 1 / per_s
        self._next_at = max(self._next_at, now - self._burst * interval_s) + interval_s
        return max(now, self._next_at)
