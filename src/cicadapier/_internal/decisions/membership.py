"""Membership between routers by gossip.

Each router advances its own heartbeat and passes on a fixed-size sample of the heartbeats that it
knows. A router whose heartbeat does not advance within the timeout counts as unreachable: it
stays a member, because it may be serving on the other side of a partition, until the platform's
list drops it.
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
    """Newest sign of life of a router.

    Attributes:
        vm: Its VM.
        address: Its peer address.
        failure_domain: Its failure domain.
        generation: Number that grows with each start.
        counter: Number that grows while it runs.
        leaving: Whether it is shutting down.
    """

    vm: ids.VmId
    address: ids.Address
    failure_domain: ids.FailureDomainId
    generation: int
    counter: int
    leaving: bool = False

    def is_newer_than(self, other: "Heartbeat") -> bool:
        """Returns whether this sign of life is the later one."""
        return (self.generation, self.counter) > (other.generation, other.counter)


@dataclasses.dataclass(slots=True)
class _Peer:
    heartbeat: Heartbeat
    updated_at: float


class Membership:
    """The routers that one router knows."""

    def __init__(self, own: Heartbeat) -> None:
        self._own = own
        self._peers: dict[ids.VmId, _Peer] = {}

    @property
    def own(self) -> Heartbeat:
        """This router's own heartbeat."""
        return self._own

    def advance_heartbeat(self, leaving: bool = False) -> Heartbeat:
        """Advances the own heartbeat."""
        self._own = dataclasses.replace(
            self._own, counter=self._own.counter + 1, leaving=leaving or self._own.leaving
        )
        return self._own

    def merge_heartbeats(self, heartbeats: collections.abc.Iterable[Heartbeat], now: float) -> None:
        """Merges heartbeats; older ones change nothing."""
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
        """Returns the other routers that show signs of life."""
        return [peer.heartbeat for peer in self._peers.values() if self._is_reachable(peer, now)]

    def router_count(self, now: float) -> int:
        """Returns how many routers serve, with this one and the unreachable ones."""
        return 1 + sum(
            1
            for peer in self._peers.values()
            if not peer.heartbeat.leaving and now - peer.updated_at < PEER_EXPIRES_AFTER_S
        )

    def sample(self, now: float, rng: random.Random) -> list[Heartbeat]:
        """Returns the own heartbeat and a random sample of reachable ones, of bounded size."""
        others = self.reachable(now)
        if len(others) > SAMPLE_ENTRIES - 1:
            others = rng.sample(others, SAMPLE_ENTRIES - 1)
        return [self._own, *others]

    def choose_targets(
        self,
        seeds: collections.abc.Collection[ids.Address],
        now: float,
        rng: random.Random,
        fanout: int,
    ) -> list[ids.Address]:
        """Returns the peer addresses to talk to this round."""
        known = sorted(peer.address for peer in self.reachable(now))
        chosen = rng.sample(known, min(fanout, len(known)))
        # One seed a round finds routers again after a partition or a restart of all.
        others = sorted(set(seeds) - set(known) - {self._own.address})
        if others:
            chosen.append(rng.choice(others))
        return chosen

    def _supersede_earlier_process(self, heartbeat: Heartbeat) -> None:
        if heartbeat.is_newer_than(self._own):
            # An earlier process on this VM spoke last: only a later generation is believed.
            self._own = dataclasses.replace(self._own, generation=heartbeat.generation + 1)

    def _is_reachable(self, peer: _Peer, now: float) -> bool:
        # In a large fleet a heartbeat comes over several hops, a few entries a message.
        is_small_fleet = len(self._peers) < SMALL_FLEET
        timeout_s = UNREACHABLE_AFTER_S if is_small_fleet else LARGE_UNREACHABLE_AFTER_S
        return now - peer.updated_at <= timeout_s
