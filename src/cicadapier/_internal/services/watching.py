"""Watching the objects of one kind in the platform's store."""

import abc
import collections.abc
import dataclasses
import math
import random

import structlog
import trio

from cicadapier._internal.decisions.fleet import shared_reads
from cicadapier._internal.models import store_versions
from cicadapier._internal.protocols import store_format
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import platform_service
from cicadapier._internal.services import store_epochs
from cicadapier._internal.services.fleet import reported_changes

MIN_RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 0.8
# Time after an outage of the store in which a watch makes no batch pauses. Objects that expired
# during the outage come back within two seconds of its end.
RECOVERY_S = 2.5
# Tries of a query that confirms what is known, while the watch receives other answers.
MAX_CONFIRM_TRIES = 3
# Time by which the report of a reader may come later than its query ends.
REPORT_MARGIN_S = 0.4
FOLLOW_SLICE_S = 0.25  # Trio's clock may stand still while the machine is suspended.

_log = structlog.get_logger()

Clock = collections.abc.Callable[[], float]


@dataclasses.dataclass(frozen=True, slots=True)
class WatchOptions:
    """How often a watch queries the store.

    Attributes:
        wait_s: Longest time that a query waits for a change.
        batch_pause_s: Pause after an answer with changes, so that the next changes arrive in one
            answer. It delays a change by this time at most.
        allow_stale: Whether answers may be seconds old if this is cheaper for the store. The first
            answer after an outage or after a loss of the history is always current.
        list_within_s: Longest random pause before the objects are listed in a new epoch of the
            store, in which all routers list them.
        reader_wait_s: As `wait_s`, on a router that reads for others; 0 if each router has to read
            for itself.
    """

    wait_s: float
    batch_pause_s: float = 0.0
    allow_stale: bool = False
    list_within_s: float = 0.2
    reader_wait_s: float = 0.0


class WatchHandler(abc.ABC):
    """Receives the objects of one kind and their changes."""

    @abc.abstractmethod
    def handle_listing(self, objects: tuple[store_format.StoredObject, ...]) -> None:
        """Handles the list of all objects of the kind."""

    @abc.abstractmethod
    def handle_change(self, change: store_format.Change) -> None:
        """Handles a change of one object."""

    def begin_epoch(self, change: store_versions.EpochChange) -> None:
        """Called as the store begins a new epoch, before the objects are listed again.

        The store has been restored from an older copy: it may lack what this handler has learned,
        and hold what has been removed since.
        """
        return

    def finish_update(self) -> None:
        """Called after the whole content of an answer has been handled."""
        return

    def record_answer(self, queried_at: float) -> None:
        """Records that a query was answered; called before its content is handled.

        Args:
            queried_at: Time just before the query was sent, on the clock of the watch.
        """
        return

    def record_failure(self) -> None:
        """Records that a query was not answered."""
        return

    def record_unreadable(self) -> None:
        """Records that a query was answered by what cannot be read; called after the failure."""
        return


class Watch(store_epochs.EpochListener):
    """Lists the objects of a kind once in each epoch of the store and watches their changes.

    While a router that reads for others reports what it reads, the store is not queried.

    Attributes:
        kind: The kind of the objects.
        reachable: Whether the last query was answered.
    """

    def __init__(
        self,
        platform: platform_service.PlatformService,
        kind: str,
        options: WatchOptions,
        handler: WatchHandler,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.kind = kind
        self.reachable = False
        self._platform = platform
        self._watch_options = options
        self._handler = handler
        self._clock = clock
        self._rng = rng
        # Version after which the next changes are asked for; None if a listing is due.
        self._version: store_versions.StoreVersion | None = None
        self._last_version: store_versions.StoreVersion | None = None
        self._has_epoch_begun = False
        self._query_scope = trio.CancelScope()
        self._failures = 0
        self._recovered_at = -math.inf
        self._needs_fresh_answer = False
        self._known_at = -math.inf
        self._last_change = 0  # Revision of the last change of this kind that is known.
        self._heard_until = -math.inf  # Until then, the reports of a reader replace own queries.
        self._follow_ended = trio.Event()
        self._has_followed = False
        self._is_behind = False  # Whether a reader has read changes that its report lacks.
        self._exchange = platform.exchange if options.reader_wait_s > 0 else None
        platform.epochs.add_listener(self)
        if self._exchange:
            self._exchange.add_watch(self)

    def handle_epoch(self, change: store_versions.EpochChange) -> None:
        """See `store_epochs.EpochListener.handle_epoch`."""
        last = self._last_version
        if last is None or last.epoch == change.epoch:
            return
        _log.info(
            "watch_epoch_begun",
            kind=self.kind,
            epoch=change.epoch,
            before=last.epoch,
            version=last.revision,
        )
        self._version = None
        self._needs_fresh_answer = True
        self._has_epoch_begun = True
        self._handler.begin_epoch(change)
        self._query_scope.cancel()

    async def run(self) -> None:
        """Runs until it is cancelled."""
        while True:
            if self._has_epoch_begun:
                self._has_epoch_begun = False
                await trio.sleep(self._rng.uniform(0.0, self._watch_options.list_within_s))
            with trio.CancelScope() as self._query_scope:
                if not await self._follow_reader():
                    await self._query()

    async def _follow_reader(self) -> bool:
        """Waits while a reader's reports hold; returns False if this router has to query itself."""
        if self._exchange is None or self._exchange.is_reader or self._version is None:
            return False
        remaining_s = self._heard_until - self._clock()
        if remaining_s <= 0:
            return False
        self._has_followed = True
        with trio.move_on_after(min(remaining_s, FOLLOW_SLICE_S)):
            await self._follow_ended.wait()
        return True

    def hear(self, report: shared_reads.ReadReport, proved_at: float) -> shared_reads.Verdict:
        """Applies what a reader reports, if it holds.

        Args:
            report: The report.
            proved_at: Time before which the reader did not send its query, on the watch's clock.
        """
        version = self._version
        if version is None:
            return shared_reads.Verdict.OLDER
        known = shared_reads.Known(version, self._last_change, self._known_at)
        verdict = shared_reads.judge(report, known, proved_at)
        if verdict is shared_reads.Verdict.WRONG and self._watch_options.allow_stale:
            verdict = shared_reads.Verdict.OLDER
        until = proved_at + self._follow_s
        if verdict is shared_reads.Verdict.NEWS and until <= self._clock():
            verdict = shared_reads.Verdict.LATE
        if verdict is shared_reads.Verdict.NEWS:
            self._apply(reported_changes.read(report, version), proved_at)
            self._heard_until = max(self._heard_until, until)
        elif verdict in (shared_reads.Verdict.GAP, shared_reads.Verdict.WRONG):
            self._is_behind = verdict is shared_reads.Verdict.GAP
            self.stop_following()
        return verdict

    @property
    def _follow_s(self) -> float:
        """Time for which this router waits for a report after the query of the last proof."""
        # As old as a wait as it arrives, and the next one comes after a pause and another wait.
        options = self._watch_options
        return 2 * options.reader_wait_s + options.batch_pause_s + REPORT_MARGIN_S

    def set_options(self, options: WatchOptions) -> None:
        """Replaces the options, from the next query on."""
        self._watch_options = options

    def stop_following(self) -> None:
        """Queries the store again."""
        self._heard_until = -math.inf
        self._follow_ended.set()
        self._follow_ended = trio.Event()

    async def _query(self) -> None:
        queried_at = self._clock()
        try:
            changed = await self._poll_once(queried_at)
            self._record_reachability(True, "")
            if changed and self._clock() - self._recovered_at >= RECOVERY_S:
                await trio.sleep(self._watch_options.batch_pause_s)
        except exceptions.HistoryGoneError:
            _log.info("watch_history_gone", kind=self.kind, version=self._revision)
            self._version = None
            self._needs_fresh_answer = True
        except exceptions.EpochEndedError:
            self._version = None
        except (
            exceptions.PlatformUnavailableError,
            exceptions.PlatformRefusedError,
        ) as exc:
            self._handler.record_failure()
            self._needs_fresh_answer = True
            self._record_reachability(False, str(exc))
            if isinstance(exc, exceptions.UnreadableAnswerError):
                # The history would show the same bytes again, also once they are replaced.
                self._version = None
                self._handler.record_unreadable()
            await self._back_off()

    async def _poll_once(self, queried_at: float) -> bool:
        """Sends one query; returns whether it was a watch that returned changes."""
        if self._version is None:
            listing = await self._platform.list_all(self.kind)
            self._set_version(listing.version)
            if self._exchange:  # It needs a store whose revisions are numbers.
                revisions = [int(item.version.revision) for item in listing.objects]
                self._last_change = max(revisions, default=0)
            self._handler.record_answer(queried_at)
            self._handler.handle_listing(listing.objects)
            self._handler.finish_update()
            if self._exchange:
                self._exchange.record_listing(self.kind, listing.version, queried_at)
            return False
        options = self._watch_options
        # After a failure, the first query does not wait, so that the store confirms the known state
        # immediately.
        wait_s = options.wait_s
        if self._exchange and (self._has_followed or self._exchange.is_reader):
            wait_s = min(wait_s, options.reader_wait_s)
        self._has_followed = False
        wait_s = 0.0 if self._failures else wait_s
        allow_stale = options.allow_stale and not self._needs_fresh_answer
        version = self._version
        changes = await self._platform.watch(self.kind, version, wait_s, allow_stale)
        if self._version != version:
            return False  # `confirm` has applied a newer answer meanwhile.
        self._needs_fresh_answer = False
        self._apply(changes, queried_at)
        self._share(version, changes, queried_at)
        if self._is_behind:
            self._is_behind = False
            self._heard_until = queried_at + self._follow_s
        return bool(changes.changes)

    async def confirm(self) -> bool:
        """Asks the store for all changes up to now, beside the query that waits for one.

        Returns:
            Whether all changes that the store had made when this was called have been applied.
        """
        for _ in range(MAX_CONFIRM_TRIES):
            version = self._version
            if version is None:
                return False
            queried_at = self._clock()
            try:
                changes = await self._platform.watch(self.kind, version, 0.0)
            except exceptions.ServiceError:
                return False  # The query that waits learns the same.
            if self._version == version:
                self._apply(changes, queried_at)
                self._share(version, changes, queried_at)
                return True
        return False

    def _share(
        self, since: store_versions.StoreVersion, changes: store_format.Changes, queried_at: float
    ) -> None:
        """Lets the routers that this one reads for know of an answer."""
        if self._exchange:
            self._exchange.record_changes(self.kind, since, changes, queried_at)

    def _apply(self, changes: store_format.Changes, queried_at: float) -> None:
        former = self._version
        self._set_version(changes.version)
        self._handler.record_answer(queried_at)
        for change in changes.changes:
            if self._exchange:
                revision = int(change.object.version.revision)
                if change.deleted and former:
                    # It may bear the revision of the change before; it was deleted after `former`.
                    revision = max(revision, int(former.revision) + 1)
                self._last_change = max(self._last_change, revision)
            self._handler.handle_change(change)
        self._handler.finish_update()

    @property
    def _revision(self) -> str | None:
        """Revision of the position, for the log."""
        return self._version.revision if self._version else None

    def _set_version(self, version: store_versions.StoreVersion) -> None:
        self._version = self._last_version = version
        self._known_at = self._clock()

    def _record_reachability(self, reachable: bool, reason: str) -> None:
        if reachable and self._failures:
            self._recovered_at = self._clock()
        self._failures = 0 if reachable else self._failures + 1
        if reachable != self.reachable:
            event = "store_regained" if reachable else "store_lost"
            _log.info(event, kind=self.kind, version=self._revision, reason=reason)
        self.reachable = reachable

    async def _back_off(self) -> None:
        max_pause_s = min(MAX_RETRY_PAUSE_S, MIN_RETRY_PAUSE_S * 2.0 ** min(self._failures, 8))
        await trio.sleep(max_pause_s * self._rng.uniform(0.5, 1.0))
