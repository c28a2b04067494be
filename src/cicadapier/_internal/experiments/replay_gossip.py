"""Messages between the routers of a replay."""

import collections.abc
from typing import Protocol

from cicadapier._internal.decisions import peer_news
from cicadapier._internal.decisions import traffic
from cicadapier._internal.experiments import replay_faults
from cicadapier._internal.models import ids


class GossipingRouter(Protocol):
    """What gossip needs of a router."""

    index: int
    domain: ids.FailureDomainId
    generation: int
    traffic: traffic.Traffic
    outgoing: peer_news.Outgoing
    incoming: peer_news.Incoming


def exchange(
    routers: collections.abc.Sequence[GossipingRouter], cuts: replay_faults.Cuts, now: float
) -> None:
    """Has each router hear each other one that it can reach."""
    for sender in routers:
        news = peer_news.News(
            peer_news.Sender(ids.VmId(str(sender.index)), sender.generation),
            sender.outgoing.sends(),
            tuple(sender.outgoing.placed),
            sender.traffic.limits.demand(now),
        )
        for receiver in routers:
            if receiver is not sender and not cuts.parted(sender.domain, receiver.domain):
                _hear(receiver, news, now)
    for router in routers:
        router.traffic.limits.set_all_remote(router.incoming.total_use(now))


def _hear(receiver: GossipingRouter, news: peer_news.News, now: float) -> None:
    learned = receiver.incoming.merge(news, now)
    seen = receiver.traffic.observations
    for work in learned.sends:
        seen.record_peer_work(work.pool, work.upstream, work.tokens, work.interactive_tokens, now)
    for placed in learned.placed:
        seen.record_peer_prompt(placed.pool, placed.upstream, placed.pieces, now)
