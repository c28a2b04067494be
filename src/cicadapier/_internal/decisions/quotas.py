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
GRANT_S = 0.5  # A grant that is not used within this time is lost.
BURST_S = 0.25
REFRESH_S = 1.0
ROUTERS_PER_REFRESH_S = 100  # More routers ask less often.
KEPT_REFRESHES = 2.5  # A request that is not refreshed for so long is dropped.


def ranked(upstream: ids.UpstreamId, routers: collections.abc.Iterable[ids.VmId]) -> list[ids.VmId]:
    """Returns the routers that may issue grants for an upstream, by rendezvous hashing."""
    return sorted(routers, key=lambda vm: _score(upstream, vm))[:MAX_ISSUERS]


def issuer_count(per_s: float) -> int:
    """Returns how many of them issue grants for a limit."""
    return MAX_ISSUERS if per_s >= MAX_ISSUERS else MIN_ISSUERS


def refresh_s(routers: int) -> float:
    """Returns how often a router repeats its requests in a fleet of a size."""
    return max(REFRESH_S, routers / ROUTERS_PER_REFRESH_S)


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Grants that a router wants for one upstream, the most urgent kind first.

    Attributes:
        control: For orders and reports, which bring new weights in time.
        waiting: For requests that wait for nothing else.
        spare: For requests that may come, and could go elsewhere as well.
    """

    control: int = 0
    waiting: int = 0
    spare: int = 0

    @property
    def total(self) -> int:
        """Grants of all kinds."""
        return self.control + self.waiting + self.spare

    def split(self, parts: int, first: int) -> "list[Demand]":
        """Returns a part for each issuer; what is urgent is asked of all of them.

        Args:
            parts: Number of issuers.
            first: The one that gets the first unit.
        """
        waiting = _spread(self.waiting, parts, first)
        spare = _spread(self.spare, parts, first + self.waiting)
        pairs = zip(waiting, spare, strict=True)
        return [Demand(self.control, some, others) for some, others in pairs]

    def granted(self, count: int) -> "Demand":
        """Returns what is left after some grants, the most urgent kind served first."""
        control = min(count, self.control)
        waiting = min(count - control, self.waiting)
        spare = min(count - control - waiting, self.spare)
        return Demand(self.control - control, self.waiting - waiting, self.spare - spare)

    def exceeds(self, other: "Demand") -> bool:
        """Returns whether more of any kind is wanted."""
        more = self.control > other.control or self.waiting > other.waiting
        return more or self.spare > other.spare


@dataclasses.dataclass(frozen=True, slots=True)
class Wanted:
    """What a router asks of an issuer for one upstream.

    Attributes:
        limit: The limit as that router knows it.
        demand: What it wants; it replaces what it wanted before.
    """

    limit: rate_limits.ToldLimit
    demand: Demand


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Asks an issuer for grants.

    Attributes:
        sender: Router that asks.
        reply_to: Its peer address.
        wanted: What it wants.
    """

    sender: ids.VmId
    reply_to: ids.Address
    wanted: tuple[Wanted, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Lets a router send some requests to an upstream.

    Attributes:
        issuer: Router that issues it.
        limit: The limit as the issuer knows it.
        count: Number of requests.
    """

    issuer: ids.VmId
    limit: rate_limits.ToldLimit
    count: int


class Grants:
    """Grants that a router holds for one upstream."""

    def __init__(self) -> None:
        self._until: collections.deque[float] = collections.deque()

    def add(self, count: int, until: float) -> None:
        """Takes grants that may be used until a time."""
        self._until.extend([until] * count)

    def held(self, now: float) -> int:
        """Returns how many there are."""
        while self._until and self._until[0] <= now:
            self._until.popleft()
        return len(self._until)

    def use(self, now: float) -> bool:
        """Uses one; returns whether there was one."""
        if not self.held(now):
            return False
        self._until.popleft()
        return True


class Asker:
    """What a router asks of the issuers of one upstream.

    Each unit is asked of one issuer, so that no two issue a grant for the same request; another
    one is asked where none came.
    """

    def __init__(self, own: ids.VmId) -> None:
        self._turn = int.from_bytes(_score(ids.UpstreamId(""), own), "big")
        self._told: dict[ids.VmId, Demand] = {}
        self._refreshed_at = -math.inf

    def ask(
        self, chosen: collections.abc.Sequence[ids.VmId], demand: Demand, now: float, every_s: float
    ) -> dict[ids.VmId, Demand]:
        """Returns what to tell which issuers now.

        Args:
            chosen: The issuers.
            demand: Grants that are wanted beside those that are held.
            now: Present time.
            every_s: Time after which all is told again.
        """
        if not chosen:
            return {}
        old = now - self._refreshed_at >= every_s
        if old:
            self._refreshed_at = now
            self._turn += 1
        parts = demand.split(len(chosen), self._turn)
        found = {}
        for vm, part in zip(chosen, parts, strict=True):
            told = self._told.get(vm, Demand())
            again = old and part.total
            over = told.total and not part.total
            if again or over or part.exceeds(told):
                found[vm] = part
                self._told[vm] = part
        return found

    def granted(self, issuer: ids.VmId, count: int) -> None:
        """Takes it that an issuer has sent some grants."""
        self._told[issuer] = self._told.get(issuer, Demand()).granted(count)


_Turns = collections.OrderedDict[ids.VmId, int]


class _Limited:
    """An upstream for which this router issues its part of the grants."""

    def __init__(self, per_s: float, now: float) -> None:
        self.bucket = limits.TokenBucket(per_s, now, BURST_S)
        # Another router may have issued until now, so nothing is there at first.
        self.bucket.empty()
        self._kept_until: dict[ids.VmId, float] = {}
        # Grants that each router waits for, by urgency; who waits longest is first.
        self._control: _Turns = collections.OrderedDict()
        self._waiting: _Turns = collections.OrderedDict()
        self._spare: _Turns = collections.OrderedDict()

    @property
    def waiting(self) -> list[ids.VmId]:
        """The routers that wait."""
        return list(self._kept_until)

    def want(self, vm: ids.VmId, demand: Demand, until: float) -> None:
        """Takes what a router wants until a time; it keeps its turn."""
        self._kept_until[vm] = until
        _set(self._control, vm, demand.control)
        _set(self._waiting, vm, demand.waiting)
        _set(self._spare, vm, demand.spare)
        if not demand.total:
            del self._kept_until[vm]

    def expire(self, now: float) -> None:
        """Drops the routers that have lost interest."""
        for vm in [vm for vm, until in self._kept_until.items() if until <= now]:
            self.want(vm, Demand(), now)

    def grant(self) -> ids.VmId | None:
        """Counts a grant for the router whose turn it is, and returns it; None where none waits."""
        lane = self._control or self._waiting or self._spare
        if not lane:
            return None
        vm = next(iter(lane))
        _set(lane, vm, lane[vm] - 1)
        if vm in lane:
            lane.move_to_end(vm)
        elif not any(vm in other for other in (self._control, self._waiting, self._spare)):
            del self._kept_until[vm]
        self.bucket.take(1.0)
        return vm


@dataclasses.dataclass(frozen=True, slots=True)
class Issued:
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
        self._limited: dict[ids.UpstreamId, _Limited] = {}

    def wanted(
        self,
        vm: ids.VmId,
        upstream: ids.UpstreamId,
        demand: Demand,
        per_s: float,
        now: float,
        kept_s: float,
    ) -> None:
        """Takes what a router wants; it replaces what it wanted before.

        Args:
            vm: The router.
            upstream: The upstream.
            demand: What it wants.
            per_s: This router's part of the limit.
            now: Present time.
            kept_s: Time for which the demand stands.
        """
        limited = self._limited.get(upstream)
        if limited is None:
            limited = self._limited[upstream] = _Limited(per_s, now)
        limited.bucket.set_rate(per_s, now)
        limited.want(vm, demand, now + kept_s)

    def limited(self, upstream: ids.UpstreamId, per_s: float, now: float) -> None:
        """Takes another rate for an upstream for which this router issues."""
        found = self._limited.get(upstream)
        if found is not None:
            found.bucket.set_rate(per_s, now)

    def waiting(self, upstream: ids.UpstreamId) -> list[ids.VmId]:
        """Returns the routers that wait for grants for an upstream."""
        limited = self._limited.get(upstream)
        return limited.waiting if limited else []

    def forget(self, upstream: ids.UpstreamId) -> None:
        """Issues no more for an upstream."""
        self._limited.pop(upstream, None)

    def upstreams(self) -> list[ids.UpstreamId]:
        """Returns the upstreams for which this router issues."""
        return list(self._limited)

    def issue(self, now: float) -> list[Issued]:
        """Returns the grants that are due now, one entry a router and upstream."""
        counts: collections.Counter[tuple[ids.VmId, ids.UpstreamId]] = collections.Counter()
        for upstream, limited in self._limited.items():
            limited.expire(now)
            while limited.bucket.wait_s(1.0, now) == 0 and (vm := limited.grant()) is not None:
                counts[vm, upstream] += 1
        return [Issued(vm, upstream, count) for (vm, upstream), count in counts.items()]

    def next_at(self, now: float) -> float:
        """Returns when something may be due, infinite where nobody waits."""
        waits = [x.bucket.wait_s(1.0, now) for x in self._limited.values() if x.waiting]
        return now + min(waits, default=math.inf)


def _set(turns: "_Turns", vm: ids.VmId, count: int) -> None:
    if count:
        turns[vm] = count
    else:
        turns.pop(vm, None)


def _spread(count: int, parts: int, first: int) -> list[int]:
    """Returns a number in parts that differ by one at most, the larger ones from `first` on."""
    least, rest = divmod(count, parts)
    return [least + ((part - first) % parts < rest) for part in range(parts)]


def _score(upstream: ids.UpstreamId, vm: ids.VmId) -> bytes:
    return hashlib.blake2b(f"quota/{upstream}/{vm}".encode(), digest_size=8).digest()
