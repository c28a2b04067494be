"""Age of the latest proof that a router has the newest configuration.

A key that an operator revokes must stop working on every router within a bounded time, even on a
router that cannot receive the change. A router therefore serves requests that use keys only while
it has proof, younger than that bound, that no newer configuration exists.
"""

import math


class Freshness:
    """Age of the proof that one watched document is up to date.

    All times come from a clock that continues while the VM is suspended.
    """

    def __init__(self, max_age_s: float) -> None:
        self._max_age_s = max_age_s
        self._proved_at = -math.inf

    def record_proof(self, queried_at: float) -> None:
        """Records an answer from the source.

        Args:
            queried_at: Time just before the source was queried. The answer may have been delayed,
                so it proves nothing about later times.
        """
        self._proved_at = max(self._proved_at, queried_at)

    def age_s(self, now: float) -> float:
        """Returns the age of the newest proof; infinite without one."""
        return now - self._proved_at

    def is_fresh(self, now: float) -> bool:
        """Returns whether the proof is younger than the maximum age."""
        return self.age_s(now) < self._max_age_s
