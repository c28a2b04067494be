"""How calls to a platform's object store are spelled.

Every store has objects by kind and name, with a version that conditional writes compare, lists and
watches. The spelling differs between platforms; the one client is `services/platform_service.py`.
"""

import abc
import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the store.

    Attributes:
        name: Its name.
        version: Version of its last change, empty for a new object.
        spec: Its content.
    """

    name: str
    version: str
    spec: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """A part of a list.

    Attributes:
        objects: The objects.
        version: Version of the store at which the list is true.
        continue_after: Name to go on from, empty at the end.
    """

    objects: tuple[StoredObject, ...]
    version: str
    continue_after: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of one object."""

    object: StoredObject
    deleted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes of one kind.

    Attributes:
        changes: The changes in order; none where the watch ended without any.
        version: Version to go on from.
    """

    changes: tuple[Change, ...]
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call.

    Attributes:
        method: HTTP method.
        target: Path and query.
        body: Body as a plain value; None sends none.
    """

    method: str
    target: str
    body: Any = None


class StoreFormat(abc.ABC):
    """Spelling of the calls of one platform."""

    @abc.abstractmethod
    def get(self, kind: str, name: str) -> Call:
        """Returns the call that reads one object."""

    @abc.abstractmethod
    def list_page(self, kind: str, after: str) -> Call:
        """Returns the call that lists a kind from after a name on."""

    @abc.abstractmethod
    def watch(self, kind: str, version: str, wait_s: float, allow_stale: bool = False) -> Call:
        """Returns the call that waits for changes after a version.

        Args:
            kind: The kind.
            version: The version.
            wait_s: Longest wait.
            allow_stale: Whether the answer may be seconds old, where that is cheaper.
        """

    @abc.abstractmethod
    def create(self, kind: str, name: str, spec: object) -> Call:
        """Returns the call that creates an object unless the name is taken."""

    @abc.abstractmethod
    def replace(self, kind: str, old: StoredObject, spec: object) -> Call:
        """Returns the call that replaces an object that still has the version of `old`."""

    @abc.abstractmethod
    def delete(self, kind: str, old: StoredObject) -> Call:
        """Returns the call that deletes an object that still has the version of `old`."""

    @abc.abstractmethod
    def read_object(self, body: Any) -> StoredObject:
        """Reads an object."""

    @abc.abstractmethod
    def read_page(self, body: Any) -> Page:
        """Reads a part of a list."""

    @abc.abstractmethod
    def read_changes(self, body: bytes, version: str) -> Changes:
        """Reads the answer of a watch that began at a version."""
