"""The upstreams that the platform's directory shows, joined with the configuration's pools."""

import dataclasses
import random
from typing import Protocol

import structlog
import trio

from cicadapier._internal.decisions import directory
from cicadapier._internal.decisions import rate_limits
from cicadapier._internal.decisions import withdrawals
from cicadapier._internal.kernel import service
from cicadapier._internal.models import directory as directory_models
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import answers
from cicadapier._internal.protocols import declarations
from cicadapier._internal.protocols import store_format
from cicadapier._internal.services import configuration_source
from cicadapier._internal.services import names
from cicadapier._internal.services import telemetry_service
from cicadapier._internal.services import traffic_messages
from cicadapier._internal.services import traffic_service
from cicadapier._internal.services import watching

WATCH_S = 2.5
# Share of the bound on work for upstreams that leave by which changes may be known later.
GATHER_SHARE = 0.4

_log = structlog.get_logger()


class QuotaSink(Protocol):
    """The service that asks for grants and issues them."""

    def limit_changed(self, upstream: ids.UpstreamId) -> None:
        """Notes that another limit of an upstream is in force, or none any more."""


class DirectoryService(service.Service, watching.Follower):
    """Follows the directory and tells the traffic decisions of every change."""

    name = names.UPSTREAMS

    def __init__(
        self,
        documents: declarations.DeclarationFormat,
        leave_s: float,
        clock: watching.Clock,
        rng: random.Random,
    ) -> None:
        self._documents = documents
        self._pace = watching.Pace(WATCH_S, leave_s * GATHER_SHARE)
        self._clock = clock
        self._rng = rng
        self._directory = directory.Directory()
        self._limits = rate_limits.NamedLimits()
        self._unreadable_limits: set[ids.UpstreamId] = set()
        self._quotas: QuotaSink | None = None
        self._expiry_changed = trio.Event()
        self._configuration: configuration_source.ConfigurationSource | None = None
        self._traffic: traffic_service.TrafficService | None = None
        self._telemetry: telemetry_service.TelemetryService | None = None
        self._peers: traffic_service.NewsSink | None = None

    async def run(self, kernel: service.Kernel, started: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._configuration = kernel.find(names.CONFIGURATION)
        self._traffic = kernel.find(names.TRAFFIC)
        self._telemetry = kernel.find(names.TELEMETRY)
        self._peers = kernel.find(names.PEERS)
        self._quotas = kernel.find(names.QUOTAS)
        kind = self._documents.directory_kind
        platform = kernel.find(names.PLATFORM)
        watch = watching.Watch(platform, kind, self._pace, self, self._clock, self._rng)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._expire)
            nursery.start_soon(watch.run)
            started.started()

    def configured(self) -> None:
        """Notes that another configuration is in force."""
        self._publish()

    def find(self, upstream: ids.UpstreamId) -> directory_models.Registration | None:
        """Returns the registration of an upstream, None where it is gone."""
        return self._directory.find(upstream)

    def may_send(self, upstream: ids.UpstreamId, incarnation: ids.Incarnation) -> bool:
        """Returns whether an upstream still takes requests that were meant for an incarnation."""
        return self._directory.may_send(upstream, incarnation, self._clock())

    def is_paused(self, upstream: ids.UpstreamId) -> bool:
        """Returns whether routers are to back off from an upstream now."""
        return self._directory.withdrawals.is_paused(upstream, self._clock())

    def withdrawn(self) -> tuple[withdrawals.Withdrawal, ...]:
        """Returns the upstreams that have said that they are leaving."""
        return self._directory.withdrawals.leaving()

    def leaving_told(self, withdrawal: withdrawals.Withdrawal, source: str) -> None:
        """Takes it that an upstream has said with an answer that it is leaving.

        Args:
            withdrawal: Which start of which upstream.
            source: Who heard it, for the log.
        """
        if not self._directory.withdrawals.leave(withdrawal):
            return
        _log.info(
            "upstream_leaving",
            upstream=withdrawal.upstream,
            incarnation=withdrawal.incarnation,
            source=source,
        )
        self._publish()
        if self._peers:
            self._peers.placed(urgent=True)

    def limit(self, upstream: ids.UpstreamId) -> rate_limits.NamedLimit | None:
        """Returns the rate limit that an upstream has in force, None where it has none."""
        return self._limits.find(upstream)

    def newest_limit(self, upstream: ids.UpstreamId) -> rate_limits.NamedLimit | None:
        """Returns what was heard last of an upstream's limit, also that it is over."""
        return self._limits.newest(upstream)

    def told_limit(self, limit: rate_limits.NamedLimit) -> rate_limits.ToldLimit:
        """Returns what another router is told of a limit."""
        return rate_limits.told(limit, self._clock())

    def told_limits(self) -> tuple[rate_limits.ToldLimit, ...]:
        """Returns what the peers are to be told of limits."""
        return self._limits.told(self._clock())

    def is_limited(self, upstream: ids.UpstreamId, incarnation: ids.Incarnation) -> bool:
        """Returns whether a start of an upstream gets requests with a grant only."""
        limit = self._limits.find(upstream)
        return limit is not None and limit.incarnation == incarnation

    def limit_named(
        self,
        upstream: ids.UpstreamId,
        incarnation: ids.Incarnation,
        named: answers.RateLimit | None,
        source: str,
    ) -> None:
        """Takes what an answer says of the rate that an upstream takes from all routers.

        Args:
            upstream: The upstream.
            incarnation: Which start of it.
            named: The limit, None where the answer names none.
            source: What was answered, for the log.
        """
        if named is not None and named.per_s is None:
            if self._telemetry:
                self._telemetry.event("rate_limit_unreadable")
            if upstream not in self._unreadable_limits:
                self._unreadable_limits.add(upstream)
                _log.info("rate_limit_unreadable", upstream=upstream, source=source)
            return
        per_s = named.per_s if named else None
        limit = rate_limits.NamedLimit(upstream, incarnation, per_s, self._clock())
        self._take_limit(limit, source)

    def limit_heard(self, told: rate_limits.ToldLimit, source: str) -> None:
        """Takes what another router has told of an upstream's limit."""
        self._take_limit(told.heard(self._clock()), source)

    def _take_limit(self, limit: rate_limits.NamedLimit, source: str) -> None:
        if not self._limits.heard(limit):
            return
        _log.info(
            "rate_limit_lifted" if limit.per_s is None else "rate_limit_named",
            upstream=limit.upstream,
            incarnation=limit.incarnation,
            per_s=limit.per_s,
            source=source,
        )
        self._tell_limit(limit)
        if self._quotas:
            self._quotas.limit_changed(limit.upstream)
        if self._peers and limit.own:
            self._peers.placed(urgent=True)

    def _tell_limit(self, limit: rate_limits.NamedLimit) -> None:
        """Tells the traffic decisions of a limit."""
        found = self._directory.find(limit.upstream)
        if found is None or found.incarnation != limit.incarnation or self._traffic is None:
            return
        back_at = trio.current_time() + rate_limits.RETURN_SPREAD_S * self._rng.random()
        on = limit.per_s is not None
        self._traffic.mailbox.offer(
            traffic_messages.Limited(found.pool, limit.upstream, on, back_at)
        )

    def sending(self, upstream: ids.UpstreamId, kind: str) -> None:
        """Counts what is sent to an upstream that names a rate limit."""
        if self._limits.find(upstream) and self._telemetry:
            self._telemetry.limited_send(upstream, kind)

    def pause_told(self, pool: ids.PoolId, upstream: ids.UpstreamId, asked_s: float | None) -> None:
        """Backs off from an upstream that turned a request away and asked for that.

        Args:
            pool: Its pool.
            upstream: The upstream.
            asked_s: Time that it asks for, None where that cannot be read.
        """
        length_s = withdrawals.pause_s(asked_s)
        if length_s != asked_s and self._telemetry:
            self._telemetry.event("pause_out_of_bounds")
        _log.info("upstream_paused", upstream=upstream, asked_s=asked_s, length_s=length_s)
        length_s *= 1 + withdrawals.RETURN_SPREAD * self._rng.random()
        self._directory.withdrawals.pause(upstream, self._clock() + length_s)
        if self._traffic:
            until = trio.current_time() + length_s
            self._traffic.mailbox.offer(traffic_messages.Paused(pool, upstream, until))

    def answered(self, asked_at: float) -> None:
        """See `watching.Follower.answered`."""
        self._directory.store_answered(self._clock())

    def unanswered(self) -> None:
        """See `watching.Follower.unanswered`."""
        self._directory.store_lost()

    def listed(self, objects: tuple[store_format.StoredObject, ...]) -> None:
        """See `watching.Follower.listed`."""
        entries = [self._read(item) for item in objects]
        self._directory.listed(entries, self._clock())
        _log.info("directory_listed", entries=len(entries))

    def changed(self, change: store_format.Change) -> None:
        """See `watching.Follower.changed`."""
        if change.deleted:
            upstream = ids.UpstreamId(change.object.name)
            self._directory.removed(upstream, self._clock())
            kept = self._directory.find(upstream) is not None
            _log.info("upstream_removed", upstream=upstream, kept_for_now=kept)
        else:
            entry = self._read(change.object)
            self._directory.changed(entry)
            if isinstance(entry, directory_models.Registration):
                _log.info("upstream_registered", **_describe(entry))

    def settled(self) -> None:
        """See `watching.Follower.settled`."""
        self._publish()

    def _read(self, item: store_format.StoredObject) -> directory_models.Entry:
        entry = self._documents.read_registration(item)
        if isinstance(entry, directory_models.Unreadable):
            if self._telemetry:
                self._telemetry.event("directory_entry_unreadable")
            _log.info("directory_entry_unreadable", entry=entry.name, reason=entry.reason)
        return entry

    def _publish(self) -> None:
        self._expiry_changed.set()
        if self._configuration is None or self._traffic is None:
            return
        current = self._configuration.current
        pools = self._directory.pools(current.content.pools)
        content = dataclasses.replace(current.content, pools=pools)
        joined = dataclasses.replace(current, content=content)
        self._traffic.mailbox.send(traffic_messages.ConfigurationChanged(joined))
        registered = {item.upstream for item in self._directory.registrations()}
        self._limits.keep_only(registered)
        self._unreadable_limits &= registered
        for limit in self._limits.in_force():
            # An upstream that has just been added to its pool is not known there as limited.
            self._tell_limit(limit)

    async def _expire(self) -> None:
        while True:
            self._expiry_changed = trio.Event()
            expiry = self._directory.next_expiry()
            wait_s = max(0.0, expiry - self._clock()) if expiry is not None else float("inf")
            with trio.move_on_after(wait_s):
                await self._expiry_changed.wait()
            if self._directory.expire(self._clock()):
                _log.info("lapsed_upstreams_dropped")
                self._publish()


def _describe(entry: directory_models.Registration) -> dict[str, object]:
    return {
        "upstream": entry.upstream,
        "pool": entry.pool,
        "address": entry.address,
        "incarnation": entry.incarnation,
        "leaving": entry.leaving,
        "weights": entry.weights,
    }
