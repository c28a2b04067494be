"""Division of what a reader reports into datagrams that are not fragmented.

Load pattern: many objects change at once, as in a scale-out, and each listener of a large failure
domain is told all changes. A datagram of several IP fragments is lost with any one of them.

A part that ends before the last change shows less than its query did. It therefore names the query
before, whose answer cannot have shown the changes that the part lacks.
"""

import collections.abc
import dataclasses

from cicadapier._internal.decisions.fleet import shared_reads
from cicadapier._internal.models import ids

MAX_REPORT_BYTES = 1_200  # In the smallest packet that every IPv6 network carries.
MAX_BATCHES_BYTES = 800
_CHANGE_BYTES = 32  # Beside its name and its content.
_BATCH_BYTES = 32
_REPORT_BYTES = 48  # Beside its sender and its kind.
_ECHO_BYTES = 28  # Beside the name of the listener.


@dataclasses.dataclass(frozen=True, slots=True)
class Listener:
    """A router that has asked for reports.

    Attributes:
        vm: The router.
        address: Its peer address.
        number: Number of its last request.
        asked_at: Time at which that request arrived.
    """

    vm: ids.VmId
    address: ids.Address
    number: int
    asked_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class TimedBatch:
    """A batch, and the queries between which its changes were made.

    Attributes:
        batch: The batch.
        queried_at: Time at which the query was sent that it answered.
        before_at: Time at which the query before was sent.
    """

    batch: shared_reads.Batch
    queried_at: float
    before_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Part:
    """Batches of one datagram.

    Attributes:
        complete_from: Revision after which all changes up to the end are in the batches.
        batches: The batches.
        queried_at: Time of a query that cannot have shown any later change.
    """

    complete_from: int
    batches: tuple[shared_reads.Batch, ...]
    queried_at: float

    @property
    def size(self) -> int:
        """Upper bound of its encoded size in bytes."""
        return sum(batch_bytes(batch) for batch in self.batches)


def batch_bytes(batch: shared_reads.Batch) -> int:
    """Returns an upper bound of the encoded size of a batch."""
    return _BATCH_BYTES + sum(
        len(change.spec) + len(change.name.encode()) + _CHANGE_BYTES for change in batch.changes
    )


def divide(
    report: shared_reads.ReadReport,
    batches: collections.abc.Iterable[TimedBatch],
    queried_at: float,
    listeners: collections.abc.Sequence[Listener],
) -> collections.abc.Iterator[shared_reads.ReadReport]:
    """Returns the datagrams that tell all listeners what a report contains.

    Args:
        report: The report, without batches and echoes.
        batches: Its batches.
        queried_at: Time at which the last answered query was sent.
        listeners: Routers that are told.
    """
    parts = _make_parts(report, batches, queried_at)
    room = (
        MAX_REPORT_BYTES - _REPORT_BYTES - len(report.sender.encode()) - len(report.kind.encode())
    )
    room -= max(part.size for part in parts)
    for group in _group(listeners, room):
        for part in parts:
            echoes = tuple(
                shared_reads.Echo(item.vm, item.number, part.queried_at - item.asked_at)
                for item in group
            )
            revision = report.revision if part is parts[-1] else part.batches[-1].until
            yield dataclasses.replace(
                report,
                complete_from=part.complete_from,
                revision=revision,
                batches=part.batches,
                echoes=echoes,
            )


def _make_parts(
    report: shared_reads.ReadReport,
    batches: collections.abc.Iterable[TimedBatch],
    queried_at: float,
) -> list[_Part]:
    parts: list[_Part] = []
    current = _Part(report.complete_from, (), queried_at)
    for timed in (piece for item in batches for piece in _pieces(item)):
        size = batch_bytes(timed.batch)
        if size > MAX_BATCHES_BYTES:
            # What no datagram can hold is a gap, so nothing before it is of use.
            parts.clear()
            current = _Part(timed.batch.until, (), timed.queried_at)
        elif current.batches and current.size + size > MAX_BATCHES_BYTES:
            parts.append(current)
            current = _Part(current.batches[-1].until, (timed.batch,), timed.queried_at)
        else:
            current = dataclasses.replace(
                current, batches=(*current.batches, timed.batch), queried_at=timed.queried_at
            )
    return [*parts, dataclasses.replace(current, queried_at=queried_at)]


def _pieces(timed: TimedBatch) -> collections.abc.Iterator[TimedBatch]:
    """Returns the parts of a batch that may stand in different datagrams."""
    batch = timed.batch
    if batch_bytes(batch) <= MAX_BATCHES_BYTES:
        yield timed
        return
    since = batch.since
    changes: list[shared_reads.ReportedChange] = []
    for change in batch.changes[:-1]:
        changes.append(change)
        # A deleted object may bear the revision of the change before, which is no end.
        if not change.deleted and since < change.revision < batch.until:
            piece = shared_reads.Batch(since, change.revision, tuple(changes))
            yield TimedBatch(piece, timed.before_at, timed.before_at)
            since, changes = change.revision, []
    changes.append(batch.changes[-1])
    last = shared_reads.Batch(since, batch.until, tuple(changes))
    yield TimedBatch(last, timed.queried_at, timed.before_at)


def _group(
    listeners: collections.abc.Sequence[Listener], room: int
) -> collections.abc.Iterator[list[Listener]]:
    """Returns the listeners in groups whose echoes fit into a number of bytes."""
    group: list[Listener] = []
    left = room
    for item in listeners:
        size = _ECHO_BYTES + len(item.vm.encode())
        if group and size > left:
            yield group
            group, left = [], room
        group.append(item)
        left -= size
    if group:
        yield group
