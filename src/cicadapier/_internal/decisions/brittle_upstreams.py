"""How often routers try an upstream that falls over when it rejects too many requests.

Load pattern: room is short, and many routers each believe that an upstream has some left. All of
them try it, again and again; an upstream that has to reject too many requests in a second falls
over, its share goes to the others, and they fall in turn.
"""

import dataclasses

from cicadapier._internal.models import ids

# Share of the rejections that an upstream bears that all routers together may cause.
CAUSED_SHARE = 0.25
# An upstream may bear fewer than it says, or none; it gets a request now and then all the same.
LEAST_PER_S = 0.5
MIN_INTERVAL_S = 0.5
MAX_INTERVAL_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Brittleness:
    """What an incarnation of an upstream bears.

    Attributes:
        incarnation: The incarnation.
        per_s: Rejections per second beyond which it falls over; None if it cannot be read.
    """

    incarnation: ids.Incarnation
    per_s: float | None


class BrittleUpstreams:
    """The upstreams that are brittle now, as they say themselves."""

    def __init__(self) -> None:
        self._upstreams: dict[ids.UpstreamId, Brittleness] = {}

    def find(self, upstream: ids.UpstreamId, incarnation: ids.Incarnation) -> Brittleness | None:
        """Returns what an incarnation bears; None if it is not known to be brittle."""
        known = self._upstreams.get(upstream)
        return known if known and known.incarnation == incarnation else None

    def record(self, upstream: ids.UpstreamId, brittleness: Brittleness) -> bool:
        """Records what an upstream bears; returns whether that is news."""
        is_news = self._upstreams.get(upstream) != brittleness
        self._upstreams[upstream] = brittleness
        return is_news

    def remove(self, upstream: ids.UpstreamId, incarnation: ids.Incarnation) -> bool:
        """Records that an incarnation is not brittle; returns whether that is news."""
        if self.find(upstream, incarnation) is None:
            return False
        del self._upstreams[upstream]
        return True

    def retain(self, upstreams: frozenset[ids.UpstreamId]) -> None:
        """Forgets all other upstreams."""
        for upstream in self._upstreams.keys() - upstreams:
            del self._upstreams[upstream]


def try_interval_s(per_s: float | None, routers: int, draw: float) -> float:
    """Returns after how long a router tries one more request at an upstream that rejected one.

    If all routers try it at this interval, they cause `CAUSED_SHARE` of the rejections that it
    bears. Random parts keep them from trying at one moment.

    Args:
        per_s: Rejections per second that the upstream bears; None if they cannot be read.
        routers: Number of routers, with this one.
        draw: Random number from 0 to 1.
    """
    caused_per_s = max(LEAST_PER_S, CAUSED_SHARE * (per_s or 0.0))
    mean_s = max(1, routers) / caused_per_s
    return min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, mean_s * (0.5 + draw)))
