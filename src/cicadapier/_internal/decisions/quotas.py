"""Quotas for upstreams that limit the total request rate of all routers.

A fixed share for each router does not work in a large fleet: it would be far less than one request,
and the sum of the bursts of all routers would exceed the limit. Instead, a few routers, which every
router determines in the same way, issue grants for an upstream, each for its part of the limit. A
router sends a request only if it holds a grant. A router that cannot reach an issuer gets no grants
from it, so the total stays within the limit during any network partition.
"""

import collections
import collections.abc
import dataclasses
import hashlib
import math

from cicadapier._internal.decisions import limits
from cicadapier._internal.decisions import rate_limits
from cicadapier._internal.models import ids

# With several issuers, the loss of one makes only a part of the limit unavailable for a while. With
# too many, each part of a small limit is less than one request within the time a caller waits.
MIN_ISSUERS = 2
MAX_ISSUERS = 3
GRANT_LIFETIME_S = 0.5  # An unused grant expires after this time.
BURST_S = 0.25
MIN_REFRESH_INTERVAL_S = 1.0
ROUTERS_PER_REFRESH_S = 100  # In a larger fleet, each router repeats its requests less often.
# A demand that is not repeated for this number of refresh intervals is dropped.
EXPIRY_REFRESHES = 2.5
NO_REQUEST = 0  # In place of the number of a request.


def rank_issuers(
    upstream: ids.UpstreamId, routers: collections.abc.Iterable[ids.VmId]
) -> list[ids.VmId]:
    """Returns the routers that may issue grants for an upstream, ranked by rendezvous hashing."""
    return sorted(routers, key=lambda vm: _score(upstream, vm))[:MAX_ISSUERS]


def issuer_count(per_s: float) -> int:
    """Returns how many of the ranked routers issue grants for a limit."""
    return MAX_ISSUERS if per_s >= MAX_ISSUERS else MIN_ISSUERS


def refresh_interval_s(routers: int) -> float:
    """Returns the interval at which a router repeats its requests in a fleet of this size."""
    return max(MIN_REFRESH_INTERVAL_S, routers / ROUTERS_PER_REFRESH_S)


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Number of grants that a router needs for one upstream, the most urgent kind first.

    Attributes:
        control: For orders and reports, which deliver new weights in time.
        waiting: For queued requests that need nothing but a grant.
        prefetch: For requests that may arrive later and could also go to another upstream.
    """

    control: int = 0
    waiting: int = 0
    prefetch: int = 0

    @property
    def total(self) -> int:
        """Total number of grants of all kinds."""
        return self.control + self.waiting + self.prefetch

    def split(self, parts: int, first: int) -> "list[Demand]":
        """Splits the demand among issuers; control grants are requested from each of them.

        Args:
            parts: Number of issuers.
            first: Index of the issuer that gets the first unit, modulo `parts`.
        """
        waiting = _split_evenly(self.waiting, parts, first)
        prefetch = _split_evenly(self.prefetch, parts, first + self.waiting)
        pairs = zip(waiting, prefetch, strict=True)
        return [
            Demand(self.control, waiting_part, prefetch_part)
            for waiting_part, prefetch_part in pairs
        ]

    def subtract(self, count: int) -> "Demand":
        """Returns the demand left after some grants, which serve the most urgent kind first."""
        control = min(count, self.control)
        waiting = min(count - control, self.waiting)
        prefetch = min(count - control - waiting, self.prefetch)
        return Demand(self.control - control, self.waiting - waiting, self.prefetch - prefetch)

    def exceeds(self, other: "Demand") -> bool:
        """Returns whether this demand is larger than the other one in any kind."""
        more = self.control > other.control or self.waiting > other.waiting
        return more or self.prefetch > other.prefetch


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamDemand:
    """Demand for one upstream in a request for grants.

    Attributes:
        limit: The upstream's limit as the requesting router knows it.
        demand: Grants that it needs; replaces its earlier demand.
    """

    limit: rate_limits.LimitNotice
    demand: Demand


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRequest:
    """A request for grants from a router to an issuer.

    Attributes:
        sender: Router that sends the request.
        reply_to: Its peer address.
        wanted: Its demand for each upstream.
        number: Number of the request at its sender; `NO_REQUEST` if the sender counts none.
    """

    sender: ids.VmId
    reply_to: ids.Address
    wanted: tuple[UpstreamDemand, ...]
    number: int = NO_REQUEST


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Permission for a router to send a number of requests to an upstream.

    Attributes:
        issuer: Router that issues the grant.
        limit: The upstream's limit as the issuer knows it.
        count: Number of requests.
        number: Number of the router's request that it answers; `NO_REQUEST` if unknown.
        waited_s: Time for which that request has waited at the issuer.
    """

    issuer: ids.VmId
    limit: rate_limits.LimitNotice
    count: int
    number: int = NO_REQUEST
    waited_s: float = 0.0


class HeldGrants:
    """Unexpired grants that a router holds for one upstream."""

    def __init__(self) -> None:
        self._expiries: collections.deque[float] = collections.deque()

    def add(self, count: int, until: float) -> None:
        """Adds grants that expire at `until`."""
        self._expiries.extend([until] * count)

    def held(self, now: float) -> int:
        """Returns the number of grants that have not expired."""
        while self._expiries and self._expiries[0] <= now:
            self._expiries.popleft()
        return len(self._expiries)

    def use(self, now: float) -> bool:
        """Uses one grant; returns whether there was one."""
        if not self.held(now):
            return False
        self._expiries.popleft()
        return True


class GrantRequester:
    """Decides which requests for grants a router sends to the issuers of one upstream.

    Each unit is requested from a single issuer, so that no two issuers issue a grant for the same
    request. If no grant arrives, the next refresh requests it from another issuer.
    """

    def __init__(self, vm: ids.VmId) -> None:
        # Routers start at different issuers, so that single units are spread over all of them.
        self._first_part = int.from_bytes(_score(ids.UpstreamId(""), vm), "big")
        self._requested: dict[ids.VmId, Demand] = {}
        self._refreshed_at = -math.inf

    def due_requests(
        self,
        issuers: collections.abc.Sequence[ids.VmId],
        demand: Demand,
        now: float,
        interval_s: float,
    ) -> dict[ids.VmId, Demand]:
        """Returns the demand to send now, by issuer.

        Args:
            issuers: Routers that issue grants for the upstream.
            demand: Grants that the router needs in addition to those that it holds.
            now: Current time.
            interval_s: Time after which the whole demand is sent again.
        """
        if not issuers:
            return {}
        refresh = now - self._refreshed_at >= interval_s
        if refresh:
            self._refreshed_at = now
            self._first_part += 1
        parts = demand.split(len(issuers), self._first_part)
        due = {}
        for vm, part in zip(issuers, parts, strict=True):
            requested = self._requested.get(vm, Demand())
            is_due = refresh and part.total
            is_over = requested.total and not part.total
            if is_due or is_over or part.exceeds(requested):
                due[vm] = part
                self._requested[vm] = part
        return due

    def record_grant(self, issuer: ids.VmId, count: int) -> None:
        """Subtracts received grants from the demand that was sent to their issuer."""
        self._requested[issuer] = self._requested.get(issuer, Demand()).subtract(count)


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """The latest request of a router, as its issuer received it.

    Attributes:
        number: Its number at the router.
        at: Time at which it was received.
        expires_at: Time at which its demand expires.
    """

    number: int
    at: float
    expires_at: float


# Grants that each router waits for, in round-robin order.
_PendingCounts = collections.OrderedDict[ids.VmId, int]


class _LimitedUpstream:
    """State of an upstream for which this router issues a part of the grants."""

    def __init__(self, per_s: float, now: float) -> None:
        self.bucket = limits.TokenBucket(per_s, now, BURST_S)
        # Starts empty, because another router may have issued this part until now.
        self.bucket.empty()
        self._requests: dict[ids.VmId, ReceivedRequest] = {}
        # Grants that each router waits for, by urgency; the router served least recently is first.
        self._control: _PendingCounts = collections.OrderedDict()
        self._waiting: _PendingCounts = collections.OrderedDict()
        self._prefetch: _PendingCounts = collections.OrderedDict()

    @property
    def waiting(self) -> list[ids.VmId]:
        """Routers that wait for grants."""
        return list(self._requests)

    def set_demand(self, vm: ids.VmId, demand: Demand, request: ReceivedRequest) -> None:
        """Replaces the demand of a router; its position in the queue stays."""
        self._requests[vm] = request
        self._set_counts(vm, demand)
        if not demand.total:
            del self._requests[vm]

    def _set_counts(self, vm: ids.VmId, demand: Demand) -> None:
        _set_count(self._control, vm, demand.control)
        _set_count(self._waiting, vm, demand.waiting)
        _set_count(self._prefetch, vm, demand.prefetch)

    def expire(self, now: float) -> None:
        """Drops the demands that were not refreshed in time."""
        for vm in [vm for vm, req in self._requests.items() if req.expires_at <= now]:
            self._set_counts(vm, Demand())
            del self._requests[vm]

    def grant(self) -> tuple[ids.VmId, ReceivedRequest] | None:
        """Issues one grant; returns the router that gets it and its request, if one waits."""
        queue = self._control or self._waiting or self._prefetch
        if not queue:
            return None
        vm = next(iter(queue))
        request = self._requests[vm]
        _set_count(queue, vm, queue[vm] - 1)
        if vm in queue:
            queue.move_to_end(vm)
        elif not any(vm in pending for pending in (self._control, self._waiting, self._prefetch)):
            del self._requests[vm]
        self.bucket.take(1.0)
        return vm, request


@dataclasses.dataclass(frozen=True, slots=True)
class IssuedGrants:
    """Number of grants issued to one router for one upstream.

    Attributes:
        vm: Router that gets the grants.
        upstream: Upstream that it may send to.
        count: Number of requests that it may send.
        number: Number of its request.
        waited_s: Time for which its request has waited.
    """

    vm: ids.VmId
    upstream: ids.UpstreamId
    count: int
    number: int
    waited_s: float


class Issuer:
    """Issues this router's part of the grants."""

    def __init__(self) -> None:
        self._limited: dict[ids.UpstreamId, _LimitedUpstream] = {}

    def set_demand(
        self,
        vm: ids.VmId,
        upstream: ids.UpstreamId,
        demand: Demand,
        per_s: float,
        now: float,
        lifetime_s: float,
        number: int = NO_REQUEST,
    ) -> None:
        """Replaces the demand of a router for an upstream.

        Args:
            vm: Router that needs the grants.
            upstream: Upstream that the grants are for.
            demand: Grants that the router needs.
            per_s: Part of the limit that this issuer may grant, in requests per second.
            now: Current time.
            lifetime_s: Time after which the demand expires unless it is repeated.
            number: Number of the request at the router.
        """
        limited = self._limited.get(upstream)
        if limited is None:
            limited = self._limited[upstream] = _LimitedUpstream(per_s, now)
        limited.bucket.set_rate(per_s, now)
        limited.set_demand(vm, demand, ReceivedRequest(number, now, now + lifetime_s))

    def set_rate(self, upstream: ids.UpstreamId, per_s: float, now: float) -> None:
        """Changes the rate of an upstream, if any router has requested grants for it."""
        limited = self._limited.get(upstream)
        if limited is not None:
            limited.bucket.set_rate(per_s, now)

    def waiting_routers(self, upstream: ids.UpstreamId) -> list[ids.VmId]:
        """Returns the routers that wait for grants for an upstream."""
        limited = self._limited.get(upstream)
        return limited.waiting if limited else []

    def remove(self, upstream: ids.UpstreamId) -> None:
        """Stops issuing grants for an upstream."""
        self._limited.pop(upstream, None)

    def upstreams(self) -> list[ids.UpstreamId]:
        """Returns the upstreams for which this router issues grants."""
        return list(self._limited)

    def issue(self, now: float) -> list[IssuedGrants]:
        """Issues all grants that are due now; returns one entry per router and upstream."""
        issued: list[IssuedGrants] = []
        for upstream, limited in self._limited.items():
            limited.expire(now)
            counts: collections.Counter[tuple[ids.VmId, ReceivedRequest]] = collections.Counter()
            while limited.bucket.wait_s(1.0, now) == 0 and (granted := limited.grant()):
                counts[granted] += 1
            issued.extend(
                IssuedGrants(vm, upstream, count, request.number, now - request.at)
                for (vm, request), count in counts.items()
            )
        return issued

    def next_due_at(self, now: float) -> float:
        """Returns the time at which the next grant may be due, infinite if no router waits."""
        waits = [item.bucket.wait_s(1.0, now) for item in self._limited.values() if item.waiting]
        return now + min(waits, default=math.inf)


def _set_count(pending: "_PendingCounts", vm: ids.VmId, count: int) -> None:
    if count:
        pending[vm] = count
    else:
        pending.pop(vm, None)


def _split_evenly(count: int, parts: int, first: int) -> list[int]:
    """Splits a count into parts that differ by at most one; the larger ones start at `first`."""
    quotient, remainder = divmod(count, parts)
    return [quotient + ((part - first) % parts < remainder) for part in range(parts)]


def _score(upstream: ids.UpstreamId, vm: ids.VmId) -> bytes:
    return hashlib.blake2b(f"quota/{upstream}/{vm}".encode(), digest_size=8).digest()
