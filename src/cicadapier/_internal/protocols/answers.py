"""Metadata about an attempt in the head of an upstream's answer."""

import abc
import dataclasses

from cicadapier._internal.models import ids
from cicadapier._internal.protocols import headers
from cicadapier._internal.protocols import http_client


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that an upstream reports with an answer.

    A figure is None if it is missing or cannot be true.

    Attributes:
        running: Number of running requests.
        waiting: Number of requests that wait for a slot.
        slots: Maximum number of requests that run at the same time.
        slowness: How long work takes there at present; 1.0 as usual, 2.0 twice as long.
        is_odd: Whether a figure was missing or could not be true.
        quoted: Beginning of an odd report, for the log.
    """

    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    slowness: float | None = None
    is_odd: bool = False
    quoted: str = ""

    @property
    def requests(self) -> int | None:
        """Number of requests at the upstream; a missing number of waiting ones counts as none."""
        return None if self.running is None else self.running + (self.waiting or 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """Request of an upstream not to be sent requests for some time.

    Attributes:
        asked_s: Time that it asks for; None if it cannot be read.
    """

    asked_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """Rate limit that an upstream announces for all routers together.

    Attributes:
        per_s: Requests per second; None if the limit cannot be read.
    """

    per_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """Rejections that an upstream bears.

    Attributes:
        per_s: Rejections per second beyond which it falls over; None if they cannot be read.
    """

    per_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerFacts:
    """Metadata in the head of an answer.

    Attributes:
        request: Id of the request that it answers; None if it contains no id.
        genuine: Whether it contains a proof that only an upstream that ran the request can give,
            was not changed on its way, and has a status that does not contradict the proof.
        not_run: Whether the upstream reports that it did not run the request.
        misdirected: Whether the request reached another upstream, or another weights version,
            than it was intended for.
        upstream: Id of the upstream; None if it contains none.
        incarnation: Incarnation of the upstream; None if it contains none.
        weights: Weights version of the upstream; None if it contains none.
        load: Load of the upstream; None if it reports none.
        idle_s: Time for which the upstream keeps an idle connection open; None if unknown.
        leaving: Whether the upstream reports that it is leaving.
        pause: Pause that the upstream asks for when it rejects the request; None if it asks for
            none.
        rate_limit: Rate limit that the upstream announces; None if it announces none.
        tolerance: Rejections that the upstream bears; None if it does not say that it is brittle.
    """

    request: ids.RequestId | None = None
    genuine: bool = True
    not_run: bool = False
    misdirected: bool = False
    upstream: ids.UpstreamId | None = None
    incarnation: ids.Incarnation | None = None
    weights: str | None = None
    load: ReportedLoad | None = None
    idle_s: float | None = None
    leaving: bool = False
    pause: Pause | None = None
    rate_limit: RateLimit | None = None
    tolerance: Tolerance | None = None

    def has_only_other_weights(self, upstream: ids.UpstreamId | None, weights: str | None) -> bool:
        """Returns whether an upstream refused a request only because it serves other weights.

        Args:
            upstream: Intended upstream, if the request named it.
            weights: Intended weights version, if the request named it.
        """
        if not self.misdirected or self.upstream not in (None, upstream):
            return False
        return weights is not None and self.weights not in (None, weights)


class AnswerFormat(abc.ABC):
    """Format of the heads of answers."""

    @abc.abstractmethod
    def read_answer(self, head: http_client.ResponseHead) -> AnswerFacts:
        """Returns the metadata in the head of an answer."""

    def make_incarnation_probe(self) -> http_client.RequestHead | None:
        """Returns a query for an upstream's incarnation; None if the format has no such query."""
        return None


class NativeAnswerFormat(AnswerFormat):
    """Format of the answers of the project's own upstreams."""

    def read_answer(self, head: http_client.ResponseHead) -> AnswerFacts:
        """See `AnswerFormat.read_answer`."""
        request = head.header(headers.REQUEST_ID)
        incarnation = head.header(headers.INCARNATION)
        return AnswerFacts(
            request=ids.RequestId(request.decode("latin-1")) if request is not None else None,
            not_run=head.status >= 400 and head.header(headers.NOT_RUN) == b"true",
            incarnation=ids.Incarnation(incarnation.decode("latin-1")) if incarnation else None,
        )

    def make_incarnation_probe(self) -> http_client.RequestHead | None:
        """See `AnswerFormat.make_incarnation_probe`."""
        return http_client.RequestHead("GET", "/load", [])


NATIVE = NativeAnswerFormat()
