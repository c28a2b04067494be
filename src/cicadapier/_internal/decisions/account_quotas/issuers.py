"""Choice of the routers that issue the quota of an account; the same on all routers.

Load pattern: some thousand accounts in use and routers that come and go, so that a change must not
cost a computation for each pair of them.
"""

import bisect
import collections
import collections.abc
import functools
import hashlib
import math

from cicadapier._internal.models import ids

POINTS_PER_ROUTER = 8
MAX_VIEWS = 16  # Older changes of the set of routers count as one.


class Ring:
    """Ring of hashed points; the routers behind the point of an account issue its quota."""

    def __init__(self, routers: collections.abc.Iterable[ids.VmId]) -> None:
        self._points = sorted(point for vm in routers for point in _points_of(vm))
        self.size = len(self._points) // POINTS_PER_ROUTER

    def issuers(self, account: ids.AccountId, count: int) -> list[ids.VmId]:
        """Returns up to `count` different routers, in the order of the ring."""
        found: list[ids.VmId] = []
        start = bisect.bisect(self._points, (_hash(account), ids.VmId("")))
        for offset in range(len(self._points)):
            vm = self._points[(start + offset) % len(self._points)][1]
            if vm not in found:
                found.append(vm)
            if len(found) >= count:
                break
        return found


class Views:
    """The sets of routers that this router has known, with the time from which each held.

    The first holds from when it is known, not from the start of the process: until then, others may
    have issued the parts of this router.
    """

    def __init__(self) -> None:
        self._views: collections.deque[tuple[float, Ring]] = collections.deque(maxlen=MAX_VIEWS)

    def set_routers(self, routers: collections.abc.Iterable[ids.VmId], now: float) -> None:
        """Records another set of routers."""
        self._views.append((now, Ring(routers)))

    @property
    def current(self) -> Ring:
        """Ring of the routers known now."""
        return self._views[-1][1] if self._views else Ring(())

    def issuer_since(
        self,
        account: ids.AccountId,
        vm: ids.VmId,
        count: collections.abc.Callable[[int], int],
    ) -> float:
        """Returns the time since which a router issues a quota without a break.

        Args:
            account: Account whose quota it is.
            vm: The router.
            count: Returns the number of issuers for a number of routers.

        Returns:
            The time; infinite if the router does not issue the quota now.
        """
        since = math.inf
        for began_at, ring in reversed(self._views):
            if vm not in ring.issuers(account, count(ring.size)):
                break
            since = began_at
        return since


@functools.lru_cache(maxsize=4096)
def _points_of(vm: ids.VmId) -> tuple[tuple[bytes, ids.VmId], ...]:
    return tuple((_hash(f"{vm}/{i}"), vm) for i in range(POINTS_PER_ROUTER))


def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8, person=b"account-quota").digest()
