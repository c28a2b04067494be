"""Retry budget, and the next step after each attempt at a request."""

import collections
import contextlib
import dataclasses

from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.models import settings

MAX_ATTEMPTS = 4
# Margin, as each router counts only its own share of the window, and clocks and delays differ.
_SAFETY_FACTOR = 0.85


class _Window:
    """Times of events within a sliding window, oldest first."""

    def __init__(self) -> None:
        self.times: collections.deque[float] = collections.deque()

    def count(self, since: float) -> int:
        """Drops the events before a time and returns how many remain."""
        while self.times and self.times[0] < since:
            self.times.popleft()
        return len(self.times)


class RetryBudget:
    """Limits retries to a share of the callers' requests, so that they cannot amplify an overload.

    The limit holds over all routers together and for any window: each router may send a share of
    its own traffic and an equal part of the slack as retries.
    """

    def __init__(self, new_settings: settings.RetryBudget) -> None:
        self._settings = new_settings
        self._routers = 1
        self._requests: dict[ids.PoolId, _Window] = collections.defaultdict(_Window)
        self._retries: dict[ids.PoolId, _Window] = collections.defaultdict(_Window)

    def set_routers(self, count: int) -> None:
        """Sets how many routers share the budget, including this one."""
        self._routers = max(1, count)

    def set_settings(self, new_settings: settings.RetryBudget) -> None:
        """Replaces the settings of the budget."""
        self._settings = new_settings

    def count_request(self, pool: ids.PoolId, now: float) -> None:
        """Counts a request of a caller, which adds to the budget."""
        requests = self._requests[pool]
        requests.times.append(now)
        requests.count(now - self._settings.window_s)

    def remaining(self, pool: ids.PoolId, now: float) -> float:
        """Returns how many retries may be sent now."""
        since = now - self._settings.window_s
        earned = self._settings.share * self._requests[pool].count(since)
        allowed = _SAFETY_FACTOR * (earned + self._settings.slack / self._routers)
        return allowed - self._retries[pool].count(since)

    def spend(self, pool: ids.PoolId, now: float) -> bool:
        """Takes one retry from the budget; returns whether the budget allowed it."""
        if self.remaining(pool, now) < 1.0:
            return False
        self._retries[pool].times.append(now)
        return True

    def refund(self, pool: ids.PoolId, spent_at: float) -> None:
        """Gives back a retry that was not sent, unless it has left the window already.

        Args:
            pool: Its pool.
            spent_at: Time at which it was taken.
        """
        with contextlib.suppress(ValueError):
            self._retries[pool].times.remove(spent_at)


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How a request may be retried.

    Attributes:
        repeatable: Whether it may run more than once.
        resumable: Whether a broken answer can be continued exactly at an offset.
        max_runs: Maximum number of upstreams on which it may run.
    """

    repeatable: bool
    resumable: bool
    max_runs: int = MAX_ATTEMPTS


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """The request is to be retried on another upstream.

    Attributes:
        offset: Tokens of the answer that the caller has received already.
    """

    offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Continue:
    """The run is to be continued from the backup of its memory."""


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """The answer is complete."""


Step = Retry | Continue | Finish | outcomes.Refusal


class AttemptSequence:
    """The attempts at one request; decides the next step after each outcome."""

    def __init__(self, policy: RetryPolicy, budget: RetryBudget, pool: ids.PoolId) -> None:
        self._policy = policy
        self._budget = budget
        self._pool = pool
        self._attempts = 0
        self._runs = 0
        self._reached_upstream = False
        self._offset = 0
        self._may_have_run = False
        self._reserved_at = 0.0

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run and so may have had an effect."""
        return self._may_have_run

    @property
    def runs(self) -> int:
        """Number of attempts that may have run."""
        return self._runs

    @property
    def max_runs(self) -> int:
        """Maximum number of attempts that may run."""
        return self._policy.max_runs

    @property
    def attempts(self) -> int:
        """Number of attempts that have ended."""
        return self._attempts

    def record_outcome(self, outcome: outcomes.AttemptOutcome, now: float) -> Step:
        """Records the outcome of an attempt and returns the next step."""
        self._attempts += 1
        if isinstance(outcome, outcomes.Complete):
            self._may_have_run = True
            return Finish()
        self._reached_upstream = self._reached_upstream or not isinstance(outcome, outcomes.NotSent)
        if isinstance(outcome, outcomes.NotSent | outcomes.RefusedBeforeRunning):
            return self._after_not_run(outcome, now)
        self._may_have_run = True
        self._runs += 1
        if isinstance(outcome, outcomes.Broken):
            self._offset = max(self._offset, outcome.offset)
        return self._after_possible_run(outcome, now)

    def reserve_retry(self, offset: int, now: float, continues: bool = False) -> bool:
        """Takes a retry from the budget for a further attempt while one is still in progress.

        Args:
            offset: Tokens of the answer that the caller has received.
            now: Current time.
            continues: Whether the attempt continues the same run, which does not count as another
                run.

        Returns:
            Whether the attempt is allowed and the budget had a retry left.
        """
        if not continues and not self.may_run_again(offset):
            return False
        if self._attempts + 1 >= MAX_ATTEMPTS or not self._budget.spend(self._pool, now):
            return False
        self._reserved_at = now
        return True

    def may_run_again(self, offset: int) -> bool:
        """Returns whether the request may run once more while an attempt is in progress.

        The retry budget is checked only by `reserve_retry`.

        Args:
            offset: Tokens of the answer that the caller has received.
        """
        can_resume = offset == 0 or self._policy.resumable
        has_attempts_left = (
            self._runs + 1 < self._policy.max_runs and self._attempts + 1 < MAX_ATTEMPTS
        )
        return self._policy.repeatable and can_resume and has_attempts_left

    def refund_retry(self) -> None:
        """Refunds the reserved retry, which cannot be sent."""
        self._budget.refund(self._pool, self._reserved_at)

    def record_hedge_end(self, outcome: outcomes.AttemptOutcome | None) -> None:
        """Records the end of a hedge that was sent and does not replace the current attempt.

        Args:
            outcome: Outcome of the hedge; None where it was no longer needed.
        """
        self._attempts += 1
        self._reached_upstream = True
        if not isinstance(outcome, outcomes.RefusedBeforeRunning):
            self._runs += 1
            self._may_have_run = True

    def record_superseded(self, former: outcomes.AttemptOutcome, offset: int) -> None:
        """Records that a reserved attempt replaces another one.

        Args:
            former: Outcome of the attempt that is replaced.
            offset: Tokens of the answer that the caller has received.
        """
        self._attempts += 1
        self._reached_upstream = True
        if not isinstance(former, outcomes.RefusedBeforeRunning):
            self._runs += 1
            self._may_have_run = True
        self._offset = max(self._offset, offset)

    def no_upstream_refusal(self) -> outcomes.Refusal:
        """Returns the refusal for the case that no eligible upstream is left."""
        if not self._may_have_run:
            return outcomes.Refusal(
                outcomes.RefusalCode.NO_UPSTREAM,
                "no upstream can take this request now",
                outcomes.Effect.NOT_RUN,
                retry_after_s=1.0,
            )
        return self._refusal_after_run("no other upstream can take it")

    def _after_not_run(
        self, outcome: outcomes.NotSent | outcomes.RefusedBeforeRunning, now: float
    ) -> Step:
        may_rerun = self._policy.repeatable or not self._may_have_run
        if may_rerun and self._spend_retry(now):
            return Retry(self._offset)
        if self._may_have_run:
            return self._refusal_after_run(outcome.reason)
        code = outcomes.RefusalCode.NO_UPSTREAM
        if isinstance(outcome, outcomes.RefusedBeforeRunning):
            code = outcomes.RefusalCode.OVERLOADED
        return outcomes.Refusal(code, outcome.reason, outcomes.Effect.NOT_RUN, retry_after_s=1.0)

    def _after_possible_run(
        self, outcome: outcomes.SentNoAnswer | outcomes.Broken, now: float
    ) -> Step:
        continuable = isinstance(outcome, outcomes.Broken) and outcome.continuable
        if continuable and self._spend_continuation(now):
            return Continue()
        can_resume = self._offset == 0 or self._policy.resumable
        if self._policy.repeatable and can_resume and self._spend_retry(now):
            return Retry(self._offset)
        return self._refusal_after_run(outcome.reason)

    def _refusal_after_run(self, reason: str) -> outcomes.Refusal:
        if not self._policy.repeatable:
            return outcomes.Refusal(
                outcomes.RefusalCode.OUTCOME_UNKNOWN,
                f"{reason}; the call may have run and was not repeated",
                outcomes.Effect.UNKNOWN,
            )
        if self._offset:
            return outcomes.Refusal(
                outcomes.RefusalCode.STREAM_BROKEN,
                f"{reason}; the answer ends after {self._offset} tokens",
                outcomes.Effect.FAILED,
                retry_after_s=1.0,
            )
        return outcomes.Refusal(
            outcomes.RefusalCode.UPSTREAM_FAILED, reason, outcomes.Effect.FAILED, retry_after_s=1.0
        )

    def may_retry(self, now: float) -> bool:
        """Returns whether a retry is still allowed, without taking it from the budget."""
        if self._attempts >= MAX_ATTEMPTS or self._runs >= self._policy.max_runs:
            return False
        return not self._reached_upstream or self._budget.remaining(self._pool, now) >= 1.0

    def _spend_continuation(self, now: float) -> bool:
        """Takes a retry for continuing the same run, which does not count as another run."""
        return self._attempts < MAX_ATTEMPTS and self._budget.spend(self._pool, now)

    def _spend_retry(self, now: float) -> bool:
        if not self.may_retry(now):
            return False
        # The next attempt counts as a retry only if an earlier one has reached an upstream.
        return not self._reached_upstream or self._budget.spend(self._pool, now)
