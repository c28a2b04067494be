"""Keeps the quotas of client accounts: holds grants for this router and issues its parts.

Accounts without a quota never reach this service.
"""

import collections
import collections.abc
import itertools
import math
import random

import trio

from cicadapier._internal.decisions.account_quotas import holder
from cicadapier._internal.decisions.account_quotas import issuer
from cicadapier._internal.decisions.account_quotas import issuers
from cicadapier._internal.decisions.account_quotas import messages
from cicadapier._internal.decisions.account_quotas import terms as account_terms
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.kernel import service
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.services import names
from cicadapier._internal.services import peers_service
from cicadapier._internal.services import telemetry_service
from cicadapier._internal.services.account_quotas import quota_sources
from cicadapier._internal.services.account_quotas import waiting

PATIENCE_S = 0.15  # Longest wait of a request for quota.
# A second run completes an answer that has been paid for, so it waits longer.
REPEAT_PATIENCE_S = 1.0
# A router that has just started does not know the others yet.
START_PATIENCE_S = 1.0
START_POLL_S = 0.02  # Parts of quotas count from when the routers are known.
LAST_WAIT_S = 0.05  # Further wait of a request if there is quota within this time.
SWEEP_INTERVAL_S = 5.0
MIN_WAKEUP_S = 0.005
MAX_ENTRIES = 64  # Accounts in one message.


class OutboxFilled:
    """There are requests for grants to send."""


Message = OutboxFilled | messages.QuotaRequest | messages.QuotaAnswer


class AccountQuotasService(service.Service):
    """Holds and issues quotas of accounts.

    Attributes:
        mailbox: Messages of other routers.
    """

    name = names.ACCOUNT_QUOTAS

    def __init__(
        self,
        vm: ids.VmId,
        quota_settings: settings.AccountQuotas,
        clock: collections.abc.Callable[[], float],
        rng: random.Random,
        source: quota_sources.QuotaSource | None = None,
    ) -> None:
        """Creates the service.

        Args:
            vm: VM of this router.
            quota_settings: What may run beyond the quotas.
            clock: Clock in seconds that also advances while the VM is suspended.
            rng: Source of the first number of a request, so that no answer to the process before
                is taken for one to this process.
            source: Declares the quotas; by default those of forwarded requests.
        """
        self.mailbox: mailbox.Mailbox[Message] = mailbox.Mailbox()
        self._vm = vm
        self._allowance = make_allowance(quota_settings)
        self._clock = clock
        self._source = source or quota_sources.DeclaredQuotas()
        self._issuer = issuer.Issuer()
        self._views = issuers.Views()
        self._viewed: dict[ids.VmId, ids.Address] | None = None
        self._patient_until: float | None = None  # For all requests together.
        self._accounts: dict[ids.AccountId, waiting.AccountState] = {}
        self._waiting: set[ids.AccountId] = set()
        self._numbers = itertools.count(rng.getrandbits(62))
        self._outbox: dict[ids.VmId, list[messages.Ask]] = collections.defaultdict(list)
        self._swept_at = clock()

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._source.start(kernel)
        self._peers: peers_service.PeersService = kernel.find(names.PEERS)
        self._telemetry: telemetry_service.TelemetryService = kernel.find(names.TELEMETRY)
        self._peers.set_account_quota_sink(self)
        task_status.started()
        while True:
            message = await self.mailbox.receive_until(self._next_wakeup())
            now = self._clock()
            self._refresh_view(now)
            self._sweep(now)
            if isinstance(message, messages.QuotaRequest):
                await self._answer(message, now)
            elif isinstance(message, messages.QuotaAnswer):
                self._record_answer(message, now)
            self._look_after_waiting(now)
            await self._flush_outbox()

    def reload(self, cfg: settings.Settings) -> None:
        """See `service.Service.reload`."""
        if cfg.forwarding:
            self._allowance = make_allowance(cfg.forwarding.quotas)

    async def take(
        self,
        account: ids.AccountId,
        quota: configuration.AccountQuota,
        cost: float,
        is_repeat: bool,
        may_wait: bool = True,
    ) -> waiting.Ticket | waiting.Denied | waiting.Unknown:
        """Takes quota for one send, after a short wait if there is none now.

        Args:
            account: The client account.
            quota: Its quota.
            cost: Requests or tokens.
            is_repeat: Whether the request may have run before.
            may_wait: Whether it may wait for quota; a hedge must not go before first sends.
        """
        state = self._state(account, quota)
        label = self._telemetry.account_label(account)
        now = self._clock()
        self._telemetry.count_quota(label, "asked", cost)
        if cost > state.terms.window_total:
            self._telemetry.count_quota(label, "refused", cost)
            return waiting.Denied(None)
        state.holder.record_request(cost, now)
        if not self._issuers(state, now) and not await self._wait_for_issuers(state):
            self._telemetry.count_quota(label, "without_issuer", cost)
            return waiting.Unknown()
        now = self._clock()
        lots = None if state.waiters and not is_repeat else state.holder.take(cost, now)
        if lots is None and may_wait:
            lots = await self._wait(state, cost, is_repeat, now)
        else:
            self._ask(state, now)
        if lots is None:
            self._telemetry.count_quota(label, "refused", cost)
            now = self._clock()
            return waiting.Denied(state.holder.retry_wait_s(self._issuers(state, now), now))
        self._telemetry.count_quota(label, "admitted", cost)
        return waiting.Ticket(state.holder, lots)

    def is_usable(self, ticket: waiting.Ticket) -> bool:
        """Returns whether a request may be sent now with quota that it took before."""
        return ticket.is_usable(self._clock())

    def window_total(self, quota: configuration.AccountQuota) -> float:
        """Returns the largest sum of costs that a quota allows in a window."""
        return waiting.make_terms(quota, self._allowance).window_total

    async def _wait_for_issuers(self, state: waiting.AccountState) -> bool:
        """Waits until the issuers of a quota are known; returns whether they are."""
        if self._patient_until is None:
            self._patient_until = trio.current_time() + START_PATIENCE_S
        while trio.current_time() < self._patient_until:
            await trio.sleep(START_POLL_S)
            if self._issuers(state, self._clock()):
                return True
        return False

    async def _wait(
        self, state: waiting.AccountState, cost: float, is_repeat: bool, now: float
    ) -> list[holder.Lot] | None:
        waiter = waiting.Waiter(cost, is_repeat)
        state.add(waiter)
        self._waiting.add(state.account)
        try:
            self._ask(state, now)
            # Wakes the service, which looks after the requests that wait.
            self.mailbox.try_send(OutboxFilled())
            with trio.move_on_after(REPEAT_PATIENCE_S if is_repeat else PATIENCE_S):
                await waiter.ended.wait()
            now = self._clock()
            if state.holder.retry_wait_s(self._issuers(state, now), now) <= LAST_WAIT_S:
                # No caller can come back sooner than that.
                with trio.move_on_after(LAST_WAIT_S):
                    await waiter.ended.wait()
        except trio.Cancelled:
            state.holder.give_back(waiter.lots or [])
            raise
        finally:
            state.remove(waiter)
            if not state.waiters:
                self._waiting.discard(state.account)
        return waiter.lots

    def _state(
        self, account: ids.AccountId, quota: configuration.AccountQuota
    ) -> waiting.AccountState:
        state = self._accounts.get(account)
        if state is None:
            state = waiting.AccountState(account, holder.Holder(account, self._vm))
            self._accounts[account] = state
        state.set_quota(quota, self._allowance)
        return state

    def _refresh_view(self, now: float) -> issuers.Ring:
        routers = self._source.routers(now)
        if routers is not self._viewed and routers:
            self._viewed = routers
            self._views.set_routers(routers, now)
        return self._views.current

    def _issuers(self, state: waiting.AccountState, now: float) -> list[ids.VmId]:
        ring = self._refresh_view(now)
        if state.ring is not ring:
            state.ring = ring
            state.issuers = ring.issuers(state.account, state.terms.issuer_count(ring.size))
        return state.issuers

    def _ask(self, state: waiting.AccountState, now: float) -> None:
        """Requests the grants that are due; those of this router are issued at once."""
        found = self._issuers(state, now)
        if not found:
            return
        for _ in range(2):  # What this router cannot grant itself is asked of others at once.
            part = state.terms.capacity / len(found)
            asks = state.holder.due_asks(found, part, state.wanted(), self._numbers, now)
            for vm, ask in asks:
                if vm != self._vm:
                    self._outbox[vm].append(ask)
                    self.mailbox.try_send(OutboxFilled())
                    continue
                grant = self._grant(vm, ask, now)
                if grant is not None:
                    state.holder.record_grant(grant, vm, now)
            state.serve(now)
            if not any(vm == self._vm for vm, _ in asks):
                break
        state.dismiss(found, PATIENCE_S, now)
        for vm in state.holder.take_silent():
            self._telemetry.count_silent_issuer(vm)

    def _grant(self, vm: ids.VmId, ask: messages.Ask, now: float) -> messages.Grant | None:
        """Answers a request; None if this router does not issue the quota."""
        quota = self._source.find_quota(ask.account)
        if quota is None:
            return None
        self._refresh_view(now)
        terms = waiting.make_terms(quota, self._allowance)
        since = self._views.issuer_since(ask.account, self._vm, terms.issuer_count)
        if math.isinf(since):
            return None
        count = terms.issuer_count(self._views.current.size)
        return self._issuer.grant(vm, ask, terms, count, since, now)

    async def _answer(self, request: messages.QuotaRequest, now: float) -> None:
        grants = [self._grant(request.sender, ask, now) for ask in request.asks]
        found = tuple(grant for grant in grants if grant is not None)
        if found:
            answer = messages.QuotaAnswer(self._vm, found)
            await self._peers.send_datagram([request.reply_to], answer)

    def _record_answer(self, answer: messages.QuotaAnswer, now: float) -> None:
        for grant in answer.grants:
            state = self._accounts.get(grant.account)
            if state is not None:
                state.holder.record_grant(grant, answer.issuer, now)
                state.serve(now)
                if state.waiters:
                    self._waiting.add(state.account)

    def _look_after_waiting(self, now: float) -> None:
        for account in list(self._waiting):
            state = self._accounts[account]
            state.serve(now)
            self._ask(state, now)

    async def _flush_outbox(self) -> None:
        outbox, self._outbox = self._outbox, collections.defaultdict(list)
        for vm, asks in outbox.items():
            address = self._source.routers(self._clock()).get(vm)
            if address is None:
                continue
            for begin in range(0, len(asks), MAX_ENTRIES):
                request = messages.QuotaRequest(
                    self._vm, self._peers.address, tuple(asks[begin : begin + MAX_ENTRIES])
                )
                await self._peers.send_datagram([address], request)

    def _next_wakeup(self) -> float:
        """Returns the time of trio's clock at which something is due."""
        if not self._views.current.size:
            return trio.current_time() + START_POLL_S
        if not self._waiting:
            return math.inf
        now = self._clock()
        changes = [
            state.holder.next_change_at(state.issuers, now)
            for state in (self._accounts[account] for account in self._waiting)
        ]
        return trio.current_time() + max(MIN_WAKEUP_S, min(changes) - now)

    def _sweep(self, now: float) -> None:
        """Forgets what is not in use, so that memory grows with the accounts in use alone."""
        if now - self._swept_at < SWEEP_INTERVAL_S:
            return
        self._swept_at = now
        self._issuer.drop_idle(now)
        for account, state in list(self._accounts.items()):
            if not state.waiters and state.holder.is_idle(now):
                del self._accounts[account]
                self._telemetry.record_quota_held(self._telemetry.account_label(account), 0.0)
            else:
                label = self._telemetry.account_label(account)
                self._telemetry.record_quota_held(label, state.holder.held(now))


def make_allowance(quota_settings: settings.AccountQuotas) -> account_terms.Allowance:
    """Returns what may run beyond quotas, as settings declare it."""
    return account_terms.Allowance(
        quota_settings.window_s, quota_settings.overage, quota_settings.slack
    )
