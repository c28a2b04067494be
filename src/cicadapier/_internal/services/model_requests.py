"""Requests to language models: admission, attempts, and relaying of the answer."""

import dataclasses
import http

import msgspec
import trio

from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import prefix
from cicadapier._internal.decisions import progress_deadlines
from cicadapier._internal.decisions import retries
from cicadapier._internal.decisions import routing
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.protocols import completions
from cicadapier._internal.protocols import headers
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import http_server
from cicadapier._internal.services import attempt_errors
from cicadapier._internal.services import attempts
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import hedging
from cicadapier._internal.services import model_progress
from cicadapier._internal.services import replacements
from cicadapier._internal.services import request_context
from cicadapier._internal.services import telemetry_service
from cicadapier._internal.services import upstream_call
from cicadapier._internal.services.account_quotas import request_limits

# Assumed maximum length of the answer if the request sets none.
DEFAULT_OUTPUT_TOKENS = 256
MAX_SHARED_PIECES = 64  # Later pieces of a prompt are not checked for crashes of upstreams.
# A hedge is started after this delay plus a multiple of the estimated time to first token.
MIN_HEDGE_DELAY_S = 2.0
HEDGE_ESTIMATE_FACTOR = 4.0
# Priority that engines get for requests of batch accounts.
BATCH_PRIORITY = 1
# Only one of this many gaps between tokens is recorded: recording each gap would cost as much as
# relaying its chunk.
GAP_SAMPLE_INTERVAL = 8
UPSTREAM_HEADER = b"x-cicadapier-upstream"
REASON_HEADER = b"x-cicadapier-reason"


@dataclasses.dataclass(frozen=True, slots=True)
class _Plan:
    """Properties of a request that stay the same over all attempts."""

    req: completions.ModelRequest
    pool_id: ids.PoolId
    pool: configuration.Pool
    scope: prefix.Scope
    salt: str
    request_spec: routing.RequestSpec


class ModelRequests:
    """Handles model requests."""

    def __init__(self, services: request_context.Services, secret: bytes) -> None:
        self._services = services
        self._secret = secret

    async def handle(
        self,
        context: request_context.Context,
        req: completions.ModelRequest,
        responder: http_server.Responder,
    ) -> None:
        """Handles one request.

        Raises:
            RefusedError: The request is refused and no response has been started.
        """
        plan = self.plan(context, req)
        limits = request_limits.RequestLimits(self._services.account_quotas, context)
        await limits.take(plan.request_spec.memory_tokens)
        ran = False
        try:
            placed = await self._services.admit(plan.request_spec)
            ran = True
            ran = await self._run(context, plan, placed, responder)
        finally:
            if not ran:
                limits.give_back()

    async def _run(
        self,
        context: request_context.Context,
        plan: _Plan,
        placed: routing.Placed,
        responder: http_server.Responder,
    ) -> bool:
        """Runs an admitted request; returns whether it may have run."""
        relay = _Relay(self._services, context, plan, responder)
        ran = True
        try:
            ran = await relay.run(placed)
        finally:
            await relay.close()
            self._services.report_request_ended(context.request, ran)
            self._services.telemetry.record(
                telemetry_service.Histogram.QUEUE_WAIT, placed.queued_s, context.attributes
            )
        return ran

    def plan(self, context: request_context.Context, req: completions.ModelRequest) -> _Plan:
        """Returns the pool, cache scope and prompt pieces of a request.

        Raises:
            RefusedError: The model is unknown or not permitted.
        """
        pool_id = context.cfg.pools_by_model.get(req.model)
        if pool_id is None or not context.spec.may_use(pool_id):
            message = f"there is no model {req.model!r} for this account"
            refusal = outcomes.Refusal(outcomes.RefusalCode.MODEL_NOT_FOUND, message)
            raise exceptions.RefusedError(refusal)
        pool = context.cfg.content.pools[pool_id]
        model = pool.models[req.model]
        version = self._services.upstreams.serving_version(pool, req.model)
        scope = prefix.Scope(context.account, req.model, model.adapter, version)
        root = prefix.root_id(self._secret, scope)
        prompt = prefix.split_prompt(root, req.prompt, pool.piece_tokens, pool.bytes_per_token)
        request_spec = routing.RequestSpec(
            context.request,
            context.account,
            pool_id,
            prompt,
            DEFAULT_OUTPUT_TOKENS if req.max_tokens is None else req.max_tokens,
            prefix.fingerprint(scope, req.prompt),
            members.Weights(req.model, version),
            parts=tuple(ids.PartId(piece.hex()) for piece in prompt.pieces[:MAX_SHARED_PIECES]),
        )
        return _Plan(req, pool_id, pool, scope, root.hex(), request_spec)


class _Relay:
    """Makes the attempts at one request and relays its answer to the caller."""

    def __init__(
        self,
        services: request_context.Services,
        context: request_context.Context,
        plan: _Plan,
        responder: http_server.Responder,
    ) -> None:
        self._services = services
        self._context = context
        self._plan = plan
        self._responder = responder
        self._progress = model_progress.Progress()
        self._requires_offset = False
        self._chunk_count = 0
        self._has_output = False  # Whether the current attempt has produced output.
        policy = retries.RetryPolicy(repeatable=True, resumable=True)
        self._sequence = retries.AttemptSequence(policy, services.retry_budget, plan.pool_id)
        starter = hedging.AttemptStarter(self._make_attempt, self._start_hedge)
        self._hedger = model_progress.FirstTokenHedger(
            services, context.request, self._sequence, self._progress, starter
        )
        self._replacement: attempts.Attempt | None = None
        self._was_attempted = False

    async def run(self, placed: routing.Placed) -> bool:
        """Makes attempts until the request ends; returns whether it may have run."""
        refusal = await self._services.run_attempts(
            self._context.request, self._sequence, placed, self._run_attempt
        )
        if refusal is None:
            self._record_cached_tokens()
            return True
        await self._refuse(refusal)
        return self._sequence.may_have_run

    async def close(self) -> None:
        """Closes a replacement attempt that has not been used."""
        if self._replacement:
            await self._replacement.abandon()

    async def _refuse(self, refusal: outcomes.Refusal) -> None:
        """Reports a refusal to the caller.

        Raises:
            RefusedError: No response has been started; the listener sends the refusal.
        """
        if not self._responder.started:
            raise exceptions.RefusedError(refusal)
        # The response has already started, so the refusal is sent as its last event, without the
        # end marker [DONE].
        self._services.telemetry.count_refusal(refusal.code.value)
        await self._responder.send_part(request_context.refusal_event(refusal))
        await self._responder.finish()

    async def _run_attempt(
        self, placed: routing.Placed
    ) -> outcomes.AttemptOutcome | routing.Superseded:
        """Makes one attempt and relays its answer."""
        attempt = self._take_replacement() or self._make_attempt(placed)
        expected_s = placed.choice.estimate.total_s * HEDGE_ESTIMATE_FACTOR
        self._hedger.hedge_after_s = MIN_HEDGE_DELAY_S + expected_s + self._non_streaming_extra_s()
        attempt.silence_handler = self._hedger
        self._has_output = False
        try:
            head = attempt.head or await attempt.start()
            if head.status != http.HTTPStatus.OK:
                return await self._relay_error(attempt, head)
            self._check_weights(head)
            if self._plan.req.stream:
                await self._relay_stream(attempt, placed)
            else:
                await self._relay_buffered(attempt, placed)
            return outcomes.Complete(head.status)
        except attempt_errors.AttemptFailedError as exc:
            return outcomes.mark_output(exc.outcome, self._has_output)
        except replacements.AttemptSupersededError as exc:
            return await self._supersede(exc)
        finally:
            await attempt.abandon()

    def _make_attempt(self, placed: routing.Placed) -> attempts.Attempt:
        # On a pooled connection, a retry could be taken for refused because of a refusal of an
        # earlier attempt that its upstream repeats.
        call = self._make_call(placed, new_connection=self._was_attempted)
        self._was_attempted = True
        return attempts.Attempt(self._services.connections, call)

    def _take_replacement(self) -> attempts.Attempt | None:
        """Returns the attempt that replaces the previous one, if any."""
        attempt, self._replacement = self._replacement, None
        return attempt

    async def _supersede(self, exc: replacements.AttemptSupersededError) -> routing.Superseded:
        """Stores the attempt that replaces the current one, for the next call of `_run_attempt`."""
        self._replacement = exc.replacement.attempt
        former = outcomes.mark_output(exc.former, self._has_output)
        await self._services.report_hedge_won(self._context.request, former)
        return routing.Superseded(str(exc), former, self._progress.offset, exc.replacement.placed)

    async def _start_hedge(self, placed: routing.Placed, attempt: attempts.Attempt) -> None:
        """See `hedging.AttemptStarter.start`."""
        head = await attempt.start()
        if head.status != http.HTTPStatus.OK or not self._has_same_weights(head):
            reason = f"the upstream answered with status {head.status}"
            raise attempt_errors.AttemptFailedError(outcomes.SentNoAnswer(reason, crashed=False))
        await self._receive_beginning(attempt)

    async def _receive_beginning(self, attempt: attempts.Attempt) -> None:
        """Receives the first event of a hedge's answer, or its whole answer if it is no stream.

        The head alone does not show that anything follows it.
        """
        splitter = completions.EventSplitter()
        found: list[bytes] = []

        def has_event(part: bytes) -> bool:
            found.extend(splitter.feed(part))
            return self._plan.req.stream and (bool(found) or splitter.is_overlong)

        timeout_s = self._plan.pool.timeouts.first_token_s + self._non_streaming_extra_s()
        await attempt.receive_ahead(has_event, timeout_s, self._progress.offset)
        if self._plan.req.stream and not found:
            raise _broken_error("the answer has no event", self._progress.offset)

    def _has_same_weights(self, head: http_client.ResponseHead) -> bool:
        """Returns whether an answer has the same weights version as the tokens relayed so far."""
        weights_version = head.header(headers.WEIGHTS_VERSION)
        return not self._progress.offset or weights_version == self._progress.weights_version

    def _non_streaming_extra_s(self) -> float:
        """Returns the time that a non-streaming answer may take after its first token."""
        if self._plan.req.stream:
            return 0.0
        return self._plan.request_spec.output_tokens * self._plan.pool.timeouts.between_tokens_s

    def _make_call(self, placed: routing.Placed, new_connection: bool) -> upstream_call.Call:
        pool = self._plan.pool
        body = dict(self._plan.req.body)
        body["cache_salt"] = self._plan.salt
        if self._context.spec.service_class is configuration.ServiceClass.BATCH:
            body["priority"] = BATCH_PRIORITY
        if self._progress.offset:
            body["resume_from"] = self._progress.offset
        if self._plan.request_spec.prompt.pieces and pool.keep:
            # The cache index may be wrong, so the address of the keep is always sent.
            body["kv_import"] = self._keep_address()
        head = http_client.RequestHead(
            "POST",
            self._plan.req.endpoint.value,
            [
                (headers.CONTENT_TYPE, b"application/json"),
                (headers.REQUEST_ID, self._context.request.encode()),
            ],
        )
        return upstream_call.Call(
            self._context.request,
            placed.address,
            placed.incarnation,
            head,
            msgspec.json.encode(body),
            pool.timeouts.connect_s,
            pool.timeouts.first_token_s + self._non_streaming_extra_s(),
            new_connection=new_connection,
        )

    def _keep_address(self) -> str:
        """Returns the address of the pool's keep, empty if there is none."""
        keep = self._context.cfg.content.pools.get(self._plan.pool.keep or ids.PoolId(""))
        return next((u.address for u in keep.upstreams.values()), "") if keep else ""

    def _check_weights(self, head: http_client.ResponseHead) -> None:
        """Raises an error if an answer would be continued with another weights version."""
        if not self._has_same_weights(head):
            reason = "the upstream serves other weights than those that began the answer"
            raise _broken_error(reason, self._progress.offset)
        self._progress.weights_version = head.header(headers.WEIGHTS_VERSION)

    async def _relay_error(
        self, attempt: attempts.Attempt, head: http_client.ResponseHead
    ) -> outcomes.AttemptOutcome:
        """Relays an error answer, unless another attempt may succeed."""
        body = await attempt.receive_all(self._plan.pool.timeouts.between_tokens_s)
        with attempt.kept.until_sent():
            await attempt.finish()
            if head.status >= 500 or self._responder.started:
                reason = f"the upstream answered with status {head.status}"
                return outcomes.SentNoAnswer(reason, crashed=False)
            content_type = head.header(headers.CONTENT_TYPE) or b"application/json"
            response_headers = [(headers.CONTENT_TYPE, content_type), *self._identity_headers()]
            await self._responder.send_response(head.status, response_headers, body)
        return outcomes.Complete(head.status)

    async def _relay_buffered(self, attempt: attempts.Attempt, placed: routing.Placed) -> None:
        """Relays a non-streaming answer, once it is complete and checked."""
        timeouts = self._plan.pool.timeouts
        total_timeout_s = timeouts.first_token_s + self._non_streaming_extra_s()
        body = await attempt.receive_all(timeouts.between_tokens_s, total_timeout_s)
        chunk = self._parse_chunk(body)
        if not chunk.is_finished or chunk.error is not None:
            raise _broken_error("the answer is incomplete", 0)
        self._report_first_token(attempt, chunk)
        response_headers = [
            (headers.CONTENT_TYPE, b"application/json"),
            *self._identity_headers(placed),
        ]
        with attempt.kept.until_sent():
            await attempt.finish()
            self._record_first_token_time()
            await self._responder.send_response(http.HTTPStatus.OK, response_headers, body)

    async def _relay_stream(self, attempt: attempts.Attempt, placed: routing.Placed) -> None:
        """Relays a stream of events as they arrive."""
        now = trio.current_time()
        progress_deadline = progress_deadlines.ProgressDeadline(
            self._plan.pool.timeouts.between_tokens_s, now
        )
        splitter = completions.EventSplitter()
        done = False
        self._requires_offset = self._progress.offset > 0
        attempt.watch()
        while (part := await self._receive(attempt, progress_deadline)) is not None:
            valid_events: list[bytes] = []
            events = splitter.feed(part)
            if events:
                progress_deadline.record_progress(trio.current_time())
            try:
                done = self._process_events(attempt, events, valid_events) or done
            finally:
                # Tokens that have been counted must reach the caller, even if a later event is
                # invalid.
                if valid_events:
                    await self._send(b"".join(valid_events), placed)
            if splitter.is_overlong:
                raise _broken_error("an event of the answer is too long", self._progress.offset)
        if not done or not self._progress.finished:
            raise _broken_error("the answer is incomplete", self._progress.offset)
        await attempt.finish()
        await self._responder.send_part(completions.DONE_EVENT)
        await self._responder.finish()

    async def _receive(
        self, attempt: attempts.Attempt, progress_deadline: progress_deadlines.ProgressDeadline
    ) -> bytes | None:
        remaining_s = progress_deadline.remaining_s(trio.current_time())
        return await attempt.receive(remaining_s, self._progress.offset)

    def _process_events(
        self, attempt: attempts.Attempt, events: list[bytes], valid_events: list[bytes]
    ) -> bool:
        """Checks events and collects the valid ones.

        Args:
            attempt: The attempt that received the events.
            events: The events.
            valid_events: List to which the valid events are appended.

        Returns:
            Whether the end marker was found.
        """
        for event in events:
            if event == completions.DONE_EVENT:
                return True
            self._process_chunk(attempt, self._parse_chunk(event))
            valid_events.append(event)
        return False

    async def _send(self, data: bytes, placed: routing.Placed) -> None:
        if self._responder.started:
            await self._responder.send_part(data)
            return
        response_headers = [
            (headers.CONTENT_TYPE, completions.EVENT_STREAM_TYPE),
            *self._identity_headers(placed),
        ]
        await self._responder.start(http.HTTPStatus.OK, response_headers, data)
        self._record_first_token_time()

    def _parse_chunk(self, event: bytes) -> completions.Chunk:
        """Parses a chunk of the answer and checks that it belongs to the request."""
        try:
            chunk = completions.read_chunk(event)
        except completions.InvalidBodyError as exc:
            raise _broken_error(f"the answer is malformed: {exc}", self._progress.offset) from exc
        if chunk.error is not None:
            raise _broken_error("the upstream reported an error", self._progress.offset)
        if chunk.id != self._context.request:
            raise _broken_error("the upstream answered another request", self._progress.offset)
        return chunk

    def _process_chunk(self, attempt: attempts.Attempt, chunk: completions.Chunk) -> None:
        """Checks that a chunk continues the answer, and records the progress."""
        progress = self._progress
        if chunk.token_offset is None and self._requires_offset:
            raise _broken_error(
                "the upstream does not state the offset from which it continues", progress.offset
            )
        if chunk.token_offset is not None and chunk.token_offset != progress.offset:
            reason = f"the upstream sent token {chunk.token_offset} instead of {progress.offset}"
            raise _broken_error(reason, progress.offset)
        if progress.cached_tokens is None:
            self._report_first_token(attempt, chunk)
        elif not self._has_output:
            self._services.report_output(self._context.request)
        self._has_output = True
        now = trio.current_time()
        self._chunk_count += 1
        if (
            progress.last_token_at is not None
            and chunk.token_count
            and not self._chunk_count % GAP_SAMPLE_INTERVAL
        ):
            gap_s = (now - progress.last_token_at) / chunk.token_count
            self._services.telemetry.record(
                telemetry_service.Histogram.BETWEEN_TOKENS, gap_s, self._context.attributes
            )
        progress.last_token_at = now
        if chunk.choices:
            progress.offset += chunk.token_count
            progress.finished = progress.finished or chunk.is_finished

    def _report_first_token(self, attempt: attempts.Attempt, chunk: completions.Chunk) -> None:
        details = chunk.usage.prompt_tokens_details if chunk.usage else None
        cached = details.cached_tokens if details else 0
        self._progress.cached_tokens = cached
        self._services.report_first_token(
            self._context.request, members.FirstToken(attempt.incarnation, cached)
        )

    def _record_first_token_time(self) -> None:
        took_s = trio.current_time() - self._context.arrived_at
        self._services.telemetry.record(
            telemetry_service.Histogram.FIRST_TOKEN, took_s, self._context.attributes
        )

    def _record_cached_tokens(self) -> None:
        telemetry = self._services.telemetry
        cached = self._progress.cached_tokens or 0
        recomputed = max(0, self._plan.request_spec.prompt.total_tokens - cached)
        attributes = self._context.attributes
        telemetry.record(telemetry_service.Histogram.CACHED_TOKENS, cached, attributes)
        telemetry.record(telemetry_service.Histogram.RECOMPUTED_TOKENS, recomputed, attributes)

    def _identity_headers(self, placed: routing.Placed | None = None) -> http_client.Headers:
        identity_headers = [(headers.REQUEST_ID, self._context.request.encode())]
        if placed:
            identity_headers.append((UPSTREAM_HEADER, placed.choice.estimate.upstream.encode()))
            identity_headers.append((REASON_HEADER, placed.choice.reason.encode()))
        return identity_headers


def _broken_error(reason: str, offset: int) -> attempt_errors.AttemptFailedError:
    return attempt_errors.AttemptFailedError(outcomes.Broken(reason, offset, crashed=False))
