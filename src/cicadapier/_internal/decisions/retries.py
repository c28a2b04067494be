"""Budget of retries and the next step after a failed attempt."""

import collections
import dataclasses

from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.models import settings

MAX_ATTEMPTS = 4
# Other routers count their own share of the same window, and clocks and links differ.
_SAFETY = 0.85


class _Window:
    """Times of events within a sliding window, oldest first."""

    def __init__(self) -> None:
        self.times: collections.deque[float] = collections.deque()

    def count(self, since: float) -> int:
        while self.times and self.times[0] < since:
            self.times.popleft()
        return len(self.times)


class RetryBudget:
    """Lets repeated sends be a share of real traffic, so that they cannot multiply an overload.

    The bound holds over all routers and any window: each router spends a share of its own
    traffic and an equal part of the slack.
    """

    def __init__(self, terms: settings.RetryBudget) -> None:
        self._terms = terms
        self._routers = 1
        self._requests: dict[ids.PoolId, _Window] = collections.defaultdict(_Window)
        self._repeats: dict[ids.PoolId, _Window] = collections.defaultdict(_Window)

    def set_routers(self, count: int) -> None:
        """Sets how many routers may be spending, this one among them."""
        self._routers = max(1, count)

    def set_terms(self, terms: settings.RetryBudget) -> None:
        """Takes over changed settings."""
        self._terms = terms

    def request_seen(self, pool: ids.PoolId, now: float) -> None:
        """Counts a request of a caller."""
        seen = self._requests[pool]
        seen.times.append(now)
        seen.count(now - self._terms.window_s)

    def left(self, pool: ids.PoolId, now: float) -> float:
        """Returns how many repeats may be sent now."""
        since = now - self._terms.window_s
        earned = self._terms.share * self._requests[pool].count(since)
        allowed = _SAFETY * (earned + self._terms.slack / self._routers)
        return allowed - self._repeats[pool].count(since)

    def spend(self, pool: ids.PoolId, now: float) -> bool:
        """Takes one repeat from the budget; returns whether there was one."""
        if self.left(pool, now) < 1.0:
            return False
        self._repeats[pool].times.append(now)
        return True

    def give_back(self, pool: ids.PoolId) -> None:
        """Returns the repeat that was taken last and was not sent."""
        self._repeats[pool].times.pop()


@dataclasses.dataclass(frozen=True, slots=True)
class Nature:
    """What may be done with a request.

    Attributes:
        repeatable: Whether it may run more than once.
        resumable: Whether a broken answer can be continued exactly at an offset.
        max_runs: Upstreams that it may run on.
    """

    repeatable: bool
    resumable: bool
    max_runs: int = MAX_ATTEMPTS


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Try again on another upstream.

    Attributes:
        offset: Tokens of the answer that the caller has already.
    """

    offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Continue:
    """Go on with the run from the backup of its memory."""


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """The answer is complete."""


Step = Retry | Continue | Finish | outcomes.Refusal


class AttemptSequence:
    """The attempts at one request: decides what follows each outcome."""

    def __init__(self, nature: Nature, budget: RetryBudget, pool: ids.PoolId) -> None:
        self._nature = nature
        self._budget = budget
        self._pool = pool
        self._attempts = 0
        self._runs = 0
        self._arrived = False
        self._offset = 0
        self._maybe_ran = False

    @property
    def maybe_ran(self) -> bool:
        """Whether any attempt may have had an effect."""
        return self._maybe_ran

    @property
    def runs(self) -> int:
        """Attempts that may have run."""
        return self._runs

    @property
    def max_runs(self) -> int:
        """Attempts that may run at most."""
        return self._nature.max_runs

    @property
    def attempts(self) -> int:
        """Attempts that have ended."""
        return self._attempts

    def ended(self, outcome: outcomes.AttemptOutcome, now: float) -> Step:
        """Takes the outcome of an attempt and returns the next step."""
        self._attempts += 1
        if isinstance(outcome, outcomes.Complete):
            self._maybe_ran = True
            return Finish()
        self._arrived = self._arrived or not isinstance(outcome, outcomes.NotSent)
        if isinstance(outcome, outcomes.NotSent | outcomes.RefusedBeforeRunning):
            return self._after_not_run(outcome, now)
        self._maybe_ran = True
        self._runs += 1
        if isinstance(outcome, outcomes.Broken):
            self._offset = max(self._offset, outcome.offset)
        return self._after_maybe_run(outcome, now)

    def claim(self, offset: int, now: float, continues: bool = False) -> bool:
        """Takes a repeat for the attempt that is to follow one which is still under way.

        Args:
            offset: Tokens of the answer that the caller has.
            now: Present time.
            continues: Whether it goes on with the same run, which counts as no other run.

        Returns:
            Whether there was one.
        """
        if not continues and not self.may_run_elsewhere(offset):
            return False
        return self._attempts + 1 < MAX_ATTEMPTS and self._budget.spend(self._pool, now)

    def may_run_elsewhere(self, offset: int) -> bool:
        """Returns whether the request may run once more after an attempt that is under way.

        The budget decides only as a repeat is claimed.

        Args:
            offset: Tokens of the answer that the caller has.
        """
        exact = offset == 0 or self._nature.resumable
        left = self._runs + 1 < self._nature.max_runs and self._attempts + 1 < MAX_ATTEMPTS
        return self._nature.repeatable and exact and left

    def disclaim(self) -> None:
        """Gives back a claimed repeat that cannot be sent."""
        self._budget.give_back(self._pool)

    def hedge_ended(self, outcome: outcomes.AttemptOutcome | None) -> None:
        """Takes the end of a claimed attempt that was sent and does not take over.

        Args:
            outcome: How it ended, None where it was not needed any more.
        """
        self._attempts += 1
        self._arrived = True
        if not isinstance(outcome, outcomes.RefusedBeforeRunning):
            self._runs += 1
            self._maybe_ran = True

    def superseded(self, former: outcomes.AttemptOutcome, offset: int) -> None:
        """Notes that an attempt, which ended as given, has another one claimed in its place."""
        self._attempts += 1
        self._arrived = True
        if not isinstance(former, outcomes.RefusedBeforeRunning):
            self._runs += 1
            self._maybe_ran = True
        self._offset = max(self._offset, offset)

    def no_upstream(self) -> outcomes.Refusal:
        """Returns the refusal where no eligible upstream is left."""
        if not self._maybe_ran:
            return outcomes.Refusal(
                outcomes.Code.NO_UPSTREAM,
                "no upstream can take this request now",
                outcomes.Effect.NOT_RUN,
                retry_after_s=1.0,
            )
        return self._maybe_ran_refusal("no other upstream can take it")

    def _after_not_run(
        self, outcome: outcomes.NotSent | outcomes.RefusedBeforeRunning, now: float
    ) -> Step:
        settled = self._nature.repeatable or not self._maybe_ran
        if settled and self._take_repeat(now):
            return Retry(self._offset)
        if self._maybe_ran:
            return self._maybe_ran_refusal(outcome.reason)
        code = outcomes.Code.NO_UPSTREAM
        if isinstance(outcome, outcomes.RefusedBeforeRunning):
            code = outcomes.Code.OVERLOADED
        return outcomes.Refusal(code, outcome.reason, outcomes.Effect.NOT_RUN, retry_after_s=1.0)

    def _after_maybe_run(
        self, outcome: outcomes.SentNoAnswer | outcomes.Broken, now: float
    ) -> Step:
        continuable = isinstance(outcome, outcomes.Broken) and outcome.continuable
        if continuable and self._take_continuation(now):
            return Continue()
        continues = self._offset == 0 or self._nature.resumable
        if self._nature.repeatable and continues and self._take_repeat(now):
            return Retry(self._offset)
        return self._maybe_ran_refusal(outcome.reason)

    def _maybe_ran_refusal(self, reason: str) -> outcomes.Refusal:
        if not self._nature.repeatable:
            return outcomes.Refusal(
                outcomes.Code.OUTCOME_UNKNOWN,
                f"{reason}; the call may have run and was not repeated",
                outcomes.Effect.UNKNOWN,
            )
        if self._offset:
            return outcomes.Refusal(
                outcomes.Code.STREAM_BROKEN,
                f"{reason}; the answer ends after {self._offset} tokens",
                outcomes.Effect.FAILED,
                retry_after_s=1.0,
            )
        return outcomes.Refusal(
            outcomes.Code.UPSTREAM_FAILED, reason, outcomes.Effect.FAILED, retry_after_s=1.0
        )

    def may_try_again(self, now: float) -> bool:
        """Returns whether a repeat is still allowed, without spending anything."""
        if self._attempts >= MAX_ATTEMPTS or self._runs >= self._nature.max_runs:
            return False
        return not self._arrived or self._budget.left(self._pool, now) >= 1.0

    def _take_continuation(self, now: float) -> bool:
        """Takes one repeat for going on with the same run, which counts as no other run."""
        return self._attempts < MAX_ATTEMPTS and self._budget.spend(self._pool, now)

    def _take_repeat(self, now: float) -> bool:
        if not self.may_try_again(now):
            return False
        # Only what has reached an upstream makes the next send a repeat.
        return not self._arrived or self._budget.spend(self._pool, now)
