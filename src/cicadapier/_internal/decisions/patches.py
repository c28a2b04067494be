"""Patches of the configuration against a numbered version (RFC 7396 merge patches)."""

import copy
import dataclasses
from typing import Any

from cicadapier._internal.models import configuration
from cicadapier._internal.models import exceptions
from cicadapier._internal.models import ids

MAX_HISTORY = 100
MAX_SUMMARY_PATHS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One accepted patch.

    Attributes:
        number: Configuration number that it made.
        patch_id: Identity of the patch, by which a lost answer is settled.
        author: Who submitted it.
        at: When, as seconds since the epoch.
        paths: Paths that it changed, at most `MAX_SUMMARY_PATHS`.
    """

    number: ids.ConfigNumber
    patch_id: ids.PatchId
    author: str
    at: float
    paths: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The patch is valid against the current version.

    Attributes:
        document: The whole new document.
        value: The same, converted.
        paths: Paths that the patch changes.
    """

    document: dict[str, Any]
    value: configuration.Configuration
    paths: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Stale:
    """The patch was written against an old version.

    Attributes:
        current: Number in force.
        changes: What was changed since, oldest first.
    """

    current: ids.ConfigNumber
    changes: tuple[Change, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The patch makes no valid configuration."""

    faults: tuple[exceptions.Fault, ...]


def evaluate(
    document: dict[str, Any],
    number: ids.ConfigNumber,
    history: tuple[Change, ...],
    patch: object,
    base_number: ids.ConfigNumber,
) -> Accepted | Stale | Invalid:
    """Decides on a patch; nothing has been written yet.

    Args:
        document: The document in force.
        number: Its number.
        history: Its changes, oldest first.
        patch: The merge patch.
        base_number: Number that the patch was written against.
    """
    if base_number != number:
        newer_changes = tuple(change for change in history if change.number > base_number)
        return Stale(number, newer_changes)
    if not isinstance(patch, dict):
        return Invalid((exceptions.Fault("", "expected a mapping"),))
    merged = merge(document, patch)
    try:
        value = configuration.parse(merged)
    except exceptions.InvalidDocumentError as exc:
        return Invalid(tuple(exc.faults))
    return Accepted(merged, value, tuple(changed_paths(document, merged)))


def merge(target: Any, patch: Any) -> Any:
    """Applies a merge patch (RFC 7396) and returns the result; the arguments stay as they are."""
    if not isinstance(patch, dict):
        return copy.deepcopy(patch)
    result = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = merge(result.get(key), value)
    return result


def difference(old: Any, new: Any) -> Any:
    """Returns the merge patch that leads from one document to another."""
    if not isinstance(old, dict) or not isinstance(new, dict):
        return copy.deepcopy(new)
    patch: dict[str, Any] = {key: None for key in old if key not in new}
    for key, value in new.items():
        if key not in old:
            patch[key] = copy.deepcopy(value)
        elif old[key] is not value and old[key] != value:
            patch[key] = difference(old[key], value)
    return patch


def changed_paths(old: Any, new: Any, path: str = "") -> list[str]:
    """Returns the dotted paths at which two documents differ."""
    if old == new:
        return []
    if not isinstance(old, dict) or not isinstance(new, dict):
        return [path or "document"]
    paths: list[str] = []
    for key in sorted({*old, *new}):
        child = f"{path}.{key}" if path else str(key)
        paths.extend(changed_paths(old.get(key), new.get(key), child))
    return paths
