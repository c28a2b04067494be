"""Age of the latest proof that a router has the newest configuration.

A key that an operator revokes must stop working on every router within a bounded time, even on a
router that cannot receive the change. A router therefore serves requests that use keys only while
it has proof, younger than that bound, that no newer configuration exists.

A store that is restored from an older copy may lack a change that an operator has made. A router
that had followed the store until then knew all changes but those of the last moment, and follows
the operator's repeated ones. One that had been out of touch may know nothing of a lost change, so
that answers prove nothing to it until operators have had time to repeat their changes.
"""

import math

# Time after a restore within which operators and upstreams repeat what the store has lost.
REPEATED_WITHIN_S = 2.0
# Time after a restore, or after the start of the router, in which a router whose configuration is
# older than that of a peer accepts no keys. Later, the number of a peer that nobody else knows is
# taken for a fault of the peer.
PEERS_KNOW_BETTER_S = 10.0


class Freshness:
    """Age of the proof that one watched document is up to date.

    All times come from a clock that continues while the VM is suspended.
    """

    def __init__(self, max_age_s: float, out_of_touch_s: float) -> None:
        """Creates it.

        Args:
            max_age_s: Maximum age of a proof.
            out_of_touch_s: Age of the newest proof from which on changes may have been missed that
                a restored store has lost.
        """
        self._max_age_s = max_age_s
        self._out_of_touch_s = out_of_touch_s
        self._proved_at = -math.inf
        self._proves_from = -math.inf

    def set_bounds(self, max_age_s: float, out_of_touch_s: float) -> None:
        """Replaces the bounds; the arguments are those of the constructor."""
        self._max_age_s = max_age_s
        self._out_of_touch_s = out_of_touch_s

    @property
    def proves_from(self) -> float:
        """Time from which a query has to be sent for its answer to be a proof."""
        return self._proves_from

    def begin_epoch(self, now: float) -> bool:
        """Records that the source has been restored from an older copy.

        Returns:
            Whether answers still are proofs.
        """
        if self.age_s(now) < self._out_of_touch_s:
            return True
        self._proves_from = now + REPEATED_WITHIN_S
        return False

    def record_proof(self, queried_at: float) -> None:
        """Records an answer from the source.

        Args:
            queried_at: Time just before the source was queried. The answer may have been delayed,
                so it proves nothing about later times.
        """
        if queried_at >= self._proves_from:
            self._proved_at = max(self._proved_at, queried_at)

    def age_s(self, now: float) -> float:
        """Returns the age of the newest proof; infinite without one."""
        return now - self._proved_at

    def is_fresh(self, now: float) -> bool:
        """Returns whether the proof is younger than the maximum age."""
        return self.age_s(now) < self._max_age_s


class PeerNumbers:
    """The highest configuration number that peers have named, for the time after a restore.

    All times come from a clock that continues while the VM is suspended.
    """

    def __init__(self, now: float) -> None:
        self._highest = 0
        self._believed_until = now + PEERS_KNOW_BETTER_S

    def begin_epoch(self, now: float) -> None:
        """Records that the source of the configurations has been restored from an older copy."""
        self._believed_until = now + PEERS_KNOW_BETTER_S

    def record(self, number: int) -> bool:
        """Records the number that a peer has named; returns whether it is the highest so far."""
        is_highest = number > self._highest
        self._highest = max(self._highest, number)
        return is_highest

    def know_better(self, number: int, now: float) -> bool:
        """Returns whether a peer has a newer configuration than the one with this number."""
        return self._highest > number and now < self._believed_until
