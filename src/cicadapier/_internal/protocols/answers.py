"""What the head of an upstream's answer says of the attempt."""

import abc
import dataclasses

from cicadapier._internal.models import ids
from cicadapier._internal.protocols import headers
from cicadapier._internal.protocols import http_client


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that an upstream tells with an answer.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait for a slot there.
        slots: Requests that it runs at once.
    """

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """Request of an upstream to back off for a while.

    Attributes:
        asked_s: Time that it asks for, None where that cannot be read.
    """

    asked_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """Requests that an upstream takes from all routers together.

    Attributes:
        per_s: Requests a second, None where they cannot be read.
    """

    per_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What the head of an answer says beside the answer itself.

    Attributes:
        request: Request that it names; None where it names none.
        genuine: Whether it bears what only an upstream that ran the request can know, and came as
            the upstream sent it.
        not_run: Whether the upstream says that it did not run the request.
        misdirected: Whether the upstream is not the one, or not at the weights, that was meant.
        upstream: Upstream that it names.
        incarnation: Incarnation that it names.
        weights: Weights version that it names.
        load: Load that it tells.
        idle_s: Time for which the upstream keeps an idle connection.
        leaving: Whether it says that it is leaving.
        pause: Time for which it asks to get no requests, where it turned this one away.
        rate_limit: Rate limit that it names, None where it names none.
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


class AnswerFormat(abc.ABC):
    """Spelling of the heads of answers."""

    @abc.abstractmethod
    def read_answer(self, head: http_client.ResponseHead) -> AnswerFacts:
        """Reads the head of an answer."""

    def make_incarnation_probe(self) -> http_client.RequestHead | None:
        """Returns a call that tells an upstream's incarnation, None where there is none."""
        return None


class NativeAnswerFormat(AnswerFormat):
    """Heads of answers of the product's own upstreams."""

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
