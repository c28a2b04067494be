"""Roll-out of new target weights to the engines of a pool.

Decides which engines to update next and which step follows for each of them.

Only one router at a time, the holder of a lease, sends load orders. An engine that loads weights
accepts no new requests and rejects those that have not started. Therefore only some of the engines
load at the same time, and requests queued at an engine may start before its order is sent. Running
requests continue under the new weights: waiting for them to end would keep engines out of service
for longer than the time between two target versions. An order that is not answered may still be
carried out later; the engine's own count of accepted orders shows whether it was.
"""

import collections.abc
import dataclasses
import enum
import math

from cicadapier._internal.models import ids

MAX_UNAVAILABLE_SHARE = 0.4  # Share of the engines of a pool that may be out of service at once.
URGENT_MAX_UNAVAILABLE_SHARE = 0.6  # The same if the old weights expire soon.
LOAD_TIME_S = 1.8  # From the choice of an engine until it serves requests again.
MAX_QUEUE_DRAIN_S = 1.2  # Longest wait for requests at the engine that have not started.
REPORT_LAG_S = 0.3  # Maximum expected age of a report.
RETRY_ACCEPTED_AFTER_S = 1.0  # Wait before repeating an accepted order that no report confirms.
UPDATE_TIMEOUT_S = 20.0
DELAY_TIMEOUT_S = 5.0  # For an engine that asks for no calls, or that limits them.
UNREACHABLE_TIMEOUT_S = 1.2  # For an engine that has been sent an order.


class Step(enum.Enum):
    """Next step in updating an engine."""

    ORDER = "order"
    POLL = "poll"
    DONE = "done"
    GIVE_UP = "give_up"


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """An engine as seen by the router that sends load orders.

    Attributes:
        upstream: Upstream id of the engine.
        incarnation: Incarnation of the engine.
        version: Weights version that it serves; None if unknown.
        running: Estimated number of running requests.
        remaining_s: Time for which requests may still start on its weights.
    """

    upstream: ids.UpstreamId
    incarnation: ids.Incarnation
    version: int | None
    running: int
    remaining_s: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """Status that an engine reports.

    Attributes:
        version: Weights version that it serves.
        busy: Whether it is carrying out an order.
        orders: Number of orders that it has accepted since its start.
        running: Number of running requests.
        waiting: Number of requests that have not started.
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
        holder: VM of the router that sends the order and holds the lease.
        fencing: Fencing token of the holder's lease.
        expected_orders: Number of accepted orders at the engine that the order expects; the engine
            accepts the order only if its own count is equal.
    """

    model: ids.ModelId
    version: int
    holder: ids.VmId
    fencing: int
    expected_orders: int


class Reply(enum.Enum):
    """Reply of an engine to a load order; `NONE` if there was no usable reply."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds_already"
    CONFLICT = "conflict"
    FENCED = "fenced"
    OTHER_INSTANCE = "other_instance"
    REFUSED = "refused"
    NONE = "none"


def outdated_engines(engines: collections.abc.Iterable[Engine], target: int) -> list[Engine]:
    """Returns the engines that are known to serve older weights than the target."""
    return [e for e in engines if e.version is not None and e.version < target]


def choose_engines(
    engines: collections.abc.Collection[Engine],
    target: int,
    unavailable: collections.abc.Container[ids.UpstreamId],
    unreached: collections.abc.Container[ids.UpstreamId] = (),
    held_back: collections.abc.Container[ids.UpstreamId] = (),
) -> list[ids.UpstreamId]:
    """Returns the engines to update now: oldest weights first, then fewest running requests.

    Args:
        engines: All engines of the pool that accept requests.
        target: Target weights version.
        unavailable: Engines that are being updated.
        unreached: Engines that this router could not reach lately; they come last.
        held_back: Engines that may be called only now and then; they come after all others that
            were reached, as each of them would keep its place among the loading ones for long.
    """
    outdated = outdated_engines(engines, target)
    candidates = [e for e in outdated if e.upstream not in unavailable]
    unavailable_count = sum(1 for e in engines if e.upstream in unavailable)
    limit = _max_unavailable(len(engines), candidates)

    def order(engine: Engine) -> tuple[bool, bool, int, int, ids.UpstreamId]:
        name = engine.upstream
        is_last, is_late = name in unreached, name in held_back
        return is_last, is_late, engine.version or 0, engine.running, name

    candidates.sort(key=order)
    return [e.upstream for e in candidates[: max(0, limit - unavailable_count)]]


def _max_unavailable(engines: int, candidates: list[Engine]) -> int:
    """Returns how many engines may be out of service at once.

    A low limit protects the remaining engines from overload. The limit is higher if the remaining
    updates would not be finished before requests may no longer start on the old weights.
    """
    normal_limit = max(1, math.floor(MAX_UNAVAILABLE_SHARE * engines))
    urgent_limit = max(1, math.floor(URGENT_MAX_UNAVAILABLE_SHARE * engines))
    remaining_s = min((engine.remaining_s for engine in candidates), default=math.inf)
    if math.isinf(remaining_s):
        return normal_limit
    rounds = max(1, math.floor(remaining_s / LOAD_TIME_S))
    return min(urgent_limit, max(normal_limit, math.ceil(len(candidates) / rounds)))


class EngineUpdate:
    """Update of one engine to one weights version."""

    def __init__(self, target: int, now: float) -> None:
        self._target = target
        self._started_at = now
        self._queue_drained = False
        self._ordered_at = -math.inf
        self._order_accepted = False
        self._accepted_orders: int | None = None
        self._unreachable_since: float | None = None

    @property
    def expected_orders(self) -> int:
        """Number of accepted orders that the engine must have to accept the next order."""
        return self._accepted_orders or 0

    def handle_report(self, report: EngineReport, now: float) -> Step:
        """Processes a report and returns the next step."""
        self._unreachable_since = None
        if report.version >= self._target and not report.busy:
            return Step.DONE
        if now - self._started_at > UPDATE_TIMEOUT_S:
            return Step.GIVE_UP
        if report.busy:
            self._accepted_orders = report.orders
            return Step.POLL
        if not self._is_queue_drained(report, now):
            return Step.POLL
        # A report may be some hundred milliseconds old and may predate the order.
        wait_s = RETRY_ACCEPTED_AFTER_S if self._order_accepted else REPORT_LAG_S
        if now - self._ordered_at < wait_s:
            return Step.POLL
        self._accepted_orders = max(report.orders, self._accepted_orders or 0)
        self._order_accepted = False
        return Step.ORDER

    def _is_queue_drained(self, report: EngineReport, now: float) -> bool:
        """Returns whether the order may be sent: loading rejects requests that have not started."""
        waited_s = now - self._started_at
        all_started = waited_s >= REPORT_LAG_S and report.waiting == 0
        self._queue_drained = self._queue_drained or all_started or waited_s >= MAX_QUEUE_DRAIN_S
        return self._queue_drained

    def handle_reply(self, reply: Reply, now: float) -> Step:
        """Processes the reply to an order and returns the next step."""
        self._ordered_at = now
        if reply is Reply.HOLDS_ALREADY:
            return Step.DONE
        if reply is Reply.ACCEPTED:
            self._order_accepted = True
            self._accepted_orders = (self._accepted_orders or 0) + 1
        if reply in (Reply.FENCED, Reply.OTHER_INSTANCE):
            return Step.GIVE_UP
        return Step.POLL

    def handle_delay(self, now: float) -> Step:
        """Returns the next step if the engine may not be called now."""
        return Step.GIVE_UP if now - self._started_at > DELAY_TIMEOUT_S else Step.POLL

    def handle_missing_grant(self, now: float) -> Step:
        """Returns the next step if the engine limits its requests and this one has to wait.

        One that has not been sent an order is given up at once, as others may load meanwhile.
        """
        return Step.GIVE_UP if math.isinf(self._ordered_at) else self.handle_delay(now)

    def handle_unreachable(self, now: float) -> Step:
        """Returns the next step if the engine cannot be reached or sends no report.

        One that has not been sent an order is given up at once, as others may be reached meanwhile.
        """
        if math.isinf(self._ordered_at):
            return Step.GIVE_UP
        if self._unreachable_since is None:
            self._unreachable_since = now
        is_given_up = now - self._unreachable_since >= UNREACHABLE_TIMEOUT_S
        return Step.GIVE_UP if is_given_up else Step.POLL
