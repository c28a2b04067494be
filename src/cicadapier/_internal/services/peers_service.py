"""Gossip between routers."""

import collections
import collections.abc
import dataclasses
import random

import structlog
import trio

from cicadapier._internal.decisions import cadence
from cicadapier._internal.decisions import membership
from cicadapier._internal.decisions import peer_updates
from cicadapier._internal.decisions import poison
from cicadapier._internal.decisions import rate_limits
from cicadapier._internal.decisions import stream_origins
from cicadapier._internal.decisions import withdrawals
from cicadapier._internal.decisions.account_quotas import messages as account_messages
from cicadapier._internal.decisions.fleet import peer_inquiry
from cicadapier._internal.decisions.fleet import shared_reads
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.kernel import service
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import peer_codec
from cicadapier._internal.protocols import peer_transport
from cicadapier._internal.services import announcer
from cicadapier._internal.services import configuration_source
from cicadapier._internal.services import names
from cicadapier._internal.services import peer_sinks
from cicadapier._internal.services import telemetry_service
from cicadapier._internal.services import traffic_messages
from cicadapier._internal.services import traffic_service
from cicadapier._internal.services.fleet import start_up

MIN_ROUND_S = 0.02
IDLE_ROUND_S = 0.5
ANNOUNCE_TIMEOUT_S = 0.5
MAX_KEPT_PIECES = 256
MAX_EXCHANGES = 12  # Peers that are sent an announcement with an exchange each.
MAX_ANNOUNCED_CRASHES = 32  # In one datagram.


_log = structlog.get_logger()


class PeersService(service.Service, peer_transport.PeerHandler):
    """Exchanges digests with a few random routers in each gossip round."""

    name = names.PEERS

    def __init__(
        self,
        cfg: settings.Settings,
        transport: peer_transport.PeerTransport,
        generation: int,
        rng: random.Random,
        gossip_rounds: collections.abc.Callable[
            [int], cadence.GossipRounds
        ] = cadence.gossip_rounds,
    ) -> None:
        self._gossip_rounds = gossip_rounds
        self._cfg = cfg
        self._transport = transport
        self._rng = rng
        self._generation = generation
        self.address = cfg.listen.peers
        self._seeds = list(cfg.peers.seed)
        self._membership: membership.Membership | None = None
        self._traffic: traffic_service.TrafficService | None = None
        self._configuration: configuration_source.ConfigurationSource | None = None
        self._digest = peer_codec.Digest(cfg.vm, generation, ids.ConfigNumber(0))
        self._update_merger = peer_updates.UpdateMerger()
        self._start_up = start_up.StartUp(self._ask_as_new, rng)
        if self._seeds:
            self._start_up.set_peers(self._seeds)
        self._update_event = trio.Event()
        self._urgent_event = trio.Event()
        self._recent_exports: collections.deque[peer_updates.KeptPieces] = collections.deque(
            maxlen=8
        )
        self._kernel: service.Kernel | None = None
        self._telemetry: telemetry_service.TelemetryService | None = None
        self._upstreams: peer_sinks.UpstreamStateSource | None = None
        self._quotas: peer_sinks.QuotaSink | None = None
        self._origins: peer_sinks.OriginSink | None = None
        self._account_quotas: peer_sinks.AccountQuotaSink | None = None
        self._shared_reads: peer_sinks.SharedReadsSink | None = None
        self._reachable: frozenset[ids.VmId] = frozenset()
        self._domain_routers: frozenset[ids.VmId] = frozenset()
        self._domain_update_event = trio.Event()
        self._domain_addresses: tuple[ids.Address, ...] = ()
        self._crash_announcer = announcer.Announcer(self._send_crashes)

    @property
    def listen_address(self) -> ids.Address | None:
        """See `service.Service.listen_address`."""
        return self.address

    def set_seeds(self, addresses: list[ids.Address]) -> None:
        """Replaces the seed addresses, at which other routers are discovered."""
        self._seeds = addresses
        self._start_up.set_peers([address for address in addresses if address != self.address])

    async def wait_until_informed(self) -> None:
        """Waits, for a bounded time, until a peer has told what a new router has to know."""
        await self._start_up.wait()

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._kernel = kernel
        self._telemetry = kernel.find(names.TELEMETRY)
        self._traffic = kernel.find(names.TRAFFIC)
        self._upstreams = kernel.find(names.UPSTREAMS)
        self._configuration = kernel.find(names.CONFIGURATION)
        async with trio.open_nursery() as nursery:
            address = await nursery.start(self._transport.serve, self._cfg.listen.peers, self)
            self.address = address
            self._membership = membership.Membership(
                membership.Heartbeat(
                    self._cfg.vm, address, self._cfg.failure_domain, self._generation, 0
                )
            )
            task_status.started()
            nursery.start_soon(self._send_to_domain)
            nursery.start_soon(self._crash_announcer.run)
            nursery.start_soon(self._learn_from_peers)
            while True:
                await self._round(nursery)
                await self._pause()

    def schedule_update(self, urgent: bool) -> None:
        """Schedules an update to the peers.

        Args:
            urgent: Whether the next round has to start at once, because the peers would otherwise
                make decisions without the update.
        """
        self._update_event.set()
        self._domain_update_event.set()
        if urgent:
            self._urgent_event.set()

    async def _pause(self) -> None:
        rounds = self._current_rounds()
        jitter = self._rng.uniform(0.9, 1.1)
        started_at = trio.current_time()
        await trio.sleep(MIN_ROUND_S)
        with trio.move_on_at(started_at + max(IDLE_ROUND_S, rounds.period_s) * jitter):
            await self._update_event.wait()
        with trio.move_on_at(started_at + rounds.period_s * jitter):
            if not rounds.urgent:
                await trio.sleep_forever()
            await self._urgent_event.wait()
        self._update_event = trio.Event()
        self._urgent_event = trio.Event()

    def _current_rounds(self) -> cadence.GossipRounds:
        return self._gossip_rounds(1 + len(self._reachable))

    def drop_unlisted(self, vms: collections.abc.Collection[ids.VmId]) -> None:
        """Drops unreachable routers that the platform no longer lists."""
        self.members.drop_unlisted(vms, trio.current_time())

    def domain_routers(self) -> frozenset[ids.VmId]:
        """Returns the other reachable routers of this router's failure domain."""
        return self._domain_routers

    def reachable(self) -> list[membership.Heartbeat]:
        """Returns the newest heartbeats of the other routers that are reachable."""
        if self._membership is None:
            return []
        return self._membership.reachable(trio.current_time())

    @property
    def expects_others(self) -> bool:
        """Whether this router has been told addresses of other routers."""
        return any(address != self.address for address in self._seeds)

    @property
    def was_told_of_all(self) -> bool:
        """Whether a router that has run for a while has told this one of all others."""
        if not self._start_up.is_informed:
            return False
        # An answer holds so many routers at most.
        return len(self.serving_routers()) < peer_codec.MAX_HEARTBEATS

    def serving_routers(self) -> dict[ids.VmId, ids.Address]:
        """Returns all routers that are not leaving, with this one, also unreachable ones."""
        if self._membership is None:
            return {}
        return self._membership.serving(trio.current_time())

    def set_tunnel_port(self, port: int) -> None:
        """Sets the port at which this router opens connections to upstreams for others."""
        self.members.set_tunnel_port(port)
        self.schedule_update(urgent=False)

    def set_links_lost(self, links_lost: bool) -> None:
        """Tells the peers whether this router has lost its links to all upstreams."""
        self.members.set_links_lost(links_lost)
        self.schedule_update(urgent=True)

    async def drain(self) -> None:
        """Announces to the peers that this router is leaving."""
        await self._refresh_digest()
        await self._exchange_with_reachable()

    @property
    def members(self) -> membership.Membership:
        """The routers that this router has received heartbeats of, including itself."""
        assert self._membership
        return self._membership

    def exchange(self, digest: peer_codec.Digest) -> peer_codec.Digest:
        """See `peer_transport.PeerHandler.exchange`."""
        self._merge(digest)
        return self._whole_digest() if start_up.is_starting(digest) else self._digest

    def _whole_digest(self) -> peer_codec.Digest:
        """Returns a digest for a router that knows nothing yet."""
        limits = self._upstreams.limits if self._upstreams else None
        sample = self.members.sample(trio.current_time(), self._rng, peer_codec.MAX_HEARTBEATS)
        return dataclasses.replace(
            self._digest,
            heartbeats=tuple(sample),
            limit_notices=limits.notices_in_force() if limits else (),
        )

    def handle_datagram(self, message: peer_codec.Message) -> None:
        """See `peer_transport.PeerHandler.handle_datagram`."""
        if isinstance(message, peer_codec.Digest):
            self._merge(message)
        elif isinstance(message, stream_origins.Message):
            if self._origins:
                self._origins.mailbox.try_send(message)
        elif isinstance(message, account_messages.QuotaRequest | account_messages.QuotaAnswer):
            if self._account_quotas:
                self._account_quotas.mailbox.try_send(message)
        elif isinstance(message, shared_reads.ReadRequest | shared_reads.ReadReport):
            if self._shared_reads:
                self._shared_reads.handle(message)
        elif self._quotas:
            self._quotas.mailbox.try_send(message)

    async def send_datagram(
        self, addresses: list[ids.Address], message: peer_codec.Message
    ) -> None:
        """Sends a message to some routers. The message may be lost."""
        await self._transport.send_datagram(addresses, message)

    def set_quota_sink(self, sink: peer_sinks.QuotaSink) -> None:
        """Sets the service that processes the peers' grants and requests for grants."""
        self._quotas = sink

    def set_account_quota_sink(self, sink: peer_sinks.AccountQuotaSink) -> None:
        """Sets the service that processes the peers' messages about quotas of accounts."""
        self._account_quotas = sink

    def set_origin_sink(self, sink: peer_sinks.OriginSink) -> None:
        """Sets the service that processes the peers' messages about the origins of streams."""
        self._origins = sink

    def set_shared_reads_sink(self, sink: peer_sinks.SharedReadsSink) -> None:
        """Sets the service that processes the peers' reports on the store."""
        self._shared_reads = sink

    def configuration_update(
        self, since: ids.ConfigNumber
    ) -> tuple[ids.ConfigNumber, bytes] | None:
        """See `peer_transport.PeerHandler.configuration_update`."""
        assert self._configuration
        return self._configuration.packed_update(since)

    def count_client_event(self, kind: str) -> None:
        """See `peer_transport.PeerHandler.count_client_event`."""
        if self._telemetry:
            self._telemetry.count_event(kind)

    async def announce_crash(self, evidence: poison.Evidence) -> None:
        """Sends a crash to reachable routers; returns once they answer or a timeout expires."""
        crash = evidence.crash
        _log.info(
            "crash_evidence",
            upstream=crash.upstream,
            incarnation=crash.incarnation,
            parts=crash.parts,
            answering=crash.answering,
            ran_ms=round(crash.ran_s * 1000),
        )
        await self._crash_announcer.announce(evidence)

    async def _send_crashes(self, crashes: list[poison.Evidence]) -> None:
        assert self._configuration
        reachable = self.members.reachable(trio.current_time())
        if len(reachable) <= MAX_EXCHANGES:
            await self._refresh_digest()
            await self._exchange_with_reachable()
            return
        # In a large fleet, datagrams with the new evidence alone reach all routers at once; the
        # gossip rounds repair the loss of some.
        digest = peer_codec.Digest(
            self._cfg.vm,
            self._generation,
            self._configuration.current.number,
            crashes=tuple(crashes[:MAX_ANNOUNCED_CRASHES]),
        )
        await self._transport.send_datagram([peer.address for peer in reachable], digest)

    def announce_export(self, kept: peer_updates.KeptPieces) -> None:
        """Includes an export in the digests of the next rounds."""
        self._recent_exports.append(kept)

    async def _exchange_with_reachable(self) -> None:
        if self._membership is None:
            return
        reachable = self._membership.reachable(trio.current_time())
        with trio.move_on_after(ANNOUNCE_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for heartbeat in reachable[:MAX_EXCHANGES]:
                    nursery.start_soon(self._exchange_with, heartbeat.address)

    async def _round(self, nursery: trio.Nursery) -> None:
        assert self._traffic
        now = trio.current_time()
        self.members.advance_heartbeat(
            leaving=self._kernel is not None and self._kernel.is_stopping
        )
        await self._refresh_digest()
        for address in self.members.choose_targets(
            self._seeds, now, self._rng, self._current_rounds().fanout
        ):
            nursery.start_soon(self._exchange_with, address)
        self._publish_use(now)
        self._update_reachable(now)

    async def _send_to_domain(self) -> None:
        """Sends this router's placements to the peers of its failure domain as they are made."""
        rotation = cadence.DomainRotation()
        while True:
            if not rotation.has_pending:
                await self._domain_update_event.wait()
            if self._domain_update_event.is_set():
                self._domain_update_event = trio.Event()
                rotation.schedule_all(self._domain_addresses)
            if cadence.sends_to_domain(self._current_rounds(), self._domain_addresses):
                await self._transport.send_datagram(
                    rotation.next_batch(self._domain_addresses), await self._domain_digest()
                )
            else:
                rotation.schedule_all(())
            await trio.sleep(cadence.DOMAIN_ROUND_S)

    async def _domain_digest(self) -> peer_codec.Digest:
        """Returns a digest without the data that only the rounds of the whole fleet carry."""
        assert self._configuration
        traffic = await self._get_traffic_digest()
        since = trio.current_time() - cadence.domain_resend_s(self._domain_addresses)
        placed = tuple(item for item in traffic.placed if item.at >= since)
        return peer_codec.Digest(
            self._cfg.vm,
            self._generation,
            self._configuration.current.number,
            sends=traffic.sends,
            placed=placed,
            withdrawn=self._withdrawals(),
            limit_notices=self._limit_notices(),
        )

    def _withdrawals(self) -> tuple[withdrawals.Withdrawal, ...]:
        return self._upstreams.known_withdrawals() if self._upstreams else ()

    def _limit_notices(self) -> tuple[rate_limits.LimitNotice, ...]:
        limits = self._upstreams.limits if self._upstreams else None
        return limits.notices_for_peers() if limits else ()

    async def _get_traffic_digest(self) -> traffic_messages.Digest:
        assert self._traffic
        reply: mailbox.Reply[traffic_messages.Digest] = mailbox.Reply()
        self._traffic.mailbox.send(traffic_messages.GetDigest(reply))
        return await reply.get()

    async def _refresh_digest(self) -> None:
        assert self._configuration
        traffic = await self._get_traffic_digest()
        now = trio.current_time()
        # In a large fleet, few of the peers place requests on the same upstreams, and the use of an
        # account at a sample of the routers does not show its use at all of them.
        rounds = self._current_rounds()
        shares_traffic = rounds.shares_traffic
        since = now - rounds.resend_rounds * rounds.period_s
        placed = tuple(item for item in traffic.placed if item.at >= since)
        self._digest = peer_codec.Digest(
            self._cfg.vm,
            self._generation,
            self._configuration.current.number,
            tuple(self.members.sample(now, self._rng)),
            traffic.use if shares_traffic else {},
            traffic.sends if shares_traffic else (),
            traffic.crashes,
            tuple(self._recent_exports),
            placed if shares_traffic else (),
            self._withdrawals(),
            self._limit_notices(),
            traffic.sound,
        )

    async def _learn_from_peers(self) -> None:
        if await self._start_up.run():
            self.members.skip_rounds(peer_inquiry.STARTING_ROUNDS)

    async def _ask_as_new(self, address: ids.Address) -> peer_codec.Digest | None:
        """Asks a peer what a router has to know that has just started; None without an answer."""
        own = peer_codec.Digest(
            self._cfg.vm, self._generation, ids.ConfigNumber(0), (self.members.own,)
        )
        try:
            answer = await self._transport.exchange(address, own)
        except exceptions.ProtocolError:
            return None
        self._merge(answer)
        return answer

    async def _exchange_with(self, address: ids.Address) -> None:
        try:
            answer = await self._transport.exchange(address, self._digest)
        except exceptions.ProtocolError:
            return
        self._merge(answer)
        await self._fetch_newer(address, answer.configuration_number)

    async def _fetch_newer(self, address: ids.Address, number: ids.ConfigNumber) -> None:
        assert self._configuration
        current = self._configuration.current.number
        if number <= current or not self._configuration.is_gossiped:
            return
        try:
            found = await self._transport.fetch_configuration(address, current)
        except exceptions.ProtocolError:
            return
        if found:
            self._configuration.apply_packed_update(*found)

    def _merge(self, digest: peer_codec.Digest) -> None:
        if digest.sender == self._cfg.vm or self._membership is None:
            return
        assert self._traffic
        now = trio.current_time()
        self._membership.merge_heartbeats(digest.heartbeats, now)
        if self._configuration:
            self._configuration.record_peer_number(digest.configuration_number, digest.sender)
        update = peer_updates.PeerUpdate(
            peer_updates.Sender(digest.sender, digest.generation),
            digest.sends,
            digest.placed,
            digest.use,
        )
        delta = self._update_merger.merge(update, now)
        if not delta.is_empty:
            self._traffic.mailbox.try_send(traffic_messages.PeerTraffic(delta))
        if digest.crashes or digest.sound:
            self._traffic.mailbox.try_send(
                traffic_messages.PeerCrashes(digest.crashes, digest.sound)
            )
        for withdrawal in digest.withdrawn:
            if self._upstreams:
                self._upstreams.record_withdrawal(withdrawal, digest.sender)
        limits = self._upstreams.limits if self._upstreams else None
        if limits:
            for limit in digest.limit_notices:
                limits.record_notice(limit, digest.sender)
        for kept in digest.exports:
            self._traffic.mailbox.try_send(traffic_messages.PiecesExported(kept.pool, kept.pieces))

    def router_count(self) -> int:
        """Returns the number of routers that serve, including this one."""
        return self.members.router_count(trio.current_time())

    def _publish_use(self, now: float) -> None:
        assert self._traffic
        total = self._update_merger.total_use(now)
        count = self.members.router_count(now)
        self._traffic.mailbox.try_send(traffic_messages.PeerAccountUse(count, total))

    def _update_reachable(self, now: float) -> None:
        heartbeats = self.members.reachable(now)
        reachable = frozenset(heartbeat.vm for heartbeat in heartbeats)
        domain_heartbeats = [h for h in heartbeats if h.failure_domain == self._cfg.failure_domain]
        self._domain_routers = frozenset(heartbeat.vm for heartbeat in domain_heartbeats)
        self._domain_addresses = tuple(heartbeat.address for heartbeat in domain_heartbeats)
        for vm in sorted(reachable - self._reachable):
            _log.info("peer_reachable", peer=vm)
        for vm in sorted(self._reachable - reachable):
            _log.info("peer_unreachable", peer=vm)
            self._update_merger.drop_router(vm)
        if reachable != self._reachable and self._traffic:
            message = traffic_messages.RoutersChanged(self._cfg.vm, reachable)
            self._traffic.mailbox.try_send(message)
        self._reachable = reachable
