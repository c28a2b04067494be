"""Upstreams that have asked routers to back off or have announced that they are leaving.

This covers planned shutdowns and engines that reject requests. An upstream announces both in its
answers, which is earlier than its directory entry changes and also works while the directory cannot
be read. A pause ends by itself; a withdrawal ends only when the upstream restarts.
"""

import collections.abc
import dataclasses
import math

from cicadapier._internal.models import ids

DEFAULT_PAUSE_S = 1.0  # Used if the time that the upstream asks for cannot be read.
MAX_PAUSE_S = 60.0  # A request for a longer pause is more likely to be a fault.
MAX_WITHDRAWALS = 128  # Beyond this number, the oldest withdrawals are dropped.
# Each router extends a pause by a random part of up to this share of its length, so that routers do
# not all resume at once.
RESUME_JITTER_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawal:
    """An incarnation of an upstream that is leaving."""

    upstream: ids.UpstreamId
    incarnation: ids.Incarnation


def pause_s(asked_s: float | None) -> float:
    """Returns how long to send no requests to an upstream that asked for a pause.

    Args:
        asked_s: Time that the upstream asked for; None if it cannot be read.
    """
    if asked_s is None or not math.isfinite(asked_s) or asked_s < 0:
        return DEFAULT_PAUSE_S
    return min(asked_s, MAX_PAUSE_S)


class Withdrawals:
    """Pauses and withdrawals of upstreams that this router has received."""

    def __init__(self) -> None:
        # Oldest first. Withdrawals of several incarnations of one upstream may arrive in any order.
        self._withdrawals: dict[Withdrawal, None] = {}
        self._paused_until: dict[ids.UpstreamId, float] = {}

    def add(self, withdrawal: Withdrawal) -> bool:
        """Records that an upstream is leaving; returns whether this was not yet recorded."""
        if withdrawal in self._withdrawals:
            return False
        self._withdrawals[withdrawal] = None
        while len(self._withdrawals) > MAX_WITHDRAWALS:
            del self._withdrawals[next(iter(self._withdrawals))]
        return True

    def is_leaving(self, upstream: ids.UpstreamId, incarnation: ids.Incarnation) -> bool:
        """Returns whether this incarnation of an upstream is leaving."""
        return Withdrawal(upstream, incarnation) in self._withdrawals

    def all(self) -> tuple[Withdrawal, ...]:
        """Returns all withdrawals."""
        return tuple(self._withdrawals)

    def pause(self, upstream: ids.UpstreamId, until: float) -> None:
        """Pauses requests to an upstream until a time, unless a longer pause is in effect."""
        self._paused_until[upstream] = max(until, self._paused_until.get(upstream, -math.inf))

    def is_paused(self, upstream: ids.UpstreamId, now: float) -> bool:
        """Returns whether requests to an upstream are paused."""
        return now < self._paused_until.get(upstream, -math.inf)

    def keep_only(self, upstreams: collections.abc.Set[ids.UpstreamId]) -> None:
        """Discards the pauses and withdrawals of all other upstreams."""
        for withdrawal in [w for w in self._withdrawals if w.upstream not in upstreams]:
            del self._withdrawals[withdrawal]
        for upstream in self._paused_until.keys() - upstreams:
            del self._paused_until[upstream]
