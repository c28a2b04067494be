"""Quota that the sends of one request take, and give back if they certainly did not run."""

import collections.abc
import contextlib

from cicadapier._internal.decisions import retry_after
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.services import attempt_errors
from cicadapier._internal.services import attempts
from cicadapier._internal.services import exceptions
from cicadapier._internal.services.account_quotas import account_quotas_service
from cicadapier._internal.services.account_quotas import waiting

_NOT_RUN = (outcomes.NotSent, outcomes.RefusedBeforeRunning)


class RequestQuota:
    """Quota of one request; each send that may run takes it anew."""

    def __init__(
        self,
        service: account_quotas_service.AccountQuotasService,
        account: ids.AccountId,
        quota: configuration.AccountQuota,
        request: ids.RequestId,
        stated_tokens: int | None,
    ) -> None:
        self._service = service
        self._account = account
        self._quota = quota
        self._request = request
        self._cost = 1.0
        if quota.unit is configuration.QuotaUnit.TOKENS:
            tokens = quota.uncounted_tokens if stated_tokens is None else stated_tokens
            self._cost = max(1.0, float(tokens))
        self._unused: waiting.Ticket | None = None
        self._sends = 0

    async def reserve(self) -> None:
        """Takes the quota for the first send.

        Raises:
            RefusedError: There is none.
        """
        self._unused = await self._take()

    @contextlib.asynccontextmanager
    async def for_send(
        self, attempt: attempts.Attempt, is_hedge: bool = False
    ) -> collections.abc.AsyncIterator[None]:
        """Holds quota while an attempt is sent and its answer begins.

        Args:
            attempt: The attempt.
            is_hedge: Whether another attempt is in progress.

        Raises:
            RefusedError: There is none, and nothing was sent.
        """
        if attempt.request_sent:
            yield  # It was taken as the attempt was sent.
            return
        ticket, self._unused = self._unused, None
        if ticket is None or not self._service.is_usable(ticket):
            ticket = await self._take(may_wait=not is_hedge)
        may_have_run = True
        try:
            yield
        except attempt_errors.AttemptFailedError as exc:
            may_have_run = not isinstance(exc.outcome, _NOT_RUN)
            raise
        finally:
            if not may_have_run or not attempt.send_started:
                self._keep(ticket)

    def close(self) -> None:
        """Gives back what was not used."""
        if self._unused is not None:
            self._unused.give_back()
            self._unused = None

    def _keep(self, ticket: waiting.Ticket) -> None:
        if self._unused is None:
            self._unused = ticket
        else:
            ticket.give_back()

    async def _take(self, may_wait: bool = True) -> waiting.Ticket:
        is_repeat = self._sends > 0 and may_wait
        taken = await self._service.take(
            self._account, self._quota, self._cost, is_repeat, may_wait
        )
        self._sends += 1
        if isinstance(taken, waiting.Ticket):
            return taken
        if isinstance(taken, waiting.Unknown):
            raise exceptions.RefusedError(waiting.unknown_refusal())
        retry_after_s = None
        reason = f"has no room for {self._cost:g} {self._quota.unit.value} now"
        if taken.retry_after_s is None:
            reason = f"is smaller than {self._cost:g} {self._quota.unit.value}"
        else:
            retry_after_s = retry_after.jittered_s(taken.retry_after_s, self._request)
        raise exceptions.RefusedError(
            outcomes.Refusal(
                outcomes.RefusalCode.RATE_LIMITED,
                f"the quota of account {self._account} ({self._quota.rate_per_s:g} "
                f"{self._quota.unit.value} a second, burst {self._quota.burst:g}) {reason}",
                retry_after_s=retry_after_s,
            )
        )
