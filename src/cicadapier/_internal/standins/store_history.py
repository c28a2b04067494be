"""History of a stand-in store, from which it can be restored to an earlier state."""

import dataclasses

from cicadapier._internal.protocols import store_format


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedChange:
    """A change of an object.

    Attributes:
        revision: Revision of the store after the change.
        kind: Kind of the object.
        change: The change.
        at: Time of the change.
        by_router: Whether a router made the change.
    """

    revision: int
    kind: str
    change: store_format.Change
    at: float
    by_router: bool = False


class StoreHistory:
    """All changes since the start of the store."""

    def __init__(self) -> None:
        self._changes: list[RecordedChange] = []

    def record(self, recorded: RecordedChange) -> None:
        """Adds the latest change."""
        self._changes.append(recorded)

    def objects_at(self, time: float) -> dict[tuple[str, str], store_format.StoredObject]:
        """Returns the objects that existed at a time, by kind and name."""
        objects: dict[tuple[str, str], store_format.StoredObject] = {}
        for recorded in self._changes_until(time):
            item = recorded.change.object
            if recorded.change.deleted:
                objects.pop((recorded.kind, item.name), None)
            else:
                objects[recorded.kind, item.name] = item
        return objects

    def revision_at(self, time: float) -> int:
        """Returns the revision of the store at a time."""
        return max((recorded.revision for recorded in self._changes_until(time)), default=1)

    def changes_since(self, time: float) -> list[RecordedChange]:
        """Returns the changes after a time, oldest first."""
        return [recorded for recorded in self._changes if recorded.at > time]

    def forget_since(self, time: float) -> None:
        """Removes the changes after a time."""
        self._changes = self._changes_until(time)

    def _changes_until(self, time: float) -> list[RecordedChange]:
        return [recorded for recorded in self._changes if recorded.at <= time]
