"""Record in the store of the software versions at which streams may have begun.

Load pattern: all routers end at once and come back while one software version serves and many
callers take their streams up. No router that is left has seen what served before; the store has.
"""

import collections.abc
import dataclasses

from cicadapier._internal.decisions import stream_origins
from cicadapier._internal.models import ids

MAX_RANK = 8
# Names no stream, but gives the routers an order.
_RECORD = stream_origins.StreamId("", ids.RequestId("version-record"))


@dataclasses.dataclass(frozen=True, slots=True)
class VersionRecord:
    """Content of the record.

    A version is added as soon as a router sees it, and removed by a router that has seen for
    `stream_origins.STREAM_LIFE_S` that it is gone. So all streams that may still be taken up began
    at these versions, unless the store was restored since.

    Attributes:
        versions: The versions.
        epoch: Epoch of the store in which the record was written; None if it names none. A copy of
            an older store may lack versions, and names a former epoch.
    """

    versions: frozenset[str]
    epoch: ids.StoreEpoch | None


def choose_update(
    record: VersionRecord | None,
    seen: stream_origins.SeenVersions,
    epoch: ids.StoreEpoch | None,
) -> VersionRecord | None:
    """Returns what the record should be instead; None if it needs no change.

    Args:
        record: The record in the store; None if there is none.
        seen: What this router has seen.
        epoch: Current epoch of the store.
    """
    if record is None or record.epoch != epoch:
        # Only a router that has seen all versions may say that there were no others.
        return VersionRecord(seen.versions, epoch) if seen.covers_all_streams else None
    versions = seen.versions if seen.covers_all_streams else record.versions | seen.versions
    return VersionRecord(versions, epoch) if versions != record.versions else None


def rank(vm: ids.VmId, routers: collections.abc.Iterable[ids.VmId]) -> int:
    """Returns how many routers write the record before a router does."""
    order = stream_origins.first_by_hash(_RECORD, routers, MAX_RANK)
    return order.index(vm) if vm in order else MAX_RANK
