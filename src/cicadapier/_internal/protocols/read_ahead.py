"""Bounds the bytes that all clients of a listener have sent ahead of the answers."""

# Reads are at least this long, so that a head arrives also when there is no room.
MIN_READ_BYTES = 2048
# All connections may get this much at once, whatever the room was as they began to wait.
MAX_AHEAD_BYTES = 16_384


class ReadAhead:
    """Bytes that have been received but not parsed, over all connections of a listener."""

    def __init__(self) -> None:
        self.total = 0

    def open(self) -> "ConnectionInput":
        """Returns the input of a new connection."""
        return ConnectionInput(self)


class ConnectionInput:
    """Bytes of one connection that have been received but not parsed."""

    def __init__(self, read_ahead: ReadAhead) -> None:
        self._read_ahead = read_ahead
        self._size = 0

    @property
    def size(self) -> int:
        """Number of bytes that have been received but not parsed."""
        return self._size

    def set_size(self, size: int) -> None:
        """Records how many bytes are held now."""
        self._read_ahead.total += size - self._size
        self._size = size

    def read_size(self, limit_bytes: int) -> int:
        """Returns how many bytes to read of a request that is awaited.

        Args:
            limit_bytes: Number of bytes that all clients may send ahead.
        """
        room = limit_bytes - self._read_ahead.total
        return max(MIN_READ_BYTES, min(MAX_AHEAD_BYTES, room))

    def read_size_behind(self, limit_bytes: int) -> int:
        """Returns how many bytes to read behind a request that is handled; 0 if there is no room.

        Args:
            limit_bytes: Number of bytes that all clients may send ahead.
        """
        room = min(MAX_AHEAD_BYTES - self._size, limit_bytes - self._read_ahead.total)
        return max(0, room)
