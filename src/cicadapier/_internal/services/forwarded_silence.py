"""Handles answers to forwarded requests that make no progress."""

import collections.abc
import dataclasses
import math

import trio

from cicadapier._internal.decisions import retries
from cicadapier._internal.decisions import routing
from cicadapier._internal.decisions.uneven import hedge_patience
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import exceptions as protocol_exceptions
from cicadapier._internal.protocols import http_client
from cicadapier._internal.services import attempts
from cicadapier._internal.services import forwarded_calls
from cicadapier._internal.services import forwarded_log
from cicadapier._internal.services import forwarded_plan
from cicadapier._internal.services import forwarded_progress
from cicadapier._internal.services import hedging
from cicadapier._internal.services import replacements
from cicadapier._internal.services import request_context

# An attempt without progress for the following time is hedged at another upstream, if that is
# allowed.
HEDGE_AFTER_OBJECTIVES = 2.0  # Before the first event; multiple of the route's `objective_s`.
MIN_HEDGE_DELAY_S = 0.5
HEDGE_AFTER_GAPS = 1.2  # After the first event; multiple of the route's `gap_s`.
# After this multiple of the route's `gap_s` without an event, a run with a usable backup is checked
# by a test connection, which shows whether its upstream is still reachable.
REACHABILITY_CHECK_GAPS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class BackupConnection:
    """A connection to an upstream that holds the backup of a run.

    Attributes:
        address: Address of the upstream.
        conn: New connection to it.
    """

    address: ids.Address
    conn: http_client.ClientConnection


ConnectBackup = collections.abc.Callable[
    [ids.UpstreamId], collections.abc.Awaitable[BackupConnection | None]
]
ContinueRun = collections.abc.Callable[[routing.Placed, BackupConnection], attempts.Attempt]


async def connect_backup(
    dependencies: forwarded_plan.Dependencies, upstream: ids.UpstreamId
) -> BackupConnection | None:
    """Connects to the upstream that holds a backup.

    Returns:
        The connection; None if the upstream is unreachable, not registered or leaving.
    """
    registration = dependencies.directory.find(upstream)
    if registration is None or registration.leaving:
        return None
    try:
        conn = await dependencies.services.connections.open(
            registration.address, forwarded_calls.CONNECT_TIMEOUT_S
        )
    except protocol_exceptions.ConnectError:
        return None
    return BackupConnection(registration.address, conn)


class SilentAnswerHandler(hedging.Hedger):
    """Hedges a silent attempt, or fails over to the run's backup if the upstream is unreachable."""

    def __init__(
        self,
        services: request_context.Services,
        plan: forwarded_plan.Plan,
        sequence: retries.AttemptSequence,
        progress: forwarded_progress.AnswerProgress,
        starter: hedging.AttemptStarter,
        may_send: collections.abc.Callable[[], bool],
        connect_backup: ConnectBackup,
        continue_run: ContinueRun,
    ) -> None:
        super().__init__(services, plan.request_spec.request, sequence, starter)
        self._plan = plan
        self._progress = progress
        self._may_send = may_send
        self._connect_backup = connect_backup
        self._continue_run = continue_run

    def silence_timeout_s(self, attempt: attempts.Attempt) -> float:
        """See `replacements.SilenceHandler.silence_timeout_s`."""
        route = self._plan.admission.route
        if self._progress.usable_backup is not None:
            return REACHABILITY_CHECK_GAPS * route.gap_s
        if not self._sequence.may_run_again(self._progress.relayed_events):
            return math.inf
        slowness = self._progress.placed.choice.estimate.slowness if self._progress.placed else 1.0
        patience = hedge_patience.factor(slowness)
        if self._progress.relayed_events:
            return max(MIN_HEDGE_DELAY_S, HEDGE_AFTER_GAPS * route.gap_s) * patience
        return max(MIN_HEDGE_DELAY_S, HEDGE_AFTER_OBJECTIVES * route.objective_s) * patience

    async def find_replacement(self, attempt: attempts.Attempt) -> replacements.Replacement | None:
        """See `replacements.SilenceHandler.find_replacement`."""
        backup = self._progress.usable_backup
        if backup is None:
            replacement = await self.start_hedge(self._progress.relayed_events)
        elif await attempt.is_reachable():
            return None
        else:
            replacement = await self._continue_from_backup(backup)
        if replacement is None:
            self._report_attempt_kept()
        return replacement

    async def _continue_from_backup(
        self, backup: ids.UpstreamId
    ) -> replacements.Replacement | None:
        """Fails over to the backup, if it can be reached.

        The current attempt is given up only then, because two upstreams must not work on the run.
        """
        connection = await self._connect_backup(backup)
        if connection is None:
            return None
        replacement = None
        try:
            replacement = await self._fail_over(connection)
        finally:
            if replacement is None:
                await connection.conn.close()
        return replacement

    async def _fail_over(self, connection: BackupConnection) -> replacements.Replacement | None:
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
        return replacements.Replacement(placed, self._continue_run(placed, connection))

    def _report_attempt_kept(self) -> None:
        self._services.telemetry.count_event("silent_attempt_stands")
        now = trio.current_time()
        assert self._progress.placed
        forwarded_log.log_attempt_kept(
            self._plan,
            self._progress.placed,
            self._services.retry_budget.remaining(self._plan.pool, now),
            now - self._progress.last_progress_at,
        )
