"""Object store of the stand-in platform: versioned objects, conditional writes and watches."""

import collections
import copy
import dataclasses
import enum
from typing import Any

MAX_VALUE_BYTES = 1_048_576
MAX_KEPT_CHANGES = 10_000  # A watch from a version before these must list again.


class ChangeType(enum.Enum):
    """Type of a watch event, spelled as in the Kubernetes API."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of one object.

    Attributes:
        version: Version of the store after the change.
        type: Type of the change.
        plural: Resource type of the object, as in the path of the API.
        object: The object after the change, or the deleted object.
        at: Time of the change.
    """

    version: int
    type: ChangeType
    plural: str
    object: dict[str, Any]
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """The operation succeeded.

    Attributes:
        object: The object that was read, written or deleted.
    """

    object: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The object exists already or has another version than expected."""

    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Missing:
    """The object does not exist."""


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """The requested version is older than the changes that the store keeps."""


class ObjectStore:
    """Objects by plural resource type and name, in the format of the Kubernetes API."""

    def __init__(self) -> None:
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._changes: collections.deque[Change] = collections.deque(maxlen=MAX_KEPT_CHANGES)
        self._version = 0

    @property
    def version(self) -> int:
        """Version of the latest change."""
        return self._version

    def get(self, plural: str, name: str) -> Stored | Missing:
        """Returns a copy of an object."""
        stored_object = self._objects.get((plural, name))
        return Stored(copy.deepcopy(stored_object)) if stored_object else Missing()

    def list_all(self, plural: str, before: float | None = None) -> list[dict[str, Any]]:
        """Returns the objects of a resource type.

        Args:
            plural: Resource type.
            before: Time as of which to return the objects, reconstructed from the kept changes;
                None for the current objects.
        """
        if before is None:
            items = [
                value for (item_plural, _), value in self._objects.items() if item_plural == plural
            ]
            return copy.deepcopy(items)
        past_objects: dict[str, dict[str, Any]] = {}
        for change in self._changes:
            if change.plural != plural or change.at > before:
                continue
            name = change.object["metadata"]["name"]
            past_objects[name] = change.object
            if change.type is ChangeType.DELETED:
                del past_objects[name]
        return copy.deepcopy(list(past_objects.values()))

    def create(self, plural: str, value: dict[str, Any], now: float) -> Stored | Conflict:
        """Creates an object, unless one with its name exists."""
        name = value["metadata"]["name"]
        if (plural, name) in self._objects:
            return Conflict(f'{plural} "{name}" already exists')
        return self._put(plural, name, value, ChangeType.ADDED, now)

    def replace(
        self, plural: str, name: str, value: dict[str, Any], now: float
    ) -> Stored | Conflict | Missing:
        """Replaces an object, if the resource version in the value, if any, is the current one."""
        stored_object = self._objects.get((plural, name))
        if stored_object is None:
            return Missing()
        expected_version = value.get("metadata", {}).get("resourceVersion")
        if expected_version and expected_version != stored_object["metadata"]["resourceVersion"]:
            return Conflict(f'{plural} "{name}" has been modified')
        return self._put(plural, name, value, ChangeType.MODIFIED, now)

    def delete(
        self, plural: str, name: str, expected_version: str | None, now: float
    ) -> Stored | Conflict | Missing:
        """Deletes an object, if it has the expected resource version or none is expected."""
        stored_object = self._objects.get((plural, name))
        if stored_object is None:
            return Missing()
        if expected_version and expected_version != stored_object["metadata"]["resourceVersion"]:
            return Conflict(f'{plural} "{name}" has been modified')
        del self._objects[plural, name]
        self._record(plural, stored_object, ChangeType.DELETED, now)
        return Stored(stored_object)

    def changes_after(self, plural: str, version: int) -> list[Change] | Expired:
        """Returns the changes of a resource type after a version, oldest first."""
        if self._changes and version < self._changes[0].version - 1:
            return Expired()
        return [c for c in self._changes if c.plural == plural and c.version > version]

    def _put(
        self, plural: str, name: str, value: dict[str, Any], change_type: ChangeType, now: float
    ) -> Stored:
        new_object = copy.deepcopy(value)
        new_object.setdefault("metadata", {})["name"] = name
        self._record(plural, new_object, change_type, now)
        self._objects[plural, name] = new_object
        return Stored(copy.deepcopy(new_object))

    def _record(
        self, plural: str, value: dict[str, Any], change_type: ChangeType, now: float
    ) -> None:
        self._version += 1
        value["metadata"]["resourceVersion"] = str(self._version)
        self._changes.append(Change(self._version, change_type, plural, copy.deepcopy(value), now))
