"""Watching the objects of one kind in the platform's store."""

import abc
import collections.abc
import dataclasses
import math
import random

import structlog
import trio

from cicadapier._internal.models import store_versions
from cicadapier._internal.protocols import store_format
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import platform_service
from cicadapier._internal.services import store_epochs

MIN_RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 0.8
# Time after an outage of the store in which a watch makes no batch pauses. Objects that expired
# during the outage come back within two seconds of its end.
RECOVERY_S = 2.5
# Tries of a query that confirms what is known, while the watch receives other answers.
MAX_CONFIRM_TRIES = 3

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
    """

    wait_s: float
    batch_pause_s: float = 0.0
    allow_stale: bool = False
    list_within_s: float = 0.2


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
        platform.epochs.add_listener(self)

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
                await self._query()

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
            self._handler.record_answer(queried_at)
            self._handler.handle_listing(listing.objects)
            self._handler.finish_update()
            return False
        options = self._watch_options
        # After a failure, the first query does not wait, so that the store confirms the known state
        # immediately.
        wait_s = 0.0 if self._failures else options.wait_s
        allow_stale = options.allow_stale and not self._needs_fresh_answer
        version = self._version
        changes = await self._platform.watch(self.kind, version, wait_s, allow_stale)
        if self._version != version:
            return False  # `confirm` has applied a newer answer meanwhile.
        self._needs_fresh_answer = False
        self._apply(changes, queried_at)
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
                return True
        return False

    def _apply(self, changes: store_format.Changes, queried_at: float) -> None:
        self._set_version(changes.version)
        self._handler.record_answer(queried_at)
        for change in changes.changes:
            self._handler.handle_change(change)
        self._handler.finish_update()

    @property
    def _revision(self) -> str | None:
        """Revision of the position, for the log."""
        return self._version.revision if self._version else None

    def _set_version(self, version: store_versions.StoreVersion) -> None:
        self._version = self._last_version = version

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
