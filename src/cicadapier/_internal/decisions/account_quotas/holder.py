"""The quota of one account that a router holds, and the requests for more.

Load pattern: at calm a request finds a grant or gets one in a round trip; beyond the quota all
issuers have said when to ask again, so requests are refused at once and cost no message.
"""

import collections
import collections.abc
import dataclasses
import math

from cicadapier._internal.decisions import limits
from cicadapier._internal.decisions.account_quotas import messages
from cicadapier._internal.decisions.account_quotas import terms as account_terms
from cicadapier._internal.models import ids

DEMAND_WINDOW_S = 0.5
PREFETCH_S = 0.25  # Grants are requested for the demand of this time ahead.
MIN_PREFETCHED_REQUESTS = 2.0  # Less frequent requests ask for themselves; nothing is lost then.
REFILL_SHARE = 0.5  # Of the prefetch; with more held, none is requested.
ANSWER_TIMEOUT_S = 0.08  # Then another issuer is asked.
SILENT_PACE_S = 0.25  # Time until an issuer that did not answer is asked again.
# An issuer that has less than a large request needs is asked for small ones after this time.
MAX_PAUSE_S = 0.25
IDLE_AFTER_S = 5.0
_TOLERANCE = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class Lot:
    """Quota from one grant.

    Attributes:
        amount: Requests or tokens.
        expires_at: Time at which it is lost.
    """

    amount: float
    expires_at: float


@dataclasses.dataclass(slots=True)
class _OpenAsk:
    issuer: ids.VmId
    amount: float
    asked_at: float
    waited_for: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """Requests that wait for quota.

    Attributes:
        total: Sum of their costs.
        largest: Largest of their costs.
    """

    total: float = 0.0
    largest: float = 0.0


class Holder:
    """Quota of one account that one router holds.

    The lifetime of a grant counts from its request, on a clock that also advances while the VM is
    suspended. So a grant that was delayed anywhere is never used late.

    Attributes:
        lifetime_s: Lifetime of grants.
    """

    def __init__(self, account: ids.AccountId, vm: ids.VmId) -> None:
        self._account = account
        self._vm = vm
        self._lots: collections.deque[Lot] = collections.deque()
        self._asks: dict[int, _OpenAsk] = {}
        self._next_ask_at: dict[ids.VmId, float] = {}
        self._more_at: dict[ids.VmId, float] = {}
        self._demand = limits.DecayingRate(DEMAND_WINDOW_S)
        self._mean_cost = 0.0
        self._turn = 0
        self._used_at = -math.inf
        self._silent: list[ids.VmId] = []
        self.lifetime_s = account_terms.MIN_GRANT_LIFETIME_S

    def record_request(self, cost: float, now: float) -> None:
        """Records the request of a caller."""
        self._used_at = now
        self._demand.add(cost, now)
        self._mean_cost = self._mean_cost * 0.9 + cost * 0.1 if self._mean_cost else cost

    def held(self, now: float) -> float:
        """Returns the quota that can be used now."""
        self._lots = collections.deque(lot for lot in self._lots if lot.expires_at > now)
        return sum(lot.amount for lot in self._lots)

    def take(self, cost: float, now: float) -> list[Lot] | None:
        """Uses quota for one send; returns what it used, None if there is not enough."""
        if self.held(now) < cost - _TOLERANCE:
            return None
        used: list[Lot] = []
        missing = cost
        while missing > _TOLERANCE and self._lots:
            lot = self._lots.popleft()
            part = min(lot.amount, missing)
            missing -= part
            used.append(Lot(part, lot.expires_at))
            if lot.amount - part > _TOLERANCE:
                self._lots.appendleft(Lot(lot.amount - part, lot.expires_at))
        return used

    def give_back(self, used: collections.abc.Iterable[Lot]) -> None:
        """Returns the quota of a send that certainly did not run; it still expires in time."""
        self._lots.extend(used)

    def record_grant(self, grant: messages.Grant, issuer: ids.VmId, now: float) -> bool:
        """Records an answer; returns whether it brought quota that can be used.

        Answers to unknown requests, such as those of the process before, are ignored.
        """
        ask = self._asks.get(grant.number)
        if ask is None or ask.issuer != issuer:
            return False
        del self._asks[grant.number]
        self._next_ask_at[issuer] = now + min(grant.wait_s, MAX_PAUSE_S)
        self._more_at[issuer] = now + grant.wait_s
        expires_at = ask.asked_at + self.lifetime_s
        if grant.amount <= 0 or expires_at <= now:
            return False
        self._lots.append(Lot(grant.amount, expires_at))
        return True

    def due_asks(
        self,
        issuers: collections.abc.Sequence[ids.VmId],
        part_capacity: float,
        waiting: Waiting,
        numbers: collections.abc.Iterator[int],
        now: float,
    ) -> list[tuple[ids.VmId, messages.Ask]]:
        """Returns the requests for grants to send now, by issuer.

        Args:
            issuers: Routers that issue the quota.
            part_capacity: Capacity of the part of each.
            waiting: Requests that wait for quota.
            numbers: Source of the numbers of requests.
            now: Current time.
        """
        self._time_out(now)
        self._forget_others(issuers)
        wanted = self._wanted(waiting, now)
        free = self._free_issuers(issuers, now)
        if wanted <= _TOLERANCE or not free:
            return []
        # More than a caller's single request could never be of use beside what is held.
        cost = max(waiting.largest or self._mean_cost, _TOLERANCE)
        chosen = self._choose(free, wanted, cost, part_capacity)
        amount = wanted / len(chosen)
        least = min(amount, cost)
        asks = []
        demand_per_s = self._demand.per_s(now) / len(issuers)
        for issuer in chosen:
            number = next(numbers)
            self._asks[number] = _OpenAsk(issuer, amount, now)
            asks.append((issuer, messages.Ask(self._account, number, amount, least, demand_per_s)))
        return asks

    def is_hopeless(self, issuers: collections.abc.Sequence[ids.VmId], now: float) -> bool:
        """Returns whether no answer is expected and no issuer may be asked now."""
        self._time_out(now)
        is_waiting = any(ask.waited_for for ask in self._asks.values())
        return not is_waiting and not self._free_issuers(issuers, now)

    def next_change_at(self, issuers: collections.abc.Sequence[ids.VmId], now: float) -> float:
        """Returns when to look again while requests wait."""
        times = [a.asked_at + ANSWER_TIMEOUT_S for a in self._asks.values() if a.waited_for]
        times += [self._next_ask_at[vm] for vm in issuers if self._next_ask_at.get(vm, now) > now]
        return min(times, default=math.inf)

    def retry_wait_s(self, issuers: collections.abc.Sequence[ids.VmId], now: float) -> float:
        """Returns the time until an issuer may have more."""
        times = [max(self._more_at.get(vm, now), self._next_ask_at.get(vm, now)) for vm in issuers]
        return max(0.0, min(times) - now) if times else SILENT_PACE_S

    def take_silent(self) -> list[ids.VmId]:
        """Returns the issuers that left a request unanswered since the last call."""
        silent, self._silent = self._silent, []
        return silent

    @property
    def remembered_issuers(self) -> int:
        """Number of issuers whose pauses are remembered."""
        return len(self._next_ask_at)

    def is_idle(self, now: float) -> bool:
        """Returns whether the account has not been used for a while."""
        return now - self._used_at > IDLE_AFTER_S

    def _wanted(self, waiting: Waiting, now: float) -> float:
        prefetch = self._demand.per_s(now) * PREFETCH_S
        if prefetch < MIN_PREFETCHED_REQUESTS * self._mean_cost:
            prefetch = 0.0
        coming = sum(ask.amount for ask in self._asks.values() if ask.waited_for)
        available = self.held(now) + coming
        if not waiting.total and available >= REFILL_SHARE * prefetch:
            return 0.0
        return waiting.total + prefetch - available

    def _free_issuers(
        self, issuers: collections.abc.Sequence[ids.VmId], now: float
    ) -> list[ids.VmId]:
        asked = {ask.issuer for ask in self._asks.values() if ask.waited_for}
        return [
            vm for vm in issuers if vm not in asked and self._next_ask_at.get(vm, -math.inf) <= now
        ]

    def _choose(
        self, free: list[ids.VmId], wanted: float, cost: float, part_capacity: float
    ) -> list[ids.VmId]:
        """Returns the issuers to ask: one for a small need, so that no part of it is useless."""
        count = len(free)
        if cost <= part_capacity:
            is_small = wanted <= part_capacity / 2
            count = 1 if is_small else max(1, min(count, math.floor(wanted / cost + _TOLERANCE)))
        if count == 1 and self._vm in free:
            return [self._vm]
        self._turn += 1
        start = self._turn % len(free)
        return (free[start:] + free[:start])[:count]

    def _time_out(self, now: float) -> None:
        for number, ask in list(self._asks.items()):
            if now - ask.asked_at >= self.lifetime_s:
                del self._asks[number]
            elif ask.waited_for and now - ask.asked_at >= ANSWER_TIMEOUT_S - _TOLERANCE:
                ask.waited_for = False
                self._next_ask_at[ask.issuer] = now + SILENT_PACE_S
                self._silent.append(ask.issuer)

    def _forget_others(self, issuers: collections.abc.Sequence[ids.VmId]) -> None:
        """Forgets the pauses of routers that issue the quota no more."""
        if len(self._next_ask_at) <= len(issuers):
            return
        for vm in self._next_ask_at.keys() - set(issuers):
            del self._next_ask_at[vm]
            self._more_at.pop(vm, None)
