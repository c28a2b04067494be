"""Network on which upstreams write an extra answer before each answer on a kept connection."""

import trio

from cicadapier._internal.protocols import transport


def request_id(raw):
    """Returns the id that a raw request carries."""
    for line in raw.partition(b"\r\n\r\n")[0].split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"x-request-id":
            return value.strip()
    return b""


class _CopyingStream(trio.abc.Stream, transport.PollableStream):
    """Router's end of a connection; receives an extra answer once a further request is sent."""

    def __init__(self, inner, network):
        self._inner = inner
        self._network = network
        self._sent = 0
        self._received = b""
        self._extra = b""

    @property
    def has_input(self):
        return transport.has_input(self._inner)

    async def send_all(self, data):
        if self._sent and self._network.enabled and request_id(bytes(data)):
            self._extra = self._network.make_extra(bytes(data), self._received)
            self._network.extras += bool(self._extra)
        self._sent += 1
        self._received = b""
        await self._inner.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self._inner.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        if self._extra:
            await trio.sleep(self._network.delay_s)
            extra, self._extra = self._extra, b""
            return extra
        data = await self._inner.receive_some(max_bytes)
        self._received += data
        return data

    async def aclose(self):
        await self._inner.aclose()


class CopyingNetwork:
    """Makes the connections to some addresses copying.

    Attributes:
        enabled: Whether extra answers are written.
        extras: Number of extra answers that were written.
        delay_s: Time after which an extra answer arrives.
        opened: Number of connections that were opened to the addresses.
    """

    def __init__(self, network, list_faulty, make_extra):
        """Replaces the network's connections.

        Args:
            network: The network.
            list_faulty: Returns the addresses of the faulty upstreams.
            make_extra: Returns an extra answer for a raw request and the previous answer.
        """
        self.enabled = True
        self.extras = 0
        self.delay_s = 0.0
        self.opened = 0
        self.make_extra = make_extra
        self._list_faulty = list_faulty
        self._connect = network.connect
        network.connect = self.connect

    async def connect(self, address, timeout_s):
        stream = await self._connect(address, timeout_s)
        if address not in self._list_faulty():
            return stream
        self.opened += 1
        return _CopyingStream(stream, self)
