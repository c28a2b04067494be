"""Hedged requests: a second attempt on another upstream while the first one is silent.

Silence is no proof of failure, since an engine may pause or process a long prompt and then
continue. The silent attempt therefore continues until the hedge has received a part of its answer
that the caller can use; whichever attempt makes progress first is used.
"""

import collections.abc
import dataclasses

import structlog
import trio

from cicadapier._internal.decisions import retries
from cicadapier._internal.decisions import routing
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.services import attempt_errors
from cicadapier._internal.services import attempts
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import replacements
from cicadapier._internal.services import request_context

# Timeout of shielded calls to other services of this router, which reply at once unless they have
# stopped.
SHIELD_TIMEOUT_S = 1.0

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptStarter:
    """Functions that create and start the attempts of one request.

    Attributes:
        make: Creates an attempt; returns None if its upstream has left.
        start: Starts an attempt and waits for the first part of its answer with which the request
            could continue. Raises `AttemptFailedError` if there is none, and `RefusedError` if the
            request may no longer be sent.
    """

    make: collections.abc.Callable[[routing.Placed], attempts.Attempt | None]
    start: collections.abc.Callable[
        [routing.Placed, attempts.Attempt], collections.abc.Awaitable[None]
    ]


class Hedger(replacements.SilenceHandler):
    """Silence handler that starts a hedge if the request may run once more."""

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

    async def start_hedge(self, offset: int) -> replacements.Replacement | None:
        """Starts a hedge and returns it once it can replace the silent attempt.

        Args:
            offset: Tokens of the answer that the caller has received.

        Returns:
            The replacement, or None if the silent attempt is to continue.
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
        """See `replacements.SilenceHandler.handle_attempt_failure`."""
        if self._hedge is not None and self._hedge.may_still_answer:
            # The hedge replaces the failed attempt now and is itself monitored for silence.
            self._wait_scope.cancel()

    async def _run_hedge(self, placed: routing.Placed) -> replacements.Replacement | None:
        """Runs a hedge until it can replace the silent attempt; returns None if it fails."""
        attempt = self._starter.make(placed)
        if attempt is None:
            not_sent = outcomes.NotSent("the upstream has left")
            _log_end(self._request, placed, not_sent, not_sent.reason)
            await self._report_end(not_sent, sent=False)
            return None
        outcome: outcomes.AttemptOutcome | None = None
        reason = "the hedge is no longer needed"
        replacement = None
        try:
            await self._wait_for_answer(placed, attempt)
            replacement = replacements.Replacement(placed, attempt)
        except attempt_errors.AttemptFailedError as exc:
            outcome = exc.outcome
            reason = str(exc)
        except exceptions.RefusedError as exc:
            # The refusal is not the fault of the upstream, so there is no outcome to report.
            reason = str(exc)
        finally:
            if replacement is None:
                await attempt.abandon()
                _log_end(self._request, placed, outcome, reason)
                await self._report_end(outcome, attempt.send_started)
        return replacement

    async def _wait_for_answer(self, placed: routing.Placed, attempt: attempts.Attempt) -> None:
        """Waits until a hedge can take over, or until the silent attempt has failed."""
        self._hedge = attempt
        try:
            with trio.CancelScope() as self._wait_scope:
                await self._starter.start(placed, attempt)
        finally:
            self._hedge = None
        if self._wait_scope.cancelled_caught and not attempt.may_still_answer:
            reason = "the hedge failed when it was to replace the failed attempt"
            raise attempt_errors.AttemptFailedError(outcomes.SentNoAnswer(reason, crashed=False))

    async def _report_end(self, outcome: outcomes.AttemptOutcome | None, sent: bool) -> None:
        """Reports the end of a hedge that replaces no attempt.

        Args:
            outcome: Outcome of the hedge; None if its end is not the fault of its upstream.
            sent: Whether any byte of it was sent; if not, its retry is refunded.
        """
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
    """Returns a cancel scope that shields short calls to other services from cancellation.

    A place for an attempt is thereby always taken or given back in full, even if the request is
    cancelled.
    """
    return trio.CancelScope(shield=True, deadline=trio.current_time() + SHIELD_TIMEOUT_S)
