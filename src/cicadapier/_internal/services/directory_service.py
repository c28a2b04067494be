"""Service that adds the upstreams in the platform's directory to the configured pools."""

import dataclasses
import math
import random
from typing import Protocol

import structlog
import trio

from cicadapier._internal.decisions import directory
from cicadapier._internal.decisions import withdrawals
from cicadapier._internal.kernel import service
from cicadapier._internal.models import configuration
from cicadapier._internal.models import directory_entries
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.models import store_versions
from cicadapier._internal.protocols import answers
from cicadapier._internal.protocols import declarations
from cicadapier._internal.protocols import store_format
from cicadapier._internal.services import configuration_source
from cicadapier._internal.services import fresh_answers
from cicadapier._internal.services import known_brittleness
from cicadapier._internal.services import known_limits
from cicadapier._internal.services import names
from cicadapier._internal.services import rejection_messages
from cicadapier._internal.services import telemetry_service
from cicadapier._internal.services import traffic_messages
from cicadapier._internal.services import traffic_service
from cicadapier._internal.services import watching

WATCH_TIMEOUT_S = 2.5
# Share of `drain_s` by which the batching of changes may delay them.
BATCH_PAUSE_SHARE = 0.4
# Share of `drain_s` for which a router that reads for others waits for a change.
READER_WAIT_SHARE = 0.15

_log = structlog.get_logger()


class VersionSink(Protocol):
    """Service that follows the software versions of the pools that serve streams."""

    def set_versions(self, versions: frozenset[str], passed: frozenset[str]) -> None:
        """Sets the software versions that are registered in these pools.

        Args:
            versions: Those that are registered now.
            passed: Those that were registered at some time since the last call.
        """

    def record_registration(
        self, entry: directory_entries.Registration, certain_until: float
    ) -> None:
        """Records that an upstream has been registered.

        Args:
            entry: The registration.
            certain_until: Time of trio's clock until which the directory said what was known of the
                upstream before.
        """

    def confirm_versions(self) -> None:
        """Records that the directory has answered."""

    def record_silence(self) -> None:
        """Records that a query of the directory was not answered."""

    def record_missed_versions(self) -> None:
        """Records that changes of the directory may have been missed."""


class DirectoryService(service.Service, watching.WatchHandler):
    """Watches the directory and passes every change to the traffic decisions.

    Attributes:
        limits: Rate limits that upstreams have announced.
        addresses: Addresses of all registered upstreams.
    """

    name = names.UPSTREAMS

    def __init__(
        self,
        declaration_format: declarations.DeclarationFormat,
        drain_s: float,
        clock: watching.Clock,
        rng: random.Random,
    ) -> None:
        """Creates the service.

        Args:
            declaration_format: Format of the directory entries.
            drain_s: Time within which routers stop sending requests to an upstream that leaves.
            clock: Clock that also advances while the machine is suspended.
            rng: Source of random delays.
        """
        self._declaration_format = declaration_format
        self._watch_options = _watch_options(drain_s)
        self._watch: watching.Watch | None = None
        self._clock = clock
        self._rng = rng
        self._directory = directory.Directory()
        self.limits = known_limits.KnownLimits(self.find, clock, rng)
        self._brittleness = known_brittleness.KnownBrittleness(rng)
        self.addresses: frozenset[ids.Address] = frozenset()
        self._expiry_changed = trio.Event()
        # Times of trio's clock at which the last query with an answer was sent, and the one before.
        self._queried_at = self._certain_until = -math.inf
        # Registrations since the last update; later ones of the same answer may have replaced them.
        self._passed: list[directory_entries.Registration] = []
        self._configuration: configuration_source.ConfigurationSource | None = None
        self._traffic: traffic_service.TrafficService | None = None
        self._telemetry: telemetry_service.TelemetryService | None = None
        self._peers: traffic_service.PeerNotifier | None = None
        self._origins: VersionSink | None = None
        self._fresh_answers: fresh_answers.FreshAnswers | None = None

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._configuration = kernel.find(names.CONFIGURATION)
        self._traffic = kernel.find(names.TRAFFIC)
        self._telemetry = kernel.find(names.TELEMETRY)
        self._peers = kernel.find(names.PEERS)
        self._origins = kernel.find(names.ORIGINS)
        self.limits.set_services(
            self._traffic, self._telemetry, kernel.find(names.QUOTAS), self._peers
        )
        self._brittleness.set_services(kernel.find(names.PEERS), self._telemetry)
        kind = self._declaration_format.directory_kind
        platform = kernel.find(names.PLATFORM)
        watch = watching.Watch(platform, kind, self._watch_options, self, self._clock, self._rng)
        self._watch = watch
        self._fresh_answers = fresh_answers.FreshAnswers(watch.confirm)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._expire_entries)
            nursery.start_soon(watch.run)
            nursery.start_soon(self._fresh_answers.run)
            task_status.started()

    def reload(self, cfg: settings.Settings) -> None:
        """See `service.Service.reload`."""
        if cfg.forwarding is None:
            return
        self._watch_options = _watch_options(cfg.forwarding.drain_ms / 1000)
        if self._watch:
            self._watch.set_options(self._watch_options)

    def handle_configuration_change(self) -> None:
        """Passes the pools of the new configuration to the traffic decisions."""
        self._publish()

    async def confirm(self, timeout_s: float) -> bool:
        """Asks the store for the changes up to now.

        Args:
            timeout_s: Longest wait.

        Returns:
            Whether all changes that the store had made when this was called have been applied.
        """
        return self._fresh_answers is not None and await self._fresh_answers.wait(timeout_s)

    @property
    def known_up_to(self) -> float:
        """Time on trio's clock up to which all changes that the store had are known."""
        return self._queried_at

    def find(self, upstream: ids.UpstreamId) -> directory_entries.Registration | None:
        """Returns the registration of an upstream, or None if it has none that may be used."""
        return self._directory.find(upstream)

    def find_stream_upstream(self, address: ids.Address) -> directory_entries.Registration | None:
        """Returns the upstream at an address that serves streams, or None if there is none."""
        if self._configuration is None:
            return None
        pools = _stream_pools(self._configuration.current.content)
        return next(
            (
                item
                for item in self._directory.registrations()
                if item.address == address and item.pool in pools
            ),
            None,
        )

    def may_send(self, upstream: ids.UpstreamId, incarnation: ids.Incarnation) -> bool:
        """Returns whether a request that was placed on an incarnation may still be sent there."""
        return self._directory.may_send(upstream, incarnation, self._clock())

    def is_paused(self, upstream: ids.UpstreamId) -> bool:
        """Returns whether an upstream has asked to receive no requests now."""
        return self._directory.withdrawals.is_paused(upstream, self._clock())

    def known_withdrawals(self) -> tuple[withdrawals.Withdrawal, ...]:
        """Returns the incarnations of upstreams that have announced that they are leaving."""
        return self._directory.withdrawals.all()

    def record_withdrawal(self, withdrawal: withdrawals.Withdrawal, source: str) -> None:
        """Records that an upstream has announced in an answer that it is leaving.

        Args:
            withdrawal: The incarnation of the upstream.
            source: Router or kind of request that received the announcement, for the log.
        """
        if not self._directory.withdrawals.add(withdrawal):
            return
        _log.info(
            "upstream_leaving",
            upstream=withdrawal.upstream,
            incarnation=withdrawal.incarnation,
            source=source,
        )
        self._publish()
        if self._peers:
            self._peers.schedule_update(urgent=True)

    def record_pause(
        self, pool: ids.PoolId, upstream: ids.UpstreamId, asked_s: float | None
    ) -> None:
        """Pauses requests to an upstream that has rejected a request and asked for a pause.

        Args:
            pool: Pool of the upstream.
            upstream: The upstream.
            asked_s: Time that the upstream asked for; None if it cannot be read.
        """
        length_s = withdrawals.pause_s(asked_s)
        if length_s != asked_s and self._telemetry:
            self._telemetry.count_event("pause_out_of_bounds")
        _log.info("upstream_paused", upstream=upstream, asked_s=asked_s, length_s=length_s)
        length_s *= 1 + withdrawals.RESUME_JITTER_SHARE * self._rng.random()
        self._directory.withdrawals.pause(upstream, self._clock() + length_s)
        if self._traffic:
            until = trio.current_time() + length_s
            self._traffic.mailbox.try_send(traffic_messages.UpstreamPaused(pool, upstream, until))

    def record_rejection(
        self,
        pool: ids.PoolId,
        upstream: ids.UpstreamId,
        incarnation: ids.Incarnation,
        facts: answers.AnswerFacts,
    ) -> None:
        """Limits the requests to an upstream if its answer rejects one and it bears few of these.

        Args:
            pool: Pool of the upstream.
            upstream: The upstream.
            incarnation: Its incarnation.
            facts: Metadata of the answer, whatever it is.
        """
        if self._traffic is None:
            return
        if self._brittleness.record_answer(upstream, incarnation, facts):
            self._traffic.mailbox.try_send(rejection_messages.BrittlenessEnded(pool, upstream))
        interval_s = self._brittleness.find_interval(upstream, incarnation, facts)
        if interval_s is not None:
            message = rejection_messages.BrittleUpstreamRejected(pool, upstream, interval_s)
            self._traffic.mailbox.try_send(message)

    def record_answer(self, queried_at: float) -> None:
        """See `watching.WatchHandler.record_answer`."""
        now = self._clock()
        self._directory.record_store_response(now)
        # Also after a suspension, in which trio's clock may stand still, this is no later.
        self._certain_until = self._queried_at
        # Answers that other routers report may be older than the one before.
        self._queried_at = max(self._queried_at, trio.current_time() - (now - queried_at))
        if self._origins:
            self._origins.confirm_versions()

    def record_failure(self) -> None:
        """See `watching.WatchHandler.record_failure`."""
        self._directory.record_store_loss()
        if self._origins:
            self._origins.record_silence()

    def record_unreadable(self) -> None:
        """See `watching.WatchHandler.record_unreadable`."""
        if self._telemetry:
            self._telemetry.count_event("directory_unreadable")

    def begin_epoch(self, change: store_versions.EpochChange) -> None:
        """See `watching.WatchHandler.begin_epoch`."""
        self._directory.begin_epoch(self._clock())

    def handle_listing(self, objects: tuple[store_format.StoredObject, ...]) -> None:
        """See `watching.WatchHandler.handle_listing`."""
        entries = [self._read_entry(item) for item in objects]
        difference = self._directory.replace_all(entries, self._clock())
        if difference is not None:
            _log.info("directory_restored", **_difference_fields(difference))
        for entry in entries:
            if isinstance(entry, directory_entries.Registration) and self._is_in_force(entry):
                self._record_registration(entry)
        if self._origins:
            # A listing does not show what came and went since the answer before.
            self._origins.record_missed_versions()
        _log.info("directory_listed", entries=len(entries))

    def handle_change(self, change: store_format.Change) -> None:
        """See `watching.WatchHandler.handle_change`."""
        if change.deleted:
            upstream = ids.UpstreamId(change.object.name)
            self._directory.remove(upstream, self._clock())
            is_retained = self._directory.find(upstream) is not None
            _log.info("upstream_removed", upstream=upstream, kept_for_now=is_retained)
        else:
            entry = self._read_entry(change.object)
            self._directory.put(entry)
            if isinstance(entry, directory_entries.Registration):
                self._record_registration(entry)
                _log.info("upstream_registered", **_log_fields(entry))

    def finish_update(self) -> None:
        """See `watching.WatchHandler.finish_update`."""
        self._publish()

    def _is_in_force(self, entry: directory_entries.Registration) -> bool:
        """Returns whether an entry names the process that is known of its upstream."""
        known = self._directory.find(entry.upstream)
        return known is not None and known.incarnation == entry.incarnation

    def _record_registration(self, entry: directory_entries.Registration) -> None:
        self._passed.append(entry)
        if self._origins:
            self._origins.record_registration(entry, self._certain_until)

    def _read_entry(self, item: store_format.StoredObject) -> directory_entries.Entry:
        entry = self._declaration_format.read_registration(item)
        if isinstance(entry, directory_entries.UnreadableEntry):
            if self._telemetry:
                self._telemetry.count_event("directory_entry_unreadable")
            _log.info("directory_entry_unreadable", entry=entry.name, reason=entry.reason)
        return entry

    def _publish(self) -> None:
        self._expiry_changed.set()
        registrations = self._directory.registrations()
        self.addresses = frozenset(item.address for item in registrations)
        if self._configuration is None or self._traffic is None:
            return
        current = self._configuration.current
        pools = self._directory.pools(current.content.pools)
        content = dataclasses.replace(current.content, pools=pools)
        joined = dataclasses.replace(current, content=content)
        self._traffic.mailbox.send(traffic_messages.ConfigurationChanged(joined))
        registered = frozenset(item.upstream for item in registrations)
        self.limits.set_registered(registered)
        self._brittleness.retain(registered)
        if self._origins:
            stream_pools = _stream_pools(current.content)
            versions = _versions_in(stream_pools, registrations)
            self._origins.set_versions(versions, _versions_in(stream_pools, self._passed))
        self._passed.clear()

    async def _expire_entries(self) -> None:
        while True:
            self._expiry_changed = trio.Event()
            expiry = self._directory.next_expiry()
            wait_s = max(0.0, expiry - self._clock()) if expiry is not None else float("inf")
            with trio.move_on_after(wait_s):
                await self._expiry_changed.wait()
            if self._directory.expire(self._clock()):
                _log.info("lapsed_upstreams_dropped")
                self._publish()


def _stream_pools(content: configuration.Configuration) -> set[ids.PoolId]:
    """Returns the pools that serve streams."""
    return {
        share.pool
        for route in content.routes.values()
        if route.kind is configuration.RouteKind.STREAM
        for share in route.pools
    }


def _versions_in(
    pools: set[ids.PoolId], registrations: list[directory_entries.Registration]
) -> frozenset[str]:
    """Returns the software versions of the registrations in some pools."""
    return frozenset(item.software for item in registrations if item.pool in pools)


def _difference_fields(difference: directory.RestoredListing) -> dict[str, object]:
    return {
        "retained": sorted(difference.retained),
        "leaving": sorted(difference.leaving),
        "replaced": sorted(difference.replaced),
        "doubted": sorted(difference.doubted),
    }


def _log_fields(entry: directory_entries.Registration) -> dict[str, object]:
    return {
        "upstream": entry.upstream,
        "pool": entry.pool,
        "address": entry.address,
        "incarnation": entry.incarnation,
        "leaving": entry.leaving,
        "weights": entry.weights,
        "software": entry.software,
    }


def _watch_options(drain_s: float) -> watching.WatchOptions:
    """Returns how often the store is asked if a withdrawal has to be known within a time."""
    return watching.WatchOptions(
        WATCH_TIMEOUT_S,
        drain_s * BATCH_PAUSE_SHARE,
        reader_wait_s=drain_s * READER_WAIT_SHARE,
    )
