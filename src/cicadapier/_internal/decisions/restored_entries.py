"""What a router knew of upstreams before the directory was restored from an older copy.

The copy may show an upstream that has left, an earlier process of an upstream that has restarted,
or weights that have been replaced since. Load pattern: requests that would be placed on upstreams
that are gone, or about to go, in the seconds after a restore.
"""

import dataclasses

from cicadapier._internal.decisions import weights_versions
from cicadapier._internal.models import directory_entries
from cicadapier._internal.models import ids

MAX_PAST = 256  # Incarnations; beyond this number, the oldest are forgotten.
# An upstream that was removed is used again if its entry in the copy is still there after this
# time, in which the store removes the entries of upstreams that no longer report.
REMOVED_DOUBT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Process:
    """One process of an upstream."""

    upstream: ids.UpstreamId
    incarnation: ids.Incarnation


class PastProcesses:
    """Processes of upstreams that were leaving, replaced or removed by the latest entries."""

    def __init__(self) -> None:
        self._leaving: dict[_Process, None] = {}
        self._replaced: dict[_Process, None] = {}
        self._removed: dict[_Process, None] = {}

    def record_entry(
        self,
        entry: directory_entries.Registration,
        before: directory_entries.Registration | None,
    ) -> None:
        """Records a new entry of an upstream.

        Args:
            entry: The entry.
            before: The entry that it replaces, if any.
        """
        process = _process_of(entry)
        self._removed.pop(process, None)
        if entry.leaving:
            _add(self._leaving, process)
        if before is not None and before.incarnation != entry.incarnation:
            _add(self._replaced, _process_of(before))

    def record_removal(self, entry: directory_entries.Registration) -> None:
        """Records that the entry of an upstream has been removed."""
        _add(self._removed, _process_of(entry))

    def is_replaced(self, entry: directory_entries.Registration) -> bool:
        """Returns whether another process has replaced this one of the upstream."""
        return _process_of(entry) in self._replaced

    def is_leaving(self, entry: directory_entries.Registration) -> bool:
        """Returns whether this process has said that it is leaving."""
        return _process_of(entry) in self._leaving

    def is_removed(self, entry: directory_entries.Registration) -> bool:
        """Returns whether the entry of this process has been removed and has not come back."""
        return _process_of(entry) in self._removed


def merge_weights(
    listed: directory_entries.Registration, known: directory_entries.Registration | None
) -> directory_entries.Registration:
    """Returns an entry of a copy with the newest weights that are known of the same process."""
    if known is None or known.incarnation != listed.incarnation:
        return listed
    weights = {
        model: _newer(version, known.weights.get(model))
        for model, version in listed.weights.items()
    }
    return dataclasses.replace(listed, weights=weights)


def _newer(version: str, known: str | None) -> str:
    number = weights_versions.number_of(version)
    known_number = weights_versions.number_of(known)
    if known is None or number is None or known_number is None:
        return version
    return version if number >= known_number else known


def _process_of(entry: directory_entries.Registration) -> _Process:
    return _Process(entry.upstream, entry.incarnation)


def _add(processes: dict[_Process, None], process: _Process) -> None:
    processes.pop(process, None)
    processes[process] = None
    while len(processes) > MAX_PAST:
        del processes[next(iter(processes))]
