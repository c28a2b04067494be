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
DOMAIN_ROUND_S = 0.2
DOMAIN_FANOUT = 8  # Routers of the own failure domain that are told in one round.
MIN_DOMAIN_RESEND_S = 1.5
DOMAIN_RESEND_ROTATIONS = 3  # Datagrams may be lost, so each placement is told in a few turns.
PLATFORM_READERS = 2
READER_POLL_S = 0.5
OTHER_POLL_S = 15.0
MAX_FULLY_WATCHED_UPSTREAMS = 64
WATCHERS_PER_UPSTREAM = 2


@dataclasses.dataclass(frozen=True, slots=True)
class GossipRounds:
    """Rounds of gossip.

    Attributes:
        period_s: Time between rounds.
        fanout: Peers told in a round.
        urgent: Whether large placements are told before the next round.
        shares_traffic: Whether the rounds carry the traffic that a router has sent to upstreams.
        resend_rounds: Rounds for which a placement is told.
    """

    period_s: float
    fanout: int
    urgent: bool
    shares_traffic: bool
    resend_rounds: float = 10.0


def gossip_rounds(routers: int) -> GossipRounds:
    """Returns the rounds for a number of routers, this one among them."""
    if routers <= SMALL_FLEET:
        return GossipRounds(SMALL_ROUND_S, SMALL_FANOUT, urgent=True, shares_traffic=True)
    return GossipRounds(LARGE_ROUND_S, LARGE_FANOUT, urgent=False, shares_traffic=False)


def sparse_gossip_rounds(routers: int) -> GossipRounds:
    """Returns the rounds where bytes between failure domains are dear."""
    if routers <= SMALL_FLEET:
        return GossipRounds(
            SPARSE_ROUND_S, SMALL_FANOUT, urgent=False, shares_traffic=True, resend_rounds=2.5
        )
    return GossipRounds(LARGE_ROUND_S, LARGE_FANOUT, urgent=False, shares_traffic=False)


def sends_to_domain(gossip: GossipRounds, domain_peers: collections.abc.Sized) -> bool:
    """Returns whether a router tells those of its failure domain at once what it has sent.

    Args:
        gossip: The rounds of the whole fleet, in which that may be told anyway.
        domain_peers: The other reachable routers of its failure domain.
    """
    return not gossip.shares_traffic and len(domain_peers) > 0


def domain_period_s(domain_peers: collections.abc.Sized) -> float:
    """Returns the time in which all routers of a failure domain are told.

    A router's share of the traffic stays the same however many there are.

    Args:
        domain_peers: The other reachable routers of the failure domain.
    """
    return DOMAIN_ROUND_S * math.ceil(len(domain_peers) / DOMAIN_FANOUT)


def domain_resend_s(domain_peers: collections.abc.Sized) -> float:
    """Returns for how long a placement is told within a failure domain."""
    return max(MIN_DOMAIN_RESEND_S, DOMAIN_RESEND_ROTATIONS * domain_period_s(domain_peers))


class DomainRotation:
    """Which routers of the own failure domain are told in the next round."""

    def __init__(self) -> None:
        self._next_index = 0
        self._remaining = 0

    @property
    def has_pending(self) -> bool:
        """Whether some routers have not been told the last news."""
        return self._remaining > 0

    def schedule_all(self, domain_peers: collections.abc.Sized) -> None:
        """Notes that there is something to tell to all of them."""
        self._remaining = len(domain_peers)

    def next_batch(self, domain_peers: collections.abc.Sequence[ids.Address]) -> list[ids.Address]:
        """Returns the routers that are told now."""
        count = min(DOMAIN_FANOUT, self._remaining, len(domain_peers))
        self._remaining = max(0, min(self._remaining, len(domain_peers)) - count)
        batch = [
            domain_peers[(self._next_index + offset) % len(domain_peers)] for offset in range(count)
        ]
        self._next_index = (self._next_index + count) % len(domain_peers) if domain_peers else 0
        return batch


def platform_poll_s(own: ids.VmId, domain_peers: collections.abc.Iterable[ids.VmId]) -> float:
    """Returns how often a router reads the platform.

    Args:
        own: The router's VM.
        domain_peers: Reachable routers of its failure domain. The first few of them by hash read
            often; the others learn from them and read rarely.
    """
    routers = sorted({own, *domain_peers}, key=_hash)
    return READER_POLL_S if own in routers[:PLATFORM_READERS] else OTHER_POLL_S


def should_watch(
    own: ids.VmId,
    domain_peers: collections.abc.Collection[ids.VmId],
    upstream: ids.UpstreamId,
    upstreams: int,
) -> bool:
    """Returns whether a router watches an upstream's load and cache events.

    Args:
        own: The router's VM.
        domain_peers: Reachable routers of its failure domain.
        upstream: The upstream.
        upstreams: Number of upstreams of the pool in the failure domain. Few are watched by all;
            of many, each is watched by a few routers, chosen by hash.
    """
    if upstreams <= MAX_FULLY_WATCHED_UPSTREAMS:
        return True
    routers = sorted({own, *domain_peers}, key=lambda vm: _hash(ids.VmId(f"{vm}/{upstream}")))
    return own in routers[:WATCHERS_PER_UPSTREAM]


def should_follow_cache_events(upstreams: int) -> bool:
    """Returns whether the cache events of a pool's upstreams are followed.

    Args:
        upstreams: Number of upstreams of the pool. In a large pool the events would cost more than
            all else that a router does; the answers' own counts of cached tokens take their place.
    """
    return upstreams <= MAX_FULLY_WATCHED_UPSTREAMS


def _hash(name: ids.VmId) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
