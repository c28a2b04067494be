"""Brings newly named weights to the engines, one router at a time.

The router that orders holds a lease, an object in the store. With it, it announces which engines
are about to load and which have loaded, so that the others send the first ones nothing.
"""

import contextlib
import dataclasses
import hashlib
import math
import random

import msgspec
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
from cicadapier._internal.protocols import exceptions as protocol_exceptions
from cicadapier._internal.protocols import store_format
from cicadapier._internal.services import cluster_service
from cicadapier._internal.services import configuration_source
from cicadapier._internal.services import connections_service
from cicadapier._internal.services import directory_service
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import names
from cicadapier._internal.services import platform_service
from cicadapier._internal.services import traffic_messages
from cicadapier._internal.services import traffic_service
from cicadapier._internal.services import watching

LEASE_PREFIX = "orders-"
WATCH_S = 2.5
ROUND_S = 0.1
CALL_S = 0.6
WRITE_S = 0.8
LOOK_S = 0.2
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


class Note(msgspec.Struct):
    """What the router that orders tells the others with its lease.

    Attributes:
        loading: Engines that are about to load or do so.
        loaded: Weights version of engines that have loaded lately.
        model: The model.
    """

    model: str = ""
    loading: list[str] = []
    loaded: dict[str, str] = {}


@dataclasses.dataclass(slots=True)
class _Pool:
    """What this router knows of the orders to one pool."""

    lease: leases.Lease
    pending: "_Pending | None" = None
    behind_since: float | None = None
    ordering: dict[ids.UpstreamId, rollout.Ordering] = dataclasses.field(default_factory=dict)
    loaded: dict[str, str] = dataclasses.field(default_factory=dict)
    loaded_target: int = 0
    seen_note: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    """A write of the lease that has not been answered.

    Attributes:
        proposal: What was written.
        asked_at: Time just before the write was sent.
    """

    proposal: leases.LeaseObject
    asked_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Target:
    """A pool whose engines are to serve a version."""

    pool: ids.PoolId
    model: ids.ModelId
    version: int


class WeightsService(service.Service, watching.Follower):
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
        self._terms = leases.Terms(
            VALID_S, FREE_S, RENEW_S, 0.0, lease_s + QUIET_MARGIN_S, own_at_once=True
        )
        self._released = False
        self._heard = False
        self._heard_at = -math.inf
        self._named_at = 0.0
        self._named: dict[ids.ModelId, int] = {}
        self._pools: dict[ids.PoolId, _Pool] = {}
        self._cluster: cluster_service.ClusterService | None = None
        self._configuration: configuration_source.ConfigurationSource | None = None
        self._connections: connections_service.ConnectionsService | None = None
        self._directory: directory_service.DirectoryService | None = None
        self._traffic: traffic_service.TrafficService | None = None

    async def run(self, kernel: service.Kernel, started: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._cluster = kernel.find(names.CLUSTER)
        self._configuration = kernel.find(names.CONFIGURATION)
        self._connections = kernel.find(names.CONNECTIONS)
        self._directory = kernel.find(names.UPSTREAMS)
        self._traffic = kernel.find(names.TRAFFIC)
        kind = self._documents.weights_kind
        platform = kernel.find(names.PLATFORM)
        watch = watching.Watch(platform, kind, WATCH_S, self, self._clock, self._rng)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch.run)
            started.started()
            while True:
                for target in self._targets():
                    await self._round(target, nursery, kernel.stopping)
                with trio.move_on_after(ROUND_S):
                    await self.cluster.changed_event.wait()

    async def drain(self) -> None:
        """Gives up the leases, so that others need not wait for their ends."""
        self._released = True
        for pool_id, state in self._pools.items():
            proposal = state.lease.release()
            if proposal:
                try:
                    await self._write(pool_id, state, proposal)
                except exceptions.ServiceError as exc:
                    _log.info("lease_not_released", pool=pool_id, reason=str(exc))

    @property
    def cluster(self) -> cluster_service.ClusterService:
        """The shared objects."""
        assert self._cluster
        return self._cluster

    def answered(self, asked_at: float) -> None:
        """See `watching.Follower.answered`."""
        now = self._clock()
        # What an answer after a silence shows may be as old as the answer before it.
        self._named_at = now if self._heard else max(self._heard_at, now - UNHEARD_S)
        self._heard = True
        self._heard_at = now

    def unanswered(self) -> None:
        """See `watching.Follower.unanswered`."""
        self._heard = False

    def listed(self, objects: tuple[store_format.StoredObject, ...]) -> None:
        """See `watching.Follower.listed`."""
        for item in objects:
            self._name(item)

    def changed(self, change: store_format.Change) -> None:
        """See `watching.Follower.changed`."""
        if not change.deleted:
            self._name(change.object)

    def _name(self, item: store_format.StoredObject) -> None:
        found = self._documents.read_named_version(item)
        if found is None:
            _log.info("named_weights_unreadable", entry=item.name)
            return
        if found.version <= self._named.get(found.model, 0):
            return
        self._named[found.model] = found.version
        assert self._traffic
        age_s = self._clock() - self._named_at
        self._traffic.mailbox.send(traffic_messages.WeightsNamed(found.model, found.version, age_s))

    def _targets(self) -> list[_Target]:
        assert self._configuration
        found = []
        for pool_id, pool in self._configuration.current.content.pools.items():
            if pool.kind is configuration.PoolKind.MODEL:
                found += [
                    _Target(pool_id, model, self._named[model])
                    for model in pool.models
                    if model in self._named
                ]
        return found

    async def _round(self, target: _Target, nursery: trio.Nursery, stopping: bool) -> None:
        state = self._pools.get(target.pool)
        if state is None:
            state = _Pool(leases.Lease(self._vm, self._nonce, self._terms))
            self._pools[target.pool] = state
        self._observe(target, state)
        found = await self._engines(target)
        behind = any(e.version is not None and e.version < target.version for e in found)
        if not (behind or state.ordering or self._must_tell(target, state)):
            state.behind_since = None
            return
        now = self._clock()
        if state.behind_since is None:
            state.behind_since = now
        if self._released or not self._may_contend(target, state, now, stopping):
            return
        chosen = rollout.choose(found, target.version, state.ordering)
        if not await self._keep_lease(target, state, chosen) or self._released:
            return
        by_id = {engine.upstream: engine for engine in found}
        for upstream in chosen:
            ordering = rollout.Ordering(target.version, self._clock())
            state.ordering[upstream] = ordering
            nursery.start_soon(self._bring, target, state, by_id[upstream], ordering)

    async def _engines(self, target: _Target) -> tuple[rollout.Engine, ...]:
        assert self._traffic
        reply: mailbox.Reply[tuple[rollout.Engine, ...]] = mailbox.Reply()
        message = traffic_messages.GetEngines(target.pool, target.model, reply)
        self._traffic.mailbox.send(message)
        return await reply.get()

    def _must_tell(self, target: _Target, state: _Pool) -> bool:
        """Returns whether the last note still shows engines as loading."""
        return state.lease.holds and bool(_read_note(state.seen_note).loading)

    def _observe(self, target: _Target, state: _Pool) -> None:
        found = self.cluster.find(_lease_name(target.pool))
        lease = _read_lease(found) if found else None
        pending = state.pending
        if pending and lease == pending.proposal:
            # The watch shows what the lost answer would have said.
            self._note_written(target.pool, state, pending)
        state.lease.observed(lease, self._clock())
        if lease and lease.note != state.seen_note:
            state.seen_note = lease.note
            if lease.nonce != self._nonce:
                self._believe(target.pool, _read_note(lease.note))

    def _believe(self, pool: ids.PoolId, note: Note) -> None:
        assert self._traffic
        until = trio.current_time() + LOADING_BELIEVED_S
        for name in note.loading:
            upstream = ids.UpstreamId(name)
            self._traffic.mailbox.send(traffic_messages.Loading(pool, upstream, until))
        for name, version in note.loaded.items():
            self._tell_loaded(pool, ids.UpstreamId(name), ids.ModelId(note.model), version)

    def _tell_loaded(
        self, pool: ids.PoolId, upstream: ids.UpstreamId, model: ids.ModelId, version: str
    ) -> None:
        assert self._traffic
        weights = members.Weights(model, version)
        self._traffic.mailbox.send(traffic_messages.Loading(pool, upstream, 0.0))
        self._traffic.mailbox.send(traffic_messages.AnswerTold(pool, upstream, None, weights))

    def _may_contend(self, target: _Target, state: _Pool, now: float, stopping: bool) -> bool:
        """Returns whether this router may try for the lease now.

        The last holder goes first, because it need not wait for anybody else's orders. One that
        stops keeps the lease to its end and takes no other.
        """
        if state.lease.holds:
            return True
        if stopping:
            return False
        if state.lease.last_holder == self._vm:
            return True
        assert state.behind_since is not None
        head_start_s = CONTEND_S if state.lease.last_holder is not None else 0.0
        return now >= state.behind_since + head_start_s + RANK_S * self._rank(target.pool)

    def _rank(self, pool: ids.PoolId) -> int:
        ranked = sorted(
            self.cluster.routers(),
            key=lambda vm: hashlib.blake2b(f"{vm}/{pool}".encode(), digest_size=8).digest(),
        )
        return ranked.index(self._vm)

    async def _keep_lease(
        self, target: _Target, state: _Pool, chosen: list[ids.UpstreamId]
    ) -> bool:
        """Takes or renews the lease; returns whether orders may be given now.

        Where it may not yet be used, nothing is announced.
        """
        usable = state.lease.fencing_number(self._clock()) is not None
        loading = sorted([*state.ordering, *(chosen if usable else [])])
        if target.version != state.loaded_target:
            state.loaded_target = target.version
            state.loaded = {}
        note = Note(target.model, list(loading), dict(state.loaded))
        proposal = state.lease.proposal(self._clock(), msgspec.json.encode(note).decode())
        if proposal:
            try:
                await self._write(target.pool, state, proposal)
            except exceptions.ServiceError as exc:
                # Whether a lost write took effect shows in the watch.
                _log.info("lease_write_unanswered", pool=target.pool, reason=str(exc))
                return False
        return usable and state.lease.fencing_number(self._clock()) is not None

    async def _write(self, pool: ids.PoolId, state: _Pool, proposal: leases.LeaseObject) -> None:
        name = _lease_name(pool)
        found = self.cluster.find(name)
        spec = dataclasses.asdict(proposal)
        state.pending = _Pending(proposal, self._clock())
        pending = state.pending
        with trio.move_on_after(WRITE_S) as scope:
            if found is None:
                written = await self.cluster.platform.create(cluster_service.KIND, name, spec)
            else:
                written = await self.cluster.platform.replace(cluster_service.KIND, found, spec)
        if scope.cancelled_caught:
            raise exceptions.PlatformUnavailableError(f"no answer within {WRITE_S} s")
        if isinstance(written, platform_service.NotWritten):
            state.pending = None
            state.lease.lost()
            _log.info("lease_refused", pool=pool, fencing=proposal.fencing)
            return
        if state.pending is pending:
            self._note_written(pool, state, pending)
        self.cluster.put(written.object)

    def _note_written(self, pool: ids.PoolId, state: _Pool, pending: _Pending) -> None:
        proposal = pending.proposal
        state.pending = None
        if proposal.released or not state.lease.holds:
            event = "lease_released" if proposal.released else "lease_taken"
            quiet_s = round(proposal.quiet_s, 2)
            _log.info(event, pool=pool, fencing=proposal.fencing, quiet_s=quiet_s)
        state.lease.written(proposal, pending.asked_at, self._clock())
        state.seen_note = proposal.note

    async def _bring(
        self,
        target: _Target,
        state: _Pool,
        engine: rollout.Engine,
        ordering: rollout.Ordering,
    ) -> None:
        """Brings one engine to the version, or gives up."""
        assert self._traffic
        until = trio.current_time() + LOADING_BELIEVED_S
        loading = traffic_messages.Loading(target.pool, engine.upstream, until)
        self._traffic.mailbox.send(loading)
        began_at = self._clock()
        try:
            await trio.sleep(ANNOUNCED_S)
            step = await self._until_loaded(target, state, engine, ordering)
            took_s = self._clock() - began_at
            _log.info(
                "weights_" + ("loaded" if step is rollout.Step.DONE else "not_loaded"),
                upstream=engine.upstream,
                version=target.version,
                took_s=round(took_s, 3),
            )
            if step is rollout.Step.DONE:
                version = str(target.version)
                state.loaded[engine.upstream] = version
                self._tell_loaded(target.pool, engine.upstream, target.model, version)
            else:
                cleared = traffic_messages.Loading(target.pool, engine.upstream, 0.0)
                self._traffic.mailbox.send(cleared)
        finally:
            state.ordering.pop(engine.upstream, None)

    async def _until_loaded(
        self,
        target: _Target,
        state: _Pool,
        engine: rollout.Engine,
        ordering: rollout.Ordering,
    ) -> rollout.Step:
        step = rollout.Step.LOOK
        while step in (rollout.Step.LOOK, rollout.Step.ORDER):
            if self._released or not self._is_there(engine):
                return rollout.Step.GIVE_UP
            if step is rollout.Step.ORDER:
                if state.lease.fencing_number(self._clock()) is None:
                    return rollout.Step.GIVE_UP
                reply = await self._order(target, state, engine, ordering)
                step = ordering.replied(reply, self._clock())
                continue
            report = await self._report(target, engine)
            if report is None:
                step = ordering.unreachable(self._clock())
            else:
                step = ordering.reported(report, self._clock())
            if step is rollout.Step.LOOK:
                await trio.sleep(LOOK_S)
        return step

    def _is_there(self, engine: rollout.Engine) -> bool:
        assert self._directory
        found = self._directory.find(engine.upstream)
        return found is not None and found.incarnation == engine.incarnation

    async def _report(self, target: _Target, engine: rollout.Engine) -> rollout.Report | None:
        assert self._directory and self._connections
        found = self._directory.find(engine.upstream)
        if found is None:
            return None
        try:
            conn = await self._connections.acquire(found.address, CALL_S)
        except protocol_exceptions.ProtocolError:
            return None
        try:
            _, body = await connections_service.exchange(conn, self._calls.report(), b"", CALL_S)
        except protocol_exceptions.ProtocolError:
            await self._connections.discard(found.address, conn)
            return None
        await self._connections.release(found.address, conn)
        return self._calls.read_report(body, target.model)

    async def _order(
        self,
        target: _Target,
        state: _Pool,
        engine: rollout.Engine,
        ordering: rollout.Ordering,
    ) -> rollout.Reply:
        assert self._directory and self._connections
        found = self._directory.find(engine.upstream)
        if found is None:
            return rollout.Reply.OTHER_INSTANCE
        reply = rollout.Reply.NONE
        try:
            conn = await self._connections.open(found.address, CALL_S)
        except protocol_exceptions.ProtocolError:
            return reply
        try:
            # The lease may have lapsed while the connection was being made.
            fencing = state.lease.fencing_number(self._clock())
            if fencing is None:
                return rollout.Reply.FENCED
            order = rollout.Order(
                target.model, target.version, self._vm, fencing, ordering.expected_orders
            )
            head = self._calls.order_head(engine.upstream)
            body = self._calls.order_body(order)
            with contextlib.suppress(protocol_exceptions.ProtocolError):
                answer, _ = await connections_service.exchange(conn, head, body, CALL_S)
                reply = self._calls.read_reply(answer)
        finally:
            with trio.CancelScope(shield=True):
                await conn.close()
        _log.info(
            "order_given",
            upstream=engine.upstream,
            version=order.version,
            fencing=order.fencing,
            expected_orders=order.expected_orders,
            running=engine.running,
            reply=reply.value,
        )
        return reply


def _lease_name(pool: ids.PoolId) -> str:
    return f"{LEASE_PREFIX}{pool}"


def _read_lease(found: store_format.StoredObject) -> leases.LeaseObject | None:
    try:
        return msgspec.convert(found.spec, leases.LeaseObject)
    except msgspec.ValidationError:
        return None


def _read_note(raw: str) -> Note:
    try:
        return msgspec.json.decode(raw, type=Note) if raw else Note()
    except msgspec.MsgspecError:
        return Note()
