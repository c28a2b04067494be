"""Opens connections to upstreams: directly, or through a peer where the own link is lost."""

import dataclasses
import random

import structlog
import trio

from cicadapier._internal.decisions import link_state
from cicadapier._internal.decisions import membership
from cicadapier._internal.decisions import tunnel_peers
from cicadapier._internal.kernel import service
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import transport
from cicadapier._internal.protocols import tunnels
from cicadapier._internal.services import connections_service
from cicadapier._internal.services import directory_service
from cicadapier._internal.services import names
from cicadapier._internal.services import peers_service
from cicadapier._internal.services import telemetry_service

# A direct connection that takes longer is tried through a peer beside it: a multiple of the time
# that the last one to the same upstream took, within these bounds.
PEER_DELAY_FACTOR = 4.0
MIN_PEER_DELAY_S = 0.1
MAX_PEER_DELAY_S = 0.3
NEXT_PEER_DELAY_S = 0.06  # Until a further peer is tried beside one that has not answered.
PROBE_INTERVAL_S = 0.25
PROBE_TIMEOUT_S = 0.4
CHECK_TIMEOUT_S = 0.2
MAX_CHECKS = 3  # Other upstreams that are tried to see whether the own links work.
MAX_CONNECT_TIMES = 4096
# Longest wait for a connection while nobody has reached any upstream since the last one hung.
DOUBTED_TIMEOUT_S = 0.1

_log = structlog.get_logger()


@dataclasses.dataclass(eq=False)
class _Race:
    """Attempts to open one connection, of which the first that succeeds is used.

    Attributes:
        address: Address of the upstream.
        scope: Cancels the attempts.
        started_at: Time of trio's clock at which the first attempt began.
        stream: Stream of the attempt that succeeded.
        direct_error: Error of the direct attempt.
        outcomes: What the peers said that opened no connection.
        direct_ended: Set once the direct attempt has ended.
        peers_ended: Set once the attempts through peers have failed.
    """

    address: ids.Address
    scope: trio.CancelScope = dataclasses.field(default_factory=trio.CancelScope)
    started_at: float = dataclasses.field(default_factory=trio.current_time)
    stream: trio.abc.Stream | None = None
    direct_error: exceptions.ConnectError | None = None
    outcomes: list[tunnels.Outcome] = dataclasses.field(default_factory=list)
    direct_ended: trio.Event = dataclasses.field(default_factory=trio.Event)
    peers_ended: trio.Event = dataclasses.field(default_factory=trio.Event)

    @property
    def is_refused_by_peers(self) -> bool:
        """Whether the upstream refused all peers that tried to connect to it."""
        tried = {tunnels.Outcome.REFUSED, tunnels.Outcome.UNREACHABLE}.intersection(self.outcomes)
        return tried == {tunnels.Outcome.REFUSED}

    async def win(self, stream: trio.abc.Stream) -> bool:
        """Uses the stream of an attempt and ends the others; returns False if it is late."""
        if self.stream is not None:
            await trio.aclose_forcefully(stream)
            return False
        self.stream = stream
        self.scope.cancel()
        return True


class LinksService(service.Service, connections_service.UpstreamLinks):
    """Owns what this router believes of its links to upstreams."""

    name = names.LINKS

    def __init__(
        self, cfg: settings.Settings, network: transport.Connector, rng: random.Random
    ) -> None:
        """Creates the service.

        Args:
            cfg: Settings of the router.
            network: Network on which it connects.
            rng: Source of the order in which peers are tried.
        """
        self._network = network
        self._secret = cfg.peers.secret
        self._state = link_state.LinkState()
        self._choice = tunnel_peers.PeerChoice(cfg.failure_domain, rng)
        self._connect_s: dict[ids.Address, float] = {}
        # Whether the last connection hung, directly and through peers, and none was opened since.
        self._is_cut_off = False
        self._peers: peers_service.PeersService | None = None
        self._directory: directory_service.DirectoryService | None = None
        self._connections: connections_service.ConnectionsService | None = None
        self._telemetry: telemetry_service.TelemetryService | None = None

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._peers = kernel.find(names.PEERS)
        self._directory = kernel.find(names.UPSTREAMS)
        self._connections = kernel.find(names.CONNECTIONS)
        self._telemetry = kernel.find(names.TELEMETRY)
        task_status.started()
        while True:
            await trio.sleep(PROBE_INTERVAL_S)
            await self._probe()

    @property
    def all_lost(self) -> bool:
        """Whether this router believes that it has lost its links to all upstreams."""
        return self._state.all_lost

    def suits(self, address: ids.Address, peer: ids.VmId | None) -> bool:
        """See `connections_service.UpstreamLinks.suits`."""
        if self._state.is_direct(address):
            return peer is None
        return peer is not None and peer in {
            heartbeat.vm for heartbeat in self._reachable() if tunnel_peers.tunnel_peer(heartbeat)
        }

    async def connect(self, address: ids.Address, timeout_s: float) -> trio.abc.Stream:
        """See `transport.Connector.connect`.

        The error is `ConnectRefusedError` only if the links of this router are not in doubt, and
        `LinksInDoubtError` if no other upstream is reached either.
        """
        race = _Race(address)
        if self._is_cut_off:
            # Each attempt that hangs delays the refusal of a request that nobody can serve.
            timeout_s = min(timeout_s, DOUBTED_TIMEOUT_S)
        is_direct = self._state.is_direct(address) or not self._choose_peers(address)
        try:
            await self._run_race(race, is_direct, timeout_s)
        except BaseException:
            # The caller may leave as an attempt succeeds.
            if race.stream is not None:
                await trio.aclose_forcefully(race.stream)
            raise
        if race.stream is None:
            self._is_cut_off = race.direct_error is None and not race.is_refused_by_peers
            raise await self._failure(race, timeout_s)
        self._is_cut_off = False
        return race.stream

    async def _run_race(self, race: _Race, is_direct: bool, timeout_s: float) -> None:
        """Attempts to open a connection until an attempt succeeds or all have failed."""
        with trio.move_on_after(timeout_s):
            async with trio.open_nursery() as nursery:
                race.scope = nursery.cancel_scope
                if is_direct:
                    nursery.start_soon(self._try_direct, race, timeout_s)
                    await self._wait_for_direct(race)
                    await self._try_peers(race, timeout_s)
                else:
                    nursery.start_soon(self._try_peers, race, timeout_s)
                    await self._wait_for_peers(race)
                    await self._try_direct(race, timeout_s)

    async def connect_direct(self, address: ids.Address, timeout_s: float) -> trio.abc.Stream:
        """See `connections_service.UpstreamLinks.connect_direct`."""
        started_at = trio.current_time()
        stream = await self._network.connect(address, timeout_s)
        self._is_cut_off = False
        self._record_direct(address, started_at)
        return stream

    async def _try_direct(self, race: _Race, timeout_s: float) -> None:
        try:
            stream = await self.connect_direct(race.address, timeout_s)
            await race.win(stream)
        except exceptions.ConnectError as exc:
            race.direct_error = exc
        finally:
            race.direct_ended.set()

    async def _wait_for_direct(self, race: _Race) -> None:
        """Waits until the direct attempt has ended or takes longer than usual."""
        if self._is_cut_off:
            return
        usual_s = PEER_DELAY_FACTOR * self._connect_s.get(race.address, 0.0)
        with trio.move_on_after(min(MAX_PEER_DELAY_S, max(MIN_PEER_DELAY_S, usual_s))):
            await race.direct_ended.wait()

    async def _wait_for_peers(self, race: _Race) -> None:
        """Waits until the peers have failed or take longer than usual."""
        with trio.move_on_after(MIN_PEER_DELAY_S):
            await race.peers_ended.wait()

    async def _try_peers(self, race: _Race, timeout_s: float) -> None:
        """Tries peers one after the other, further ones beside those that do not answer."""
        await self._try_each_peer(race, timeout_s)
        race.peers_ended.set()

    async def _try_each_peer(self, race: _Race, timeout_s: float) -> None:
        async with trio.open_nursery() as nursery:
            for peer in self._choose_peers(race.address):
                ended = trio.Event()
                nursery.start_soon(self._try_peer, race, peer, timeout_s, ended)
                with trio.move_on_after(NEXT_PEER_DELAY_S):
                    await ended.wait()

    async def _try_peer(
        self, race: _Race, peer: tunnel_peers.TunnelPeer, timeout_s: float, ended: trio.Event
    ) -> None:
        started_at = trio.current_time()
        try:
            stream = await self._open_tunnel(race, peer, timeout_s)
        except exceptions.ProtocolError as exc:
            self._choice.record_failure(peer.vm, race.address, trio.current_time())
            _log.debug("tunnel_failed", upstream=race.address, peer=peer.vm, reason=str(exc))
        except trio.Cancelled:
            self._record_unanswered(race, peer, started_at)
            raise
        else:
            self._choice.record_success(peer.vm)
            if await race.win(stream):
                self._record_peer_only(race, peer)
        finally:
            ended.set()

    def _record_unanswered(
        self, race: _Race, peer: tunnel_peers.TunnelPeer, started_at: float
    ) -> None:
        """Records that a peer had not answered as the race ended, unless it had no time to."""
        now = trio.current_time()
        if now - started_at >= NEXT_PEER_DELAY_S:
            self._choice.record_failure(peer.vm, race.address, now)

    async def _open_tunnel(
        self, race: _Race, peer: tunnel_peers.TunnelPeer, timeout_s: float
    ) -> trio.abc.Stream:
        stream = await self._network.connect(peer.address, timeout_s)
        outcome = None
        try:
            outcome = await tunnels.request_tunnel(stream, race.address, self._secret)
        finally:
            if outcome is not tunnels.Outcome.OPEN:
                await trio.aclose_forcefully(stream)
        if self._telemetry:
            self._telemetry.count_event(f"tunnel_{outcome.value}")
        if outcome is not tunnels.Outcome.OPEN:
            race.outcomes.append(outcome)
            raise exceptions.ConnectError(f"{race.address}: {peer.vm} answered {outcome.value}")
        return tunnels.TunnelStream(stream, peer.vm)

    def _choose_peers(self, address: ids.Address) -> list[tunnel_peers.TunnelPeer]:
        return self._choice.choose(self._reachable(), address, trio.current_time())

    def _reachable(self) -> list[membership.Heartbeat]:
        return self._peers.reachable() if self._peers else []

    async def _failure(self, race: _Race, timeout_s: float) -> exceptions.ConnectError:
        """Returns the error of a connection that neither this router nor a peer could open."""
        error = race.direct_error
        if race.is_refused_by_peers:
            return exceptions.ConnectRefusedError(f"{race.address}: peers were refused")
        if error is None:
            return exceptions.ConnectError(f"{race.address}: no answer within {timeout_s} s")
        if not isinstance(error, exceptions.ConnectRefusedError):
            return error
        if await self.is_refusal_certain(race.address, race.started_at):
            return error
        return exceptions.LinksInDoubtError(f"{error}, and no other upstream is reached")

    async def is_refusal_certain(self, address: ids.Address, since: float) -> bool:
        """Returns whether an upstream refused a connection, and not a lost link of this router.

        It did if another one is reached directly, or if there is no other one.

        Args:
            address: Address of the upstream.
            since: Time of trio's clock at which the connection was attempted.
        """
        if self._state.last_direct_at >= since:
            return True
        others = self._others(address)
        with trio.move_on_after(CHECK_TIMEOUT_S):
            for other in others[:MAX_CHECKS]:
                if await self._is_reached(other):
                    return True
        return not others

    def _others(self, address: ids.Address) -> list[ids.Address]:
        """Returns the other upstreams, those first that were last reached directly."""
        registered = self._registered()
        reached = [item for item in reversed(self._connect_s) if item in registered]
        return [item for item in dict.fromkeys([*reached, *sorted(registered)]) if item != address]

    async def _is_reached(self, address: ids.Address) -> bool:
        try:
            stream = await self.connect_direct(address, CHECK_TIMEOUT_S)
        except exceptions.ConnectError:
            return False
        await trio.aclose_forcefully(stream)
        return True

    def _registered(self) -> frozenset[ids.Address]:
        return self._directory.addresses if self._directory else frozenset()

    async def _probe(self) -> None:
        """Tries one lost link directly, if there is any."""
        now = trio.current_time()
        self._apply_change(self._state.retain(self._registered(), now), None, None)
        address = self._state.next_probe(now)
        if address is None:
            return
        try:
            stream = await self.connect_direct(address, PROBE_TIMEOUT_S)
        except exceptions.ConnectError:
            self._state.record_failed_probe(address)
            return
        await trio.aclose_forcefully(stream)

    def _record_direct(self, address: ids.Address, started_at: float) -> None:
        now = trio.current_time()
        if len(self._connect_s) >= MAX_CONNECT_TIMES:
            self._connect_s.clear()
        self._connect_s.pop(address, None)  # The last one is the one reached last.
        self._connect_s[address] = now - started_at
        self._apply_change(self._state.record_direct(address, now), address, None)

    def _record_peer_only(self, race: _Race, peer: tunnel_peers.TunnelPeer) -> None:
        is_certain = race.direct_error is not None
        now = trio.current_time()
        change = self._state.record_peer_only(race.address, is_certain, now)
        self._apply_change(change, race.address, peer.vm)

    def _apply_change(
        self,
        change: link_state.LinkChange | None,
        address: ids.Address | None,
        peer: ids.VmId | None,
    ) -> None:
        """Acts on a change of what this router believes of its links."""
        if change is None:
            return
        _log.info(
            change.value,
            upstream=address,
            peer=peer,
            lost_links=len(self._state.lost_links()),
            direct_ms_ago=round((trio.current_time() - self._state.last_direct_at) * 1000)
            if self._state.last_direct_at > 0
            else None,
        )
        if self._connections and change is link_state.LinkChange.LINK_LOST:
            self._connections.drop_idle(address)
        if self._connections and change is link_state.LinkChange.ALL_LOST:
            self._connections.drop_idle(None)
        if self._peers and change in (
            link_state.LinkChange.ALL_LOST,
            link_state.LinkChange.ALL_REGAINED,
        ):
            self._peers.set_links_lost(self._state.all_lost)
