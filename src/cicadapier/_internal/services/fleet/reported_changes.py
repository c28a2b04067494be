"""Changes of the store as routers report them to one another."""

import msgspec

from cicadapier._internal.decisions.fleet import kind_history
from cicadapier._internal.decisions.fleet import shared_reads
from cicadapier._internal.models import store_versions
from cicadapier._internal.protocols import partial_json
from cicadapier._internal.protocols import store_format


def write(changes: store_format.Changes) -> list[shared_reads.ReportedChange] | None:
    """Returns the changes as they are reported; None if not all of them can be."""
    if changes.unnamed:
        return None
    return _write_all(changes) if all(map(_is_readable, changes.changes)) else None


def _write_all(changes: store_format.Changes) -> list[shared_reads.ReportedChange]:
    return [
        shared_reads.ReportedChange(
            change.object.name,
            int(change.object.version.revision),
            change.deleted,
            msgspec.json.encode(change.object.spec),
        )
        for change in changes.changes
    ]


def _is_readable(change: store_format.Change) -> bool:
    is_reportable = kind_history.is_reportable(int(change.object.version.revision))
    return is_reportable and not isinstance(change.object.spec, partial_json.Unreadable)


def read(
    report: shared_reads.ReadReport, known: store_versions.StoreVersion
) -> store_format.Changes:
    """Returns the changes of a report that a listener does not know.

    Args:
        report: The report, of the epoch that the listener knows.
        known: Version up to which the listener knows all changes.

    Raises:
        DecodeError: The content of an object cannot be read.
    """
    changes = []
    for change in shared_reads.missing_changes(report, int(known.revision)):
        version = store_versions.StoreVersion(report.epoch, str(change.revision))
        spec = msgspec.json.decode(change.spec)
        stored = store_format.StoredObject(change.name, version, spec)
        changes.append(store_format.Change(stored, change.deleted))
    revision = max(report.revision, int(known.revision))
    version = store_versions.StoreVersion(report.epoch, str(revision))
    return store_format.Changes(tuple(changes), version)
