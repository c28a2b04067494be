"""Request rate of each piece, over this router and the peers whose sends it receives."""

import collections
import collections.abc

from cicadapier._internal.decisions import limits
from cicadapier._internal.models import ids

WINDOW_S = 10.0
MAX_PIECES = 32_768


class PieceRates:
    """Decaying request rates of pieces; the least recently requested pieces are dropped."""

    def __init__(self) -> None:
        self._rates: collections.OrderedDict[ids.PieceId, limits.DecayingRate] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._rates)

    def count(self, pieces: collections.abc.Iterable[ids.PieceId], now: float) -> None:
        """Counts one request for each piece of a prompt."""
        for piece in pieces:
            rate = self._rates.get(piece)
            if rate is None:
                rate = limits.DecayingRate(WINDOW_S)
                self._rates[piece] = rate
            else:
                self._rates.move_to_end(piece)
            rate.add(1.0, now)
        while len(self._rates) > MAX_PIECES:
            self._rates.popitem(last=False)

    def per_s(self, piece: ids.PieceId, now: float) -> float:
        """Returns the number of requests per second for a piece."""
        rate = self._rates.get(piece)
        return rate.unbiased_per_s(now) if rate else 0.0
