"""Storage of the configuration as platform objects: a head and the chunks that it lists."""

import base64
import collections.abc
import contextlib
import dataclasses
import time
from typing import Any
import zlib

import msgspec
import trio

from cicadapier._internal.decisions import chunks
from cicadapier._internal.decisions import patches
from cicadapier._internal.models import ids
from cicadapier._internal.models import schema
from cicadapier._internal.protocols import partial_json
from cicadapier._internal.protocols import store_format
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import platform_service

HEAD_KIND = "configurations"
HEAD_NAME = "head"
CHUNK_KIND = "configurationchunks"
MAX_TRIES = 4
_RETRY_PAUSE_S = 0.2
_READING_ERRORS = (
    *partial_json.DECODING_ERRORS,
    zlib.error,
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """A configuration as stored on the platform.

    Attributes:
        number: Configuration number.
        document: The complete document.
        history: Changes that led to the document, oldest first.
        chunk_names: Object name of each chunk, by chunk key.
        head: The head object, or None if no patch has been written yet.
    """

    number: ids.ConfigNumber
    document: dict[str, Any]
    history: tuple[patches.Change, ...]
    chunk_names: dict[str, str]
    head: store_format.StoredObject | None


EMPTY = StoredConfiguration(ids.ConfigNumber(0), {"accounts": {}, "pools": {}}, (), {}, None)


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A patch submitted by an operator."""

    patch_id: ids.PatchId
    author: str
    base_number: ids.ConfigNumber
    patch: object


@dataclasses.dataclass(frozen=True, slots=True)
class PatchApplied:
    """The patch was accepted and written."""

    stored: StoredConfiguration


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """It is unknown whether the patch took effect."""

    reason: str


SubmitResult = PatchApplied | OutcomeUnknown | patches.Stale | patches.Invalid


class ConfigurationStore:
    """Reads and patches the configuration on the platform."""

    def __init__(self, platform: platform_service.PlatformService) -> None:
        self._platform = platform
        self._cached_chunks: dict[str, dict[str, Any]] = {}

    async def read_number(self) -> ids.ConfigNumber:
        """Returns the configuration number in the head object."""
        head = await self._platform.get(HEAD_KIND, HEAD_NAME)
        if head is None:
            return EMPTY.number
        with _unreadable_as_unavailable():
            return _read_number(head)

    async def read(self) -> StoredConfiguration:
        """Returns the newest configuration.

        Raises:
            PlatformUnavailableError: The platform did not answer, or the configuration changed
                during each attempt to read it.
            PlatformRefusedError: The platform refused a read.
        """
        for _ in range(MAX_TRIES):
            head = await self._platform.get(HEAD_KIND, HEAD_NAME)
            if head is None:
                return EMPTY
            with _unreadable_as_unavailable():
                document = await self._read_chunks(head.spec["chunks"])
                if document is not None:
                    return _to_stored_configuration(head, document)
        raise exceptions.PlatformUnavailableError(
            "the configuration changed during each attempt to read it"
        )

    async def submit(self, submission: Submission) -> SubmitResult:
        """Checks a patch and writes it unless another patch was written in the meantime."""
        failure = ""
        for attempt in range(MAX_TRIES):
            await trio.sleep(_RETRY_PAUSE_S * attempt)
            try:
                current = await self.read()
                if _contains_patch(current, submission):
                    return PatchApplied(current)
                result = patches.evaluate(
                    current.document,
                    current.number,
                    current.history,
                    submission.patch,
                    submission.base_number,
                )
                if not isinstance(result, patches.Accepted):
                    return result
                await self._write(current, submission, result)
                written = await self.read()
                if _contains_patch(written, submission):
                    return PatchApplied(written)
            except exceptions.PlatformUnavailableError as exc:
                failure = str(exc)
            except exceptions.PlatformRefusedError as exc:
                return OutcomeUnknown(str(exc))
        return OutcomeUnknown(failure or "another patch was written first at each attempt")

    async def _write(
        self, current: StoredConfiguration, submission: Submission, result: patches.Accepted
    ) -> None:
        """Writes the changed chunks, then the head.

        If several routers write at once, the next read shows whose patch took effect.
        """
        number = ids.ConfigNumber(current.number + 1)
        change = patches.Change(
            number,
            submission.patch_id,
            submission.author,
            time.time(),
            result.paths[: patches.MAX_SUMMARY_PATHS],
        )
        old_chunks = chunks.split(current.document)
        chunk_names: dict[str, str] = {}
        for position, (key, content) in enumerate(chunks.split(result.document).items()):
            existing_name = current.chunk_names.get(key)
            if existing_name and old_chunks.get(key) == content:
                chunk_names[key] = existing_name
                continue
            name = f"cfg-{number}-{submission.patch_id}-{position}"
            await self._platform.create(CHUNK_KIND, name, {"data": _encode_chunk(content)})
            chunk_names[key] = name
        history = (*current.history, change)[-patches.MAX_HISTORY :]
        spec = {
            "number": number,
            "chunks": chunk_names,
            "history": [schema.to_plain(item) for item in history],
        }
        if current.head is None:
            written = await self._platform.create(HEAD_KIND, HEAD_NAME, spec)
        else:
            written = await self._platform.replace(HEAD_KIND, current.head, spec)
        if isinstance(written, platform_service.Written):
            await self._delete_unused_chunks(current, chunk_names)

    async def _delete_unused_chunks(
        self, old: StoredConfiguration, new_names: dict[str, str]
    ) -> None:
        # Chunk names are never reused, so no later head can refer to a deleted chunk.
        for name in set(old.chunk_names.values()) - set(new_names.values()):
            chunk = await self._platform.get(CHUNK_KIND, name)
            if chunk:
                await self._platform.delete(CHUNK_KIND, chunk)

    async def _read_chunks(self, chunk_names: dict[str, str]) -> dict[str, Any] | None:
        """Returns the document, or None if a chunk was deleted after the head was read."""
        contents: dict[str, dict[str, Any]] = {}
        for name in chunk_names.values():
            content = self._cached_chunks.get(name)
            if content is None:
                chunk = await self._platform.get(CHUNK_KIND, name)
                if chunk is None:
                    return None
                content = _decode_chunk(chunk.spec["data"])
            contents[name] = content
        self._cached_chunks = contents
        return chunks.join(contents.values())


def _contains_patch(stored: StoredConfiguration, submission: Submission) -> bool:
    return any(change.patch_id == submission.patch_id for change in stored.history)


@contextlib.contextmanager
def _unreadable_as_unavailable() -> collections.abc.Iterator[None]:
    try:
        yield
    except _READING_ERRORS as exc:
        raise exceptions.UnreadableAnswerError(f"unreadable configuration: {exc!r}") from exc


def _read_number(head: store_format.StoredObject) -> ids.ConfigNumber:
    number = head.spec["number"]
    if not isinstance(number, int):
        raise TypeError(f"the number is a {type(number).__name__}")
    return ids.ConfigNumber(number)


def _to_stored_configuration(
    head: store_format.StoredObject, document: dict[str, Any]
) -> StoredConfiguration:
    history = tuple(parse_change(raw) for raw in head.spec["history"])
    return StoredConfiguration(
        _read_number(head), document, history, dict(head.spec["chunks"]), head
    )


def parse_change(raw: Any) -> patches.Change:
    """Converts a change from its JSON form."""
    return patches.Change(
        ids.ConfigNumber(raw["number"]),
        ids.PatchId(raw["patch_id"]),
        str(raw["author"]),
        float(raw["at"]),
        tuple(raw["paths"]),
    )


def _encode_chunk(content: Any) -> str:
    return base64.b64encode(zlib.compress(msgspec.json.encode(content))).decode()


def _decode_chunk(data: str) -> Any:
    return msgspec.json.decode(zlib.decompress(base64.b64decode(data)))
