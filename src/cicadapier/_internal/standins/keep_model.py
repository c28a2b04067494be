"""Model of the keep: exported pieces, least recently used dropped first."""

import collections
import collections.abc

from cicadapier._internal.models import ids

KEEP_PIECES = 16_384


class KeepModel:
    """Pieces that the keep holds."""

    def __init__(self, capacity: int = KEEP_PIECES) -> None:
        self._capacity = capacity
        self._held: collections.OrderedDict[ids.PieceId, None] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._held)

    def store(self, pieces: collections.abc.Iterable[ids.PieceId]) -> None:
        """Takes exported pieces."""
        for piece in pieces:
            self._held[piece] = None
            self._held.move_to_end(piece)
        while len(self._held) > self._capacity:
            self._held.popitem(last=False)

    def prefix_length(self, pieces: collections.abc.Sequence[ids.PieceId]) -> int:
        """Returns how many pieces of a prefix it holds, and counts them as used."""
        for depth, piece in enumerate(pieces):
            if piece not in self._held:
                return depth
            self._held.move_to_end(piece)
        return len(pieces)

    def clear(self) -> None:
        """Loses everything."""
        self._held.clear()
