"""Grants for upstreams that limit the requests of all routers together: asked for and issued."""

import collections
import dataclasses
import math

import structlog
import trio

from cicadapier._internal.decisions import quotas
from cicadapier._internal.decisions import rate_limits
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.kernel import service
from cicadapier._internal.models import ids
from cicadapier._internal.services import cluster_service
from cicadapier._internal.services import directory_service
from cicadapier._internal.services import names
from cicadapier._internal.services import peers_service
from cicadapier._internal.services import traffic_messages
from cicadapier._internal.services import traffic_service

MIN_PAUSE_S = 0.005  # Grants that become due within this time go out together.

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class GrantsWanted:
    """What this router wants for each limited upstream beside what it holds."""

    demands: dict[ids.UpstreamId, quotas.Demand]


@dataclasses.dataclass(frozen=True, slots=True)
class LimitChanged:
    """Another limit of an upstream is in force, or none any more."""

    upstream: ids.UpstreamId


Message = GrantsWanted | LimitChanged | quotas.GrantRequest | quotas.Grant


class QuotasService(service.Service):
    """Asks the issuers for grants, and issues those that are this router's part."""

    name = names.QUOTAS

    def __init__(self, vm: ids.VmId) -> None:
        self.mailbox: mailbox.Mailbox[Message] = mailbox.Mailbox()
        self._vm = vm
        self._issuer = quotas.Issuer()
        self._demands: dict[ids.UpstreamId, quotas.Demand] = {}
        self._requesters: dict[ids.UpstreamId, quotas.GrantRequester] = {}
        self._reply_to: dict[ids.VmId, ids.Address] = {}
        self._asked_at = -math.inf
        self._ranked_routers: dict[ids.VmId, ids.Address] | None = None
        self._known_ranks: dict[ids.UpstreamId, list[ids.VmId]] = {}

    def set_demands(self, demands: dict[ids.UpstreamId, quotas.Demand]) -> None:
        """Takes what this router wants for each limited upstream beside what it holds."""
        self.mailbox.offer(GrantsWanted(demands))

    def limit_changed(self, upstream: ids.UpstreamId) -> None:
        """Notes that another limit of an upstream is in force, or none any more."""
        self.mailbox.offer(LimitChanged(upstream))

    async def run(self, kernel: service.Kernel, started: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._cluster: cluster_service.ClusterService = kernel.find(names.CLUSTER)
        self._directory: directory_service.DirectoryService = kernel.find(names.UPSTREAMS)
        self._peers: peers_service.PeersService = kernel.find(names.PEERS)
        self._traffic: traffic_service.TrafficService = kernel.find(names.TRAFFIC)
        self._peers.set_quota_sink(self)
        started.started()
        while True:
            message = await self.mailbox.receive_until(self._next_at(trio.current_time()))
            now = trio.current_time()
            if isinstance(message, GrantsWanted):
                self._demands = message.demands
            elif isinstance(message, LimitChanged):
                await self._limit_changed(message.upstream, now)
            elif isinstance(message, quotas.GrantRequest):
                await self._requested(message, now)
            elif isinstance(message, quotas.Grant):
                self._granted(message, now)
            await self._ask(now)
            await self._issue(now)

    def _next_at(self, now: float) -> float:
        found = self._issuer.next_due_at(now)
        if any(demand.total for demand in self._demands.values()):
            found = min(found, self._asked_at + self._refresh_s)
        return max(found, now + MIN_PAUSE_S)

    @property
    def _refresh_s(self) -> float:
        return quotas.refresh_interval_s(len(self._cluster.addresses()))

    def _issuers(self, limit: rate_limits.AnnouncedLimit) -> list[ids.VmId]:
        """Returns the routers that issue grants for an upstream, all routers alike."""
        return self._ranked(limit.upstream)[: quotas.issuer_count(limit.allowed_per_s)]

    def _ranked(self, upstream: ids.UpstreamId) -> list[ids.VmId]:
        """Returns the routers that may issue grants, worked out once for each set of routers."""
        routers = self._cluster.addresses()
        if routers is not self._ranked_routers:
            self._ranked_routers = routers
            self._known_ranks.clear()
        found = self._known_ranks.get(upstream)
        if found is None:
            found = self._known_ranks[upstream] = quotas.rank_issuers(upstream, routers)
        return found

    async def _ask(self, now: float) -> None:
        """Asks the issuers for what is wanted and has not been asked of them."""
        requests: dict[ids.VmId, list[quotas.UpstreamDemand]] = collections.defaultdict(list)
        for upstream, demand in self._demands.items():
            limit = self._directory.limits.find(upstream)
            if limit is None:
                self._requesters.pop(upstream, None)
                continue
            requester = self._requesters.setdefault(upstream, quotas.GrantRequester(self._vm))
            asked = requester.due_requests(self._issuers(limit), demand, now, self._refresh_s)
            for issuer, part in asked.items():
                told = self._directory.limits.as_told(limit)
                requests[issuer].append(quotas.UpstreamDemand(told, part))
        self._asked_at = now
        for issuer, wanted in requests.items():
            await self._send_request(issuer, wanted, now)

    async def _send_request(
        self, issuer: ids.VmId, wanted: list[quotas.UpstreamDemand], now: float
    ) -> None:
        request = quotas.GrantRequest(self._vm, self._peers.address, tuple(wanted))
        if issuer == self._vm:
            await self._requested(request, now)
            return
        address = self._cluster.addresses().get(issuer)
        if address is not None:
            await self._peers.tell([address], request)

    async def _requested(self, request: quotas.GrantRequest, now: float) -> None:
        """Takes what a router wants, where this one issues grants for it."""
        for item in request.wanted:
            upstream = item.limit.upstream
            self._directory.limits.heard(item.limit, request.sender)
            limit = self._directory.limits.find(upstream)
            if limit is None:
                await self._tell_lifted(upstream, [request.reply_to])
                continue
            chosen = self._issuers(limit)
            if self._vm not in chosen:
                _log.debug("grants_not_issued_here", upstream=upstream, peer=request.sender)
                continue
            self._reply_to[request.sender] = request.reply_to
            part_per_s = limit.allowed_per_s / len(chosen)
            lifetime_s = self._refresh_s * quotas.EXPIRY_REFRESHES
            self._issuer.set_demand(
                request.sender, upstream, item.demand, part_per_s, now, lifetime_s
            )

    def _granted(self, grant: quotas.Grant, now: float) -> None:
        upstream = grant.limit.upstream
        self._directory.limits.heard(grant.limit, grant.issuer)
        requester = self._requesters.get(upstream)
        registration = self._directory.find(upstream)
        if not grant.count or requester is None or registration is None:
            return
        requester.record_grant(grant.issuer, grant.count)
        until = now + quotas.GRANT_LIFETIME_S
        self._traffic.mailbox.offer(
            traffic_messages.Granted(registration.pool, upstream, grant.count, until)
        )

    async def _issue(self, now: float) -> None:
        for issued in self._issuer.issue(now):
            limit = self._directory.limits.find(issued.upstream)
            if limit is None:
                # The upstream is gone.
                self._issuer.remove(issued.upstream)
                continue
            grant = quotas.Grant(self._vm, self._directory.limits.as_told(limit), issued.count)
            if issued.vm == self._vm:
                self._granted(grant, now)
            else:
                await self._peers.tell([self._reply_to[issued.vm]], grant)

    async def _limit_changed(self, upstream: ids.UpstreamId, now: float) -> None:
        limit = self._directory.limits.find(upstream)
        if limit is not None:
            part_per_s = limit.allowed_per_s / max(1, len(self._issuers(limit)))
            self._issuer.set_rate(upstream, part_per_s, now)
            return
        await self._lifted(upstream)

    async def _lifted(self, upstream: ids.UpstreamId) -> None:
        """Tells the routers that wait for grants, and the issuers of what was heard here."""
        told = {self._reply_to[vm] for vm in self._issuer.waiting_routers(upstream)}
        newest = self._directory.limits.newest(upstream)
        if newest is not None and newest.direct:
            addresses = self._cluster.addresses()
            told.update(addresses[vm] for vm in self._ranked(upstream))
        self._issuer.remove(upstream)
        self._requesters.pop(upstream, None)
        await self._tell_lifted(upstream, sorted(told - {self._peers.address}))

    async def _tell_lifted(self, upstream: ids.UpstreamId, addresses: list[ids.Address]) -> None:
        """Tells routers that an upstream names no limit any more."""
        newest = self._directory.limits.newest(upstream)
        if newest is None:
            return
        grant = quotas.Grant(self._vm, self._directory.limits.as_told(newest), 0)
        await self._peers.tell(addresses, grant)
