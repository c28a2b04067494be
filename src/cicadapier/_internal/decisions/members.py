"""The upstreams of one pool, as every placement policy sees them."""

import abc
import collections.abc
import dataclasses
import math

from cicadapier._internal.decisions import engine_memory
from cicadapier._internal.decisions import load
from cicadapier._internal.decisions import prefix
from cicadapier._internal.decisions import quotas
from cicadapier._internal.decisions import rendezvous
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids

LOCAL_DISTANCE_S = 0.0002
REMOTE_DISTANCE_S = 0.002
CONTROL_RESERVATION_S = 0.5
RELIABLE_SOURCE_S = 2.0  # A piece that was used no longer ago is still where it was.


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """A model at one weights version."""

    model: ids.ModelId
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What placement needs to know of a request.

    Attributes:
        request: Its id.
        prompt: Its pieces.
        service_class: Latency class.
        exclude: Upstreams that must not be chosen.
        weights: Weights that the pieces belong to.
        model: Model that it names; pieces move only between upstreams with the same weights of it.
        memory_tokens: Memory that it takes while it runs.
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
        upstream: The upstream.
        cached_pieces: Pieces believed to be cached there.
        imported_pieces: Further pieces that the keep or another upstream is believed to hold.
        queue_s: Wait behind other requests.
        prefill_s: Time to compute or import the other tokens.
        distance_s: Network distance.
        cost_s: What the choice minimizes.
        source: Upstream that the imported pieces come from, None for the keep.
        source_idle_s: Time for which that upstream has not used them.
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

    @property
    def reliable_source(self) -> ids.UpstreamId | None:
        """Upstream that has hardly evicted the imported pieces yet, None without any."""
        return self.source if self.source_idle_s <= RELIABLE_SOURCE_S else None

    @property
    def total_s(self) -> float:
        """Expected time to first token."""
        return self.queue_s + self.prefill_s + self.distance_s


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The chosen upstream and why."""

    estimate: Estimate
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class FirstToken:
    """What the first token of an answer tells.

    Attributes:
        incarnation: Incarnation that answers.
        cached_tokens: Tokens that it found cached or imported.
    """

    incarnation: ids.Incarnation
    cached_tokens: int


@dataclasses.dataclass(slots=True)
class Member:
    """One upstream.

    Attributes:
        spec: Its declaration.
        load: Its load.
        distance_s: Its network distance.
        eligible: Whether its health allows new work.
        versions: Weights version of each model, as it last told.
        barred: Whether its weights are too old for the request that is being placed.
        loading: Whether it is about to load weights or does so.
        loading_until: Time after which `loading` is no longer believed.
        penalty_s: What choosing it costs beside time, in seconds of it.
        paused_until: Time until which it has asked to get no requests.
        resuming: Whether it has not answered since its last pause.
        memory: Its memory.
        grants: Grants for it, None where it does not limit the requests of all routers.
        grant_missing: Whether it does and there is no grant.
        control_until: Time until which one grant is kept for a report or an order.
    """

    spec: configuration.Upstream
    load: load.UpstreamLoad
    distance_s: float
    eligible: bool = True
    versions: dict[ids.ModelId, str] = dataclasses.field(default_factory=dict)
    weights_expired: bool = False
    loading: bool = False
    loading_until: float = 0.0
    penalty_s: float = 0.0
    paused_until: float = 0.0
    resuming: bool = False
    memory: engine_memory.EngineMemory = dataclasses.field(
        default_factory=engine_memory.EngineMemory
    )
    grants: quotas.Grants | None = None
    grant_missing: bool = False
    control_reserved_until: float = 0.0

    def serves(self, weights: "Weights | None") -> bool:
        """Returns whether it may answer with these weights; unknown weights count as the same."""
        if weights is None:
            return True
        return self.versions.get(weights.model, weights.version) == weights.version

    def pause(self, until: float) -> None:
        """Backs off from it until a time; a longer pause stands."""
        self.paused_until = max(self.paused_until, until)
        self.resuming = True

    def set_limited(self, limited: bool, now: float, resume_at: float) -> None:
        """Takes it that it limits the requests of all routers, or does so no more.

        Args:
            limited: Whether it does.
            now: Present time.
            resume_at: Time from which on it is sent to without grants.
        """
        if limited:
            self.grants = self.grants or quotas.Grants()
        elif self.grants is not None:
            self.grants = None
            if resume_at > now:
                self.pause(resume_at)

    def use_control_grant(self, now: float) -> bool:
        """Uses a grant for a report or an order; returns whether it may be sent.

        Where it may not, the next grant is kept for it for a while.
        """
        if self.grants is None:
            return True
        used = self.grants.use(now)
        self.control_reserved_until = 0.0 if used else now + CONTROL_RESERVATION_S
        return used

    def lacks_grant(self, now: float) -> bool:
        """Returns whether requests of callers need a grant that is not there."""
        if self.grants is None:
            return False
        reserved = int(now < self.control_reserved_until)
        return self.grants.held(now) <= reserved

    def answered(self) -> None:
        """Records that it has begun an answer, and so takes work again."""
        self.resuming = False

    def accepts_requests(self, now: float) -> bool:
        """Returns whether it takes requests; after a pause, one at a time finds that out."""
        if now < self.paused_until:
            return False
        return not self.resuming or self.load.in_flight == 0

    @property
    def usable(self) -> bool:
        """Whether it may get new work."""
        return not self.grant_missing and self._is_otherwise_usable

    @property
    def awaits_grant(self) -> bool:
        """Whether it might get new work if there were a grant."""
        return self.grant_missing and self._is_otherwise_usable

    @property
    def _is_otherwise_usable(self) -> bool:
        if self.weights_expired or self.loading or self.spec.leaving:
            return False
        return self.eligible and self.spec.weight > 0

    def record_weights(self, model: ids.ModelId, version: str) -> bool:
        """Takes a weights version that it is said to serve; returns whether that is news.

        Versions only grow while it runs, so an older one is old news.
        """
        current = self.versions.get(model)
        if current is not None and current.isdigit() and version.isdigit():
            if int(version) <= int(current):
                return False
        elif current == version:
            return False
        self.versions[model] = version
        self.loading_until = 0.0
        return True


class Policy(abc.ABC):
    """A way of choosing an upstream of a pool.

    Attributes:
        members: The upstreams.
        order: Their deterministic order for any key.
        averages: What its requests take on average.
    """

    def __init__(
        self, pool: configuration.Pool, failure_domain: ids.FailureDomainId, now: float
    ) -> None:
        self.pool = pool
        self.failure_domain = failure_domain
        self.members: dict[ids.UpstreamId, Member] = {}
        self.order = rendezvous.Order([])
        self.averages = engine_memory.RequestAverages()
        self.update(pool, now)

    def update(self, pool: configuration.Pool, now: float) -> None:
        """Takes over a new declaration of the pool and keeps what is known of its upstreams."""
        self.pool = pool
        for upstream in [u for u in self.members if u not in pool.upstreams]:
            del self.members[upstream]
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
        """Forgets an upstream that is no longer declared."""
        return

    def upstream_started(self, upstream: ids.UpstreamId, incarnation: ids.Incarnation) -> None:
        """Takes over an upstream that is new or has started again."""
        return

    def weights_reloaded(self, upstream: ids.UpstreamId) -> None:
        """Records that an upstream has loaded weights, which empties its cache."""
        return

    @abc.abstractmethod
    def choose(self, req: PlacementRequest, now: float) -> Choice | None:
        """Returns the choice, or None where no upstream is eligible."""

    def estimates(self, req: PlacementRequest, now: float) -> list[Estimate]:
        """Returns the estimate for each candidate, in the order in which ties are broken."""
        choice = self.choose(req, now)
        return [choice.estimate] if choice else []

    def sent(self, req: PlacementRequest, choice: Estimate, now: float) -> None:
        """Records that a request was sent by a choice."""
        member = self.members.get(choice.upstream)
        if member:
            if member.grants is not None:
                member.grants.use(now)
            member.load.in_flight += 1
            member.memory.add(req.memory_tokens)
            self.averages.record_start(req.memory_tokens)
            tokens = req.prompt.uncached_tokens(choice.cached_pieces + choice.imported_pieces)
            member.load.record_send(tokens, req.service_class, now)

    def finished(self, upstream: ids.UpstreamId, memory_tokens: int, duration_s: float) -> None:
        """Records the end of an attempt, whatever its outcome.

        Args:
            upstream: Where it was.
            memory_tokens: Memory that it took there.
            duration_s: Time for which it was there.
        """
        self.averages.record_end(duration_s)
        member = self.members.get(upstream)
        if member:
            member.load.record_end()
            member.memory.remove(memory_tokens)

    def first_token(
        self, choice: Estimate, prompt: prefix.Prompt, first: FirstToken, now: float
    ) -> tuple[ids.PieceId, ...]:
        """Takes what the first token tells; returns the pieces that are worth an export."""
        return ()

    def usable(
        self, exclude: collections.abc.Container[ids.UpstreamId] = ()
    ) -> list[ids.UpstreamId]:
        """Returns the upstreams that may get new work."""
        return [u for u, m in self.members.items() if m.usable and u not in exclude]

    def with_capacity(
        self, memory_tokens: int, exclude: collections.abc.Container[ids.UpstreamId] = ()
    ) -> list[ids.UpstreamId]:
        """Returns the usable upstreams that bear one more request.

        Args:
            memory_tokens: Memory that it takes while it runs.
            exclude: Upstreams that do not count.
        """
        return [u for u in self.usable(exclude) if self._fits(self.members[u], memory_tokens)]

    def has_capacity(self, memory_tokens: int) -> bool:
        """Returns whether any usable upstream bears one more request."""
        return any(m.usable and self._fits(m, memory_tokens) for m in self.members.values())

    def _fits(self, member: Member, memory_tokens: int) -> bool:
        if member.load.running() >= member.spec.max_in_flight:
            return False
        capacity = self.pool.memory_tokens
        remote_requests = member.load.remote_requests()
        mean_tokens = self.averages.mean_memory_tokens
        return member.memory.fits(memory_tokens, capacity, remote_requests, mean_tokens)
