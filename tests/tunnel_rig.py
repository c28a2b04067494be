"""A router that carries tunnels, alone, with upstreams that tests write as handlers of streams."""

import contextlib
import functools

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import transport
from cicadapier._internal.protocols import tunnels
from cicadapier._internal.services import names
from cicadapier._internal.services import tunnels_service
from cicadapier._internal.standins import faulty_network
from tests import support

SECRET = "the routers' own"
ANY_PORT = ids.Address("127.0.0.1:0")
CONNECT_TIMEOUT_S = 1.0


class _Kernel:
    """Stands in for the kernel and for the services that the tunnels ask."""

    def __init__(self):
        self.addresses = set()
        self.all_lost = False
        self.is_stopping = False
        self.reaches_another = True
        self.tunnel_port = 0
        self.events = []
        self.tunnel_bytes = 0

    def find(self, name):
        assert name in (names.UPSTREAMS, names.LINKS, names.TELEMETRY, names.PEERS)
        return self

    def set_tunnel_port(self, port):
        self.tunnel_port = port

    async def is_refusal_certain(self, address, since):
        await trio.lowlevel.checkpoint()
        return self.reaches_another

    def count_event(self, name):
        self.events.append(name)

    def count_tunnel_bytes(self, size):
        self.tunnel_bytes += size


class Rig:
    """A service that carries tunnels, on a network.

    Attributes:
        network: The network.
        service: The service.
        kernel: What the service asks and counts.
    """

    def __init__(self, network, nursery, max_tunnels=4):
        cfg = settings.Settings(
            ids.VmId("vm-1"),
            ids.FailureDomainId("here"),
            listen=settings.Listen(*[ANY_PORT] * 6),
            peers=settings.Peers(secret=SECRET, max_tunnels=max_tunnels),
        )
        self.network = network
        self.kernel = _Kernel()
        self.service = tunnels_service.TunnelsService(cfg, network)
        self._nursery = nursery
        self._scope = trio.CancelScope()

    async def start(self):
        """Starts the service."""
        await self._nursery.start(self._run)

    async def _run(self, task_status):
        with self._scope:
            await self.service.run(self.kernel, task_status)

    def stop(self):
        """Ends the service and closes its sockets, as the end of its process does."""
        self._scope.cancel()

    async def add_upstream(self, handler, is_registered=True):
        """Starts an upstream that serves each connection with a function; returns its address."""
        serve = functools.partial(_serve_quietly, handler)
        address = await self._nursery.start(self.network.serve, ANY_PORT, serve)
        if is_registered:
            self.kernel.addresses.add(address)
        return address

    async def connect(self):
        """Opens a connection to the service, as peers do."""
        return await self.network.connect(self.service.listen_address, CONNECT_TIMEOUT_S)

    async def open(self, upstream):
        """Opens a tunnel to an upstream."""
        stream = await self.connect()
        outcome = await tunnels.request_tunnel(stream, upstream, SECRET)
        assert outcome is tunnels.Outcome.OPEN, outcome
        return stream

    async def ask(self, upstream, secret=SECRET):
        """Returns what the service says of a tunnel, which is closed again."""
        async with await self.connect() as stream:
            return await tunnels.request_tunnel(stream, upstream, secret)

    @property
    def open_connections(self):
        """Number of connections of peers that are open."""
        return self.service.open_connections


async def _serve_quietly(handler, stream):
    with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        async with stream:
            await handler(stream)


async def receive_all(stream):
    """Returns what arrives until a stream ends, and whether it was reset."""
    data = bytearray()
    try:
        while part := await stream.receive_some(65_536):
            data += part
    except trio.BrokenResourceError:
        return bytes(data), True
    return bytes(data), False


async def wait_until(is_true, timeout_s=2.0):
    """Waits until a condition holds; returns the time that it took.

    Raises:
        TooSlowError: It does not hold in time.
    """
    started_at = trio.current_time()
    with trio.fail_after(timeout_s):
        while not is_true():
            await trio.sleep(0.002)
    return trio.current_time() - started_at


def run_on_sockets(test, **options):
    """Runs a test with a service on real sockets and the real clock."""
    _run(trio.run, transport.TcpNetwork, test, options)


def run_in_memory(test, **options):
    """Runs a test with a service in memory on a simulated clock."""
    _run(support.run, faulty_network.MemoryNetwork, test, options)


def _run(run, make_network, test, options):
    async def main():
        async with trio.open_nursery() as nursery:
            rig = Rig(make_network(), nursery, **options)
            await rig.start()
            await test(rig)
            nursery.cancel_scope.cancel()

    run(main)
