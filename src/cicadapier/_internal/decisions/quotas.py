"""Quotas of upstreams that limit the requests of all routers together.

It answers limits of any size before any number of routers. A share for each router would be far
less than one request where the routers are many, and the sum of what each may send at once would
exceed the limit. So a few routers, the same in everybody's view, issue grants for an upstream,
each for its part of the limit; a router sends with a grant or not at all. Who cannot reach an
issuer gets none, and so the sum holds whatever is cut off.
"""

import collections
import collections.abc
import dataclasses
import hashlib
import math

from cicadapier._internal.decisions import limits
from cicadapier._internal.decisions import rate_limits
from cicadapier._internal.models import ids

# The loss of one issuer costs a part of the limit for a while, and not all of it; but a part of a
# small limit is less than one request in a caller's time.
MIN_ISSUERS = 2
MAX_ISSUERS = 3
GRANT_LIFETIME_S = 0.5  # A grant that is not used within this time is lost.
BURST_S = 0.25
MIN_REFRESH_INTERVAL_S = 1.0
ROUTERS_PER_REFRESH_S = 100  # More routers ask less often.
EXPIRY_REFRESHES = 2.5  # A request that is not refreshed for so long is dropped.


def rank_issuers(
    upstream: ids.UpstreamId, routers: collections.abc.Iterable[ids.VmId]
) -> list[ids.VmId]:
    """Returns the routers that may issue grants for an upstream, by rendezvous hashing."""
    return sorted(routers, key=lambda vm: _score(upstream, vm))[:MAX_ISSUERS]


def issuer_count(per_s: float) -> int:
    """Returns how many of them issue grants for a limit."""
    return MAX_ISSUERS if per_s >= MAX_ISSUERS else MIN_ISSUERS


def refresh_interval_s(routers: int) -> float:
    """Returns how often a router repeats its requests in a fleet of a size."""
    return max(MIN_REFRESH_INTERVAL_S, routers / ROUTERS_PER_REFRESH_S)


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Grants that a router wants for one upstream, the most urgent kind first.

    Attributes:
        control: For orders and reports, which bring new weights in time.
        waiting: For requests that wait for nothing else.
        prefetch: For requests that may come, and could go elsewhere as well.
    """

    control: int = 0
    waiting: int = 0
    prefetch: int = 0

    @property
    def total(self) -> int:
        """Grants of all kinds."""
        return self.control + self.waiting + self.prefetch

    def split(self, parts: int, first: int) -> "list[Demand]":
        """Returns a part for each issuer; what is urgent is asked of all of them.

        Args:
            parts: Number of issuers.
            first: The one that gets the first unit.
        """
        waiting = _split_evenly(self.waiting, parts, first)
        prefetch = _split_evenly(self.prefetch, parts, first + self.waiting)
        pairs = zip(waiting, prefetch, strict=True)
        return [
            Demand(self.control, waiting_part, prefetch_part)
            for waiting_part, prefetch_part in pairs
        ]

    def subtract(self, count: int) -> "Demand":
        """Returns what is left after some grants, the most urgent kind served first."""
        control = min(count, self.control)
        waiting = min(count - control, self.waiting)
        prefetch = min(count - control - waiting, self.prefetch)
        return Demand(self.control - control, self.waiting - waiting, self.prefetch - prefetch)

    def exceeds(self, other: "Demand") -> bool:
        """Returns whether more of any kind is wanted."""
        more = self.control > other.control or self.waiting > other.waiting
        return more or self.prefetch > other.prefetch


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamDemand:
    """What a router asks of an issuer for one upstream.

    Attributes:
        limit: The limit as that router knows it.
        demand: What it wants; it replaces what it wanted before.
    """

    limit: rate_limits.LimitNotice
    demand: Demand


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRequest:
    """Asks an issuer for grants.

    Attributes:
        sender: Router that asks.
        reply_to: Its peer address.
        wanted: What it wants.
    """

    sender: ids.VmId
    reply_to: ids.Address
    wanted: tuple[UpstreamDemand, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Lets a router send some requests to an upstream.

    Attributes:
        issuer: Router that issues it.
        limit: The limit as the issuer knows it.
        count: Number of requests.
    """

    issuer: ids.VmId
    limit: rate_limits.LimitNotice
    count: int


class HeldGrants:
    """Grants that a router holds for one upstream."""

    def __init__(self) -> None:
        self._expiries: collections.deque[float] = collections.deque()

    def add(self, count: int, until: float) -> None:
        """Takes grants that may be used until a time."""
        self._expiries.extend([until] * count)

    def held(self, now: float) -> int:
        """Returns how many there are."""
        while self._expiries and self._expiries[0] <= now:
            self._expiries.popleft()
        return len(self._expiries)

    def use(self, now: float) -> bool:
        """Uses one; returns whether there was one."""
        if not self.held(now):
            return False
        self._expiries.popleft()
        return True


class GrantRequester:
    """What a router asks of the issuers of one upstream.

    Each unit is asked of one issuer, so that no two issue a grant for the same request; another
    one is asked where none came.
    """

    def __init__(self, own: ids.VmId) -> None:
        self._first_part = int.from_bytes(_score(ids.UpstreamId(""), own), "big")
        self._requested: dict[ids.VmId, Demand] = {}
        self._refreshed_at = -math.inf

    def due_requests(
        self,
        issuers: collections.abc.Sequence[ids.VmId],
        demand: Demand,
        now: float,
        interval_s: float,
    ) -> dict[ids.VmId, Demand]:
        """Returns what to tell which issuers now.

        Args:
            issuers: The issuers.
            demand: Grants that are wanted beside those that are held.
            now: Present time.
            interval_s: Time after which all is told again.
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
        """Takes it that an issuer has sent some grants."""
        self._requested[issuer] = self._requested.get(issuer, Demand()).subtract(count)


_PendingCounts = collections.OrderedDict[ids.VmId, int]


class _LimitedUpstream:
    """An upstream for which this router issues its part of the grants."""

    def __init__(self, per_s: float, now: float) -> None:
        self.bucket = limits.TokenBucket(per_s, now, BURST_S)
        # Another router may have issued until now, so nothing is there at first.
        self.bucket.empty()
        self._expires_at: dict[ids.VmId, float] = {}
        # Grants that each router waits for, by urgency; who waits longest is first.
        self._control: _PendingCounts = collections.OrderedDict()
        self._waiting: _PendingCounts = collections.OrderedDict()
        self._prefetch: _PendingCounts = collections.OrderedDict()

    @property
    def waiting(self) -> list[ids.VmId]:
        """The routers that wait."""
        return list(self._expires_at)

    def set_demand(self, vm: ids.VmId, demand: Demand, until: float) -> None:
        """Takes what a router wants until a time; it keeps its turn."""
        self._expires_at[vm] = until
        _set_count(self._control, vm, demand.control)
        _set_count(self._waiting, vm, demand.waiting)
        _set_count(self._prefetch, vm, demand.prefetch)
        if not demand.total:
            del self._expires_at[vm]

    def expire(self, now: float) -> None:
        """Drops the routers that have lost interest."""
        for vm in [vm for vm, until in self._expires_at.items() if until <= now]:
            self.set_demand(vm, Demand(), now)

    def grant(self) -> ids.VmId | None:
        """Counts a grant for the router whose turn it is, and returns it; None where none waits."""
        queue = self._control or self._waiting or self._prefetch
        if not queue:
            return None
        vm = next(iter(queue))
        _set_count(queue, vm, queue[vm] - 1)
        if vm in queue:
            queue.move_to_end(vm)
        elif not any(vm in pending for pending in (self._control, self._waiting, self._prefetch)):
            del self._expires_at[vm]
        self.bucket.take(1.0)
        return vm


@dataclasses.dataclass(frozen=True, slots=True)
class IssuedGrants:
    """Grants for one router.

    Attributes:
        vm: The router.
        upstream: Upstream that it may send to.
        count: Requests that it may send.
    """

    vm: ids.VmId
    upstream: ids.UpstreamId
    count: int


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
    ) -> None:
        """Takes what a router wants; it replaces what it wanted before.

        Args:
            vm: The router.
            upstream: The upstream.
            demand: What it wants.
            per_s: This router's part of the limit.
            now: Present time.
            lifetime_s: Time for which the demand stands.
        """
        limited = self._limited.get(upstream)
        if limited is None:
            limited = self._limited[upstream] = _LimitedUpstream(per_s, now)
        limited.bucket.set_rate(per_s, now)
        limited.set_demand(vm, demand, now + lifetime_s)

    def set_rate(self, upstream: ids.UpstreamId, per_s: float, now: float) -> None:
        """Takes another rate for an upstream for which this router issues."""
        limited = self._limited.get(upstream)
        if limited is not None:
            limited.bucket.set_rate(per_s, now)

    def waiting_routers(self, upstream: ids.UpstreamId) -> list[ids.VmId]:
        """Returns the routers that wait for grants for an upstream."""
        limited = self._limited.get(upstream)
        return limited.waiting if limited else []

    def remove(self, upstream: ids.UpstreamId) -> None:
        """Issues no more for an upstream."""
        self._limited.pop(upstream, None)

    def upstreams(self) -> list[ids.UpstreamId]:
        """Returns the upstreams for which this router issues."""
        return list(self._limited)

    def issue(self, now: float) -> list[IssuedGrants]:
        """Returns the grants that are due now, one entry a router and upstream."""
        counts: collections.Counter[tuple[ids.VmId, ids.UpstreamId]] = collections.Counter()
        for upstream, limited in self._limited.items():
            limited.expire(now)
            while limited.bucket.wait_s(1.0, now) == 0 and (vm := limited.grant()) is not None:
                counts[vm, upstream] += 1
        return [IssuedGrants(vm, upstream, count) for (vm, upstream), count in counts.items()]

    def next_due_at(self, now: float) -> float:
        """Returns when something may be due, infinite where nobody waits."""
        waits = [x.bucket.wait_s(1.0, now) for x in self._limited.values() if x.waiting]
        return now + min(waits, default=math.inf)


def _set_count(pending: "_PendingCounts", vm: ids.VmId, count: int) -> None:
    if count:
        pending[vm] = count
    else:
        pending.pop(vm, None)


def _split_evenly(count: int, parts: int, first: int) -> list[int]:
    """Returns a number in parts that differ by one at most, the larger ones from `first` on."""
    quotient, remainder = divmod(count, parts)
    return [quotient + ((part - first) % parts < remainder) for part in range(parts)]


def _score(upstream: ids.UpstreamId, vm: ids.VmId) -> bytes:
    return hashlib.blake2b(f"quota/{upstream}/{vm}".encode(), digest_size=8).digest()
