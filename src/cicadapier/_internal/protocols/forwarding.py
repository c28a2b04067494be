"""Forwarded requests: what they ask of the router, and how it passes them on.

The spelling of headers differs between platforms; the meaning is here.
"""

import abc
import dataclasses

from cicadapier._internal.decisions import prefix
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.protocols import answers
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import http_server


@dataclasses.dataclass(frozen=True, slots=True)
class ModelWork:
    """What a request to a language model costs.

    Attributes:
        model: Model that it names.
        parts: Parts of its prompt, outermost prefix first.
        prompt_tokens: Tokens in its prompt.
        output_tokens: Bound on the tokens of the answer.
    """

    model: ids.ModelId
    parts: tuple[prefix.Part, ...]
    prompt_tokens: int
    output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A request as its caller sent it.

    Attributes:
        request: Id that the caller gave it.
        host: Host that it names, in lower case and without port.
        key: Key of the caller, empty without one.
        time_left_s: Time for which the caller waits, None where it does not say.
        resume_after: Event after which a stream goes on, None for a whole one.
        work: What it costs a model; None for other requests.
        raw: The request.
    """

    request: ids.RequestId
    host: str
    key: str
    time_left_s: float | None
    resume_after: int | None
    work: ModelWork | None
    raw: http_server.Request


@dataclasses.dataclass(frozen=True, slots=True)
class Instructions:
    """What the router tells the upstream with a request.

    Attributes:
        upstream: Upstream that it is meant for.
        account: Client account, None on a public route.
        time_left_s: Time that is left for the answer.
        cache_scope: Name of the scope in which prompt parts may be shared, empty for none.
        weights: Weights version that must answer, None for any.
        resume_after: Event after which the stream goes on, None for a whole one.
        import_from: Where the upstream finds cached parts of the prompt that it lacks.
        export_to: Where it sends the parts that it has computed.
        backup_to: Where it sends the memory of the run as it grows.
        continue_from: Upstream whose backup of this run it goes on from.
    """

    upstream: ids.UpstreamId
    account: ids.AccountId | None
    time_left_s: float
    cache_scope: str = ""
    weights: str | None = None
    resume_after: int | None = None
    import_from: ids.Address | None = None
    export_to: ids.Address | None = None
    backup_to: ids.Address | None = None
    continue_from: ids.Address | None = None


class ForwardingFormat(answers.AnswerFormat):
    """Spelling of forwarded requests and their answers."""

    @abc.abstractmethod
    def read_request(self, req: http_server.Request) -> ForwardedRequest:
        """Reads a caller's request.

        Raises:
            BadRequestError: It lacks what it must have.
        """

    @abc.abstractmethod
    def make_request_head(
        self, req: ForwardedRequest, instructions: Instructions
    ) -> http_client.RequestHead:
        """Returns the head to send to an upstream."""

    @abc.abstractmethod
    def read_event_weights(self, event: bytes) -> str | None:
        """Returns the weights version that an event of a stream tells, None where it tells none."""

    @abc.abstractmethod
    def filter_answer_headers(self, head: http_client.ResponseHead) -> http_client.Headers:
        """Returns the headers of an upstream's answer that its caller gets."""

    @abc.abstractmethod
    def choose_refusal_status(self, refusal: outcomes.Refusal) -> int:
        """Returns the status that tells a refusal truthfully."""

    @abc.abstractmethod
    def format_retry_after(self, seconds: float) -> bytes:
        """Returns the value that tells a caller when to come back."""
