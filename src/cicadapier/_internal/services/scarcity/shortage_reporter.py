"""Metrics and log lines about requests that find no room."""

import collections
import collections.abc

import structlog

from cicadapier._internal.decisions import observations
from cicadapier._internal.models import ids
from cicadapier._internal.services import telemetry_service

MIN_INTERVAL_S = 0.5  # Between two reports.

_log = structlog.get_logger()


class ShortageReporter:
    """Counts what happens to requests, and logs when a shortage of room begins and ends."""

    def __init__(self) -> None:
        self._reported_at = float("-inf")
        self._short_pools: set[ids.PoolId] = set()
        self._seen_urgencies: set[int] = set()

    def report(
        self,
        pools: collections.abc.Mapping[ids.PoolId, observations.PoolState],
        telemetry: telemetry_service.TelemetryService,
        now: float,
    ) -> None:
        """Reports what has happened since the last report, if that was long enough ago."""
        if now - self._reported_at < MIN_INTERVAL_S:
            return
        self._reported_at = now
        waiting: collections.Counter[int] = collections.Counter()
        for pool, state in pools.items():
            if state.scarcity is None:
                continue
            for (urgency, event), count in state.scarcity.take_counts().items():
                telemetry.count_urgency_events(urgency, event.value, count)
            waiting += state.scarcity.queue.waiting_by_urgency()
            self._log_change(pool, state.scarcity.is_short(now), len(state.queue))
        self._seen_urgencies |= waiting.keys()
        for rank in self._seen_urgencies:
            telemetry.record_waiting(rank, waiting[rank])
        self._short_pools &= pools.keys()

    def _log_change(self, pool: ids.PoolId, is_short: bool, queued: int) -> None:
        if is_short and pool not in self._short_pools:
            self._short_pools.add(pool)
            _log.info("room_is_short", pool=pool, queued=queued)
        elif not is_short and pool in self._short_pools:
            self._short_pools.remove(pool)
            _log.info("room_is_enough", pool=pool)
