"""Network on which some answers of upstreams are replaced by given bytes."""

import trio

from cicadapier._internal.protocols import transport


class _ReplacingStream(trio.abc.Stream, transport.PollableStream):
    """Router's end of a connection; receives a replacement of the answer, and then the end."""

    def __init__(self, inner, network):
        self._inner = inner
        self._network = network
        self._replacement = None

    @property
    def has_input(self):
        return transport.has_input(self._inner)

    async def send_all(self, data):
        self._replacement = self._network.make_replacement(bytes(data))
        self._network.asked += self._replacement is not None
        await self._inner.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self._inner.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        if self._replacement is None:
            return await self._inner.receive_some(max_bytes)
        await trio.sleep(self._network.delay_s)
        self._network.replaced += bool(self._replacement)
        replacement, self._replacement = self._replacement, b""
        return replacement

    async def aclose(self):
        await self._inner.aclose()


class ReplacingNetwork:
    """Replaces answers on the connections to upstreams.

    Attributes:
        asked: Number of requests whose answers are replaced.
        replaced: Number of replacements that were received, except for empty ones.
        delay_s: Time until a replacement arrives.
    """

    def __init__(self, network, list_upstreams, make_replacement):
        """Replaces the network's connections.

        Args:
            network: The network.
            list_upstreams: Returns the addresses of the upstreams.
            make_replacement: Returns the replacement for a raw request; None to keep its answer.
        """
        self.asked = 0
        self.replaced = 0
        self.delay_s = 0.005
        self.make_replacement = make_replacement
        self._list_upstreams = list_upstreams
        self._connect = network.connect
        network.connect = self.connect

    async def connect(self, address, timeout_s):
        stream = await self._connect(address, timeout_s)
        if address not in self._list_upstreams():
            return stream
        return _ReplacingStream(stream, self)


def install(world, make_replacement):
    """Replaces answers of all upstreams of a world with forwarded routes."""
    return ReplacingNetwork(
        world.network,
        lambda: {upstream.entry.address for upstream in world.upstreams.values()},
        make_replacement,
    )
