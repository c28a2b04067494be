"""Chooses the other routers that are told where streams began, or asked for it."""

import random

from cicadapier._internal.decisions import stream_origins
from cicadapier._internal.models import ids
from cicadapier._internal.services import cluster_service
from cicadapier._internal.services import peers_service


class OriginRouters:
    """The other routers, by their addresses as this router knows them."""

    def __init__(
        self,
        vm: ids.VmId,
        cluster: cluster_service.ClusterService,
        peers: peers_service.PeersService,
        rng: random.Random,
    ) -> None:
        self._vm = vm
        self._cluster = cluster
        self._peers = peers
        self._rng = rng

    def choose_holders(self, stream: stream_origins.StreamId) -> dict[ids.VmId, ids.Address]:
        """Returns the routers that are told where a stream began."""
        return self._choose(stream, stream_origins.HOLDERS, stream_origins.DOMAIN_HOLDERS)

    def choose_asked(self, stream: stream_origins.StreamId) -> dict[ids.VmId, ids.Address]:
        """Returns the routers that are asked where a stream began."""
        return self._choose(stream, stream_origins.ASKED, stream_origins.DOMAIN_ASKED)

    def choose_any(self) -> dict[ids.VmId, ids.Address]:
        """Returns some routers at random."""
        others = {vm: at for vm, at in self._cluster.addresses().items() if vm != self._vm}
        count = min(stream_origins.ASKED, len(others))
        return dict(self._rng.sample(sorted(others.items()), count))

    def _choose(
        self, stream: stream_origins.StreamId, count: int, domain_count: int
    ) -> dict[ids.VmId, ids.Address]:
        addresses = self._cluster.addresses()
        others = [vm for vm in addresses if vm != self._vm]
        near = [vm for vm in self._peers.domain_routers() if vm in addresses]
        chosen = stream_origins.first_by_hash(stream, others, count)
        chosen += stream_origins.first_by_hash(stream, near, domain_count)
        return {vm: addresses[vm] for vm in chosen}
