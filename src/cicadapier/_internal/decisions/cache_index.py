"""Approximate index of the prompt pieces cached on the upstreams of a pool.

The index is a hint. It is built from cache events, which may be late or missing, from the cached
token counts in answers and from the requests that the routers have sent. Entries expire by the
observed retention time of each engine. A wrong entry costs time but never affects correctness.
"""

import collections
import collections.abc
import dataclasses
import math

from cicadapier._internal.models import ids

# Bounds and initial value of the estimated time for which an engine retains an unused piece.
INITIAL_RETENTION_S = 30.0
MIN_RETENTION_S = 1.0
MAX_RETENTION_S = 600.0
# Factors on the estimate when an engine had fewer pieces than expected, and when it had all.
_RETENTION_SHRINK = 0.8
_RETENTION_GROWTH = 1.02
# Factor on the retention time after a gap in the cache events, until the next snapshot.
_GAP_RETENTION_FACTOR = 0.5
# Limit for all upstreams together, apart from the minimum for each upstream.
MAX_PIECES = 32_768
MIN_PIECES_PER_UPSTREAM = 256


@dataclasses.dataclass(slots=True)
class _UpstreamCache:
    """Pieces that are probably cached on one upstream.

    Attributes:
        incarnation: Incarnation of the upstream that the entries belong to.
        last_used: Time of the last use of each piece, least recently used first.
        retention_s: Estimated time for which the engine retains an unused piece.
        next_sequence: Expected sequence number of the next cache event, None before the first.
        retention_factor: Factor on `retention_s`, below 1 after a gap in the cache events.
    """

    incarnation: ids.Incarnation
    last_used: "collections.OrderedDict[ids.PieceId, float]"
    retention_s: float = INITIAL_RETENTION_S
    next_sequence: int | None = None
    retention_factor: float = 1.0


class CacheIndex:
    """Index of the upstreams that probably hold each piece."""

    def __init__(self) -> None:
        self._caches: dict[ids.UpstreamId, _UpstreamCache] = {}
        self._holders: dict[ids.PieceId, set[ids.UpstreamId]] = {}

    def __len__(self) -> int:
        return sum(len(cache.last_used) for cache in self._caches.values())

    def size_of(self, upstream: ids.UpstreamId) -> int:
        """Returns the number of indexed pieces of an upstream."""
        cache = self._caches.get(upstream)
        return len(cache.last_used) if cache else 0

    def holder_count(self, piece: ids.PieceId) -> int:
        """Returns the number of upstreams that probably hold a piece."""
        return len(self._holders.get(piece, ()))

    def holders(self, piece: ids.PieceId) -> frozenset[ids.UpstreamId]:
        """Returns the upstreams that probably hold a piece."""
        return frozenset(self._holders.get(piece, ()))

    def cached_pieces(
        self, pieces: collections.abc.Sequence[ids.PieceId], now: float
    ) -> dict[ids.UpstreamId, int]:
        """Returns the length of the cached prefix on each upstream that has one.

        Pieces beyond the retention time of an upstream do not count.
        """
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
        """Returns the time since an upstream last used a piece, or infinity if it has none."""
        cache = self._caches.get(upstream)
        last_used = cache.last_used.get(piece) if cache else None
        return math.inf if last_used is None else now - last_used

    def observe_incarnation(self, upstream: ids.UpstreamId, incarnation: ids.Incarnation) -> bool:
        """Drops the entries of an earlier incarnation; returns whether the incarnation is new."""
        cache = self._caches.get(upstream)
        if cache and cache.incarnation == incarnation:
            return False
        self.forget(upstream)
        self._caches[upstream] = _UpstreamCache(incarnation, collections.OrderedDict())
        return True

    def forget(self, upstream: ids.UpstreamId) -> None:
        """Drops all entries of an upstream."""
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
        """Adds the pieces of a prompt that was sent, which are about to be cached."""
        cache = self._caches.get(upstream)
        if cache:
            for piece in pieces:
                self._record_use(upstream, cache, piece, now)

    def remove_in_flight(
        self, upstream: ids.UpstreamId, pieces: collections.abc.Sequence[ids.PieceId]
    ) -> None:
        """Removes the pieces of an attempt that ended before its first token."""
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
        """Updates the index by the number of cached pieces that an answer reports.

        The estimated retention time shrinks if the engine found fewer pieces than expected, and
        grows if it found all of them.

        Args:
            upstream: Upstream that answered.
            incarnation: Incarnation of the upstream.
            pieces: Pieces of the prompt; all of them are cached after the answer.
            expected: Number of pieces that the index listed when the request was sent.
            found: Number of pieces that the engine found in its cache.
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
        """Applies a storage event; returns False if a gap in the events requires a snapshot."""
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
        """Applies an eviction event; returns False if a gap in the events requires a snapshot."""
        cache = self._event_cache(upstream, incarnation)
        if cache is None:
            return True
        for piece in pieces:
            last_used = cache.last_used.get(piece)
            # An eviction older than the last use is outdated: the piece was computed again since.
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
        """Replaces the entries of an upstream by a snapshot of its cache."""
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
        # Late events of an earlier incarnation must not restore its entries.
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
        # The upstreams share one limit, so that memory does not grow with their number, apart
        # from the minimum for each.
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
    """Pieces that are probably in a pool's keep, because this router or a peer exported them."""

    def __init__(self) -> None:
        self._pieces: collections.OrderedDict[ids.PieceId, None] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._pieces)

    def __contains__(self, piece: ids.PieceId) -> bool:
        return piece in self._pieces

    def add(self, pieces: collections.abc.Iterable[ids.PieceId]) -> None:
        """Records exported pieces."""
        for piece in pieces:
            self._pieces[piece] = None
            self._pieces.move_to_end(piece)
        while len(self._pieces) > MAX_EXPORTED_PIECES:
            self._pieces.popitem(last=False)

    def remove(self, pieces: collections.abc.Iterable[ids.PieceId]) -> None:
        """Removes pieces that an import did not find."""
        for piece in pieces:
            self._pieces.pop(piece, None)

    def prefix_length(self, pieces: collections.abc.Sequence[ids.PieceId]) -> int:
        """Returns the length of the prefix that is probably in the keep."""
        for depth, piece in enumerate(pieces):
            if piece not in self._pieces:
                return depth
        return len(pieces)
