"""Lets another upstream take over from a silent one, once it has answered.

Silence proves little: an engine may pause, or read a long prompt, and go on. So the silent attempt
stands until another one has its answer; whichever answers first goes on.
"""

import collections.abc
import dataclasses

import structlog
import trio

from cicadapier._internal.decisions import retries
from cicadapier._internal.decisions import routing
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.services import attempts
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import request_context

# The services of one router answer each other at once, unless they have stopped.
SHIELD_TIMEOUT_S = 1.0

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptStarter:
    """Starts attempts at one request.

    Attributes:
        make: Returns an attempt, None where its upstream is gone.
        start: Has an attempt begin its answer. Raises `AttemptFailedError` where there is none
            that the request could go on with, `RefusedError` where it may not be sent any more.
    """

    make: collections.abc.Callable[[routing.Placed], attempts.Attempt | None]
    start: collections.abc.Callable[
        [routing.Placed, attempts.Attempt], collections.abc.Awaitable[None]
    ]


class Hedger(attempts.SilenceHandler):
    """Begins an attempt beside a silent one, where the request may run once more."""

    def __init__(
        self,
        services: request_context.Services,
        request: ids.RequestId,
        sequence: retries.AttemptSequence,
        starter: AttemptStarter,
    ) -> None:
        self._services = services
        self._request = request
        self._sequence = sequence
        self._starter = starter
        self._hedge: attempts.Attempt | None = None
        self._wait_scope = trio.CancelScope()

    async def start_hedge(self, offset: int) -> attempts.Replacement | None:
        """Returns an attempt that takes over, or None where the silent one stands.

        Args:
            offset: Tokens of the answer that the caller has.
        """
        if not self._sequence.reserve_retry(offset, trio.current_time()):
            self._services.report_silence(self._request)
            return None
        placed = None
        with shielded_scope():
            placed = await self._services.place_hedge(self._request)
        if placed is None:
            self._sequence.refund_retry()
            return None
        return await self._run_hedge(placed)

    def handle_attempt_failure(self) -> None:
        """See `attempts.SilenceHandler.handle_attempt_failure`."""
        if self._hedge is not None and self._hedge.is_awaiting_answer:
            # It is judged by its own silence from now on.
            self._wait_scope.cancel()

    async def _run_hedge(self, placed: routing.Placed) -> attempts.Replacement | None:
        attempt = self._starter.make(placed)
        if attempt is None:
            not_sent = outcomes.NotSent("the upstream is gone")
            _log_end(self._request, placed, not_sent, not_sent.reason)
            await self._report_end(not_sent, sent=False)
            return None
        outcome: outcomes.AttemptOutcome | None = None
        reason = "not needed"
        replacement = None
        try:
            await self._wait_for_answer(placed, attempt)
            replacement = attempts.Replacement(placed, attempt)
        except attempts.AttemptFailedError as exc:
            outcome = exc.outcome
            reason = str(exc)
        except exceptions.RefusedError as exc:
            # This says nothing of the upstream.
            reason = str(exc)
        finally:
            if replacement is None:
                await attempt.abandon()
                _log_end(self._request, placed, outcome, reason)
                await self._report_end(outcome, attempt.send_started)
        return replacement

    async def _wait_for_answer(self, placed: routing.Placed, attempt: attempts.Attempt) -> None:
        """Waits for the answer of an attempt, or until the former one has failed."""
        self._hedge = attempt
        try:
            with trio.CancelScope() as self._wait_scope:
                await self._starter.start(placed, attempt)
        finally:
            self._hedge = None
        if self._wait_scope.cancelled_caught and not attempt.is_awaiting_answer:
            reason = "the answer failed as it was to take over"
            raise attempts.AttemptFailedError(outcomes.SentNoAnswer(reason, crashed=False))

    async def _report_end(self, outcome: outcomes.AttemptOutcome | None, sent: bool) -> None:
        """Reports a hedge that replaces no attempt; None where its upstream is not to blame."""
        if sent:
            self._sequence.record_hedge_end(outcome)
        else:
            self._sequence.refund_retry()
        with shielded_scope():
            await self._services.report_hedge_ended(self._request, outcome)


def _log_end(
    request: ids.RequestId,
    placed: routing.Placed,
    outcome: outcomes.AttemptOutcome | None,
    reason: str,
) -> None:
    _log.info(
        "relief_ended",
        request=request,
        upstream=placed.choice.estimate.upstream,
        outcome=type(outcome).__name__ if outcome else "none",
        reason=reason,
    )


def shielded_scope() -> trio.CancelScope:
    """Returns a cancel scope that protects short calls to other services from cancellation."""
    return trio.CancelScope(shield=True, deadline=trio.current_time() + SHIELD_TIMEOUT_S)
