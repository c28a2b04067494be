"""How often a router talks to its peers and to the platform, by the size of the fleet.

A small fleet tells everything to everybody at once. In a large one a router's share of the control
traffic stays the same however many routers there are, so rounds are rarer and news that only
some routers can use is left out. Routers of one failure domain place on the same upstreams,
those of their own domain, so a few of them tell each other at once what they have sent in a fleet
of any size.
"""

import collections.abc
import dataclasses
import hashlib

from cicadapier._internal.models import ids

SMALL_FLEET = 8
SMALL_ROUND_S = 0.1
LARGE_ROUND_S = 1.0
SPARSE_ROUND_S = 0.5
SMALL_FANOUT = 3
LARGE_FANOUT = 1
NEAR_ROUTERS = 16
NEAR_EXCHANGES_PER_S = 20.0
NEAR_MEMORY_S = 1.5
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
    return not told.direct and 0 < len(domain) < NEAR_ROUTERS


def near_period_s(domain: collections.abc.Sized) -> float:
    """Returns the least time between two rounds within a failure domain.

    A router's share of the traffic stays the same however many there are.

    Args:
        domain: The other reachable routers of the failure domain.
    """
    return len(domain) / NEAR_EXCHANGES_PER_S


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
