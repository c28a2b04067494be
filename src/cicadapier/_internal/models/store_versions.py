"""Versions of a store that may be restored from an older copy."""

import dataclasses

from cicadapier._internal.models import ids


@dataclasses.dataclass(frozen=True, slots=True)
class StoreVersion:
    """Version of an object, or of the whole store, in one epoch of the store.

    A store that is restored from an older copy begins a new epoch, loses its latest changes and
    gives out their revisions again, so a revision alone does not name one content.

    Attributes:
        epoch: Epoch in which the revision was given; None if the store names no epochs.
        revision: Revision as the store writes it.
    """

    epoch: ids.StoreEpoch | None
    revision: str

    def precedes(self, other: "StoreVersion") -> bool:
        """Returns whether this version is older than another one.

        All versions of an epoch are older than those of the next one.
        """
        if self.epoch != other.epoch:
            return self.epoch is None or (other.epoch is not None and self.epoch < other.epoch)
        return int(self.revision) < int(other.revision)


@dataclasses.dataclass(frozen=True, slots=True)
class EpochChange:
    """The store has begun a new epoch.

    Attributes:
        epoch: The new epoch.
        former: The epoch before; None if the store had named none.
    """

    epoch: ids.StoreEpoch
    former: ids.StoreEpoch | None
