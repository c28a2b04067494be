"""Exchange of one forwarded request: its attempts, the checks before each send, and the relay."""

import collections.abc
import contextlib
import dataclasses
import functools
import http

import trio

from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import retries
from cicadapier._internal.decisions import routing
from cicadapier._internal.decisions import stream_origins
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.protocols import event_stream
from cicadapier._internal.protocols import exceptions as protocol_exceptions
from cicadapier._internal.protocols import held_bytes
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import http_server
from cicadapier._internal.services import attempt_errors
from cicadapier._internal.services import attempts
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import forwarded_calls
from cicadapier._internal.services import forwarded_facts
from cicadapier._internal.services import forwarded_heads
from cicadapier._internal.services import forwarded_hedge
from cicadapier._internal.services import forwarded_log
from cicadapier._internal.services import forwarded_plan
from cicadapier._internal.services import forwarded_progress
from cicadapier._internal.services import forwarded_silence
from cicadapier._internal.services import hedging
from cicadapier._internal.services import kept_answer
from cicadapier._internal.services import replacements
from cicadapier._internal.services import send_checks
from cicadapier._internal.services import telemetry_service
from cicadapier._internal.services import upstream_call

MIN_REMAINING_S = 0.01  # With less time left before its deadline, a request is not sent.
_NO_QUOTA = contextlib.nullcontext()


class Exchange:
    """Serves one request until its answer is relayed or it is refused."""

    def __init__(
        self,
        dependencies: forwarded_plan.Dependencies,
        plan: forwarded_plan.Plan,
        responder: http_server.Responder,
    ) -> None:
        self._dependencies = dependencies
        self._services = dependencies.services
        self._plan = plan
        self._responder = responder
        route = plan.admission.route
        self._heads = forwarded_heads.HeadJudge(route.kind)
        is_repeatable = (
            route.resumable
            if self._heads.is_stream_route
            else (route.kind is configuration.RouteKind.IDEMPOTENT)
        )
        policy = retries.RetryPolicy(is_repeatable, route.resumable, route.max_attempts)
        self._sequence = retries.AttemptSequence(policy, self._services.retry_budget, plan.pool)
        self._is_repeatable = is_repeatable
        self._current_attempt: attempts.Attempt | None = None
        self._answer: kept_answer.WholeAnswer | None = None
        self._failed_answer: kept_answer.WholeAnswer | None = None
        self._held: list[held_bytes.HeldMessage[ids.Address]] = []
        self._answer_began_at: float | None = None
        self._progress = forwarded_progress.AnswerProgress(
            dependencies.numbering, plan.forwarded.resume_after, plan.request_spec.software
        )
        self._checks = send_checks.SendChecks(dependencies, plan, self._progress)
        self._call_builder = forwarded_calls.CallBuilder(dependencies, plan, self._progress)
        self._silence_handler: forwarded_silence.SilentAnswerHandler | None
        self._silence_handler = forwarded_silence.SilentAnswerHandler(
            self._services,
            plan,
            self._sequence,
            self._progress,
            hedging.AttemptStarter(self._make_attempt, self._start_hedge),
            self._may_send,
            functools.partial(forwarded_silence.connect_backup, dependencies),
            self._continue_run,
        )
        self._replacement: attempts.Attempt | None = None
        self._outcome = forwarded_log.CALLER_LEFT
        self._scope = trio.CancelScope(deadline=plan.deadline)
        self._output = dependencies.make_output(responder, self._scope.cancel)
        self._is_stream_received = False  # Completely, though maybe not delivered.

    def expire_if_unanswered(self) -> None:
        """Ends the request as if its deadline had passed, unless its answer has begun."""
        if not self._responder.started:
            self._scope.cancel()

    async def run(self) -> None:
        """Answers the request.

        Raises:
            RefusedError: The request is refused and no answer has begun.
            ConnectionLostError: The answer broke off after it had begun.
        """
        try:
            refusal = None
            with self._scope:
                refusal = await self._serve()
            self._output.check()
            if self._scope.cancelled_caught and not self._is_answer_ready:
                self._finish_refused(self._deadline_refusal())
            # An answer that is ready is delivered, also if the deadline passes meanwhile.
            await self._finish(refusal)
        except Exception as exc:
            self._outcome = forwarded_log.outcome_of_error(exc, self._outcome)
            raise
        finally:
            self._output.close()
            for held in self._held:
                held.release()
            if self._replacement:
                await self._replacement.abandon()
            forwarded_log.log_request_ended(self._plan, self._progress.placed, self._summary())
            self._release()

    def _release(self) -> None:
        """Drops what refers to this exchange, so that its bodies go with it and not much later."""
        self._silence_handler = None
        self._current_attempt = None

    @property
    def _is_answer_ready(self) -> bool:
        """Whether an answer has been received completely."""
        is_whole = self._answer is not None and not self._responder.started
        return is_whole or self._is_stream_received

    async def _serve(self) -> outcomes.Refusal | None:
        placed = await self._services.admit(self._plan.request_spec)
        self._services.telemetry.record(
            telemetry_service.Histogram.QUEUE_WAIT, placed.queued_s, self._plan.attributes
        )
        try:
            refusal = await self._services.run_attempts(
                self._plan.request_spec.request, self._sequence, placed, self._run_attempt
            )
        except exceptions.RefusedError as exc:
            refusal = self._adjust_effect(exc.refusal)
        finally:
            self._services.report_request_ended(
                self._plan.request_spec.request, self._sequence.may_have_run
            )
        return refusal

    async def _finish(self, refusal: outcomes.Refusal | None) -> None:
        answer = self._answer
        if refusal is not None and refusal.effect is not outcomes.Effect.NOT_RUN:
            # The error answer of the upstream is more specific than a refusal of this router.
            answer = answer or self._failed_answer
        if answer is not None and not self._responder.started:
            await self._responder.send_response(answer.status, answer.headers, answer.body)
            self._record_answer_begin()
            self._outcome = "answered"
            if answer.status < http.HTTPStatus.BAD_REQUEST:
                self._record_time()
        elif refusal is not None:
            if self._responder.started:
                with trio.move_on_at(self._plan.deadline):
                    await self._output.deliver()
            self._finish_refused(refusal)
        else:
            self._record_time()
            await self._output.deliver()
            self._outcome = "streamed"

    def _record_time(self) -> None:
        took_s = trio.current_time() - self._plan.forwarded.raw.began_at
        self._dependencies.record_time(self._plan.admission.route_id, took_s)

    def _finish_refused(self, refusal: outcomes.Refusal) -> None:
        self._outcome = refusal.code.value
        if self._responder.started:
            reason = f"the answer broke off: {refusal.message}"
            raise protocol_exceptions.ConnectionLostError(reason)
        raise exceptions.RefusedError(refusal)

    def _adjust_effect(self, refusal: outcomes.Refusal) -> outcomes.Refusal:
        """Returns the refusal with an unknown effect if an earlier attempt may have run."""
        if not self._sequence.may_have_run:
            return refusal
        return dataclasses.replace(refusal, effect=outcomes.Effect.UNKNOWN)

    def _deadline_refusal(self) -> outcomes.Refusal:
        is_in_progress = self._current_attempt is not None and self._current_attempt.send_started
        effect = outcomes.Effect.NOT_RUN
        code = outcomes.RefusalCode.NO_UPSTREAM
        if is_in_progress or self._sequence.may_have_run:
            effect = outcomes.Effect.UNKNOWN
            code = outcomes.RefusalCode.DEADLINE
        return outcomes.Refusal(code, "no answer in the remaining time", effect)

    async def _run_attempt(
        self, placed: routing.Placed
    ) -> outcomes.AttemptOutcome | routing.Superseded:
        self._progress.begin_attempt(placed)
        attempt = self._take_replacement() or self._make_attempt(placed)
        if attempt is None:
            return outcomes.NotSent("the upstream is no longer registered")
        attempt.silence_handler = self._silence_handler
        self._current_attempt = attempt
        outcome: outcomes.AttemptOutcome | routing.Superseded = outcomes.NotSent(
            "the request was not sent"
        )
        try:
            check = functools.partial(self._check_before_send, placed)
            head = attempt.head or await self._start_attempt(placed, attempt, check)
            self._progress.record_progress()
            if self._heads.is_stream(attempt.facts, head):
                outcome = await self._relay(attempt, head)
            elif self._responder.started or (
                self._progress.last_event_number is not None and self._heads.looks_like_rest(head)
            ):
                raise self._broken_error("the upstream did not resume the stream")
            else:
                outcome = await self._receive_whole(attempt, head)
        except attempt_errors.AttemptFailedError as exc:
            outcome = self._mark_continuable(self._mark_output(exc.outcome))
        except replacements.AttemptSupersededError as exc:
            outcome = await self._supersede(exc)
        finally:
            self._progress.peer = attempt.peer
            await attempt.abandon()
        self._current_attempt = None
        if not isinstance(outcome, outcomes.Complete):
            forwarded_log.log_attempt_failed(self._plan, placed, outcome, self._summary())
        return outcome

    async def _start_attempt(
        self,
        placed: routing.Placed,
        attempt: attempts.Attempt,
        check: collections.abc.Callable[[], None],
    ) -> http_client.ResponseHead:
        """Starts an attempt and returns the head of its answer.

        No attempt starts on the upstream's weights after `placed.start_deadline`.
        """
        if not attempt.request_sent and not await self._may_go_on(placed):
            reason = "the upstream has started again, maybe with other software"
            raise attempt_errors.AttemptFailedError(outcomes.NotSent(reason))
        is_hedge = attempt is not self._current_attempt
        async with self._plan.quota.for_send(attempt, is_hedge) if self._plan.quota else _NO_QUOTA:
            with trio.move_on_at(placed.start_deadline):
                return await attempt.start(check)
        forwarded_log.log_attempt_given_up(self._plan, placed, attempt.sent_at)
        reason = "the weights of the upstream became too old to start the request"
        if attempt.send_started:
            raise attempt_errors.AttemptFailedError(outcomes.SentNoAnswer(reason, crashed=False))
        raise attempt_errors.AttemptFailedError(outcomes.NotSent(reason))

    async def _may_go_on(self, placed: routing.Placed) -> bool:
        """Returns whether the process of an upstream may go on with the stream, if it has begun."""
        if self._progress.software is None:
            return True
        return await self._dependencies.origins.may_go_on(placed.choice.estimate.upstream)

    def _make_attempt(self, placed: routing.Placed) -> attempts.Attempt | None:
        registration = self._dependencies.directory.find(placed.choice.estimate.upstream)
        if registration is None:
            return None
        call = self._call_builder.build(placed, registration.address, self._needs_new_connection())
        return self._new_attempt(placed, call)

    def _new_attempt(
        self,
        placed: routing.Placed,
        call: upstream_call.Call,
        conn: http_client.ClientConnection | None = None,
    ) -> attempts.Attempt:
        on_answer_facts = functools.partial(
            forwarded_facts.report, self._dependencies, self._plan, placed
        )
        return attempts.Attempt(
            self._services.connections, call, conn=conn, on_answer_facts=on_answer_facts
        )

    def _needs_new_connection(self) -> bool:
        """Returns whether the next attempt opens a new connection.

        A retry may be the last run that is allowed, so it must not fail on a stale idle connection.
        """
        is_first_attempt = self._sequence.attempts == 0 and self._current_attempt is None
        return not self._is_repeatable or not is_first_attempt

    def _take_replacement(self) -> attempts.Attempt | None:
        attempt, self._replacement = self._replacement, None
        return attempt

    def _mark_output(self, outcome: outcomes.AttemptOutcome) -> outcomes.AttemptOutcome:
        return outcomes.mark_output(outcome, self._progress.attempt_events > 0)

    async def _supersede(self, exc: replacements.AttemptSupersededError) -> routing.Superseded:
        self._replacement = exc.replacement.attempt
        former = self._mark_output(exc.former)
        if self._replacement.request_sent:
            await self._services.report_hedge_won(self._plan.request_spec.request, former)
        return routing.Superseded(
            str(exc), former, self._progress.relayed_events, exc.replacement.placed
        )

    async def _start_hedge(self, placed: routing.Placed, attempt: attempts.Attempt) -> None:
        """See `hedging.AttemptStarter.start`."""
        head = await self._start_attempt(
            placed, attempt, functools.partial(self._check_before_hedge, placed)
        )
        if not self._heads.can_take_over(attempt.facts, head):
            reason = f"the upstream failed with status {head.status}"
            raise attempt_errors.AttemptFailedError(outcomes.SentNoAnswer(reason, crashed=False))
        wire_format = self._dependencies.wire_format
        if self._heads.is_stream_route:
            await forwarded_hedge.receive_event(
                attempt, self._progress, wire_format, self._remaining_s()
            )
        else:
            await forwarded_hedge.receive_whole(attempt, self._progress, self._remaining_s())

    def _continue_run(
        self, placed: routing.Placed, connection: forwarded_silence.BackupConnection
    ) -> attempts.Attempt:
        call = self._call_builder.build(placed, connection.address, new_connection=True)
        return self._new_attempt(placed, call, connection.conn)

    def _mark_continuable(self, outcome: outcomes.AttemptOutcome) -> outcomes.AttemptOutcome:
        """Sets in the outcome of a broken run whether the run may continue from its backup."""
        if not isinstance(outcome, outcomes.Broken) or not outcome.unreachable:
            return outcome
        return dataclasses.replace(outcome, continuable=self._progress.usable_backup is not None)

    def _remaining_s(self) -> float:
        return self._plan.deadline - trio.current_time()

    def _may_retry(self) -> bool:
        if not self._sequence.may_run_again(0):
            return False
        return self._sequence.may_retry(trio.current_time())

    def _may_send(self) -> bool:
        """Returns whether the request may be sent again now."""
        try:
            self._check_time()
            self._checks.check_admission()
        except exceptions.RefusedError:
            return False
        return True

    def _check_before_send(self, placed: routing.Placed) -> None:
        """Checks, without yielding before the send, that earlier decisions still hold.

        Raises:
            RefusedError: The deadline is too close, or the configuration no longer allows the
                request.
            AttemptFailedError: The upstream may not receive the request any more.
        """
        self._check_time()
        if not self._sequence.may_have_run:
            # An interrupted run can be completed only by another run, so a retry does not depend on
            # changes of the configuration, nor on the time until this router stops.
            self._dependencies.require_time(self._plan)
            self._checks.check_admission()
        self._checks.check_upstream(placed)

    def _check_before_hedge(self, placed: routing.Placed) -> None:
        """Checks the same for a hedge.

        The admission is always checked, because the silent attempt may still complete the answer.
        """
        self._check_time()
        self._dependencies.require_time(self._plan)
        self._checks.check_admission()
        self._checks.check_upstream(placed)

    def _check_time(self) -> None:
        if self._remaining_s() < MIN_REMAINING_S:
            raise exceptions.RefusedError(self._deadline_refusal())

    async def _receive_whole(
        self, attempt: attempts.Attempt, head: http_client.ResponseHead
    ) -> outcomes.AttemptOutcome:
        if not attempt.facts.genuine:
            # The head shows that the body is of no use, and it may have no end.
            return outcomes.SentNoAnswer(
                "the answer does not come from the upstream", crashed=False
            )
        body = await attempt.receive_all(self._remaining_s(), self._remaining_s())
        if held := attempt.kept.take():
            self._held.append(held)
        await attempt.finish()
        headers = self._dependencies.wire_format.filter_answer_headers(head)
        answer = kept_answer.WholeAnswer(head.status, headers, body)
        if head.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR and self._may_retry():
            self._failed_answer = answer
            reason = f"the upstream failed with status {head.status}"
            return outcomes.SentNoAnswer(reason, crashed=False)
        self._answer = answer
        return outcomes.Complete(head.status)

    async def _relay(
        self, attempt: attempts.Attempt, head: http_client.ResponseHead
    ) -> outcomes.AttemptOutcome:
        splitter = event_stream.Splitter()
        while (
            part := await attempt.receive(self._remaining_s(), self._progress.relayed_events)
        ) is not None:
            self._progress.record_progress()
            events = splitter.feed(part)
            accepted = self._progress.take_in_order(events, self._dependencies.wire_format)
            if accepted:
                self._record_origin(accepted[0])
                self._report_output(len(accepted))
                await self._send_data(attempt, head, b"".join(event.raw for event in accepted))
            if len(accepted) < len(events) or splitter.is_overlong:
                raise self._broken_error(
                    "the stream contains an event that is out of order, malformed or too long"
                )
        if splitter.rest:
            raise self._broken_error("the stream ended in the middle of an event")
        if not self._progress.attempt_events and not forwarded_heads.ends_empty_stream(head):
            raise self._broken_error("the answer holds no event")
        await attempt.finish()
        if not self._responder.started:
            await self._begin_answer(attempt, head, b"")
        await self._output.end()
        self._is_stream_received = True
        self._dependencies.origins.record_end(self._plan.stream)
        return outcomes.Complete(head.status)

    def _record_origin(self, first_event: event_stream.Event) -> None:
        """Records which software began the stream, before its caller gets the first event."""
        software, placed = self._progress.software, self._progress.placed
        if self._responder.started or software is None or placed is None:
            return
        origins = self._dependencies.origins
        if self._plan.forwarded.resume_after is None and first_event.number is not None:
            origins.record_first_number(software, first_event.number)
        origin = stream_origins.Origin(self._plan.stream, self._plan.pool, software)
        origins.record_begin(origin, placed.choice.estimate.upstream, placed.incarnation)

    def _report_output(self, accepted_events: int) -> None:
        """Reports the first events of an attempt that goes on with an answer."""
        if self._responder.started and self._progress.attempt_events == accepted_events:
            self._services.report_output(self._plan.request_spec.request)

    async def _send_data(
        self, attempt: attempts.Attempt, head: http_client.ResponseHead, data: bytes
    ) -> None:
        if self._responder.started:
            await self._output.send(data)
            return
        await self._begin_answer(attempt, head, data)

    async def _begin_answer(
        self, attempt: attempts.Attempt, head: http_client.ResponseHead, data: bytes
    ) -> None:
        headers = self._dependencies.wire_format.filter_answer_headers(head)
        await self._output.start(head.status, headers, data)
        self._record_answer_begin()
        assert self._progress.placed
        estimate = self._progress.placed.choice.estimate
        cached = sum(self._plan.request_spec.prompt.sizes[: estimate.cached_pieces])
        first_token = members.FirstToken(attempt.incarnation, cached)
        self._services.report_first_token(self._plan.request_spec.request, first_token)

    def _record_answer_begin(self) -> None:
        self._answer_began_at = trio.current_time()
        took_s = self._answer_began_at - self._plan.forwarded.raw.began_at
        self._services.telemetry.record(
            telemetry_service.Histogram.FIRST_TOKEN, took_s, self._plan.attributes
        )

    def _broken_error(self, reason: str) -> attempt_errors.AttemptFailedError:
        return attempt_errors.AttemptFailedError(
            outcomes.Broken(reason, self._progress.relayed_events, crashed=False)
        )

    def _summary(self) -> forwarded_log.RequestSummary:
        plan = self._plan
        now = trio.current_time()
        return forwarded_log.RequestSummary(
            self._outcome,
            self._sequence.attempts,
            self._progress.relayed_events,
            self._progress.attempt_events,
            self._answer_began_at,
            self._dependencies.configuration.proof_age_s,
            self._services.retry_budget.remaining(plan.pool, now),
            now - self._progress.last_progress_at,
            self._progress.peer,
        )
