"""Rate limits of accounts over the routers of a replay; messages between them take no time."""

import collections.abc
import itertools

from cicadapier._internal.decisions.account_quotas import holder
from cicadapier._internal.decisions.account_quotas import issuer
from cicadapier._internal.decisions.account_quotas import issuers
from cicadapier._internal.decisions.account_quotas import messages
from cicadapier._internal.decisions.account_quotas import terms as account_terms
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.services.account_quotas import account_quotas_service
from cicadapier._internal.services.account_quotas import quota_sources
from cicadapier._internal.services.account_quotas import waiting

RAN_BEFORE_S = 10.0

IsReachable = collections.abc.Callable[[int, int], bool]


class _Router:
    """What one router holds and issues."""

    def __init__(self, vm: ids.VmId, since: float) -> None:
        self.vm = vm
        self.since = since
        self.issuer = issuer.Issuer()
        self.holders: dict[ids.AccountId, holder.Holder] = {}

    def holder(self, name: ids.AccountId) -> holder.Holder:
        """Returns the holder of a limit."""
        return self.holders.setdefault(name, holder.Holder(name, self.vm))


class ReplayLimits:
    """Holders and issuers of all routers of a replay."""

    def __init__(self, routers: int, is_reachable: IsReachable) -> None:
        """Creates routers that have run for a while.

        Args:
            routers: Number of routers.
            is_reachable: Returns whether two routers reach each other, given their positions.
        """
        self._is_reachable = is_reachable
        self._routers = [_Router(ids.VmId(str(index)), -RAN_BEFORE_S) for index in range(routers)]
        self._ring = issuers.Ring(router.vm for router in self._routers)
        self._allowance = account_quotas_service.make_allowance(quota_sources.LIMIT_ALLOWANCE)
        self._numbers = itertools.count(1)

    def restart(self, index: int, now: float) -> None:
        """Replaces a router by one without state."""
        self._routers[index] = _Router(self._routers[index].vm, now)

    def admit(
        self,
        index: int,
        account: ids.AccountId,
        limits: configuration.Limits,
        tokens: float,
        now: float,
    ) -> bool:
        """Charges a request at a router to the limits of its account, if they allow it."""
        charged: list[tuple[holder.Holder, list[holder.Lot]]] = []
        for unit, cost in (
            (configuration.QuotaUnit.REQUESTS, 1.0),
            (configuration.QuotaUnit.TOKENS, tokens),
        ):
            name = quota_sources.limit_name(account, unit)
            quota = quota_sources.quota_of_limit(limits, unit)
            terms = waiting.make_terms(quota, self._allowance)
            lots = self._take(index, name, terms, min(cost, terms.window_total), now)
            if lots is None:
                for found, used in charged:
                    found.give_back(used)
                return False
            charged.append((self._routers[index].holder(name), lots))
        return True

    def _take(
        self, index: int, name: ids.AccountId, terms: account_terms.Terms, cost: float, now: float
    ) -> list[holder.Lot] | None:
        found = self._routers[index].holder(name)
        found.lifetime_s = terms.grant_lifetime_s
        found.record_request(cost, now)
        lots = found.take(cost, now)
        wanted = holder.Waiting() if lots is not None else holder.Waiting(cost, cost)
        chosen = self._ring.issuers(name, terms.issuer_count(self._ring.size))
        part = terms.capacity / len(chosen)
        while asks := found.due_asks(chosen, part, wanted, self._numbers, now):
            for vm, ask in asks:
                self._ask(index, int(vm), ask, terms, len(chosen), now)
            if lots is not None or found.held(now) >= cost:
                break
        return found.take(cost, now) if lots is None else lots

    def _ask(
        self,
        index: int,
        asked: int,
        ask: messages.Ask,
        terms: account_terms.Terms,
        count: int,
        now: float,
    ) -> None:
        if not self._is_reachable(index, asked):
            return
        sender, other = self._routers[index], self._routers[asked]
        grant = other.issuer.grant(sender.vm, ask, terms, count, other.since, now)
        sender.holder(ask.account).record_grant(grant, other.vm, now)
