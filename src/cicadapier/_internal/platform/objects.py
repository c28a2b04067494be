"""Format of the calls to the platform's object store."""

import contextlib
from typing import Any
import urllib.parse

import msgspec

from cicadapier._internal.models import ids
from cicadapier._internal.models import store_versions
from cicadapier._internal.platform import wire_headers
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import partial_json
from cicadapier._internal.protocols import store_format

_ROOT = "/api/objects"


class ObjectFormat(store_format.StoreFormat):
    """Writes requests to the object store and reads its responses."""

    def get(self, kind: str, name: str) -> store_format.Call:
        """See `StoreFormat.get`."""
        return store_format.Call("GET", _make_object_path(kind, name))

    def list_page(self, kind: str, after: str) -> store_format.Call:
        """See `StoreFormat.list_page`."""
        query = f"?after={urllib.parse.quote(after, safe='')}" if after else ""
        return store_format.Call("GET", f"{_ROOT}/{kind}{query}")

    def watch(
        self,
        kind: str,
        version: store_versions.StoreVersion,
        wait_s: float,
        allow_stale: bool = False,
    ) -> store_format.Call:
        """See `StoreFormat.watch`."""
        query = (
            f"watch={version.revision}&wait_ms={round(wait_s * 1000)}"
            f"{'&allow_stale=1' if allow_stale else ''}"
        )
        return store_format.Call("GET", f"{_ROOT}/{kind}?{query}")

    def create(self, kind: str, name: str, spec: object) -> store_format.Call:
        """See `StoreFormat.create`."""
        return store_format.Call("POST", f"{_ROOT}/{kind}", _make_object_body(name, spec))

    def replace(self, kind: str, old: store_format.StoredObject, spec: object) -> store_format.Call:
        """See `StoreFormat.replace`."""
        body = _make_object_body(old.name, spec)
        body["metadata"]["rev"] = int(old.version.revision)
        return store_format.Call("PUT", _make_object_path(kind, old.name), body)

    def delete(self, kind: str, old: store_format.StoredObject) -> store_format.Call:
        """See `StoreFormat.delete`."""
        path = _make_object_path(kind, old.name)
        return store_format.Call("DELETE", f"{path}?rev={old.version.revision}")

    def read_object(self, body: Any, epoch: ids.StoreEpoch | None) -> store_format.StoredObject:
        """See `StoreFormat.read_object`."""
        parsed = msgspec.convert(body, _Object)
        version = store_versions.StoreVersion(epoch, str(parsed.metadata.rev))
        return store_format.StoredObject(parsed.metadata.name, version, parsed.spec)

    def read_page(self, body: Any, epoch: ids.StoreEpoch | None) -> store_format.Page:
        """See `StoreFormat.read_page`."""
        page = msgspec.convert(body, _Page)
        objects = []
        for item in page.items:
            with contextlib.suppress(msgspec.ValidationError):
                objects.append(self.read_object(item, epoch))
        if page.has_more and not objects:
            raise msgspec.ValidationError("no name on the page can be read")
        continue_after = objects[-1].name if page.has_more else ""
        unnamed = len(page.items) - len(objects)
        version = store_versions.StoreVersion(epoch, str(page.as_of))
        return store_format.Page(tuple(objects), version, continue_after, unnamed)

    def read_changes(self, body: bytes, since: store_versions.StoreVersion) -> store_format.Changes:
        """See `StoreFormat.read_changes`."""
        answer = partial_json.decode(body, store_format.CHANGES_LEVELS)
        parsed = msgspec.convert(answer, _Changes)
        changes = []
        for item in parsed.events:
            with contextlib.suppress(msgspec.ValidationError):
                event = msgspec.convert(item, _Event)
                changed = self.read_object(event.object, since.epoch)
                changes.append(store_format.Change(changed, event.deleted))
        # A stale response can be older than the version that the watch started from. The version
        # must not go back.
        revision = str(max(parsed.as_of, int(since.revision)))
        next_version = store_versions.StoreVersion(since.epoch, revision)
        unnamed = len(parsed.events) - len(changes)
        return store_format.Changes(tuple(changes), next_version, unnamed)

    def read_epoch(self, head: http_client.ResponseHead) -> ids.StoreEpoch | None:
        """See `StoreFormat.read_epoch`."""
        return wire_headers.read_epoch(head)


class _Metadata(msgspec.Struct):
    name: str
    rev: int  # Store revision of the last change of the object.


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: Any = None


class _Page(msgspec.Struct):
    as_of: int  # Store revision that the page shows.
    items: list[Any] = []
    has_more: bool = False


class _Event(msgspec.Struct):
    object: Any
    deleted: bool = False


class _Changes(msgspec.Struct):
    as_of: int
    events: list[Any] = []


def _make_object_path(kind: str, name: str) -> str:
    return f"{_ROOT}/{kind}/{urllib.parse.quote(name, safe='')}"


def _make_object_body(name: str, spec: object) -> dict[str, Any]:
    return {"metadata": {"name": name}, "spec": spec}
