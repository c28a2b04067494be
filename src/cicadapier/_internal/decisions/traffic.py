"""All decisions of one router about requests: admission, queueing, placement and retries.

This module does no I/O: the services pass in messages with the current time and carry out the
decisions that are returned. The trace replay and the tests run the same code.
"""

import collections.abc
import math

from cicadapier._internal.decisions import attempt_effects
from cicadapier._internal.decisions import fair_queue
from cicadapier._internal.decisions import health
from cicadapier._internal.decisions import in_flight
from cicadapier._internal.decisions import limits
from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import observations
from cicadapier._internal.decisions import placement
from cicadapier._internal.decisions import placer
from cicadapier._internal.decisions import pool_weights
from cicadapier._internal.decisions import queue_waits
from cicadapier._internal.decisions import quota_demand
from cicadapier._internal.decisions import quotas
from cicadapier._internal.decisions import refusals
from cicadapier._internal.decisions import rollout
from cicadapier._internal.decisions import routing
from cicadapier._internal.decisions import target_weights
from cicadapier._internal.decisions.scarcity import account_demand
from cicadapier._internal.decisions.scarcity import late_requests
from cicadapier._internal.decisions.scarcity import pool_control
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes

MAX_ACTIVE_REQUESTS = 10_000
MAX_ISOLATION_WAIT_S = 0.5  # Longest wait of a suspect for an upstream without another suspect.
TOKENLESS_REQUEST_COST = 1  # Queueing cost of a request without tokens.


PolicyFactory = collections.abc.Callable[
    [configuration.Pool, ids.FailureDomainId, float], members.Policy
]


class Traffic:
    """Decisions of one router.

    Attributes:
        limits: This router's share of the limits of all accounts.
        poison: Requests that crash upstreams.
        pools: State of each pool.
        attempts: Places attempts and processes their outcomes.
        observations: Records observations of upstreams.
        target_weights: Target weights version of each model.
    """

    def __init__(
        self,
        failure_domain: ids.FailureDomainId,
        make_policy: PolicyFactory = placement.make_policy,
        max_weights_age_s: float = math.inf,
        orders_by_urgency: bool = False,
    ) -> None:
        self.target_weights = target_weights.TargetWeights(max_weights_age_s)
        self._make_policy = make_policy
        self.limits = limits.AccountLimits()
        self.pools: dict[ids.PoolId, observations.PoolState] = {}
        self.attempts = placer.Placer(failure_domain, self.pools, self.target_weights)
        self.poison = self.attempts.poison
        self.observations = observations.Observations(self.pools)
        self._accounts = account_demand.AccountDemand() if orders_by_urgency else None
        self._failure_domain = failure_domain
        self._cfg = configuration.EMPTY
        # Deadlines of suspects that are waiting for an upstream without another suspect.
        self._isolation_deadlines: dict[ids.RequestId, float] = {}

    @property
    def active_requests(self) -> int:
        """Number of admitted requests that have not ended."""
        return len(self.attempts.active)

    def request_spec(self, request: ids.RequestId) -> routing.RequestSpec | None:
        """Returns the admitted request with an id, or None if it is not active."""
        active = self.attempts.active.get(request)
        return active.request_spec if active else None

    def is_interactive(self, account: ids.AccountId) -> bool:
        """Returns whether an account's requests are interactive."""
        spec = self._cfg.content.accounts.get(account)
        return spec is None or spec.service_class is configuration.ServiceClass.INTERACTIVE

    def has_queued(self) -> bool:
        """Returns whether any request is queued."""
        return any(len(state.queue) for state in self.pools.values())

    def configure(self, cfg: configuration.NumberedConfiguration, now: float) -> None:
        """Applies a configuration."""
        self._cfg = cfg
        # A pool that is no longer declared is kept until the last of its requests has ended.
        used = {active.request_spec.pool for active in self.attempts.active.values()}
        for pool_id in self.pools.keys() - cfg.content.pools.keys() - used:
            del self.pools[pool_id]
        for pool_id, spec in cfg.content.pools.items():
            state = self.pools.get(pool_id)
            if state is None or state.spec.kind is not spec.kind:
                policy = self._make_policy(spec, self._failure_domain, now)
                state = self._make_pool_state(spec, policy, state)
                self.pools[pool_id] = state
                state.register_incarnations()
                continue
            for upstream in [u for u in state.spec.upstreams if u not in spec.upstreams]:
                state.health.forget(upstream)
            state.spec = spec
            state.register_incarnations()
            state.policy.update(spec, now)

    def admit(self, request_spec: routing.RequestSpec, now: float) -> routing.Decision | None:
        """Admits or refuses a request; returns None if it has been queued."""
        account = self._cfg.content.accounts.get(request_spec.account, request_spec.default_account)
        state = self.pools.get(request_spec.pool)
        if account is None or state is None or request_spec.pool not in self._cfg.content.pools:
            return refusals.refuse(
                request_spec, outcomes.RefusalCode.NOT_FOUND, "the account or pool no longer exists"
            )
        state.request_rate.add(1.0, now)
        block = self.poison.find_block(request_spec.subject, now)
        is_trial = block is not None and self.poison.begin_trial(block, now)
        if block is not None and not is_trial:
            return refusals.refuse_blocked(request_spec, block)
        usable = self.attempts.refresh(state, request_spec, now, request_spec.software)
        if not usable and not placer.awaits_grant(state):
            message = f"no upstream of {request_spec.pool} can accept requests now"
            retry_after_s = refusals.available_after_s(state, now)
            return refusals.refuse(
                request_spec, outcomes.RefusalCode.NO_UPSTREAM, message, retry_after_s=retry_after_s
            )
        if len(self.attempts.active) >= MAX_ACTIVE_REQUESTS:
            message = "this router has reached its limit of active requests"
            return refusals.refuse(
                request_spec, outcomes.RefusalCode.OVERLOADED, message, retry_after_s=1.0
            )
        if refused := queue_waits.refuse_long_wait(state, account, request_spec, now):
            return refused
        verdict = self.limits.admit(request_spec.account, account, now)
        if isinstance(verdict, limits.Exceeded):
            message = f"the account's limit of {verdict.limit} is reached"
            return refusals.refuse(
                request_spec,
                outcomes.RefusalCode.RATE_LIMITED,
                message,
                retry_after_s=verdict.retry_after_s,
            )
        active = in_flight.ActiveRequest(
            request_spec, account, now, is_trial=is_trial, software=request_spec.software
        )
        self.attempts.active[request_spec.request] = active
        must_wait = self._must_wait(state, request_spec, now)
        # A stream that its caller takes up again does not queue: the few upstreams that can go on
        # with it would hold up the requests behind it.
        if must_wait and (request_spec.software is None or not usable):
            return self._wait_or_refuse(state, active, usable, now)
        if state.scarcity is not None:
            if state.scarcity.is_crowded_out(request_spec, now):
                message = "the engines are late, and this request gives way to others"
                return self._refuse_active(state.scarcity, active, message, now)
            state.scarcity.record_begin(request_spec)
        return self.attempts.place(state, active, now)

    def retry(self, request: ids.RequestId, now: float) -> routing.Decision | None:
        """Chooses another upstream for a request whose attempt has failed.

        Returns:
            The decision, or None if the request has to wait for a grant or for isolation: if
            possible, a suspect runs on an upstream without another suspect, because a crash with
            two suspects would not show which of them caused it.
        """
        active = self.attempts.active[request]
        state = self.pools.get(active.request_spec.pool)
        if state is None:
            return refusals.refuse(
                active.request_spec, outcomes.RefusalCode.NO_UPSTREAM, "the pool no longer exists"
            )
        block = self.poison.find_block(active.request_spec.subject, now)
        if block is not None:
            return refusals.refuse_blocked(active.request_spec, block)
        usable = self.attempts.refresh(state, active.request_spec, now, active.software)
        if not usable and placer.awaits_grant(state):
            max_wait_s = queue_waits.max_wait_s(state.spec, active.account, active.request_spec)
            self._enqueue(state, active, max_wait_s, now)
            return None
        if self.attempts.must_wait_for_isolation(state, active, now):
            self._isolation_deadlines[request] = now + MAX_ISOLATION_WAIT_S
            return None
        return self.attempts.place(state, active, now)

    def continue_run(self, request: ids.RequestId, now: float) -> routing.Decision:
        """Chooses where a run whose engine was lost continues, or refuses to continue it."""
        return self.attempts.continue_run(self.attempts.active[request], now)

    def end_request(self, request: ids.RequestId, ran: bool, now: float) -> None:
        """Ends a request.

        Args:
            request: Request id.
            ran: Whether it used capacity of an upstream.
            now: Current time.
        """
        active = self.attempts.active.pop(request, None)
        self._isolation_deadlines.pop(request, None)
        if active is None:
            return
        state = self.pools.get(active.request_spec.pool)
        if state:
            state.queue.remove(request)
            for attempt in active.attempts:
                attempt_effects.release_capacity(state, active, attempt, now)
        self.limits.release(active.request_spec.account)

    def record_first_token(
        self, request: ids.RequestId, first: members.FirstToken, now: float
    ) -> routing.Export | None:
        """Corrects the cache estimate with the number of cached tokens that an answer reports.

        Returns:
            An export that is worth its cost, if any.
        """
        self.record_output(request, now)
        active = self.attempts.active.get(request)
        if active is None or active.attempt is None:
            return None
        state = self.pools.get(active.request_spec.pool)
        if state is None:
            return None
        estimate = active.attempt.estimate
        upstream = estimate.upstream
        state.health.record_success(upstream, first.incarnation)
        if upstream in state.policy.members:
            state.policy.members[upstream].record_answer(now)
        pieces = state.policy.record_first_token(estimate, active.request_spec.prompt, first, now)
        return routing.Export(active.request_spec.pool, upstream, pieces) if pieces else None

    def record_output(self, request: ids.RequestId, now: float) -> None:
        """Records that an attempt at a request has produced output."""
        active = self.attempts.active.get(request)
        if active is None:
            return
        self.poison.record_output(active.request_spec.subject, now)
        if active.attempt is not None:
            active.record_output(active.attempt)
        late_requests.record_first_event(self.pools, active, now)

    def poll(self, now: float) -> list[routing.Decision]:
        """Returns decisions on waiting requests that can now be placed or have timed out."""
        decisions: list[routing.Decision] = []
        for pool_id, state in self.pools.items():
            for ticket in state.queue.shed(now):
                message = f"no upstream of {pool_id} had room before the queue timeout"
                request_spec = self.attempts.active[ticket.request].request_spec
                if state.scarcity is not None:
                    state.scarcity.count(request_spec, pool_control.Event.REFUSED_LATE)
                decisions.append(
                    refusals.refuse(
                        request_spec,
                        outcomes.RefusalCode.OVERLOADED,
                        message,
                        retry_after_s=queue_waits.return_after_s(
                            state, request_spec, ticket.service_class, now
                        ),
                    )
                )
            decisions.extend(self._serve_queue(state, now))
        decisions.extend(self._retry_isolated(now))
        return decisions

    def next_deadline(self) -> float | None:
        """Returns the earliest deadline of a queued request, or None."""
        deadlines = [state.queue.next_deadline() for state in self.pools.values()]
        return min((d for d in deadlines if d is not None), default=None)

    def explain(self, request_spec: routing.RequestSpec, now: float) -> routing.Explained | None:
        """Returns the choice that would be made for a request, without placing it."""
        state = self.pools.get(request_spec.pool)
        account = self._cfg.content.accounts.get(request_spec.account)
        if state is None or account is None or not self.attempts.refresh(state, request_spec, now):
            return None
        req = members.PlacementRequest(
            request_spec.request, request_spec.prompt, account.service_class
        )
        choice = state.policy.choose(req, now)
        if choice is None:
            return None
        block = self.poison.find_block(request_spec.subject, now)
        blocked = refusals.refuse_blocked(request_spec, block).refusal.message if block else ""
        return routing.Explained(choice, tuple(state.policy.estimates(req, now)), blocked)

    def grant_demands(self, now: float) -> dict[ids.UpstreamId, quotas.Demand]:
        """Returns the demand for further grants for each rate-limited upstream."""
        found: dict[ids.UpstreamId, quotas.Demand] = {}
        for pool_id in list(self.observations.limited_pools):
            state = self.pools.get(pool_id)
            demands = quota_demand.grant_demands(state, now) if state else {}
            if not demands:
                self.observations.limited_pools.discard(pool_id)
            found.update(demands)
        return found

    def upstream_state(
        self, pool: ids.PoolId, upstream: ids.UpstreamId, now: float
    ) -> health.UpstreamState:
        """Returns the state of an upstream."""
        return self.pools[pool].health.state(upstream, now)

    def engines(
        self, pool: ids.PoolId, model: ids.ModelId, now: float
    ) -> tuple[rollout.Engine, ...]:
        """Returns the engines of a pool that are not leaving, as input for a weights roll-out."""
        state = self.pools.get(pool)
        return pool_weights.engines(state, self.target_weights, model, now) if state else ()

    def _make_pool_state(
        self,
        spec: configuration.Pool,
        policy: members.Policy,
        former: observations.PoolState | None,
    ) -> observations.PoolState:
        """Returns a new state of a pool, with the waiting requests of the former one."""
        scarcity = former.scarcity if former else None
        if scarcity is None and self._accounts is not None:
            scarcity = pool_control.PoolControl(self._accounts)
        policy.weighs_durations = scarcity is not None
        queue = former.queue if former else scarcity.queue if scarcity else fair_queue.FairQueue()
        return observations.PoolState(
            spec, policy, health.UpstreamHealth(), queue, scarcity=scarcity
        )

    def _must_wait(
        self, state: observations.PoolState, request_spec: routing.RequestSpec, now: float
    ) -> bool:
        if state.scarcity is None or self._accounts is None:
            return self._must_wait_in_turn(state, request_spec)
        if self._accounts.is_due(now):
            self._accounts.routers = self.limits.routers
            self._accounts.sample(self.limits.fleet_demand(now), now)
            late_requests.record_late(self.pools, self.attempts.active.values(), now)
        return state.scarcity.must_wait(request_spec, state.policy, now)

    @staticmethod
    def _must_wait_in_turn(
        state: observations.PoolState, request_spec: routing.RequestSpec
    ) -> bool:
        if not len(state.queue):
            return not state.policy.has_capacity(request_spec.memory_tokens)
        if not state.may_pass(request_spec):
            return True
        assert isinstance(state.queue, fair_queue.FairQueue)
        state.queue.record_pass()
        return False

    def _wait_or_refuse(
        self,
        state: observations.PoolState,
        active: in_flight.ActiveRequest,
        usable: bool,
        now: float,
    ) -> routing.Refused | None:
        """Queues a request that cannot begin yet, or refuses it if waiting is pointless."""
        request_spec = active.request_spec
        max_wait_s = queue_waits.max_wait_s(state.spec, active.account, request_spec)
        # Without a usable upstream, a request waits for a grant and not for room.
        if state.scarcity is not None and usable:
            # What a heavy account may not use is free for others, so it is no shortage.
            if len(state.queue) or not state.policy.has_capacity(request_spec.memory_tokens):
                state.scarcity.record_shortage(now)
            useful_s = state.scarcity.useful_wait_s(
                active.placement_request(), request_spec, state.policy, now
            )
            max_wait_s = min(max_wait_s, useful_s)
            reason = state.scarcity.refusal_reason(request_spec, max_wait_s, now)
            if reason is not None:
                return self._refuse_active(state.scarcity, active, reason, now)
            state.scarcity.count(request_spec, pool_control.Event.WAITED)
        self._enqueue(state, active, max_wait_s, now)
        return None

    def _refuse_active(
        self,
        scarcity: pool_control.PoolControl,
        active: in_flight.ActiveRequest,
        message: str,
        now: float,
    ) -> routing.Refused:
        """Refuses a request that was admitted and has not begun."""
        request_spec = active.request_spec
        self.end_request(request_spec.request, ran=False, now=now)
        return refusals.refuse(
            request_spec,
            outcomes.RefusalCode.OVERLOADED,
            message,
            retry_after_s=scarcity.return_after_s(request_spec, now),
        )

    def _enqueue(
        self,
        state: observations.PoolState,
        active: in_flight.ActiveRequest,
        max_wait_s: float,
        now: float,
    ) -> None:
        request_spec = active.request_spec
        state.queue.push(
            fair_queue.QueuedRequest(
                request_spec.request,
                request_spec.account,
                active.account.service_class,
                active.account.weight,
                request_spec.memory_tokens or TOKENLESS_REQUEST_COST,
                now + max_wait_s,
                now,
                request_spec.urgency,
            )
        )

    def _serve_queue(self, state: observations.PoolState, now: float) -> list[routing.Decision]:
        decisions: list[routing.Decision] = []

        def fits(queued: fair_queue.QueuedRequest, uses_kept_room: bool) -> bool:
            return self._fits(state, queued, uses_kept_room, now)

        while ticket := state.queue.next_fitting(fits):
            active = self.attempts.active[ticket.request]
            state.queue.take(ticket, now)
            if state.scarcity is not None:
                state.scarcity.count(active.request_spec, pool_control.Event.BEGUN)
            block = self.poison.find_block(active.request_spec.subject, now)
            if block is not None and not active.is_trial:
                decisions.append(refusals.refuse_blocked(active.request_spec, block))
                continue
            # A suspect that has waited in the queue does not wait for isolation as well.
            isolated = not self.attempts.must_wait_for_isolation(state, active, now)
            decisions.append(self.attempts.place(state, active, now, isolated))
        return decisions

    def _fits(
        self,
        state: observations.PoolState,
        queued: fair_queue.QueuedRequest,
        uses_kept_room: bool,
        now: float,
    ) -> bool:
        """Returns whether a waiting request can begin now; marks the upstreams that it may use."""
        active = self.attempts.active[queued.request]
        request_spec = active.request_spec
        if not self.attempts.refresh(state, request_spec, now, active.software):
            return False
        if state.scarcity is not None:
            return state.scarcity.may_begin(request_spec, uses_kept_room, state.policy, now)
        return state.policy.has_capacity(request_spec.memory_tokens)

    def _retry_isolated(self, now: float) -> list[routing.Decision]:
        decisions: list[routing.Decision] = []
        for request, deadline in list(self._isolation_deadlines.items()):
            active = self.attempts.active[request]
            del self._isolation_deadlines[request]
            decision = self.retry(request, now)
            if decision is None and request not in self._isolation_deadlines:
                # It waits in the queue, for a grant.
                continue
            if decision is None and now < deadline:
                self._isolation_deadlines[request] = deadline
                continue
            if decision is None:
                # Rather beside another suspect than not at all.
                del self._isolation_deadlines[request]
                state = self.pools[active.request_spec.pool]
                decision = self.attempts.place(state, active, now, isolated=False)
            decisions.append(decision)
        return decisions
