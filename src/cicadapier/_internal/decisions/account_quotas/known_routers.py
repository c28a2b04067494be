"""Routers of a fleet without a list of its own, as far as they may issue quotas.

Load pattern: a whole fleet starts at once, and each router hears of the others one by one. A router
that issued quotas before it has heard of most of them would do so beside all others.
"""

import collections.abc

from cicadapier._internal.decisions import cadence
from cicadapier._internal.models import ids

SETTLING_ROUNDS = 3.0  # Gossip rounds without a further router.
MAX_SETTLING_ROUNDS = 15.0
SINGLE_SETTLING_S = 1.0  # Of a router that has been told of others and has not heard of any.


class KnownRouters:
    """The routers that one router has heard of, once their number grows no more."""

    def __init__(self) -> None:
        self._addresses: dict[ids.VmId, ids.Address] = {}
        self._pending: dict[ids.VmId, ids.Address] = {}
        self._grew_at = 0.0
        self._pending_since: float | None = None

    def update(
        self,
        heard_of: collections.abc.Mapping[ids.VmId, ids.Address],
        expects_others: bool,
        now: float,
        is_complete: bool = False,
    ) -> dict[ids.VmId, ids.Address]:
        """Returns the routers that count now; the same object until they change.

        Args:
            heard_of: The routers that have been heard of, with this one.
            expects_others: Whether this router has been told of others.
            now: Current time.
            is_complete: Whether a router that has run for a while has told of all others, so that
                there is no need to wait for more.
        """
        if heard_of == self._addresses:
            self._pending_since = None
            return self._addresses
        if is_complete or heard_of.keys() <= self._addresses.keys():
            return self._accept(heard_of)
        if self._pending_since is None:
            self._pending_since = self._grew_at = now
        elif heard_of.keys() - self._pending.keys():
            self._grew_at = now
        self._pending = dict(heard_of)
        if self._is_settled(expects_others, self._pending_since, now):
            return self._accept(heard_of)
        return self._addresses

    def _is_settled(self, expects_others: bool, since: float, now: float) -> bool:
        if not expects_others:
            return True
        if len(self._pending) == 1:
            return now - since >= SINGLE_SETTLING_S
        round_s = cadence.gossip_rounds(len(self._pending)).period_s
        has_waited = now - since >= MAX_SETTLING_ROUNDS * round_s
        return has_waited or now - self._grew_at >= SETTLING_ROUNDS * round_s

    def _accept(
        self, heard_of: collections.abc.Mapping[ids.VmId, ids.Address]
    ) -> dict[ids.VmId, ids.Address]:
        self._pending_since = None
        self._addresses = dict(heard_of)
        return self._addresses
