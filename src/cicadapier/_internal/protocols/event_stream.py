"""Server-sent events with ids that grow by one.

A stream is relayed event by event, so that a break never leaves half an event with the caller and
the stream can go on after the last whole one.
"""

import dataclasses

_EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")
_MAX_TERMINATOR_BYTES = max(len(terminator) for terminator in _EVENT_TERMINATORS)
_ID_FIELD = b"id:"
MAX_EVENT_BYTES = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event.

    Attributes:
        raw: Its bytes as they came, with the blank line.
        number: Its id, None where it has none or one that is no number.
    """

    raw: bytes
    number: int | None


class Splitter:
    """Cuts a byte stream into events."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._search_start = 0

    @property
    def rest(self) -> bytes:
        """Bytes after the last whole event."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Takes bytes and returns the events that they complete."""
        self._buffer += data
        events = []
        while (end := self._find_event_end()) > 0:
            raw = bytes(self._buffer[:end])
            del self._buffer[:end]
            self._search_start = 0
            events.append(Event(raw, _read_event_number(raw)))
        # Searching all of it again with each part would make a long event very dear.
        self._search_start = max(0, len(self._buffer) - _MAX_TERMINATOR_BYTES + 1)
        return events

    @property
    def is_overlong(self) -> bool:
        """Whether the event under way is longer than any that is relayed."""
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
            return int(text) if text.isdigit() else None
    return None
