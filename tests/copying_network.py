"""Network on which upstreams write an extra answer before each answer on a kept connection."""

import trio

from tests import wrapping_network


def request_id(raw):
    """Returns the id that a raw request carries."""
    for line in raw.partition(b"\r\n\r\n")[0].split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"x-request-id":
            return value.strip()
    return b""


class _CopyingStream(wrapping_network.WrappedStream):
    """Receives an extra answer once a further request is sent."""

    def __init__(self, inner, network):
        super().__init__(inner, network)
        self._sent = 0
        self._received = b""
        self._extra = b""

    async def send_all(self, data):
        if self._sent and self._network.enabled and request_id(bytes(data)):
            self._extra = self._network.make_extra(bytes(data), self._received)
            self._network.extras += bool(self._extra)
        self._sent += 1
        self._received = b""
        await super().send_all(data)

    async def receive_some(self, max_bytes=None):
        if self._extra:
            await trio.sleep(self._network.delay_s)
            extra, self._extra = self._extra, b""
            return extra
        data = await super().receive_some(max_bytes)
        self._received += data
        return data


class CopyingNetwork(wrapping_network.WrappingNetwork):
    """Makes the connections to some addresses copying.

    Attributes:
        enabled: Whether extra answers are written.
        extras: Number of extra answers that were written.
        delay_s: Time after which an extra answer arrives.
    """

    stream_class = _CopyingStream

    def __init__(self, network, list_faulty, make_extra):
        """Replaces the network's connections.

        Args:
            network: The network.
            list_faulty: Returns the addresses of the faulty upstreams.
            make_extra: Returns an extra answer for a raw request and the previous answer.
        """
        super().__init__(network, list_faulty)
        self.enabled = True
        self.extras = 0
        self.delay_s = 0.0
        self.make_extra = make_extra
