"""Network whose connections to some addresses are wrapped, so that tests can tamper with them."""

import trio

from cicadapier._internal.protocols import transport


class WrappedStream(trio.abc.Stream, transport.PollableStream, transport.ResettableStream):
    """Router's end of a connection; passes all calls through."""

    def __init__(self, inner, network):
        self._inner = inner
        self._network = network

    @property
    def has_input(self):
        return transport.has_input(self._inner)

    def reset_on_close(self):
        transport.reset_on_close(self._inner)

    async def send_all(self, data):
        await self._inner.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self._inner.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        return await self._inner.receive_some(max_bytes)

    async def aclose(self):
        await self._inner.aclose()


class WrappingNetwork:
    """Wraps the connections to some addresses.

    Attributes:
        opened: Number of connections that were opened to the addresses.
    """

    stream_class = WrappedStream

    def __init__(self, network, list_addresses):
        """Replaces the network's connections.

        Args:
            network: The network.
            list_addresses: Returns the addresses.
        """
        self.opened = 0
        self._list_addresses = list_addresses
        self._connect = network.connect
        network.connect = self.connect

    async def connect(self, address, timeout_s):
        stream = await self._connect(address, timeout_s)
        if address not in self._list_addresses():
            return stream
        self.opened += 1
        return self.stream_class(stream, self)
