"""What a router learns about the upstreams of its pools: loads, caches, health, the keep.

All of it is hints: late, lossy and sometimes wrong. Every method ignores pools and upstreams that
are no longer declared.
"""

import dataclasses

from cicadapier._internal.decisions import cache_index
from cicadapier._internal.decisions import fairqueue
from cicadapier._internal.decisions import health
from cicadapier._internal.decisions import limits
from cicadapier._internal.decisions import load
from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import placement
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids


@dataclasses.dataclass(slots=True)
class PoolState:
    """State of one pool.

    Attributes:
        spec: Its declaration.
        policy: Its upstreams and the choice between them.
        health: Their health.
        queue: Requests that wait.
        request_rate: Requests that callers have sent to this router for it.
    """

    spec: configuration.Pool
    policy: members.Policy
    health: health.UpstreamHealth
    queue: fairqueue.FairQueue
    request_rate: limits.DecayingRate = dataclasses.field(default_factory=limits.DecayingRate)

    def register_incarnations(self) -> None:
        """Takes over the incarnations that the directory shows."""
        for upstream, spec in self.spec.upstreams.items():
            if spec.incarnation:
                self.health.registered(upstream, spec.incarnation)


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A cache event of an upstream.

    Attributes:
        incarnation: Incarnation that published it.
        sequence: Its place in the event stream.
        stored: Whether pieces were stored; else they were evicted.
        pieces: The pieces.
        age_s: Age of the event.
    """

    incarnation: ids.Incarnation
    sequence: int
    stored: bool
    pieces: tuple[ids.PieceId, ...]
    age_s: float


class Observations:
    """Takes in what is observed of upstreams.

    Attributes:
        limited_pools: Pools with upstreams that have limited the requests of all routers.
    """

    def __init__(self, pools: dict[ids.PoolId, PoolState]) -> None:
        self._pools = pools
        self.limited_pools: set[ids.PoolId] = set()

    def record_load_report(
        self,
        pool: ids.PoolId,
        upstream: ids.UpstreamId,
        incarnation: ids.Incarnation,
        leaving: bool,
        report: load.Report,
        now: float,
        versions: dict[ids.ModelId, str] | None = None,
    ) -> None:
        """Takes a load report, and the weights versions where it tells them."""
        state = self._find(pool, upstream)
        if state is None:
            return
        state.health.answered(upstream, incarnation, leaving)
        member = state.policy.members[upstream]
        member.load.reported(report, now)
        if versions is not None:
            member.versions = versions
        if isinstance(state.policy, placement.PrefixPlacement):
            state.policy.cache_index.observe_incarnation(upstream, incarnation)

    def record_running_requests(
        self, pool: ids.PoolId, upstream: ids.UpstreamId, running: int, now: float
    ) -> None:
        """Takes the number of requests that an upstream tells with an answer."""
        state = self._find(pool, upstream)
        if state:
            found = state.policy.members[upstream].load
            found.running_told(running, now)
            state.policy.typical.told(found.others(), now)

    def record_weights_version(
        self, pool: ids.PoolId, upstream: ids.UpstreamId, model: ids.ModelId, version: str
    ) -> None:
        """Takes the weights version that an upstream serves, from itself or who ordered it."""
        state = self._find(pool, upstream)
        if state and state.policy.members[upstream].tell_weights(model, version):
            state.policy.reloaded(upstream)

    def record_loading(self, pool: ids.PoolId, upstream: ids.UpstreamId, until: float) -> None:
        """Records that an upstream is about to load weights, to be believed until a time."""
        state = self._find(pool, upstream)
        if state:
            state.policy.members[upstream].loading_until = until

    def record_pause(self, pool: ids.PoolId, upstream: ids.UpstreamId, until: float) -> None:
        """Records that an upstream has asked to get no requests until a time."""
        state = self._find(pool, upstream)
        if state:
            state.policy.members[upstream].pause(until)

    def record_rate_limited(
        self, pool: ids.PoolId, upstream: ids.UpstreamId, on: bool, now: float, back_at: float
    ) -> None:
        """Records whether an upstream limits the requests of all routers."""
        state = self._find(pool, upstream)
        if state is None:
            return
        state.policy.members[upstream].limit(on, now, back_at)
        if on:
            self.limited_pools.add(pool)

    def add_grants(
        self, pool: ids.PoolId, upstream: ids.UpstreamId, count: int, until: float
    ) -> None:
        """Adds grants for an upstream, to be used until a time."""
        state = self._find(pool, upstream)
        grants = state.policy.members[upstream].grants if state else None
        if grants is not None:
            grants.add(count, until)

    def use_grant(self, pool: ids.PoolId, upstream: ids.UpstreamId, now: float) -> bool:
        """Uses a grant for a report or an order; returns whether it may be sent."""
        state = self._find(pool, upstream)
        return state is None or state.policy.members[upstream].use_for_control(now)

    def record_probe_failure(
        self, pool: ids.PoolId, upstream: ids.UpstreamId, certain: bool, now: float
    ) -> None:
        """Records that an upstream did not answer a query."""
        state = self._find(pool, upstream)
        if state:
            state.health.failed(upstream, certain, now)

    def record_listing(self, pool: ids.PoolId, upstream: ids.UpstreamId, leaving: bool) -> None:
        """Takes over the platform's list."""
        state = self._find(pool, upstream)
        if state:
            state.health.listed(upstream, leaving)

    def apply_cache_event(
        self, pool: ids.PoolId, upstream: ids.UpstreamId, event: CacheEvent, now: float
    ) -> bool:
        """Takes a cache event; returns False where a gap asks for a snapshot."""
        index = self._cache_index(pool, upstream)
        if index is None:
            return True
        if event.stored:
            return index.apply_stored(
                upstream, event.incarnation, event.sequence, event.pieces, now
            )
        return index.apply_evicted(
            upstream, event.incarnation, event.sequence, event.pieces, event.age_s, now
        )

    def apply_cache_snapshot(
        self,
        pool: ids.PoolId,
        upstream: ids.UpstreamId,
        incarnation: ids.Incarnation,
        sequence: int,
        pieces: tuple[ids.PieceId, ...],
        now: float,
    ) -> None:
        """Replaces what is believed of an upstream by its own snapshot."""
        index = self._cache_index(pool, upstream)
        if index is not None:
            index.apply_snapshot(upstream, incarnation, sequence, pieces, now)

    def record_peer_work(
        self,
        pool: ids.PoolId,
        upstream: ids.UpstreamId,
        tokens: float,
        interactive_tokens: float,
        now: float,
    ) -> None:
        """Adds work that another router has sent."""
        state = self._find(pool, upstream)
        if state is None:
            return
        member_load = state.policy.members[upstream].load
        if interactive_tokens > 0:
            interactive = configuration.ServiceClass.INTERACTIVE
            member_load.sent_by_peer(interactive_tokens, interactive, now)
        if tokens > interactive_tokens:
            batch = configuration.ServiceClass.BATCH
            member_load.sent_by_peer(tokens - interactive_tokens, batch, now)

    def record_peer_prompt(
        self,
        pool: ids.PoolId,
        upstream: ids.UpstreamId,
        pieces: tuple[ids.PieceId, ...],
        now: float,
    ) -> None:
        """Records that another router has sent a prompt with these pieces."""
        index = self._cache_index(pool, upstream)
        if index is not None:
            index.add_in_flight(upstream, pieces, now)
        state = self._find(pool, upstream)
        if state and isinstance(state.policy, placement.PrefixPlacement):
            state.policy.piece_rates.count(pieces, now)

    def record_export(self, pool: ids.PoolId, pieces: tuple[ids.PieceId, ...]) -> None:
        """Records that pieces were exported to the pool's keep."""
        state = self._pools.get(pool)
        if state and isinstance(state.policy, placement.PrefixPlacement):
            state.policy.exported.add(pieces)

    def _find(self, pool: ids.PoolId, upstream: ids.UpstreamId) -> PoolState | None:
        state = self._pools.get(pool)
        return state if state and upstream in state.policy.members else None

    def _cache_index(
        self, pool: ids.PoolId, upstream: ids.UpstreamId
    ) -> cache_index.CacheIndex | None:
        state = self._find(pool, upstream)
        if state and isinstance(state.policy, placement.PrefixPlacement):
            return state.policy.cache_index
        return None
