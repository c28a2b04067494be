"""Gossip between routers."""

import collections
import random

import structlog
import trio

from cicadapier._internal.decisions import limits
from cicadapier._internal.decisions import membership
from cicadapier._internal.decisions import poison
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.kernel import service
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import peer_codec
from cicadapier._internal.protocols import peer_transport
from cicadapier._internal.services import configuration_service
from cicadapier._internal.services import names
from cicadapier._internal.services import traffic_messages
from cicadapier._internal.services import traffic_service

ROUND_S = 0.25
ANNOUNCE_TIMEOUT_S = 0.5
MAX_KEPT_PIECES = 256
USE_EXPIRES_S = 5.0

_log = structlog.get_logger()


class PeersService(service.Service, peer_transport.PeerHandler):
    """Exchanges digests with a few random routers a round."""

    name = names.PEERS

    def __init__(
        self,
        cfg: settings.Settings,
        transport: peer_transport.PeerTransport,
        generation: int,
        rng: random.Random,
    ) -> None:
        self._cfg = cfg
        self._transport = transport
        self._rng = rng
        self._generation = generation
        self.address = cfg.listen.peers
        self._seeds = list(cfg.peers.seed)
        self._membership: membership.Membership | None = None
        self._traffic: traffic_service.TrafficService | None = None
        self._configuration: configuration_service.ConfigurationService | None = None
        self._digest = peer_codec.Digest(cfg.vm, generation, ids.ConfigNumber(0))
        self._use: dict[ids.VmId, tuple[float, dict[ids.AccountId, limits.RemoteUse]]] = {}
        self._seen_sends: dict[tuple[ids.VmId, int, ids.UpstreamId], peer_codec.SentWork] = {}
        self._seen_placed: dict[tuple[ids.VmId, int], int] = {}
        self._kept: collections.deque[peer_codec.KeptPieces] = collections.deque(maxlen=8)
        self._kernel: service.Kernel | None = None
        self._reachable: frozenset[ids.VmId] = frozenset()

    def set_seeds(self, addresses: list[ids.Address]) -> None:
        """Replaces the addresses at which other routers are first looked for."""
        self._seeds = addresses

    async def run(self, kernel: service.Kernel, started: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._kernel = kernel
        self._traffic = kernel.find(names.TRAFFIC)
        self._configuration = kernel.find(names.CONFIGURATION)
        async with trio.open_nursery() as nursery:
            address = await nursery.start(self._transport.serve, self._cfg.listen.peers, self)
            self.address = address
            self._membership = membership.Membership(
                membership.Heartbeat(
                    self._cfg.vm, address, self._cfg.failure_domain, self._generation, 0
                )
            )
            started.started()
            while True:
                await self._round(nursery)
                await trio.sleep(ROUND_S * self._rng.uniform(0.9, 1.1))

    async def drain(self) -> None:
        """Tells the peers that this router is leaving."""
        await self._refresh_digest()
        await self._tell_all()

    @property
    def members(self) -> membership.Membership:
        """The routers that this one knows."""
        assert self._membership
        return self._membership

    def exchange(self, digest: peer_codec.Digest) -> peer_codec.Digest:
        """See `peer_transport.PeerHandler.exchange`."""
        self._merge(digest)
        return self._digest

    def document(self, above: ids.ConfigNumber) -> tuple[ids.ConfigNumber, bytes] | None:
        """See `peer_transport.PeerHandler.document`."""
        assert self._configuration
        return self._configuration.packed(above)

    async def announce_crash(self, crash: poison.Crash) -> None:
        """Tells evidence to all reachable routers; returns when they have it or do not answer."""
        _log.info("crash_evidence", upstream=crash.upstream, source="own")
        await self._refresh_digest()
        await self._tell_all()

    def announce_kept(self, kept: peer_codec.KeptPieces) -> None:
        """Passes on an export in the next rounds."""
        self._kept.append(kept)

    async def _tell_all(self) -> None:
        if self._membership is None:
            return
        reachable = self._membership.reachable(trio.current_time())
        with trio.move_on_after(ANNOUNCE_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for heartbeat in reachable[: 4 * membership.FANOUT]:
                    nursery.start_soon(self._exchange_with, heartbeat.address)

    async def _round(self, nursery: trio.Nursery) -> None:
        assert self._traffic
        now = trio.current_time()
        self.members.beat(leaving=self._kernel is not None and self._kernel.stopping)
        await self._refresh_digest()
        for address in self.members.targets(self._seeds, now, self._rng):
            nursery.start_soon(self._exchange_with, address)
        self._publish_use(now)
        self._log_changes(now)

    async def _refresh_digest(self) -> None:
        assert self._traffic and self._configuration
        reply: mailbox.Reply[traffic_messages.Digest] = mailbox.Reply()
        self._traffic.mailbox.send(traffic_messages.TakeDigest(reply))
        found = await reply.get()
        now = trio.current_time()
        self._digest = peer_codec.Digest(
            self._cfg.vm,
            self._generation,
            self._configuration.current.number,
            tuple(self.members.sample(now, self._rng)),
            found.use,
            found.sends,
            found.crashes,
            tuple(self._kept),
            found.placed,
        )

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
        if number <= current:
            return
        try:
            found = await self._transport.fetch(address, current)
        except exceptions.ProtocolError:
            return
        if found:
            self._configuration.offer_packed(*found)

    def _merge(self, digest: peer_codec.Digest) -> None:
        if digest.sender == self._cfg.vm or self._membership is None:
            return
        assert self._traffic
        now = trio.current_time()
        self._membership.heard(digest.heartbeats, now)
        self._use[digest.sender] = (now, digest.use)
        for work in digest.sends:
            self._merge_sends(digest, work)
        self._merge_placed(digest)
        if digest.crashes:
            self._traffic.mailbox.offer(traffic_messages.PeerCrashes(digest.crashes))
        for kept in digest.kept:
            self._traffic.mailbox.offer(traffic_messages.Kept(kept.pool, kept.pieces))

    def _merge_sends(self, digest: peer_codec.Digest, work: peer_codec.SentWork) -> None:
        assert self._traffic
        key = (digest.sender, digest.generation, work.upstream)
        before = self._seen_sends.get(key)
        self._seen_sends[key] = work
        if before is None:
            # What was sent before this router listened is in the upstream's own report.
            return
        tokens = work.tokens - before.tokens
        interactive = work.interactive_tokens - before.interactive_tokens
        if tokens > 0:
            self._traffic.mailbox.offer(
                traffic_messages.PeerSends(work.pool, work.upstream, tokens, max(0.0, interactive))
            )

    def _merge_placed(self, digest: peer_codec.Digest) -> None:
        assert self._traffic
        key = (digest.sender, digest.generation)
        seen = self._seen_placed.get(key, 0)
        for placed in digest.placed:
            if placed.number > seen:
                self._traffic.mailbox.offer(
                    traffic_messages.PeerPlaced(placed.pool, placed.upstream, placed.pieces)
                )
                seen = placed.number
        self._seen_placed[key] = seen

    def _publish_use(self, now: float) -> None:
        assert self._traffic
        total: dict[ids.AccountId, limits.RemoteUse] = {}
        for vm, (heard_at, use) in list(self._use.items()):
            if now - heard_at > USE_EXPIRES_S:
                del self._use[vm]
                continue
            for account, own in use.items():
                known = total.get(account, limits.RemoteUse())
                total[account] = limits.RemoteUse(
                    known.demand_per_s + own.demand_per_s, known.streams + own.streams
                )
        count = self.members.count(now)
        self._traffic.mailbox.offer(traffic_messages.PeerUse(count, total))

    def _log_changes(self, now: float) -> None:
        reachable = frozenset(heartbeat.vm for heartbeat in self.members.reachable(now))
        for vm in sorted(reachable - self._reachable):
            _log.info("peer_reachable", peer=vm)
        for vm in sorted(self._reachable - reachable):
            _log.info("peer_unreachable", peer=vm)
            self._forget_sends(vm)
        self._reachable = reachable

    def _forget_sends(self, vm: ids.VmId) -> None:
        for key in [key for key in self._seen_sends if key[0] == vm]:
            del self._seen_sends[key]
        for sender in [key for key in self._seen_placed if key[0] == vm]:
            del self._seen_placed[sender]
