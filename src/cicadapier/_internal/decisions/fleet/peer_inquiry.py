"""What a router that has just started asks its peers before it sends to upstreams.

Load pattern: many routers restart at once, while upstreams limit the requests of all routers
together. A router that knows of no limit would send a request to each upstream before an answer
tells it of one, and the sum of these requests exceeds the limit.

Peers that have just started as well know nothing either, until one of them has been told, so
further peers are asked. A router that reaches nobody who knows goes on after a while.
"""

import collections.abc
import random

from cicadapier._internal.models import ids

PEERS_AT_ONCE = 3
MAX_PEERS = 18  # A router that finds nobody who knows takes the whole fleet for restarted.
PAUSE_S = 0.02  # In which the peers that were asked may have been told.
MAX_INQUIRY_S = 0.5
STARTING_ROUNDS = 2  # Gossip rounds in which a router counts as just started.


class PeerInquiry:
    """Decides which peers a router asks as it starts, and until when.

    Attributes:
        is_over: Whether no more peers are asked.
        is_informed: Whether a peer that knows has answered.
    """

    def __init__(self, rng: random.Random) -> None:
        """Creates an inquiry that has not begun.

        Args:
            rng: Source of the order in which peers are asked.
        """
        self._rng = rng
        self._asked: set[ids.Address] = set()
        self._began_at: float | None = None
        self.is_over = False
        self.is_informed = False

    def next_peers(
        self, peers: collections.abc.Collection[ids.Address], now: float
    ) -> list[ids.Address]:
        """Returns the peers to ask now; none if the inquiry is over.

        Args:
            peers: All known peers.
            now: Current time.
        """
        if self._began_at is None:
            self._began_at = now
        left = sorted(set(peers) - self._asked)
        count = min(PEERS_AT_ONCE, MAX_PEERS - len(self._asked), len(left))
        if count <= 0 or now >= self.ends_at:
            self.is_over = True
            return []
        chosen = self._rng.sample(left, count)
        self._asked.update(chosen)
        return chosen

    def record_answer(self, is_starting: bool) -> None:
        """Records an answer of a peer.

        Args:
            is_starting: Whether the peer has just started, and has not been told either.
        """
        self.is_informed = self.is_informed or not is_starting
        self.is_over = self.is_over or self.is_informed

    @property
    def ends_at(self) -> float:
        """Time at which the inquiry ends without an answer."""
        assert self._began_at is not None
        return self._began_at + MAX_INQUIRY_S
