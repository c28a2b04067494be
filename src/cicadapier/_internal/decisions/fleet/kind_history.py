"""What a reader of the store reports of one kind of objects.

Load pattern: objects change in bursts, and datagrams to some of many listeners are lost, so the
latest changes are repeated for a while, within a bound.
"""

import collections
import collections.abc

from cicadapier._internal.decisions.fleet import report_parts
from cicadapier._internal.decisions.fleet import shared_reads
from cicadapier._internal.models import ids
from cicadapier._internal.models import store_versions

MAX_BATCH_AGE_S = 4.0  # Changes are repeated for this long, as reports may be lost.
MAX_REPORTED_BYTES = 5_000
MAX_REPEATED_BYTES = 1_200  # A report goes to many listeners, over a narrow link.
MAX_REVISION = 2**64 - 1  # Messages bear no larger one.


def is_reportable(revision: int) -> bool:
    """Returns whether messages can bear a revision or an epoch."""
    return 0 <= revision <= MAX_REVISION


class KindHistory:
    """The latest changes of one kind that a reader has read, and when it queried the store.

    Attributes:
        queried_at: Time at which the last answered query was sent.
    """

    def __init__(self, version: store_versions.StoreVersion, queried_at: float) -> None:
        """Creates it after a listing, whose changes no report contains."""
        self.queried_at = queried_at
        self._epoch = version.epoch
        self._complete_from = self._revision = int(version.revision)
        self._batches: collections.deque[report_parts.TimedBatch] = collections.deque()

    def add(
        self,
        since: store_versions.StoreVersion,
        version: store_versions.StoreVersion,
        changes: collections.abc.Sequence[shared_reads.ReportedChange] | None,
        queried_at: float,
    ) -> None:
        """Adds an answer.

        Args:
            since: Version after which it begins.
            version: Version up to which it reaches.
            changes: Its changes; None if they cannot be passed on.
            queried_at: Time at which the query was sent.
        """
        if (since.epoch, int(since.revision)) != (self._epoch, self._revision):
            # The reader has learned of changes in another way, which are not in the batches.
            self._epoch = since.epoch
            self._batches.clear()
            self._complete_from = self._revision = int(since.revision)
        before_at, self.queried_at = self.queried_at, queried_at
        self._revision = int(version.revision)
        if changes is None:
            self._batches.clear()
            self._complete_from = self._revision
        elif changes:
            batch = shared_reads.Batch(int(since.revision), self._revision, tuple(changes))
            self._batches.append(report_parts.TimedBatch(batch, queried_at, before_at))
        self._drop_old(queried_at)

    def reports(
        self,
        sender: ids.VmId,
        kind: str,
        listeners: collections.abc.Sequence[report_parts.Listener],
    ) -> collections.abc.Iterator[shared_reads.ReadReport]:
        """Returns the reports on this kind for some listeners, each for one datagram."""
        if not all(map(is_reportable, (self._revision, self._complete_from, self._epoch or 0))):
            return
        whole = shared_reads.ReadReport(
            sender, kind, self._epoch, self._complete_from, self._revision, (), ()
        )
        yield from report_parts.divide(whole, self._batches, self.queried_at, listeners)

    def _drop_old(self, now: float) -> None:
        while self._batches:
            oldest = self._batches[0]
            total = sum(report_parts.batch_bytes(item.batch) for item in self._batches)
            max_bytes = MAX_REPORTED_BYTES if len(self._batches) == 1 else MAX_REPEATED_BYTES
            if total <= max_bytes and now - oldest.queried_at <= MAX_BATCH_AGE_S:
                return
            self._batches.popleft()
            self._complete_from = oldest.batch.until
