"""Which peers open a connection to an upstream for a router that does not reach it.

Load pattern: many routers lose their links at once, and the few that keep them carry the others'
connections beside those of their own callers. The load is spread over all of them.
"""

import collections.abc
import dataclasses
import math
import random

from cicadapier._internal.decisions import membership
from cicadapier._internal.models import ids

MAX_PEERS = 3  # Peers that are tried for one connection.
# Time for which a peer that could not open a connection to an upstream is not asked for it.
AVOIDED_S = 1.0
MAX_AVOIDED = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class TunnelPeer:
    """A peer that opens connections for others.

    Attributes:
        vm: VM of the peer.
        address: Address at which it accepts tunnels.
    """

    vm: ids.VmId
    address: ids.Address


def tunnel_peer(heartbeat: membership.Heartbeat) -> TunnelPeer | None:
    """Returns the peer that sent a heartbeat, or None if it opens no connections for others."""
    if not heartbeat.tunnel_port or heartbeat.leaving or heartbeat.links_lost:
        return None
    host = heartbeat.address.rpartition(":")[0]
    return TunnelPeer(heartbeat.vm, ids.Address(f"{host}:{heartbeat.tunnel_port}"))


class PeerChoice:
    """Chooses peers and remembers which could not reach which upstream."""

    def __init__(self, failure_domain: ids.FailureDomainId, rng: random.Random) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self._failed_at: dict[tuple[ids.VmId, ids.Address], float] = {}

    def choose(
        self,
        heartbeats: collections.abc.Iterable[membership.Heartbeat],
        upstream: ids.Address,
        now: float,
    ) -> list[TunnelPeer]:
        """Returns the peers to try in this order, those of the own failure domain first."""
        ranked = []
        for heartbeat in heartbeats:
            peer = tunnel_peer(heartbeat)
            if peer is None or now - self._failed(peer.vm, upstream) < AVOIDED_S:
                continue
            is_remote = heartbeat.failure_domain != self._failure_domain
            ranked.append((is_remote, self._rng.random(), peer))
        ranked.sort(key=lambda item: item[:2])
        return [peer for _, _, peer in ranked[:MAX_PEERS]]

    def record_failure(self, peer: ids.VmId, upstream: ids.Address, now: float) -> None:
        """Records that a peer could not open a connection to an upstream."""
        self._failed_at.pop((peer, upstream), None)
        if len(self._failed_at) >= MAX_AVOIDED:
            self._failed_at.pop(next(iter(self._failed_at)))
        self._failed_at[peer, upstream] = now

    def _failed(self, peer: ids.VmId, upstream: ids.Address) -> float:
        return self._failed_at.get((peer, upstream), -math.inf)
