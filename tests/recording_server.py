"""Servers that record what they receive over the links of a router."""

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.standins import faulty_network
from cicadapier._internal.standins import router_links
from tests import support

UPSTREAM = ids.Address("127.0.0.1:7001")
OTHER = ids.Address("127.0.0.1:7002")


class Server:
    """Server that records what it receives, each with its time.

    Attributes:
        received: Time and data, `end` or `reset`, in order.
        streams: Its ends of the connections.
    """

    def __init__(self, network, address):
        self.received = []
        self.streams = []
        self._network = network
        self._address = address

    @property
    def times(self):
        return [round(at, 2) for at, _ in self.received]

    @property
    def contents(self):
        return [content for _, content in self.received]

    async def run(self, task_status):
        await self._network.serve(self._address, self._record, task_status=task_status)

    async def _record(self, stream):
        self.streams.append(stream)
        data = b"-"
        while data:
            try:
                data = await stream.receive_some()
            except trio.BrokenResourceError:
                self.received.append((trio.current_time(), "reset"))
                return
            except trio.ClosedResourceError:
                return
            self.received.append((trio.current_time(), bytes(data) or "end"))


def run(check):
    """Runs a check with the links of a router and a server at each address."""

    async def main():
        network = faulty_network.MemoryNetwork()
        async with trio.open_nursery() as nursery:
            servers = [Server(network, address) for address in (UPSTREAM, OTHER)]
            for server in servers:
                await nursery.start(server.run)
            await check(router_links.RouterLinks(network), *servers)
            nursery.cancel_scope.cancel()

    support.run(main)


async def settle():
    """Lets everything happen that needs no time to pass."""
    await trio.sleep(0.001)


async def read(stream):
    """Returns the next data of a stream, `end` or `reset`, and the time at which it was read."""
    try:
        data = bytes(await stream.receive_some()) or "end"
    except trio.BrokenResourceError:
        data = "reset"
    return data, trio.current_time()
