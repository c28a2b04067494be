"""What follows where the answer to a forwarded request shows no progress."""

import math

import trio

from cicadapier._internal.decisions import entries
from cicadapier._internal.decisions import retries
from cicadapier._internal.services import attempts
from cicadapier._internal.services import forwarded_log
from cicadapier._internal.services import forwarded_plan
from cicadapier._internal.services import forwarded_progress
from cicadapier._internal.services import request_context

# An upstream that shows no progress for so long is left for another one, where that is allowed.
SILENT_OBJECTIVES = 2.0
MIN_SILENT_S = 0.5
SILENT_GAPS = 1.2
# After so many longest pauses without an event, whether the upstream can still be reached.
CHECK_GAPS = 1.0


class ForwardedSilence(attempts.Silence):
    """Leaves a silent upstream once the request has its place and its repeat elsewhere."""

    def __init__(
        self,
        services: request_context.Services,
        plan: forwarded_plan.Plan,
        sequence: retries.AttemptSequence,
        progress: forwarded_progress.Progress,
    ) -> None:
        self._services = services
        self._plan = plan
        self._sequence = sequence
        self._progress = progress

    def limit_s(self, attempt: attempts.Attempt) -> float:
        """See `attempts.Silence.limit_s`."""
        route = self._plan.admission.route
        if self._progress.backup is not None:
            return CHECK_GAPS * route.gap_s
        if not self._sequence.may_run_elsewhere(self._progress.relayed):
            return math.inf
        if self._progress.relayed:
            return max(MIN_SILENT_S, SILENT_GAPS * route.gap_s)
        return max(MIN_SILENT_S, SILENT_OBJECTIVES * route.objective_s)

    async def judge(self, attempt: attempts.Attempt) -> entries.Superseded | None:
        """See `attempts.Silence.judge`."""
        lost = self._progress.backup is not None
        if lost and await attempt.is_reachable():
            return None
        superseded = await self._services.succeed(
            self._plan.entry.request, self._sequence, self._progress.relayed, lost
        )
        if superseded is None:
            self._note_stands()
        return superseded

    def _note_stands(self) -> None:
        self._services.telemetry.event("silent_attempt_stands")
        now = trio.current_time()
        assert self._progress.placed
        forwarded_log.attempt_stands(
            self._plan,
            self._progress.placed,
            self._services.budget.left(self._plan.pool, now),
            now - self._progress.moved_at,
        )
