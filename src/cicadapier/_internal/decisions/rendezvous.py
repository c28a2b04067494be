"""Order of upstreams for a key, identical on all routers with the same set of upstreams.

Small pools use rendezvous hashing (Thaler and Ravishankar, 1998). Large pools use a consistent
hash ring instead, because scoring every upstream takes time linear in their number.
"""

import bisect
import collections.abc
import hashlib

from cicadapier._internal.models import ids

MAX_SCORED = 64  # Pools with more upstreams use the hash ring.
MAX_CACHED_ORDERS = 4096
_POINTS_PER_UPSTREAM = 8


def _score(key: bytes, member: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(key + member, digest_size=8).digest(), "big")


class Order:
    """Deterministic order of a fixed set of upstreams for any key."""

    def __init__(self, members: collections.abc.Iterable[ids.UpstreamId]) -> None:
        self._members = sorted(members)
        self._encoded = [member.encode() for member in self._members]
        self._cached_orders: dict[bytes, list[ids.UpstreamId]] = {}
        self._points: list[int] = []
        self._owners: list[ids.UpstreamId] = []
        if len(self._members) > MAX_SCORED:
            self._build_ring()

    @property
    def size(self) -> int:
        """Number of upstreams."""
        return len(self._members)

    def first(self, key: bytes, count: int) -> list[ids.UpstreamId]:
        """Returns the first upstreams for a key, at most `count`.

        Orders are cached, because hot prefixes use the same key repeatedly. An order from the hash
        ring is cached with the `count` of its first call, so all calls for a large pool must pass
        the same `count`.
        """
        ranked = self._cached_orders.get(key)
        if ranked is None:
            ranked = self._walk_ring(key, count) if self._points else self._rank_by_score(key)
            if len(self._cached_orders) >= MAX_CACHED_ORDERS:
                self._cached_orders.clear()
            self._cached_orders[key] = ranked
        return ranked[:count]

    def _rank_by_score(self, key: bytes) -> list[ids.UpstreamId]:
        scores = [_score(key, member) for member in self._encoded]
        ranked = sorted(range(len(scores)), key=scores.__getitem__, reverse=True)
        return [self._members[i] for i in ranked]

    def _build_ring(self) -> None:
        points = [
            (_score(i.to_bytes(2, "big"), encoded), member)
            for member, encoded in zip(self._members, self._encoded, strict=True)
            for i in range(_POINTS_PER_UPSTREAM)
        ]
        points.sort()
        self._points = [point for point, _ in points]
        self._owners = [owner for _, owner in points]

    def _walk_ring(self, key: bytes, count: int) -> list[ids.UpstreamId]:
        start = bisect.bisect(self._points, _score(key, b""))
        found: dict[ids.UpstreamId, None] = {}
        for offset in range(len(self._points)):
            found[self._owners[(start + offset) % len(self._points)]] = None
            if len(found) >= count:
                break
        return list(found)
