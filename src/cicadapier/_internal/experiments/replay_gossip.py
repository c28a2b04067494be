"""Gossip between the routers of a replay."""

import collections.abc
from typing import Protocol

from cicadapier._internal.decisions import peer_updates
from cicadapier._internal.decisions import traffic
from cicadapier._internal.experiments import replay_faults
from cicadapier._internal.models import ids


class GossipingRouter(Protocol):
    """Attributes of a router that gossip uses.

    Attributes:
        index: Position of the router, which identifies it to its peers.
        domain: Failure domain of the router.
        generation: Number that increases with each restart.
        traffic: Decisions of the router.
        sent_work: Log of the work that it has sent.
        update_merger: Merges the updates of its peers.
    """

    index: int
    domain: ids.FailureDomainId
    generation: int
    traffic: traffic.Traffic
    sent_work: peer_updates.SentWorkLog
    update_merger: peer_updates.UpdateMerger


def exchange(
    routers: collections.abc.Sequence[GossipingRouter],
    partitions: replay_faults.Partitions,
    now: float,
) -> None:
    """Delivers an update from each router to every other router that it can reach.

    Afterwards each router gets the use of the accounts through the other routers.
    """
    for sender in routers:
        update = peer_updates.PeerUpdate(
            peer_updates.Sender(ids.VmId(str(sender.index)), sender.generation),
            sender.sent_work.sends(),
            tuple(sender.sent_work.placed),
            sender.traffic.limits.local_use(now),
        )
        for receiver in routers:
            if receiver is not sender and not partitions.separates(sender.domain, receiver.domain):
                _receive(receiver, update, now)
    for router in routers:
        router.traffic.limits.set_remote_use(router.update_merger.total_use(now))


def _receive(receiver: GossipingRouter, update: peer_updates.PeerUpdate, now: float) -> None:
    delta = receiver.update_merger.merge(update, now)
    observations = receiver.traffic.observations
    for work in delta.sends:
        observations.record_peer_work(
            work.pool, work.upstream, work.tokens, work.interactive_tokens, now
        )
    for placed in delta.placed:
        observations.record_peer_prompt(placed.pool, placed.upstream, placed.pieces, now)
