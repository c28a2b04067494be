"""Explains which upstream a request would be placed on, without running it."""

import dataclasses
import secrets

import msgspec
import trio

from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import routing
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.kernel import service
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import completions
from cicadapier._internal.services import callers_service
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import names
from cicadapier._internal.services import request_context
from cicadapier._internal.services import traffic_messages
from cicadapier._internal.services import traffic_service


class ExplainRequest(msgspec.Struct):
    """Request body of an operator who asks for an explanation."""

    account: str
    model: str
    prompt: str


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainFailure:
    """The placement cannot be explained."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Prefix blocks, candidates and chosen upstream of a prompt.

    Attributes:
        pool: Pool that serves the model.
        total_tokens: Tokens in the prompt.
        pieces: Ids of the complete prefix blocks, in hexadecimal.
        candidates: Estimate for each candidate upstream.
        chosen: The chosen upstream, or None if no upstream accepts requests.
        reason: Reason for the choice.
        blocked: Why the request would be refused, if it would; empty otherwise.
    """

    pool: ids.PoolId
    total_tokens: int
    pieces: list[str]
    candidates: list[members.Estimate]
    chosen: ids.UpstreamId | None
    reason: str
    blocked: str = ""


class Explainer:
    """Explains placements to operators."""

    def __init__(self, kernel: service.Kernel) -> None:
        self._kernel = kernel

    async def explain(
        self, explain_request: ExplainRequest, cfg: configuration.NumberedConfiguration
    ) -> Explanation | ExplainFailure:
        """Returns how a request would be placed now."""
        callers: callers_service.CallersService = self._kernel.find(names.CALLERS)
        traffic: traffic_service.TrafficService = self._kernel.find(names.TRAFFIC)
        account_id = ids.AccountId(explain_request.account)
        account = cfg.content.accounts.get(account_id)
        if account is None:
            return ExplainFailure(f"there is no account {account_id!r}")
        request_id = ids.RequestId(f"explain-{secrets.token_hex(4)}")
        context = request_context.Context(
            request_id, account_id, account, cfg, trio.current_time(), {}
        )
        req = completions.ModelRequest(
            completions.Endpoint.COMPLETIONS,
            ids.ModelId(explain_request.model),
            False,
            None,
            explain_request.prompt.encode(),
            {},
        )
        try:
            plan = callers.model_handler.plan(context, req)
        except exceptions.RefusedError as exc:
            return ExplainFailure(exc.refusal.message)
        reply: mailbox.Reply[routing.Explained | None] = mailbox.Reply()
        traffic.mailbox.send(traffic_messages.Explain(plan.request_spec, reply))
        explained = await reply.get()
        return Explanation(
            plan.pool_id,
            plan.request_spec.prompt.total_tokens,
            [piece.hex() for piece in plan.request_spec.prompt.pieces],
            list(explained.candidates) if explained else [],
            explained.choice.estimate.upstream if explained else None,
            explained.choice.reason if explained else "no upstream can take requests now",
            explained.blocked if explained else "",
        )
