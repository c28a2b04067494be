"""Metrics and log lines about the load that upstreams state with their answers."""

import structlog

from cicadapier._internal.decisions import observations
from cicadapier._internal.decisions import routing
from cicadapier._internal.decisions.uneven import stated_load
from cicadapier._internal.kernel import service
from cicadapier._internal.models import ids
from cicadapier._internal.services import names
from cicadapier._internal.services import telemetry_service

MAX_SERIES = 64  # Upstreams with series of their own in the life of a process.

_log = structlog.get_logger()


class SlownessReport:
    """Reports how long work takes at upstreams and how many requests they get.

    Nothing is reported about pools whose upstreams do not state how long work takes there.
    """

    def __init__(self) -> None:
        self._kernel: service.Kernel | None = None
        self._odd = stated_load.OddStatements()
        self._with_series: set[ids.UpstreamId] = set()

    def start(self, kernel: service.Kernel) -> None:
        """Reports to the telemetry service of a kernel from now on."""
        self._kernel = kernel

    def retain(self, upstreams: set[ids.UpstreamId]) -> None:
        """Drops what is kept about all other upstreams, but for their series."""
        self._odd.retain(upstreams)

    def record_stated(
        self,
        upstream: ids.UpstreamId,
        stated: stated_load.StatedLoad,
        state: observations.PoolState | None,
        now: float,
    ) -> None:
        """Reports a statement of an upstream after it was taken over.

        Args:
            upstream: The upstream.
            stated: Its statement.
            state: State of its pool; None if the pool is no longer declared.
            now: Current time.
        """
        if stated.is_odd and self._odd.is_new(upstream):
            _log.info("stated_load_odd", upstream=upstream, header=stated.quoted)
        telemetry = self._telemetry()
        if telemetry is None or state is None or stated.slowness is None:
            return
        if self._label(upstream) == upstream:
            slowness = state.policy.slowness.slowness(upstream, now)
            telemetry.record_slowness(upstream, slowness)

    def record_placed(self, placed: routing.Placed, state: observations.PoolState | None) -> None:
        """Counts a request that is being sent to an upstream of a pool."""
        telemetry = self._telemetry()
        if telemetry and state and state.policy.slowness.is_stated:
            telemetry.count_uneven_send(self._label(placed.choice.estimate.upstream))

    def _label(self, upstream: ids.UpstreamId) -> str:
        """Returns the upstream, or "other" where there are `MAX_SERIES` others already."""
        if upstream not in self._with_series and len(self._with_series) < MAX_SERIES:
            self._with_series.add(upstream)
        return upstream if upstream in self._with_series else "other"

    def _telemetry(self) -> telemetry_service.TelemetryService | None:
        return self._kernel.find(names.TELEMETRY) if self._kernel else None
