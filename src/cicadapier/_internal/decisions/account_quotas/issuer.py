"""Issues parts of the quotas of accounts to the routers that ask for them.

Load pattern: routers ask together for many times what there is. The part is then split by what
their callers ask of them, and they ask again at a pace that does not grow with their number.
"""

import math

from cicadapier._internal.decisions.account_quotas import messages
from cicadapier._internal.decisions.account_quotas import terms as account_terms
from cicadapier._internal.models import ids

DEMAND_LIFETIME_S = 2.0  # A router that has not asked for this time shares no more.
MIN_PACE_S = 0.05
MAX_PACE_S = 0.25  # Less than the lifetime of grants, so that what is asked for lasts until then.
UNKNOWN_WAIT_S = 10.0
PACE_S_PER_ROUTER = 0.005
_TOLERANCE = 1e-9


class _Part:
    """This issuer's part of the quota of one account."""

    def __init__(self, rate_per_s: float, capacity: float, since: float) -> None:
        self.since = since
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        # Starts empty and earns its burst, as another router may have issued it until then.
        self._level = 0.0
        self._updated_at = since
        self._demands: dict[ids.VmId, float] = {}
        self._asked_at: dict[ids.VmId, float] = {}

    def set_terms(self, rate_per_s: float, capacity: float, now: float) -> None:
        """Changes the part from now on."""
        self._refill(now)
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self._level = min(self._level, capacity)

    def is_idle(self, now: float) -> bool:
        """Returns whether a new part would be in the same state."""
        self._refill(now)
        self._expire(now)
        return not self._demands and self._level >= self.capacity - _TOLERANCE

    def grant(self, vm: ids.VmId, ask: messages.Ask, now: float) -> messages.Grant:
        """Answers a request of a router."""
        self._refill(now)
        # Removed first, so that the order is that of the last requests.
        self._asked_at.pop(vm, None)
        self._asked_at[vm] = now
        self._demands[vm] = max(0.0, ask.demand_per_s)
        self._expire(now)
        # What exceeds the capacity can be had once the part is full, and leaves a debt.
        threshold = min(ask.least, self.capacity)
        if self._level < threshold - _TOLERANCE:
            missing = threshold - self._level
            wait_s = missing / self.rate_per_s if self.rate_per_s > 0 else UNKNOWN_WAIT_S
            return messages.Grant(ask.account, ask.number, 0.0, max(wait_s, self._pace_s()))
        amount = self._whole_amount(vm, ask)
        self._level -= amount
        wait_s = 0.0 if amount >= ask.amount - _TOLERANCE else self._pace_s()
        return messages.Grant(ask.account, ask.number, amount, wait_s)

    def _whole_amount(self, vm: ids.VmId, ask: messages.Ask) -> float:
        """Returns the amount to grant: what is asked, or whole multiples of what is of use."""
        share = self._share(vm)
        if share >= ask.amount or ask.least <= 0:
            return min(ask.amount, max(0.0, share))
        return ask.least * max(1, math.floor(share / ask.least))

    def _share(self, vm: ids.VmId) -> float:
        total = sum(self._demands.values())
        if total <= self.rate_per_s:
            return self._level
        return self._level * self._demands[vm] / total

    def _pace_s(self) -> float:
        return min(MAX_PACE_S, max(MIN_PACE_S, PACE_S_PER_ROUTER * len(self._demands)))

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = max(self._updated_at, now)
        self._level = min(self.capacity, self._level + elapsed_s * self.rate_per_s)

    def _expire(self, now: float) -> None:
        for vm, asked_at in list(self._asked_at.items()):
            if now - asked_at < DEMAND_LIFETIME_S:
                break
            del self._asked_at[vm], self._demands[vm]


class Issuer:
    """All parts of quotas that this router issues; only those in use take memory."""

    def __init__(self) -> None:
        self._parts: dict[ids.AccountId, _Part] = {}

    def grant(
        self,
        vm: ids.VmId,
        ask: messages.Ask,
        terms: account_terms.Terms,
        issuers: int,
        since: float,
        now: float,
    ) -> messages.Grant:
        """Answers a request of a router.

        Args:
            vm: The router.
            ask: Its request.
            terms: The quota of the account as this router knows it.
            issuers: Number of routers that issue parts of it.
            since: Time since which this router is one of them.
            now: Current time.
        """
        rate_per_s, capacity = terms.rate_per_s / issuers, terms.capacity / issuers
        part = self._parts.get(ask.account)
        if part is None or part.since != since:
            part = self._parts[ask.account] = _Part(rate_per_s, capacity, since)
        elif (part.rate_per_s, part.capacity) != (rate_per_s, capacity):
            part.set_terms(rate_per_s, capacity, now)
        return part.grant(vm, ask, now)

    def drop_idle(self, now: float) -> None:
        """Forgets the parts that a new one would equal."""
        for account in [a for a, part in self._parts.items() if part.is_idle(now)]:
            del self._parts[account]

    def __len__(self) -> int:
        return len(self._parts)
