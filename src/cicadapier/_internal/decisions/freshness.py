"""Age of the proof that a router's configuration is the newest.

A key that an operator takes away must stop working within a bound on every router, also on one
that cannot hear of it. So a router serves keyed requests only while it has proof, younger than
that bound, that no newer configuration exists.
"""

import math


class Freshness:
    """Proof of one watched document.

    All times are of a clock that counts while the VM is suspended.
    """

    def __init__(self, max_age_s: float) -> None:
        self._max_age_s = max_age_s
        self._proved_at = -math.inf

    def record_proof(self, queried_at: float) -> None:
        """Records an answer of the source.

        Args:
            queried_at: Time just before the source was asked; the answer may have been long on its
                way, so it proves nothing later than that.
        """
        self._proved_at = max(self._proved_at, queried_at)

    def age_s(self, now: float) -> float:
        """Returns the age of the newest proof, infinite where there is none."""
        return now - self._proved_at

    def is_fresh(self, now: float) -> bool:
        """Returns whether the proof is young enough."""
        return self.age_s(now) < self._max_age_s
