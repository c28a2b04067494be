"""The epoch of the store, learned from its answers and told to all that hold its content."""

import abc

import structlog

from cicadapier._internal.models import ids
from cicadapier._internal.models import store_versions
from cicadapier._internal.services import exceptions

_log = structlog.get_logger()


class EpochListener(abc.ABC):
    """Holds content of the store that a new epoch may invalidate."""

    @abc.abstractmethod
    def handle_epoch(self, change: store_versions.EpochChange) -> None:
        """Handles a new epoch; called before any answer of that epoch is used."""


class StoreEpochs:
    """Follows the epoch that the answers of the store name.

    Attributes:
        current: Latest epoch that the store has named; None if it has named none.
    """

    def __init__(self) -> None:
        self.current: ids.StoreEpoch | None = None
        self._listeners: list[EpochListener] = []
        self._has_logged_fallen = False

    def add_listener(self, listener: EpochListener) -> None:
        """Adds a listener for new epochs."""
        self._listeners.append(listener)

    def record(
        self, named: ids.StoreEpoch | None, known: ids.StoreEpoch | None
    ) -> ids.StoreEpoch | None:
        """Records the epoch that an answer names and tells the listeners of a new one.

        Args:
            named: The epoch; None if the answer names none.
            known: The current epoch when the call was sent.

        Returns:
            The epoch in which the answer was given.

        Raises:
            PlatformUnavailableError: The store has begun another epoch since it answered.
        """
        if named is not None and (self.current is None or named > self.current):
            self._begin(named)
        elif self.current not in (named, known):
            raise exceptions.PlatformUnavailableError(f"the answer is from a former epoch: {named}")
        elif named is not None and named != self.current and not self._has_logged_fallen:
            _log.info("store_epoch_fallen", epoch=named, known=self.current)
            self._has_logged_fallen = True
        return self.current

    def _begin(self, epoch: ids.StoreEpoch) -> None:
        change = store_versions.EpochChange(epoch, self.current)
        _log.info("store_epoch_changed", epoch=epoch, before=change.former)
        self.current = epoch
        for listener in self._listeners:
            listener.handle_epoch(change)
