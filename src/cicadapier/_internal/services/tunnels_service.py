"""Opens connections to upstreams for peers that have lost their own links, and carries the bytes.

The peer decides everything; this router only checks who asks, for which address and whether there
is room. It connects directly, never through another peer.
"""

import structlog
import trio

from cicadapier._internal.kernel import service
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import transport
from cicadapier._internal.protocols import tunnels
from cicadapier._internal.services import directory_service
from cicadapier._internal.services import links_service
from cicadapier._internal.services import names
from cicadapier._internal.services import peers_service
from cicadapier._internal.services import telemetry_service

REQUEST_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.3
IDLE_TIMEOUT_S = 300.0
CHECK_INTERVAL_S = 0.25
# Time for a router to close its connection once the upstream has ended. A close with unread data
# is a reset, which could discard the end of the answer.
LINGER_S = 2.0
# Time for which a router may leave an answer unread, as a caller of it does that reads slowly.
UNREAD_TIMEOUT_MS = 30_000
DELIVERY_POLL_S = 0.005
CHUNK_BYTES = 16_384
MAX_DRAIN_S = 5.0
DRAIN_POLL_S = 0.05
MAX_PENDING = 64  # Connections whose request is awaited; further ones are closed.

_log = structlog.get_logger()


class _Carrier:
    """Carries the bytes of one tunnel in both directions.

    A router closes a connection as a whole. An upstream may end its answer before it has read the
    request, so the router gets the answer and may finish sending. What a router has sent and given
    up since is not carried on, also if this router stood still meanwhile or the upstream takes no
    bytes.

    A kernel reports a reset once. If it was the send to the upstream that met it, the end of the
    upstream's bytes does not end an answer, and the router gets a reset behind them.

    Attributes:
        bytes_carried: Number of bytes that were carried.
        is_broken: Whether an end reset the connection.
    """

    def __init__(self, router: trio.abc.Stream, upstream: trio.abc.Stream) -> None:
        self.bytes_carried = 0
        self.is_broken = False
        self._router = router
        self._upstream = upstream
        self._is_upstream_lost = False
        self._last_progress_at = trio.current_time()

    async def run(self) -> None:
        """Carries bytes until the router closes its connection or the upstream has ended."""
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(self._carry_requests, scope)
            nursery.start_soon(self._carry_answers, scope)
            nursery.start_soon(self._end_if_unused, scope)

    async def _carry_requests(self, scope: trio.CancelScope) -> None:
        try:
            while data := await self._router.receive_some(CHUNK_BYTES):
                if self._is_given_up():
                    break
                # An upstream that reads no more may have sent an answer, which is carried still.
                if not self._is_upstream_lost:
                    await self._send_request(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.is_broken = True
        scope.cancel()

    async def _send_request(self, data: bytes | bytearray) -> None:
        """Sends a part of a request to the upstream, if that still accepts data."""
        try:
            await self._upstream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._is_upstream_lost = True
            return
        self._count(data)

    async def _carry_answers(self, scope: trio.CancelScope) -> None:
        try:
            while data := await self._receive_answer():
                await self._router.send_all(data)
                self._count(data)
            # A send that has met a reset raises in this turn of trio's loop, or in the next one.
            await trio.lowlevel.checkpoint()
            await trio.lowlevel.checkpoint()
            if self._is_upstream_lost:
                await self._break_off(scope)
            else:
                await self._end_answers(scope)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.is_broken = True
            scope.cancel()

    async def _receive_answer(self) -> bytes | bytearray:
        """Returns the next bytes of the upstream, or none at their end."""
        try:
            return await self._upstream.receive_some(CHUNK_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._is_upstream_lost = True
            return b""

    async def _break_off(self, scope: trio.CancelScope) -> None:
        """Resets the connection to the router once that has received what was carried.

        The answer may be whole before the reset. A reset that came first would discard its end.
        """
        with trio.move_on_after(LINGER_S):
            while transport.unreceived_bytes(self._router):
                await trio.sleep(DELIVERY_POLL_S)
        self.is_broken = True
        scope.cancel()

    async def _end_answers(self, scope: trio.CancelScope) -> None:
        """Tells the router that the upstream has ended, and gives it time to close."""
        if not isinstance(self._router, trio.abc.HalfCloseableStream):
            scope.cancel()
            return
        scope.deadline = trio.current_time() + LINGER_S
        await self._router.send_eof()

    def _count(self, data: bytes | bytearray) -> None:
        self.bytes_carried += len(data)
        self._last_progress_at = trio.current_time()

    def _is_given_up(self) -> bool:
        self.is_broken = self.is_broken or transport.was_reset(self._router)
        return self.is_broken

    async def _end_if_unused(self, scope: trio.CancelScope) -> None:
        """Ends the tunnel once the router has reset it, or if nothing was carried for long."""
        while not self._is_given_up():
            if trio.current_time() - self._last_progress_at >= IDLE_TIMEOUT_S:
                self.is_broken = True
                break
            await trio.sleep(CHECK_INTERVAL_S)
        scope.cancel()


class TunnelsService(service.Service):
    """Accepts tunnels of peers."""

    name = names.TUNNELS

    def __init__(self, cfg: settings.Settings, network: transport.Network) -> None:
        """Creates the service.

        Args:
            cfg: Settings of the router.
            network: Network of the routers and the upstreams.
        """
        self._cfg = cfg
        self._network = network
        self._open_connections = 0
        self._pending = 0
        self._tunnels = 0
        self._address: ids.Address | None = None

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._kernel = kernel
        self._directory: directory_service.DirectoryService = kernel.find(names.UPSTREAMS)
        self._links: links_service.LinksService = kernel.find(names.LINKS)
        self._telemetry: telemetry_service.TelemetryService = kernel.find(names.TELEMETRY)
        if not self._cfg.peers.max_tunnels:
            task_status.started()
            return
        async with trio.open_nursery() as nursery:
            self._address = await nursery.start(
                self._network.serve, self._cfg.listen.tunnels, self._serve
            )
            peers: peers_service.PeersService = kernel.find(names.PEERS)
            peers.set_tunnel_port(settings.split_address(self._address)[1])
            task_status.started()

    @property
    def open_connections(self) -> int:
        """Number of connections of peers that are open, with those that were not answered yet."""
        return self._open_connections

    @property
    def listen_address(self) -> ids.Address | None:
        """See `service.Service.listen_address`."""
        return self._address

    async def drain(self) -> None:
        """Waits until the tunnels have ended; none is opened since the router began to stop.

        Peers use no further tunnels of a router that tells them that it is leaving.
        """
        with trio.move_on_after(MAX_DRAIN_S):
            while self._tunnels:
                await trio.sleep(DRAIN_POLL_S)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        """Serves one connection of a peer."""
        # A router that ends must not look like an upstream that has finished its answer.
        transport.reset_on_close(stream)
        transport.enable_keepalive(stream, UNREAD_TIMEOUT_MS)
        self._open_connections += 1
        try:
            await self._serve_tunnel(stream)
        except exceptions.ProtocolError as exc:
            _log.debug("tunnel_not_served", reason=str(exc))
        finally:
            self._open_connections -= 1
            await trio.aclose_forcefully(stream)

    async def _serve_tunnel(self, stream: trio.abc.Stream) -> None:
        if self._pending >= MAX_PENDING:
            return
        request = tunnels.TunnelRequest(stream)
        address = await self._receive(request)
        refusal = address if isinstance(address, tunnels.Outcome) else self._find_refusal(address)
        if refusal is not None:
            await self._refuse(request, stream, refusal)
            return
        assert not isinstance(address, tunnels.Outcome)
        self._tunnels += 1
        try:
            await self._open(request, stream, address)
        finally:
            self._tunnels -= 1

    async def _receive(self, request: tunnels.TunnelRequest) -> ids.Address | tunnels.Outcome:
        """Returns the address that is requested, or why no tunnel is opened."""
        self._pending += 1
        try:
            with trio.move_on_after(REQUEST_TIMEOUT_S):
                return await request.receive(self._cfg.peers.secret)
            return tunnels.Outcome.MALFORMED
        finally:
            self._pending -= 1

    async def _open(
        self, request: tunnels.TunnelRequest, stream: trio.abc.Stream, address: ids.Address
    ) -> None:
        """Opens a tunnel and carries its bytes until it ends."""
        started_at = trio.current_time()
        try:
            upstream = await self._network.connect(address, CONNECT_TIMEOUT_S)
        except exceptions.ConnectRefusedError:
            is_certain = await self._links.is_refusal_certain(address, started_at)
            outcome = tunnels.Outcome.REFUSED if is_certain else tunnels.Outcome.UNREACHABLE
            await self._refuse(request, stream, outcome)
            return
        except exceptions.ConnectError:
            await self._refuse(request, stream, tunnels.Outcome.UNREACHABLE)
            return
        transport.reset_on_close(upstream)
        try:
            await request.answer(tunnels.Outcome.OPEN)
            await self._carry(stream, upstream)
        finally:
            await trio.aclose_forcefully(upstream)

    def _find_refusal(self, address: ids.Address) -> tunnels.Outcome | None:
        """Returns why no tunnel to an address is opened, or None."""
        if address not in self._directory.addresses:
            return tunnels.Outcome.UNREGISTERED
        if self._kernel.is_stopping:
            return tunnels.Outcome.STOPPING
        if self._tunnels >= self._cfg.peers.max_tunnels:
            return tunnels.Outcome.FULL
        return tunnels.Outcome.LINKS_LOST if self._links.all_lost else None

    async def _refuse(
        self, request: tunnels.TunnelRequest, stream: trio.abc.Stream, outcome: tunnels.Outcome
    ) -> None:
        self._telemetry.count_event(f"tunnel_refused_{outcome.value}")
        transport.reset_on_close(stream, False)
        await request.answer(outcome)

    async def _carry(self, stream: trio.abc.Stream, upstream: trio.abc.Stream) -> None:
        self._telemetry.count_event("tunnel_carried")
        carrier = _Carrier(stream, upstream)
        try:
            await carrier.run()
            if not carrier.is_broken:
                transport.reset_on_close(stream, False)
                transport.reset_on_close(upstream, False)
        finally:
            self._telemetry.count_tunnel_bytes(carrier.bytes_carried)
