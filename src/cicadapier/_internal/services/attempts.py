"""One attempt at a request on one upstream connection."""

import abc
import collections.abc
import contextlib
import dataclasses
import math
from typing import Generic
from typing import TypeVar

import structlog
import trio

from cicadapier._internal.decisions import progress_deadlines
from cicadapier._internal.decisions import routing
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.protocols import answers
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import http_client
from cicadapier._internal.services import connections_service
from cicadapier._internal.services import upstream_condition

REFUSAL_BODY_S = 0.05  # Longer waits for a connection cost the next attempt more than a new one.
MAX_REFUSAL_BYTES = 65_536
NOT_RUN_STATUSES = frozenset((429, 503))

_log = structlog.get_logger()

_Read = TypeVar("_Read")


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """What is sent in one attempt.

    Attributes:
        request: Id that the answer must name.
        address: Upstream.
        incarnation: Its last known incarnation, empty where none is known.
        head: Start of the request.
        body: Its body.
        connect_s: Time limit for connecting.
        first_s: Time limit for the start of the answer.
        spelling: Spelling of the answer's head.
        upstream: Upstream that is meant, where the request names it.
        weights: Weights version that is meant, where the request names it.
        fresh: Whether to use a new connection, for calls that may not be repeated: a kept one may
            have gone silent, and then their outcome would be unknown.
    """

    request: ids.RequestId
    address: ids.Address
    incarnation: ids.Incarnation
    head: http_client.RequestHead
    body: bytes
    connect_s: float
    first_s: float
    spelling: answers.AnswerFormat = answers.NATIVE
    upstream: ids.UpstreamId | None = None
    weights: str | None = None
    fresh: bool = False


class AttemptFailedError(Exception):
    """The attempt ended before its answer was complete.

    Attributes:
        outcome: What is known of it.
    """

    def __init__(self, outcome: outcomes.AttemptOutcome) -> None:
        super().__init__(getattr(outcome, "reason", ""))
        self.outcome = outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Replacement:
    """Where a request goes on in place of a silent attempt.

    Attributes:
        placed: Its place.
        attempt: An attempt there, which has a connection at least.
    """

    placed: routing.Placed
    attempt: "Attempt"


class AttemptSupersededError(Exception):
    """The attempt has given way to another one.

    Attributes:
        replacement: That one.
        former: How this attempt ended.
    """

    def __init__(self, replacement: Replacement, former: outcomes.AttemptOutcome) -> None:
        super().__init__(getattr(former, "reason", ""))
        self.replacement = replacement
        self.former = former


class Silence(abc.ABC):
    """Judges an answer that shows no progress.

    Silence alone is no reason to end an answer: it may only go on elsewhere.
    """

    @abc.abstractmethod
    def limit_s(self, attempt: "Attempt") -> float:
        """Returns after how long without progress it is judged, infinite for never."""

    @abc.abstractmethod
    async def judge(self, attempt: "Attempt") -> Replacement | None:
        """Returns what takes over, or None where the attempt stands.

        It is cancelled where the attempt shows progress meanwhile.
        """

    def hand_over(self) -> None:
        """Notes that the attempt has failed: what may take over need not be answered first."""
        return


@dataclasses.dataclass
class _Race(Generic[_Read]):
    """A silent read and what may take over from it.

    Attributes:
        data: What was read.
        failure: Why nothing was.
        replacement: What takes over.
        judging: Whether a judgement is under way.
    """

    data: list[_Read] = dataclasses.field(default_factory=list)
    failure: exceptions.ProtocolError | AttemptFailedError | None = None
    replacement: Replacement | None = None
    judging: bool = False


class Attempt:
    """One attempt; owns its connection from `start` to `finish` or `abandon`.

    Attributes:
        head: Start of the answer, once it has come.
        facts: What it says beside the answer itself.
        sent: Whether any byte was handed to the transport, so that the request may have run.
        asked: Whether the whole request was.
        silence: Judges it while it shows no progress; None has it waited for.
    """

    def __init__(
        self,
        connections: connections_service.ConnectionsService,
        call: Call,
        silence: Silence | None = None,
        conn: http_client.ClientConnection | None = None,
        told: collections.abc.Callable[[answers.AnswerFacts], None] | None = None,
    ) -> None:
        """Creates an attempt.

        Args:
            connections: Connections to upstreams.
            call: What is sent.
            silence: See `silence`.
            conn: A new connection to the upstream, which the attempt then owns; None has it make
                one as it starts.
            told: Takes what the head of any answer says, as it comes.
        """
        self._connections = connections
        self._call = call
        self._upstream = upstream_condition.Examiner(
            connections, call.address, call.incarnation, call.spelling
        )
        self.silence = silence
        self._conn = conn
        self._told = told
        self.head: http_client.ResponseHead | None = None
        self.facts = answers.AnswerFacts()
        self.sent = False
        self.asked = False

    @property
    def incarnation(self) -> ids.Incarnation:
        """Incarnation that answers, as far as the answer names it."""
        return self.facts.incarnation or self._call.incarnation

    @property
    def waits(self) -> bool:
        """Whether the request was sent and nothing of an answer has come."""
        return self.asked and self.head is None and self._conn is not None

    async def start(
        self, check: collections.abc.Callable[[], None] | None = None
    ) -> http_client.ResponseHead:
        """Sends the request, unless it was, and waits for the start of the answer.

        Args:
            check: Called in the same step that hands the first byte to the transport; what it
                raises ends the attempt with nothing sent.

        Raises:
            AttemptFailedError: There is no answer that belongs to the request.
            AttemptSupersededError: Another attempt takes over.
        """
        if not self.asked:
            self._conn = self._conn or await self._connect()
            if check:
                await self._run_check(check)
        try:
            await self._send()
            return await self._patiently(self._receive_answer, self._call.first_s)
        except exceptions.ProtocolError as exc:
            raise AttemptFailedError(await self._no_answer(exc)) from exc

    async def _receive_answer(self, timeout_s: float) -> http_client.ResponseHead:
        """Waits for the start of an answer that is not the word that the request was not run."""
        assert self._conn
        self.head = await self._conn.receive_head(timeout_s)
        self.facts = self._call.spelling.read_answer(self.head)
        if self._told:
            self._told(self.facts)
        await self._check_identity()
        await self._check_refusal(self.head)
        return self.head

    async def _connect(self) -> http_client.ClientConnection:
        call = self._call
        try:
            if call.fresh:
                return await self._connections.open(call.address, call.connect_s)
            return await self._connections.acquire(call.address, call.connect_s)
        except exceptions.ConnectError as exc:
            raise AttemptFailedError(outcomes.NotSent(str(exc))) from exc

    async def _send(self) -> None:
        if self.asked:
            return
        assert self._conn
        self.sent = True
        try:
            await self._conn.send(self._call.head, self._call.body)
        except exceptions.ConnectionLostError as exc:
            # The upstream may have answered before it had read the whole request.
            _log.info("request_not_read_whole", request=self._call.request, reason=str(exc))
        self.asked = True

    def watch(self) -> None:
        """Has the reads of a long answer watched from outside, which costs them less."""
        if self._conn:
            self._connections.watch(self._conn)

    async def receive(self, timeout_s: float, offset: int) -> bytes | None:
        """Returns the next part of the answer's body, or None at its end.

        Args:
            timeout_s: Time limit for progress.
            offset: Tokens relayed so far, for the outcome of a failure.

        Raises:
            AttemptFailedError: The answer broke off.
            AttemptSupersededError: Another attempt takes over.
        """
        assert self._conn
        try:
            return await self._patiently(self._conn.receive_data, timeout_s, offset)
        except exceptions.ProtocolError as exc:
            raise AttemptFailedError(await self._broken(exc, offset)) from exc

    async def receive_whole(self, limit_s: float, whole_s: float = math.inf) -> bytes:
        """Returns the rest of the answer's body, for answers that are held whole.

        Args:
            limit_s: Time limit for progress.
            whole_s: Time limit for all of it.

        Raises:
            AttemptFailedError: The answer broke off, did not get on or is too large.
            AttemptSupersededError: Another attempt takes over.
        """
        now = trio.current_time()
        deadline = now + whole_s
        progress = progress_deadlines.BodyProgressDeadline(limit_s, now)
        parts = []
        while (
            part := await self.receive(min(progress.remaining_s(now), deadline - now), 0)
        ) is not None:
            now = trio.current_time()
            progress.record_received(len(part), now)
            if progress.is_too_large:
                await self.abandon()
                reason = f"the answer exceeds {progress_deadlines.MAX_ANSWER_BYTES} bytes"
                raise AttemptFailedError(outcomes.Broken(reason, 0, crashed=False))
            parts.append(part)
        return b"".join(parts)

    async def _patiently(
        self,
        read: collections.abc.Callable[[float], collections.abc.Awaitable[_Read]],
        timeout_s: float,
        offset: int | None = None,
    ) -> _Read:
        """Reads, and has a silence judged while it lasts."""
        deadline = trio.current_time() + timeout_s
        limit_s = self.silence.limit_s(self) if self.silence else math.inf
        if limit_s >= timeout_s:
            return await read(timeout_s)
        try:
            return await read(limit_s)
        except exceptions.SilentConnectionError:
            pass
        race: _Race[_Read] = _Race()
        former = None
        try:
            await self._run_race(race, read, limit_s, deadline)
            if race.replacement is not None:
                former = await self._give_way(race.failure, offset)
        finally:
            if race.replacement is not None and former is None:
                await race.replacement.attempt.abandon()
        if race.replacement is not None and former is not None:
            raise AttemptSupersededError(race.replacement, former)
        if race.failure is not None:
            raise race.failure
        return race.data[0]

    async def _run_race(
        self,
        race: _Race[_Read],
        read: collections.abc.Callable[[float], collections.abc.Awaitable[_Read]],
        pause_s: float,
        deadline: float,
    ) -> None:
        """Reads on while the silence is judged, until either ends the other."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._have_judged, race, pause_s, nursery.cancel_scope)
            try:
                race.data.append(await read(deadline - trio.current_time()))
            except (exceptions.ProtocolError, AttemptFailedError) as exc:
                race.failure = exc
                assert self.silence
                self.silence.hand_over()
            if race.data or not race.judging:
                nursery.cancel_scope.cancel()

    async def _have_judged(
        self, race: _Race[_Read], pause_s: float, scope: trio.CancelScope
    ) -> None:
        """Has a silence judged again and again, until something takes over."""
        assert self.silence
        while race.replacement is None and race.failure is None:
            race.judging = True
            race.replacement = await self.silence.judge(self)
            race.judging = False
            if race.replacement is None and race.failure is None:
                await trio.sleep(pause_s)
        scope.cancel()

    async def _give_way(
        self, failure: exceptions.ProtocolError | AttemptFailedError | None, offset: int | None
    ) -> outcomes.AttemptOutcome:
        """Ends this attempt for another one, and returns its outcome."""
        if isinstance(failure, AttemptFailedError):
            return failure.outcome
        silent = exceptions.SilentConnectionError("no progress")
        exc = failure or silent
        if offset is None:
            return await self._no_answer(exc)
        return await self._broken(exc, offset)

    async def is_reachable(self) -> bool:
        """Returns whether a connection to the upstream can be made."""
        return await self._upstream.is_reachable()

    async def finish(self) -> None:
        """Returns the connection to the pool after a whole answer."""
        if self._conn:
            conn, self._conn = self._conn, None
            self._connections.unwatch(conn)
            if self.facts.idle_s is not None:
                conn.max_idle_s = self.facts.idle_s
            await self._connections.release(self._call.address, conn)

    async def abandon(self, suspect: bool = False) -> None:
        """Closes the connection, so that a late answer can reach nobody.

        Args:
            suspect: Whether it has failed, so that its idle siblings may be dead as well.
        """
        if self._conn:
            conn, self._conn = self._conn, None
            self._connections.unwatch(conn)
            with trio.CancelScope(shield=True):
                if suspect:
                    await self._connections.discard(self._call.address, conn)
                else:
                    await conn.close()

    async def _run_check(self, check: collections.abc.Callable[[], None]) -> None:
        """Runs a check before anything is sent; the unused connection stays good."""
        try:
            check()
        except Exception:
            await self.finish()
            raise

    async def _no_answer(self, exc: exceptions.ProtocolError) -> outcomes.SentNoAnswer:
        found = await self._examine(exc)
        return outcomes.SentNoAnswer(_describe(exc), found.crashed, found.unreachable)

    async def _broken(self, exc: exceptions.ProtocolError, offset: int) -> outcomes.Broken:
        found = await self._examine(exc)
        return outcomes.Broken(_describe(exc), offset, found.crashed, unreachable=found.unreachable)

    async def _examine(self, exc: exceptions.ProtocolError) -> upstream_condition.Condition:
        """Asks how the upstream is, since a lost connection proves little."""
        await self.abandon(suspect=True)
        if not isinstance(exc, exceptions.ConnectionLostError):
            return upstream_condition.Condition()
        return await self._upstream.examine()

    async def _check_identity(self) -> None:
        named = self.facts.request
        if named is not None and named != self._call.request:
            await self.abandon()
            reason = "the upstream answered another request"
            raise AttemptFailedError(outcomes.SentNoAnswer(reason, crashed=False))

    async def _check_refusal(self, head: http_client.ResponseHead) -> None:
        if not self.facts.not_run:
            return
        if head.status not in NOT_RUN_STATUSES and not self.facts.misdirected:
            # A refusal for the request's own sake is the caller's answer.
            return
        await self._drop_refusal()
        reason = f"the upstream refused with status {head.status}"
        other = self._has_other_weights()
        raise AttemptFailedError(outcomes.RefusedBeforeRunning(reason, other_weights=other))

    def _has_other_weights(self) -> bool:
        """Returns whether the right upstream merely serves other weights than were meant."""
        facts = self.facts
        if not facts.misdirected or facts.upstream not in (None, self._call.upstream):
            return False
        known = (None, self._call.weights)
        return self._call.weights is not None and facts.weights not in known

    async def _drop_refusal(self) -> None:
        """Reads the rest of a refusal, so that its connection can be used again."""
        assert self._conn
        whole = False
        with trio.move_on_after(REFUSAL_BODY_S), contextlib.suppress(exceptions.ProtocolError):
            await self._conn.receive_body(REFUSAL_BODY_S, MAX_REFUSAL_BYTES)
            whole = True
        await (self.finish() if whole else self.abandon())


def _describe(exc: exceptions.ProtocolError) -> str:
    if isinstance(exc, exceptions.SilentConnectionError):
        return "the upstream made no progress in time"
    if isinstance(exc, exceptions.ConnectionLostError):
        return "the connection to the upstream was lost"
    return "the upstream broke the protocol"
