"""Which routers of a failure domain read the store for the others.

In a large fleet, most of the load on the store is many routers asking the same question. A few
routers of each failure domain, chosen by rendezvous hashing (Thaler and Ravishankar, 1998), ask it,
so that the calls do not grow with the fleet. No agreement is needed: a router that is asked reads,
also if it would have chosen another one.
"""

import collections.abc
import hashlib
import math

from cicadapier._internal.models import ids

READERS = 2  # In each failure domain.
ANSWERS_WITHIN_S = 3.0
AVOIDED_S = 20.0


class ReaderChoice:
    """The reader that one router listens to.

    All times are of one clock of the caller's choice.
    """

    def __init__(self, vm: ids.VmId, min_routers: int) -> None:
        """Creates it.

        Args:
            vm: The router that chooses.
            min_routers: Routers in the failure domain, with this one, from which on a few of them
                read for the others.
        """
        self._vm = vm
        self._min_routers = min_routers
        self._reader: ids.VmId | None = None
        self._last_heard_at = -math.inf
        self._avoided_until: dict[ids.VmId, float] = {}

    @property
    def reader(self) -> ids.VmId | None:
        """The router that was chosen last; None if this router reads for itself."""
        return self._reader

    def choose(
        self, domain_peers: collections.abc.Collection[ids.VmId], now: float
    ) -> ids.VmId | None:
        """Returns the reader to listen to, or None if this router reads for itself.

        Args:
            domain_peers: The other known routers of the failure domain.
            now: Current time.
        """
        if self._reader is not None and now - self._last_heard_at > ANSWERS_WITHIN_S:
            self.avoid(self._reader, now)
        self._avoided_until = {vm: t for vm, t in self._avoided_until.items() if t > now}
        chosen = self._choose_by_hash(domain_peers)
        if chosen != self._reader:
            self._reader = chosen
            self._last_heard_at = now
        return chosen

    def _choose_by_hash(
        self, domain_peers: collections.abc.Collection[ids.VmId]
    ) -> ids.VmId | None:
        routers = {self._vm, *domain_peers}
        if len(routers) < self._min_routers:
            return None
        usable = sorted(routers - set(self._avoided_until), key=_hash)
        readers = usable[:READERS]
        if not readers or self._vm in readers:
            return None
        return min(readers, key=lambda reader: _hash(ids.VmId(f"{self._vm}/{reader}")))

    def record_heard(self, now: float) -> None:
        """Records a report of the reader that says something new."""
        self._last_heard_at = now

    def stop_listening(self) -> None:
        """Forgets the reader, as this router reads for itself and others."""
        self._reader = None

    def avoid(self, vm: ids.VmId, now: float) -> None:
        """Chooses another reader for some time, as this one is silent or wrong."""
        self._avoided_until[vm] = now + AVOIDED_S


def _hash(name: ids.VmId) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
