"""Weighted fair queues of requests that wait for a free slot.

Each service class uses start-time fair queueing (Goyal, Vin and Cheng, 1996). Interactive requests
go first, but every `BATCH_SLOT_INTERVAL`-th slot goes to a waiting batch request, so that batch
requests are not starved.
"""

import abc
import collections.abc
import dataclasses
import heapq
import math

from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids

BATCH_SLOT_INTERVAL = 8
# A request may begin before a waiting one that does not fit and needs this many times its memory:
# the room that it takes is of no use to the other.
PASSING_RATIO = 4
MAX_PASSES = 8  # Then nothing begins before the waiting request until it leaves.
_RATE_WINDOW_S = 2.0
_RATE_SMOOTHING = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that waits in the queue.

    Attributes:
        request: Id of the request.
        account: Client account.
        service_class: Service class.
        weight: Weight of the account.
        cost: Expected work in tokens.
        deadline: Time at which the request is shed if it is still waiting.
        queued_at: Time at which it was queued.
        urgency: Its urgency, 0 being the most urgent.
    """

    request: ids.RequestId
    account: ids.AccountId
    service_class: configuration.ServiceClass
    weight: float
    cost: float
    deadline: float
    queued_at: float = 0.0
    urgency: int = 0


# Returns whether a request can begin now. The flag states whether it may use the room that is kept
# for more urgent requests.
FitCheck = collections.abc.Callable[[QueuedRequest, bool], bool]


@dataclasses.dataclass(order=True, slots=True)
class _Entry:
    start_tag: float
    number: int
    queued: QueuedRequest = dataclasses.field(compare=False)


class AccountQueue:
    """Requests in the order of start-time fair queueing among accounts."""

    def __init__(self) -> None:
        self.heap: list[_Entry] = []
        self.virtual_time = 0.0
        self.finish_tags: dict[ids.AccountId, float] = {}

    def push(self, queued: QueuedRequest, number: int) -> None:
        """Adds a request; `number` orders requests that are equal otherwise."""
        start = max(self.virtual_time, self.finish_tags.get(queued.account, 0.0))
        self.finish_tags[queued.account] = start + queued.cost / queued.weight
        heapq.heappush(self.heap, _Entry(start, number, queued))

    def ahead_of(
        self, account: ids.AccountId, waiting: collections.abc.Container[ids.RequestId]
    ) -> int:
        """Returns how many waiting requests go before a new one of an account."""
        start = max(self.virtual_time, self.finish_tags.get(account, 0.0))
        return sum(
            1 for entry in self.heap if entry.start_tag <= start and entry.queued.request in waiting
        )

    def first(self) -> QueuedRequest:
        """Returns the next request."""
        return self.heap[0].queued

    def pop(self) -> QueuedRequest:
        """Removes and returns the next request."""
        entry = heapq.heappop(self.heap)
        self.virtual_time = max(self.virtual_time, entry.start_tag)
        if not self.heap:
            # An empty queue resets the fairness state: no account is ahead of another.
            self.finish_tags.clear()
            self.virtual_time = 0.0
        return entry.queued


class RequestQueue(abc.ABC):
    """Requests that wait for a free slot of one pool."""

    def __init__(self) -> None:
        self._removed: set[ids.RequestId] = set()
        self._waiting: dict[ids.RequestId, QueuedRequest] = {}
        self._last_number = 0
        self._interval_s = 0.0
        self._observed_at = -math.inf
        self._last_pop_at = -math.inf

    def __len__(self) -> int:
        return len(self._waiting)

    def push(self, queued: QueuedRequest) -> None:
        """Adds a request."""
        self._last_number += 1
        self._waiting[queued.request] = queued
        self._queue_of(queued).push(queued, self._last_number)

    def remove(self, request: ids.RequestId) -> bool:
        """Removes a request, such as one whose caller left; returns whether it was waiting."""
        if self._waiting.pop(request, None) is None:
            return False
        self._removed.add(request)
        return True

    @abc.abstractmethod
    def next_fitting(self, fits: FitCheck) -> QueuedRequest | None:
        """Returns the request that is to begin now, or None if none is to."""

    def take(self, queued: QueuedRequest, now: float) -> None:
        """Removes a request that `next_fitting` has returned, as it begins."""
        self._record_taken(queued)
        self._queue_of(queued).pop()
        del self._waiting[queued.request]
        self._observe(queued, now)
        self._last_pop_at = now

    def shed(self, now: float) -> list[QueuedRequest]:
        """Removes and returns the requests whose deadline has passed, earliest deadline first."""
        late = [queued for queued in self._waiting.values() if queued.deadline <= now]
        late.sort(key=lambda queued: queued.deadline)
        for queued in late:
            self.remove(queued.request)
            self._observe(queued, now)
        return late

    def next_deadline(self) -> float | None:
        """Returns the earliest deadline of the waiting requests."""
        return min((queued.deadline for queued in self._waiting.values()), default=None)

    def interval_s(self, now: float) -> float:
        """Returns the mean time between two requests that leave; 0 if it is not known."""
        return 0.0 if now - self._observed_at > _RATE_WINDOW_S else self._interval_s

    @abc.abstractmethod
    def _queue_of(self, queued: QueuedRequest) -> AccountQueue:
        """Returns the queue that a request belongs to."""

    @abc.abstractmethod
    def _record_taken(self, queued: QueuedRequest) -> None:
        """Records that a request is about to be removed to begin."""

    def _observe(self, queued: QueuedRequest, now: float) -> None:
        """Updates the average time between two requests that leave the queue.

        Only time in which the request was waiting counts, so that idle periods have no effect.
        """
        gap_s = now - max(self._last_pop_at, queued.queued_at)
        is_recent = now - self._observed_at <= _RATE_WINDOW_S
        previous_s = self._interval_s if is_recent else gap_s
        self._interval_s = previous_s + _RATE_SMOOTHING * (gap_s - previous_s)
        self._observed_at = now

    def _drop_removed(self, queue: AccountQueue) -> None:
        while queue.heap and queue.first().request in self._removed:
            self._removed.discard(queue.pop().request)


class FairQueue(RequestQueue):
    """Requests that wait for a free slot of one pool, by service class.

    Attributes:
        lets_pass: Whether small requests may begin before a large one that does not fit.
    """

    def __init__(self) -> None:
        super().__init__()
        self.lets_pass = False
        self._passes = 0
        self._passed: ids.RequestId | None = None
        self._queues = {
            service_class: AccountQueue() for service_class in configuration.ServiceClass
        }
        self._since_batch = 0

    def next_fitting(self, fits: FitCheck) -> QueuedRequest | None:
        """See `RequestQueue.next_fitting`."""
        queued = self.peek()
        if queued is None or fits(queued, False):
            return queued
        passing = [other for other in self._waiting.values() if self.may_pass(other.cost)]
        return next((other for other in passing if fits(other, False)), None)

    def may_pass(self, cost: float) -> bool:
        """Returns whether a request of a cost may begin before the first waiting one."""
        first = self.peek()
        if not self.lets_pass or first is None or cost * PASSING_RATIO > first.cost:
            return False
        return self._passed != first.request or self._passes < MAX_PASSES

    def record_pass(self) -> None:
        """Records that a request has begun before the first waiting one."""
        first = self.peek()
        if first is None:
            return
        self._passes = self._passes + 1 if self._passed == first.request else 1
        self._passed = first.request

    def take(self, queued: QueuedRequest, now: float) -> None:
        """See `RequestQueue.take`."""
        if queued is self.peek():
            super().take(queued, now)
            return
        self.record_pass()
        self.remove(queued.request)

    def peek(self) -> QueuedRequest | None:
        """Returns the next request, or None if the queue is empty."""
        queue = self._next_queue()
        return queue.first() if queue else None

    def pop(self, now: float) -> QueuedRequest | None:
        """Removes and returns the next request, or returns None if the queue is empty."""
        queued = self.peek()
        if queued is not None:
            self.take(queued, now)
        return queued

    def expected_wait_s(
        self, service_class: configuration.ServiceClass, account: ids.AccountId, now: float
    ) -> float:
        """Returns how long a new request would wait at the current rate.

        Because of fair queueing, an account that uses less than its share does not wait behind
        accounts that use more.
        """
        interval_s = self.interval_s(now)
        if interval_s == 0.0:
            return 0.0
        ahead = self._queues[service_class].ahead_of(account, self._waiting)
        if service_class is configuration.ServiceClass.BATCH:
            interactive = configuration.ServiceClass.INTERACTIVE
            ahead += sum(
                1 for queued in self._waiting.values() if queued.service_class is interactive
            )
        return ahead * interval_s

    def _queue_of(self, queued: QueuedRequest) -> AccountQueue:
        return self._queues[queued.service_class]

    def _record_taken(self, queued: QueuedRequest) -> None:
        batch = self._queues[configuration.ServiceClass.BATCH]
        passed_over = self._queue_of(queued) is not batch and bool(batch.heap)
        self._since_batch = self._since_batch + 1 if passed_over else 0

    def _next_queue(self) -> AccountQueue | None:
        """Returns the class queue that gets the next slot, or None if both are empty."""
        for queue in self._queues.values():
            self._drop_removed(queue)
        interactive = self._queues[configuration.ServiceClass.INTERACTIVE]
        batch = self._queues[configuration.ServiceClass.BATCH]
        if batch.heap and (not interactive.heap or self._since_batch >= BATCH_SLOT_INTERVAL - 1):
            return batch
        return interactive if interactive.heap else None
