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
CHUNK_BYTES = 16_384
MAX_PENDING = 64  # Connections beyond `max_tunnels` whose request is answered, with a refusal.

_log = structlog.get_logger()


class _Carrier:
    """Carries the bytes of one tunnel in both directions until one end closes it.

    What a router has sent and given up since is not carried on, also if this router stood still
    meanwhile or the upstream takes no bytes.

    Attributes:
        bytes_carried: Number of bytes that were carried.
        is_broken: Whether an end reset the connection.
    """

    def __init__(self, router: trio.abc.Stream, upstream: trio.abc.Stream) -> None:
        self.bytes_carried = 0
        self.is_broken = False
        self._router = router
        self._upstream = upstream
        self._last_progress_at = trio.current_time()

    async def run(self) -> None:
        """Carries bytes; returns once either end has closed or reset its connection."""
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(self._copy, self._router, self._upstream, scope)
            nursery.start_soon(self._copy, self._upstream, self._router, scope)
            nursery.start_soon(self._end_if_unused, scope)

    async def _copy(
        self, source: trio.abc.Stream, sink: trio.abc.Stream, scope: trio.CancelScope
    ) -> None:
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                if self._is_given_up():
                    break
                await sink.send_all(data)
                self.bytes_carried += len(data)
                self._last_progress_at = trio.current_time()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.is_broken = True
        scope.cancel()

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

    def __init__(
        self,
        cfg: settings.Settings,
        listen_network: transport.Network,
        connect_network: transport.Connector,
    ) -> None:
        self._cfg = cfg
        self._listen_network = listen_network
        self._connect_network = connect_network
        self._open_tunnels = 0
        self._is_stopping = False
        self._address: ids.Address | None = None

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._directory: directory_service.DirectoryService = kernel.find(names.UPSTREAMS)
        self._links: links_service.LinksService = kernel.find(names.LINKS)
        self._telemetry: telemetry_service.TelemetryService = kernel.find(names.TELEMETRY)
        if not self._cfg.peers.max_tunnels:
            task_status.started()
            return
        async with trio.open_nursery() as nursery:
            self._address = await nursery.start(
                self._listen_network.serve, self._cfg.listen.tunnels, self._serve
            )
            peers: peers_service.PeersService = kernel.find(names.PEERS)
            peers.set_tunnel_port(settings.split_address(self._address)[1])
            task_status.started()

    @property
    def listen_address(self) -> ids.Address | None:
        """See `service.Service.listen_address`."""
        return self._address

    async def drain(self) -> None:
        """Opens no further tunnels; those that are open go on until the process ends."""
        self._is_stopping = True

    async def _serve(self, stream: trio.abc.Stream) -> None:
        """Serves one connection of a peer."""
        # A router that ends must not look like an upstream that has finished its answer.
        transport.reset_on_close(stream)
        transport.enable_keepalive(stream)
        self._open_tunnels += 1
        try:
            await self._serve_tunnel(stream)
        except exceptions.ProtocolError as exc:
            _log.debug("tunnel_not_served", reason=str(exc))
        finally:
            self._open_tunnels -= 1
            await trio.aclose_forcefully(stream)

    async def _serve_tunnel(self, stream: trio.abc.Stream) -> None:
        if self._open_tunnels > self._cfg.peers.max_tunnels + MAX_PENDING:
            return
        request = tunnels.TunnelRequest(stream)
        address: ids.Address | tunnels.Outcome = tunnels.Outcome.MALFORMED
        with trio.move_on_after(REQUEST_TIMEOUT_S):
            address = await request.receive(self._cfg.peers.secret)
        if isinstance(address, tunnels.Outcome):
            await self._refuse(request, stream, address)
            return
        refusal = self._find_refusal(address)
        if refusal is not None:
            await self._refuse(request, stream, refusal)
            return
        try:
            upstream = await self._connect_network.connect(address, CONNECT_TIMEOUT_S)
        except exceptions.ConnectRefusedError:
            await self._refuse(request, stream, tunnels.Outcome.REFUSED)
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
        if self._is_stopping:
            return tunnels.Outcome.STOPPING
        if self._open_tunnels > self._cfg.peers.max_tunnels:
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
