"""Updates of pool state from observed load, caches, health and exports of upstreams.

Observations are hints: they may be late, missing or wrong. Every method ignores pools and
upstreams that are no longer declared.
"""

import dataclasses

from cicadapier._internal.decisions import cache_index
from cicadapier._internal.decisions import fair_queue
from cicadapier._internal.decisions import health
from cicadapier._internal.decisions import limits
from cicadapier._internal.decisions import load
from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import placement
from cicadapier._internal.decisions import routing
from cicadapier._internal.decisions import send_window
from cicadapier._internal.decisions.scarcity import pool_control
from cicadapier._internal.decisions.uneven import slowness
from cicadapier._internal.decisions.uneven import stated_load
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids


@dataclasses.dataclass(slots=True)
class PoolState:
    """State of one pool.

    Attributes:
        spec: Declaration of the pool.
        policy: Placement policy, which also holds the upstreams of the pool.
        health: Health of the upstreams.
        queue: Waiting requests.
        request_rate: Rate of the requests that callers send to this router for the pool.
        scarcity: Order of requests by urgency; None where it is off.
    """

    spec: configuration.Pool
    policy: members.Policy
    health: health.UpstreamHealth
    queue: fair_queue.RequestQueue
    request_rate: limits.DecayingRate = dataclasses.field(default_factory=limits.DecayingRate)
    scarcity: pool_control.PoolControl | None = None

    def with_room(
        self, request_spec: routing.RequestSpec, exclude: frozenset[ids.UpstreamId], now: float
    ) -> list[ids.UpstreamId]:
        """Returns the upstreams with room for a request, if possible beside the room kept there."""
        tokens = request_spec.memory_tokens
        if self.scarcity is not None:
            kept = self.scarcity.kept_tokens(request_spec, self.policy, now)
            if found := self.policy.with_capacity(tokens + kept, exclude):
                return found
        return self.policy.with_capacity(tokens, exclude)

    def may_pass(self, request_spec: routing.RequestSpec) -> bool:
        """Returns whether a request may begin before those that wait, which do not fit."""
        if not isinstance(self.queue, fair_queue.FairQueue):
            return False
        self.queue.lets_pass = self.policy.slowness.is_stated
        tokens = request_spec.memory_tokens
        return self.queue.may_pass(tokens) and self.policy.has_capacity(tokens)

    def register_incarnations(self) -> None:
        """Registers the incarnations listed in the directory with the health state."""
        for upstream, spec in self.spec.upstreams.items():
            if spec.incarnation:
                self.health.set_incarnation(upstream, spec.incarnation)


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A cache event of an upstream.

    Attributes:
        incarnation: Incarnation that published the event.
        sequence: Sequence number in the event stream.
        stored: Whether the pieces were stored; otherwise they were evicted.
        pieces: The pieces.
        age_s: Age of the event.
    """

    incarnation: ids.Incarnation
    sequence: int
    stored: bool
    pieces: tuple[ids.PieceId, ...]
    age_s: float


class Observations:
    """Applies observations of upstreams to the state of their pools.

    Attributes:
        limited_pools: Pools in which an upstream has set a rate limit over all routers.
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
        """Records a load report, and the weights versions if the report contains them."""
        state = self._find(pool, upstream)
        if state is None:
            return
        state.health.record_success(upstream, incarnation, leaving)
        member = state.policy.members[upstream]
        member.load.apply_report(report, now)
        if versions is not None:
            member.versions = versions
        if isinstance(state.policy, placement.PrefixPlacement):
            state.policy.cache_index.observe_incarnation(upstream, incarnation)

    def record_stated_load(
        self, pool: ids.PoolId, upstream: ids.UpstreamId, stated: stated_load.StatedLoad, now: float
    ) -> None:
        """Records the load that an upstream states with an answer."""
        if stated.requests is not None:
            self.record_running_requests(pool, upstream, stated.requests, now)
        state = self._find(pool, upstream)
        if state and stated.slowness is not None:
            requests = -1 if stated.requests is None else stated.requests
            state.policy.slowness.observe(upstream, stated.slowness, now, requests)
            state.policy.apply_slowness(upstream, now)

    def record_peer_news(
        self, pool: ids.PoolId, upstream: ids.UpstreamId, news: slowness.News, now: float
    ) -> None:
        """Records what an upstream has told another router about its load."""
        state = self._find(pool, upstream)
        if state and state.policy.slowness.observe_peer(upstream, news, now):
            state.policy.apply_slowness(upstream, now)
            if news.requests >= 0:
                self.record_running_requests(pool, upstream, news.requests, now)

    def record_running_requests(
        self, pool: ids.PoolId, upstream: ids.UpstreamId, running: int, now: float
    ) -> None:
        """Records the number of running requests that an upstream reports with an answer."""
        state = self._find(pool, upstream)
        if state:
            member_load = state.policy.members[upstream].load
            member_load.update_running(running, now)
            state.policy.averages.observe_remote_requests(member_load.remote_requests(), now)

    def record_weights_version(
        self, pool: ids.PoolId, upstream: ids.UpstreamId, model: ids.ModelId, version: str
    ) -> None:
        """Records the weights version that an upstream serves.

        The version comes from the upstream itself or from the router that ordered its loading.
        """
        state = self._find(pool, upstream)
        if state and state.policy.members[upstream].record_weights(model, version):
            state.policy.weights_reloaded(upstream)

    def record_loading(self, pool: ids.PoolId, upstream: ids.UpstreamId, until: float) -> None:
        """Records that an upstream is about to load weights; the record expires at `until`."""
        state = self._find(pool, upstream)
        if state:
            state.policy.members[upstream].loading_until = until

    def record_pause(self, pool: ids.PoolId, upstream: ids.UpstreamId, until: float) -> None:
        """Records that an upstream has asked to get no requests before `until`."""
        state = self._find(pool, upstream)
        if state:
            state.policy.members[upstream].pause(until)

    def record_rejection(
        self, pool: ids.PoolId, upstream: ids.UpstreamId, interval_s: float, now: float
    ) -> None:
        """Records that an upstream has rejected a request and must not reject many.

        Args:
            pool: Pool of the upstream.
            upstream: The upstream.
            interval_s: Time until one more request is tried than those that are there.
            now: Current time.
        """
        state = self._find(pool, upstream)
        if state:
            member = state.policy.members[upstream]
            # The rejected request is still counted.
            others = max(0, member.load.in_flight - 1)
            member.window = send_window.SendWindow(others, interval_s, now)

    def record_robust(self, pool: ids.PoolId, upstream: ids.UpstreamId) -> None:
        """Records that an upstream may reject requests again."""
        state = self._find(pool, upstream)
        if state:
            state.policy.members[upstream].window = None

    def record_rate_limited(
        self,
        pool: ids.PoolId,
        upstream: ids.UpstreamId,
        limited: bool,
        now: float,
        resume_at: float,
    ) -> None:
        """Records whether an upstream has a rate limit over all routers."""
        state = self._find(pool, upstream)
        if state is None:
            return
        state.policy.members[upstream].set_limited(limited, now, resume_at)
        if limited:
            self.limited_pools.add(pool)

    def add_grants(
        self, pool: ids.PoolId, upstream: ids.UpstreamId, count: int, until: float
    ) -> None:
        """Adds grants for requests to an upstream; they expire at `until`."""
        state = self._find(pool, upstream)
        grants = state.policy.members[upstream].grants if state else None
        if grants is not None:
            grants.add(count, until)

    def use_grant(self, pool: ids.PoolId, upstream: ids.UpstreamId, now: float) -> bool:
        """Uses a grant for a report or an order; returns whether it may be sent."""
        state = self._find(pool, upstream)
        return state is None or state.policy.members[upstream].use_control_grant(now)

    def record_probe_failure(
        self, pool: ids.PoolId, upstream: ids.UpstreamId, certain: bool, now: float
    ) -> None:
        """Records that an upstream did not answer a load query."""
        state = self._find(pool, upstream)
        if state:
            state.health.record_failure(upstream, certain, now)

    def record_listing(self, pool: ids.PoolId, upstream: ids.UpstreamId, leaving: bool) -> None:
        """Records that the platform lists an upstream, and whether it is leaving."""
        state = self._find(pool, upstream)
        if state:
            state.health.set_listed_leaving(upstream, leaving)

    def apply_cache_event(
        self, pool: ids.PoolId, upstream: ids.UpstreamId, event: CacheEvent, now: float
    ) -> bool:
        """Applies a cache event; returns False if a gap in the events requires a snapshot."""
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
        """Replaces the index entries of an upstream by a snapshot of its cache."""
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
        """Records work that another router has sent to an upstream."""
        state = self._find(pool, upstream)
        if state is None:
            return
        member_load = state.policy.members[upstream].load
        if interactive_tokens > 0:
            interactive = configuration.ServiceClass.INTERACTIVE
            member_load.record_peer_send(interactive_tokens, interactive, now)
        if tokens > interactive_tokens:
            batch = configuration.ServiceClass.BATCH
            member_load.record_peer_send(tokens - interactive_tokens, batch, now)

    def record_peer_prompt(
        self,
        pool: ids.PoolId,
        upstream: ids.UpstreamId,
        pieces: tuple[ids.PieceId, ...],
        now: float,
    ) -> None:
        """Records that another router has sent a prompt with these pieces to an upstream."""
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
