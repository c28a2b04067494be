"""What a router that reads the store for others reports, and how far the others believe it.

In a large fleet, nearly all reads of the store are waits that end without a change, one of each
router. A reader therefore reports what its own waits return. What it says is worth as much as an
own answer only if its age is known. Clocks of two routers are not comparable and datagrams may be
late, so the age is counted from a request: the listener numbers its requests at random and notes
when it sent each one; the reader notes when it received it, and says how much later it queried the
store. Transit then only ever makes a report seem older than it is. Both clocks have to go on while
a VM is suspended.
"""

import collections
import collections.abc
import dataclasses
import enum
import math

from cicadapier._internal.models import ids
from cicadapier._internal.models import store_versions

MAX_REMEMBERED_REQUESTS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequest:
    """Asks a router to report what it reads.

    Attributes:
        sender: The router that asks.
        reply_to: Its peer address.
        number: Random number that it uses once.
    """

    sender: ids.VmId
    reply_to: ids.Address
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Echo:
    """When a reader queried the store, counted from the receipt of a listener's request.

    Attributes:
        listener: The router that sent the request.
        number: Number of the request.
        queried_after_s: Time from its receipt until the query was sent; negative if it was before.
    """

    listener: ids.VmId
    number: int
    queried_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedChange:
    """A change of one object.

    Attributes:
        name: Name of the object.
        revision: Revision of its last change.
        deleted: Whether it was deleted.
        spec: Its content as JSON.
    """

    name: str
    revision: int
    deleted: bool
    spec: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """All changes of one kind in a range of revisions, in their order.

    Attributes:
        since: Revision before the range.
        until: Last revision of the range.
        changes: The changes.
    """

    since: int
    until: int
    changes: tuple[ReportedChange, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadReport:
    """What a reader knows of one kind of objects.

    Attributes:
        sender: The reader.
        kind: The kind.
        epoch: Epoch of the store; None if it names none.
        complete_from: Revision after which all changes up to `revision` are in the batches.
        revision: Revision that the last answer showed.
        batches: The latest changes.
        echoes: One for each request that the report answers.
    """

    sender: ids.VmId
    kind: str
    epoch: ids.StoreEpoch | None
    complete_from: int
    revision: int
    batches: tuple[Batch, ...]
    echoes: tuple[Echo, ...]


class Verdict(enum.Enum):
    """What a listener makes of a report."""

    NEWS = "news"  # It holds, and lacks nothing.
    GAP = "gap"  # The listener misses changes that it does not contain.
    OLDER = "older"  # It was read before what the listener knows.
    LATE = "late"  # It holds, but is too old to replace an own query.
    WRONG = "wrong"  # It contradicts what the listener knows.


@dataclasses.dataclass(frozen=True, slots=True)
class Known:
    """What a listener knows of one kind.

    Attributes:
        version: Version up to which it knows all changes.
        last_change: Revision of the last change that it knows of, or one before.
        at: Time at which it learned of the version.
    """

    version: store_versions.StoreVersion
    last_change: int
    at: float


def judge(report: ReadReport, known: Known, proved_at: float) -> Verdict:
    """Returns what a listener makes of a report.

    Args:
        report: The report.
        known: What the listener knows.
        proved_at: Time before which the reader did not send its query.
    """
    # The store's answers show all that it has acknowledged before they were asked for.
    has_to_know = proved_at >= known.at
    if report.epoch != known.version.epoch:
        epoch = known.version.epoch
        is_former = epoch is not None and (report.epoch or 0) < epoch
        return Verdict.WRONG if is_former and has_to_know else Verdict.GAP
    position = int(known.version.revision)
    if report.revision < position:
        if not has_to_know:
            return Verdict.OLDER
        # Changes of other kinds may lie between the two revisions.
        return Verdict.WRONG if report.revision < known.last_change else Verdict.NEWS
    straddles = any(batch.since < position < batch.until for batch in report.batches)
    if position < report.complete_from or straddles:
        return Verdict.GAP
    return Verdict.NEWS


def missing_changes(report: ReadReport, position: int) -> list[ReportedChange]:
    """Returns the changes of a report after a revision that no batch straddles."""
    return [c for batch in report.batches if batch.since >= position for c in batch.changes]


class RequestLog:
    """When a listener sent its latest requests, and to whom."""

    def __init__(self, vm: ids.VmId) -> None:
        """Creates it for the requests of one router."""
        self._vm = vm
        self._sent: collections.OrderedDict[int, tuple[ids.VmId, float]] = collections.OrderedDict()

    def record(self, number: int, reader: ids.VmId, now: float) -> None:
        """Records that a request is about to be sent to a reader."""
        self._sent[number] = (reader, now)
        while len(self._sent) > MAX_REMEMBERED_REQUESTS:
            self._sent.popitem(last=False)

    def proved_at(self, report: ReadReport) -> float | None:
        """Returns a time before which the reader of a report did not query the store.

        Returns:
            The time; None if the report answers no request that was sent to its sender.
        """
        times = [
            self._sent[echo.number][1] + echo.queried_after_s
            for echo in report.echoes
            if echo.listener == self._vm
            and echo.number in self._sent
            and self._sent[echo.number][0] == report.sender
            and math.isfinite(echo.queried_after_s)
        ]
        return max(times, default=None)
