"""Updates the engines to new target weights; one router at a time sends the orders of a pool.

That router holds a lease, an object in the store. In the note of the lease, it announces which
engines are about to load and which have loaded, so that the other routers send no requests to
engines that load.
"""

import dataclasses
import functools
import math
import random

import structlog
import trio

from cicadapier._internal.decisions import learned_age
from cicadapier._internal.decisions import lease_candidacy
from cicadapier._internal.decisions import leases
from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import order_links
from cicadapier._internal.decisions import rollout
from cicadapier._internal.decisions import weights_versions
from cicadapier._internal.kernel import events
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.kernel import random_tokens
from cicadapier._internal.kernel import service
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import declarations
from cicadapier._internal.protocols import engines
from cicadapier._internal.protocols import store_format
from cicadapier._internal.services import cluster_service
from cicadapier._internal.services import configuration_source
from cicadapier._internal.services import engine_orders
from cicadapier._internal.services import links_service
from cicadapier._internal.services import names
from cicadapier._internal.services import order_lease
from cicadapier._internal.services import peers_service
from cicadapier._internal.services import traffic_messages
from cicadapier._internal.services import traffic_service
from cicadapier._internal.services import watching

# Not shared with other routers: the age of a target is that of the answer that brings it.
WATCH_OPTIONS = watching.WatchOptions(wait_s=5.0, list_within_s=0.8)
ROUND_S = 0.1
IDLE_ROUND_S = 0.5  # Used while no engine is outdated.
ANNOUNCEMENT_LEAD_S = 0.04  # Time for the other routers to learn that an engine will load.
LOADING_EXPIRES_S = 6.0
LEASE_VALID_S = 1.6
LEASE_RENEW_AFTER_S = 0.6
LEASE_EXPIRES_AFTER_S = 2.0
QUIET_MARGIN_S = 0.3
LEASE_DELIVERY_S = engine_orders.CALL_TIMEOUT_S - QUIET_MARGIN_S
NONCE_BYTES = 12
AWAKE_INTERVAL_S = 0.2

_log = structlog.get_logger()


@dataclasses.dataclass(slots=True)
class _ModelState:
    """State of the updates of one pool to the target of one model.

    Attributes:
        target: The current target version.
        outdated_since: Time since which some engine is outdated; None if no engine is.
        updating: Engines that this router is updating; the scopes cancel the updates.
        loaded: Weights version of the engines that it has updated to the current target.
    """

    target: int
    outdated_since: float | None = None
    updating: dict[ids.UpstreamId, trio.CancelScope] = dataclasses.field(default_factory=dict)
    loaded: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class _UnreadOrder:
    """An order of another router that an engine may read late.

    Attributes:
        holder: The router.
        until: Time until which the engine must get no order of this router.
    """

    holder: ids.VmId | None
    until: float


@dataclasses.dataclass(slots=True)
class _PoolState:
    """State of the updates of one pool.

    Attributes:
        lease: The lease that is required for orders to its engines.
        models: State of each model.
        links: Links of this router to the engines, judged by its orders.
        handed_over_at: Time at which this router last handed the lease over.
        unread: Engines that may read an order of another router late.
    """

    lease: order_lease.OrderLease
    models: dict[ids.ModelId, _ModelState] = dataclasses.field(default_factory=dict)
    links: order_links.OrderLinks = dataclasses.field(default_factory=order_links.OrderLinks)
    handed_over_at: float = -math.inf
    unread: dict[ids.UpstreamId, _UnreadOrder] = dataclasses.field(default_factory=dict)

    def note_unread_orders(self, now: float) -> None:
        """Remembers the engines that another holder is updating, in case it leaves no release."""
        holder = self.lease.last_holder
        self.unread = {
            upstream: order
            for upstream, order in self.unread.items()
            if order.until > now and not (self.lease.is_released and order.holder == holder)
        }
        until = self.lease.unread_until
        if until > now:
            self.unread.update(
                (ids.UpstreamId(name), _UnreadOrder(holder, until))
                for name in self.lease.note.loading
            )

    @property
    def updating(self) -> dict[ids.UpstreamId, trio.CancelScope]:
        """Engines that this router is updating to the target of any model."""
        return {
            upstream: scope
            for state in self.models.values()
            for upstream, scope in state.updating.items()
        }


class WeightsService(service.Service, watching.WatchHandler):
    """Watches the target versions and sends load orders while this router holds the lease."""

    name = names.ORDERS

    def __init__(
        self,
        vm: ids.VmId,
        documents: declarations.DeclarationFormat,
        engine_format: engines.EngineFormat,
        min_order_gap_s: float,
        clock: watching.Clock,
        rng: random.Random,
        token_source: random_tokens.TokenSource,
    ) -> None:
        self._vm = vm
        self._documents = documents
        self._engine_format = engine_format
        self._clock = clock
        self._rng = rng
        self._nonce = token_source.token_hex(NONCE_BYTES)
        self._lease_timing = leases.LeaseTiming(
            LEASE_VALID_S,
            LEASE_EXPIRES_AFTER_S,
            LEASE_RENEW_AFTER_S,
            0.0,
            min_order_gap_s + QUIET_MARGIN_S,
            reacquires_at_once=True,
            delivery_s=LEASE_DELIVERY_S,
        )
        self._released = False
        self._learned_age = learned_age.LearnedAge()
        self._target_set_event = trio.Event()
        self._target_versions: dict[ids.ModelId, int] = {}
        self._pools: dict[ids.PoolId, _PoolState] = {}
        self._cluster: cluster_service.ClusterService | None = None
        self._peers: peers_service.PeersService | None = None
        self._configuration: configuration_source.ConfigurationSource | None = None
        self._engine_orders: engine_orders.EngineOrders | None = None
        self._traffic: traffic_service.TrafficService | None = None
        self._links: links_service.LinksService | None = None

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._cluster = kernel.find(names.CLUSTER)
        self._peers = kernel.find(names.PEERS)
        self._configuration = kernel.find(names.CONFIGURATION)
        self._traffic = kernel.find(names.TRAFFIC)
        self._links = kernel.find(names.LINKS)
        self._engine_orders = engine_orders.EngineOrders(
            self._vm,
            self._engine_format,
            kernel.find(names.CONNECTIONS),
            kernel.find(names.UPSTREAMS),
            self._traffic,
            self._clock,
        )
        kind = self._documents.weights_kind
        platform = kernel.find(names.PLATFORM)
        watch = watching.Watch(platform, kind, WATCH_OPTIONS, self, self._clock, self._rng)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._record_awake)
            nursery.start_soon(watch.run)
            task_status.started()
            while True:
                self._target_set_event = trio.Event()
                for target in self._targets():
                    await self._round(target, nursery, kernel.is_stopping)
                await self._pause()

    async def _record_awake(self) -> None:
        while True:
            self._learned_age.record_awake(self._clock())
            await trio.sleep(AWAKE_INTERVAL_S)

    async def _pause(self) -> None:
        """Waits until a target is set, a shared object changes, or the next round is due."""
        idle = all(
            state.outdated_since is None
            for pool in self._pools.values()
            for state in pool.models.values()
        )
        with trio.move_on_after(IDLE_ROUND_S if idle else ROUND_S):
            await events.wait_for_any(self._target_set_event, self.cluster.changed_event)

    async def drain(self) -> None:
        """Releases the leases, so that other routers need not wait for them to expire."""
        self._released = True
        for state in self._pools.values():
            await state.lease.release()

    @property
    def links(self) -> links_service.LinksService:
        """Service that knows which links of this router work."""
        assert self._links
        return self._links

    @property
    def cluster(self) -> cluster_service.ClusterService:
        """Service that holds the shared objects."""
        assert self._cluster
        return self._cluster

    def record_answer(self, queried_at: float) -> None:
        """See `watching.WatchHandler.record_answer`."""
        self._learned_age.record_answer(queried_at, self._clock())

    def record_failure(self) -> None:
        """See `watching.WatchHandler.record_failure`."""
        self._learned_age.record_failure()

    def handle_listing(self, objects: tuple[store_format.StoredObject, ...]) -> None:
        """See `watching.WatchHandler.handle_listing`."""
        for item in objects:
            self._set_target(item)

    def handle_change(self, change: store_format.Change) -> None:
        """See `watching.WatchHandler.handle_change`."""
        if not change.deleted:
            self._set_target(change.object)

    def _set_target(self, item: store_format.StoredObject) -> None:
        target = self._documents.read_target_version(item)
        if target is None:
            _log.info("named_weights_unreadable", entry=item.name)
            return
        if target.version <= self._target_versions.get(target.model, 0):
            return
        self._target_versions[target.model] = target.version
        self._target_set_event.set()
        assert self._traffic
        age_s = self._learned_age.age_s(self._clock())
        self._traffic.mailbox.send(
            traffic_messages.TargetVersionSet(target.model, target.version, age_s)
        )

    def _targets(self) -> list[engine_orders.Target]:
        assert self._configuration
        targets = []
        for pool_id, pool in self._configuration.current.content.pools.items():
            if pool.kind is configuration.PoolKind.MODEL:
                targets += [
                    engine_orders.Target(pool_id, model, self._target_versions[model])
                    for model in pool.models
                    if model in self._target_versions
                ]
        return targets

    async def _round(
        self, target: engine_orders.Target, nursery: trio.Nursery, stopping: bool
    ) -> None:
        state = self._pool_state(target)
        model_state = self._model_state(state, target)
        note = state.lease.observe()
        if note is not None:
            self._apply_note(target.pool, note)
        state.note_unread_orders(self._clock())
        pool_engines = await self._get_engines(target)
        outdated = rollout.outdated_engines(pool_engines, target.version)
        must_update_note = state.lease.is_holder and bool(state.lease.note.loading)
        must_update_note = must_update_note and state.lease.note.model == target.model
        if not (outdated or model_state.updating or must_update_note):
            model_state.outdated_since = None
            return
        now = self._clock()
        if model_state.outdated_since is None:
            model_state.outdated_since = now
        outdated_since = model_state.outdated_since
        if self._released or not self._may_take_lease(state, outdated_since, now, stopping):
            return
        remaining = [engine.upstream for engine in outdated]
        if state.lease.is_holder and self._are_links_lost(state, remaining, now):
            await self._hand_over(state)
            return
        by_id = {engine.upstream: engine for engine in pool_engines}
        self._check_links(target, state, [by_id[name] for name in remaining], nursery)
        selected = self._choose_engines(target, state, pool_engines, now)
        if not await self._acquire_or_renew_lease(target, state, selected) or self._released:
            return
        for upstream in selected:
            model_state.updating[upstream] = trio.CancelScope()
            nursery.start_soon(self._update_engine, target, state, by_id[upstream])

    def _choose_engines(
        self,
        target: engine_orders.Target,
        state: _PoolState,
        pool_engines: tuple[rollout.Engine, ...],
        now: float,
    ) -> list[ids.UpstreamId]:
        """Returns the engines to update now."""
        assert self._engine_orders
        limited = filter(self._engine_orders.limits_requests, pool_engines)
        held_back = state.links.held_back(now) | {engine.upstream for engine in limited}
        held_back |= state.unread.keys()
        chosen = rollout.choose_engines(
            pool_engines, target.version, state.updating, state.links.unreached(now), held_back
        )
        return [
            upstream
            for upstream in chosen
            if upstream not in state.unread and state.links.may_try(upstream, now)
        ]

    def _pool_state(self, target: engine_orders.Target) -> _PoolState:
        state = self._pools.get(target.pool)
        if state is None:
            assert self._peers
            host = ids.Host(self._peers.address.rpartition(":")[0])
            lease = leases.Lease(self._vm, self._nonce, self._lease_timing, host)
            state = _PoolState(
                order_lease.OrderLease(target.pool, lease, self._nonce, self.cluster, self._clock)
            )
            self._pools[target.pool] = state
        return state

    def _model_state(self, state: _PoolState, target: engine_orders.Target) -> _ModelState:
        model_state = state.models.setdefault(target.model, _ModelState(target.version))
        if target.version != model_state.target:
            model_state.target = target.version
            model_state.loaded = {}
        return model_state

    async def _get_engines(self, target: engine_orders.Target) -> tuple[rollout.Engine, ...]:
        assert self._traffic
        reply: mailbox.Reply[tuple[rollout.Engine, ...]] = mailbox.Reply()
        message = traffic_messages.GetEngines(target.pool, target.model, reply)
        self._traffic.mailbox.send(message)
        return await reply.get()

    def _apply_note(self, pool: ids.PoolId, note: order_lease.Note) -> None:
        for name in note.loading:
            self._report_loading(pool, ids.UpstreamId(name), LOADING_EXPIRES_S)
        for name, version in note.loaded.items():
            if weights_versions.number_of(version) is not None:
                self._report_loaded(pool, ids.UpstreamId(name), ids.ModelId(note.model), version)

    def _report_loading(
        self, pool: ids.PoolId, upstream: ids.UpstreamId, duration_s: float
    ) -> None:
        assert self._traffic
        until = trio.current_time() + duration_s
        self._traffic.mailbox.send(traffic_messages.WeightsLoading(pool, upstream, until))

    def _report_loaded(
        self, pool: ids.PoolId, upstream: ids.UpstreamId, model: ids.ModelId, version: str
    ) -> None:
        assert self._traffic
        self._report_loading(pool, upstream, 0.0)
        weights = members.Weights(model, version)
        self._traffic.mailbox.send(traffic_messages.StatusReported(pool, upstream, None, weights))

    def _may_take_lease(
        self, state: _PoolState, outdated_since: float, now: float, stopping: bool
    ) -> bool:
        """Returns whether this router may try to take or renew the lease now.

        A router that is stopping keeps a lease that it holds, but takes no other.
        """
        if state.lease.is_holder:
            return True
        if stopping or self.links.all_lost:
            return False
        vacancy = state.lease.vacancy(outdated_since)
        return now >= lease_candidacy.earliest_attempt(
            self._vm, self.cluster.routers(), vacancy, state.handed_over_at
        )

    def _are_links_lost(
        self, state: _PoolState, remaining: list[ids.UpstreamId], now: float
    ) -> bool:
        """Returns whether this router reaches none of the engines that remain to be updated."""
        return bool(remaining) and (self.links.all_lost or state.links.are_lost(remaining, now))

    def _check_links(
        self,
        target: engine_orders.Target,
        state: _PoolState,
        outdated: list[rollout.Engine],
        nursery: trio.Nursery,
    ) -> None:
        """Checks the links to further engines if one that is to be updated is not reached."""
        assert self._engine_orders
        by_id = {engine.upstream: engine for engine in outdated}
        for upstream in state.links.engines_to_check(by_id, self._clock()):
            check = self._engine_orders.check_link
            nursery.start_soon(check, target, by_id[upstream], state.links)

    async def _hand_over(self, state: _PoolState) -> None:
        """Leaves the lease, which this router cannot use, to the other routers."""
        _log.info("order_links_lost", pool=state.lease.pool, updating=sorted(state.updating))
        state.handed_over_at = self._clock()
        state.links.forget()
        for update in state.updating.values():
            update.cancel()
        await state.lease.hand_over()

    async def _acquire_or_renew_lease(
        self, target: engine_orders.Target, state: _PoolState, selected: list[ids.UpstreamId]
    ) -> bool:
        """Takes or renews the lease; returns whether orders may be sent now.

        The selected engines are announced only if the lease may already be used.
        """
        usable = state.lease.fencing_token() is not None
        loading = sorted([*state.updating, *(selected if usable else [])])
        loaded = state.models[target.model].loaded
        note = order_lease.Note(target.model, list(loading), dict(loaded))
        is_outcome_known = await state.lease.acquire_or_renew(note)
        return is_outcome_known and usable and state.lease.fencing_token() is not None

    async def _update_engine(
        self, target: engine_orders.Target, state: _PoolState, engine: rollout.Engine
    ) -> None:
        """Updates one engine to the target version, or gives up."""
        assert self._engine_orders
        self._report_loading(target.pool, engine.upstream, LOADING_EXPIRES_S)
        started_at = self._clock()
        step = rollout.Step.GIVE_UP
        model_state = state.models[target.model]
        try:
            with model_state.updating[engine.upstream]:
                await trio.sleep(ANNOUNCEMENT_LEAD_S)
                step = await self._engine_orders.update_engine(
                    target, engine, functools.partial(self._take_permit, state), state.links
                )
        finally:
            del model_state.updating[engine.upstream]
        done = step is rollout.Step.DONE
        _log.info(
            "weights_loaded" if done else "weights_not_loaded",
            upstream=engine.upstream,
            version=target.version,
            took_s=round(self._clock() - started_at, 3),
        )
        if done:
            version = str(target.version)
            if model_state.target == target.version:
                model_state.loaded[engine.upstream] = version
            self._report_loaded(target.pool, engine.upstream, target.model, version)
        else:
            self._report_loading(target.pool, engine.upstream, 0.0)

    def _take_permit(self, state: _PoolState) -> engine_orders.OrderPermit | None:
        """Returns the permission for an order that is sent at once, or None."""
        token = None if self._released else state.lease.fencing_token()
        if token is None:
            return None
        number = state.lease.record_order()
        record_answer = functools.partial(state.lease.record_order_answer, number)
        return engine_orders.OrderPermit(token, record_answer)
