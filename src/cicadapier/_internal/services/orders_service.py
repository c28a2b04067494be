"""Load orders, which tell engines which weights to load.

One router at a time sends the orders of a pool. It holds the pool's lease, a platform object, and
includes its fencing token in every order.
"""

import collections.abc
import dataclasses
import math
import random

import msgspec
import structlog
import trio

from cicadapier._internal.decisions import leases
from cicadapier._internal.decisions import order_links
from cicadapier._internal.kernel import random_tokens
from cicadapier._internal.kernel import service
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import exceptions as protocol_exceptions
from cicadapier._internal.protocols import headers
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import store_format
from cicadapier._internal.services import configuration_service
from cicadapier._internal.services import connections_service
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import lease_objects
from cicadapier._internal.services import names
from cicadapier._internal.services import platform_service
from cicadapier._internal.services import upstreams_service
from cicadapier._internal.services import watching

LEASE_KIND = "leases"
ROUND_S = 0.5
CONNECT_TIMEOUT_S = 0.5
NONCE_BYTES = 12
# Time for which a router that reaches none of the engines leaves the orders to the others.
HANDED_OVER_PAUSE_S = 10.0

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine to load a weights version."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
    address: ids.Address
    model: ids.ModelId
    version: str


class OrdersService(service.Service):
    """Orders engines to load the weights versions that the configuration declares."""

    name = names.ORDERS

    def __init__(
        self,
        vm: ids.VmId,
        rng: random.Random,
        token_source: random_tokens.TokenSource,
        clock: watching.Clock,
    ) -> None:
        """Creates the service.

        Args:
            vm: VM of this router.
            rng: Source of the pauses between rounds.
            token_source: Source of the identity of this process.
            clock: Clock that also advances while the VM is suspended, so that a lease expires then.
        """
        self._vm = vm
        self._rng = rng
        self._clock = clock
        self._nonce = token_source.token_hex(NONCE_BYTES)
        self._tokens = token_source
        self._leases: dict[ids.PoolId, leases.Lease] = {}
        self._links: dict[ids.PoolId, order_links.OrderLinks] = {}
        self._handed_over_at: dict[ids.PoolId, float] = {}
        self._loading: set[ids.UpstreamId] = set()
        self._configuration: configuration_service.ConfigurationService | None = None
        self._connections: connections_service.ConnectionsService | None = None
        self._platform: platform_service.PlatformService | None = None
        self._upstreams: upstreams_service.UpstreamsService | None = None

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._configuration = kernel.find(names.CONFIGURATION)
        self._connections = kernel.find(names.CONNECTIONS)
        self._platform = kernel.find(names.PLATFORM)
        self._upstreams = kernel.find(names.UPSTREAMS)
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                await trio.sleep(ROUND_S * self._rng.uniform(0.8, 1.2))
                if self._platform.is_configured and not kernel.is_stopping:
                    await self._round(nursery)

    async def _round(self, nursery: trio.Nursery) -> None:
        assert self._configuration
        for pool_id, pool in self._configuration.current.content.pools.items():
            due = self._due_orders(pool_id, pool)
            handed_over_at = self._handed_over_at.get(pool_id, -math.inf)
            if not due or self._clock() - handed_over_at < HANDED_OVER_PAUSE_S:
                continue
            lease = self._leases.setdefault(pool_id, leases.Lease(self._vm, self._nonce))
            links = self._links.setdefault(pool_id, order_links.OrderLinks())
            if lease.is_holder and links.are_lost({o.upstream for o in due}, self._clock()):
                await self._hand_over(pool_id, lease, links)
                continue
            if not await self._acquire_or_renew_lease(pool_id, lease):
                continue
            ready = [order for order in due if order.upstream not in self._loading]
            unreached = links.unreached(self._clock())
            ready.sort(key=lambda order: order.upstream in unreached)
            free_slots = pool.loads_at_once - len(self._loading)
            for order in ready[: max(0, free_slots)]:
                self._loading.add(order.upstream)
                nursery.start_soon(self._run_order, order, lease, links)

    def _due_orders(self, pool_id: ids.PoolId, pool: configuration.Pool) -> list[Order]:
        assert self._upstreams
        due = []
        for upstream_id, spec in pool.upstreams.items():
            reported = self._upstreams.model_versions.get(upstream_id, {})
            if spec.leaving:
                continue
            for model_id, model in pool.models.items():
                if reported.get(model_id, model.weights_version) != model.weights_version:
                    version = model.weights_version
                    due.append(Order(pool_id, upstream_id, spec.address, model_id, version))
        return due

    async def _hand_over(
        self, pool_id: ids.PoolId, lease: leases.Lease, links: order_links.OrderLinks
    ) -> None:
        """Releases the lease, because this router reaches none of the engines."""
        _log.info("order_links_lost", pool=pool_id)
        self._handed_over_at[pool_id] = self._clock()
        links.forget()
        await self._write_next(pool_id, lease, lambda: lease.propose_hand_over(self._clock()))

    async def _acquire_or_renew_lease(self, pool_id: ids.PoolId, lease: leases.Lease) -> bool:
        """Takes or renews the lease; returns whether orders may be sent now."""
        await self._write_next(pool_id, lease, lambda: lease.propose(self._clock()))
        return lease.fencing_token(self._clock()) is not None

    async def _write_next(
        self,
        pool_id: ids.PoolId,
        lease: leases.Lease,
        propose: collections.abc.Callable[[], leases.LeaseObject | None],
    ) -> None:
        """Reads the lease, and writes what is proposed on it."""
        assert self._platform
        name = f"orders-{pool_id}"
        try:
            stored = await self._platform.get(LEASE_KIND, name)
            lease.observe(lease_objects.read_lease(stored), self._clock())
            proposal = propose()
            if proposal:
                await self._write_lease(name, stored, lease, proposal)
        except (exceptions.PlatformUnavailableError, exceptions.PlatformRefusedError):
            # The next read shows whether an unanswered write took effect.
            pass

    async def _write_lease(
        self,
        name: str,
        stored: store_format.StoredObject | None,
        lease: leases.Lease,
        proposal: leases.LeaseObject,
    ) -> None:
        assert self._platform
        lease.begin_write(proposal, self._clock())
        spec = dataclasses.asdict(proposal)
        if stored is None:
            written = await self._platform.create(LEASE_KIND, name, spec)
        else:
            written = await self._platform.replace(LEASE_KIND, stored, spec)
        if isinstance(written, platform_service.Written):
            confirmed = lease.observe(proposal, self._clock())
            if confirmed and confirmed.is_new:
                _log.info("lease_taken", lease=name, fencing=proposal.fencing)
        else:
            lease.record_refused(proposal)

    async def _run_order(
        self, order: Order, lease: leases.Lease, links: order_links.OrderLinks
    ) -> None:
        try:
            with trio.move_on_after(leases.MAX_ORDER_S):
                await self._send_order(order, lease, links)
        except protocol_exceptions.ProtocolError as exc:
            _log.warning("order_failed", upstream=order.upstream, reason=str(exc))
        finally:
            self._loading.discard(order.upstream)

    async def _send_order(
        self, order: Order, lease: leases.Lease, links: order_links.OrderLinks
    ) -> None:
        assert self._connections
        try:
            conn = await self._connections.open_direct(order.address, CONNECT_TIMEOUT_S)
        except protocol_exceptions.ConnectError:
            links.record_unreached(order.upstream, self._clock())
            raise
        links.record_reached(order.upstream, self._clock())
        try:
            conn.limit_delivery(leases.MAX_ORDER_S)
            # The lease may have expired while the connection was being opened.
            fencing = lease.fencing_token(self._clock())
            if fencing is None:
                return
            body = {"model": order.model, "version": order.version, "fencing": fencing}
            request_headers = [
                (headers.CONTENT_TYPE, b"application/json"),
                (headers.REQUEST_ID, f"order-{self._tokens.token_hex(8)}".encode()),
            ]
            head = http_client.RequestHead("POST", "/orders/load", request_headers)
            response, _ = await connections_service.exchange(
                conn, head, msgspec.json.encode(body), leases.MAX_ORDER_S
            )
            _log.info("order_given", upstream=order.upstream, status=response.status)
        finally:
            with trio.CancelScope(shield=True):
                await conn.close()
