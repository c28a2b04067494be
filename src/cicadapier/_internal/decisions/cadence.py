"""How often a router contacts its peers and the platform, depending on the size of the fleet.

In a small fleet, each router sends all updates to all others promptly. In a large fleet, the
control traffic of one router must not grow with the number of routers, so rounds are less frequent
and updates that only some routers can use are left out. Routers of one failure domain place
requests on the same upstreams, those of their own domain. They therefore send each other their
placements in a fleet of any size: to all of the domain at once if they are few, in rotation if
they are many.
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
DOMAIN_FANOUT = 8  # Peers in the router's failure domain that receive an update in one round.
MIN_DOMAIN_RESEND_S = 1.5
DOMAIN_RESEND_ROTATIONS = 3  # Each placement is sent repeatedly because datagrams may be lost.
PLATFORM_READERS = 2
READER_POLL_S = 0.5
OTHER_POLL_S = 15.0
MAX_FULLY_WATCHED_UPSTREAMS = 64
WATCHERS_PER_UPSTREAM = 2


@dataclasses.dataclass(frozen=True, slots=True)
class GossipRounds:
    """Frequency and content of the gossip rounds.

    Attributes:
        period_s: Time between rounds.
        fanout: Peers contacted in a round.
        urgent: Whether a large placement starts a round early.
        shares_traffic: Whether the rounds carry what a router has sent to which upstreams, which
            is useful if all routers place on the same upstreams.
        resend_rounds: Number of rounds in which a placement is sent.
    """

    period_s: float
    fanout: int
    urgent: bool
    shares_traffic: bool
    resend_rounds: float = 10.0


def gossip_rounds(routers: int) -> GossipRounds:
    """Returns the gossip rounds for a number of routers, including this one."""
    if routers <= SMALL_FLEET:
        return GossipRounds(SMALL_ROUND_S, SMALL_FANOUT, urgent=True, shares_traffic=True)
    return GossipRounds(LARGE_ROUND_S, LARGE_FANOUT, urgent=False, shares_traffic=False)


def sparse_gossip_rounds(routers: int) -> GossipRounds:
    """Returns the gossip rounds for a site where traffic between failure domains is expensive."""
    if routers <= SMALL_FLEET:
        return GossipRounds(
            SPARSE_ROUND_S, SMALL_FANOUT, urgent=False, shares_traffic=True, resend_rounds=2.5
        )
    return GossipRounds(LARGE_ROUND_S, LARGE_FANOUT, urgent=False, shares_traffic=False)


def sends_to_domain(rounds: GossipRounds, domain_peers: collections.abc.Sized) -> bool:
    """Returns whether a router sends its placements directly to the peers of its failure domain.

    Args:
        rounds: The gossip rounds of the whole fleet, which may carry the placements already.
        domain_peers: The other reachable routers of its failure domain.
    """
    return not rounds.shares_traffic and len(domain_peers) > 0


def domain_period_s(domain_peers: collections.abc.Sized) -> float:
    """Returns the time in which all routers of a failure domain receive an update.

    It grows with the number of routers, so that the traffic of one router does not.

    Args:
        domain_peers: The other reachable routers of the failure domain.
    """
    return DOMAIN_ROUND_S * math.ceil(len(domain_peers) / DOMAIN_FANOUT)


def domain_resend_s(domain_peers: collections.abc.Sized) -> float:
    """Returns for how long a placement is sent repeatedly within a failure domain."""
    return max(MIN_DOMAIN_RESEND_S, DOMAIN_RESEND_ROTATIONS * domain_period_s(domain_peers))


class DomainRotation:
    """Selects in rotation which peers of the failure domain receive an update in the next round."""

    def __init__(self) -> None:
        self._next_index = 0
        self._remaining = 0

    @property
    def has_pending(self) -> bool:
        """Whether some peers have not received the last update."""
        return self._remaining > 0

    def schedule_all(self, domain_peers: collections.abc.Sized) -> None:
        """Schedules an update to all peers; peers still pending are not counted twice."""
        self._remaining = len(domain_peers)

    def next_batch(self, domain_peers: collections.abc.Sequence[ids.Address]) -> list[ids.Address]:
        """Returns the peers that receive the update in this round."""
        count = min(DOMAIN_FANOUT, self._remaining, len(domain_peers))
        self._remaining = max(0, min(self._remaining, len(domain_peers)) - count)
        batch = [
            domain_peers[(self._next_index + offset) % len(domain_peers)] for offset in range(count)
        ]
        self._next_index = (self._next_index + count) % len(domain_peers) if domain_peers else 0
        return batch


def platform_poll_s(vm: ids.VmId, domain_peers: collections.abc.Iterable[ids.VmId]) -> float:
    """Returns the interval at which a router polls the platform.

    Args:
        vm: VM of the router.
        domain_peers: Reachable routers of its failure domain. The first few by hash poll often;
            the others get changes from them and poll rarely.
    """
    routers = sorted({vm, *domain_peers}, key=_hash)
    return READER_POLL_S if vm in routers[:PLATFORM_READERS] else OTHER_POLL_S


def should_watch(
    vm: ids.VmId,
    domain_peers: collections.abc.Collection[ids.VmId],
    upstream: ids.UpstreamId,
    upstreams: int,
) -> bool:
    """Returns whether a router watches the load and cache events of an upstream.

    Args:
        vm: VM of the router.
        domain_peers: Reachable routers of its failure domain.
        upstream: The upstream.
        upstreams: Number of upstreams of the pool in the failure domain. If there are few, all
            routers watch them; if there are many, a few routers chosen by hash watch each one.
    """
    if upstreams <= MAX_FULLY_WATCHED_UPSTREAMS:
        return True
    routers = sorted(
        {vm, *domain_peers}, key=lambda router: _hash(ids.VmId(f"{router}/{upstream}"))
    )
    return vm in routers[:WATCHERS_PER_UPSTREAM]


def should_follow_cache_events(upstreams: int) -> bool:
    """Returns whether routers follow the cache events of a pool's upstreams.

    Args:
        upstreams: Number of upstreams of the pool. In a large pool, processing the events would
            cost a router more than all its other work; the counts of cached tokens in the answers
            replace them.
    """
    return upstreams <= MAX_FULLY_WATCHED_UPSTREAMS


def _hash(name: ids.VmId) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
