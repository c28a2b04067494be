"""Bodies of the completions and chat-completions endpoints of language models.

Requests are decoded into typed structs. The original body is kept as well, so that unknown fields
are passed on to the engine. The router adds the extension fields `cache_salt`, `priority`,
`resume_from` and `kv_import` to requests to engines.
"""

import dataclasses
import enum
from typing import Any

import msgspec

from cicadapier._internal.models import ids
from cicadapier._internal.protocols import partial_json

DONE_EVENT = b"data: [DONE]\n\n"
EVENT_STREAM_TYPE = b"text/event-stream"
_DATA_PREFIX = b"data: "
_EVENT_SEPARATOR = b"\n\n"
MAX_EVENT_BYTES = 1_048_576


class Endpoint(enum.Enum):
    """Endpoints of model requests; the values are their paths."""

    COMPLETIONS = "/v1/completions"
    CHAT = "/v1/chat/completions"


class InvalidBodyError(Exception):
    """A body does not have the format of its endpoint."""


class _Message(msgspec.Struct):
    role: str
    content: Any = ""


class _CommonFields(msgspec.Struct):
    model: str
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = 1


class _ChatBody(_CommonFields, kw_only=True):
    messages: list[_Message]


class _CompletionBody(_CommonFields, kw_only=True):
    prompt: str | list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class ModelRequest:
    """A validated model request.

    Attributes:
        endpoint: Endpoint that it was sent to.
        model: Id of the model.
        stream: Whether the answer is sent as server-sent events.
        max_tokens: Maximum number of tokens in the answer; None if there is no limit.
        prompt: Prompt text; for a chat request, all messages rendered as one text.
        body: Decoded body with all fields, to be passed on to the engine.
    """

    endpoint: Endpoint
    model: ids.ModelId
    stream: bool
    max_tokens: int | None
    prompt: bytes
    body: dict[str, Any]


def parse_request(endpoint: Endpoint, body: bytes, max_depth: int) -> ModelRequest:
    """Decodes and validates a request body.

    Args:
        endpoint: Endpoint that the request was sent to.
        body: JSON text.
        max_depth: Maximum nesting depth of arrays and objects.

    Raises:
        InvalidBodyError: The body is not JSON, is nested too deeply, or has invalid types or
            values.
    """
    try:
        raw = msgspec.json.decode(body)
        if not isinstance(raw, dict):
            raise InvalidBodyError("expected a JSON object")
        _check_depth(raw, max_depth)
        parsed: _CommonFields
        if endpoint is Endpoint.CHAT:
            chat = msgspec.convert(raw, _ChatBody)
            prompt = _render_chat(chat.messages)
            parsed = chat
        else:
            completion = msgspec.convert(raw, _CompletionBody)
            prompt = _render_prompt(completion.prompt)
            parsed = completion
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as exc:
        raise InvalidBodyError(str(exc)) from exc
    max_tokens = parsed.max_completion_tokens
    if max_tokens is None:
        max_tokens = parsed.max_tokens
    _check_values(parsed, max_tokens)
    model = ids.ModelId(parsed.model)
    return ModelRequest(endpoint, model, parsed.stream, max_tokens, prompt, raw)


def _check_values(parsed: _CommonFields, max_tokens: int | None) -> None:
    if max_tokens is not None and max_tokens < 1:
        raise InvalidBodyError("max_tokens must be at least 1")
    if parsed.n not in (None, 1):
        raise InvalidBodyError("n must be 1; more than one choice is not supported")


def _check_depth(value: object, max_depth: int) -> None:
    level_values = [value]
    for _ in range(max_depth + 1):
        children: list[object] = []
        for item in level_values:
            if isinstance(item, dict):
                children.extend(item.values())
            elif isinstance(item, list):
                children.extend(item)
        if not children:
            return
        level_values = children
    raise InvalidBodyError(f"JSON is nested deeper than {max_depth} levels")


def _render_prompt(prompt: str | list[str]) -> bytes:
    if isinstance(prompt, str):
        return prompt.encode()
    if len(prompt) != 1:
        raise InvalidBodyError("expected one prompt; batches of prompts are not supported")
    return prompt[0].encode()


def _render_chat(messages: list[_Message]) -> bytes:
    if not messages:
        raise InvalidBodyError("expected at least one message")
    parts = []
    for message in messages:
        parts.append(f"<|{message.role}|>\n{_read_content_text(message.content)}\n")
    return "".join(parts).encode()


def _read_content_text(content: Any) -> str:
    if isinstance(content, str):
        return content
    if content is None:
        return ""
    if isinstance(content, list):
        texts = [part.get("text") for part in content if isinstance(part, dict)]
        if len(texts) == len(content) and all(isinstance(text, str) for text in texts):
            return "".join(text for text in texts if isinstance(text, str))
    raise InvalidBodyError("message content must be text or a list of text parts")


class EventSplitter:
    """Splits a stream of server-sent events into events that include the final blank line."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def is_overlong(self) -> bool:
        """Whether the incomplete event exceeds the maximum size of an event."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[bytes]:
        """Adds a part of the stream and returns the events that it completes."""
        if _EVENT_SEPARATOR not in self._buffer[-1:] + data:
            # Searching the whole buffer again for each part would take quadratic time for a long
            # event.
            self._buffer += data
            return []
        buffered = bytes(self._buffer) + data
        *events, rest = buffered.split(_EVENT_SEPARATOR)
        self._buffer = bytearray(rest)
        return [event + _EVENT_SEPARATOR for event in events]


class PromptTokensDetails(msgspec.Struct):
    """Details of the prompt tokens in a usage object."""

    cached_tokens: int = 0


class Usage(msgspec.Struct):
    """Token counts of an answer."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0
    prompt_tokens_details: PromptTokensDetails | None = None


class _Choice(msgspec.Struct):
    finish_reason: str | None = None


class Chunk(msgspec.Struct):
    """Fields of an answer, or of a chunk of a streamed answer, that the router reads.

    Attributes:
        id: Id of the answer, which contains the id of the request.
        choices: Choices of the answer.
        usage: Token counts; only some chunks contain them.
        token_offset: Index of the chunk's first token in the answer; None if the engine does not
            send it.
        token_count: Number of tokens in the chunk.
        error: Error that the engine reports; None if there is none.
    """

    id: str = ""
    choices: list[_Choice] = []
    usage: Usage | None = None
    token_offset: int | None = None
    token_count: int = 1
    error: Any = None

    @property
    def is_finished(self) -> bool:
        """Whether this is the last chunk of the answer."""
        return any(choice.finish_reason is not None for choice in self.choices)


_chunk_decoder = msgspec.json.Decoder(Chunk)


def read_chunk(event: bytes) -> Chunk:
    """Decodes a chunk of a streamed answer, or a complete answer.

    Raises:
        InvalidBodyError: The data does not have the format of an answer.
    """
    data = event[len(_DATA_PREFIX) :] if event.startswith(_DATA_PREFIX) else event
    try:
        return _chunk_decoder.decode(data)
    except (*partial_json.DECODING_ERRORS, UnicodeDecodeError) as exc:
        raise InvalidBodyError(str(exc)) from exc


def encode_event(value: object) -> bytes:
    """Returns a server-sent event with a JSON payload."""
    return _DATA_PREFIX + msgspec.json.encode(value) + _EVENT_SEPARATOR
