"""Router membership by gossip.

Each router advances its own heartbeat and forwards a sample of bounded size of the heartbeats that
it has received. A router whose heartbeat does not advance within the timeout is unreachable. It
remains a member until the platform no longer lists it, because it may still serve requests on the
other side of a partition.
"""

import collections.abc
import dataclasses
import random

from cicadapier._internal.models import ids

SAMPLE_ENTRIES = 16
UNREACHABLE_AFTER_S = 2.0
SMALL_FLEET = 8
LARGE_UNREACHABLE_AFTER_S = 60.0
PEER_EXPIRES_AFTER_S = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat of a router.

    Attributes:
        vm: VM of the router.
        address: Peer address of the router.
        failure_domain: Failure domain of the router.
        generation: Number that grows with each start of the router.
        counter: Number that grows while the router runs.
        leaving: Whether the router is shutting down.
        tunnel_port: Port at which it opens connections to upstreams for others; 0 for none.
        links_lost: Whether it has lost its links to all upstreams.
    """

    vm: ids.VmId
    address: ids.Address
    failure_domain: ids.FailureDomainId
    generation: int
    counter: int
    leaving: bool = False
    tunnel_port: int = 0
    links_lost: bool = False

    def is_newer_than(self, other: "Heartbeat") -> bool:
        """Returns whether this heartbeat is newer than the other one."""
        return (self.generation, self.counter) > (other.generation, other.counter)


@dataclasses.dataclass(slots=True)
class _Peer:
    """Newest heartbeat of another router and the local time at which it was received."""

    heartbeat: Heartbeat
    updated_at: float


class Membership:
    """The fleet of routers as one router sees it."""

    def __init__(self, own: Heartbeat) -> None:
        self._own = own
        self._peers: dict[ids.VmId, _Peer] = {}

    @property
    def own(self) -> Heartbeat:
        """This router's own heartbeat."""
        return self._own

    def advance_heartbeat(self, leaving: bool = False) -> Heartbeat:
        """Advances this router's own heartbeat and returns it."""
        self._own = dataclasses.replace(
            self._own, counter=self._own.counter + 1, leaving=leaving or self._own.leaving
        )
        return self._own

    def set_tunnel_port(self, port: int) -> None:
        """Sets the port at which this router opens connections to upstreams for others."""
        self._own = dataclasses.replace(self._own, tunnel_port=port)

    def set_links_lost(self, links_lost: bool) -> None:
        """Sets whether this router has lost its links to all upstreams."""
        self._own = dataclasses.replace(self._own, links_lost=links_lost)

    def merge_heartbeats(self, heartbeats: collections.abc.Iterable[Heartbeat], now: float) -> None:
        """Merges received heartbeats; those older than the known ones have no effect."""
        for heartbeat in heartbeats:
            if heartbeat.vm == self._own.vm:
                self._supersede_earlier_process(heartbeat)
                continue
            known = self._peers.get(heartbeat.vm)
            if known is None or heartbeat.is_newer_than(known.heartbeat):
                self._peers[heartbeat.vm] = _Peer(heartbeat, now)

    def drop_unlisted(self, vms: collections.abc.Collection[ids.VmId], now: float) -> None:
        """Drops unreachable routers that the platform no longer lists."""
        for vm in [vm for vm in self._peers if vm not in vms]:
            if not self._is_reachable(self._peers[vm], now):
                del self._peers[vm]

    def reachable(self, now: float) -> list[Heartbeat]:
        """Returns the heartbeats of the other routers that are reachable."""
        return [peer.heartbeat for peer in self._peers.values() if self._is_reachable(peer, now)]

    def router_count(self, now: float) -> int:
        """Returns the number of serving routers, including this one and unreachable ones."""
        return len(self.serving(now))

    def serving(self, now: float) -> dict[ids.VmId, ids.Address]:
        """Returns the serving routers, including this one and unreachable ones."""
        others = {
            vm: peer.heartbeat.address
            for vm, peer in self._peers.items()
            if not peer.heartbeat.leaving and now - peer.updated_at < PEER_EXPIRES_AFTER_S
        }
        return {self._own.vm: self._own.address, **others}

    def skip_rounds(self, rounds: int) -> None:
        """Advances this router's heartbeat beyond that of its first rounds."""
        self._own = dataclasses.replace(self._own, counter=self._own.counter + rounds)

    def sample(
        self, now: float, rng: random.Random, entries: int = SAMPLE_ENTRIES
    ) -> list[Heartbeat]:
        """Returns this router's heartbeat and a random, bounded sample of reachable peers' ones."""
        others = self.reachable(now)
        if len(others) > entries - 1:
            others = rng.sample(others, entries - 1)
        return [self._own, *others]

    def choose_targets(
        self,
        seeds: collections.abc.Collection[ids.Address],
        now: float,
        rng: random.Random,
        fanout: int,
    ) -> list[ids.Address]:
        """Returns the peer addresses to contact in this round."""
        reachable = sorted(peer.address for peer in self.reachable(now))
        chosen = rng.sample(reachable, min(fanout, len(reachable)))
        # Contacting one seed a round rediscovers routers after a partition or a restart of the
        # whole fleet.
        other_seeds = sorted(set(seeds) - set(reachable) - {self._own.address})
        if other_seeds:
            chosen.append(rng.choice(other_seeds))
        return chosen

    def _supersede_earlier_process(self, heartbeat: Heartbeat) -> None:
        if heartbeat.is_newer_than(self._own):
            # An earlier process on this VM has sent a newer heartbeat, so other routers ignore the
            # heartbeats of this process until they have a higher generation.
            self._own = dataclasses.replace(self._own, generation=heartbeat.generation + 1)

    def _is_reachable(self, peer: _Peer, now: float) -> bool:
        # In a large fleet a heartbeat takes several hops, and a message carries few of them, so the
        # timeout is longer.
        is_small_fleet = len(self._peers) < SMALL_FLEET
        timeout_s = UNREACHABLE_AFTER_S if is_small_fleet else LARGE_UNREACHABLE_AFTER_S
        return now - peer.updated_at <= timeout_s
