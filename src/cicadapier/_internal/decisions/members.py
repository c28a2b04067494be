"""Members of a pool (its upstreams) and the interface of placement policies."""

import abc
import collections.abc
import dataclasses
import math

from cicadapier._internal.decisions import engine_memory
from cicadapier._internal.decisions import load
from cicadapier._internal.decisions import prefix
from cicadapier._internal.decisions import quotas
from cicadapier._internal.decisions import rendezvous
from cicadapier._internal.decisions import send_window
from cicadapier._internal.decisions import weights_versions
from cicadapier._internal.decisions.uneven import slowness
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids

# Assumed network latency to upstreams in the same failure domain and in others.
LOCAL_DISTANCE_S = 0.0002
REMOTE_DISTANCE_S = 0.002
CONTROL_RESERVATION_S = 0.5  # How long a grant is reserved for a control request.
# A piece that was used within this time is assumed not to be evicted yet.
RELIABLE_SOURCE_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """A model and the version of its weights."""

    model: ids.ModelId
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Properties of a request that determine its placement.

    Attributes:
        request: Request id.
        prompt: Prompt, split into pieces.
        service_class: Latency class.
        exclude: Upstreams that must not be chosen.
        weights: Weights that the cached pieces were computed with.
        model: Requested model. Pieces are only transferred between upstreams that serve the same
            weights of it.
        memory_tokens: Memory that the request occupies while it runs, in tokens.
    """

    request: ids.RequestId
    prompt: prefix.Prompt
    service_class: configuration.ServiceClass
    exclude: frozenset[ids.UpstreamId] = frozenset()
    weights: Weights | None = None
    model: ids.ModelId | None = None
    memory_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Expected time to first token on one upstream.

    Attributes:
        upstream: Upstream id.
        cached_pieces: Number of pieces believed to be cached there.
        imported_pieces: Number of further pieces believed to be available from the pool's keep
            (external KV store) or from another upstream.
        queue_s: Waiting time behind other requests.
        prefill_s: Time to compute or import the tokens that are not cached.
        distance_s: Network latency to the upstream.
        cost_s: Value that the choice minimizes.
        source: Upstream that the imported pieces come from; None for the pool's keep.
        source_idle_s: Time since that upstream last used them.
        slowness: How long work takes on the upstream; 1.0 as usual.
    """

    upstream: ids.UpstreamId
    cached_pieces: int
    imported_pieces: int
    queue_s: float
    prefill_s: float
    distance_s: float
    cost_s: float
    source: ids.UpstreamId | None = None
    source_idle_s: float = math.inf
    slowness: float = 1.0

    @property
    def reliable_source(self) -> ids.UpstreamId | None:
        """Source that has used the pieces too recently to have evicted them; None without one."""
        return self.source if self.source_idle_s <= RELIABLE_SOURCE_S else None

    @property
    def total_s(self) -> float:
        """Expected time to first token."""
        return self.queue_s + self.prefill_s + self.distance_s


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Chosen upstream and the reason for the choice."""

    estimate: Estimate
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class FirstToken:
    """Information that an upstream sends with the first token of an answer.

    Attributes:
        incarnation: Incarnation that sends the answer.
        cached_tokens: Number of prompt tokens that were cached or imported.
    """

    incarnation: ids.Incarnation
    cached_tokens: int


@dataclasses.dataclass(slots=True)
class Member:
    """State of one upstream of a pool.

    Attributes:
        spec: Declaration of the upstream.
        load: Load of the upstream.
        distance_s: Network latency to the upstream.
        eligible: Whether its health and pauses allow new requests.
        versions: Last reported weights version of each model.
        weights_expired: Whether its weights are too old for the request that is being placed.
        other_software: Whether the answer to that request was begun by another software version.
        loading: Whether it is loading weights or is about to.
        loading_until: Time until which it is assumed to be loading weights.
        penalty_s: Cost of choosing it besides the estimated time, in seconds.
        paused_until: Time until which it has asked for no requests.
        resuming: Whether it has not answered since its last pause.
        memory: Memory that requests occupy there.
        grants: Grants for its requests; None unless it limits the requests of all routers together.
        grant_missing: Whether a grant is required and none is available.
        window: Limit of this router's requests there, since the upstream has rejected one and must
            not reject many; None without one.
        window_is_full: Whether that limit is reached.
        control_reserved_until: Time until which one grant is reserved for a control request (a
            report or a load order).
    """

    spec: configuration.Upstream
    load: load.UpstreamLoad
    distance_s: float
    eligible: bool = True
    versions: dict[ids.ModelId, str] = dataclasses.field(default_factory=dict)
    weights_expired: bool = False
    other_software: bool = False
    loading: bool = False
    loading_until: float = 0.0
    penalty_s: float = 0.0
    paused_until: float = 0.0
    resuming: bool = False
    memory: engine_memory.EngineMemory = dataclasses.field(
        default_factory=engine_memory.EngineMemory
    )
    grants: quotas.HeldGrants | None = None
    grant_missing: bool = False
    window: send_window.SendWindow | None = None
    window_is_full: bool = False
    control_reserved_until: float = 0.0

    def serves(self, weights: "Weights | None") -> bool:
        """Returns whether it serves these weights; unknown weights count as the same."""
        if weights is None:
            return True
        return self.versions.get(weights.model, weights.version) == weights.version

    def pause(self, until: float) -> None:
        """Pauses requests to it until a time, unless a longer pause is in effect."""
        self.paused_until = max(self.paused_until, until)
        self.resuming = True

    def set_limited(self, limited: bool, now: float, resume_at: float) -> None:
        """Sets whether the upstream limits the requests of all routers together.

        Args:
            limited: Whether it does.
            now: Current time.
            resume_at: Time from which requests are sent without grants once the limit is lifted.
        """
        if limited:
            self.grants = self.grants or quotas.HeldGrants()
        elif self.grants is not None:
            self.grants = None
            if resume_at > now:
                self.pause(resume_at)

    def use_control_grant(self, now: float) -> bool:
        """Uses a grant for a report or a load order; returns whether it may be sent.

        If no grant is available, the next one is reserved for a control request for
        `CONTROL_RESERVATION_S`.
        """
        if self.grants is None:
            return True
        used = self.grants.use(now)
        self.control_reserved_until = 0.0 if used else now + CONTROL_RESERVATION_S
        return used

    def lacks_grant(self, now: float) -> bool:
        """Returns whether requests of clients need a grant and none is available."""
        if self.grants is None:
            return False
        reserved = int(now < self.control_reserved_until)
        return self.grants.held(now) <= reserved

    def check_window(self, now: float) -> None:
        """Updates whether the limit of this router's requests there is reached."""
        window = self.window
        self.window_is_full = window is not None and not window.has_room(self.load.in_flight, now)

    def record_answer(self, now: float, is_complete: bool = False) -> None:
        """Records an answer, which shows that it accepts requests again.

        Args:
            now: Current time.
            is_complete: Whether its request is not counted as in flight any more.
        """
        self.resuming = False
        if self.window is not None:
            self.window.record_answer(self.load.in_flight + int(is_complete), now)

    def accepts_requests(self, now: float) -> bool:
        """Returns whether it accepts requests.

        After a pause, one request at a time is sent as a probe until an answer begins.
        """
        if now < self.paused_until:
            return False
        return not self.resuming or self.load.in_flight == 0

    @property
    def usable(self) -> bool:
        """Whether it may receive new requests."""
        return not self.grant_missing and self._is_otherwise_usable

    @property
    def awaits_grant(self) -> bool:
        """Whether it may receive new requests as soon as a grant is available."""
        return self.grant_missing and self._is_otherwise_usable

    @property
    def _is_otherwise_usable(self) -> bool:
        if self.weights_expired or self.other_software or self.loading or self.spec.leaving:
            return False
        return self.eligible and self.spec.weight > 0

    def record_weights(self, model: ids.ModelId, version: str) -> bool:
        """Records a reported weights version; returns whether it replaces the known one.

        Versions only increase while an upstream runs, so a lower version is an outdated report.
        """
        current = self.versions.get(model)
        known_number = weights_versions.number_of(current)
        number = weights_versions.number_of(version)
        if known_number is not None and number is not None:
            if number <= known_number:
                return False
        elif current == version:
            return False
        self.versions[model] = version
        self.loading_until = 0.0
        return True


class Policy(abc.ABC):
    """Placement policy: chooses the upstream of a pool for each request.

    Attributes:
        pool: Declaration of the pool.
        failure_domain: Failure domain of this router.
        members: State of each upstream.
        order: Deterministic order of the upstreams for any key.
        averages: Average memory and duration of the pool's requests.
        weighs_durations: Whether the memory of other routers' requests is estimated from how long
            requests of each size run; it is as well where upstreams state how slow they are.
        slowness: How long work takes at each upstream.
    """

    def __init__(
        self, pool: configuration.Pool, failure_domain: ids.FailureDomainId, now: float
    ) -> None:
        self.pool = pool
        self.failure_domain = failure_domain
        self.members: dict[ids.UpstreamId, Member] = {}
        self.order = rendezvous.Order([])
        self.averages = engine_memory.RequestAverages()
        self.weighs_durations = False
        self.slowness = slowness.PoolSlowness()
        self.update(pool, now)

    def apply_slowness(self, upstream: ids.UpstreamId, now: float) -> None:
        """Lets the estimated backlog of an upstream shrink at its present speed from now on."""
        if self.slowness.is_stated:
            self.members[upstream].load.set_slowness(self.slowness.lasting(upstream, now), now)

    def update(self, pool: configuration.Pool, now: float) -> None:
        """Applies a new declaration of the pool; keeps the state of upstreams that still run."""
        self.pool = pool
        for upstream in [u for u in self.members if u not in pool.upstreams]:
            del self.members[upstream]
            self.slowness.forget(upstream)
            self.upstream_removed(upstream)
        changed = False
        for upstream, spec in pool.upstreams.items():
            member = self.members.get(upstream)
            local = spec.failure_domain == self.failure_domain
            remote_s = max(REMOTE_DISTANCE_S, pool.remote_cost_s)
            distance_s = LOCAL_DISTANCE_S if local else remote_s
            if member is None or member.spec.incarnation != spec.incarnation:
                changed = True
                state = load.UpstreamLoad(pool.prefill_tokens_per_s, now)
                self.members[upstream] = Member(spec, state, distance_s)
                self.slowness.forget(upstream)
                self.upstream_started(upstream, spec.incarnation)
            else:
                member.spec = spec
                member.distance_s = distance_s
            for model, version in spec.weights.items():
                if self.members[upstream].record_weights(model, version):
                    self.weights_reloaded(upstream)
        if changed or len(self.members) != self.order.size:
            self.order = rendezvous.Order(self.members)

    def upstream_removed(self, upstream: ids.UpstreamId) -> None:
        """Discards state of an upstream that is no longer declared."""
        return

    def upstream_started(self, upstream: ids.UpstreamId, incarnation: ids.Incarnation) -> None:
        """Initializes state for an upstream that is new or has restarted."""
        return

    def weights_reloaded(self, upstream: ids.UpstreamId) -> None:
        """Records that an upstream has loaded new weights, which clears its cache."""
        return

    @abc.abstractmethod
    def choose(self, req: PlacementRequest, now: float) -> Choice | None:
        """Returns the choice, or None if no upstream is usable."""

    def estimates(self, req: PlacementRequest, now: float) -> list[Estimate]:
        """Returns an estimate for each candidate, in tie-breaking order."""
        choice = self.choose(req, now)
        return [choice.estimate] if choice else []

    def record_sent(self, req: PlacementRequest, choice: Estimate, now: float) -> None:
        """Records that a request was sent to the chosen upstream."""
        member = self.members.get(choice.upstream)
        if member:
            if member.grants is not None:
                member.grants.use(now)
            member.load.in_flight += 1
            member.memory.add(req.memory_tokens)
            self.averages.record_start(req.memory_tokens)
            tokens = req.prompt.uncached_tokens(choice.cached_pieces + choice.imported_pieces)
            member.load.record_send(tokens, req.service_class, now)

    def record_finished(
        self, upstream: ids.UpstreamId, memory_tokens: int, duration_s: float
    ) -> None:
        """Records the end of an attempt, whatever its outcome.

        Args:
            upstream: Upstream of the attempt.
            memory_tokens: Memory that the request occupied there, in tokens.
            duration_s: Time that the request spent there.
        """
        self.averages.record_end(duration_s, memory_tokens)
        member = self.members.get(upstream)
        if member:
            member.load.record_end()
            member.memory.remove(memory_tokens)

    def record_first_token(
        self, choice: Estimate, prompt: prefix.Prompt, first: FirstToken, now: float
    ) -> tuple[ids.PieceId, ...]:
        """Processes the first token of an answer; returns the pieces that are worth exporting."""
        return ()

    def usable(
        self, exclude: collections.abc.Container[ids.UpstreamId] = ()
    ) -> list[ids.UpstreamId]:
        """Returns the upstreams that may receive new requests."""
        return [u for u, m in self.members.items() if m.usable and u not in exclude]

    def spared(self) -> frozenset[ids.UpstreamId]:
        """Returns the upstreams that must not reject a request and may have no room for one."""
        return frozenset(u for u, m in self.members.items() if m.window_is_full)

    def with_capacity(
        self, memory_tokens: int, exclude: collections.abc.Container[ids.UpstreamId] = ()
    ) -> list[ids.UpstreamId]:
        """Returns the usable upstreams that have capacity for one more request.

        Args:
            memory_tokens: Memory that the request occupies while it runs, in tokens.
            exclude: Upstreams to leave out.
        """
        return [u for u in self.usable(exclude) if self._fits(self.members[u], memory_tokens)]

    def has_capacity(self, memory_tokens: int) -> bool:
        """Returns whether any usable upstream has capacity for one more request."""
        return any(m.usable and self._fits(m, memory_tokens) for m in self.members.values())

    def _fits(self, member: Member, memory_tokens: int) -> bool:
        if member.window_is_full or member.load.running() >= member.spec.max_in_flight:
            return False
        capacity = self.pool.memory_tokens
        remote_requests = member.load.remote_requests()
        mean_tokens = self.averages.mean_memory_tokens
        if self.slowness.is_stated:
            mean_tokens = self.averages.cautious_running_tokens
        elif self.weighs_durations:
            mean_tokens = self.averages.mean_running_tokens
        return member.memory.fits(memory_tokens, capacity, remote_requests, mean_tokens)
