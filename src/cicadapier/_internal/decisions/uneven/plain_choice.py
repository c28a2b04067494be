"""Choice between upstreams of a plain service on which work takes unequally long.

Load pattern: many routers hear at the same time that one upstream has become fast, and none of them
knows what the others send there. Were each of them to choose the least expected time, all requests
would go to that upstream. Here a request draws two upstreams by the hash of its id, one with a
chance in proportion to its speed and one by its declared weight, and takes the one with the lesser
expected time. Whatever routers believe of their queues, a fast upstream thus gets at most the sum
of its shares by speed and by weight, and a slow one is drawn often enough to be heard of.
"""

import bisect
import collections.abc
import dataclasses
import hashlib
import itertools

from cicadapier._internal.models import ids

# A nearby upstream is taken if its expected time exceeds that of the drawn one by no more.
NEARBY_FACTOR = 1.25
_DRAW_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may get a request.

    Attributes:
        upstream: Upstream id.
        running: Estimated number of requests there.
        weight: Share of the usual work that it is declared to take; positive.
        slowness: How long work takes there; 1.0 as usual.
        distance_s: Network latency to it.
    """

    upstream: ids.UpstreamId
    running: int
    weight: float
    slowness: float
    distance_s: float

    @property
    def speed(self) -> float:
        """Work that it does in the time in which a usual upstream does 1.0."""
        return self.weight / self.slowness

    @property
    def expected_time(self) -> float:
        """Time to finish one more request beside those there, in times of a usual request."""
        return (self.running + 1) / self.speed


def choose(
    candidates: collections.abc.Sequence[Candidate], usual: float, request: ids.RequestId
) -> Candidate:
    """Returns the upstream for a request.

    Args:
        candidates: The upstreams that may get it, at least one, in any fixed order.
        usual: Usual slowness of the pool's upstreams.
        request: Id of the request.
    """
    drawn = min(_draw(candidates, request), key=lambda c: (c.expected_time, c.distance_s))
    # The nearest upstreams take part without a draw, but not for being faster than usual: the
    # routers beside one that has become fast would all choose it.
    nearby = [c for c in candidates if c.distance_s < drawn.distance_s]
    if not nearby:
        return drawn
    near = min(nearby, key=lambda c: (_modest_time(c, usual), c.distance_s))
    is_close = _modest_time(near, usual) <= NEARBY_FACTOR * drawn.expected_time
    return near if is_close else drawn


def _modest_time(candidate: Candidate, usual: float) -> float:
    """Returns the expected time at an upstream, counted as no faster than usual."""
    return (candidate.running + 1) * max(usual, candidate.slowness) / candidate.weight


def _draw(
    candidates: collections.abc.Sequence[Candidate], request: ids.RequestId
) -> list[Candidate]:
    digest = hashlib.blake2b(request.encode(), digest_size=2 * _DRAW_BYTES).digest()
    speeds = [candidate.speed for candidate in candidates]
    weights = [candidate.weight for candidate in candidates]
    return [
        candidates[_draw_index(speeds, digest[:_DRAW_BYTES])],
        candidates[_draw_index(weights, digest[_DRAW_BYTES:])],
    ]


def _draw_index(chances: collections.abc.Sequence[float], raw: bytes) -> int:
    sums = list(itertools.accumulate(chances))
    fraction = int.from_bytes(raw, "big") / 256 ** len(raw)
    return min(bisect.bisect_right(sums, fraction * sums[-1]), len(sums) - 1)
