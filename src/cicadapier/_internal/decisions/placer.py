"""Placement of the attempts at active requests, and handling of their outcomes."""

import collections.abc
import http
import math

from cicadapier._internal.decisions import attempt_effects
from cicadapier._internal.decisions import backups
from cicadapier._internal.decisions import health
from cicadapier._internal.decisions import in_flight
from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import observations
from cicadapier._internal.decisions import placement
from cicadapier._internal.decisions import poison
from cicadapier._internal.decisions import pool_weights
from cicadapier._internal.decisions import prefix
from cicadapier._internal.decisions import refusals
from cicadapier._internal.decisions import routing
from cicadapier._internal.decisions import target_weights
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes

Pools = collections.abc.Mapping[ids.PoolId, observations.PoolState]


class Placer:
    """Places attempts on upstreams and records their outcomes.

    Attributes:
        poison: Detector of requests that crash upstreams.
        target_weights: Target weights versions of each model.
        active: Requests that have been admitted and have not ended, by id.
    """

    def __init__(
        self,
        failure_domain: ids.FailureDomainId,
        pools: Pools,
        targets: target_weights.TargetWeights,
    ) -> None:
        self.poison = poison.PoisonDetector()
        self.target_weights = targets
        self.active: dict[ids.RequestId, in_flight.ActiveRequest] = {}
        self._failure_domain = failure_domain
        self._pools = pools

    def refresh(
        self,
        state: observations.PoolState,
        request_spec: routing.RequestSpec,
        now: float,
        software: str | None = None,
    ) -> bool:
        """Updates which upstreams a request may use now; returns whether it may use any.

        Args:
            state: State of its pool.
            request_spec: The request.
            now: Current time.
            software: Version of the software that began its answer; None if any may begin it.
        """
        pool_weights.mark_outdated_members(state, self.target_weights, request_spec.model, now)
        any_usable = False
        averages = state.policy.averages
        remote_requests = averages.remote_requests(now) if state.spec.memory_tokens else 0.0
        for upstream, member in state.policy.members.items():
            is_active = state.health.state(upstream, now) is health.UpstreamState.ACTIVE
            member.eligible = is_active and member.accepts_requests(now)
            member.loading = now < member.loading_until
            member.check_window(now)
            member.other_software = software is not None and member.spec.software != software
            member.grant_missing = member.lacks_grant(now)
            member.load.decay_remote_requests(
                now, averages.turnover_s, averages.mean_duration_s, remote_requests
            )
            state.policy.apply_slowness(upstream, now)  # What an upstream stated fades.
            any_usable = any_usable or member.usable
        return any_usable

    def place(
        self,
        state: observations.PoolState,
        active: in_flight.ActiveRequest,
        now: float,
        isolated: bool = True,
    ) -> routing.Decision:
        """Places the next attempt at a request; call `refresh` first.

        Args:
            state: State of its pool.
            active: The request.
            now: Current time.
            isolated: Whether a suspect needs an upstream that runs no other suspect.
        """
        request_spec = active.request_spec
        choice = self._choose(state, active, active.failed_upstreams, now, isolated)
        if (
            choice is None
            and active.failed_upstreams
            and not self.poison.is_suspect(request_spec.fingerprint, now)
        ):
            # Every upstream has failed once; try again one that has recovered.
            choice = self._choose(state, active, (), now)
        if choice is None:
            message = f"no upstream of {request_spec.pool} can take this request now"
            retry_after_s = refusals.available_after_s(state, now)
            return refusals.refuse(
                request_spec, outcomes.RefusalCode.NO_UPSTREAM, message, retry_after_s=retry_after_s
            )
        if active.attempt is not None:
            # The end of the previous attempt was not reported.
            attempt_effects.release_capacity(state, active, active.attempt, now)
        active.attempt = self._start_attempt(state, active, choice, now)
        backup = self._choose_backup(state, active)
        return self._make_placed(state, active, active.attempt, choice, now, backup)

    def place_hedge(self, request: ids.RequestId, now: float) -> routing.Placed | None:
        """Places a hedge on another upstream while the current attempt shows no progress.

        Returns:
            None where the request has no current attempt, already has a hedge or is blocked, or
            where no upstream to which it has not been sent can take it now.
        """
        active, state = self._find(request)
        if active is None or state is None or active.attempt is None or active.hedge:
            return None
        self._count_silence(state, active.attempt, now)
        if self.poison.find_block(active.request_spec.subject, now):
            return None
        self.refresh(state, active.request_spec, now, active.software)
        exclude = {*active.failed_upstreams, active.attempt.estimate.upstream}
        if not state.policy.with_capacity(active.request_spec.memory_tokens, exclude):
            # No upstream has free capacity; another run would delay those in progress.
            return None
        choice = self._choose(state, active, exclude, now)
        if choice is None:
            return None
        active.hedge = self._start_attempt(state, active, choice, now)
        return self._make_placed(state, active, active.hedge, choice, now)

    def hedge_ended(
        self,
        request: ids.RequestId,
        outcome: outcomes.AttemptOutcome | None,
        now: float,
    ) -> poison.Evidence | None:
        """Handles the end of a hedge that did not replace the current attempt.

        Args:
            request: The request.
            outcome: Outcome of the hedge; None where it was no longer needed or was not allowed to
                be sent.
            now: Current time.

        Returns:
            New evidence against the request, which must be sent to the other routers, or None.
        """
        active, state = self._find(request)
        if active is None or state is None or active.hedge is None:
            return None
        hedge, active.hedge = active.hedge, None
        return self._end_attempt(state, active, hedge, outcome, now)

    def hedge_won(
        self, request: ids.RequestId, former: outcomes.AttemptOutcome, now: float
    ) -> poison.Evidence | None:
        """Replaces the current attempt at a request with its hedge.

        Args:
            request: The request.
            former: Outcome of the attempt that is replaced.
            now: Current time.

        Returns:
            New evidence against the request, which must be sent to the other routers, or None.
        """
        active, state = self._find(request)
        if active is None or state is None or active.hedge is None:
            return None
        attempt, active.attempt, active.hedge = active.attempt, active.hedge, None
        return self._end_attempt(state, active, attempt, former, now) if attempt else None

    def fail_over(self, request: ids.RequestId, now: float) -> routing.Failover | None:
        """Continues a run from its backup because its upstream is unreachable.

        Returns:
            None where that is not possible; the current attempt then stays in place.
        """
        active, state = self._find(request)
        if active is None or state is None or active.attempt is None:
            return None
        lost = active.attempt
        self._count_silence(state, lost, now)
        decision = self.continue_run(active, now)
        if isinstance(decision, routing.Refused):
            return None
        # An unreachable upstream is no evidence that this request crashed it.
        reason = "the upstream cannot be reached"
        outcome = outcomes.Broken(reason, 0, crashed=False, unreachable=True)
        crash = self._end_attempt(state, active, lost, outcome, now)
        return routing.Failover(decision, crash)

    def continue_run(self, active: in_flight.ActiveRequest, now: float) -> routing.Decision:
        """Places a run whose engine is lost on the upstream with its backup, or refuses it."""
        request_spec = active.request_spec
        backup = active.backup
        state = self._pools.get(request_spec.pool)
        if state is None or backup is None:
            return refusals.refuse(
                request_spec, outcomes.RefusalCode.NO_UPSTREAM, "the run has no backup"
            )
        if (block := self.poison.find_block(request_spec.subject, now)) is not None:
            return refusals.refuse_blocked(request_spec, block)
        self.refresh(state, request_spec, now, active.software)
        if not backups.can_continue(state.policy.members, backup):
            message = f"the backup of the run at {backup.upstream} cannot be used"
            return refusals.refuse(request_spec, outcomes.RefusalCode.NO_UPSTREAM, message)
        return self._place_at_backup(state, active, backup, now)

    def report_silence(self, request: ids.RequestId, now: float) -> None:
        """Records that the current attempt at a request shows no progress."""
        active, state = self._find(request)
        if active and state and active.attempt:
            self._count_silence(state, active.attempt, now)

    def attempt_ended(
        self, request: ids.RequestId, outcome: outcomes.AttemptOutcome, now: float
    ) -> poison.Evidence | None:
        """Handles the outcome of the current attempt at a request.

        Returns:
            New evidence against the request, which must be sent to the other routers, or None.
        """
        active, state = self._find(request)
        if active is None or active.attempt is None:
            return None
        attempt, active.attempt = active.attempt, None
        return self._end_attempt(state, active, attempt, outcome, now) if state else None

    def suspect_upstreams(self, now: float) -> frozenset[ids.UpstreamId]:
        """Returns the upstreams on which a suspect request is running."""
        return frozenset(
            attempt.estimate.upstream
            for active in self.active.values()
            if self.poison.is_suspect(active.request_spec.fingerprint, now)
            for attempt in active.attempts
        )

    def must_wait_for_isolation(
        self, state: observations.PoolState, active: in_flight.ActiveRequest, now: float
    ) -> bool:
        """Returns whether a suspect has to wait for an upstream that runs no other suspect."""
        if not self.poison.is_suspect(active.request_spec.fingerprint, now):
            return False
        usable = set(state.policy.usable(active.failed_upstreams))
        return bool(usable) and usable <= self.suspect_upstreams(now)

    def _find(
        self, request: ids.RequestId
    ) -> tuple[in_flight.ActiveRequest | None, observations.PoolState | None]:
        active = self.active.get(request)
        return active, self._pools.get(active.request_spec.pool) if active else None

    def _count_silence(
        self, state: observations.PoolState, attempt: in_flight.Attempt, now: float
    ) -> None:
        """Records the silence of an attempt as a failure of its upstream, at most once."""
        if not attempt.silence_counted:
            state.health.record_failure(attempt.estimate.upstream, False, now)
        attempt.silence_counted = True

    def _choose(
        self,
        state: observations.PoolState,
        active: in_flight.ActiveRequest,
        exclude: collections.abc.Iterable[ids.UpstreamId],
        now: float,
        isolated: bool = True,
    ) -> members.Choice | None:
        excluded = frozenset(exclude)
        if isolated and self.poison.is_suspect(active.request_spec.fingerprint, now):
            # A crash of an upstream that runs two suspects cannot be attributed to one of them.
            excluded |= self.suspect_upstreams(now)
        excluded |= state.policy.spared()
        usable = set(state.policy.usable(excluded))
        with_capacity = set(state.with_room(active.request_spec, excluded, now))
        if with_capacity:
            excluded |= usable - with_capacity
        req = active.placement_request(excluded)
        return state.policy.choose(req, now) or _choose_least_busy(state, req)

    def _start_attempt(
        self,
        state: observations.PoolState,
        active: in_flight.ActiveRequest,
        choice: members.Choice,
        now: float,
    ) -> in_flight.Attempt:
        state.policy.record_sent(active.placement_request(), choice.estimate, now)
        incarnation = state.health.incarnation(choice.estimate.upstream)
        software = state.policy.members[choice.estimate.upstream].spec.software
        return in_flight.Attempt(choice.estimate, incarnation, now, software=software)

    def _make_placed(
        self,
        state: observations.PoolState,
        active: in_flight.ActiveRequest,
        attempt: in_flight.Attempt,
        choice: members.Choice,
        now: float,
        backup: ids.UpstreamId | None = None,
    ) -> routing.Placed:
        request_spec = active.request_spec
        member = state.policy.members[choice.estimate.upstream]
        weights = None
        start_deadline = math.inf
        if request_spec.model is not None:
            weights = self._expected_weights(member, request_spec.model)
            start_deadline = self.target_weights.start_deadline(request_spec.model, weights, now)
        return routing.Placed(
            request_spec.request,
            choice,
            member.spec.address,
            attempt.incarnation,
            now - active.admitted_at,
            weights,
            backup,
            start_deadline=start_deadline,
            granted=member.grants is not None,
            software=member.spec.software,
        )

    def _expected_weights(self, member: members.Member, model: ids.ModelId) -> str | None:
        """Returns the weights that a request names, so that an upstream with others refuses it.

        An upstream whose weights are not known is expected to serve the newest ones.
        """
        known = member.versions.get(model)
        newest = self.target_weights.newest(model)
        return str(newest) if known is None and newest is not None else known

    def _place_at_backup(
        self,
        state: observations.PoolState,
        active: in_flight.ActiveRequest,
        backup: backups.Backup,
        now: float,
    ) -> routing.Placed:
        request_spec = active.request_spec
        distance_s = state.policy.members[backup.upstream].distance_s
        estimate = members.Estimate(
            backup.upstream, len(request_spec.prompt.pieces), 0, 0.0, 0.0, distance_s, distance_s
        )
        req = members.PlacementRequest(
            request_spec.request,
            prefix.EMPTY_PROMPT,
            active.account.service_class,
            model=request_spec.model,
            memory_tokens=request_spec.memory_tokens,
        )
        software = state.policy.members[backup.upstream].spec.software
        active.attempt = in_flight.Attempt(estimate, backup.incarnation, now, software=software)
        state.policy.record_sent(req, estimate, now)
        choice = members.Choice(estimate, "holds a backup of the run")
        return routing.Placed(
            request_spec.request,
            choice,
            state.policy.members[backup.upstream].spec.address,
            backup.incarnation,
            now - active.admitted_at,
            backup.weights.version,
            self._choose_backup(state, active),
            continues=True,
            granted=state.policy.members[backup.upstream].grants is not None,
            software=state.policy.members[backup.upstream].spec.software,
        )

    def _choose_backup(
        self, state: observations.PoolState, active: in_flight.ActiveRequest
    ) -> ids.UpstreamId | None:
        """Chooses the upstream that backs up the run that has just been placed."""
        request_spec = active.request_spec
        active.backup = None
        if request_spec.needs_backup and request_spec.model is not None and active.attempt:
            primary = active.attempt.estimate.upstream
            active.backup = backups.choose_backup(
                state.policy.members,
                primary,
                request_spec.model,
                self._failure_domain,
                request_spec.request,
            )
        return active.backup.upstream if active.backup else None

    def _end_attempt(
        self,
        state: observations.PoolState,
        active: in_flight.ActiveRequest,
        attempt: in_flight.Attempt,
        outcome: outcomes.AttemptOutcome | None,
        now: float,
    ) -> poison.Evidence | None:
        upstream = attempt.estimate.upstream
        attempt_effects.release_capacity(state, active, attempt, now)
        if isinstance(outcome, outcomes.Broken) and outcome.had_output:
            active.record_output(attempt)
        if outcome is None:
            attempt_effects.forget_pieces(state, active, upstream)
            return None
        if isinstance(outcome, outcomes.Complete):
            state.health.record_success(upstream)
            if upstream in state.policy.members:
                state.policy.members[upstream].record_answer(now, is_complete=True)
            if outcome.status < http.HTTPStatus.BAD_REQUEST:
                self.poison.record_output(active.request_spec.subject, now)
            return None
        if isinstance(outcome, outcomes.NotSent) and outcome.withheld:
            attempt_effects.forget_pieces(state, active, upstream)
            return None
        if isinstance(outcome, outcomes.RefusedBeforeRunning) and outcome.other_weights:
            attempt_effects.correct_weights(state, active, attempt, outcome)
        else:
            active.failed_upstreams.add(upstream)
        if isinstance(outcome, outcomes.NotSent) and outcome.links_in_doubt:
            attempt_effects.forget_pieces(state, active, upstream)
            return None
        return self._record_failure(state, active, attempt, outcome, now)

    def _record_failure(
        self,
        state: observations.PoolState,
        active: in_flight.ActiveRequest,
        attempt: in_flight.Attempt,
        outcome: outcomes.AttemptOutcome,
        now: float,
    ) -> poison.Evidence | None:
        if isinstance(outcome, outcomes.RefusedBeforeRunning):
            return None
        crashed = unreachable = False
        if isinstance(outcome, outcomes.SentNoAnswer | outcomes.Broken):
            crashed, unreachable = outcome.crashed, outcome.unreachable
        certain = crashed or unreachable or isinstance(outcome, outcomes.NotSent)
        upstream = attempt.estimate.upstream
        if certain or not attempt.silence_counted:
            state.health.record_failure(upstream, certain, now)
        if not certain:
            attempt_effects.forget_pieces(state, active, upstream)
        elif isinstance(state.policy, placement.PrefixPlacement):
            state.policy.cache_index.forget(upstream)
        is_answering = isinstance(outcome, outcomes.Broken)
        if not crashed or (isinstance(outcome, outcomes.Broken) and outcome.had_output):
            # An upstream crashes as it begins an answer, so a run with output is no suspect.
            return None
        crash = poison.Crash(
            active.request_spec.fingerprint,
            upstream,
            attempt.incarnation,
            self.poison.choose_parts(active.request_spec.parts),
            is_answering,
            now - attempt.started_at,
        )
        evidence = poison.Evidence(crash)
        return evidence if self.poison.record_crash(evidence, now) else None


def _choose_least_busy(
    state: observations.PoolState, req: members.PlacementRequest
) -> members.Choice | None:
    """Returns the least busy upstream, for a request that can use none of its candidates.

    In a large pool, the policy considers only a few upstreams for each prompt.
    """
    usable = [
        upstream
        for upstream in state.policy.usable(req.exclude)
        if state.policy.members[upstream].serves(req.weights)
    ]
    if not usable:
        return None
    chosen = min(usable, key=lambda upstream: state.policy.members[upstream].load.running())
    distance_s = state.policy.members[chosen].distance_s
    estimate = members.Estimate(chosen, 0, 0, 0.0, 0.0, distance_s, distance_s)
    return members.Choice(estimate, "least busy, as no candidate is usable")


def awaits_grant(state: observations.PoolState) -> bool:
    """Returns whether any upstream of a pool would be usable if it had a grant."""
    return any(member.awaits_grant for member in state.policy.members.values())
