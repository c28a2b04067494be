"""Rate limits that upstreams have announced, and notification of services when they change."""

import collections.abc
import random
from typing import Protocol

import structlog
import trio

from cicadapier._internal.decisions import rate_limits
from cicadapier._internal.models import directory_entries
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import answers
from cicadapier._internal.services import telemetry_service
from cicadapier._internal.services import traffic_messages
from cicadapier._internal.services import traffic_service
from cicadapier._internal.services import watching

_log = structlog.get_logger()

FindUpstream = collections.abc.Callable[[ids.UpstreamId], directory_entries.Registration | None]


class LimitListener(Protocol):
    """Interface of the service that requests and issues grants."""

    def limit_changed(self, upstream: ids.UpstreamId) -> None:
        """Handles a changed or lifted limit of an upstream."""


class KnownLimits:
    """The rate limits that this router has received from upstreams and from other routers."""

    def __init__(self, find: FindUpstream, clock: watching.Clock, rng: random.Random) -> None:
        """Creates the record without any limits.

        Args:
            find: Returns the registration of an upstream.
            clock: Clock of the directory, which also advances while the machine is suspended.
            rng: Source of the random delay before requests resume after a limit is lifted.
        """
        self._find = find
        self._clock = clock
        self._rng = rng
        self._limits = rate_limits.AnnouncedLimits()
        self._unreadable_logged: set[ids.UpstreamId] = set()
        self._named_in_reports: dict[ids.UpstreamId, ids.Incarnation] = {}
        self._traffic: traffic_service.TrafficService | None = None
        self._telemetry: telemetry_service.TelemetryService | None = None
        self._quotas: LimitListener | None = None
        self._peers: traffic_service.PeerNotifier | None = None

    def set_services(
        self,
        traffic: traffic_service.TrafficService,
        telemetry: telemetry_service.TelemetryService,
        quotas: LimitListener,
        peers: traffic_service.PeerNotifier,
    ) -> None:
        """Sets the services to notify; before this call, nothing is notified."""
        self._traffic = traffic
        self._telemetry = telemetry
        self._quotas = quotas
        self._peers = peers

    def find(self, upstream: ids.UpstreamId) -> rate_limits.AnnouncedLimit | None:
        """Returns the limit in force for an upstream, or None if it has none."""
        return self._limits.find(upstream)

    def latest(self, upstream: ids.UpstreamId) -> rate_limits.AnnouncedLimit | None:
        """Returns the latest announcement of an upstream, even if it lifts the limit."""
        return self._limits.latest(upstream)

    def requires_grant(self, upstream: ids.UpstreamId, incarnation: ids.Incarnation) -> bool:
        """Returns whether requests to an incarnation of an upstream require a grant."""
        limit = self._limits.find(upstream)
        return limit is not None and limit.incarnation == incarnation

    def make_notice(self, limit: rate_limits.AnnouncedLimit) -> rate_limits.LimitNotice:
        """Returns the notice of a limit to send to other routers."""
        return rate_limits.make_notice(limit, self._clock())

    def notices_for_peers(self) -> tuple[rate_limits.LimitNotice, ...]:
        """Returns the notices to send to the peers."""
        return self._limits.notices(self._clock())

    def notices_in_force(self) -> tuple[rate_limits.LimitNotice, ...]:
        """Returns the notices of the limits in force, for a router that has just started."""
        return self._limits.notices_in_force(self._clock())

    def count_send(self, upstream: ids.UpstreamId, kind: str) -> None:
        """Counts a request that is sent to an upstream, if the upstream has a limit in force."""
        if self._limits.find(upstream) and self._telemetry:
            self._telemetry.count_limited_send(upstream, kind)

    def record_announcement(
        self,
        upstream: ids.UpstreamId,
        incarnation: ids.Incarnation,
        limit: answers.RateLimit | None,
        source: str,
    ) -> None:
        """Records the rate limit that an answer announces, or that it announces none.

        Args:
            upstream: The upstream.
            incarnation: Its incarnation.
            limit: The limit; None if the answer announces none.
            source: Kind of request that was answered, for the log.
        """
        if limit is not None and limit.per_s is None:
            self._count_unreadable(upstream, source)
            return
        per_s = limit.per_s if limit else None
        self._update(
            rate_limits.AnnouncedLimit(upstream, incarnation, per_s, self._clock()), source
        )

    def record_report(
        self,
        upstream: ids.UpstreamId,
        incarnation: ids.Incarnation,
        limit: answers.RateLimit | None,
    ) -> None:
        """Records what the answer to a report or an order says of a rate limit.

        Not all upstreams name their limits in these answers. One that has done so lifts its limit
        by an answer that names none; no other answer may come while it lets nothing through.

        Args:
            upstream: The upstream.
            incarnation: Its incarnation.
            limit: The limit; None if the answer names none.
        """
        if limit is not None:
            self._named_in_reports[upstream] = incarnation
        elif self._named_in_reports.get(upstream) != incarnation:
            return
        else:
            del self._named_in_reports[upstream]
        self.record_announcement(upstream, incarnation, limit, "report")

    def record_notice(self, notice: rate_limits.LimitNotice, source: str) -> None:
        """Records a notice that another router has sent.

        Args:
            notice: The notice.
            source: The router, for the log.
        """
        self._update(notice.to_limit(self._clock()), source)

    def set_registered(self, upstreams: collections.abc.Set[ids.UpstreamId]) -> None:
        """Drops all upstreams except the given ones and passes on the limits in force.

        The traffic decisions need these again, because they treat an upstream that has just been
        added to its pool as unlimited.
        """
        self._limits.retain(upstreams)
        self._unreadable_logged &= upstreams
        for upstream in self._named_in_reports.keys() - upstreams:
            del self._named_in_reports[upstream]
        for limit in self._limits.in_force():
            self._notify_traffic(limit)

    def _count_unreadable(self, upstream: ids.UpstreamId, source: str) -> None:
        """Counts a limit that cannot be read, and logs it once for each upstream."""
        if self._telemetry:
            self._telemetry.count_event("rate_limit_unreadable")
        if upstream not in self._unreadable_logged:
            self._unreadable_logged.add(upstream)
            _log.info("rate_limit_unreadable", upstream=upstream, source=source)

    def _update(self, limit: rate_limits.AnnouncedLimit, source: str) -> None:
        if not self._limits.update(limit):
            return
        _log.info(
            "rate_limit_lifted" if limit.per_s is None else "rate_limit_named",
            upstream=limit.upstream,
            incarnation=limit.incarnation,
            per_s=limit.per_s,
            source=source,
        )
        self._notify_traffic(limit)
        if self._quotas:
            self._quotas.limit_changed(limit.upstream)
        if self._peers and limit.direct:
            self._peers.schedule_update(urgent=True)

    def _notify_traffic(self, limit: rate_limits.AnnouncedLimit) -> None:
        registration = self._find(limit.upstream)
        if (
            registration is None
            or registration.incarnation != limit.incarnation
            or self._traffic is None
        ):
            return
        resume_at = trio.current_time() + rate_limits.RESUME_SPREAD_S * self._rng.random()
        self._traffic.mailbox.try_send(
            traffic_messages.LimitChanged(
                registration.pool, limit.upstream, limit.per_s is not None, resume_at
            )
        )
