"""Which connection of a client is closed to make room for a new one.

Load pattern: more clients connect than there are descriptors, and many of them read no answers,
send requests ahead or keep their connections idle, beside ordinary callers who connect anew.
"""

import collections.abc
import dataclasses
import math

MIN_WAIT_S = 1.0  # A connection that has waited for its client for less time stays.
# The kernel of a slow reader tells of its progress in large steps only.
MIN_UNREAD_S = 5.0


@dataclasses.dataclass(eq=False, slots=True)
class OpenConnection:
    """What the decision knows of an open connection.

    Attributes:
        waiting_since: Time since which the router waits for the client to send or to read;
            infinite while the router works for the client.
        is_sending: Whether the router waits for the client to read.
        is_delayed: Whether the next request, which was sent ahead, waits for its turn.
        is_without_room: Whether the body of its request waits for room in this process.
        holds_body: Whether a body of its request takes any of the room.
        has_turn: Whether a request that was sent ahead is at work.
        has_paused: Whether the client has ever waited for an answer before it sent on.
        begun_ahead: Number of requests sent ahead that have begun since the client's last pause.
        unreceived: Bytes that the client had not received as it was looked at last; -1 if it was
            not looked at.
    """

    waiting_since: float = math.inf
    is_sending: bool = False
    is_delayed: bool = False
    is_without_room: bool = False
    holds_body: bool = False
    has_turn: bool = False
    has_paused: bool = False
    begun_ahead: int = 0
    unreceived: int = -1

    def note_unreceived(self, unreceived: int, now: float) -> bool:
        """Returns whether the client has received anything since, or is looked at first.

        Args:
            unreceived: Bytes that it has not received.
            now: Current time, from which a client is waited for anew that received something.
        """
        has_progress = unreceived != self.unreceived
        self.unreceived = unreceived
        if has_progress:
            self.waiting_since = now
        return has_progress


class ConnectionRoom:
    """The open connections of a listener.

    The connection of a request that is being handled is never chosen, unless its client has stopped
    reading the answer.
    """

    def __init__(self) -> None:
        self._connections: dict[OpenConnection, None] = {}  # Oldest first.

    def __len__(self) -> int:
        return len(self._connections)

    def add(self, conn: OpenConnection) -> None:
        """Records that a connection is open."""
        self._connections[conn] = None

    def remove(self, conn: OpenConnection) -> None:
        """Records that a connection is closed or about to be; may be called twice."""
        self._connections.pop(conn, None)

    def find_least_needed(self, now: float) -> OpenConnection | None:
        """Returns the connection to close for a new one, or None if all are needed.

        Clients that send ahead come first, the one that has begun the most before the others; then
        the one that has been waited for the longest; then the latest whose body finds no room.
        """
        delayed = _find_most_ahead(conn for conn in self._connections if conn.is_delayed)
        if delayed is not None:
            return delayed
        waited_for = [conn for conn in self._connections if _is_waited_for(conn, now)]
        if waited_for:
            return min(waited_for, key=lambda conn: conn.waiting_since)
        return next((conn for conn in reversed(self._connections) if conn.is_without_room), None)

    def find_delayed_with_body(self) -> OpenConnection | None:
        """Returns a connection whose request waits for its turn with a body, or None."""
        return _find_most_ahead(
            conn for conn in self._connections if conn.is_delayed and conn.holds_body
        )

    def find_unresponsive(self, now: float) -> OpenConnection | None:
        """Returns a connection with a turn whose client neither reads nor sends, or None."""
        for conn in self._connections:
            if conn.has_turn and _is_waited_for(conn, now):
                return conn
        return None


def _find_most_ahead(
    connections: collections.abc.Iterable[OpenConnection],
) -> OpenConnection | None:
    """Returns the connection that has begun the most requests ahead without a pause."""
    return max(connections, key=lambda conn: (not conn.has_paused, conn.begun_ahead), default=None)


def _is_waited_for(conn: OpenConnection, now: float) -> bool:
    """Returns whether the router has waited for a client for long enough to close it."""
    return now - conn.waiting_since >= (MIN_UNREAD_S if conn.is_sending else MIN_WAIT_S)
