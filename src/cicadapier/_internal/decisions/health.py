"""Which upstreams may get new work.

The platform's list seeds and lags; an upstream's own word and this router's evidence decide.
"""

import dataclasses
import enum

from cicadapier._internal.models import ids

FAILURES_TO_EJECT = 2
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 15.0


class UpstreamState(enum.Enum):
    """State of an upstream as a router sees it."""

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
    """Evidence about the upstreams of one pool."""

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
        """Returns the last known incarnation, empty where none is known."""
        return self._record(upstream).incarnation

    def record_success(
        self,
        upstream: ids.UpstreamId,
        incarnation: ids.Incarnation | None = None,
        leaving: bool | None = None,
    ) -> None:
        """Records an answer of the upstream itself.

        Args:
            upstream: The upstream.
            incarnation: Its incarnation, where the answer names it.
            leaving: Whether it says that it is leaving, where the answer says so.
        """
        record = self._record(upstream)
        record.failures = 0
        record.ejections = 0
        record.ejected_until = 0.0
        if incarnation is not None:
            if incarnation != record.incarnation:
                # A restart ends the withdrawal that the dead incarnation had announced.
                record.reported_leaving = False
            record.incarnation = incarnation
        if leaving is not None:
            record.reported_leaving = leaving

    def record_failure(self, upstream: ids.UpstreamId, certain: bool, now: float) -> None:
        """Records a failure.

        Args:
            upstream: The upstream.
            certain: Whether the upstream itself is known to be down, as when it refuses
                connections; a silent connection alone proves little.
            now: Present time.
        """
        record = self._record(upstream)
        record.failures += 1
        if not certain and record.failures < FAILURES_TO_EJECT:
            return
        duration_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**record.ejections)
        record.ejections = min(record.ejections + 1, 8)
        record.ejected_until = now + duration_s

    def set_listed_leaving(self, upstream: ids.UpstreamId, leaving: bool) -> None:
        """Takes over the platform's list."""
        self._record(upstream).listed_leaving = leaving

    def set_incarnation(self, upstream: ids.UpstreamId, incarnation: ids.Incarnation) -> None:
        """Takes over the incarnation that the directory shows; a new one has a clean record."""
        if incarnation != self._record(upstream).incarnation:
            self._records[upstream] = _HealthRecord(incarnation=incarnation)

    def forget(self, upstream: ids.UpstreamId) -> None:
        """Drops an upstream that is no longer declared."""
        self._records.pop(upstream, None)

    def _record(self, upstream: ids.UpstreamId) -> _HealthRecord:
        return self._records.setdefault(upstream, _HealthRecord())
