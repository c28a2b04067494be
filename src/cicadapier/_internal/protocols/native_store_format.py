"""The router's own store format, which follows the conventions of the Kubernetes API."""

from typing import Any

from cicadapier._internal.models import ids
from cicadapier._internal.models import store_versions
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import partial_json
from cicadapier._internal.protocols import store_format

ROOT = "/apis/cicadapier.io/v1"


class NativeStoreFormat(store_format.StoreFormat):
    """Store format with Kubernetes-style paths, bodies and watches."""

    def get(self, kind: str, name: str) -> store_format.Call:
        """See `StoreFormat.get`."""
        return store_format.Call("GET", f"{ROOT}/{kind}/{name}")

    def list_page(self, kind: str, after: str) -> store_format.Call:
        """See `StoreFormat.list_page`; one page holds the whole list, so `after` has no effect."""
        return store_format.Call("GET", f"{ROOT}/{kind}")

    def watch(
        self,
        kind: str,
        version: store_versions.StoreVersion,
        wait_s: float,
        allow_stale: bool = False,
    ) -> store_format.Call:
        """See `StoreFormat.watch`; `allow_stale` has no effect.

        The answer is complete only when the wait is over.
        """
        query = f"watch=1&resourceVersion={version.revision}&timeoutSeconds={wait_s:.3f}"
        return store_format.Call("GET", f"{ROOT}/{kind}?{query}")

    def create(self, kind: str, name: str, spec: object) -> store_format.Call:
        """See `StoreFormat.create`."""
        body = {"metadata": {"name": name}, "spec": spec}
        return store_format.Call("POST", f"{ROOT}/{kind}", body)

    def replace(self, kind: str, old: store_format.StoredObject, spec: object) -> store_format.Call:
        """See `StoreFormat.replace`."""
        metadata = {"name": old.name, "resourceVersion": old.version.revision}
        body = {"metadata": metadata, "spec": spec}
        return store_format.Call("PUT", f"{ROOT}/{kind}/{old.name}", body)

    def delete(self, kind: str, old: store_format.StoredObject) -> store_format.Call:
        """See `StoreFormat.delete`."""
        body = {"preconditions": {"resourceVersion": old.version.revision}}
        return store_format.Call("DELETE", f"{ROOT}/{kind}/{old.name}", body)

    def read_object(self, body: Any, epoch: ids.StoreEpoch | None) -> store_format.StoredObject:
        """See `StoreFormat.read_object`."""
        metadata = body.get("metadata", {})
        return store_format.StoredObject(
            str(metadata.get("name", "")),
            store_versions.StoreVersion(epoch, str(metadata.get("resourceVersion", ""))),
            body.get("spec", {}),
        )

    def read_page(self, body: Any, epoch: ids.StoreEpoch | None) -> store_format.Page:
        """See `StoreFormat.read_page`."""
        objects = tuple(self.read_object(item, epoch) for item in body.get("items", []))
        revision = str(body.get("metadata", {}).get("resourceVersion", "0"))
        return store_format.Page(objects, store_versions.StoreVersion(epoch, revision))

    def read_changes(self, body: bytes, since: store_versions.StoreVersion) -> store_format.Changes:
        """See `StoreFormat.read_changes`."""
        changes = []
        version = since
        for line in body.splitlines():
            event = partial_json.decode(line, store_format.CHANGE_LEVELS)
            stored = self.read_object(event["object"], since.epoch)
            changes.append(store_format.Change(stored, event["type"] == "DELETED"))
            version = stored.version
        return store_format.Changes(tuple(changes), version)

    def read_epoch(self, head: http_client.ResponseHead) -> ids.StoreEpoch | None:
        """See `StoreFormat.read_epoch`; this store names no epochs."""
        return None
