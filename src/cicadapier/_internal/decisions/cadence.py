"""How often a router talks to its peers and to the platform, by the size of the fleet.

A small fleet tells everything to everybody at once. In a large one a router's share of the control
traffic stays the same however many routers there are, so rounds are rarer and news that only
some routers can use is left out. Routers of one failure domain place on the same upstreams,
those of their own domain, so they tell each other what they have sent in a fleet of any size: a
few of them at once, many of them by turns.
"""

import collections.abc
import dataclasses
import hashlib
import math

from cicadapier._internal.models import ids

SMALL_FLEET = 8
SMALL_ROUND_S = 0.1
LARGE_ROUND_S = 1.0
SPARSE_ROUND_S = 0.5
SMALL_FANOUT = 3
LARGE_FANOUT = 1
NEAR_ROUND_S = 0.2
NEAR_FANOUT = 8  # Routers of the own failure domain that are told in one round.
MIN_NEAR_MEMORY_S = 1.5
NEAR_MEMORY_TURNS = 3  # Datagrams may be lost, so each placement is told in a few turns.
PLATFORM_READERS = 2
READER_POLL_S = 0.5
OTHER_POLL_S = 15.0
WATCH_ALL = 64
WATCHERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Rounds:
    """Rounds of gossip.

    Attributes:
        period_s: Time between rounds.
        fanout: Peers told in a round.
        urgent: Whether large placements are told before the next round.
        direct: Whether peers are told what was sent where, as all place on the same upstreams.
        memory_rounds: Rounds for which a placement is told.
    """

    period_s: float
    fanout: int
    urgent: bool
    direct: bool
    memory_rounds: float = 10.0


def rounds(routers: int) -> Rounds:
    """Returns the rounds for a number of routers, this one among them."""
    if routers <= SMALL_FLEET:
        return Rounds(SMALL_ROUND_S, SMALL_FANOUT, urgent=True, direct=True)
    return Rounds(LARGE_ROUND_S, LARGE_FANOUT, urgent=False, direct=False)


def sparse_rounds(routers: int) -> Rounds:
    """Returns the rounds where bytes between failure domains are dear."""
    if routers <= SMALL_FLEET:
        return Rounds(SPARSE_ROUND_S, SMALL_FANOUT, urgent=False, direct=True, memory_rounds=2.5)
    return Rounds(LARGE_ROUND_S, LARGE_FANOUT, urgent=False, direct=False)


def tells_near(told: Rounds, domain: collections.abc.Sized) -> bool:
    """Returns whether a router tells those of its failure domain at once what it has sent.

    Args:
        told: The rounds of the whole fleet, in which that may be told anyway.
        domain: The other reachable routers of its failure domain.
    """
    return not told.direct and len(domain) > 0


def near_period_s(domain: collections.abc.Sized) -> float:
    """Returns the time in which all routers of a failure domain are told.

    A router's share of the traffic stays the same however many there are.

    Args:
        domain: The other reachable routers of the failure domain.
    """
    return NEAR_ROUND_S * math.ceil(len(domain) / NEAR_FANOUT)


def near_memory_s(domain: collections.abc.Sized) -> float:
    """Returns for how long a placement is told within a failure domain."""
    return max(MIN_NEAR_MEMORY_S, NEAR_MEMORY_TURNS * near_period_s(domain))


class NearTurns:
    """Which routers of the own failure domain are told in the next round."""

    def __init__(self) -> None:
        self._turn = 0
        self._left = 0

    @property
    def pending(self) -> bool:
        """Whether some routers have not been told the last news."""
        return self._left > 0

    def news(self, domain: collections.abc.Sized) -> None:
        """Notes that there is something to tell to all of them."""
        self._left = len(domain)

    def next(self, domain: collections.abc.Sequence[ids.Address]) -> list[ids.Address]:
        """Returns the routers that are told now."""
        count = min(NEAR_FANOUT, self._left, len(domain))
        self._left = max(0, min(self._left, len(domain)) - count)
        found = [domain[(self._turn + step) % len(domain)] for step in range(count)]
        self._turn = (self._turn + count) % len(domain) if domain else 0
        return found


def platform_poll_s(own: ids.VmId, domain: collections.abc.Iterable[ids.VmId]) -> float:
    """Returns how often a router reads the platform.

    Args:
        own: The router's VM.
        domain: Reachable routers of its failure domain. The first few of them by hash read
            often; the others learn from them and read rarely.
    """
    members = sorted({own, *domain}, key=_hash)
    return READER_POLL_S if own in members[:PLATFORM_READERS] else OTHER_POLL_S


def watches(
    own: ids.VmId,
    domain: collections.abc.Collection[ids.VmId],
    upstream: ids.UpstreamId,
    upstreams: int,
) -> bool:
    """Returns whether a router watches an upstream's load and cache events.

    Args:
        own: The router's VM.
        domain: Reachable routers of its failure domain.
        upstream: The upstream.
        upstreams: Number of upstreams of the pool in the failure domain. Few are watched by all;
            of many, each is watched by a few routers, chosen by hash.
    """
    if upstreams <= WATCH_ALL:
        return True
    members = sorted({own, *domain}, key=lambda vm: _hash(ids.VmId(f"{vm}/{upstream}")))
    return own in members[:WATCHERS]


def follows_cache(upstreams: int) -> bool:
    """Returns whether the cache events of a pool's upstreams are followed.

    Args:
        upstreams: Number of upstreams of the pool. In a large pool the events would cost more than
            all else that a router does; the answers' own counts of cached tokens take their place.
    """
    return upstreams <= WATCH_ALL


def _hash(name: ids.VmId) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
