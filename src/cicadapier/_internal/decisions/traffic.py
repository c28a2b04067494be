"""Everything that one router decides about requests: admission, queues, placement, retries.

Pure state: the services feed it messages and a clock reading, and carry out what it returns. The
trace replay and the tests drive the same code.
"""

import collections.abc
import dataclasses
import math

from cicadapier._internal.decisions import backups
from cicadapier._internal.decisions import entries
from cicadapier._internal.decisions import fairqueue
from cicadapier._internal.decisions import health
from cicadapier._internal.decisions import limits
from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import named_weights
from cicadapier._internal.decisions import observations
from cicadapier._internal.decisions import placement
from cicadapier._internal.decisions import poison
from cicadapier._internal.decisions import pool_weights
from cicadapier._internal.decisions import prefix
from cicadapier._internal.decisions import rollout
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes

MAX_QUEUED = 10_000
MAX_ALONE_S = 1.5


PolicyFactory = collections.abc.Callable[
    [configuration.Pool, ids.FailureDomainId, float], members.Policy
]


@dataclasses.dataclass(slots=True)
class _Active:
    """A request that has entered.

    Attributes:
        entry: What entered.
        account: Declaration of its account.
        entered_at: When it entered.
        choice: Where its present attempt is, None between attempts.
        incarnation: Incarnation that was known of that upstream.
        backup: Where its run is backed up.
        suspected: Whether the silence of the present attempt was counted against its upstream.
        tried: Upstreams at which attempts have failed.
    """

    entry: entries.Entry
    account: configuration.Account
    entered_at: float
    choice: members.Estimate | None = None
    incarnation: ids.Incarnation = ids.Incarnation("")
    backup: backups.Backup | None = None
    suspected: bool = False
    tried: set[ids.UpstreamId] = dataclasses.field(default_factory=set)


class Traffic:
    """Decisions of one router.

    Attributes:
        limits: This router's part in the limits of all accounts.
        poison: Requests that crash upstreams.
        pools: State of each pool.
        observations: Takes in what is observed of upstreams.
        named: Newest weights that were named for each model.
    """

    def __init__(
        self,
        failure_domain: ids.FailureDomainId,
        make_policy: PolicyFactory = placement.make_policy,
        weights_s: float = math.inf,
    ) -> None:
        self.named = named_weights.NamedWeights(weights_s)
        self._make_policy = make_policy
        self.limits = limits.AccountLimits()
        self.poison = poison.PoisonGuard()
        self.pools: dict[ids.PoolId, observations.PoolState] = {}
        self.observations = observations.Observations(self.pools)
        self._domain = failure_domain
        self._cfg = configuration.EMPTY
        self._active: dict[ids.RequestId, _Active] = {}
        # Suspects that wait for an upstream without another suspect, with their deadlines.
        self._alone: dict[ids.RequestId, float] = {}

    @property
    def active_requests(self) -> int:
        """Requests that have entered and not left."""
        return len(self._active)

    def entry(self, request: ids.RequestId) -> entries.Entry | None:
        """Returns what entered under an id, while the request is active."""
        active = self._active.get(request)
        return active.entry if active else None

    def is_interactive(self, account: ids.AccountId) -> bool:
        """Returns whether an account's requests are interactive."""
        spec = self._cfg.content.accounts.get(account)
        return spec is None or spec.service_class is configuration.ServiceClass.INTERACTIVE

    def has_queued(self) -> bool:
        """Returns whether any request waits for a slot."""
        return any(len(state.queue) for state in self.pools.values())

    def configure(self, cfg: configuration.NumberedConfiguration, now: float) -> None:
        """Takes over a configuration."""
        self._cfg = cfg
        for pool_id in [p for p in self.pools if p not in cfg.content.pools]:
            del self.pools[pool_id]
        for pool_id, spec in cfg.content.pools.items():
            state = self.pools.get(pool_id)
            if state is None or state.spec.kind is not spec.kind:
                policy = self._make_policy(spec, self._domain, now)
                state = observations.PoolState(
                    spec, policy, health.UpstreamHealth(), fairqueue.FairQueue()
                )
                self.pools[pool_id] = state
                state.register()
                continue
            for upstream in [u for u in state.spec.upstreams if u not in spec.upstreams]:
                state.health.forget(upstream)
            state.spec = spec
            state.register()
            state.policy.update(spec, now)

    def enter(self, entry: entries.Entry, now: float) -> entries.Decision | None:
        """Admits a request; returns None where it has to wait for a slot."""
        account = self._cfg.content.accounts.get(entry.account, entry.terms)
        state = self.pools.get(entry.pool)
        if account is None or state is None:
            return _refused(entry, outcomes.Code.NOT_FOUND, "the account or pool is gone")
        if self.poison.is_held(entry.fingerprint, now):
            return self._held(entry)
        if not self._refresh(state, entry, now):
            message = f"no upstream of {entry.pool} can take requests now"
            return _refused(entry, outcomes.Code.NO_UPSTREAM, message, retry_after_s=1.0)
        if len(self._active) >= MAX_QUEUED:
            message = "this router runs as many requests as it can"
            return _refused(entry, outcomes.Code.OVERLOADED, message, retry_after_s=1.0)
        wait_s = state.queue.expected_wait_s(account.service_class)
        if len(state.queue) and wait_s > _patience_s(state.spec, account, entry):
            # Waiting would be in vain: the caller learns it now and not at its deadline.
            message = f"the queue is {wait_s:.1f} s long"
            return _refused(entry, outcomes.Code.OVERLOADED, message, retry_after_s=wait_s)
        cost = entry.prompt.total_tokens + entry.output_tokens
        verdict = self.limits.admit(entry.account, account, cost, now)
        if isinstance(verdict, limits.Exceeded):
            message = f"the account's limit of {verdict.limit} is reached"
            return _refused(
                entry, outcomes.Code.RATE_LIMITED, message, retry_after_s=verdict.retry_after_s
            )
        active = _Active(entry, account, now)
        self._active[entry.request] = active
        if len(state.queue) or state.policy.free_slots() <= 0:
            self._enqueue(state, active, now)
            return None
        return self._place(state, active, now)

    def again(self, request: ids.RequestId, now: float) -> entries.Decision | None:
        """Chooses another upstream for a request whose attempt has failed.

        Returns:
            None where the request has to wait: a suspect runs only where no other suspect does,
            because two of them could not be told apart after the next crash.
        """
        active = self._active[request]
        state = self.pools.get(active.entry.pool)
        if state is None:
            return _refused(active.entry, outcomes.Code.NO_UPSTREAM, "the pool is gone")
        if self.poison.is_held(active.entry.fingerprint, now):
            return self._held(active.entry)
        self._refresh(state, active.entry, now)
        if self._must_wait_alone(state, active, now):
            self._alone[request] = now + MAX_ALONE_S
            return None
        return self._place(state, active, now)

    def supersede(self, request: ids.RequestId, lost: bool, now: float) -> entries.Successor | None:
        """Finds where a request goes on, so that its present attempt may be given up.

        Args:
            request: The request, whose attempt shows no progress.
            lost: Whether its upstream cannot be reached, so that the run goes on from its backup.
            now: Present time.

        Returns:
            None where it goes on nowhere else; the attempt then stands.
        """
        active = self._active.get(request)
        state = self.pools.get(active.entry.pool) if active else None
        if active is None or active.choice is None or state is None:
            return None
        self._suspect(state, active, now)
        before = dataclasses.replace(active)
        # What runs on an upstream that goes silent need not have made it so.
        outcome = outcomes.Broken("no progress", 0, crashed=False, unreachable=lost)
        if lost:
            decision = self.continue_run(request, now)
        else:
            decision = self._place_elsewhere(state, active, now)
        if isinstance(decision, entries.Refused):
            return None
        return entries.Successor(decision, self._attempt_over(state, before, outcome, now))

    def silent(self, request: ids.RequestId, now: float) -> None:
        """Counts that the present attempt of a request shows no progress."""
        active = self._active.get(request)
        state = self.pools.get(active.entry.pool) if active else None
        if active and state:
            self._suspect(state, active, now)

    def _place_elsewhere(
        self, state: observations.PoolState, active: _Active, now: float
    ) -> entries.Decision:
        """Places a request at an upstream that it has not been sent to."""
        assert active.choice
        entry = active.entry
        if self.poison.is_held(entry.fingerprint, now):
            return self._held(entry)
        self._refresh(state, entry, now)
        choice = self._choose(state, active, {*active.tried, active.choice.upstream}, now)
        if choice is None:
            return _refused(entry, outcomes.Code.NO_UPSTREAM, "there is no other upstream")
        return self._place_at(state, active, choice, now)

    def _suspect(self, state: observations.PoolState, active: _Active, now: float) -> None:
        """Counts the silence of an attempt against its upstream, once."""
        if active.choice and not active.suspected:
            state.health.failed(active.choice.upstream, False, now)
        active.suspected = True

    def continue_run(self, request: ids.RequestId, now: float) -> entries.Decision:
        """Returns where a run whose engine is lost goes on, or refuses that."""
        active = self._active[request]
        backup = active.backup
        state = self.pools.get(active.entry.pool)
        if state is None or backup is None:
            return _refused(active.entry, outcomes.Code.NO_UPSTREAM, "the run has no backup")
        self._refresh(state, active.entry, now)
        if not backups.may_continue(state.policy.members, backup):
            message = f"the backup of the run at {backup.upstream} cannot be used"
            return _refused(active.entry, outcomes.Code.NO_UPSTREAM, message)
        return self._place_at_backup(state, active, backup, now)

    def _place_at_backup(
        self,
        state: observations.PoolState,
        active: _Active,
        backup: backups.Backup,
        now: float,
    ) -> entries.Placed:
        entry = active.entry
        distance_s = state.policy.members[backup.upstream].distance_s
        estimate = members.Estimate(
            backup.upstream, len(entry.prompt.pieces), 0, 0.0, 0.0, distance_s, distance_s
        )
        req = members.PlacementRequest(
            entry.request, prefix.EMPTY, active.account.service_class, model=entry.model
        )
        active.choice = estimate
        active.incarnation = backup.incarnation
        active.suspected = False
        state.policy.sent(req, estimate, now)
        choice = members.Choice(estimate, "holds a backup of the run")
        return entries.Placed(
            entry.request,
            choice,
            backup.incarnation,
            now - active.entered_at,
            backup.weights.version,
            self._back_up(state, active),
            continues=True,
        )

    def _back_up(self, state: observations.PoolState, active: _Active) -> ids.UpstreamId | None:
        """Chooses where the run that has just been placed is backed up."""
        entry = active.entry
        active.backup = None
        if entry.backed_up and entry.model is not None and active.choice:
            active.backup = backups.choose(
                state.policy.members, active.choice.upstream, entry.model, self._domain
            )
        return active.backup.upstream if active.backup else None

    def _must_wait_alone(self, state: observations.PoolState, active: _Active, now: float) -> bool:
        if not self.poison.is_suspect(active.entry.fingerprint, now):
            return False
        usable = set(state.policy.usable(active.tried))
        return bool(usable) and usable <= self.suspect_upstreams(now)

    def attempt_ended(
        self, request: ids.RequestId, outcome: outcomes.AttemptOutcome, now: float
    ) -> poison.Crash | None:
        """Takes the outcome of the present attempt of a request.

        Returns:
            New evidence against the request, which the other routers must learn of.
        """
        active = self._active.get(request)
        if active is None or active.choice is None:
            return None
        before = dataclasses.replace(active)
        active.choice = None
        state = self.pools.get(active.entry.pool)
        return self._attempt_over(state, before, outcome, now) if state else None

    def _attempt_over(
        self,
        state: observations.PoolState,
        active: _Active,
        outcome: outcomes.AttemptOutcome,
        now: float,
    ) -> poison.Crash | None:
        choice = active.choice
        assert choice
        state.policy.finished(choice.upstream)
        if isinstance(outcome, outcomes.Complete):
            state.health.answered(choice.upstream)
            self.poison.completed(active.entry.fingerprint)
            return None
        if not (isinstance(outcome, outcomes.RefusedBeforeRunning) and outcome.other_weights):
            active.tried.add(choice.upstream)
        return self._count_failure(state, active, choice, outcome, now)

    def leave(self, request: ids.RequestId, ran: bool) -> None:
        """Ends a request.

        Args:
            request: Its id.
            ran: Whether it cost an upstream anything; else its cost is given back.
        """
        active = self._active.pop(request, None)
        self._alone.pop(request, None)
        if active is None:
            return
        state = self.pools.get(active.entry.pool)
        if state:
            state.queue.remove(request)
            if active.choice:
                state.policy.finished(active.choice.upstream)
        self.limits.release(active.entry.account)
        if not ran:
            cost = active.entry.prompt.total_tokens + active.entry.output_tokens
            self.limits.refund(active.entry.account, cost)

    def first_token(
        self, request: ids.RequestId, first: members.FirstToken, now: float
    ) -> entries.Export | None:
        """Corrects what is believed by an answer's own count of cached tokens.

        Returns:
            An export that is worth its cost, if any.
        """
        active = self._active.get(request)
        if active is None or active.choice is None:
            return None
        state = self.pools.get(active.entry.pool)
        if state is None:
            return None
        upstream = active.choice.upstream
        state.health.answered(upstream, first.incarnation)
        pieces = state.policy.first_token(active.choice, active.entry.prompt, first, now)
        return entries.Export(active.entry.pool, upstream, pieces) if pieces else None

    def poll(self, now: float) -> list[entries.Decision]:
        """Returns decisions on waiting requests that time or freed slots allow."""
        decisions: list[entries.Decision] = []
        for pool_id, state in self.pools.items():
            for ticket in state.queue.shed(now):
                message = f"no slot of {pool_id} became free in time"
                entry = self._active[ticket.request].entry
                decisions.append(
                    _refused(entry, outcomes.Code.OVERLOADED, message, retry_after_s=1.0)
                )
            decisions.extend(self._serve_queue(state, now))
        decisions.extend(self._serve_alone(now))
        return decisions

    def next_deadline(self) -> float | None:
        """Returns when `poll` has something to shed, or None."""
        deadlines = [state.queue.next_deadline() for state in self.pools.values()]
        return min((d for d in deadlines if d is not None), default=None)

    def explain(self, entry: entries.Entry, now: float) -> entries.Explained | None:
        """Returns the choice that would be made for a request, without any effect."""
        state = self.pools.get(entry.pool)
        account = self._cfg.content.accounts.get(entry.account)
        if state is None or account is None or not self._refresh(state, entry, now):
            return None
        req = members.PlacementRequest(entry.request, entry.prompt, account.service_class)
        choice = state.policy.choose(req, now)
        if choice is None:
            return None
        return entries.Explained(choice, tuple(state.policy.estimates(req, now)))

    def upstream_state(
        self, pool: ids.PoolId, upstream: ids.UpstreamId, now: float
    ) -> health.UpstreamState:
        """Returns the state of an upstream."""
        return self.pools[pool].health.state(upstream, now)

    def engines(
        self, pool: ids.PoolId, model: ids.ModelId, now: float
    ) -> tuple[rollout.Engine, ...]:
        """Returns the engines of a pool that are not leaving, for whoever orders them."""
        state = self.pools.get(pool)
        return pool_weights.engines(state, self.named, model, now) if state else ()

    def suspect_upstreams(self, now: float) -> frozenset[ids.UpstreamId]:
        """Returns the upstreams that run a suspect request now."""
        return frozenset(
            active.choice.upstream
            for active in self._active.values()
            if active.choice and self.poison.is_suspect(active.entry.fingerprint, now)
        )

    def _refresh(self, state: observations.PoolState, entry: entries.Entry, now: float) -> bool:
        """Works out which upstreams a request may use now; returns whether there are any."""
        pool_weights.compare(state, self.named, entry.model, now)
        usable = False
        for upstream, member in state.policy.members.items():
            member.eligible = state.health.state(upstream, now) is health.UpstreamState.ACTIVE
            member.loading = now < member.loading_until
            member.load.forget_told(now)
            usable = usable or member.usable
        return usable

    def _place(
        self, state: observations.PoolState, active: _Active, now: float
    ) -> entries.Decision:
        entry = active.entry
        choice = self._choose(state, active, active.tried, now)
        if choice is None and active.tried and not self.poison.is_suspect(entry.fingerprint, now):
            # Every upstream failed once; one that has recovered may be tried again.
            choice = self._choose(state, active, (), now)
        if choice is None:
            message = f"no upstream of {entry.pool} can take this request now"
            return _refused(entry, outcomes.Code.NO_UPSTREAM, message, retry_after_s=1.0)
        return self._place_at(state, active, choice, now)

    def _choose(
        self,
        state: observations.PoolState,
        active: _Active,
        exclude: collections.abc.Iterable[ids.UpstreamId],
        now: float,
    ) -> members.Choice | None:
        excluded = frozenset(exclude)
        if self.poison.is_suspect(active.entry.fingerprint, now):
            # Two suspects on one upstream could not be told apart after the next crash.
            excluded |= self.suspect_upstreams(now)
        return state.policy.choose(_placement_request(active, excluded), now)

    def _place_at(
        self,
        state: observations.PoolState,
        active: _Active,
        choice: members.Choice,
        now: float,
    ) -> entries.Placed:
        entry = active.entry
        req = _placement_request(active, frozenset())
        active.choice = choice.estimate
        active.suspected = False
        active.incarnation = state.health.incarnation(choice.estimate.upstream)
        state.policy.sent(req, choice.estimate, now)
        weights = None
        if entry.model is not None:
            weights = state.policy.members[choice.estimate.upstream].versions.get(entry.model)
        waited_s = now - active.entered_at
        backup = self._back_up(state, active)
        return entries.Placed(entry.request, choice, active.incarnation, waited_s, weights, backup)

    def _enqueue(self, state: observations.PoolState, active: _Active, now: float) -> None:
        entry = active.entry
        state.queue.push(
            fairqueue.Ticket(
                entry.request,
                entry.account,
                active.account.service_class,
                active.account.weight,
                entry.prompt.total_tokens + entry.output_tokens,
                now + _patience_s(state.spec, active.account, entry),
            )
        )

    def _serve_queue(self, state: observations.PoolState, now: float) -> list[entries.Decision]:
        decisions: list[entries.Decision] = []
        while ticket := state.queue.peek():
            active = self._active[ticket.request]
            if not self._refresh(state, active.entry, now) or state.policy.free_slots() <= 0:
                break
            state.queue.pop(now)
            decisions.append(self._place(state, active, now))
        return decisions

    def _serve_alone(self, now: float) -> list[entries.Decision]:
        decisions: list[entries.Decision] = []
        for request, deadline in list(self._alone.items()):
            active = self._active[request]
            del self._alone[request]
            decision = self.again(request, now)
            if decision is None and now < deadline:
                self._alone[request] = deadline
                continue
            if decision is None:
                del self._alone[request]
                message = "no upstream became free of other suspects in time"
                decision = _refused(active.entry, outcomes.Code.NO_UPSTREAM, message, 1.0)
            decisions.append(decision)
        return decisions

    def _count_failure(
        self,
        state: observations.PoolState,
        active: _Active,
        choice: members.Estimate,
        outcome: outcomes.AttemptOutcome,
        now: float,
    ) -> poison.Crash | None:
        if isinstance(outcome, outcomes.RefusedBeforeRunning):
            return None
        crashed = unreachable = False
        if isinstance(outcome, outcomes.SentNoAnswer | outcomes.Broken):
            crashed, unreachable = outcome.crashed, outcome.unreachable
        certain = crashed or unreachable or isinstance(outcome, outcomes.NotSent)
        if certain or not active.suspected:
            state.health.failed(choice.upstream, certain, now)
        if isinstance(state.policy, placement.PrefixPlacement):
            if certain:
                state.policy.belief.forget(choice.upstream)
            else:
                state.policy.belief.abandoned(choice.upstream, active.entry.prompt.pieces)
        if not crashed:
            return None
        fingerprint = active.entry.fingerprint
        crash = poison.Crash(fingerprint, choice.upstream, active.incarnation)
        return crash if self.poison.crashed(crash, now) else None

    def _held(self, entry: entries.Entry) -> entries.Refused:
        message = (
            "this request was running on two upstreams as they crashed; "
            "it is held back and was not run again"
        )
        return _refused(entry, outcomes.Code.POISON, message)


def _placement_request(
    active: _Active, exclude: frozenset[ids.UpstreamId]
) -> members.PlacementRequest:
    entry = active.entry
    return members.PlacementRequest(
        entry.request,
        entry.prompt,
        active.account.service_class,
        exclude,
        entry.weights,
        entry.model,
    )


def _patience_s(
    spec: configuration.Pool, account: configuration.Account, entry: entries.Entry
) -> float:
    if entry.patience_s is not None:
        return entry.patience_s
    if account.service_class is configuration.ServiceClass.BATCH:
        return spec.timeouts.batch_queue_s
    return spec.timeouts.queue_s


def _refused(
    entry: entries.Entry, code: outcomes.Code, message: str, retry_after_s: float | None = None
) -> entries.Refused:
    refusal = outcomes.Refusal(code, message, outcomes.Effect.NOT_RUN, retry_after_s)
    return entries.Refused(entry.request, refusal)
