"""Interface of the formats of calls to a platform's object store.

Every store identifies objects by kind and name, lists and watches them by kind, and gives each
object a version, which conditional writes compare. The encoding of the calls differs between
platforms; the client, `services/platform_service.py`, is the same for all of them.
"""

import abc
import dataclasses
from typing import Any

from cicadapier._internal.models import ids
from cicadapier._internal.models import store_versions
from cicadapier._internal.protocols import http_client

# Levels of an answer, counted from its outermost object, whose items are read separately if one of
# them cannot be read: down to the members of an object, so that its content as a whole is readable
# or not.
OBJECT_LEVELS = 1
PAGE_LEVELS = 3
CHANGE_LEVELS = 2
CHANGES_LEVELS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object in the store.

    Attributes:
        name: Name, unique within the kind.
        version: Version of its last change.
        spec: Content, or `partial_json.Unreadable`.
    """

    name: str
    version: store_versions.StoreVersion
    spec: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """One page of a list of objects.

    Attributes:
        objects: Objects on this page.
        version: Version of the store that the page reflects.
        continue_after: Name after which the next page begins, empty on the last page.
        unnamed: Number of objects on this page whose names cannot be read.
    """

    objects: tuple[StoredObject, ...]
    version: store_versions.StoreVersion
    continue_after: str = ""
    unnamed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of one object.

    Attributes:
        object: The object after the change, or before it was deleted.
        deleted: Whether the change deleted the object.
    """

    object: StoredObject
    deleted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes of the objects of one kind that one watch returned.

    Attributes:
        changes: The changes, oldest first; empty if the watch ended without any.
        version: Version after which the next watch begins.
        unnamed: Number of changed objects whose names cannot be read.
    """

    changes: tuple[Change, ...]
    version: store_versions.StoreVersion
    unnamed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One HTTP call to the store.

    Attributes:
        method: HTTP method.
        target: Path and query.
        body: Body as a plain value to encode as JSON, or None for a call without a body.
    """

    method: str
    target: str
    body: Any = None


class StoreFormat(abc.ABC):
    """Encodes the calls to one platform's object store and decodes its answers."""

    @abc.abstractmethod
    def get(self, kind: str, name: str) -> Call:
        """Returns the call that reads one object."""

    @abc.abstractmethod
    def list_page(self, kind: str, after: str) -> Call:
        """Returns the call that lists one page of the objects of a kind.

        Args:
            kind: The kind.
            after: Name after which the page begins, empty for the first page.
        """

    @abc.abstractmethod
    def watch(
        self,
        kind: str,
        version: store_versions.StoreVersion,
        wait_s: float,
        allow_stale: bool = False,
    ) -> Call:
        """Returns the call that waits for changes of the objects of a kind.

        Args:
            kind: The kind.
            version: Version after which changes are returned.
            wait_s: Longest wait.
            allow_stale: Whether the answer may be seconds old if this is cheaper for the platform.
        """

    @abc.abstractmethod
    def create(self, kind: str, name: str, spec: object) -> Call:
        """Returns the call that creates an object unless the name is taken."""

    @abc.abstractmethod
    def replace(self, kind: str, old: StoredObject, spec: object) -> Call:
        """Returns the call that replaces an object if it still has the version of `old`."""

    @abc.abstractmethod
    def delete(self, kind: str, old: StoredObject) -> Call:
        """Returns the call that deletes an object if it still has the version of `old`."""

    @abc.abstractmethod
    def read_object(self, body: Any, epoch: ids.StoreEpoch | None) -> StoredObject:
        """Returns the object in the parsed JSON of an answer.

        Args:
            body: The parsed answer.
            epoch: Epoch of the store in which it answered.

        Raises:
            MsgspecError: Its name or its version cannot be read.
        """

    @abc.abstractmethod
    def read_page(self, body: Any, epoch: ids.StoreEpoch | None) -> Page:
        """Returns the page of a list in the parsed JSON of an answer.

        Args:
            body: The parsed answer.
            epoch: Epoch of the store in which it answered.

        Raises:
            MsgspecError: The page cannot be read, or it does not show where the next one begins.
        """

    @abc.abstractmethod
    def read_changes(self, body: bytes, since: store_versions.StoreVersion) -> Changes:
        """Decodes the answer to a watch.

        Args:
            body: Body of the answer.
            since: Version after which the watch began, of the epoch in which the store answered.

        Raises:
            MsgspecError: The answer cannot be read.
        """

    @abc.abstractmethod
    def read_epoch(self, head: http_client.ResponseHead) -> ids.StoreEpoch | None:
        """Returns the epoch that an answer names; None if it names none or an unreadable one.

        A store begins a new epoch when it is restored from an older copy. It has then lost changes
        that it had acknowledged.
        """
