"""Outcomes of requests and of attempts, as tagged values."""

import dataclasses
import enum
import http

from cicadapier._internal.models import ids


class Effect(enum.Enum):
    """What a refusal says of the request's effect."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class RefusalCode(enum.Enum):
    """Reason of a refusal."""

    INVALID_REQUEST = "invalid_request"
    INVALID_KEY = "invalid_api_key"
    NOT_PERMITTED = "not_permitted"
    NOT_FOUND = "not_found"
    MODEL_NOT_FOUND = "model_not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    SLOW_REQUEST = "slow_request"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_FAILED = "upstream_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    STREAM_BROKEN = "stream_broken"
    POISON = "request_crashes_upstreams"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CLAIM_IN_PROGRESS = "claim_in_progress"
    CLAIM_MISMATCH = "idempotency_key_reused"
    NOT_READY = "not_ready"
    DRAINING = "draining"
    DEADLINE = "deadline_exceeded"
    STALE_CONFIGURATION = "configuration_not_proved"
    INTERNAL = "internal_error"


_STATUS = {
    RefusalCode.INVALID_REQUEST: http.HTTPStatus.BAD_REQUEST,
    RefusalCode.INVALID_KEY: http.HTTPStatus.UNAUTHORIZED,
    RefusalCode.NOT_PERMITTED: http.HTTPStatus.FORBIDDEN,
    RefusalCode.NOT_FOUND: http.HTTPStatus.NOT_FOUND,
    RefusalCode.MODEL_NOT_FOUND: http.HTTPStatus.NOT_FOUND,
    RefusalCode.METHOD_NOT_ALLOWED: http.HTTPStatus.METHOD_NOT_ALLOWED,
    RefusalCode.BODY_TOO_LARGE: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    RefusalCode.HEADERS_TOO_LARGE: http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    RefusalCode.SLOW_REQUEST: http.HTTPStatus.REQUEST_TIMEOUT,
    RefusalCode.RATE_LIMITED: http.HTTPStatus.TOO_MANY_REQUESTS,
    RefusalCode.OVERLOADED: http.HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalCode.NO_UPSTREAM: http.HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalCode.UPSTREAM_FAILED: http.HTTPStatus.BAD_GATEWAY,
    RefusalCode.OUTCOME_UNKNOWN: http.HTTPStatus.BAD_GATEWAY,
    RefusalCode.STREAM_BROKEN: http.HTTPStatus.BAD_GATEWAY,
    RefusalCode.POISON: http.HTTPStatus.UNPROCESSABLE_ENTITY,
    RefusalCode.CLAIM_UNAVAILABLE: http.HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalCode.CLAIM_IN_PROGRESS: http.HTTPStatus.CONFLICT,
    RefusalCode.CLAIM_MISMATCH: http.HTTPStatus.UNPROCESSABLE_ENTITY,
    RefusalCode.NOT_READY: http.HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalCode.DRAINING: http.HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalCode.DEADLINE: http.HTTPStatus.GATEWAY_TIMEOUT,
    RefusalCode.STALE_CONFIGURATION: http.HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalCode.INTERNAL: http.HTTPStatus.INTERNAL_SERVER_ERROR,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A truthful refusal of a request.

    Attributes:
        code: Reason.
        message: Sentence that the caller can act on.
        effect: What is known of the request's effect.
        retry_after_s: When the caller may try again, or None where a repeat is no help.
    """

    code: RefusalCode
    message: str
    effect: Effect = Effect.NOT_RUN
    retry_after_s: float | None = None

    @property
    def status(self) -> http.HTTPStatus:
        """HTTP status that fits the reason."""
        return _STATUS[self.code]

    @property
    def error_type(self) -> str:
        """Error family as language-model clients know it."""
        if self.code in (RefusalCode.RATE_LIMITED, RefusalCode.OVERLOADED):
            return "rate_limit_error"
        if self.code is RefusalCode.INVALID_KEY:
            return "authentication_error"
        return "invalid_request_error" if self.status < 500 else "server_error"


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request reached the upstream.

    Attributes:
        reason: Why.
        withheld: Whether only this router held it back, which says nothing of the upstream.
    """

    reason: str
    withheld: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedBeforeRunning:
    """The upstream said that it did not run the request.

    Attributes:
        reason: Why.
        retry_after_s: When it may have room.
        other_weights: Whether it merely serves other weights than were expected.
    """

    reason: str
    retry_after_s: float = 1.0
    other_weights: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SentNoAnswer:
    """The request was sent, wholly or in part, and no answer to it came.

    Attributes:
        crashed: Whether the upstream went down, which may be the request's doing.
        unreachable: Whether no connection to it can be made, which may be the network's.
    """

    reason: str
    crashed: bool
    unreachable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """The answer began and ended early.

    Attributes:
        offset: Tokens that were relayed to the caller.
        crashed: Whether the upstream went down, which may be the request's doing.
        continuable: Whether the run may go on from a backup of its memory.
        unreachable: Whether no connection to it can be made, which may be the network's.
    """

    reason: str
    offset: int
    crashed: bool
    continuable: bool = False
    unreachable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """The answer came whole."""

    status: int


AttemptOutcome = NotSent | RefusedBeforeRunning | SentNoAnswer | Broken | Complete


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt at a request, for status and explanation."""

    request: ids.RequestId
    upstream: ids.UpstreamId
    outcome: AttemptOutcome
