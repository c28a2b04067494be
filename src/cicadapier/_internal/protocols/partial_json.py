"""Decoding of JSON documents of which some parts cannot be read.

A decoder rejects a whole document for one value that is nested too deeply, out of range or no JSON.
Here, such a value makes only the innermost part unreadable that contains it. The parts are found by
their brackets and quotation marks alone, without recursion.
"""

import dataclasses
import re
from typing import Any

import msgspec

# Errors of msgspec for bytes that it does not decode; a deep document is no `MsgspecError`.
DECODING_ERRORS = (msgspec.MsgspecError, RecursionError)

# All repetitions are possessive, so that the time does not grow with the square of the length.
_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_TEXT = rb'(?:[^"\[\]{},]++|' + _STRING + rb")*+"
_DEEP_TEXT = rb'(?:[^"\[\]{}]++|' + _STRING + rb")*+"
_LEAVES = rb"(?:" + _DEEP_TEXT + rb"[\[{]" + _DEEP_TEXT + rb"[\]}])*+"
_BRACKETS = rb"([\[{]++|[\]}]++)"
# The next comma or run of brackets. No match: a string without an end, or the end of the document.
_TOKEN = re.compile(_TEXT + rb"(?:" + _BRACKETS + rb"|,)", re.DOTALL)
# The next run of brackets behind which the depth may differ, where commas do not matter.
_DEEP_TOKEN = re.compile(_LEAVES + _DEEP_TEXT + _BRACKETS, re.DOTALL)
_MEMBER_NAME = re.compile(rb"\s*+(" + _STRING + rb")\s*+:", re.DOTALL)
_CLOSING_BRACKETS = {b"[": b"]", b"{": b"}"}
_OPENING = frozenset(b"[{")


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """A part of a document that cannot be decoded.

    Attributes:
        reason: Why it cannot be decoded.
    """

    reason: str


def decode(raw: bytes, levels: int) -> Any:
    """Returns a document as plain values, with `Unreadable` in place of each unreadable part.

    Never raises an exception for any bytes.

    Args:
        raw: The document.
        levels: Number of levels, counted from the document itself, whose items are decoded
            separately if the document cannot be decoded as a whole.
    """
    try:
        return msgspec.json.decode(raw)
    except DECODING_ERRORS as exc:
        reason = str(exc)
    text = raw.strip()
    items = _split(text) if levels > 0 else None
    if items is None:
        return Unreadable(reason)
    if text[:1] == b"[":
        return [decode(item, levels - 1) for item in items]
    members = [_split_member(item) for item in items]
    if None in members:
        return Unreadable(reason)
    return {member[0]: decode(member[1], levels - 1) for member in members if member}


def _split(text: bytes) -> list[bytes] | None:
    """Returns the encoded items of an array or object, or None if they cannot be told apart.

    Args:
        text: An array or object without white space around it.
    """
    if _CLOSING_BRACKETS.get(text[:1]) != text[-1:]:
        return None
    items = []
    depth = 1
    start = end = 1
    while depth > 0:
        token = (_TOKEN if depth == 1 else _DEEP_TOKEN).match(text, end)
        if token is None:
            return None
        end = token.end()
        brackets = token[1]
        if brackets is None:
            items.append(text[start : end - 1])
            start = end
        elif brackets[0] in _OPENING:
            depth += len(brackets)
        else:
            depth -= len(brackets)
    if depth < 0 or end != len(text):
        return None
    last = text[start:-1]
    return [*items, last] if items or last.strip() else []


def _split_member(item: bytes) -> tuple[str, bytes] | None:
    """Returns the name and the encoded value of a member, or None if it has no name."""
    match = _MEMBER_NAME.match(item)
    if match is None:
        return None
    try:
        name = msgspec.json.decode(match[1], type=str)
    except msgspec.MsgspecError:
        return None
    return name, item[match.end() :]
