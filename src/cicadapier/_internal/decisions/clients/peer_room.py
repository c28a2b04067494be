"""Which connection to the peers' listener is closed to make room for a new one.

Load pattern: many connections are opened to the listener and kept, by routers that start again and
again or by others that know no secret, while the routers of the fleet call each other now and then.
"""

import dataclasses


@dataclasses.dataclass(eq=False, slots=True)
class PeerConnection:
    """An open connection.

    Attributes:
        called_at: Time of the latest call with the right secret; None if there was none.
    """

    called_at: float | None = None


class PeerRoom:
    """The open connections of the peers' listener."""

    def __init__(self, limit: int) -> None:
        """Creates it.

        Args:
            limit: Maximum number of connections.
        """
        self._limit = limit
        self._connections: dict[PeerConnection, None] = {}  # Oldest first.

    def add(self, conn: PeerConnection) -> PeerConnection | None:
        """Records a new connection; returns the one to close for it, which is recorded no more.

        Connections without a call go first, then the one whose call is the longest ago.
        """
        least_needed = None
        if len(self._connections) >= self._limit:
            least_needed = min(self._connections, key=_last_needed_at)
            self.remove(least_needed)
        self._connections[conn] = None
        return least_needed

    def remove(self, conn: PeerConnection) -> None:
        """Records that a connection is closed; may be called twice."""
        self._connections.pop(conn, None)


def _last_needed_at(conn: PeerConnection) -> tuple[bool, float]:
    return conn.called_at is not None, conn.called_at or 0.0
