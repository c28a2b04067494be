"""Server-sent events with increasing numbers as ids.

A stream is relayed event by event. If it breaks, the caller never has a partial event, and the
stream can be resumed after the last complete event.
"""

import dataclasses

_EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")
_MAX_TERMINATOR_BYTES = max(len(terminator) for terminator in _EVENT_TERMINATORS)
_ID_FIELD = b"id:"
# A comment is a field without a name.
_FIELDS = frozenset((b"id", b"event", b"data", b"retry", b""))
MEDIA_TYPE = b"text/event-stream"
MAX_EVENT_BYTES = 1_048_576
_MAX_NUMBER_DIGITS = 15


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A server-sent event.

    Attributes:
        raw: Bytes of the event as received, including the final blank line.
        number: Id of the event; None if it has no id or the id is not a number.
    """

    raw: bytes
    number: int | None

    def is_well_formed(self, extra_fields: frozenset[bytes] = frozenset()) -> bool:
        """Returns whether it has one id, known fields only and line ends of one kind.

        An upstream that stops within an event may send the head of another answer, or another
        event, on the same connection; both then run into one event.

        Args:
            extra_fields: Names of further fields that are known.
        """
        names = [line.partition(b":")[0] for line in self.raw.splitlines()]
        newlines = self.raw.count(b"\n")
        has_one_kind_of_ends = not newlines or self.raw.count(b"\r") in (0, newlines)
        is_known = all(name in _FIELDS or name in extra_fields for name in names)
        return is_known and has_one_kind_of_ends and names.count(b"id") == 1


class Splitter:
    """Splits a byte stream into events."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._search_start = 0

    @property
    def rest(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Adds bytes and returns the events that they complete."""
        self._buffer += data
        events = []
        while (end := self._find_event_end()) > 0:
            raw = bytes(self._buffer[:end])
            del self._buffer[:end]
            self._search_start = 0
            events.append(Event(raw, _read_event_number(raw)))
        # Searching the whole buffer again for each part would take quadratic time for a long event.
        self._search_start = max(0, len(self._buffer) - _MAX_TERMINATOR_BYTES + 1)
        return events

    @property
    def is_overlong(self) -> bool:
        """Whether the incomplete event exceeds the maximum size of an event."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def _find_event_end(self) -> int:
        found = [
            (self._buffer.find(terminator, self._search_start), terminator)
            for terminator in _EVENT_TERMINATORS
        ]
        return min(
            (index + len(terminator) for index, terminator in found if index >= 0), default=0
        )


def _read_event_number(raw: bytes) -> int | None:
    for line in raw.splitlines():
        if line.startswith(_ID_FIELD):
            text = line[len(_ID_FIELD) :].strip()
            is_number = text.isdigit() and len(text) <= _MAX_NUMBER_DIGITS
            return int(text) if is_number else None
    return None
