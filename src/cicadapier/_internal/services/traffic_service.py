"""The task that owns the router's traffic decisions."""

import collections.abc
import dataclasses

import structlog
import trio

from cicadapier._internal.decisions import belief
from cicadapier._internal.decisions import health
from cicadapier._internal.decisions import limits
from cicadapier._internal.decisions import load
from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import placement
from cicadapier._internal.decisions import poison
from cicadapier._internal.decisions import traffic
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.kernel import service
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.protocols import peer_codec
from cicadapier._internal.services import names

_log = structlog.get_logger()

IDLE_POLL_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Enter:
    """Admits and places a request."""

    entry: traffic.Entry
    reply: "mailbox.Reply[traffic.Decision]"


@dataclasses.dataclass(frozen=True, slots=True)
class Again:
    """Places a request anew after a failed attempt."""

    request: ids.RequestId
    reply: "mailbox.Reply[traffic.Decision]"


@dataclasses.dataclass(frozen=True, slots=True)
class FirstToken:
    """The answer to a request has begun."""

    request: ids.RequestId
    incarnation: ids.Incarnation
    cached_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended; the reply carries new evidence of a crash, if any."""

    request: ids.RequestId
    outcome: outcomes.AttemptOutcome
    reply: "mailbox.Reply[poison.Crash | None]"


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """A request has ended."""

    request: ids.RequestId
    ran: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A new configuration is in force."""

    cfg: configuration.NumberedConfiguration


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReported:
    """An upstream has told its load, its incarnation and whether it is leaving."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
    incarnation: ids.Incarnation
    leaving: bool
    report: load.Report


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeFailed:
    """An upstream did not answer a load query."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
    certain: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CacheChanged:
    """A cache event of an upstream; the reply tells whether its sequence is without a gap."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
    incarnation: ids.Incarnation
    sequence: int
    stored: bool
    pieces: tuple[ids.PieceId, ...]
    age_s: float
    reply: "mailbox.Reply[bool]"


@dataclasses.dataclass(frozen=True, slots=True)
class CacheSnapshot:
    """All that an upstream has cached."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
    incarnation: ids.Incarnation
    sequence: int
    pieces: tuple[ids.PieceId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Listed:
    """The platform's list says whether an upstream is leaving."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSends:
    """Work that another router has sent to an upstream since its last message."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
    tokens: float
    interactive_tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUse:
    """Use of accounts by all other routers, and their number with this one."""

    routers: int
    use: dict[ids.AccountId, limits.RemoteUse]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerCrashes:
    """Evidence against requests from another router."""

    crashes: tuple[poison.Crash, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Kept:
    """Pieces were exported to the pool's keep."""

    pool: ids.PoolId
    pieces: tuple[ids.PieceId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Explain:
    """Asks for the choice that would be made for a request."""

    entry: traffic.Entry
    reply: "mailbox.Reply[members.Choice | None]"


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """What the peers are told of this router's traffic."""

    sends: tuple[peer_codec.SentWork, ...]
    use: dict[ids.AccountId, limits.RemoteUse]
    crashes: tuple[poison.Crash, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TakeDigest:
    """Asks for a digest; its sends are counted from this router's start."""

    reply: "mailbox.Reply[Digest]"


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """State of one upstream."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
    address: ids.Address
    failure_domain: ids.FailureDomainId
    state: health.UpstreamState
    incarnation: ids.Incarnation
    running: int
    backlog_tokens: float
    cached_pieces: int


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """State of the router's traffic."""

    active_requests: int
    queued: dict[ids.PoolId, int]
    upstreams: tuple[UpstreamStatus, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GetStatus:
    """Asks for the state of the router's traffic."""

    reply: "mailbox.Reply[Status]"


Message = (
    Enter
    | Again
    | FirstToken
    | AttemptEnded
    | Leave
    | ConfigurationChanged
    | LoadReported
    | ProbeFailed
    | CacheChanged
    | CacheSnapshot
    | Listed
    | PeerSends
    | PeerUse
    | PeerCrashes
    | Kept
    | Explain
    | TakeDigest
    | GetStatus
)

MAX_DIGEST_CRASHES = 64
MAX_DIGEST_ACCOUNTS = 256


class TrafficService(service.Service):
    """Owns the traffic decisions; every change of them is a message."""

    name = names.TRAFFIC

    def __init__(self, failure_domain: ids.FailureDomainId) -> None:
        self.mailbox: mailbox.Mailbox[Message] = mailbox.Mailbox()
        self._traffic = traffic.Traffic(failure_domain)
        self._waiting: dict[ids.RequestId, mailbox.Reply[traffic.Decision]] = {}
        self._sends: dict[tuple[ids.PoolId, ids.UpstreamId], list[float]] = {}
        self._states: dict[ids.UpstreamId, health.UpstreamState] = {}
        self._handlers: dict[type, collections.abc.Callable[..., None]] = {
            Enter: self._enter,
            Again: self._again,
            FirstToken: self._first_token,
            AttemptEnded: self._attempt_ended,
            Leave: self._leave,
            ConfigurationChanged: self._configure,
            LoadReported: self._load_reported,
            ProbeFailed: self._probe_failed,
            CacheChanged: self._cache_changed,
            CacheSnapshot: self._cache_snapshot,
            Listed: self._listed,
            PeerSends: self._peer_sends,
            PeerUse: self._peer_use,
            PeerCrashes: self._peer_crashes,
            Kept: self._kept,
            Explain: self._explain,
            TakeDigest: self._take_digest,
            GetStatus: self._get_status,
        }

    async def run(self, kernel: service.Kernel, started: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        started.started()
        while True:
            now = trio.current_time()
            deadline = min(now + IDLE_POLL_S, self._traffic.next_deadline() or float("inf"))
            message = await self.mailbox.receive_until(deadline)
            now = trio.current_time()
            if message is not None:
                self._handlers[type(message)](message, now)
            if self._waiting:
                self._decide(self._traffic.poll(now))

    def _enter(self, message: Enter, now: float) -> None:
        decision = self._traffic.enter(message.entry, now)
        self._waiting[message.entry.request] = message.reply
        if decision is not None:
            self._decide([decision])

    def _again(self, message: Again, now: float) -> None:
        self._waiting[message.request] = message.reply
        self._decide([self._traffic.again(message.request, now)])

    def _decide(self, decisions: list[traffic.Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, traffic.Placed):
                self._count_send(decision)
            reply = self._waiting.pop(decision.request, None)
            if reply:
                reply.set(decision)

    def _count_send(self, decision: traffic.Placed) -> None:
        entry = self._traffic.entry(decision.request)
        if entry is None:
            return
        estimate = decision.choice.estimate
        skipped = estimate.cached_pieces + estimate.imported_pieces
        tokens = entry.prompt.uncached_tokens(skipped)
        counts = self._sends.setdefault((entry.pool, estimate.upstream), [0.0, 0.0])
        counts[0] += tokens
        if self._traffic.is_interactive(entry.account):
            counts[1] += tokens

    def _first_token(self, message: FirstToken, now: float) -> None:
        self._traffic.first_token(message.request, message.incarnation, message.cached_tokens, now)

    def _attempt_ended(self, message: AttemptEnded, now: float) -> None:
        message.reply.set(self._traffic.attempt_ended(message.request, message.outcome, now))

    def _leave(self, message: Leave, now: float) -> None:
        self._waiting.pop(message.request, None)
        self._traffic.leave(message.request, message.ran)
        if self._traffic.has_queued():
            self._decide(self._traffic.poll(now))

    def _configure(self, message: ConfigurationChanged, now: float) -> None:
        self._traffic.configure(message.cfg, now)

    def _pool(self, pool: ids.PoolId, upstream: ids.UpstreamId) -> traffic.PoolState | None:
        state = self._traffic.pools.get(pool)
        return state if state and upstream in state.policy.members else None

    def _load_reported(self, message: LoadReported, now: float) -> None:
        state = self._pool(message.pool, message.upstream)
        if state is None:
            return
        state.health.answered(message.upstream, message.incarnation, message.leaving)
        state.policy.members[message.upstream].load.reported(message.report, now)
        if isinstance(state.policy, placement.PrefixPlacement):
            state.policy.belief.observe_incarnation(message.upstream, message.incarnation)
        self._log_state(message.pool, message.upstream, now)

    def _probe_failed(self, message: ProbeFailed, now: float) -> None:
        state = self._pool(message.pool, message.upstream)
        if state:
            state.health.failed(message.upstream, message.certain, now)
            self._log_state(message.pool, message.upstream, now)

    def _log_state(self, pool: ids.PoolId, upstream: ids.UpstreamId, now: float) -> None:
        current = self._traffic.upstream_state(pool, upstream, now)
        if self._states.get(upstream, health.UpstreamState.ACTIVE) is not current:
            _log.info("upstream_state", upstream=upstream, pool=pool, state=current.value)
        self._states[upstream] = current

    def _belief(self, pool: ids.PoolId, upstream: ids.UpstreamId) -> belief.CacheBelief | None:
        state = self._pool(pool, upstream)
        if state and isinstance(state.policy, placement.PrefixPlacement):
            return state.policy.belief
        return None

    def _cache_changed(self, message: CacheChanged, now: float) -> None:
        believed = self._belief(message.pool, message.upstream)
        if believed is None:
            message.reply.set(True)
        elif message.stored:
            message.reply.set(
                believed.stored(
                    message.upstream, message.incarnation, message.sequence, message.pieces, now
                )
            )
        else:
            message.reply.set(
                believed.evicted(
                    message.upstream,
                    message.incarnation,
                    message.sequence,
                    message.pieces,
                    message.age_s,
                    now,
                )
            )

    def _cache_snapshot(self, message: CacheSnapshot, now: float) -> None:
        believed = self._belief(message.pool, message.upstream)
        if believed:
            believed.resynced(
                message.upstream, message.incarnation, message.sequence, message.pieces, now
            )

    def _listed(self, message: Listed, now: float) -> None:
        state = self._pool(message.pool, message.upstream)
        if state:
            state.health.listed(message.upstream, message.leaving)
            self._log_state(message.pool, message.upstream, now)

    def _peer_sends(self, message: PeerSends, now: float) -> None:
        state = self._pool(message.pool, message.upstream)
        if state is None:
            return
        member_load = state.policy.members[message.upstream].load
        batch_tokens = message.tokens - message.interactive_tokens
        if message.interactive_tokens > 0:
            member_load.sent(
                message.interactive_tokens, configuration.ServiceClass.INTERACTIVE, now
            )
        if batch_tokens > 0:
            member_load.sent(batch_tokens, configuration.ServiceClass.BATCH, now)

    def _peer_use(self, message: PeerUse, now: float) -> None:
        self._traffic.limits.set_routers(message.routers)
        self._traffic.limits.set_all_remote(message.use)

    def _peer_crashes(self, message: PeerCrashes, now: float) -> None:
        for crash in message.crashes:
            if self._traffic.poison.crashed(crash, now):
                _log.info("crash_evidence", upstream=crash.upstream, source="peer")

    def _kept(self, message: Kept, now: float) -> None:
        state = self._traffic.pools.get(message.pool)
        if state and isinstance(state.policy, placement.PrefixPlacement):
            state.policy.kept.add(message.pieces)

    def _explain(self, message: Explain, now: float) -> None:
        message.reply.set(self._traffic.explain(message.entry, now))

    def _take_digest(self, message: TakeDigest, now: float) -> None:
        sends = tuple(
            peer_codec.SentWork(pool, upstream, tokens, interactive)
            for (pool, upstream), (tokens, interactive) in self._sends.items()
        )
        use = self._traffic.limits.demand(now)
        if len(use) > MAX_DIGEST_ACCOUNTS:
            busiest = sorted(use, key=lambda a: use[a].demand_per_s, reverse=True)
            use = {account: use[account] for account in busiest[:MAX_DIGEST_ACCOUNTS]}
        crashes = tuple(self._traffic.poison.recent(MAX_DIGEST_CRASHES, now))
        message.reply.set(Digest(sends, use, crashes))

    def _get_status(self, message: GetStatus, now: float) -> None:
        upstreams = []
        queued = {}
        for pool_id, state in self._traffic.pools.items():
            queued[pool_id] = len(state.queue)
            for upstream in state.policy.members:
                upstreams.append(self._upstream_status(pool_id, state, upstream, now))
        message.reply.set(Status(self._traffic.active_requests, queued, tuple(upstreams)))

    def _upstream_status(
        self, pool_id: ids.PoolId, state: traffic.PoolState, upstream: ids.UpstreamId, now: float
    ) -> UpstreamStatus:
        member = state.policy.members[upstream]
        current = self._traffic.upstream_state(pool_id, upstream, now)
        if member.spec.leaving:
            current = health.UpstreamState.LEAVING
        cached = 0
        if isinstance(state.policy, placement.PrefixPlacement):
            cached = state.policy.belief.size_of(upstream)
        return UpstreamStatus(
            pool_id,
            upstream,
            member.spec.address,
            member.spec.failure_domain,
            current,
            state.health.incarnation(upstream),
            member.load.running(),
            member.load.backlog_tokens(configuration.ServiceClass.BATCH, now),
            cached,
        )
