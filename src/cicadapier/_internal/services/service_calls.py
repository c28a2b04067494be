"""Calls to plain services; calls that may not be repeated run at most once."""

import dataclasses
import http

import structlog
import trio

from cicadapier._internal.decisions import claims
from cicadapier._internal.decisions import prefix
from cicadapier._internal.decisions import repeatability
from cicadapier._internal.decisions import retries
from cicadapier._internal.decisions import routing
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.protocols import headers
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import http_server
from cicadapier._internal.services import attempt_errors
from cicadapier._internal.services import attempts
from cicadapier._internal.services import claims_service
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import request_context
from cicadapier._internal.services import upstream_call
from cicadapier._internal.services.account_quotas import request_limits

_log = structlog.get_logger()

MAX_IDEMPOTENCY_KEY_BYTES = 255
# Headers that are not forwarded.
_REQUEST_HEADERS_DROPPED = headers.HOP_BY_HOP | {headers.AUTHORIZATION, headers.REQUEST_ID}
_ANSWER_HEADERS_DROPPED = headers.HOP_BY_HOP | {headers.REQUEST_ID}


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """Complete answer of an upstream."""

    status: int
    headers: http_client.Headers
    body: bytes
    upstream: ids.UpstreamId

    @property
    def content_type(self) -> str:
        """Content type of the answer, empty if it names none."""
        raw = http_client.find_header(self.headers, headers.CONTENT_TYPE) or b""
        return raw.decode("latin-1")


@dataclasses.dataclass(frozen=True, slots=True)
class _Plan:
    """Properties of a call that stay the same over all attempts."""

    pool_id: ids.PoolId
    pool: configuration.Pool
    target: str
    repeatable: bool
    idempotency_key: str


class ServiceCalls:
    """Handles calls to plain services.

    Attributes:
        running_claimed_calls: Number of claimed calls in progress, including those whose callers
            have disconnected.
    """

    def __init__(self, services: request_context.Services, nursery: trio.Nursery) -> None:
        self.running_claimed_calls = 0
        self._services = services
        self._nursery = nursery

    async def handle(
        self,
        context: request_context.Context,
        pool_id: ids.PoolId,
        target: str,
        req: http_server.Request,
        responder: http_server.Responder,
    ) -> None:
        """Handles one call.

        Args:
            context: Context of the request.
            pool_id: Pool that the path names.
            target: Path and query of the request to the upstream.
            req: The request.
            responder: Sends the response.

        Raises:
            RefusedError: The call is refused and no response has been started.
        """
        plan = _plan_call(context, pool_id, target, req)
        if plan.idempotency_key and not plan.repeatable:
            await self._handle_claimed(context, plan, req, responder)
            return
        answer = await self._run_call(context, plan, req)
        await _send(responder, context, answer)

    async def _handle_claimed(
        self,
        context: request_context.Context,
        plan: _Plan,
        req: http_server.Request,
        responder: http_server.Responder,
    ) -> None:
        """Handles a call with an idempotency key: sends the recorded answer or runs the call."""
        claim_name = claims.claim_name(context.account, plan.pool_id, plan.idempotency_key)
        fingerprint = claims.request_fingerprint(req.method, plan.target, req.body)
        claim_result = await self._services.claims.acquire(claim_name, fingerprint)
        if isinstance(claim_result, claims.Answer):
            answer_headers = [(headers.REQUEST_ID, context.request.encode())]
            if claim_result.content_type:
                answer_headers.append(
                    (headers.CONTENT_TYPE, claim_result.content_type.encode("latin-1"))
                )
            await responder.send_response(
                claim_result.status, answer_headers, claim_result.body or b""
            )
            return
        # If the caller disconnects now and repeats the call with the same key, it gets the recorded
        # answer. The call therefore runs in a task that outlives the caller's connection.
        reply: mailbox.Reply[_Answer | outcomes.Refusal] = mailbox.Reply()
        self._nursery.start_soon(self._run_claimed, context, plan, req, claim_result, reply)
        result = await reply.get()
        if isinstance(result, outcomes.Refusal):
            raise exceptions.RefusedError(result)
        await _send(responder, context, result)

    async def _run_claimed(
        self,
        context: request_context.Context,
        plan: _Plan,
        req: http_server.Request,
        held_claim: claims_service.HeldClaim,
        reply: "mailbox.Reply[_Answer | outcomes.Refusal]",
    ) -> None:
        """Runs a claimed call and counts it while it is running."""
        self.running_claimed_calls += 1
        try:
            result = await self._run_and_settle(context, plan, req, held_claim)
        finally:
            self.running_claimed_calls -= 1
        reply.set(result)

    async def _run_and_settle(
        self,
        context: request_context.Context,
        plan: _Plan,
        req: http_server.Request,
        held_claim: claims_service.HeldClaim,
    ) -> _Answer | outcomes.Refusal:
        """Runs a claimed call and records its answer or refusal under the claim."""
        try:
            answer = await self._run_call(context, plan, req)
        except exceptions.RefusedError as exc:
            self._services.claims.record_refusal(held_claim, exc.refusal)
            return exc.refusal
        except Exception:
            # An internal error must fail only this request, not stop the router.
            _log.exception("claimed_call_failed", request=context.request)
            message = "this router failed; the call may have run"
            refusal = outcomes.Refusal(
                outcomes.RefusalCode.INTERNAL, message, outcomes.Effect.UNKNOWN
            )
            self._services.claims.record_refusal(held_claim, refusal)
            return refusal
        recorded = claims.Answer(answer.status, answer.content_type, answer.body)
        self._services.claims.record_answer(held_claim, recorded)
        return answer

    async def _run_call(
        self, context: request_context.Context, plan: _Plan, req: http_server.Request
    ) -> _Answer:
        """Admits a call and makes attempts until one is complete.

        Raises:
            RefusedError: The call is refused or failed.
        """
        fingerprint = claims.request_fingerprint(req.method, plan.target, req.body)
        request_spec = routing.RequestSpec(
            context.request,
            context.account,
            plan.pool_id,
            prefix.EMPTY_PROMPT,
            0,
            ids.Fingerprint(f"{plan.pool_id}/{fingerprint}"),
        )
        limits = request_limits.RequestLimits(self._services.account_quotas, context)
        await limits.take(request_spec.memory_tokens)
        may_have_run = False
        try:
            placed = await self._services.admit(request_spec)
            may_have_run = True
            return await self._run_placed(context, plan, req, placed)
        except exceptions.RefusedError as exc:
            may_have_run = may_have_run and exc.refusal.effect is not outcomes.Effect.NOT_RUN
            raise
        finally:
            if not may_have_run:
                limits.give_back()

    async def _run_placed(
        self,
        context: request_context.Context,
        plan: _Plan,
        req: http_server.Request,
        placed: routing.Placed,
    ) -> _Answer:
        """Makes attempts at an admitted call until one is complete.

        Raises:
            RefusedError: The call failed.
        """
        policy = retries.RetryPolicy(repeatable=plan.repeatable, resumable=False)
        sequence = retries.AttemptSequence(policy, self._services.retry_budget, plan.pool_id)
        answer: _Answer | None = None

        async def attempt(placed: routing.Placed) -> outcomes.AttemptOutcome:
            nonlocal answer
            result = await self._make_attempt(context, plan, req, placed, sequence.attempts > 0)
            if not isinstance(result, _Answer):
                return result
            answer = result
            return outcomes.Complete(result.status)

        try:
            refusal = await self._services.run_attempts(context.request, sequence, placed, attempt)
        finally:
            self._services.report_request_ended(
                context.request, sequence.attempts == 0 or sequence.may_have_run
            )
        if answer is None or refusal is not None:
            assert refusal
            raise exceptions.RefusedError(refusal)
        return answer

    async def _make_attempt(
        self,
        context: request_context.Context,
        plan: _Plan,
        req: http_server.Request,
        placed: routing.Placed,
        is_retry: bool,
    ) -> _Answer | outcomes.AttemptOutcome:
        """Makes one attempt; returns its answer, or its outcome if it failed."""
        upstream = placed.choice.estimate.upstream
        timeouts = plan.pool.timeouts
        forwarded_headers = http_client.remove_hop_by_hop(req.headers, _REQUEST_HEADERS_DROPPED)
        request_headers = [*forwarded_headers, (headers.REQUEST_ID, context.request.encode())]
        call = upstream_call.Call(
            context.request,
            placed.address,
            placed.incarnation,
            http_client.RequestHead(req.method, plan.target, request_headers),
            req.body,
            timeouts.connect_s,
            timeouts.first_token_s,
            new_connection=not plan.repeatable or is_retry,
        )
        attempt = attempts.Attempt(self._services.connections, call)
        try:
            head = await attempt.start()
            body = await attempt.receive_all(timeouts.between_tokens_s)
            await attempt.finish()
            forwarded_headers = http_client.remove_hop_by_hop(head.headers, _ANSWER_HEADERS_DROPPED)
            return _Answer(head.status, forwarded_headers, body, upstream)
        except attempt_errors.AttemptFailedError as exc:
            return exc.outcome
        finally:
            await attempt.abandon()


def _plan_call(
    context: request_context.Context,
    pool_id: ids.PoolId,
    target: str,
    req: http_server.Request,
) -> _Plan:
    """Checks a call against the configuration and the limits of its headers.

    Raises:
        RefusedError: The service is unknown or not permitted, or the idempotency key is too long.
    """
    pool = context.cfg.content.pools.get(pool_id)
    is_permitted = context.spec.may_use(pool_id)
    if pool is None or not is_permitted or pool.kind is not configuration.PoolKind.SERVICE:
        message = f"there is no service {pool_id!r} for this account"
        raise exceptions.RefusedError(outcomes.Refusal(outcomes.RefusalCode.NOT_FOUND, message))
    key = (req.header(headers.IDEMPOTENCY_KEY) or b"").decode("latin-1")
    if len(key) > MAX_IDEMPOTENCY_KEY_BYTES:
        message = f"the idempotency key exceeds {MAX_IDEMPOTENCY_KEY_BYTES} bytes"
        raise exceptions.RefusedError(
            outcomes.Refusal(outcomes.RefusalCode.INVALID_REQUEST, message)
        )
    repeatable = repeatability.is_repeatable(pool, req.method, target.partition("?")[0])
    return _Plan(pool_id, pool, target, repeatable, key)


async def _send(
    responder: http_server.Responder, context: request_context.Context, answer: _Answer
) -> None:
    """Sends the answer of an upstream to the caller."""
    answer_headers = [*answer.headers, (headers.REQUEST_ID, context.request.encode())]
    answer_headers.append((b"x-cicadapier-upstream", answer.upstream.encode()))
    status = answer.status
    body = answer.body if status != http.HTTPStatus.NO_CONTENT else b""
    await responder.send_response(status, answer_headers, body)
