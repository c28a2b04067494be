"""What follows where the answer to a forwarded request shows no progress."""

import collections.abc
import dataclasses
import math

import trio

from cicadapier._internal.decisions import retries
from cicadapier._internal.decisions import routing
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import http_client
from cicadapier._internal.services import attempts
from cicadapier._internal.services import forwarded_log
from cicadapier._internal.services import forwarded_plan
from cicadapier._internal.services import forwarded_progress
from cicadapier._internal.services import hedging
from cicadapier._internal.services import request_context

# An attempt without progress for so long is hedged at another upstream, where that is allowed.
SILENT_OBJECTIVES = 2.0
MIN_SILENT_S = 0.5
SILENT_GAPS = 1.2
# After so many longest pauses without an event, whether the upstream can still be reached.
CHECK_GAPS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reached:
    """An upstream where a run may go on.

    Attributes:
        address: Its address.
        conn: New connection to it.
    """

    address: ids.Address
    conn: http_client.ClientConnection


Reach = collections.abc.Callable[[ids.UpstreamId], collections.abc.Awaitable[Reached | None]]
Continue = collections.abc.Callable[[routing.Placed, Reached], attempts.Attempt]


class ForwardedSilence(hedging.Hedger):
    """Has another upstream answer, or a backup go on where the upstream cannot be reached."""

    def __init__(
        self,
        services: request_context.Services,
        plan: forwarded_plan.Plan,
        sequence: retries.AttemptSequence,
        progress: forwarded_progress.AnswerProgress,
        starter: hedging.AttemptStarter,
        may_send: collections.abc.Callable[[], bool],
        reach: Reach,
        go_on: Continue,
    ) -> None:
        super().__init__(services, plan.entry.request, sequence, starter)
        self._plan = plan
        self._progress = progress
        self._may_send = may_send
        self._reach = reach
        self._continue = go_on

    def silence_timeout_s(self, attempt: attempts.Attempt) -> float:
        """See `attempts.SilenceHandler.silence_timeout_s`."""
        route = self._plan.admission.route
        if self._progress.usable_backup is not None:
            return CHECK_GAPS * route.gap_s
        if not self._sequence.may_run_again(self._progress.relayed_events):
            return math.inf
        if self._progress.relayed_events:
            return max(MIN_SILENT_S, SILENT_GAPS * route.gap_s)
        return max(MIN_SILENT_S, SILENT_OBJECTIVES * route.objective_s)

    async def find_replacement(self, attempt: attempts.Attempt) -> attempts.Replacement | None:
        """See `attempts.SilenceHandler.find_replacement`."""
        backup = self._progress.usable_backup
        if backup is None:
            replacement = await self.start_hedge(self._progress.relayed_events)
        elif await attempt.is_reachable():
            return None
        else:
            replacement = await self._continue_from_backup(backup)
        if replacement is None:
            self._note_stands()
        return replacement

    async def _continue_from_backup(self, backup: ids.UpstreamId) -> attempts.Replacement | None:
        """Gives up a run, which two upstreams must not work on, once its backup may go on."""
        reached = await self._reach(backup)
        if reached is None:
            return None
        replacement = None
        try:
            replacement = await self._fail_over(reached)
        finally:
            if replacement is None:
                await reached.conn.close()
        return replacement

    async def _fail_over(self, reached: Reached) -> attempts.Replacement | None:
        if not self._may_send():
            return None
        now = trio.current_time()
        if not self._sequence.reserve_retry(self._progress.relayed_events, now, continues=True):
            return None
        placed = None
        with hedging.shielded_scope():
            placed = await self._services.fail_over(self._request)
        if placed is None:
            self._sequence.refund_retry()
            return None
        return attempts.Replacement(placed, self._continue(placed, reached))

    def _note_stands(self) -> None:
        self._services.telemetry.count_event("silent_attempt_stands")
        now = trio.current_time()
        assert self._progress.placed
        forwarded_log.log_attempt_kept(
            self._plan,
            self._progress.placed,
            self._services.retry_budget.remaining(self._plan.pool, now),
            now - self._progress.last_progress_at,
        )
