"""Service that watches upstreams: load reports, cache events and the platform's list of VMs."""

import contextlib
import dataclasses
import random
from typing import Any

import msgspec
import structlog
import trio

from cicadapier._internal.decisions import cadence
from cicadapier._internal.decisions import load
from cicadapier._internal.decisions import observations
from cicadapier._internal.decisions import withdrawals
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.kernel import service
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import completions
from cicadapier._internal.protocols import exceptions as protocol_exceptions
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import partial_json
from cicadapier._internal.protocols import upstream_bodies
from cicadapier._internal.services import configuration_service
from cicadapier._internal.services import connections_service
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import names
from cicadapier._internal.services import platform_service
from cicadapier._internal.services import traffic_messages
from cicadapier._internal.services import traffic_service

PROBE_INTERVAL_S = 0.25
PROBE_TIMEOUT_S = 1.0
RECONCILE_INTERVAL_S = 0.25
EVENT_STREAM_TIMEOUT_S = 15.0
RECONNECT_DELAY_S = 0.5
# Kind of the platform's VM objects, and values in them.
VM_PLURAL = "vms"
VM_STATE_LEAVING = "leaving"
VM_ROLE_ROUTER = "router"

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class _Target:
    """An upstream that this router watches."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
    address: ids.Address
    follows_cache_events: bool


class UpstreamsService(service.Service):
    """Runs one watcher for each upstream that this router has to watch.

    Attributes:
        model_versions: Weights version of each model that each upstream last reported.
    """

    name = names.UPSTREAMS
    limits = None  # Upstreams of the native interface announce no rate limits.

    def __init__(self, vm: ids.VmId, rng: random.Random) -> None:
        self._vm = vm
        self.model_versions: dict[ids.UpstreamId, dict[ids.ModelId, str]] = {}
        self._rng = rng
        self._scopes: dict[_Target, trio.CancelScope] = {}
        self._configuration: configuration_service.ConfigurationService | None = None
        self._connections: connections_service.ConnectionsService | None = None
        self._traffic: traffic_service.TrafficService | None = None

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._configuration = kernel.find(names.CONFIGURATION)
        self._connections = kernel.find(names.CONNECTIONS)
        self._traffic = kernel.find(names.TRAFFIC)
        platform: platform_service.PlatformService = kernel.find(names.PLATFORM)
        async with trio.open_nursery() as nursery:
            if platform.is_configured:
                nursery.start_soon(self._poll_vm_list, platform, kernel.find(names.PEERS))
            task_status.started()
            peers: configuration_service.PeersView = kernel.find(names.PEERS)
            applied: tuple[ids.ConfigNumber, frozenset[ids.VmId]] | None = None
            while True:
                current = self._configuration.current
                routers = peers.domain_routers()
                if applied != (current.number, routers):
                    applied = (current.number, routers)
                    self._reconcile(current.content, routers, nursery)
                await trio.sleep(RECONCILE_INTERVAL_S)

    def known_withdrawals(self) -> tuple[withdrawals.Withdrawal, ...]:
        """Returns nothing, because each router learns from the load reports who is leaving."""
        return ()

    def record_withdrawal(self, withdrawal: withdrawals.Withdrawal, source: str) -> None:
        """Ignores withdrawals that other routers report; see `known_withdrawals`."""
        return

    def serving_version(self, pool: configuration.Pool, model: ids.ModelId) -> str:
        """Returns the weights version to request: the declared one once any engine serves it.

        Until then, requests are served by the version that most engines have.
        """
        declared = pool.models[model].weights_version
        reported = [self.model_versions.get(u, {}).get(model) for u in sorted(pool.upstreams)]
        known = [version for version in reported if version is not None]
        if not known or declared in known:
            return declared
        return max(known, key=known.count)

    def _reconcile(
        self,
        content: configuration.Configuration,
        routers: frozenset[ids.VmId],
        nursery: trio.Nursery,
    ) -> None:
        wanted = set()
        for pool_id, pool in content.pools.items():
            if not pool.reports_load or pool.kind is configuration.PoolKind.KEEP:
                continue
            for upstream_id, spec in pool.upstreams.items():
                if not cadence.should_watch(self._vm, routers, upstream_id, len(pool.upstreams)):
                    continue
                is_model = pool.kind is configuration.PoolKind.MODEL
                follows_cache_events = is_model and cadence.should_follow_cache_events(
                    len(pool.upstreams)
                )
                wanted.add(_Target(pool_id, upstream_id, spec.address, follows_cache_events))
        for target in set(self._scopes) - wanted:
            self._scopes.pop(target).cancel()
        for target in sorted(wanted - set(self._scopes), key=lambda t: t.upstream):
            scope = trio.CancelScope()
            self._scopes[target] = scope
            nursery.start_soon(self._watch, target, scope)

    async def _watch(self, target: _Target, scope: trio.CancelScope) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                if target.follows_cache_events:
                    nursery.start_soon(self._follow_events, target)
                await self._probe_periodically(target)

    async def _probe_periodically(self, target: _Target) -> None:
        await trio.sleep(PROBE_INTERVAL_S * self._rng.random())
        while True:
            await self._probe(target)
            await trio.sleep(PROBE_INTERVAL_S * self._rng.uniform(0.9, 1.1))

    async def _probe(self, target: _Target) -> None:
        assert self._traffic and self._connections
        try:
            conn = await self._connections.acquire(target.address, PROBE_TIMEOUT_S)
        except protocol_exceptions.ConnectError:
            self._traffic.mailbox.try_send(
                traffic_messages.ProbeFailed(target.pool, target.upstream, certain=True)
            )
            return
        try:
            body = await self._query(target, conn, "/load", upstream_bodies.LoadReport)
        except protocol_exceptions.ProtocolError:
            # A single failed exchange proves little about the upstream.
            self._traffic.mailbox.try_send(
                traffic_messages.ProbeFailed(target.pool, target.upstream, certain=False)
            )
            return
        self._record_load(target, body)

    def _record_load(self, target: _Target, body: upstream_bodies.LoadReport) -> None:
        assert self._traffic
        versions = {ids.ModelId(model): version for model, version in body.models.items()}
        self.model_versions[target.upstream] = versions
        measured_at = trio.current_time() - max(0.0, body.age_s)
        self._traffic.mailbox.try_send(
            traffic_messages.LoadReported(
                target.pool,
                target.upstream,
                ids.Incarnation(body.incarnation),
                body.leaving,
                load.Report(
                    measured_at,
                    max(0.0, body.queued_tokens),
                    max(0.0, body.queued_interactive_tokens),
                    max(0, body.running),
                ),
                versions,
            )
        )

    async def _query(
        self, target: _Target, conn: http_client.ClientConnection, path: str, body_type: Any
    ) -> Any:
        """Returns the decoded answer to a query and gives the connection back to the pool."""
        assert self._connections
        head = http_client.RequestHead("GET", path, [])
        complete = False
        try:
            answer, body = await connections_service.exchange(conn, head, b"", PROBE_TIMEOUT_S)
            complete = True
            if answer.status != 200:
                raise protocol_exceptions.MalformedMessageError(f"status {answer.status}")
            return msgspec.json.decode(body, type=body_type)
        except partial_json.DECODING_ERRORS as exc:
            raise protocol_exceptions.MalformedMessageError(str(exc)) from exc
        finally:
            with trio.CancelScope(shield=True):
                if complete:
                    await self._connections.release(target.address, conn)
                else:
                    await self._connections.discard(target.address, conn)

    async def _follow_events(self, target: _Target) -> None:
        while True:
            with contextlib.suppress(
                protocol_exceptions.ProtocolError, *partial_json.DECODING_ERRORS, ValueError
            ):
                sequence = await self._fetch_snapshot(target)
                await self._read_events(target, sequence)
            # The delay avoids a busy loop if the upstream has no event stream.
            await trio.sleep(RECONNECT_DELAY_S * self._rng.uniform(0.5, 1.5))

    async def _fetch_snapshot(self, target: _Target) -> int:
        assert self._traffic and self._connections
        conn = await self._connections.open(target.address, PROBE_TIMEOUT_S)
        body: upstream_bodies.CacheSnapshot = await self._query(
            target, conn, "/cache/snapshot", upstream_bodies.CacheSnapshot
        )
        pieces = tuple(ids.PieceId(bytes.fromhex(piece)) for piece in body.pieces)
        self._traffic.mailbox.try_send(
            traffic_messages.CacheSnapshot(
                target.pool,
                target.upstream,
                ids.Incarnation(body.incarnation),
                body.sequence,
                pieces,
            )
        )
        return body.sequence

    async def _read_events(self, target: _Target, after: int) -> None:
        assert self._connections
        conn = await self._connections.open(target.address, PROBE_TIMEOUT_S)
        try:
            path = f"/cache/events?after={after}"
            await conn.send(http_client.RequestHead("GET", path, []), b"")
            await conn.receive_head(PROBE_TIMEOUT_S)
            splitter = completions.EventSplitter()
            while (chunk := await conn.receive_data(EVENT_STREAM_TIMEOUT_S)) is not None:
                events = splitter.feed(chunk)
                if splitter.is_overlong:
                    return
                for event in events:
                    if not await self._apply_event(target, event):
                        # The next snapshot contains the changes that the gap hides.
                        return
        finally:
            with trio.CancelScope(shield=True):
                await conn.close()

    async def _apply_event(self, target: _Target, event: bytes) -> bool:
        assert self._traffic
        body = msgspec.json.decode(event.removeprefix(b"data: "), type=upstream_bodies.CacheEvent)
        reply: mailbox.Reply[bool] = mailbox.Reply()
        self._traffic.mailbox.send(
            traffic_messages.CacheChanged(
                target.pool,
                target.upstream,
                observations.CacheEvent(
                    ids.Incarnation(body.incarnation),
                    body.sequence,
                    body.kind == "stored",
                    tuple(ids.PieceId(bytes.fromhex(piece)) for piece in body.pieces),
                    body.age_s,
                ),
                reply,
            )
        )
        return await reply.get()

    async def _poll_vm_list(
        self,
        platform: platform_service.PlatformService,
        peers: configuration_service.PeersView,
    ) -> None:
        assert self._configuration and self._traffic
        while True:
            routers = peers.domain_routers()
            interval_s = 2 * cadence.platform_poll_s(self._vm, routers)
            await trio.sleep(interval_s * self._rng.uniform(0.8, 1.2))
            try:
                listing = await platform.list_all(VM_PLURAL)
            except exceptions.ServiceError:
                continue
            vms = [item for item in listing.objects if isinstance(item.spec, dict)]
            leaving = {vm.name for vm in vms if vm.spec.get("state") == VM_STATE_LEAVING}
            listed_routers = {
                ids.VmId(vm.name) for vm in vms if vm.spec.get("role") == VM_ROLE_ROUTER
            }
            if listed_routers:
                peers.drop_unlisted(listed_routers)
            content = self._configuration.current.content
            for pool_id, pool in content.pools.items():
                for upstream_id in pool.upstreams:
                    self._traffic.mailbox.try_send(
                        traffic_messages.UpstreamListed(
                            pool_id, upstream_id, upstream_id in leaving
                        )
                    )
