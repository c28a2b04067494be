"""Rate limits that one request of the native interface is charged to."""

from cicadapier._internal.decisions import retry_after
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import request_context
from cicadapier._internal.services.account_quotas import account_quotas_service
from cicadapier._internal.services.account_quotas import quota_sources
from cicadapier._internal.services.account_quotas import waiting

_REQUESTS = configuration.QuotaUnit.REQUESTS
_TOKENS = configuration.QuotaUnit.TOKENS


class RequestLimits:
    """Requests and tokens that one request takes of the limits of its account."""

    def __init__(
        self,
        service: account_quotas_service.AccountQuotasService,
        context: request_context.Context,
    ) -> None:
        self._service = service
        self._context = context
        self._tickets: list[waiting.Ticket] = []

    async def take(self, tokens: float) -> None:
        """Charges the request to its limits.

        Args:
            tokens: Tokens of its prompt and of its answer; 0 for a call without tokens.

        Raises:
            RefusedError: It exceeds a limit; nothing was charged.
        """
        taken = False
        try:
            await self._take(_REQUESTS, 1.0)
            if tokens > 0:
                await self._take(_TOKENS, tokens)
            taken = True
        finally:
            if not taken:
                self.give_back()

    def give_back(self) -> None:
        """Gives back what was charged, if the request certainly did not run."""
        tickets, self._tickets = self._tickets, []
        for ticket in tickets:
            ticket.give_back()

    async def _take(self, unit: configuration.QuotaUnit, cost: float) -> None:
        quota = quota_sources.quota_of_limit(self._context.spec.limits, unit)
        name = quota_sources.limit_name(self._context.account, unit)
        # A larger request is served as well: it waits until what there can be is there.
        cost = min(cost, self._service.window_total(quota))
        taken = await self._service.take(name, quota, cost, is_repeat=False)
        if isinstance(taken, waiting.Ticket):
            self._tickets.append(taken)
            return
        if isinstance(taken, waiting.Unknown):
            raise exceptions.RefusedError(waiting.unknown_refusal())
        raise exceptions.RefusedError(self._refusal(unit, taken))

    def _refusal(self, unit: configuration.QuotaUnit, denied: waiting.Denied) -> outcomes.Refusal:
        return outcomes.Refusal(
            outcomes.RefusalCode.RATE_LIMITED,
            f"the account's limit of {unit.value}_per_s is reached",
            retry_after_s=retry_after.jittered_s(
                denied.retry_after_s or 0.0, ids.RequestId(self._context.request)
            ),
        )
