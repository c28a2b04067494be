"""Model of the keep, the external KV cache store: an LRU cache of exported pieces."""

import collections
import collections.abc

from cicadapier._internal.models import ids

DEFAULT_CAPACITY_PIECES = 16_384


class KeepModel:
    """Pieces in the keep, which evicts the least recently used ones first."""

    def __init__(self, capacity: int = DEFAULT_CAPACITY_PIECES) -> None:
        self._capacity = capacity
        self._pieces: collections.OrderedDict[ids.PieceId, None] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._pieces)

    def store(self, pieces: collections.abc.Iterable[ids.PieceId]) -> None:
        """Stores exported pieces and evicts the least recently used ones above the capacity."""
        for piece in pieces:
            self._pieces[piece] = None
            self._pieces.move_to_end(piece)
        while len(self._pieces) > self._capacity:
            self._pieces.popitem(last=False)

    def prefix_length(self, pieces: collections.abc.Sequence[ids.PieceId]) -> int:
        """Returns the length of the stored prefix, in pieces, and marks these pieces as used."""
        for depth, piece in enumerate(pieces):
            if piece not in self._pieces:
                return depth
            self._pieces.move_to_end(piece)
        return len(pieces)

    def clear(self) -> None:
        """Removes all pieces."""
        self._pieces.clear()
