"""What a router believes to be cached on the upstreams of a pool.

The belief is a hint: it is built from late events with gaps, from the answers' own counts of
cached tokens and from what this router has sent. It decays with each engine's observed
retention. A wrong belief costs time and never correctness.
"""

import collections
import collections.abc
import dataclasses
import math

from cicadapier._internal.models import ids

INITIAL_RETENTION_S = 30.0
MIN_RETENTION_S = 1.0
MAX_RETENTION_S = 600.0
_RETENTION_SHRINK = 0.8
_RETENTION_GROWTH = 1.02
_GAP_RETENTION_FACTOR = 0.5
MAX_PIECES = 32_768
MIN_PIECES_PER_UPSTREAM = 256


@dataclasses.dataclass(slots=True)
class _UpstreamCache:
    """Pieces believed to be on one upstream, least recently last_used first."""

    incarnation: ids.Incarnation
    last_used: "collections.OrderedDict[ids.PieceId, float]"
    retention_s: float = INITIAL_RETENTION_S
    next_sequence: int | None = None
    retention_factor: float = 1.0


class CacheIndex:
    """Believed holders of each piece."""

    def __init__(self) -> None:
        self._caches: dict[ids.UpstreamId, _UpstreamCache] = {}
        self._holders: dict[ids.PieceId, set[ids.UpstreamId]] = {}

    def __len__(self) -> int:
        return sum(len(cache.last_used) for cache in self._caches.values())

    def size_of(self, upstream: ids.UpstreamId) -> int:
        """Returns how many pieces an upstream is believed to hold."""
        cache = self._caches.get(upstream)
        return len(cache.last_used) if cache else 0

    def holder_count(self, piece: ids.PieceId) -> int:
        """Returns how many upstreams are believed to hold a piece."""
        return len(self._holders.get(piece, ()))

    def holders(self, piece: ids.PieceId) -> frozenset[ids.UpstreamId]:
        """Returns the upstreams believed to hold a piece."""
        return frozenset(self._holders.get(piece, ()))

    def cached_pieces(
        self, pieces: collections.abc.Sequence[ids.PieceId], now: float
    ) -> dict[ids.UpstreamId, int]:
        """Returns the length of the believed cached prefix on each upstream that has any."""
        lengths: dict[ids.UpstreamId, int] = {}
        candidates: collections.abc.Iterable[ids.UpstreamId] | None = None
        for depth, piece in enumerate(pieces):
            holders = self._holders.get(piece)
            if not holders:
                break
            if candidates is None:
                candidates = holders
            candidates = [
                u for u in candidates if u in holders and self._is_retained(u, piece, now)
            ]
            for upstream in candidates:
                lengths[upstream] = depth + 1
        return lengths

    def idle_s(self, upstream: ids.UpstreamId, piece: ids.PieceId, now: float) -> float:
        """Returns for how long an upstream has not used a piece, infinite where it lacks it."""
        cache = self._caches.get(upstream)
        last_used = cache.last_used.get(piece) if cache else None
        return math.inf if last_used is None else now - last_used

    def observe_incarnation(self, upstream: ids.UpstreamId, incarnation: ids.Incarnation) -> bool:
        """Voids the entries of an earlier incarnation; returns whether it is a new one."""
        cache = self._caches.get(upstream)
        if cache and cache.incarnation == incarnation:
            return False
        self.forget(upstream)
        self._caches[upstream] = _UpstreamCache(incarnation, collections.OrderedDict())
        return True

    def forget(self, upstream: ids.UpstreamId) -> None:
        """Drops all that is believed of an upstream."""
        cache = self._caches.pop(upstream, None)
        if cache:
            for piece in cache.last_used:
                self._drop_holder(upstream, piece)

    def add_in_flight(
        self,
        upstream: ids.UpstreamId,
        pieces: collections.abc.Sequence[ids.PieceId],
        now: float,
    ) -> None:
        """Records that pieces are being computed, so that they are about to be cached."""
        cache = self._caches.get(upstream)
        if cache:
            for piece in pieces:
                self._record_use(upstream, cache, piece, now)

    def remove_in_flight(
        self, upstream: ids.UpstreamId, pieces: collections.abc.Sequence[ids.PieceId]
    ) -> None:
        """Takes back `sent` for an attempt that ended before its first token."""
        cache = self._caches.get(upstream)
        if cache:
            for piece in pieces:
                self._remove(upstream, cache, piece)

    def apply_answer(
        self,
        upstream: ids.UpstreamId,
        incarnation: ids.Incarnation,
        pieces: collections.abc.Sequence[ids.PieceId],
        expected: int,
        found: int,
        now: float,
    ) -> None:
        """Corrects the belief by an answer's own count of cached pieces.

        Args:
            upstream: Upstream that answered.
            incarnation: Its incarnation.
            pieces: Pieces of the prompt; all of them are cached after the answer.
            expected: Pieces that were believed to be cached when the request was sent.
            found: Pieces that the engine found.
            now: Time of the first token.
        """
        self.observe_incarnation(upstream, incarnation)
        cache = self._caches[upstream]
        if found < expected:
            cache.retention_s = max(MIN_RETENTION_S, cache.retention_s * _RETENTION_SHRINK)
        elif expected:
            cache.retention_s = min(MAX_RETENTION_S, cache.retention_s * _RETENTION_GROWTH)
        for piece in pieces:
            self._record_use(upstream, cache, piece, now)

    def apply_stored(
        self,
        upstream: ids.UpstreamId,
        incarnation: ids.Incarnation,
        sequence: int,
        pieces: collections.abc.Sequence[ids.PieceId],
        now: float,
    ) -> bool:
        """Applies a cache event; returns False where a gap asks for a resync."""
        cache = self._event_cache(upstream, incarnation)
        if cache is None:
            return True
        for piece in pieces:
            self._record_use(upstream, cache, piece, now)
        return self._advance(cache, sequence)

    def apply_evicted(
        self,
        upstream: ids.UpstreamId,
        incarnation: ids.Incarnation,
        sequence: int,
        pieces: collections.abc.Sequence[ids.PieceId],
        event_age_s: float,
        now: float,
    ) -> bool:
        """Applies an eviction event; returns False where a gap asks for a resync."""
        cache = self._event_cache(upstream, incarnation)
        if cache is None:
            return True
        for piece in pieces:
            last_used = cache.last_used.get(piece)
            # An eviction older than the last use is out of date: the piece was computed again.
            if last_used is not None and last_used <= now - event_age_s:
                self._remove(upstream, cache, piece)
        return self._advance(cache, sequence)

    def apply_snapshot(
        self,
        upstream: ids.UpstreamId,
        incarnation: ids.Incarnation,
        sequence: int,
        pieces: collections.abc.Sequence[ids.PieceId],
        now: float,
    ) -> None:
        """Replaces what is believed of an upstream by its own snapshot."""
        self.observe_incarnation(upstream, incarnation)
        cache = self._caches[upstream]
        for piece in [p for p in cache.last_used if p not in set(pieces)]:
            self._remove(upstream, cache, piece)
        for piece in pieces:
            if piece not in cache.last_used:
                self._record_use(upstream, cache, piece, now)
        cache.next_sequence = sequence + 1
        cache.retention_factor = 1.0

    def _event_cache(
        self, upstream: ids.UpstreamId, incarnation: ids.Incarnation
    ) -> _UpstreamCache | None:
        cache = self._caches.get(upstream)
        # Late events of a dead incarnation must not revive its entries.
        return cache if cache and cache.incarnation == incarnation else None

    def _advance(self, cache: _UpstreamCache, sequence: int) -> bool:
        in_order = cache.next_sequence is None or sequence <= cache.next_sequence
        cache.next_sequence = max(cache.next_sequence or 0, sequence + 1)
        if not in_order:
            cache.retention_factor = _GAP_RETENTION_FACTOR
        return in_order

    def _is_retained(self, upstream: ids.UpstreamId, piece: ids.PieceId, now: float) -> bool:
        cache = self._caches[upstream]
        return now - cache.last_used[piece] <= cache.retention_s * cache.retention_factor

    def _record_use(
        self, upstream: ids.UpstreamId, cache: _UpstreamCache, piece: ids.PieceId, now: float
    ) -> None:
        cache.last_used[piece] = now
        cache.last_used.move_to_end(piece)
        self._holders.setdefault(piece, set()).add(upstream)
        # All upstreams share one bound, so that memory does not grow with their number.
        limit = max(MIN_PIECES_PER_UPSTREAM, MAX_PIECES // len(self._caches))
        while len(cache.last_used) > limit:
            self._remove(upstream, cache, next(iter(cache.last_used)))

    def _remove(self, upstream: ids.UpstreamId, cache: _UpstreamCache, piece: ids.PieceId) -> None:
        if cache.last_used.pop(piece, None) is not None:
            self._drop_holder(upstream, piece)

    def _drop_holder(self, upstream: ids.UpstreamId, piece: ids.PieceId) -> None:
        holders = self._holders.get(piece)
        if holders:
            holders.discard(upstream)
            if not holders:
                del self._holders[piece]


MAX_EXPORTED_PIECES = 65_536


class ExportedPieces:
    """Pieces believed to be in the keep, because this router or a peer had them exported."""

    def __init__(self) -> None:
        self._pieces: collections.OrderedDict[ids.PieceId, None] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._pieces)

    def __contains__(self, piece: ids.PieceId) -> bool:
        return piece in self._pieces

    def add(self, pieces: collections.abc.Iterable[ids.PieceId]) -> None:
        """Records an export."""
        for piece in pieces:
            self._pieces[piece] = None
            self._pieces.move_to_end(piece)
        while len(self._pieces) > MAX_EXPORTED_PIECES:
            self._pieces.popitem(last=False)

    def remove(self, pieces: collections.abc.Iterable[ids.PieceId]) -> None:
        """Records that an import found pieces missing."""
        for piece in pieces:
            self._pieces.pop(piece, None)

    def prefix_length(self, pieces: collections.abc.Sequence[ids.PieceId]) -> int:
        """Returns the length of the prefix that the keep is believed to hold."""
        for depth, piece in enumerate(pieces):
            if piece not in self._pieces:
                return depth
        return len(pieces)
