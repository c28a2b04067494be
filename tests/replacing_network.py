"""Network on which some answers of upstreams are replaced by given bytes."""

import trio

from tests import wrapping_network


class _ReplacingStream(wrapping_network.WrappedStream):
    """Receives a replacement of the answer, and then the end."""

    def __init__(self, inner, network):
        super().__init__(inner, network)
        self._replacement = None

    async def send_all(self, data):
        self._replacement = self._network.make_replacement(bytes(data))
        self._network.asked += self._replacement is not None
        await super().send_all(data)

    async def receive_some(self, max_bytes=None):
        if self._replacement is None:
            return await super().receive_some(max_bytes)
        await trio.sleep(self._network.delay_s)
        self._network.replaced += bool(self._replacement)
        replacement, self._replacement = self._replacement, b""
        return replacement


class ReplacingNetwork(wrapping_network.WrappingNetwork):
    """Replaces answers on the connections to upstreams.

    Attributes:
        asked: Number of requests whose answers are replaced.
        replaced: Number of replacements that were received, except for empty ones.
        delay_s: Time until a replacement arrives.
    """

    stream_class = _ReplacingStream

    def __init__(self, network, list_upstreams, make_replacement):
        """Replaces the network's connections.

        Args:
            network: The network.
            list_upstreams: Returns the addresses of the upstreams.
            make_replacement: Returns the replacement for a raw request; None to keep its answer.
        """
        super().__init__(network, list_upstreams)
        self.asked = 0
        self.replaced = 0
        self.delay_s = 0.005
        self.make_replacement = make_replacement


def install(world, make_replacement):
    """Replaces answers of all upstreams of a world with forwarded routes."""
    return ReplacingNetwork(
        world.network,
        lambda: {upstream.entry.address for upstream in world.upstreams.values()},
        make_replacement,
    )
