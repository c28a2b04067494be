"""Rate limits that upstreams announce for all routers together.

An overloaded upstream states in every response how many requests per second it accepts from all
routers, for as long as the limit applies. The most recent announcement wins, whether this router or
a peer received it.
"""

import collections.abc
import dataclasses
import math

from cicadapier._internal.models import ids

# An announcement that this router received from an upstream is sent to peers for this time.
SHARE_WITH_PEERS_S = 10.0
# An upstream that announces a lower rate, or zero, still gets a request now and then, because only
# its responses show that the limit has been lifted.
MIN_PER_S = 0.2
# After a limit is lifted, routers resume sending at random times within this time.
RESUME_SPREAD_S = 1.0
MAX_NOTICES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncedLimit:
    """Rate limit that one incarnation of an upstream has announced.

    Attributes:
        upstream: The upstream.
        incarnation: Its incarnation.
        per_s: Requests per second that it accepts from all routers together, None if unlimited.
        announced_at: Time of the announcement.
        direct: Whether this router received the announcement from the upstream itself.
    """

    upstream: ids.UpstreamId
    incarnation: ids.Incarnation
    per_s: float | None
    announced_at: float
    direct: bool = True

    @property
    def allowed_per_s(self) -> float:
        """Requests per second that all routers together may send."""
        return math.inf if self.per_s is None else max(MIN_PER_S, self.per_s)


@dataclasses.dataclass(frozen=True, slots=True)
class LimitNotice:
    """Rate limit of an upstream as routers send it to each other.

    Attributes:
        upstream: The upstream.
        incarnation: Its incarnation.
        per_s: Requests per second that it accepts from all routers together, None if unlimited.
        age_s: Time since the announcement.
    """

    upstream: ids.UpstreamId
    incarnation: ids.Incarnation
    per_s: float | None
    age_s: float

    def to_limit(self, now: float) -> AnnouncedLimit:
        """Returns the limit with its time on the receiving router's clock.

        An invalid age counts as infinite, so that the notice never replaces a known limit.
        """
        age_s = self.age_s if self.age_s >= 0 else math.inf
        return AnnouncedLimit(
            self.upstream, self.incarnation, self.per_s, now - age_s, direct=False
        )


def make_notice(limit: AnnouncedLimit, now: float) -> LimitNotice:
    """Returns the notice of a limit to send to other routers."""
    age_s = max(0.0, now - limit.announced_at)
    return LimitNotice(limit.upstream, limit.incarnation, limit.per_s, age_s)


def lowest_rate(raw: collections.abc.Iterable[str]) -> float | None:
    """Returns the lowest rate among header values, or None if none can be parsed."""
    rates = [rate for item in raw if (rate := _parse_rate(item)) is not None]
    return min(rates, default=None)


class AnnouncedLimits:
    """The most recent announcement that this router knows for each upstream."""

    def __init__(self) -> None:
        self._limits: dict[ids.UpstreamId, AnnouncedLimit] = {}

    def find(self, upstream: ids.UpstreamId) -> AnnouncedLimit | None:
        """Returns the limit in force for an upstream, or None if it has none."""
        limit = self._limits.get(upstream)
        return limit if limit and limit.per_s is not None else None

    def latest(self, upstream: ids.UpstreamId) -> AnnouncedLimit | None:
        """Returns the latest announcement of an upstream, even if it lifts the limit."""
        return self._limits.get(upstream)

    def in_force(self) -> list[AnnouncedLimit]:
        """Returns all limits in force."""
        return [limit for limit in self._limits.values() if limit.per_s is not None]

    def update(self, limit: AnnouncedLimit) -> bool:
        """Records an announcement; returns whether a different limit is in force now."""
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
        """Returns the notices to send to peers, newest first.

        Notices received from peers are not forwarded, because each hop would make them look younger
        than they are.
        """
        recent = [
            limit
            for limit in self._limits.values()
            if limit.direct and now - limit.announced_at < SHARE_WITH_PEERS_S
        ]
        recent.sort(key=lambda limit: limit.announced_at, reverse=True)
        return tuple(make_notice(limit, now) for limit in recent[:MAX_NOTICES])

    def notices_in_force(self, now: float) -> tuple[LimitNotice, ...]:
        """Returns notices of the limits in force, newest first, for a router that knows none.

        Those received from peers are among them; a message makes them look younger by the time that
        it is on its way, once for each start of a router.
        """
        found = sorted(self.in_force(), key=lambda limit: limit.announced_at, reverse=True)
        return tuple(make_notice(limit, now) for limit in found[:MAX_NOTICES])

    def retain(self, upstreams: collections.abc.Container[ids.UpstreamId]) -> None:
        """Drops all upstreams except the given ones."""
        for upstream in [u for u in self._limits if u not in upstreams]:
            del self._limits[upstream]


def _parse_rate(raw: str) -> float | None:
    try:
        rate = float(raw)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None
