"""Claims of calls that must run at most once, stored as platform objects."""

import base64
import collections
import dataclasses
import math
import time
from typing import Any

import structlog
import trio

from cicadapier._internal.decisions import claims
from cicadapier._internal.decisions import late_writes
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.kernel import random_tokens
from cicadapier._internal.kernel import service
from cicadapier._internal.models import outcomes
from cicadapier._internal.protocols import store_format
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import names
from cicadapier._internal.services import platform_service

CLAIM_KIND = "claims"
RETRY_PAUSE_S = 1.0
MAX_BACKLOG = 4096

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class HeldClaim:
    """A claim that this router holds.

    Attributes:
        name: Name of the claim object.
        nonce: Identity of the attempt that holds the claim.
        fingerprint: Digest of the request.
        created_at: Creation time, in seconds since the epoch.
    """

    name: str
    nonce: str
    fingerprint: str
    created_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Write the outcome of the call into the claim."""

    held_claim: HeldClaim
    state: claims.ClaimState
    answer: claims.Answer | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """Delete the claim of a call that did not run.

    Attributes:
        held_claim: The claim.
        may_appear: Whether a create without an answer may still take effect, so that a claim that
            is not found has to be looked for again.
    """

    held_claim: HeldClaim
    may_appear: bool = False


Message = RecordOutcome | ReleaseClaim


class ClaimsService(service.Service):
    """Acquires claims in the task of the request; updates and releases them in its own task.

    Outcomes are written in the background, so that a slow platform does not delay answers. Until
    then, a repeated call is refused because its outcome is not known yet.
    """

    name = names.CLAIMS

    def __init__(self, token_source: random_tokens.TokenSource) -> None:
        self._tokens = token_source
        self.mailbox: mailbox.Mailbox[Message] = mailbox.Mailbox()
        self._platform: platform_service.PlatformService | None = None
        self._backlog: collections.deque[Message] = collections.deque(maxlen=MAX_BACKLOG)
        self._late_claims = late_writes.LateWrites[ReleaseClaim]()
        self._idle = trio.Event()

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._platform = kernel.find(names.PLATFORM)
        task_status.started()
        while True:
            if not self._backlog:
                self._idle.set()
                await self._wait_for_work()
                self._idle = trio.Event()
            await self._process_next()

    async def _wait_for_work(self) -> None:
        """Waits for a message, or until claims that may appear late are to be looked for."""
        while not self._backlog:
            check_at = self._late_claims.next_check_at
            message = await self.mailbox.receive_until(math.inf if check_at is None else check_at)
            if message is not None:
                self._backlog.append(message)
            self._backlog.extend(self._late_claims.take_due(trio.current_time()))

    async def drain(self) -> None:
        """Waits until all outcomes and releases are written."""
        await self._idle.wait()

    async def acquire(self, name: str, fingerprint: str) -> HeldClaim | claims.Answer:
        """Acquires the claim of a call.

        Returns:
            The held claim, which permits the call to run, or the recorded answer of an earlier run.

        Raises:
            RefusedError: The call must not run now.
        """
        nonce = self._tokens.token_hex(16)
        held_claim = HeldClaim(name, nonce, fingerprint, time.time())
        attempt = claims.ClaimAttempt(nonce, fingerprint)
        step = attempt.start()
        try:
            while isinstance(step, claims.Create):
                await trio.sleep(step.pause_s)
                step = attempt.handle_result(await self._create(held_claim))
        except trio.Cancelled:
            # The caller disconnected. A claim that may exist must not block a later attempt.
            self.mailbox.try_send(ReleaseClaim(held_claim, may_appear=True))
            raise
        if isinstance(step, claims.Replay):
            return step.answer
        if isinstance(step, claims.Refuse):
            if step.release_claim:
                self.mailbox.try_send(ReleaseClaim(held_claim, may_appear=True))
            raise exceptions.RefusedError(step.refusal)
        return held_claim

    def record_answer(self, held_claim: HeldClaim, answer: claims.Answer) -> None:
        """Records the answer of a call that ran."""
        if answer.body is not None and len(answer.body) > claims.MAX_RECORDED_BODY_BYTES:
            answer = dataclasses.replace(answer, body=None)
        self.mailbox.try_send(RecordOutcome(held_claim, claims.ClaimState.DONE, answer))

    def record_refusal(self, held_claim: HeldClaim, refusal: outcomes.Refusal) -> None:
        """Releases the claim if the refused call did not run, else records an unknown outcome."""
        if refusal.effect is outcomes.Effect.NOT_RUN:
            self.mailbox.try_send(ReleaseClaim(held_claim))
        else:
            self.mailbox.try_send(RecordOutcome(held_claim, claims.ClaimState.UNKNOWN, None))

    async def _create(self, held_claim: HeldClaim) -> claims.CreateResult:
        assert self._platform
        try:
            result = await self._platform.create(
                CLAIM_KIND, held_claim.name, _claim_spec(held_claim)
            )
            if isinstance(result, platform_service.Written):
                return claims.Created()
            existing = await self._platform.get(CLAIM_KIND, held_claim.name)
        except exceptions.PlatformUnavailableError as exc:
            return claims.Unanswered(str(exc))
        except exceptions.PlatformRefusedError as exc:
            return claims.Rejected(str(exc))
        if existing is None:
            # The claim existed and has just been released, so the next create may succeed.
            return claims.Rejected("the claim is being released")
        claim = _read_claim(existing)
        return claims.Exists(claim) if claim else claims.Rejected("the claim cannot be read")

    async def _process_next(self) -> None:
        message = self._backlog.popleft()
        try:
            await self._process(message)
        except exceptions.PlatformUnavailableError:
            self._backlog.append(message)
            await self._collect_messages(RETRY_PAUSE_S)
        except exceptions.PlatformRefusedError as exc:
            _log.warning("claim_not_settled", claim=message.held_claim.name, reason=str(exc))

    async def _collect_messages(self, duration_s: float) -> None:
        deadline = trio.current_time() + duration_s
        while (message := await self.mailbox.receive_until(deadline)) is not None:
            self._backlog.append(message)

    async def _process(self, message: Message) -> None:
        assert self._platform
        existing = await self._platform.get(CLAIM_KIND, message.held_claim.name)
        claim = _read_claim(existing) if existing else None
        if existing is None or claim is None or claim.nonce != message.held_claim.nonce:
            self._await_late_claim(message)
            return
        if isinstance(message, ReleaseClaim):
            await self._platform.delete(CLAIM_KIND, existing)
            self._late_claims.forget(message)
        else:
            spec = _claim_spec(message.held_claim, message.state, message.answer)
            await self._platform.replace(CLAIM_KIND, existing, spec)

    def _await_late_claim(self, message: Message) -> None:
        """Looks for a claim again later if its create may still take effect."""
        if not isinstance(message, ReleaseClaim) or not message.may_appear:
            return
        later = dataclasses.replace(message, may_appear=False)
        if not self._late_claims.add(later, trio.current_time()):
            _log.warning("late_claim_not_awaited", claim=message.held_claim.name)


def _claim_spec(
    held_claim: HeldClaim,
    state: claims.ClaimState = claims.ClaimState.CLAIMED,
    answer: claims.Answer | None = None,
) -> dict[str, Any]:
    spec: dict[str, Any] = {
        "nonce": held_claim.nonce,
        "fingerprint": held_claim.fingerprint,
        "state": state.value,
        "createdAt": held_claim.created_at,
    }
    if answer:
        spec["answer"] = {
            "status": answer.status,
            "contentType": answer.content_type,
            "body": None if answer.body is None else base64.b64encode(answer.body).decode(),
        }
    return spec


def _read_claim(item: store_format.StoredObject) -> claims.Claim | None:
    """Returns the claim in an object, or None if it cannot be read."""
    try:
        return _parse_claim(item.spec)
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as exc:
        _log.warning("claim_unreadable", claim=item.name, reason=repr(exc))
        return None


def _parse_claim(spec: Any) -> claims.Claim:
    raw = spec.get("answer")
    answer = None
    if raw:
        body = raw.get("body")
        answer = claims.Answer(
            int(raw["status"]),
            str(raw["contentType"]),
            None if body is None else base64.b64decode(body),
        )
    state = claims.ClaimState(spec["state"])
    age_s = max(0.0, time.time() - float(spec.get("createdAt", 0.0)))
    return claims.Claim(str(spec["nonce"]), str(spec["fingerprint"]), state, answer, age_s)
