"""Updates that routers exchange about the traffic they have sent, and how to merge them.

Counts are cumulative since the start of the sender, so that no counts are lost with a message and
repeated messages are not counted twice.
"""

import collections
import collections.abc
import dataclasses

from cicadapier._internal.decisions import limits
from cicadapier._internal.decisions import routing
from cicadapier._internal.decisions import traffic
from cicadapier._internal.decisions.uneven import slowness
from cicadapier._internal.models import ids

MAX_PLACED = 64
USE_EXPIRES_S = 5.0
URGENT_TOKENS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class SentWork:
    """Tokens that a router has sent to one upstream since it started.

    Attributes:
        pool: Pool of the upstream.
        upstream: The upstream.
        tokens: Tokens of all requests.
        interactive_tokens: Tokens of interactive requests.
        news: How long work takes there, as it has recently told the sender; None without news.
    """

    pool: ids.PoolId
    upstream: ids.UpstreamId
    tokens: float
    interactive_tokens: float
    news: slowness.News | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class KeptPieces:
    """Pieces that were exported to the keep (the external KV store) of a pool."""

    pool: ids.PoolId
    pieces: tuple[ids.PieceId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedPieces:
    """Pieces of a prompt that a router has sent to an upstream.

    Attributes:
        number: Sequence number of the prompt at its sender, by which receivers skip repeats.
        pool: Pool of the upstream.
        upstream: The upstream.
        pieces: The pieces, in the order of the prompt.
        at: Time of sending on the sender's clock; it is not transmitted.
    """

    number: int
    pool: ids.PoolId
    upstream: ids.UpstreamId
    pieces: tuple[ids.PieceId, ...]
    at: float = 0.0


class SentWorkLog:
    """Log of the work that this router has sent to upstreams, for updates to its peers.

    Attributes:
        placed: The `MAX_PLACED` most recent prompts, oldest first.
    """

    def __init__(self) -> None:
        self.placed: collections.deque[PlacedPieces] = collections.deque(maxlen=MAX_PLACED)
        self._placed_count = 0
        self._tokens: dict[tuple[ids.PoolId, ids.UpstreamId], list[float]] = {}

    def record(self, decisions: traffic.Traffic, placed: routing.Placed, now: float) -> bool:
        """Records a request that is being sent to an upstream.

        Returns:
            Whether the request is large enough to update the peers before the next round.
        """
        request_spec = decisions.request_spec(placed.request)
        if request_spec is None:
            return False
        estimate = placed.choice.estimate
        tokens = request_spec.prompt.uncached_tokens(
            estimate.cached_pieces + estimate.imported_pieces
        )
        counts = self._tokens.setdefault((request_spec.pool, estimate.upstream), [0.0, 0.0])
        counts[0] += tokens
        if decisions.is_interactive(request_spec.account):
            counts[1] += tokens
        if request_spec.prompt.pieces:
            self._placed_count += 1
            self.placed.append(
                PlacedPieces(
                    self._placed_count,
                    request_spec.pool,
                    estimate.upstream,
                    request_spec.prompt.pieces,
                    now,
                )
            )
        return tokens >= URGENT_TOKENS

    def retain_upstreams(self, upstreams: collections.abc.Container[ids.UpstreamId]) -> None:
        """Drops the counts of all other upstreams; ids of removed upstreams are not reused."""
        for key in [key for key in self._tokens if key[1] not in upstreams]:
            del self._tokens[key]

    def sends(
        self, decisions: traffic.Traffic | None = None, now: float = 0.0
    ) -> tuple[SentWork, ...]:
        """Returns the total tokens sent to each upstream.

        Args:
            decisions: The decisions of this router; if given, what the upstreams have told it of
                their slowness is added.
            now: Current time.
        """
        found = []
        for (pool, upstream), (tokens, interactive) in self._tokens.items():
            state = decisions.pools.get(pool) if decisions else None
            news = state.policy.slowness.own_news(upstream, now) if state else None
            found.append(SentWork(pool, upstream, tokens, interactive, news))
        return tuple(found)


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """One run of a router; the counts in its updates begin at zero with the run.

    Attributes:
        vm: VM of the router.
        generation: Number of the start of the router.
    """

    vm: ids.VmId
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUpdate:
    """A traffic update of one router.

    Attributes:
        sender: The router that sent the update.
        sends: Total work that the sender has sent to each upstream.
        placed: Most recent prompts that the sender has sent.
        use: Use of the accounts through the sender.
    """

    sender: Sender
    sends: tuple[SentWork, ...]
    placed: tuple[PlacedPieces, ...]
    use: dict[ids.AccountId, limits.RemoteUse]


@dataclasses.dataclass(frozen=True, slots=True)
class UpdateDelta:
    """Difference between an update and the earlier updates of the same sender.

    Attributes:
        sends: Work that earlier updates did not contain.
        placed: Prompts that earlier updates did not contain.
        heard: Upstreams that have recently told the sender how long work takes there.
    """

    sends: tuple[SentWork, ...]
    placed: tuple[PlacedPieces, ...]
    heard: tuple[SentWork, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether it adds nothing."""
        return not (self.sends or self.placed or self.heard)


class UpdateMerger:
    """Merges the updates of all other routers."""

    def __init__(self) -> None:
        self._sends: dict[Sender, dict[ids.UpstreamId, SentWork]] = {}
        self._last_placed_numbers: dict[Sender, int] = {}
        self._use_by_router: dict[
            ids.VmId, tuple[float, dict[ids.AccountId, limits.RemoteUse]]
        ] = {}

    def merge(self, update: PeerUpdate, now: float) -> UpdateDelta:
        """Merges an update and returns what it adds to earlier ones."""
        self._use_by_router[update.sender.vm] = (now, update.use)
        previous = self._sends.get(update.sender)
        sends: list[SentWork] = []
        if previous is not None:
            for work in update.sends:
                before = previous.get(work.upstream)
                # Most upstreams have got nothing since the update before.
                if before is None or work.tokens > before.tokens:
                    sends.append(_subtract(before, work))
            previous.update({work.upstream: work for work in update.sends})
        elif update.sends:
            # The first update with work only sets the baseline, because the load reports of the
            # upstreams already include earlier work. Updates without any work set no baseline.
            self._sends[update.sender] = {work.upstream: work for work in update.sends}
        last_number = self._last_placed_numbers.get(update.sender, 0)
        placed = [item for item in update.placed if item.number > last_number]
        if placed:
            self._last_placed_numbers[update.sender] = placed[-1].number
        return UpdateDelta(
            tuple(work for work in sends if work.tokens > 0),
            tuple(placed),
            tuple(work for work in update.sends if work.news is not None),
        )

    def drop_router(self, vm: ids.VmId) -> None:
        """Drops the counts of an unreachable router; its next update sets a new baseline."""
        for sender in [sender for sender in self._sends if sender.vm == vm]:
            del self._sends[sender]
            self._last_placed_numbers.pop(sender, None)

    def total_use(self, now: float) -> dict[ids.AccountId, limits.RemoteUse]:
        """Returns the use of each account through all other routers together."""
        total: dict[ids.AccountId, limits.RemoteUse] = {}
        for vm, (received_at, use) in list(self._use_by_router.items()):
            if now - received_at > USE_EXPIRES_S:
                del self._use_by_router[vm]
                continue
            for account, remote_use in use.items():
                previous = total.get(account, limits.RemoteUse())
                total[account] = limits.RemoteUse(
                    previous.demand_per_s + remote_use.demand_per_s,
                    previous.streams + remote_use.streams,
                )
        return total


def _subtract(previous: SentWork | None, current: SentWork) -> SentWork:
    if previous is None:
        return current
    return SentWork(
        current.pool,
        current.upstream,
        current.tokens - previous.tokens,
        max(0.0, current.interactive_tokens - previous.interactive_tokens),
    )
