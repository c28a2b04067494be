"""Following one kind of object in the platform's store."""

import abc
import collections.abc
import random

import structlog
import trio

from cicadapier._internal.protocols import store_format
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import platform_service

MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 0.8

_log = structlog.get_logger()

Clock = collections.abc.Callable[[], float]


class Follower(abc.ABC):
    """Takes what is learnt of one kind."""

    @abc.abstractmethod
    def listed(self, objects: tuple[store_format.StoredObject, ...]) -> None:
        """Takes over all objects of the kind."""

    @abc.abstractmethod
    def changed(self, change: store_format.Change) -> None:
        """Takes over a change."""

    def answered(self, asked_at: float) -> None:
        """Records an answer, before what it says is taken over.

        Args:
            asked_at: Time just before the question, on the clock that is given to `follow`.
        """
        return

    def unanswered(self) -> None:
        """Records that a question was not answered."""
        return


class Watch:
    """Lists a kind once and then follows its changes.

    Attributes:
        kind: The kind.
        reachable: Whether the last question was answered.
    """

    def __init__(
        self,
        platform: platform_service.PlatformService,
        kind: str,
        wait_s: float,
        follower: Follower,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.kind = kind
        self.reachable = False
        self._platform = platform
        self._wait_s = wait_s
        self._follower = follower
        self._clock = clock
        self._rng = rng
        self._version: str | None = None
        self._failures = 0

    async def run(self) -> None:
        """Follows until it is cancelled."""
        while True:
            asked_at = self._clock()
            try:
                await self._ask(asked_at)
                self._note(True, "")
            except exceptions.HistoryGoneError:
                _log.info("watch_history_gone", kind=self.kind, version=self._version)
                self._version = None
            except (
                exceptions.PlatformUnavailableError,
                exceptions.PlatformRefusedError,
            ) as exc:
                self._follower.unanswered()
                self._note(False, str(exc))
                await self._pause()

    async def _ask(self, asked_at: float) -> None:
        if self._version is None:
            listing = await self._platform.list_all(self.kind)
            self._version = listing.version
            self._follower.answered(asked_at)
            self._follower.listed(listing.objects)
            return
        changes = await self._platform.watch(self.kind, self._version, self._wait_s)
        self._version = changes.version
        self._follower.answered(asked_at)
        for change in changes.changes:
            self._follower.changed(change)

    def _note(self, reachable: bool, reason: str) -> None:
        self._failures = 0 if reachable else self._failures + 1
        if reachable != self.reachable:
            event = "store_regained" if reachable else "store_lost"
            _log.info(event, kind=self.kind, version=self._version, reason=reason)
        self.reachable = reachable

    async def _pause(self) -> None:
        longest_s = min(MAX_PAUSE_S, MIN_PAUSE_S * 2.0 ** min(self._failures, 8))
        await trio.sleep(longest_s * self._rng.uniform(0.5, 1.0))
