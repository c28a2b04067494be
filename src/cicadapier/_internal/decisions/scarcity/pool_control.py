"""Admission to one pool whose engines may have no room for all requests.

In a burst, requests that cannot be answered in time take room and time from those that can. A
request that finds no room is refused at once if it would be late, or if its account sends far more
than its share; the others wait in order of urgency. While there is room and engines answer in time,
nothing is refused.
"""

import collections
import enum
import math

from cicadapier._internal.decisions import engine_memory
from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import routing
from cicadapier._internal.decisions.scarcity import account_demand
from cicadapier._internal.decisions.scarcity import first_events
from cicadapier._internal.decisions.scarcity import kept_room
from cicadapier._internal.decisions.scarcity import return_times
from cicadapier._internal.decisions.scarcity import urgency as urgencies
from cicadapier._internal.decisions.scarcity import urgency_queue

SHORTAGE_S = 2.0  # After the last request that found no room, room counts as short for this long.
HEAVY_SHARE = 0.5  # Of the memory for running requests, open to heavy accounts in a shortage.
DEFAULT_RETURN_S = 4.0  # Latest return of a caller that does not say how long it waits.


class Event(enum.Enum):
    """What happened to a request, for the metrics."""

    BEGUN = "begun"
    WAITED = "waited"
    REFUSED_LATE = "refused_late"
    REFUSED_HEAVY = "refused_heavy"
    REFUSED_CROWDED = "refused_crowded"


class PoolControl:
    """Decides which requests for a pool begin, wait or are refused.

    Attributes:
        queue: The waiting requests.
        counts: Number of events of each urgency since the counts were taken last.
    """

    def __init__(self, accounts: account_demand.AccountDemand) -> None:
        self.queue = urgency_queue.UrgencyQueue()
        self.counts: collections.Counter[tuple[int, Event]] = collections.Counter()
        self._accounts = accounts
        self._room = kept_room.KeptRoom()
        self._first_events = first_events.FirstEvents()
        self._returns = return_times.ReturnTimes()
        self._short_until = -math.inf

    def is_short(self, now: float) -> bool:
        """Returns whether a request has recently found no room."""
        return now < self._short_until

    def kept_tokens(
        self, request_spec: routing.RequestSpec, policy: members.Policy, now: float
    ) -> int:
        """Returns the memory that a new request has to leave free in its engine."""
        kept = self.kept_for_urgent(request_spec, policy, now)
        if self.is_short(now) and self._accounts.is_heavy(request_spec.account):
            running = engine_memory.RUNNING_SHARE * policy.pool.memory_tokens
            kept += int((1 - HEAVY_SHARE) * running)
        return kept

    def kept_for_urgent(
        self, request_spec: routing.RequestSpec, policy: members.Policy, now: float
    ) -> int:
        """Returns the memory of one engine that is kept for more urgent requests."""
        capacity = policy.pool.memory_tokens
        if capacity == 0:
            return 0
        engines = max(1, len(policy.usable()))
        return self._room.tokens(
            request_spec.urgency,
            request_spec.memory_tokens,
            capacity,
            self._accounts.routers / engines,
            now,
        )

    def must_wait(
        self, request_spec: routing.RequestSpec, policy: members.Policy, now: float
    ) -> bool:
        """Returns whether a new request has to wait, and counts it as an arrival."""
        self._room.record_arrival(request_spec.urgency, request_spec.memory_tokens, now)
        kept = self.kept_tokens(request_spec, policy, now)
        if self.queue.must_wait(request_spec.urgency):
            return True
        return not policy.has_capacity(request_spec.memory_tokens + kept)

    def may_begin(
        self,
        request_spec: routing.RequestSpec,
        uses_kept_room: bool,
        policy: members.Policy,
        now: float,
    ) -> bool:
        """Returns whether a waiting request has room."""
        kept = 0 if uses_kept_room else self.kept_for_urgent(request_spec, policy, now)
        return policy.has_capacity(request_spec.memory_tokens + kept)

    def record_first_event(
        self, request_spec: routing.RequestSpec, delay_s: float, now: float
    ) -> None:
        """Records the time to the first event at an engine, or its age if there is none yet."""
        if request_spec.objective_s is not None:
            self._first_events.record(request_spec.urgency, delay_s, request_spec.objective_s, now)

    def is_crowded_out(self, request_spec: routing.RequestSpec, now: float) -> bool:
        """Returns whether a new request gives way, as the engines are late with first events."""
        if self._first_events.may_begin(request_spec.urgency, now):
            return False
        self.record_shortage(now)
        self.count(request_spec, Event.REFUSED_CROWDED)
        return True

    def record_shortage(self, now: float) -> None:
        """Records that a request found no room or would be late."""
        self._short_until = now + SHORTAGE_S

    def refusal_reason(
        self, request_spec: routing.RequestSpec, max_wait_s: float, now: float
    ) -> str | None:
        """Returns why a request that found no room is refused at once; None if it may wait.

        Args:
            request_spec: The request.
            max_wait_s: How long it may wait.
            now: Current time.
        """
        if self._accounts.is_heavy(request_spec.account):
            self.count(request_spec, Event.REFUSED_HEAVY)
            return "there is no room, and the account sends far more than its share"
        wait_s = self._expected_wait_s(request_spec, now)
        if wait_s >= max_wait_s:
            self.count(request_spec, Event.REFUSED_LATE)
            return f"there is no room, and an answer after a wait of {wait_s:.1f} s would be late"
        return None

    def useful_wait_s(
        self,
        req: members.PlacementRequest,
        request_spec: routing.RequestSpec,
        policy: members.Policy,
        now: float,
    ) -> float:
        """Returns how long a request may wait and still be answered within its objective."""
        if request_spec.objective_s is None:
            return math.inf
        choice = policy.choose(req, now)
        if choice is None:
            return request_spec.objective_s
        return request_spec.objective_s - choice.estimate.prefill_s - choice.estimate.distance_s

    def return_after_s(self, request_spec: routing.RequestSpec, now: float) -> float:
        """Returns the delay after which the caller of a refused request should come back."""
        wait_s = self._expected_wait_s(request_spec, now)
        latest_s = request_spec.return_within_s
        return self._returns.assign_s(
            wait_s,
            self.queue.interval_s(now),
            DEFAULT_RETURN_S if latest_s is None else latest_s,
            request_spec.request,
            now,
        )

    def _expected_wait_s(self, request_spec: routing.RequestSpec, now: float) -> float:
        return self.queue.expected_wait_s(
            request_spec.urgency, request_spec.account, max(1, request_spec.memory_tokens), now
        )

    def record_begin(self, request_spec: routing.RequestSpec) -> None:
        """Records that a request began without waiting."""
        self.queue.record_begin(request_spec.urgency)
        self.count(request_spec, Event.BEGUN)

    def count(self, request_spec: routing.RequestSpec, event: Event) -> None:
        """Counts an event for the metrics."""
        self.counts[request_spec.urgency, event] += 1

    def take_counts(self) -> collections.Counter[tuple[urgencies.Urgency, Event]]:
        """Returns the counts and starts new ones."""
        taken = collections.Counter(
            {(urgencies.Urgency(u), event): n for (u, event), n in self.counts.items()}
        )
        self.counts.clear()
        return taken
