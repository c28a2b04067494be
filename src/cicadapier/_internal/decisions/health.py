"""Health of upstreams, which decides whether they may get new work.

The platform's directory provides the initial state, but it lags behind. The state that an upstream
itself reports and the outcomes that this router observes decide.
"""

import dataclasses
import enum

from cicadapier._internal.models import ids

FAILURES_TO_EJECT = 2
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 15.0


class UpstreamState(enum.Enum):
    """State of an upstream as this router sees it."""

    ACTIVE = "active"
    EJECTED = "ejected"
    LEAVING = "leaving"


@dataclasses.dataclass(slots=True)
class _HealthRecord:
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    reported_leaving: bool = False
    listed_leaving: bool = False
    incarnation: ids.Incarnation = ids.Incarnation("")


class UpstreamHealth:
    """Health records of the upstreams of one pool."""

    def __init__(self) -> None:
        self._records: dict[ids.UpstreamId, _HealthRecord] = {}

    def state(self, upstream: ids.UpstreamId, now: float) -> UpstreamState:
        """Returns the state of an upstream."""
        record = self._records.get(upstream)
        if record is None:
            return UpstreamState.ACTIVE
        if record.reported_leaving or record.listed_leaving:
            return UpstreamState.LEAVING
        return UpstreamState.EJECTED if now < record.ejected_until else UpstreamState.ACTIVE

    def incarnation(self, upstream: ids.UpstreamId) -> ids.Incarnation:
        """Returns the last known incarnation; empty if none is known."""
        return self._record(upstream).incarnation

    def record_success(
        self,
        upstream: ids.UpstreamId,
        incarnation: ids.Incarnation | None = None,
        leaving: bool | None = None,
    ) -> None:
        """Records an answer that the upstream itself sent.

        Args:
            upstream: The upstream.
            incarnation: Its incarnation, if the answer names it.
            leaving: Whether it reports that it is leaving; None if the answer does not say.
        """
        record = self._record(upstream)
        record.failures = 0
        record.ejections = 0
        record.ejected_until = 0.0
        if incarnation is not None:
            if incarnation != record.incarnation:
                # The restart ends the withdrawal that the previous incarnation announced.
                record.reported_leaving = False
            record.incarnation = incarnation
        if leaving is not None:
            record.reported_leaving = leaving

    def record_failure(self, upstream: ids.UpstreamId, certain: bool, now: float) -> None:
        """Records a failure.

        Args:
            upstream: The upstream.
            certain: Whether the upstream is known to be down, for example because it refuses
                connections. It is then ejected at once; a silent connection alone is weak evidence
                and counts towards `FAILURES_TO_EJECT`.
            now: Current time.
        """
        record = self._record(upstream)
        record.failures += 1
        if not certain and record.failures < FAILURES_TO_EJECT:
            return
        duration_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**record.ejections)
        record.ejections = min(record.ejections + 1, 8)
        record.ejected_until = now + duration_s

    def set_listed_leaving(self, upstream: ids.UpstreamId, leaving: bool) -> None:
        """Records whether the platform's directory lists an upstream as leaving."""
        self._record(upstream).listed_leaving = leaving

    def set_incarnation(self, upstream: ids.UpstreamId, incarnation: ids.Incarnation) -> None:
        """Sets the incarnation that the directory lists; a new one starts with an empty record."""
        if incarnation != self._record(upstream).incarnation:
            self._records[upstream] = _HealthRecord(incarnation=incarnation)

    def forget(self, upstream: ids.UpstreamId) -> None:
        """Drops the record of an upstream that is no longer configured."""
        self._records.pop(upstream, None)

    def _record(self, upstream: ids.UpstreamId) -> _HealthRecord:
        return self._records.setdefault(upstream, _HealthRecord())
