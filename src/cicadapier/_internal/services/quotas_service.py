"""Requests and issues grants for upstreams that limit the request rate of all routers."""

import collections
import dataclasses
import math

import structlog
import trio

from cicadapier._internal.decisions import grant_ages
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
from cicadapier._internal.services import watching

GRANT_BATCH_S = 0.005  # Grants that become due within this time are sent together.

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class DemandsChanged:
    """Grants that this router needs for each limited upstream besides those that it holds."""

    demands: dict[ids.UpstreamId, quotas.Demand]


@dataclasses.dataclass(frozen=True, slots=True)
class LimitChanged:
    """The limit of an upstream has changed or has been lifted."""

    upstream: ids.UpstreamId


Message = DemandsChanged | LimitChanged | quotas.GrantRequest | quotas.Grant


class QuotasService(service.Service):
    """Requests grants from the issuers, and issues this router's part of the grants."""

    name = names.QUOTAS

    def __init__(self, vm: ids.VmId, clock: watching.Clock) -> None:
        """Creates the service.

        Args:
            vm: VM of this router.
            clock: Clock that also advances while the VM is suspended, so that grants age then.
        """
        self.mailbox: mailbox.Mailbox[Message] = mailbox.Mailbox()
        self._vm = vm
        self._clock = clock
        self._ages = grant_ages.GrantAges()
        self._issuer = quotas.Issuer()
        self._demands: dict[ids.UpstreamId, quotas.Demand] = {}
        self._requesters: dict[ids.UpstreamId, quotas.GrantRequester] = {}
        self._reply_addresses: dict[ids.VmId, ids.Address] = {}
        self._requested_at = -math.inf
        self._ranking_routers: dict[ids.VmId, ids.Address] | None = None
        self._issuer_ranks: dict[ids.UpstreamId, list[ids.VmId]] = {}

    def set_demands(self, demands: dict[ids.UpstreamId, quotas.Demand]) -> None:
        """Sets the grants that this router needs besides those that it holds."""
        self.mailbox.try_send(DemandsChanged(demands))

    def limit_changed(self, upstream: ids.UpstreamId) -> None:
        """Records that the limit of an upstream has changed or has been lifted."""
        self.mailbox.try_send(LimitChanged(upstream))

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._cluster: cluster_service.ClusterService = kernel.find(names.CLUSTER)
        self._directory: directory_service.DirectoryService = kernel.find(names.UPSTREAMS)
        self._peers: peers_service.PeersService = kernel.find(names.PEERS)
        self._traffic: traffic_service.TrafficService = kernel.find(names.TRAFFIC)
        self._peers.set_quota_sink(self)
        task_status.started()
        while True:
            message = await self.mailbox.receive_until(self._next_wakeup(trio.current_time()))
            now = trio.current_time()
            if isinstance(message, DemandsChanged):
                self._demands = message.demands
            elif isinstance(message, LimitChanged):
                await self._handle_limit_change(message.upstream, now)
            elif isinstance(message, quotas.GrantRequest):
                await self._handle_request(message, now)
            elif isinstance(message, quotas.Grant):
                self._handle_grant(message, now)
            await self._request_grants(now)
            await self._issue_grants(now)

    def _next_wakeup(self, now: float) -> float:
        wakeup_at = self._issuer.next_due_at(now)
        if any(demand.total for demand in self._demands.values()):
            wakeup_at = min(wakeup_at, self._requested_at + self._refresh_interval_s)
        return max(wakeup_at, now + GRANT_BATCH_S)

    @property
    def _refresh_interval_s(self) -> float:
        return quotas.refresh_interval_s(len(self._cluster.addresses()))

    def _issuers(self, limit: rate_limits.AnnouncedLimit) -> list[ids.VmId]:
        """Returns the routers that issue grants for an upstream; the same list on all routers."""
        return self._ranked_issuers(limit.upstream)[: quotas.issuer_count(limit.allowed_per_s)]

    def _ranked_issuers(self, upstream: ids.UpstreamId) -> list[ids.VmId]:
        """Returns the routers that may issue grants; cached until the set of routers changes."""
        routers = self._cluster.addresses()
        if routers is not self._ranking_routers:
            self._ranking_routers = routers
            self._issuer_ranks.clear()
            self._ages.keep_only(routers)
        ranked = self._issuer_ranks.get(upstream)
        if ranked is None:
            ranked = self._issuer_ranks[upstream] = quotas.rank_issuers(upstream, routers)
        return ranked

    async def _request_grants(self, now: float) -> None:
        """Sends the issuers the demands that are due."""
        requests: dict[ids.VmId, list[quotas.UpstreamDemand]] = collections.defaultdict(list)
        for upstream, demand in self._demands.items():
            limit = self._directory.limits.find(upstream)
            if limit is None:
                self._requesters.pop(upstream, None)
                continue
            requester = self._requesters.setdefault(upstream, quotas.GrantRequester(self._vm))
            due = requester.due_requests(
                self._issuers(limit), demand, now, self._refresh_interval_s
            )
            for issuer, part in due.items():
                notice = self._directory.limits.make_notice(limit)
                requests[issuer].append(quotas.UpstreamDemand(notice, part))
        self._requested_at = now
        for issuer, demands in requests.items():
            await self._send_request(issuer, demands, now)

    async def _send_request(
        self, issuer: ids.VmId, demands: list[quotas.UpstreamDemand], now: float
    ) -> None:
        number = self._ages.record_request(issuer, self._clock())
        request = quotas.GrantRequest(self._vm, self._peers.address, tuple(demands), number)
        if issuer == self._vm:
            await self._handle_request(request, now)
            return
        address = self._cluster.addresses().get(issuer)
        if address is not None:
            await self._peers.send_datagram([address], request)

    async def _handle_request(self, request: quotas.GrantRequest, now: float) -> None:
        """Records a router's demands for the upstreams that this router issues grants for."""
        for item in request.wanted:
            upstream = item.limit.upstream
            self._directory.limits.record_notice(item.limit, request.sender)
            limit = self._directory.limits.find(upstream)
            if limit is None:
                await self._send_lifted(upstream, [request.reply_to])
                continue
            issuers = self._issuers(limit)
            if self._vm not in issuers:
                _log.debug("grants_not_issued_here", upstream=upstream, peer=request.sender)
                continue
            self._reply_addresses[request.sender] = request.reply_to
            part_per_s = limit.allowed_per_s / len(issuers)
            lifetime_s = self._refresh_interval_s * quotas.EXPIRY_REFRESHES
            self._issuer.set_demand(
                request.sender, upstream, item.demand, part_per_s, now, lifetime_s, request.number
            )

    def _handle_grant(self, grant: quotas.Grant, now: float) -> None:
        upstream = grant.limit.upstream
        self._directory.limits.record_notice(grant.limit, grant.issuer)
        requester = self._requesters.get(upstream)
        registration = self._directory.find(upstream)
        if not grant.count or requester is None or registration is None:
            return
        requester.record_grant(grant.issuer, grant.count)
        remaining_s = self._ages.remaining_s(grant, self._refresh_interval_s, self._clock())
        if not remaining_s:
            _log.info("grant_expired", upstream=upstream, issuer=grant.issuer, count=grant.count)
            return
        expires_at = now + remaining_s
        self._traffic.mailbox.try_send(
            traffic_messages.GrantsReceived(registration.pool, upstream, grant.count, expires_at)
        )

    async def _issue_grants(self, now: float) -> None:
        for issued in self._issuer.issue(now):
            limit = self._directory.limits.find(issued.upstream)
            if limit is None:
                # The upstream has been removed.
                self._issuer.remove(issued.upstream)
                continue
            notice = self._directory.limits.make_notice(limit)
            grant = quotas.Grant(self._vm, notice, issued.count, issued.number, issued.waited_s)
            if issued.vm == self._vm:
                self._handle_grant(grant, now)
            else:
                await self._peers.send_datagram([self._reply_addresses[issued.vm]], grant)

    async def _handle_limit_change(self, upstream: ids.UpstreamId, now: float) -> None:
        limit = self._directory.limits.find(upstream)
        if limit is not None:
            part_per_s = limit.allowed_per_s / max(1, len(self._issuers(limit)))
            self._issuer.set_rate(upstream, part_per_s, now)
            return
        await self._handle_lifted_limit(upstream)

    async def _handle_lifted_limit(self, upstream: ids.UpstreamId) -> None:
        """Stops issuing and requesting grants for an upstream whose limit has been lifted.

        Notifies the routers that wait for its grants. If the upstream announced the change to this
        router itself, also notifies the issuers.
        """
        recipients = {self._reply_addresses[vm] for vm in self._issuer.waiting_routers(upstream)}
        latest = self._directory.limits.latest(upstream)
        if latest is not None and latest.direct:
            addresses = self._cluster.addresses()
            recipients.update(addresses[vm] for vm in self._ranked_issuers(upstream))
        self._issuer.remove(upstream)
        self._requesters.pop(upstream, None)
        await self._send_lifted(upstream, sorted(recipients - {self._peers.address}))

    async def _send_lifted(self, upstream: ids.UpstreamId, addresses: list[ids.Address]) -> None:
        """Notifies routers, by an empty grant, that the limit of an upstream has been lifted."""
        latest = self._directory.limits.latest(upstream)
        if latest is None:
            return
        grant = quotas.Grant(self._vm, self._directory.limits.make_notice(latest), 0)
        await self._peers.send_datagram(addresses, grant)
