"""Queue of waiting requests by urgency, and fair among accounts within an urgency.

A burst of long prompts fills the queue while short urgent requests keep arriving. Urgent requests
go first, and small ones do not wait behind a large one that does not fit yet. A steady stream of
them could starve the rest, so a request that has been passed over often enough goes first, whatever
its size.
"""

import collections

from cicadapier._internal.decisions import fair_queue
from cicadapier._internal.decisions.scarcity import urgency as urgencies
from cicadapier._internal.models import ids

# A less urgent request is tried first after this many more urgent ones have begun.
TURN_INTERVAL = 8
# After this many, no other request begins until it fits.
HOLD_INTERVAL = 2 * TURN_INTERVAL
# A request may pass a more urgent one that does not fit and is this many times as large: it takes
# room that is of no use to the other.
BACKFILL_RATIO = 4


class UrgencyQueue(fair_queue.RequestQueue):
    """Requests that wait for room in the engines of one pool."""

    def __init__(self) -> None:
        super().__init__()
        self._queues: dict[int, fair_queue.AccountQueue] = {}
        self._passed_over: collections.Counter[int] = collections.Counter()

    def next_fitting(self, fits: fair_queue.FitCheck) -> fair_queue.QueuedRequest | None:
        """See `RequestQueue.next_fitting`."""
        waiting = self._waiting_queues()
        if not waiting:
            return None
        first = min(waiting)
        due = max(waiting, key=lambda urgency: self._passed_over[urgency])
        if due != first and self._passed_over[due] >= TURN_INTERVAL:
            queued = waiting[due].first()
            if fits(queued, True):
                return queued
            if self._passed_over[due] >= HOLD_INTERVAL:
                return None
        queued = waiting[first].first()
        is_due = self._passed_over[first] >= TURN_INTERVAL
        if fits(queued, is_due):
            return queued
        if self._passed_over[first] >= HOLD_INTERVAL:
            return None
        return _find_backfill(queued, waiting, fits)

    def must_wait(self, urgency: urgencies.Urgency) -> bool:
        """Returns whether a new request of an urgency has to wait behind those in the queue."""
        waiting = self._waiting_queues()
        return any(
            other <= urgency or self._passed_over[other] >= TURN_INTERVAL for other in waiting
        )

    def record_begin(self, urgency: urgencies.Urgency) -> None:
        """Records that a request of an urgency began, which passes over those of all others."""
        for other in self._waiting_queues():
            if other != urgency:
                self._passed_over[other] += 1
        self._passed_over[urgency] = 0

    def expected_wait_s(
        self, urgency: urgencies.Urgency, account: ids.AccountId, cost: float, now: float
    ) -> float:
        """Returns how long a new request of a cost would wait at the current rate."""
        queue = self._queues.get(urgency)
        own = queue.ahead_of(account, self._waiting) if queue else 0
        more_urgent = sum(
            1
            for queued in self._waiting.values()
            if queued.urgency < urgency and queued.cost < BACKFILL_RATIO * cost
        )
        passing = TURN_INTERVAL * (own + 1) - self._passed_over[urgency]
        return (own + max(0, min(more_urgent, passing))) * self.interval_s(now)

    def waiting_by_urgency(self) -> collections.Counter[int]:
        """Returns the number of waiting requests of each urgency."""
        return collections.Counter(queued.urgency for queued in self._waiting.values())

    def _queue_of(self, queued: fair_queue.QueuedRequest) -> fair_queue.AccountQueue:
        return self._queues.setdefault(queued.urgency, fair_queue.AccountQueue())

    def _record_taken(self, queued: fair_queue.QueuedRequest) -> None:
        self.record_begin(urgencies.Urgency(queued.urgency))

    def _waiting_queues(self) -> dict[int, fair_queue.AccountQueue]:
        """Returns the queues that are not empty, by urgency."""
        for urgency, queue in self._queues.items():
            self._drop_removed(queue)
            if not queue.heap:
                # A later request of this urgency has not been passed over itself.
                self._passed_over.pop(urgency, None)
        return {urgency: queue for urgency, queue in self._queues.items() if queue.heap}


def _find_backfill(
    blocked: fair_queue.QueuedRequest,
    waiting: dict[int, fair_queue.AccountQueue],
    fits: fair_queue.FitCheck,
) -> fair_queue.QueuedRequest | None:
    """Returns a small request that begins before a large one that does not fit yet."""
    for urgency in sorted(waiting):
        queued = waiting[urgency].first()
        if queued.cost * BACKFILL_RATIO <= blocked.cost and fits(queued, False):
            return queued
    return None
