"""Upstreams that have asked routers to back off, or have said that they are leaving.

It answers planned stops and engines that turn work away: an answer says so before the directory
does, and also while the directory cannot be read. A pause ends by itself; a withdrawal ends only
with the next start of the upstream.
"""

import collections.abc
import dataclasses
import math

from cicadapier._internal.models import ids

DEFAULT_PAUSE_S = 1.0  # Where the upstream's own time cannot be read.
MAX_PAUSE_S = 60.0  # A longer one is more likely a fault.
MAX_WITHDRAWALS = 128
# Pauses that end together for many routers end spread over this share of their length.
RESUME_JITTER_SHARE = 0.1


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
        # Oldest first. Several starts of one upstream may be told of, in any order.
        self._withdrawals: dict[Withdrawal, None] = {}
        self._paused_until: dict[ids.UpstreamId, float] = {}

    def add(self, withdrawal: Withdrawal) -> bool:
        """Records that an upstream is leaving; returns whether that is news."""
        if withdrawal in self._withdrawals:
            return False
        self._withdrawals[withdrawal] = None
        while len(self._withdrawals) > MAX_WITHDRAWALS:
            del self._withdrawals[next(iter(self._withdrawals))]
        return True

    def is_leaving(self, upstream: ids.UpstreamId, incarnation: ids.Incarnation) -> bool:
        """Returns whether this start of an upstream is leaving."""
        return Withdrawal(upstream, incarnation) in self._withdrawals

    def all(self) -> tuple[Withdrawal, ...]:
        """Returns all withdrawals."""
        return tuple(self._withdrawals)

    def pause(self, upstream: ids.UpstreamId, until: float) -> None:
        """Backs off from an upstream until a time; a longer pause stands."""
        self._paused_until[upstream] = max(until, self._paused_until.get(upstream, -math.inf))

    def is_paused(self, upstream: ids.UpstreamId, now: float) -> bool:
        """Returns whether routers are to back off from an upstream now."""
        return now < self._paused_until.get(upstream, -math.inf)

    def keep_only(self, upstreams: collections.abc.Set[ids.UpstreamId]) -> None:
        """Drops all upstreams but these."""
        for withdrawal in [w for w in self._withdrawals if w.upstream not in upstreams]:
            del self._withdrawals[withdrawal]
        for upstream in self._paused_until.keys() - upstreams:
            del self._paused_until[upstream]
