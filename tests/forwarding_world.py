"""The users' platform simulated in memory on a simulated clock, and callers for it."""

import dataclasses
import itertools

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.platform import server_formats
from cicadapier._internal.protocols import event_stream
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import http_client
from cicadapier._internal.standins import faulty_network
from cicadapier._internal.standins import forwarding_deployment
from cicadapier._internal.standins import forwarding_store
from tests import support

SETTLE_S = 0.5
RECEIVE_TIMEOUT_S = 30.0


@dataclasses.dataclass
class Reply:
    """Response that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes
    broken: bool = False
    took_s: float = 0.0

    @property
    def numbers(self):
        """Event ids of a streamed answer."""
        return [event.number for event in event_stream.Splitter().feed(self.body)]


class _CuttablePeers(support.MemoryPeers):
    """Connections to the other routers, which the world may cut."""

    def __init__(self, handlers, world):
        super().__init__(handlers)
        self._world = world

    async def send_datagram(self, addresses, message):
        if isinstance(message, self._world.lost_datagrams):
            return
        reached = [at for at in addresses if self._world.peers_reach(self.address, at)]
        await super().send_datagram(reached, message)

    def _find(self, address):
        if not self._world.peers_reach(self.address, address):
            raise exceptions.ConnectError(f"{address}: cut off")
        return super()._find(address)


class World(forwarding_deployment.ForwardingDeployment):
    """The simulated store, upstreams and routers, with callers.

    Attributes:
        first_event: Number of the first event of each stream.
        event_steps: Steps from the number of each event to the next, over and over.
    """

    first_event = 1
    event_steps = (1,)

    def __init__(self, seed=0):
        handlers = {}
        network = faulty_network.MemoryNetwork(seed)
        super().__init__(network, lambda: _CuttablePeers(handlers, self), trio.current_time, seed)
        self._peer_handlers = handlers
        self.cut_peers = set()  # Indexes of routers that are cut off from the others.
        self.lost_datagrams = ()  # Types of the messages that are lost between routers.
        self._requests = 0

    async def add_upstream(self, *args, **options):
        """See `ForwardingDeployment.add_upstream`."""
        upstream = await super().add_upstream(*args, **options)
        self._set_numbering(upstream)
        return upstream

    def number_from(self, first_event, event_steps=(1,)):
        """Makes all streams that begin from now on number their events in some way."""
        self.first_event = first_event
        self.event_steps = event_steps
        for upstream in self.upstreams.values():
            self._set_numbering(upstream)

    def _set_numbering(self, upstream):
        upstream.first_event = self.first_event
        upstream.event_steps = self.event_steps

    def event_numbers(self, events):
        """Returns the numbers of the events of a complete stream."""
        steps = itertools.islice(itertools.cycle(self.event_steps), events - 1)
        return list(itertools.accumulate(steps, initial=self.first_event))

    async def send(
        self,
        method,
        host,
        path,
        body=b"",
        key="key-1",
        router=0,
        request=None,
        model="",
        parts="",
        time_left_ms=3000,
        output_tokens=8,
        extra=(),
    ):
        """Sends a request on a new connection."""
        self._requests += 1
        request = f"r{self._requests}" if request is None else request
        address = self.routers[router].callers.address
        started_at = trio.current_time()
        headers = server_formats.make_request_headers(
            ids.RequestId(request), host, key, time_left_ms, model, parts, output_tokens
        )
        reply = await self._exchange(
            address, http_client.RequestHead(method, path, [*headers, *extra]), body
        )
        reply.took_s = trio.current_time() - started_at
        return reply

    async def ask(self, path="/ask/x", body=b"prompt", **options):
        """Requests a streamed answer from the model."""
        options = {"model": forwarding_deployment.MODEL, "parts": "aa:600,bb:300", **options}
        return await self.send("POST", "lm", path, body, **options)

    def partition_peers(self):
        """Cuts the routers off from each other permanently."""
        self._peer_handlers.clear()

    def peers_reach(self, *addresses):
        """Returns whether none of the routers at these addresses is cut off from the others."""
        cut = {self.routers[index].peers.address for index in self.cut_peers}
        return not cut.intersection(addresses)

    async def suspend(self, index, suspended_s, meanwhile):
        """Suspends the VM of a router while an async function runs.

        The router's clock of the time since the VM booted advances by `suspended_s`; trio's clock
        advances only by the time for which the function runs, in which the router is cut off. Its
        tasks do run meanwhile.
        """
        endpoint = self.store_endpoints[index]
        endpoint.faults.add(forwarding_store.StoreFault.SILENT)
        self.cut_peers.add(index)
        before = trio.current_time()
        await meanwhile()
        missing_s = suspended_s - (trio.current_time() - before)
        self.suspended_s[index] = self.suspended_s.get(index, 0.0) + max(0.0, missing_s)
        self.cut_peers.discard(index)
        endpoint.faults.clear()

    def stop_later(self, name, after_s):
        """Stops an upstream after a delay."""
        self._scopes[name].deadline = trio.current_time() + after_s

    async def readiness_status(self, router=0):
        """Returns the status of a readiness probe, as the load balancer gets it."""
        address = self.routers[router].readiness.address
        head = http_client.RequestHead("GET", "/readyz", [])
        return (await self._exchange(address, head, b"")).status

    def runs_for(self, request):
        """Returns the runs of a request."""
        return [run for run in self.runs if run.request == request]

    async def _exchange(self, address, head, body):
        try:
            stream = await self.network.connect(address, 1.0)
        except exceptions.ConnectError:
            return Reply(0, {}, b"", True)
        conn = http_client.ClientConnection(stream, address)
        try:
            await conn.send(head, body)
            return await receive(conn)
        except exceptions.ProtocolError:
            return Reply(0, {}, b"", True)
        finally:
            await conn.close()


async def receive(conn):
    """Reads an answer from a connection."""
    head = await conn.receive_head(RECEIVE_TIMEOUT_S)
    headers = {k.decode(): v.decode("latin-1") for k, v in head.headers}
    parts = []
    broken = False
    try:
        while (part := await conn.receive_data(RECEIVE_TIMEOUT_S)) is not None:
            parts.append(part)
    except exceptions.ProtocolError:
        broken = True
    return Reply(head.status, headers, b"".join(parts), broken)


def run_in_world(test, seed=0, **options):
    """Runs a test in a world that has started."""

    async def main():
        world = World(seed)
        async with trio.open_nursery() as nursery:
            await world.start(nursery, **options)
            await trio.sleep(SETTLE_S)
            await test(world)
            nursery.cancel_scope.cancel()

    support.run(main, seed=seed)


def inject_fault(world, prefix, fault):
    """Adds a fault to all upstreams whose names start with a prefix."""
    for name, upstream in world.upstreams.items():
        if name.startswith(prefix):
            upstream.faults.add(fault)
