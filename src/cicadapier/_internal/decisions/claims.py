"""Calls with an idempotency key, which run at most once by means of a claim object.

A claim is created on the platform before the call is sent. Only the attempt whose nonce it contains
may run the call. If the platform's response to a create is lost, the create is repeated: it either
succeeds or returns the existing claim, which names its holder.
"""

import dataclasses
import enum
import hashlib

from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes

MAX_CREATE_TRIES = 3
# Longer than any call takes together with writing its outcome. The clocks of the VMs may differ by
# a few seconds.
ABANDONED_AFTER_S = 300.0
MAX_RECORDED_BODY_BYTES = 524_288


class ClaimState(enum.Enum):
    """State of the call in a claim object; UNKNOWN means that the call may have run."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A recorded answer.

    Attributes:
        status: HTTP status.
        content_type: Content type, or an empty string if there was none.
        body: Body, or None if it was too large to record.
    """

    status: int
    content_type: str
    body: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claim as stored on the platform.

    Attributes:
        nonce: Identity of the attempt that holds the claim.
        fingerprint: Digest of the request.
        state: State of the call.
        answer: The recorded answer, if the state is DONE.
        age_s: Time since the claim was created, subject to clock differences between the VMs.
    """

    nonce: str
    fingerprint: str
    state: ClaimState
    answer: Answer | None = None
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Created:
    """The platform created the claim."""


@dataclasses.dataclass(frozen=True, slots=True)
class Exists:
    """The platform already has a claim with this name."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """The platform did not respond; the create may have taken effect."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The platform rejected the create, which had no effect."""

    reason: str


CreateResult = Created | Exists | Unanswered | Rejected


@dataclasses.dataclass(frozen=True, slots=True)
class Create:
    """Create the claim after a pause.

    Attributes:
        pause_s: Time to wait before the create, in seconds.
    """

    pause_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """This attempt holds the claim: run the call."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The call has already run: return its recorded answer."""

    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the call.

    Attributes:
        refusal: Refusal to return to the caller.
        release_claim: Whether a claim of this attempt may exist and must be deleted.
    """

    refusal: outcomes.Refusal
    release_claim: bool


ClaimStep = Create | Run | Replay | Refuse


def claim_name(account: ids.AccountId, pool: ids.PoolId, key: str) -> str:
    """Returns the name of the claim object of an idempotency key."""
    digest = hashlib.sha256()
    for part in (account, pool, key):
        digest.update(len(part.encode()).to_bytes(4, "big") + part.encode())
    return f"claim-{digest.hexdigest()[:40]}"


def request_fingerprint(method: str, target: str, body: bytes) -> str:
    """Returns the digest that distinguishes a repeat of a request from a different request."""
    head = f"{method} {target}\n".encode()
    return hashlib.sha256(head + body).hexdigest()[:32]


class ClaimAttempt:
    """One attempt to get the claim of a call.

    The class decides the next step; the caller carries it out and reports the result.
    """

    def __init__(self, nonce: str, fingerprint: str) -> None:
        self._nonce = nonce
        self._fingerprint = fingerprint
        self._tries = 0
        self._may_exist = False

    def start(self) -> ClaimStep:
        """Returns the first step."""
        return Create(0.0)

    def handle_result(self, result: CreateResult) -> ClaimStep:
        """Processes the result of a create and returns the next step."""
        self._tries += 1
        if isinstance(result, Created):
            return Run()
        if isinstance(result, Exists):
            return self._handle_existing(result.claim)
        self._may_exist = self._may_exist or isinstance(result, Unanswered)
        if self._tries < MAX_CREATE_TRIES:
            return Create(0.05 * 2**self._tries)
        refusal = outcomes.Refusal(
            outcomes.RefusalCode.CLAIM_UNAVAILABLE,
            f"the claim could not be created, so the call was not sent: {result.reason}",
            outcomes.Effect.NOT_RUN,
            retry_after_s=2.0,
        )
        return Refuse(refusal, release_claim=self._may_exist)

    def _handle_existing(self, claim: Claim) -> ClaimStep:
        if claim.fingerprint != self._fingerprint:
            refusal = outcomes.Refusal(
                outcomes.RefusalCode.CLAIM_MISMATCH,
                "this idempotency key was already used for a different request",
                outcomes.Effect.NOT_RUN,
            )
            return Refuse(refusal, release_claim=False)
        if claim.nonce == self._nonce:
            return Run()
        if claim.state is ClaimState.DONE and claim.answer and claim.answer.body is not None:
            return Replay(claim.answer)
        return Refuse(_repeat_refusal(claim), release_claim=False)


def _repeat_refusal(claim: Claim) -> outcomes.Refusal:
    if claim.state is ClaimState.DONE:
        status = claim.answer.status if claim.answer else 0
        return outcomes.Refusal(
            outcomes.RefusalCode.OUTCOME_UNKNOWN,
            f"the call has already run with status {status}; its answer was too large to record",
            outcomes.Effect.UNKNOWN,
        )
    if claim.state is ClaimState.UNKNOWN:
        return outcomes.Refusal(
            outcomes.RefusalCode.OUTCOME_UNKNOWN,
            "the first call with this key may have run; it is not repeated",
            outcomes.Effect.UNKNOWN,
        )
    if claim.age_s > ABANDONED_AFTER_S:
        return outcomes.Refusal(
            outcomes.RefusalCode.OUTCOME_UNKNOWN,
            "the router that started the call did not record its outcome; the call may have run",
            outcomes.Effect.UNKNOWN,
        )
    return outcomes.Refusal(
        outcomes.RefusalCode.CLAIM_IN_PROGRESS,
        "a call with this key is in progress; its outcome is not known yet",
        outcomes.Effect.UNKNOWN,
        retry_after_s=1.0,
    )
