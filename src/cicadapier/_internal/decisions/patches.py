"""Merge patches (RFC 7396) to numbered versions of the configuration."""

import collections.abc
import copy
import dataclasses
from typing import Any

from cicadapier._internal.models import configuration
from cicadapier._internal.models import configuration_parser
from cicadapier._internal.models import exceptions
from cicadapier._internal.models import ids

MAX_HISTORY = 100
MAX_SUMMARY_PATHS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One accepted patch.

    Attributes:
        number: Configuration number that the patch created.
        patch_id: Identity of the patch. After a lost response it shows whether the patch was
            written.
        author: Submitter of the patch.
        at: Time of the change, in seconds since the epoch.
        paths: Paths that the patch changed, at most `MAX_SUMMARY_PATHS`.
    """

    number: ids.ConfigNumber
    patch_id: ids.PatchId
    author: str
    at: float
    paths: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The patch applies to the current version and gives a valid configuration.

    Attributes:
        document: The complete new document.
        value: The new document, parsed.
        paths: Paths that the patch changes.
    """

    document: dict[str, Any]
    value: configuration.Configuration
    paths: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Stale:
    """The patch was written against an old version.

    Attributes:
        current: Number of the current version.
        changes: Changes made since the version of the patch, oldest first.
    """

    current: ids.ConfigNumber
    changes: tuple[Change, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The patch does not give a valid configuration."""

    faults: tuple[exceptions.Fault, ...]


def evaluate(
    document: dict[str, Any],
    number: ids.ConfigNumber,
    history: tuple[Change, ...],
    patch: object,
    base_number: ids.ConfigNumber,
) -> Accepted | Stale | Invalid:
    """Checks a patch against the current configuration without writing anything.

    Args:
        document: The current document.
        number: Number of the current document.
        history: Changes up to the current document, oldest first.
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
        value = configuration_parser.parse(merged)
    except exceptions.InvalidDocumentError as exc:
        return Invalid(tuple(exc.faults))
    faults = tuple(_find_emptied_permissions(document, merged))
    if faults:
        return Invalid(faults)
    return Accepted(merged, value, tuple(changed_paths(document, merged)))


def _find_emptied_permissions(
    old: dict[str, Any], new: dict[str, Any]
) -> collections.abc.Iterator[exceptions.Fault]:
    """Yields a fault for each account whose last permitted pool is taken away.

    An empty list permits all pools, which is hardly meant by who removes the last one.
    """
    old_accounts = old.get("accounts", {})
    for name, account in new.get("accounts", {}).items():
        before = old_accounts.get(name, {}).get("pools", [])
        if len(before) > 0 and account.get("pools") == []:
            message = (
                "an empty list permits all pools; patch it with null to permit them, or take the "
                "account's keys away"
            )
            yield exceptions.Fault(f"accounts.{name}.pools", message)


def merge(target: Any, patch: Any) -> Any:
    """Returns the result of a merge patch (RFC 7396); the arguments are not modified."""
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
    """Returns the merge patch that turns one document into another."""
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
