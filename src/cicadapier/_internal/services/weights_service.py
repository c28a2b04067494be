"""Brings newly named weights to the engines, one router at a time.

The router that orders holds a lease, an object in the store. With it, it announces which engines
are about to load and which have loaded, so that the others send the first ones nothing.
"""

import dataclasses
import functools
import hashlib
import math
import random

import structlog
import trio

from cicadapier._internal.decisions import leases
from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import rollout
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.kernel import service
from cicadapier._internal.kernel import tokens
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import declarations
from cicadapier._internal.protocols import engines
from cicadapier._internal.protocols import store_format
from cicadapier._internal.services import cluster_service
from cicadapier._internal.services import configuration_source
from cicadapier._internal.services import engine_orders
from cicadapier._internal.services import names
from cicadapier._internal.services import order_lease
from cicadapier._internal.services import traffic_messages
from cicadapier._internal.services import traffic_service
from cicadapier._internal.services import watching

WATCH_OPTIONS = watching.WatchOptions(wait_s=5.0)
ROUND_S = 0.1
IDLE_ROUND_S = 0.5  # Where no engine lacks the named weights.
ANNOUNCED_S = 0.04  # Time that the others need to hear that an engine is about to load.
LOADING_BELIEVED_S = 6.0
VALID_S = 1.6
RENEW_S = 0.6
FREE_S = 2.0
QUIET_MARGIN_S = 0.3
CONTEND_S = 1.0  # Head start of the router that ordered last.
RANK_S = 0.4
NONCE_BYTES = 12
# Age assumed of a name that was there before this router listened; the rest of the time in which
# requests may begin on older weights is left for bringing the newer ones to an engine.
UNHEARD_S = 4.4

_log = structlog.get_logger()


@dataclasses.dataclass(slots=True)
class _Pool:
    """What this router knows of the orders to one pool.

    Attributes:
        lease: The lease under which its engines get orders.
        behind_since: Time since which some engine lacks the named version.
        updating: Engines that this router is bringing to it.
        loaded: Weights version of those that it has brought to the present target.
        target: The present target.
    """

    lease: order_lease.OrderLease
    behind_since: float | None = None
    updating: set[ids.UpstreamId] = dataclasses.field(default_factory=set)
    loaded: dict[str, str] = dataclasses.field(default_factory=dict)
    target: int = 0


class WeightsService(service.Service, watching.WatchHandler):
    """Follows the named weights and gives orders where this router holds the lease."""

    name = names.ORDERS

    def __init__(
        self,
        vm: ids.VmId,
        documents: declarations.DeclarationFormat,
        calls: engines.EngineFormat,
        lease_s: float,
        clock: watching.Clock,
        rng: random.Random,
        token_source: tokens.TokenSource,
    ) -> None:
        self._vm = vm
        self._documents = documents
        self._calls = calls
        self._clock = clock
        self._rng = rng
        self._nonce = token_source.hex(NONCE_BYTES)
        self._lease_timing = leases.LeaseTiming(
            VALID_S, FREE_S, RENEW_S, 0.0, lease_s + QUIET_MARGIN_S, reacquires_at_once=True
        )
        self._released = False
        self._heard = False
        self._heard_at = -math.inf
        self._named_at = 0.0
        self._target_set_event = trio.Event()
        self._target_versions: dict[ids.ModelId, int] = {}
        self._pools: dict[ids.PoolId, _Pool] = {}
        self._cluster: cluster_service.ClusterService | None = None
        self._configuration: configuration_source.ConfigurationSource | None = None
        self._orders: engine_orders.EngineOrders | None = None
        self._traffic: traffic_service.TrafficService | None = None

    async def run(self, kernel: service.Kernel, started: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._cluster = kernel.find(names.CLUSTER)
        self._configuration = kernel.find(names.CONFIGURATION)
        self._traffic = kernel.find(names.TRAFFIC)
        self._orders = engine_orders.EngineOrders(
            self._vm,
            self._calls,
            kernel.find(names.CONNECTIONS),
            kernel.find(names.UPSTREAMS),
            self._traffic,
            self._clock,
        )
        kind = self._documents.weights_kind
        platform = kernel.find(names.PLATFORM)
        watch = watching.Watch(platform, kind, WATCH_OPTIONS, self, self._clock, self._rng)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch.run)
            started.started()
            while True:
                self._target_set_event = trio.Event()
                for target in self._targets():
                    await self._round(target, nursery, kernel.stopping)
                await self._pause()

    async def _pause(self) -> None:
        """Waits until weights are named, shared objects change, or it is time for a round."""
        idle = all(state.behind_since is None for state in self._pools.values())
        async with trio.open_nursery() as nursery:
            for event in (self._target_set_event, self.cluster.changed_event):
                nursery.start_soon(_cancel_at, event, nursery.cancel_scope)
            await trio.sleep(IDLE_ROUND_S if idle else ROUND_S)
            nursery.cancel_scope.cancel()

    async def drain(self) -> None:
        """Gives up the leases, so that others need not wait for their ends."""
        self._released = True
        for state in self._pools.values():
            await state.lease.release()

    @property
    def cluster(self) -> cluster_service.ClusterService:
        """The shared objects."""
        assert self._cluster
        return self._cluster

    def record_answer(self, queried_at: float) -> None:
        """See `watching.WatchHandler.record_answer`."""
        now = self._clock()
        # What an answer after a silence shows may be as old as the answer before it.
        self._named_at = now if self._heard else max(self._heard_at, now - UNHEARD_S)
        self._heard = True
        self._heard_at = now

    def record_failure(self) -> None:
        """See `watching.WatchHandler.record_failure`."""
        self._heard = False

    def handle_listing(self, objects: tuple[store_format.StoredObject, ...]) -> None:
        """See `watching.WatchHandler.handle_listing`."""
        for item in objects:
            self._name(item)

    def handle_change(self, change: store_format.Change) -> None:
        """See `watching.WatchHandler.handle_change`."""
        if not change.deleted:
            self._name(change.object)

    def _name(self, item: store_format.StoredObject) -> None:
        found = self._documents.read_target_version(item)
        if found is None:
            _log.info("named_weights_unreadable", entry=item.name)
            return
        if found.version <= self._target_versions.get(found.model, 0):
            return
        self._target_versions[found.model] = found.version
        self._target_set_event.set()
        assert self._traffic
        age_s = self._clock() - self._named_at
        self._traffic.mailbox.send(
            traffic_messages.TargetVersionSet(found.model, found.version, age_s)
        )

    def _targets(self) -> list[engine_orders.Target]:
        assert self._configuration
        found = []
        for pool_id, pool in self._configuration.current.content.pools.items():
            if pool.kind is configuration.PoolKind.MODEL:
                found += [
                    engine_orders.Target(pool_id, model, self._target_versions[model])
                    for model in pool.models
                    if model in self._target_versions
                ]
        return found

    async def _round(
        self, target: engine_orders.Target, nursery: trio.Nursery, stopping: bool
    ) -> None:
        state = self._pool(target)
        note = state.lease.observe()
        if note is not None:
            self._believe(target.pool, note)
        found = await self._engines(target)
        behind = any(e.version is not None and e.version < target.version for e in found)
        must_tell = state.lease.is_holder and bool(state.lease.note.loading)
        if not (behind or state.updating or must_tell):
            state.behind_since = None
            return
        now = self._clock()
        if state.behind_since is None:
            state.behind_since = now
        if self._released or not self._may_contend(state, now, stopping):
            return
        chosen = rollout.choose_engines(found, target.version, state.updating)
        if not await self._keep_lease(target, state, chosen) or self._released:
            return
        by_id = {engine.upstream: engine for engine in found}
        for upstream in chosen:
            state.updating.add(upstream)
            nursery.start_soon(self._bring, target, state, by_id[upstream])

    def _pool(self, target: engine_orders.Target) -> _Pool:
        state = self._pools.get(target.pool)
        if state is None:
            lease = leases.Lease(self._vm, self._nonce, self._lease_timing)
            state = _Pool(
                order_lease.OrderLease(target.pool, lease, self._nonce, self.cluster, self._clock)
            )
            self._pools[target.pool] = state
        if target.version != state.target:
            state.target = target.version
            state.loaded = {}
        return state

    async def _engines(self, target: engine_orders.Target) -> tuple[rollout.Engine, ...]:
        assert self._traffic
        reply: mailbox.Reply[tuple[rollout.Engine, ...]] = mailbox.Reply()
        message = traffic_messages.GetEngines(target.pool, target.model, reply)
        self._traffic.mailbox.send(message)
        return await reply.get()

    def _believe(self, pool: ids.PoolId, note: order_lease.Note) -> None:
        for name in note.loading:
            self._tell_loading(pool, ids.UpstreamId(name), LOADING_BELIEVED_S)
        for name, version in note.loaded.items():
            self._tell_loaded(pool, ids.UpstreamId(name), ids.ModelId(note.model), version)

    def _tell_loading(self, pool: ids.PoolId, upstream: ids.UpstreamId, for_s: float) -> None:
        assert self._traffic
        until = trio.current_time() + for_s
        self._traffic.mailbox.send(traffic_messages.Loading(pool, upstream, until))

    def _tell_loaded(
        self, pool: ids.PoolId, upstream: ids.UpstreamId, model: ids.ModelId, version: str
    ) -> None:
        assert self._traffic
        self._tell_loading(pool, upstream, 0.0)
        weights = members.Weights(model, version)
        self._traffic.mailbox.send(traffic_messages.StatusReported(pool, upstream, None, weights))

    def _may_contend(self, state: _Pool, now: float, stopping: bool) -> bool:
        """Returns whether this router may try for the lease now.

        The last holder goes first, because it need not wait for anybody else's orders. One that
        stops keeps the lease to its end and takes no other.
        """
        if state.lease.is_holder:
            return True
        if stopping:
            return False
        if state.lease.last_holder == self._vm:
            return True
        assert state.behind_since is not None
        head_start_s = CONTEND_S if state.lease.last_holder is not None else 0.0
        return now >= state.behind_since + head_start_s + RANK_S * self._rank(state.lease.pool)

    def _rank(self, pool: ids.PoolId) -> int:
        ranked = sorted(
            self.cluster.routers(),
            key=lambda vm: hashlib.blake2b(f"{vm}/{pool}".encode(), digest_size=8).digest(),
        )
        return ranked.index(self._vm)

    async def _keep_lease(
        self, target: engine_orders.Target, state: _Pool, chosen: list[ids.UpstreamId]
    ) -> bool:
        """Takes or renews the lease; returns whether orders may be given now.

        Where it may not yet be used, nothing is announced.
        """
        usable = state.lease.fencing_token() is not None
        loading = sorted([*state.updating, *(chosen if usable else [])])
        note = order_lease.Note(target.model, list(loading), dict(state.loaded))
        kept = await state.lease.keep(note)
        return kept and usable and state.lease.fencing_token() is not None

    async def _bring(
        self, target: engine_orders.Target, state: _Pool, engine: rollout.Engine
    ) -> None:
        """Brings one engine to the version, or gives up."""
        assert self._orders
        self._tell_loading(target.pool, engine.upstream, LOADING_BELIEVED_S)
        began_at = self._clock()
        step = rollout.Step.GIVE_UP
        try:
            await trio.sleep(ANNOUNCED_S)
            step = await self._orders.bring(target, engine, functools.partial(self._fence, state))
        finally:
            state.updating.discard(engine.upstream)
        done = step is rollout.Step.DONE
        _log.info(
            "weights_loaded" if done else "weights_not_loaded",
            upstream=engine.upstream,
            version=target.version,
            took_s=round(self._clock() - began_at, 3),
        )
        if done:
            version = str(target.version)
            if state.target == target.version:
                state.loaded[engine.upstream] = version
            self._tell_loaded(target.pool, engine.upstream, target.model, version)
        else:
            self._tell_loading(target.pool, engine.upstream, 0.0)

    def _fence(self, state: _Pool) -> int | None:
        return None if self._released else state.lease.fencing_token()


async def _cancel_at(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()
