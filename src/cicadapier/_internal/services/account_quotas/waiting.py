"""Requests of one account that wait for quota, and what they get."""

import collections
import collections.abc
import dataclasses

import trio

from cicadapier._internal.decisions.account_quotas import holder as quota_holder
from cicadapier._internal.decisions.account_quotas import issuers as quota_issuers
from cicadapier._internal.decisions.account_quotas import terms as account_terms
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes

UNKNOWN_RETRY_S = 1.0
USUAL_TOKENS = 8_192.0  # Of a request with a long prompt, which a part of a quota has to hold.


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """There is no quota.

    Attributes:
        retry_after_s: Time after which there may be some; None if the request exceeds what may run
            in a whole window.
    """

    retry_after_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """This router does not know yet which routers issue the quota."""


class Ticket:
    """Quota for one send."""

    def __init__(self, holder: quota_holder.Holder, lots: list[quota_holder.Lot]) -> None:
        self._holder = holder
        self._lots = lots

    def is_usable(self, now: float) -> bool:
        """Returns whether a send that begins now is still one of those that the quota allows."""
        return all(lot.expires_at + account_terms.SEND_DELAY_S > now for lot in self._lots)

    def give_back(self) -> None:
        """Gives the quota back, if the request certainly did not run."""
        lots, self._lots = self._lots, []
        self._holder.give_back(lots)


class Waiter:
    """A request that waits for quota.

    Attributes:
        cost: Requests or tokens that it needs.
        is_repeat: Whether it may have run before.
        ended: Set at the end of the wait.
        lots: What it got; None if nothing.
    """

    def __init__(self, cost: float, is_repeat: bool) -> None:
        self.cost = cost
        self.is_repeat = is_repeat
        self.ended = trio.Event()
        self.lots: list[quota_holder.Lot] | None = None


class AccountState:
    """What this router holds and waits for of one account's quota.

    Attributes:
        account: The client account.
        holder: Quota that this router holds.
        terms: Terms of the quota.
        waiters: Requests that wait, repeats first.
        ring: Set of routers that `issuers` was chosen from.
        issuers: Routers that issue the quota.
    """

    def __init__(self, account: ids.AccountId, holder: quota_holder.Holder) -> None:
        self.account = account
        self.holder = holder
        self.terms = account_terms.Terms(0.0, 0.0, 1.0, account_terms.Allowance())
        self.waiters: collections.deque[Waiter] = collections.deque()
        self.ring: quota_issuers.Ring | None = None
        self.issuers: list[ids.VmId] = []
        self._made_from: tuple[configuration.AccountQuota, account_terms.Allowance] | None = None

    def set_quota(
        self, quota: configuration.AccountQuota, allowance: account_terms.Allowance
    ) -> None:
        """Sets the quota in force."""
        if self._made_from != (quota, allowance):
            self._made_from = (quota, allowance)
            self.terms = make_terms(quota, allowance)
            self.holder.lifetime_s = self.terms.grant_lifetime_s
            self.ring = None

    def wanted(self) -> quota_holder.Waiting:
        """Returns what the requests that wait need."""
        costs = [waiter.cost for waiter in self.waiters]
        return quota_holder.Waiting(sum(costs), max(costs, default=0.0))

    def add(self, waiter: Waiter) -> None:
        """Adds a request that waits."""
        if waiter.is_repeat:
            self.waiters.appendleft(waiter)
        else:
            self.waiters.append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Removes a request, if it still waits."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)

    def serve(self, now: float) -> None:
        """Gives the requests that wait what is held, in their order."""
        while self.waiters:
            lots = self.holder.take(self.waiters[0].cost, now)
            if lots is None:
                return
            waiter = self.waiters.popleft()
            waiter.lots = lots
            waiter.ended.set()

    def dismiss(
        self, issuers: collections.abc.Sequence[ids.VmId], patience_s: float, now: float
    ) -> None:
        """Ends the wait of requests that cannot be served in time.

        While all issuers have said when to ask again, only as many wait as the quota allows in the
        time that they wait.
        """
        if not self.holder.is_hopeless(issuers, now):
            return
        room = 0.0
        if self.holder.retry_wait_s(issuers, now) <= patience_s:
            room = self.terms.rate_per_s * patience_s
        kept: collections.deque[Waiter] = collections.deque()
        for waiter in self.waiters:
            if waiter.is_repeat or room > 0:
                room -= waiter.cost
                kept.append(waiter)
            else:
                waiter.ended.set()
        self.waiters = kept


def unknown_refusal() -> outcomes.Refusal:
    """Returns the refusal of a request while the issuers of its quota are not known."""
    return outcomes.Refusal(
        outcomes.RefusalCode.NOT_READY,
        "this router does not know the other routers yet",
        retry_after_s=UNKNOWN_RETRY_S,
    )


def make_terms(
    quota: configuration.AccountQuota, allowance: account_terms.Allowance
) -> account_terms.Terms:
    """Returns the terms of a quota."""
    is_tokens = quota.unit is configuration.QuotaUnit.TOKENS
    unit_cost = USUAL_TOKENS if is_tokens else 1.0
    return account_terms.Terms(quota.rate_per_s, quota.burst, unit_cost, allowance)
