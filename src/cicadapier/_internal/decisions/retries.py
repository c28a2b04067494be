"""Budget of retries and the next step after a failed attempt."""

import dataclasses

from cicadapier._internal.models import outcomes

RETRY_SHARE = 0.1
MIN_RETRIES_PER_S = 1.0
MAX_SAVED_RETRIES = 20.0
MAX_ATTEMPTS = 4


class RetryBudget:
    """Lets retries be a share of real traffic, so that they cannot multiply an overload."""

    def __init__(self, now: float) -> None:
        self._saved = MAX_SAVED_RETRIES / 2
        self._at = now

    def request_seen(self) -> None:
        """Counts a request of a caller."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + RETRY_SHARE)

    def spend(self, now: float) -> bool:
        """Takes one retry from the budget; returns whether there was one."""
        self._saved += (now - self._at) * MIN_RETRIES_PER_S
        self._saved = min(MAX_SAVED_RETRIES, self._saved)
        self._at = now
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class Nature:
    """What may be done with a request.

    Attributes:
        repeatable: Whether it may run more than once.
        resumable: Whether a broken answer can be continued exactly at an offset.
    """

    repeatable: bool
    resumable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Try again on another upstream.

    Attributes:
        offset: Tokens of the answer that the caller has already.
    """

    offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """The answer is complete."""


Step = Retry | Finish | outcomes.Refusal


class AttemptSequence:
    """The attempts at one request: decides what follows each outcome."""

    def __init__(self, nature: Nature, budget: RetryBudget) -> None:
        self._nature = nature
        self._budget = budget
        self._attempts = 0
        self._offset = 0
        self._maybe_ran = False

    @property
    def maybe_ran(self) -> bool:
        """Whether any attempt may have had an effect."""
        return self._maybe_ran

    @property
    def attempts(self) -> int:
        """Attempts that have ended."""
        return self._attempts

    def ended(self, outcome: outcomes.AttemptOutcome, now: float) -> Step:
        """Takes the outcome of an attempt and returns the next step."""
        self._attempts += 1
        if isinstance(outcome, outcomes.Complete):
            return Finish()
        if isinstance(outcome, outcomes.NotSent | outcomes.RefusedBeforeRunning):
            return self._after_not_run(outcome, now)
        self._maybe_ran = True
        if isinstance(outcome, outcomes.Broken):
            self._offset = max(self._offset, outcome.offset)
        return self._after_maybe_run(outcome, now)

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
        if self._may_try_again(now):
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
        continues = self._offset == 0 or self._nature.resumable
        if self._nature.repeatable and continues and self._may_try_again(now):
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

    def _may_try_again(self, now: float) -> bool:
        return self._attempts < MAX_ATTEMPTS and self._budget.spend(now)
