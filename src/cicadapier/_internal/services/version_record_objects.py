"""Objects in the store that hold the record of software versions."""

import msgspec
import structlog

from cicadapier._internal.decisions import version_record
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import store_format

NAME = "software-versions"

_log = structlog.get_logger()


class RecordObject(msgspec.Struct, frozen=True):
    """The record as it stands in the store.

    Attributes:
        software_versions: The versions.
        epoch: Epoch of the store in which it was written, from 0 on; None if it names none.
    """

    software_versions: list[str]
    epoch: int | None


def encode(record: version_record.VersionRecord) -> object:
    """Returns the content of the object that holds a record."""
    return msgspec.to_builtins(RecordObject(sorted(record.versions), record.epoch))


def decode_sound(item: store_format.StoredObject) -> version_record.VersionRecord | None:
    """Returns the record that an object holds.

    Returns:
        The record; None if it cannot be read, or was written before the store was restored from a
        copy, which may lack what was added since.
    """
    try:
        found = msgspec.convert(item.spec, RecordObject)
    except msgspec.ValidationError as exc:
        _log.info("version_record_unreadable", reason=str(exc))
        return None
    epoch = None if found.epoch is None else ids.StoreEpoch(found.epoch)
    if epoch != item.version.epoch:
        return None
    return version_record.VersionRecord(frozenset(found.software_versions), epoch)
