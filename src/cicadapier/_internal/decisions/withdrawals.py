"""What upstreams say of the work that they want: none for a while, or none any more.

It answers planned stops and engines that turn work away: an answer says so before the directory
does, and also while the directory cannot be read. A pause ends by itself; a withdrawal ends only
with the next start of the upstream.
"""

import collections.abc
import dataclasses
import math

from cicadapier._internal.models import ids

DEFAULT_PAUSE_S = 1.0  # Where the upstream's own time cannot be read.
MAX_PAUSE_S = 60.0  # A longer one is more likely a fault than a wish.
# Pauses that end together for many routers end spread over this share of their length.
RETURN_SPREAD = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawal:
    """One start of an upstream that is leaving."""

    upstream: ids.UpstreamId
    incarnation: ids.Incarnation


def pause_s(asked_s: float | None) -> float:
    """Returns for how long to leave an upstream alone.

    Args:
        asked_s: Time that it asks for, None where that cannot be read.
    """
    if asked_s is None or not math.isfinite(asked_s) or asked_s < 0:
        return DEFAULT_PAUSE_S
    return min(asked_s, MAX_PAUSE_S)


class Withdrawals:
    """The pauses and withdrawals that this router knows of."""

    def __init__(self) -> None:
        self._leaving: dict[ids.UpstreamId, ids.Incarnation] = {}
        self._paused_until: dict[ids.UpstreamId, float] = {}

    def leave(self, withdrawal: Withdrawal) -> bool:
        """Records that an upstream is leaving; returns whether that is news."""
        if self.is_leaving(withdrawal.upstream, withdrawal.incarnation):
            return False
        self._leaving[withdrawal.upstream] = withdrawal.incarnation
        return True

    def is_leaving(self, upstream: ids.UpstreamId, incarnation: ids.Incarnation) -> bool:
        """Returns whether this start of an upstream is leaving."""
        return self._leaving.get(upstream) == incarnation

    def leaving(self) -> tuple[Withdrawal, ...]:
        """Returns all withdrawals."""
        return tuple(Withdrawal(u, incarnation) for u, incarnation in self._leaving.items())

    def pause(self, upstream: ids.UpstreamId, until: float) -> None:
        """Records that an upstream wants nothing until a time; a longer pause stands."""
        self._paused_until[upstream] = max(until, self._paused_until.get(upstream, -math.inf))

    def is_paused(self, upstream: ids.UpstreamId, now: float) -> bool:
        """Returns whether an upstream wants nothing now."""
        return now < self._paused_until.get(upstream, -math.inf)

    def keep_only(self, upstreams: collections.abc.Set[ids.UpstreamId]) -> None:
        """Drops all upstreams but these."""
        for upstream in self._leaving.keys() - upstreams:
            del self._leaving[upstream]
        for upstream in self._paused_until.keys() - upstreams:
            del self._paused_until[upstream]
