"""Outcomes of requests and of attempts."""

import dataclasses
import enum
import http

from cicadapier._internal.models import ids


class Effect(enum.Enum):
    """Whether a refused request may have had an effect.

    Attributes:
        NOT_RUN: The request was not run.
        UNKNOWN: The request may have run.
        FAILED: The request ran and failed.
    """

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class RefusalCode(enum.Enum):
    """Reason for a refusal."""

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
    ORIGIN_UNKNOWN = "stream_origin_unknown"
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
    RefusalCode.ORIGIN_UNKNOWN: http.HTTPStatus.SERVICE_UNAVAILABLE,
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
    """Refusal of a request, as the caller receives it.

    Attributes:
        code: Reason for the refusal.
        message: Explanation that the caller can act on.
        effect: Whether the request may have had an effect.
        retry_after_s: Time after which the caller may retry; None if a retry does not help.
    """

    code: RefusalCode
    message: str
    effect: Effect = Effect.NOT_RUN
    retry_after_s: float | None = None

    @property
    def status(self) -> http.HTTPStatus:
        """HTTP status of the refusal."""
        return _STATUS[self.code]

    @property
    def error_type(self) -> str:
        """Error type that clients of language-model APIs expect."""
        if self.code in (RefusalCode.RATE_LIMITED, RefusalCode.OVERLOADED):
            return "rate_limit_error"
        if self.code is RefusalCode.INVALID_KEY:
            return "authentication_error"
        return "invalid_request_error" if self.status < 500 else "server_error"


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request reached the upstream.

    Attributes:
        reason: Why it was not sent.
        withheld: Whether this router itself decided not to send it, which is no evidence of a
            failure of the upstream.
        links_in_doubt: Whether this router may have lost its own links, which is none either.
    """

    reason: str
    withheld: bool = False
    links_in_doubt: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedBeforeRunning:
    """The upstream answered that it did not run the request.

    Attributes:
        reason: Why it was refused.
        retry_after_s: Time after which the upstream may have capacity.
        other_weights: Whether the only cause is that the upstream serves other weights than
            expected.
        expected_weights: Weights version that the request expected; None if it named none.
        served_weights: Weights version that the upstream serves; None if it named none.
    """

    reason: str
    retry_after_s: float = 1.0
    other_weights: bool = False
    expected_weights: str | None = None
    served_weights: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SentNoAnswer:
    """At least a part of the request was sent, and no answer was received.

    Attributes:
        reason: Why there is no answer.
        crashed: Whether the upstream crashed, possibly because of the request.
        unreachable: Whether no connection to the upstream can be opened, possibly because of the
            network.
    """

    reason: str
    crashed: bool
    unreachable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """The answer started but ended before it was complete.

    Attributes:
        reason: Why it ended.
        offset: Number of tokens that were relayed to the caller.
        crashed: Whether the upstream crashed, possibly because of the request.
        continuable: Whether the run can be continued from a backup of its memory.
        unreachable: Whether no connection to the upstream can be opened, possibly because of the
            network.
        had_output: Whether this attempt had produced output, and so did not crash its upstream.
    """

    reason: str
    offset: int
    crashed: bool
    continuable: bool = False
    unreachable: bool = False
    had_output: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """The complete answer was received.

    Attributes:
        status: HTTP status of the answer.
    """

    status: int


def mark_output(outcome: "AttemptOutcome", had_output: bool) -> "AttemptOutcome":
    """Returns the outcome with the fact whether its attempt had produced output."""
    if not isinstance(outcome, Broken):
        return outcome
    return dataclasses.replace(outcome, had_output=had_output)


AttemptOutcome = NotSent | RefusedBeforeRunning | SentNoAnswer | Broken | Complete


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt at a request, for status output and explanations."""

    request: ids.RequestId
    upstream: ids.UpstreamId
    outcome: AttemptOutcome
