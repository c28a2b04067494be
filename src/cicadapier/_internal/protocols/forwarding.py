"""Contents and format of forwarded requests.

The contents are the same for all platforms. The format, for example the names of headers, differs
between them and is implemented for each platform.
"""

import abc
import dataclasses

from cicadapier._internal.decisions import prefix
from cicadapier._internal.decisions.scarcity import urgency as urgencies
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.protocols import answers
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import http_server


@dataclasses.dataclass(frozen=True, slots=True)
class ModelWork:
    """Work that a request causes at a language model.

    Attributes:
        model: Id of the model.
        parts: Parts of the prompt, in order from its beginning.
        prompt_tokens: Number of tokens in the prompt.
        output_tokens: Maximum number of tokens in the answer.
    """

    model: ids.ModelId
    parts: tuple[prefix.Part, ...]
    prompt_tokens: int
    output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A request to forward, as received from the caller.

    Attributes:
        request: Request id that the caller chose.
        host: Requested host, in lower case and without port.
        key: Key of the caller; empty if there is none.
        time_left_s: Time for which the caller waits for the answer; None if it does not say.
        resume_after: Number of the last event that the caller says it holds of a stream, from 0
            on; None if it says of none, or nothing that can be read.
        work: Work that it causes at a language model; None for other requests.
        raw: The HTTP request.
        resumes: Id of the request that began the stream to resume; None if the caller names none.
        stated_tokens: Tokens of the prompt and of the answer together that the caller states; None
            if it states none, or no numbers.
        is_resumption_readable: Whether what it says of a stream to resume can be read. If not, it
            may hold events, so that no stream may begin for it.
    """

    request: ids.RequestId
    host: str
    key: str
    time_left_s: float | None
    resume_after: int | None
    work: ModelWork | None
    raw: http_server.Request
    resumes: ids.RequestId | None = None
    stated_tokens: int | None = None
    is_resumption_readable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Instructions:
    """Instructions that the router sends to the upstream with a request.

    Attributes:
        upstream: Upstream that the request is intended for.
        account: Client account; None on a public route.
        time_left_s: Remaining time for the answer.
        cache_scope: Scope in which cached parts of the prompt are shared; empty if there is none.
        weights: Weights version that must answer; None for any version.
        resume_after: Number of the event after which to resume the stream; None to start from the
            beginning.
        import_from: Address from which the upstream imports cached pieces that it lacks, if any.
        export_to: Address to which it exports the pieces that it has computed, if any.
        backup_to: Address to which it backs up the memory of the run as it grows, if any.
        continue_from: Address of the upstream whose backup of this run it continues, if any.
        urgency: Urgency by which the upstream orders its requests; None for its default.
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
    urgency: urgencies.Urgency | None = None


class ForwardingFormat(answers.AnswerFormat):
    """Format of forwarded requests and their answers."""

    @abc.abstractmethod
    def read_request(self, req: http_server.Request) -> ForwardedRequest:
        """Returns the contents of a caller's request.

        Raises:
            BadRequestError: The request lacks a required header.
        """

    @abc.abstractmethod
    def make_request_head(
        self, req: ForwardedRequest, instructions: Instructions
    ) -> http_client.RequestHead:
        """Returns the head of the request to an upstream."""

    @property
    @abc.abstractmethod
    def event_fields(self) -> frozenset[bytes]:
        """Names of the fields that upstreams add to those of the event stream format."""

    @abc.abstractmethod
    def read_event_weights(self, event: bytes) -> str | None:
        """Returns the weights version in an event of a stream; None if it contains none."""

    @abc.abstractmethod
    def filter_answer_headers(self, head: http_client.ResponseHead) -> http_client.Headers:
        """Returns the headers of an upstream's answer that are relayed to the caller."""

    @abc.abstractmethod
    def choose_refusal_status(self, refusal: outcomes.Refusal) -> int:
        """Returns the status code for a refusal.

        It must not claim that the request did not run if it may have run.
        """

    @abc.abstractmethod
    def format_retry_after(self, seconds: float) -> bytes:
        """Returns the value of the `retry-after` header."""
