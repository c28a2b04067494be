"""Server-sent events with ids that grow by one.

A stream is relayed event by event, so that a break never leaves half an event with the caller and
the stream can go on after the last whole one.
"""

import dataclasses

_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
_LONGEST_END = max(len(mark) for mark in _ENDS)
_ID = b"id:"
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
        self._rest = bytearray()
        self._searched = 0

    @property
    def rest(self) -> bytes:
        """Bytes after the last whole event."""
        return bytes(self._rest)

    def feed(self, data: bytes) -> list[Event]:
        """Takes bytes and returns the events that they complete."""
        self._rest += data
        events = []
        while (end := self._find_end()) > 0:
            raw = bytes(self._rest[:end])
            del self._rest[:end]
            self._searched = 0
            events.append(Event(raw, _number(raw)))
        # Searching all of it again with each part would make a long event very dear.
        self._searched = max(0, len(self._rest) - _LONGEST_END + 1)
        return events

    @property
    def is_overlong(self) -> bool:
        """Whether the event under way is longer than any that is relayed."""
        return len(self._rest) > MAX_EVENT_BYTES

    def _find_end(self) -> int:
        found = [(self._rest.find(mark, self._searched), mark) for mark in _ENDS]
        return min((index + len(mark) for index, mark in found if index >= 0), default=0)


def _number(raw: bytes) -> int | None:
    for line in raw.splitlines():
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            return int(text) if text.isdigit() else None
    return None
