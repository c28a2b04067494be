"""Rate limits that upstreams name for all routers together.

It answers upstreams in need: they name the requests a second that they take from all routers,
with every answer, for as long as that holds. The newest word wins, whoever heard it.
"""

import collections.abc
import dataclasses
import math

from cicadapier._internal.models import ids

SHARE_WITH_PEERS_S = 10.0  # Peers are told for so long what this router itself has heard.
# An upstream that names less, or nothing at all, still has to be asked now and then, because only
# its answers tell that the limit is over.
MIN_PER_S = 0.2
RESUME_SPREAD_S = 1.0  # Routers take up an upstream whose limit is over within this time.
MAX_NOTICES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncedLimit:
    """What one start of an upstream has said of its limit.

    Attributes:
        upstream: The upstream.
        incarnation: Its start.
        per_s: Requests a second that it takes from all routers together, None for any number.
        announced_at: Time at which it said so.
        direct: Whether this router has heard it itself.
    """

    upstream: ids.UpstreamId
    incarnation: ids.Incarnation
    per_s: float | None
    announced_at: float
    direct: bool = True

    @property
    def allowed_per_s(self) -> float:
        """Requests a second that the routers may send together."""
        return math.inf if self.per_s is None else max(MIN_PER_S, self.per_s)


@dataclasses.dataclass(frozen=True, slots=True)
class LimitNotice:
    """What one router tells another of an upstream's limit.

    Attributes:
        upstream: The upstream.
        incarnation: Its start.
        per_s: Requests a second that it takes from all routers together, None for any number.
        age_s: Time since it said so.
    """

    upstream: ids.UpstreamId
    incarnation: ids.Incarnation
    per_s: float | None
    age_s: float

    def to_limit(self, now: float) -> AnnouncedLimit:
        """Returns it as the router knows it that has been told."""
        age_s = self.age_s if self.age_s >= 0 else math.inf
        return AnnouncedLimit(
            self.upstream, self.incarnation, self.per_s, now - age_s, direct=False
        )


def make_notice(limit: AnnouncedLimit, now: float) -> LimitNotice:
    """Returns what another router is told of a limit."""
    age_s = max(0.0, now - limit.announced_at)
    return LimitNotice(limit.upstream, limit.incarnation, limit.per_s, age_s)


def lowest_rate(raw: collections.abc.Iterable[str]) -> float | None:
    """Returns the least of the rates that an answer names, None where none can be read."""
    rates = [rate for item in raw if (rate := _parse_rate(item)) is not None]
    return min(rates, default=None)


class AnnouncedLimits:
    """The newest that this router knows of each upstream's limit."""

    def __init__(self) -> None:
        self._limits: dict[ids.UpstreamId, AnnouncedLimit] = {}

    def find(self, upstream: ids.UpstreamId) -> AnnouncedLimit | None:
        """Returns the limit that an upstream has in force, None where it has none."""
        found = self._limits.get(upstream)
        return found if found and found.per_s is not None else None

    def latest(self, upstream: ids.UpstreamId) -> AnnouncedLimit | None:
        """Returns what was heard last of an upstream's limit, also that it is over."""
        return self._limits.get(upstream)

    def in_force(self) -> list[AnnouncedLimit]:
        """Returns all limits that are in force."""
        return [limit for limit in self._limits.values() if limit.per_s is not None]

    def update(self, limit: AnnouncedLimit) -> bool:
        """Takes what an upstream has said; returns whether another limit is in force now."""
        known = self._limits.get(limit.upstream)
        if known is None and limit.per_s is None:
            return False
        if known is not None and known.announced_at > limit.announced_at:
            return False
        self._limits[limit.upstream] = limit
        if known is None or known.incarnation != limit.incarnation:
            return True
        return known.per_s != limit.per_s

    def notices(self, now: float) -> tuple[LimitNotice, ...]:
        """Returns what the peers are to be told, newest first.

        What others have told is not passed on: on each hop it would look younger than it is.
        """
        recent = [
            x
            for x in self._limits.values()
            if x.direct and now - x.announced_at < SHARE_WITH_PEERS_S
        ]
        recent.sort(key=lambda limit: limit.announced_at, reverse=True)
        return tuple(make_notice(limit, now) for limit in recent[:MAX_NOTICES])

    def retain(self, upstreams: collections.abc.Container[ids.UpstreamId]) -> None:
        """Drops all upstreams but these."""
        for upstream in [u for u in self._limits if u not in upstreams]:
            del self._limits[upstream]


def _parse_rate(raw: str) -> float | None:
    try:
        rate = float(raw)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None
