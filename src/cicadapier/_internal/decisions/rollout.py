"""Bringing newly named weights to the engines of a pool: which engine next, and what follows.

One router at a time gives the orders, under a lease. An engine that loads takes nothing new, and
turns away what has not begun, so some engines are left serving and the others' queues are let
begin first. Runs go on under the new weights: to wait for their ends would keep engines away for
longer than names of weights are apart. An order without an answer may still be carried out later;
it is told apart by the engine's own count of orders.
"""

import collections.abc
import dataclasses
import enum
import math

from cicadapier._internal.models import ids

MAX_UNAVAILABLE_SHARE = 0.4  # Engines that may be out of service at once, of all that a pool has.
URGENT_MAX_UNAVAILABLE_SHARE = 0.6  # The same where time is short.
LOAD_TIME_S = 1.8  # From the choice of an engine until it serves again.
MAX_QUEUE_DRAIN_S = 1.2  # Longest wait for requests at the engine that have not begun.
REPORT_LAG_S = 0.3
RETRY_ACCEPTED_AFTER_S = 1.0
UPDATE_TIMEOUT_S = 20.0


class Step(enum.Enum):
    """What to do next with an engine."""

    ORDER = "order"
    POLL = "poll"
    DONE = "done"
    GIVE_UP = "give_up"


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """An engine as the router that orders sees it.

    Attributes:
        upstream: The engine.
        incarnation: Its start.
        version: Weights version that it serves, None where unknown.
        running: Requests that it is believed to run.
        time_left_s: Time for which requests may still begin on its weights.
    """

    upstream: ids.UpstreamId
    incarnation: ids.Incarnation
    version: int | None
    running: int
    remaining_s: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine tells of itself.

    Attributes:
        version: Weights version that it serves.
        busy: Whether it is carrying out an order.
        orders: Orders that it has accepted since its start.
        running: Requests that it runs.
        waiting: Requests that have not begun.
    """

    version: int
    busy: bool
    orders: int
    running: int = 0
    waiting: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to load weights.

    Attributes:
        model: The model.
        version: Weights version.
        holder: Who orders.
        fencing: Fencing number of the holder's lease.
        expected_orders: Count of accepted orders at which the engine takes it.
    """

    model: ids.ModelId
    version: int
    holder: ids.VmId
    fencing: int
    expected_orders: int


class Reply(enum.Enum):
    """Answer of an engine to an order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds_already"
    CONFLICT = "conflict"
    FENCED = "fenced"
    OTHER_INSTANCE = "other_instance"
    REFUSED = "refused"
    NONE = "none"


def choose_engines(
    engines: collections.abc.Collection[Engine],
    target: int,
    unavailable: collections.abc.Container[ids.UpstreamId],
) -> list[ids.UpstreamId]:
    """Returns the engines to order now: the oldest weights first, then whose runs end soonest.

    Args:
        engines: All engines of the pool that take work.
        target: Weights version that was named.
        unavailable: Engines that have been ordered and are not back.
    """
    outdated = [e for e in engines if e.version is not None and e.version < target]
    candidates = [e for e in outdated if e.upstream not in unavailable]
    unavailable_count = sum(1 for e in engines if e.upstream in unavailable)
    limit = _max_unavailable(len(engines), candidates)
    candidates.sort(key=lambda e: (e.version or 0, e.running, e.upstream))
    return [e.upstream for e in candidates[: max(0, limit - unavailable_count)]]


def _max_unavailable(engines: int, candidates: list[Engine]) -> int:
    """Returns how many engines may be out of service at once.

    Few at once keep the others from being overrun; more are taken where the rest would not be
    done before requests may no longer begin on its weights.
    """
    normal_limit = max(1, math.floor(MAX_UNAVAILABLE_SHARE * engines))
    urgent_limit = max(1, math.floor(URGENT_MAX_UNAVAILABLE_SHARE * engines))
    remaining_s = min((engine.remaining_s for engine in candidates), default=math.inf)
    if math.isinf(remaining_s):
        return normal_limit
    rounds = max(1, math.floor(remaining_s / LOAD_TIME_S))
    return min(urgent_limit, max(normal_limit, math.ceil(len(candidates) / rounds)))


class EngineUpdate:
    """One engine on its way to one version."""

    def __init__(self, target: int, now: float) -> None:
        self._target = target
        self._started_at = now
        self._queue_drained = False
        self._ordered_at = -math.inf
        self._order_accepted = False
        self._accepted_orders: int | None = None

    @property
    def expected_orders(self) -> int:
        """Count of accepted orders that the engine must show for the next one to be taken."""
        return self._accepted_orders or 0

    def handle_report(self, report: EngineReport, now: float) -> Step:
        """Takes a report and returns what to do."""
        if report.version >= self._target and not report.busy:
            return Step.DONE
        if now - self._started_at > UPDATE_TIMEOUT_S:
            return Step.GIVE_UP
        if report.busy:
            self._accepted_orders = report.orders
            return Step.POLL
        if not self._is_queue_drained(report, now):
            return Step.POLL
        # A report is some hundred milliseconds old, and may be from before the order.
        wait_s = RETRY_ACCEPTED_AFTER_S if self._order_accepted else REPORT_LAG_S
        if now - self._ordered_at < wait_s:
            return Step.POLL
        self._accepted_orders = max(report.orders, self._accepted_orders or 0)
        self._order_accepted = False
        return Step.ORDER

    def _is_queue_drained(self, report: EngineReport, now: float) -> bool:
        """Returns whether the order may be given: it would turn away what has not begun."""
        waited_s = now - self._started_at
        all_begun = waited_s >= REPORT_LAG_S and report.waiting == 0
        self._queue_drained = self._queue_drained or all_begun or waited_s >= MAX_QUEUE_DRAIN_S
        return self._queue_drained

    def handle_reply(self, reply: Reply, now: float) -> Step:
        """Takes the answer to an order and returns what to do."""
        self._ordered_at = now
        if reply is Reply.HOLDS_ALREADY:
            return Step.DONE
        if reply is Reply.ACCEPTED:
            self._order_accepted = True
            self._accepted_orders = (self._accepted_orders or 0) + 1
        if reply in (Reply.FENCED, Reply.OTHER_INSTANCE):
            return Step.GIVE_UP
        return Step.POLL

    def handle_unreachable(self, now: float) -> Step:
        """Records that the engine did not report."""
        return Step.GIVE_UP if now - self._started_at > UPDATE_TIMEOUT_S / 4 else Step.POLL
