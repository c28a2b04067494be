"""Shared parts of the request handlers: context, access to services, retries, refusals."""

import collections.abc
import dataclasses

import msgspec
import structlog
import trio

from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import poison
from cicadapier._internal.decisions import retries
from cicadapier._internal.decisions import routing
from cicadapier._internal.kernel import exceptions as kernel_exceptions
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.kernel import service
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import headers
from cicadapier._internal.protocols import http_server
from cicadapier._internal.services import claims_service
from cicadapier._internal.services import connections_service
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import names
from cicadapier._internal.services import peers_service
from cicadapier._internal.services import telemetry_service
from cicadapier._internal.services import traffic_messages
from cicadapier._internal.services import traffic_service
from cicadapier._internal.services import upstreams_service
from cicadapier._internal.services.account_quotas import account_quotas_service

MakeAttempt = collections.abc.Callable[
    [routing.Placed],
    collections.abc.Awaitable[outcomes.AttemptOutcome | routing.Superseded],
]

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Context of a caller's request.

    Attributes:
        request: Request id.
        account: Client account.
        spec: Settings of the account.
        cfg: Configuration in force when the request arrived.
        arrived_at: Time of arrival on trio's clock.
        attributes: Attributes of the request's metrics.
    """

    request: ids.RequestId
    account: ids.AccountId
    spec: configuration.Account
    cfg: configuration.NumberedConfiguration
    arrived_at: float
    attributes: dict[str, str]


class Services:
    """The services that request handlers use.

    Attributes:
        settings: Settings of the router.
        retry_budget: Retry budget of this router.
        connections: Pooled connections to upstreams.
        traffic: Admits, places and tracks requests.
        telemetry: Records metrics.
        peers: Exchanges state with the other routers.
    """

    def __init__(self, kernel: service.Kernel, cfg: settings.Settings) -> None:
        self.settings = cfg
        budget_settings = cfg.forwarding.retries if cfg.forwarding else settings.RetryBudget()
        self.retry_budget = retries.RetryBudget(budget_settings)
        self._kernel = kernel
        self.connections: connections_service.ConnectionsService = kernel.find(names.CONNECTIONS)
        self.traffic: traffic_service.TrafficService = kernel.find(names.TRAFFIC)
        self.telemetry: telemetry_service.TelemetryService = kernel.find(names.TELEMETRY)
        self.peers: peers_service.PeersService = kernel.find(names.PEERS)

    @property
    def claims(self) -> claims_service.ClaimsService:
        """Claims for calls that must run once; exists only with the native interface."""
        claims: claims_service.ClaimsService = self._kernel.find(names.CLAIMS)
        return claims

    @property
    def account_quotas(self) -> account_quotas_service.AccountQuotasService:
        """Quotas and limits of accounts over all routers."""
        found: account_quotas_service.AccountQuotasService = self._kernel.find(names.ACCOUNT_QUOTAS)
        return found

    @property
    def upstreams(self) -> upstreams_service.UpstreamsService:
        """Monitors the declared upstreams; exists only with the native interface."""
        upstreams: upstreams_service.UpstreamsService = self._kernel.find(names.UPSTREAMS)
        return upstreams

    async def admit(self, request_spec: routing.RequestSpec) -> routing.Placed:
        """Admits and places a request.

        Raises:
            RefusedError: The request is refused; nothing was sent.
        """
        self.retry_budget.count_request(request_spec.pool, trio.current_time())
        reply: mailbox.Reply[routing.Decision] = mailbox.Reply()
        self.traffic.mailbox.send(traffic_messages.Admit(request_spec, reply))
        is_placed = False
        try:
            result = _require_placed(await reply.get())
            is_placed = True
        finally:
            if not is_placed:
                # The request was refused after waiting, or the caller has disconnected meanwhile.
                self.report_request_ended(request_spec.request, ran=False)
        return result

    async def place_again(
        self, request: ids.RequestId, continues: bool = False
    ) -> routing.Placed | outcomes.Refusal:
        """Places a request again after a failed attempt.

        Args:
            request: Request id.
            continues: Whether to continue the run on its backup.

        Returns:
            The placement, or a refusal that the calling code has to interpret.
        """
        reply: mailbox.Reply[routing.Decision] = mailbox.Reply()
        if not self.traffic.mailbox.try_send(traffic_messages.Retry(request, reply, continues)):
            return outcomes.Refusal(outcomes.RefusalCode.OVERLOADED, "this router is overloaded")
        decision = await reply.get()
        return decision.refusal if isinstance(decision, routing.Refused) else decision

    async def place_hedge(self, request: ids.RequestId) -> routing.Placed | None:
        """Places a hedge for the current attempt, which is silent.

        Returns:
            The placement, or None if there is no other upstream.
        """
        reply: mailbox.Reply[routing.Placed | None] = mailbox.Reply()
        accepted = self.traffic.mailbox.try_send(traffic_messages.PlaceHedge(request, reply))
        return await reply.get() if accepted else None

    async def report_hedge_ended(
        self, request: ids.RequestId, outcome: outcomes.AttemptOutcome | None
    ) -> None:
        """Reports the end of a hedge that replaces no attempt.

        Args:
            request: Request id.
            outcome: Outcome of the hedge; None if it was no longer needed.
        """
        reply: mailbox.Reply[poison.Evidence | None] = mailbox.Reply()
        await self._report(traffic_messages.HedgeEnded(request, reply, outcome=outcome))

    async def report_hedge_won(
        self, request: ids.RequestId, former: outcomes.AttemptOutcome
    ) -> None:
        """Reports that a hedge replaces an attempt.

        Args:
            request: Request id.
            former: Outcome of the replaced attempt.
        """
        reply: mailbox.Reply[poison.Evidence | None] = mailbox.Reply()
        await self._report(traffic_messages.HedgeEnded(request, reply, former=former))

    async def fail_over(self, request: ids.RequestId) -> routing.Placed | None:
        """Continues a run on its backup because its upstream is unreachable.

        Returns:
            The placement on the backup, or None if the run cannot be continued there; its attempt
            then stays in progress.
        """
        reply: mailbox.Reply[routing.Failover | None] = mailbox.Reply()
        accepted = self.traffic.mailbox.try_send(traffic_messages.FailOver(request, reply))
        failover = await reply.get() if accepted else None
        if failover is None:
            return None
        await self._announce_crash(failover.crash)
        return failover.placed

    def report_silence(self, request: ids.RequestId) -> None:
        """Reports that the current attempt at a request makes no progress."""
        self.traffic.mailbox.try_send(traffic_messages.ReportSilence(request))

    async def _report(
        self, message: traffic_messages.AttemptEnded | traffic_messages.HedgeEnded
    ) -> None:
        """Reports the end of an attempt; a lost report does not fail the request."""
        try:
            self.traffic.mailbox.send(message)
            await self._announce_crash(await message.reply.get())
        except kernel_exceptions.KernelError as exc:
            _log.warning("attempt_not_reported", request=message.request, reason=str(exc))

    async def _announce_crash(self, evidence: poison.Evidence | None) -> None:
        if evidence:
            # As soon as the caller has the answer, it may repeat the request at another router.
            await self.peers.announce_crash(evidence)

    async def report_attempt_ended(
        self, request: ids.RequestId, outcome: outcomes.AttemptOutcome
    ) -> None:
        """Reports the end of an attempt; sends new crash evidence to the peers before returning."""
        reply: mailbox.Reply[poison.Evidence | None] = mailbox.Reply()
        await self._report(traffic_messages.AttemptEnded(request, outcome, reply))

    async def run_attempts(
        self,
        request: ids.RequestId,
        sequence: retries.AttemptSequence,
        placed: routing.Placed,
        attempt: MakeAttempt,
    ) -> outcomes.Refusal | None:
        """Makes attempts until one is complete or no further attempt is allowed.

        Args:
            request: Request id.
            sequence: Decides the next step after each outcome.
            placed: Placement of the first attempt.
            attempt: Makes one attempt.

        Returns:
            The refusal that states what is known of the request's effect, or None after a complete
            answer.
        """
        while True:
            outcome = await attempt(placed)
            if isinstance(outcome, routing.Superseded):
                sequence.record_superseded(outcome.former, outcome.offset)
                self.telemetry.count_retry(type(outcome).__name__)
                placed = outcome.placed
                continue
            # The outcome is recorded first, because the request's deadline may expire during the
            # report.
            step = sequence.record_outcome(outcome, trio.current_time())
            await self.report_attempt_ended(request, outcome)
            if isinstance(step, retries.Finish):
                return None
            if isinstance(step, retries.Retry | retries.Continue):
                self.telemetry.count_retry(type(outcome).__name__)
                continues = isinstance(step, retries.Continue)
                decision = await self.place_again(request, continues)
                if isinstance(decision, routing.Placed):
                    placed = decision
                    continue
                step = _final_refusal(sequence, decision)
            return step

    def report_first_token(self, request: ids.RequestId, first: members.FirstToken) -> None:
        """Reports the first token of an answer."""
        self.traffic.mailbox.try_send(traffic_messages.FirstTokenReceived(request, first))

    def report_output(self, request: ids.RequestId) -> None:
        """Reports the first output of an attempt that goes on with an answer."""
        self.traffic.mailbox.try_send(traffic_messages.OutputBegan(request))

    def report_request_ended(self, request: ids.RequestId, ran: bool) -> None:
        """Reports the end of a request.

        Args:
            request: Request id.
            ran: Whether it may have run.
        """
        self.traffic.mailbox.try_send(traffic_messages.RequestEnded(request, ran))


def _final_refusal(
    sequence: retries.AttemptSequence, decision: outcomes.Refusal
) -> outcomes.Refusal:
    """Returns the refusal of a request whose next attempt could not be placed."""
    if decision.code is outcomes.RefusalCode.POISON and sequence.may_have_run:
        return dataclasses.replace(decision, effect=outcomes.Effect.FAILED)
    if not sequence.may_have_run and decision.code is outcomes.RefusalCode.NO_UPSTREAM:
        # This refusal states when an upstream is expected to be available again.
        return decision
    return sequence.no_upstream_refusal()


def _require_placed(decision: routing.Decision) -> routing.Placed:
    if isinstance(decision, routing.Refused):
        raise exceptions.RefusedError(decision.refusal)
    return decision


def refusal_body(refusal: outcomes.Refusal) -> dict[str, object]:
    """Returns the JSON body of a refusal."""
    return {
        "error": {
            "message": refusal.message,
            "type": refusal.error_type,
            "code": refusal.code.value,
            "outcome": refusal.effect.value,
        }
    }


async def send_refusal(
    responder: http_server.Responder, request: ids.RequestId, refusal: outcomes.Refusal
) -> None:
    """Sends a refusal as the response to a request."""
    response_headers = [(headers.REQUEST_ID, request.encode())]
    if refusal.retry_after_s is not None:
        seconds = max(1, min(3600, -int(-refusal.retry_after_s // 1)))
        response_headers.append((headers.RETRY_AFTER, str(seconds).encode()))
    await responder.send_json(refusal_body(refusal), refusal.status, response_headers)


def refusal_event(refusal: outcomes.Refusal) -> bytes:
    """Returns a refusal as a server-sent event, for a response that has already started."""
    return b"data: " + msgspec.json.encode(refusal_body(refusal)) + b"\n\n"
