"""Which peers open a connection to an upstream for a router that does not reach it.

Load pattern: many routers lose their links at once, and the few that keep them carry the others'
connections beside those of their own callers. The load is spread over all of them. Most routers may
have lost their links without knowing it yet, so a peer that has failed comes after all others.
"""

import collections.abc
import dataclasses
import math
import random
from typing import TypeVar

from cicadapier._internal.decisions import membership
from cicadapier._internal.models import ids

MAX_PEERS = 3  # Peers that are tried for one connection.
# Time for which a peer that could not open a connection to an upstream is not asked for it.
AVOIDED_S = 1.0
# Time for which it comes after the others for every upstream.
DOUBTED_S = 5.0
MAX_AVOIDED = 1024

_Key = TypeVar("_Key")


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
        self._doubted_at: dict[ids.VmId, float] = {}

    def choose(
        self,
        heartbeats: collections.abc.Iterable[membership.Heartbeat],
        upstream: ids.Address,
        now: float,
    ) -> list[TunnelPeer]:
        """Returns the peers to try in this order.

        Those come first that have not failed, and among them those of the own failure domain.
        """
        ranked = []
        for heartbeat in heartbeats:
            peer = tunnel_peer(heartbeat)
            if peer is None or now - self._failed(peer.vm, upstream) < AVOIDED_S:
                continue
            is_doubted = now - self._doubted_at.get(peer.vm, -math.inf) < DOUBTED_S
            is_remote = heartbeat.failure_domain != self._failure_domain
            ranked.append((is_doubted, is_remote, self._rng.random(), peer))
        ranked.sort(key=lambda item: item[:3])
        return [peer for *_, peer in ranked[:MAX_PEERS]]

    def record_failure(self, peer: ids.VmId, upstream: ids.Address, now: float) -> None:
        """Records that a peer could not open a connection to an upstream, or not in time."""
        _record_time(self._failed_at, (peer, upstream), now)
        _record_time(self._doubted_at, peer, now)

    def record_success(self, peer: ids.VmId) -> None:
        """Records that a peer opened a connection."""
        self._doubted_at.pop(peer, None)

    def _failed(self, peer: ids.VmId, upstream: ids.Address) -> float:
        return self._failed_at.get((peer, upstream), -math.inf)


def _record_time(times: dict[_Key, float], key: _Key, now: float) -> None:
    """Records the time of an event, and forgets the oldest one if there are too many."""
    times.pop(key, None)
    if len(times) >= MAX_AVOIDED:
        times.pop(next(iter(times)))
    times[key] = now
