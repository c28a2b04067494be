"""The configuration as platform objects: a head and the chunks that it names."""

import base64
import dataclasses
import time
from typing import Any
import zlib

import msgspec
import trio

from cicadapier._internal.decisions import chunks
from cicadapier._internal.decisions import patches
from cicadapier._internal.models import checked
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import store_format
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import platform_service

HEADS = "configurations"
HEAD_NAME = "head"
CHUNKS = "configurationchunks"
WRITE_TRIES = 4
_RETRY_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """A configuration as the platform holds it.

    Attributes:
        number: Its number.
        document: The whole document.
        history: Changes that led to it, oldest first.
        chunk_names: Object of each chunk.
        head: The head object, or None before the first patch.
    """

    number: ids.ConfigNumber
    document: dict[str, Any]
    history: tuple[patches.Change, ...]
    chunk_names: dict[str, str]
    head: store_format.StoredObject | None


EMPTY = StoredConfiguration(ids.ConfigNumber(0), {"accounts": {}, "pools": {}}, (), {}, None)


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A patch as an operator submits it."""

    patch_id: ids.PatchId
    author: str
    base_number: ids.ConfigNumber
    patch: object


@dataclasses.dataclass(frozen=True, slots=True)
class PatchApplied:
    """The patch is accepted and written."""

    stored: StoredConfiguration


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The platform did not tell whether the patch took effect."""

    reason: str


SubmitResult = PatchApplied | OutcomeUnknown | patches.Stale | patches.Invalid


class ConfigurationStore:
    """Reads and patches the configuration on the platform."""

    def __init__(self, platform: platform_service.PlatformService) -> None:
        self._platform = platform
        self._cached_chunks: dict[str, dict[str, Any]] = {}

    async def read_number(self) -> tuple[ids.ConfigNumber, str]:
        """Returns the number in the head and the head's version."""
        head = await self._platform.get(HEADS, HEAD_NAME)
        return (
            (ids.ConfigNumber(head.spec["number"]), head.version) if head else (EMPTY.number, "0")
        )

    async def read(self) -> StoredConfiguration:
        """Returns the newest configuration.

        Raises:
            PlatformUnavailableError: No answer.
            PlatformRefusedError: The platform refuses reads.
        """
        for _ in range(WRITE_TRIES):
            head = await self._platform.get(HEADS, HEAD_NAME)
            if head is None:
                return EMPTY
            document = await self._read_chunks(head.spec["chunks"])
            if document is not None:
                return _stored(head, document)
        raise exceptions.PlatformUnavailableError("the configuration changes too fast to read")

    async def submit(self, submission: Submission) -> SubmitResult:
        """Decides on a patch and writes it on condition that nobody else was faster."""
        unsettled = ""
        for attempt in range(WRITE_TRIES):
            await trio.sleep(_RETRY_S * attempt)
            try:
                current = await self.read()
                if _contains(current, submission):
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
                if _contains(written, submission):
                    return PatchApplied(written)
            except exceptions.PlatformUnavailableError as exc:
                unsettled = str(exc)
            except exceptions.PlatformRefusedError as exc:
                return OutcomeUnknown(str(exc))
        return OutcomeUnknown(unsettled or "other patches were always faster")

    async def _write(
        self, current: StoredConfiguration, submission: Submission, result: patches.Accepted
    ) -> None:
        """Writes the chunks that changed, then the head; the next read tells who won."""
        number = ids.ConfigNumber(current.number + 1)
        change = patches.Change(
            number,
            submission.patch_id,
            submission.author,
            time.time(),
            result.paths[: patches.MAX_SUMMARY_PATHS],
        )
        before = chunks.split(current.document)
        chunk_names: dict[str, str] = {}
        for position, (key, content) in enumerate(chunks.split(result.document).items()):
            known = current.chunk_names.get(key)
            if known and before.get(key) == content:
                chunk_names[key] = known
                continue
            name = f"cfg-{number}-{submission.patch_id}-{position}"
            await self._platform.create(CHUNKS, name, {"data": _pack(content)})
            chunk_names[key] = name
        history = (*current.history, change)[-patches.MAX_HISTORY :]
        spec = {
            "number": number,
            "chunks": chunk_names,
            "history": [checked.to_plain(item) for item in history],
        }
        if current.head is None:
            written = await self._platform.create(HEADS, HEAD_NAME, spec)
        else:
            written = await self._platform.replace(HEADS, current.head, spec)
        if isinstance(written, platform_service.Written):
            await self._delete_dropped(current, chunk_names)

    async def _delete_dropped(self, before: StoredConfiguration, kept: dict[str, str]) -> None:
        # Names are never used again, so no later head can refer to a dropped chunk.
        for name in set(before.chunk_names.values()) - set(kept.values()):
            found = await self._platform.get(CHUNKS, name)
            if found:
                await self._platform.delete(CHUNKS, found)

    async def _read_chunks(self, names: dict[str, str]) -> dict[str, Any] | None:
        """Returns the document, or None where a chunk has gone since the head was read."""
        cached: dict[str, dict[str, Any]] = {}
        for name in names.values():
            content = self._cached_chunks.get(name)
            if content is None:
                found = await self._platform.get(CHUNKS, name)
                if found is None:
                    return None
                content = _unpack(found.spec["data"])
            cached[name] = content
        self._cached_chunks = cached
        return chunks.join(cached.values())


def _contains(stored: StoredConfiguration, submission: Submission) -> bool:
    return any(change.patch_id == submission.patch_id for change in stored.history)


def _stored(head: store_format.StoredObject, document: dict[str, Any]) -> StoredConfiguration:
    history = tuple(read_change(raw) for raw in head.spec["history"])
    number = ids.ConfigNumber(head.spec["number"])
    return StoredConfiguration(number, document, history, dict(head.spec["chunks"]), head)


def read_change(raw: Any) -> patches.Change:
    """Returns a change from its plain form."""
    return patches.Change(
        ids.ConfigNumber(raw["number"]),
        ids.PatchId(raw["patch_id"]),
        str(raw["author"]),
        float(raw["at"]),
        tuple(raw["paths"]),
    )


def _pack(content: Any) -> str:
    return base64.b64encode(zlib.compress(msgspec.json.encode(content))).decode()


def _unpack(data: str) -> Any:
    return msgspec.json.decode(zlib.decompress(base64.b64decode(data)))
