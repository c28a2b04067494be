"""Converts plain documents into dataclasses and reports every fault in them.

The dataclass is the schema: type hints give the types and field metadata gives the bounds. Unknown
keys are faults, so that a misspelt key is not silently ignored.
"""

import collections.abc
import dataclasses
import enum
import math
import types
import typing
from typing import Any

from cicadapier._internal.models import exceptions

_Faults = list[exceptions.Fault]
_T = typing.TypeVar("_T")

_SCALAR_TYPE_NAMES = {
    str: "a string",
    int: "an integer",
    float: "a number",
    bool: "a boolean",
}


def field(
    default: Any = dataclasses.MISSING,
    *,
    factory: collections.abc.Callable[[], Any] | None = None,
    minimum: float | None = None,
    maximum: float | None = None,
    above: float | None = None,
) -> Any:
    """Returns a dataclass field with bounds that `convert` checks.

    Args:
        default: Default value; without this and `factory`, the field is required.
        factory: Callable that returns the default value.
        minimum: Smallest permitted value.
        maximum: Largest permitted value.
        above: Exclusive lower bound.
    """
    metadata = {"minimum": minimum, "maximum": maximum, "above": above}
    if factory is not None:
        return dataclasses.field(default_factory=factory, metadata=metadata)
    if default is dataclasses.MISSING:
        return dataclasses.field(metadata=metadata)
    return dataclasses.field(default=default, metadata=metadata)


def convert(cls: type[_T], raw: object) -> _T:
    """Converts a plain document into an instance of a dataclass.

    Args:
        cls: Target dataclass.
        raw: Document as returned by a YAML or JSON parser.

    Returns:
        The instance.

    Raises:
        InvalidDocumentError: The document is invalid; the error lists every fault.
    """
    faults: _Faults = []
    value = _convert_dataclass(cls, raw, "", faults)
    if faults:
        raise exceptions.InvalidDocumentError(faults)
    return typing.cast(_T, value)


def to_plain(value: object) -> Any:
    """Returns a dataclass instance as a plain document; the inverse of `convert`."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {f.name: to_plain(getattr(value, f.name)) for f in dataclasses.fields(value)}
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, dict):
        return {str(key): to_plain(item) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [to_plain(item) for item in value]
    return value


def _join_path(path: str, key: object) -> str:
    return f"{path}.{key}" if path else str(key)


def _convert_dataclass(cls: type, raw: object, path: str, faults: _Faults) -> object:
    if not isinstance(raw, dict):
        faults.append(exceptions.Fault(path, f"expected a mapping, got {_type_name(raw)}"))
        return None
    hints = typing.get_type_hints(cls)
    fields = {f.name: f for f in dataclasses.fields(cls)}
    values: dict[str, object] = {}
    for key in raw:
        if key not in fields:
            known = ", ".join(fields)
            faults.append(
                exceptions.Fault(_join_path(path, key), f"unknown key; expected one of {known}")
            )
    for name, spec in fields.items():
        if name in raw:
            values[name] = _convert(
                hints[name], raw[name], _join_path(path, name), spec.metadata, faults
            )
        elif spec.default is dataclasses.MISSING and spec.default_factory is dataclasses.MISSING:
            faults.append(exceptions.Fault(_join_path(path, name), "required key is missing"))
    return None if faults else cls(**values)


def _convert(
    hint: Any,
    raw: object,
    path: str,
    bounds: collections.abc.Mapping[str, Any],
    faults: _Faults,
) -> object:
    hint = getattr(hint, "__supertype__", hint)
    origin = typing.get_origin(hint)
    if origin in (types.UnionType, typing.Union):
        return _convert_optional(hint, raw, path, bounds, faults)
    if origin in (list, tuple):
        return _convert_sequence(origin, hint, raw, path, faults)
    if origin is dict:
        return _convert_mapping(hint, raw, path, faults)
    if dataclasses.is_dataclass(hint):
        return _convert_dataclass(typing.cast(type, hint), raw, path, faults)
    if issubclass(hint, enum.Enum):
        return _convert_enum(hint, raw, path, faults)
    return _convert_scalar(hint, raw, path, bounds, faults)


def _convert_optional(
    hint: Any,
    raw: object,
    path: str,
    bounds: collections.abc.Mapping[str, Any],
    faults: _Faults,
) -> object:
    if raw is None:
        return None
    value_hint = next(arg for arg in typing.get_args(hint) if arg is not type(None))
    return _convert(value_hint, raw, path, bounds, faults)


def _convert_sequence(origin: type, hint: Any, raw: object, path: str, faults: _Faults) -> object:
    if not isinstance(raw, list):
        faults.append(exceptions.Fault(path, f"expected a list, got {_type_name(raw)}"))
        return None
    item_hint = typing.get_args(hint)[0]
    items = [_convert(item_hint, item, f"{path}[{i}]", {}, faults) for i, item in enumerate(raw)]
    return origin(items)


def _convert_mapping(hint: Any, raw: object, path: str, faults: _Faults) -> object:
    if not isinstance(raw, dict):
        faults.append(exceptions.Fault(path, f"expected a mapping, got {_type_name(raw)}"))
        return None
    item_hint = typing.get_args(hint)[1]
    result = {}
    for key, item in raw.items():
        if not isinstance(key, str) or not key:
            faults.append(
                exceptions.Fault(_join_path(path, key), "expected a non-empty string as key")
            )
            continue
        result[key] = _convert(item_hint, item, _join_path(path, key), {}, faults)
    return result


def _convert_enum(hint: type[enum.Enum], raw: object, path: str, faults: _Faults) -> object:
    try:
        return hint(raw)
    except ValueError:
        names = ", ".join(str(member.value) for member in hint)
        faults.append(exceptions.Fault(path, f"expected one of {names}, got {raw!r}"))
        return None


def _convert_scalar(
    hint: type,
    raw: object,
    path: str,
    bounds: collections.abc.Mapping[str, Any],
    faults: _Faults,
) -> object:
    if hint is float and isinstance(raw, int) and not isinstance(raw, bool):
        raw = float(raw)
    if not isinstance(raw, hint) or (hint is int and isinstance(raw, bool)):
        expected = _SCALAR_TYPE_NAMES.get(hint, hint.__name__)
        faults.append(exceptions.Fault(path, f"expected {expected}, got {_type_name(raw)}"))
        return None
    if isinstance(raw, (int, float)):
        _check_bounds(raw, path, bounds, faults)
    return raw


def _check_bounds(
    value: float, path: str, bounds: collections.abc.Mapping[str, Any], faults: _Faults
) -> None:
    if not math.isfinite(value):
        faults.append(exceptions.Fault(path, f"expected a finite number, got {value}"))
        return
    minimum, maximum, above = (bounds.get(key) for key in ("minimum", "maximum", "above"))
    if minimum is not None and value < minimum:
        faults.append(exceptions.Fault(path, f"expected at least {minimum}, got {value}"))
    if maximum is not None and value > maximum:
        faults.append(exceptions.Fault(path, f"expected at most {maximum}, got {value}"))
    if above is not None and value <= above:
        faults.append(exceptions.Fault(path, f"expected more than {above}, got {value}"))


def _type_name(raw: object) -> str:
    if raw is None:
        return "nothing"
    if isinstance(raw, bool):
        return "a boolean"
    names = {dict: "a mapping", list: "a list", str: "a string", int: "a number", float: "a number"}
    return names.get(type(raw), type(raw).__name__)
