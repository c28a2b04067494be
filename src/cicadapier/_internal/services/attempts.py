"""A single attempt to send a request to an upstream and to receive its answer."""

import collections.abc
import contextlib
import math
from typing import TypeVar

import structlog
import trio

from cicadapier._internal.decisions import progress_deadlines
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.protocols import answers
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import http_client
from cicadapier._internal.services import attempt_errors
from cicadapier._internal.services import connections_service
from cicadapier._internal.services import kept_answer
from cicadapier._internal.services import replacements
from cicadapier._internal.services import upstream_call
from cicadapier._internal.services import upstream_condition

# Reading for longer to reuse the connection delays the next attempt more than opening a new one.
REFUSAL_BODY_TIMEOUT_S = 0.05
MAX_REFUSAL_BYTES = 65_536  # Longer bodies are not read; the connection is closed instead.
NOT_RUN_STATUSES = frozenset((429, 503))  # The request may then be sent to another upstream.

_log = structlog.get_logger()

_ReadResult = TypeVar("_ReadResult")


class Attempt:
    """One attempt at a request; owns its connection from `start` to `finish` or `abandon`.

    Attributes:
        head: Status line and headers of the answer, once received.
        facts: Metadata of the answer from its head.
        sent_at: Time of trio's clock at which the transport was given the first byte, from when on
            the request may run; None before that.
        request_sent: Whether sending the request has ended.
        kept: The bytes of the answer that are kept.
        peer: Peer through which it was connected; None if it was direct.
        silence_handler: Looks for a replacement during silence; None disables replacement.
    """

    def __init__(
        self,
        connections: connections_service.ConnectionsService,
        call: upstream_call.Call,
        silence_handler: replacements.SilenceHandler | None = None,
        conn: http_client.ClientConnection | None = None,
        on_answer_facts: collections.abc.Callable[[answers.AnswerFacts], None] | None = None,
    ) -> None:
        """Creates an attempt.

        Args:
            connections: Connections to upstreams.
            call: The request to send.
            silence_handler: See the attribute `silence_handler`.
            conn: A new connection, which the attempt then owns; if None, `start` gets one.
            on_answer_facts: Called with each answer's metadata once its head arrives, also if the
                answer is then rejected.
        """
        self._connections = connections
        self._call = call
        self._upstream_checker = upstream_condition.UpstreamChecker(
            connections, call.address, call.incarnation, call.answer_format
        )
        self.silence_handler = silence_handler
        self._conn = conn
        self._on_answer_facts = on_answer_facts
        self.head: http_client.ResponseHead | None = None
        self.facts = answers.AnswerFacts()
        self.sent_at: float | None = None
        self.request_sent = False
        self.peer: ids.VmId | None = None
        self._is_receiving_ahead = False
        self._received_ahead = bytearray()
        self._body_ended = False
        self.kept = kept_answer.KeptAnswer(connections.held_answers, call.address)

    @property
    def send_started(self) -> bool:
        """Whether the transport was given any byte, so that the request may have run."""
        return self.sent_at is not None

    @property
    def incarnation(self) -> ids.Incarnation:
        """Incarnation that the answer names, or else the last known one."""
        return self.facts.incarnation or self._call.incarnation

    @property
    def may_still_answer(self) -> bool:
        """Whether the request was sent and nothing has shown that its answer cannot be used."""
        is_undecided = self.head is None or self._is_receiving_ahead
        return self.request_sent and is_undecided and self._conn is not None

    async def start(
        self, check: collections.abc.Callable[[], None] | None = None
    ) -> http_client.ResponseHead:
        """Sends the request, unless it was sent already, and waits for the head of the answer.

        Args:
            check: Called immediately before the first byte is handed to the transport, without a
                checkpoint between them. If it raises, nothing is sent and the error is propagated.

        Raises:
            AttemptFailedError: There is no answer that belongs to the request.
            AttemptSupersededError: Another attempt replaces this one.
        """
        if not self.request_sent:
            self._conn = self._conn or await self._connect()
            self.peer = self._conn.peer
            if check:
                await self._run_check(check)
        try:
            await self._send()
            return await self._read_or_supersede(self._receive_answer, self._call.head_timeout_s)
        except exceptions.ProtocolError as exc:
            raise attempt_errors.AttemptFailedError(await self._no_answer_outcome(exc)) from exc

    async def _receive_answer(self, timeout_s: float) -> http_client.ResponseHead:
        """Receives the head of an answer; raises if the upstream did not run the request."""
        assert self._conn
        self.head = await self._conn.receive_head(timeout_s)
        self.facts = self._call.answer_format.read_answer(self.head)
        if self._on_answer_facts:
            self._on_answer_facts(self.facts)
        await self._check_request_id()
        await self._check_refusal(self.head)
        return self.head

    async def _connect(self) -> http_client.ClientConnection:
        call = self._call
        try:
            if call.new_connection:
                return await self._connections.open(call.address, call.connect_timeout_s)
            return await self._connections.acquire(call.address, call.connect_timeout_s)
        except exceptions.ConnectError as exc:
            in_doubt = isinstance(exc, exceptions.LinksInDoubtError)
            not_sent = outcomes.NotSent(str(exc), links_in_doubt=in_doubt)
            raise attempt_errors.AttemptFailedError(not_sent) from exc

    async def _send(self) -> None:
        if self.request_sent:
            return
        assert self._conn
        self.sent_at = trio.current_time()
        try:
            await self._conn.send(self._call.head, self._call.body)
        except exceptions.ConnectionLostError as exc:
            # The upstream may have answered and closed the connection before it read the whole
            # request, so its answer is still read.
            _log.info("request_not_read_whole", request=self._call.request, reason=str(exc))
        self.request_sent = True

    def watch(self) -> None:
        """Lets the connections service time out long answers, cheaper than a timeout per read."""
        if self._conn:
            self._connections.watch(self._conn)

    async def receive(self, timeout_s: float, offset: int) -> bytes | None:
        """Returns the next part of the answer's body, or None at its end.

        Args:
            timeout_s: Timeout for receiving data.
            offset: Tokens relayed so far, recorded in the outcome if the attempt fails.

        Raises:
            AttemptFailedError: The answer was interrupted.
            AttemptSupersededError: Another attempt replaces this one.
        """
        if self._received_ahead:
            data = bytes(self._received_ahead)
            self._received_ahead.clear()
            self.kept.release()
            return data
        if self._body_ended:
            return None
        return await self._receive_part(timeout_s, offset)

    async def receive_ahead(
        self, is_enough: collections.abc.Callable[[bytes], bool], timeout_s: float, offset: int
    ) -> None:
        """Receives the beginning of the answer's body, which `receive` returns later.

        Args:
            is_enough: Called with each part; returns whether the beginning is long enough. Without
                that, the whole body is received.
            timeout_s: Timeout for the beginning.
            offset: See `receive`.

        Raises:
            AttemptFailedError: The answer was interrupted or is too large.
        """
        self._is_receiving_ahead = True
        deadline = trio.current_time() + timeout_s
        while (
            part := await self._receive_part(deadline - trio.current_time(), offset)
        ) is not None:
            self._received_ahead += part
            if is_enough(part):
                return
            await self.kept.add(len(part), self.head)
            if len(self._received_ahead) > progress_deadlines.MAX_ANSWER_BYTES:
                await self.abandon()
                raise attempt_errors.too_large_error(offset)
        self._body_ended = True

    async def _receive_part(self, timeout_s: float, offset: int) -> bytes | None:
        assert self._conn
        try:
            return await self._read_or_supersede(self._conn.receive_data, timeout_s, offset)
        except exceptions.ProtocolError as exc:
            raise attempt_errors.AttemptFailedError(
                await self._broken_outcome(exc, offset)
            ) from exc

    async def receive_all(
        self, progress_timeout_s: float, total_timeout_s: float = math.inf
    ) -> bytes:
        """Returns the rest of the answer's body, for answers that are buffered in full.

        Args:
            progress_timeout_s: Maximum time without progress.
            total_timeout_s: Timeout for the whole rest of the body.

        Raises:
            AttemptFailedError: The answer was interrupted, made no progress or is too large.
            AttemptSupersededError: Another attempt replaces this one.
        """
        now = trio.current_time()
        deadline = now + total_timeout_s
        progress = progress_deadlines.BodyProgressDeadline(progress_timeout_s, now)
        parts = []
        while (
            part := await self.receive(min(progress.remaining_s(now), deadline - now), 0)
        ) is not None:
            now = trio.current_time()
            progress.record_received(len(part), now)
            if progress.is_too_large:
                await self.abandon()
                raise attempt_errors.too_large_error(0)
            parts.append(part)
            if await self.kept.add(len(part), self.head):
                now = trio.current_time()
                progress.record_progress(now)
        return b"".join(parts)

    async def _read_or_supersede(
        self,
        read: collections.abc.Callable[[float], collections.abc.Awaitable[_ReadResult]],
        timeout_s: float,
        offset: int | None = None,
    ) -> _ReadResult:
        """Reads from the connection; while there is no progress, also looks for a replacement.

        `offset` is the number of tokens relayed so far, or None before the head of the answer.

        Raises:
            AttemptSupersededError: A replacement was found before the read succeeded.
        """
        deadline = trio.current_time() + timeout_s
        silence_timeout_s = (
            self.silence_handler.silence_timeout_s(self) if self.silence_handler else math.inf
        )
        if silence_timeout_s >= timeout_s:
            return await read(timeout_s)
        try:
            return await read(silence_timeout_s)
        except exceptions.SilentConnectionError:
            pass
        race: replacements.ReadRace[_ReadResult] = replacements.ReadRace()
        former = None
        try:
            await self._run_race(race, read, silence_timeout_s, deadline)
            if race.replacement is not None:
                former = await self._end_superseded(race.failure, offset)
        finally:
            if race.replacement is not None and former is None:
                await race.replacement.attempt.abandon()
        if race.replacement is not None and former is not None:
            raise replacements.AttemptSupersededError(race.replacement, former)
        if race.failure is not None:
            raise race.failure
        return race.data[0]

    async def _run_race(
        self,
        race: replacements.ReadRace[_ReadResult],
        read: collections.abc.Callable[[float], collections.abc.Awaitable[_ReadResult]],
        silence_timeout_s: float,
        deadline: float,
    ) -> None:
        """Continues the read and searches for a replacement until either succeeds.

        If the read fails during a search, the search is completed first.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._search_replacement, race, silence_timeout_s, nursery.cancel_scope
            )
            try:
                race.data.append(await read(deadline - trio.current_time()))
            except (exceptions.ProtocolError, attempt_errors.AttemptFailedError) as exc:
                race.failure = exc
                assert self.silence_handler
                self.silence_handler.handle_attempt_failure()
            if race.data or not race.is_searching:
                nursery.cancel_scope.cancel()

    async def _search_replacement(
        self,
        race: replacements.ReadRace[_ReadResult],
        silence_timeout_s: float,
        scope: trio.CancelScope,
    ) -> None:
        """Calls the silence handler at intervals until it finds a replacement."""
        assert self.silence_handler
        while race.replacement is None and race.failure is None:
            race.is_searching = True
            race.replacement = await self.silence_handler.find_replacement(self)
            race.is_searching = False
            if race.replacement is None and race.failure is None:
                await trio.sleep(silence_timeout_s)
        scope.cancel()

    async def _end_superseded(
        self,
        failure: exceptions.ProtocolError | attempt_errors.AttemptFailedError | None,
        offset: int | None,
    ) -> outcomes.AttemptOutcome:
        """Ends this attempt because another one replaces it, and returns its outcome."""
        if isinstance(failure, attempt_errors.AttemptFailedError):
            return failure.outcome
        silence = exceptions.SilentConnectionError("no progress")
        exc = failure or silence
        if offset is None:
            return await self._no_answer_outcome(exc)
        return await self._broken_outcome(exc, offset)

    async def is_reachable(self) -> bool:
        """Returns whether the attempt can still be expected to make progress."""
        return await self._upstream_checker.is_reachable(is_direct=self.peer is None)

    async def finish(self) -> None:
        """Returns the connection to the pool after a complete answer."""
        self.kept.release()
        if self._conn:
            conn, self._conn = self._conn, None
            self._connections.unwatch(conn)
            if self.facts.idle_s is not None:
                conn.max_idle_s = self.facts.idle_s
            await self._connections.release(self._call.address, conn)

    async def abandon(self, connection_failed: bool = False) -> None:
        """Closes the connection, so that a late answer is never relayed.

        Args:
            connection_failed: Whether the connection failed. The idle connections to the same
                address may then be dead as well.
        """
        self.kept.release()
        if self._conn:
            conn, self._conn = self._conn, None
            self._connections.unwatch(conn)
            with trio.CancelScope(shield=True):
                if connection_failed:
                    await self._connections.discard(self._call.address, conn)
                else:
                    await conn.close()

    async def _run_check(self, check: collections.abc.Callable[[], None]) -> None:
        """Runs a check before anything is sent; the unused connection stays reusable."""
        try:
            check()
        except Exception:
            await self.finish()
            raise

    async def _no_answer_outcome(self, exc: exceptions.ProtocolError) -> outcomes.SentNoAnswer:
        condition = await self._check_upstream(exc)
        return outcomes.SentNoAnswer(
            upstream_condition.describe_failure(exc), condition.crashed, condition.unreachable
        )

    async def _broken_outcome(self, exc: exceptions.ProtocolError, offset: int) -> outcomes.Broken:
        condition = await self._check_upstream(exc)
        return outcomes.Broken(
            upstream_condition.describe_failure(exc),
            offset,
            condition.crashed,
            unreachable=condition.unreachable,
        )

    async def _check_upstream(self, exc: exceptions.ProtocolError) -> upstream_condition.Condition:
        """Closes the connection and checks the upstream if the connection was lost.

        A lost connection alone is no proof that the upstream crashed.
        """
        await self.abandon(connection_failed=True)
        if not isinstance(exc, exceptions.ConnectionLostError):
            return upstream_condition.Condition()
        self._connections.report_loss(self._call.address)
        return await self._upstream_checker.check_after_loss()

    async def _check_request_id(self) -> None:
        """Raises an error if the answer names another request."""
        answered_request = self.facts.request
        if answered_request is not None and answered_request != self._call.request:
            await self.abandon()
            reason = "the upstream answered another request"
            raise attempt_errors.AttemptFailedError(outcomes.SentNoAnswer(reason, crashed=False))

    async def _check_refusal(self, head: http_client.ResponseHead) -> None:
        """Raises an error if the upstream refused to run the request."""
        if not self.facts.not_run:
            return
        assert self._conn
        if not self._conn.record_refusal(self._call.request, self.facts.request is not None):
            await self.abandon()
            reason = "the refusal may be older than the request"
            raise attempt_errors.AttemptFailedError(outcomes.SentNoAnswer(reason, crashed=False))
        if head.status not in NOT_RUN_STATUSES and not self.facts.misdirected:
            # The request itself was refused, so the refusal is relayed to the caller.
            return
        await self._read_refusal_body()
        raise attempt_errors.refused_error(self._call, head.status, self.facts)

    async def _read_refusal_body(self) -> None:
        """Reads the body of a refusal, so that the connection can be reused."""
        assert self._conn
        complete = False
        with (
            trio.move_on_after(REFUSAL_BODY_TIMEOUT_S),
            contextlib.suppress(exceptions.ProtocolError),
        ):
            await self._conn.receive_body(REFUSAL_BODY_TIMEOUT_S, MAX_REFUSAL_BYTES)
            complete = True
        await (self.finish() if complete else self.abandon())
