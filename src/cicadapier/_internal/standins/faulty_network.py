"""Networks for the stand-ins: one that injects faults and one that runs in memory."""

import dataclasses
import random

import trio
import trio.testing

from cicadapier._internal.models import ids
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import transport
from cicadapier._internal.standins import faults

POLL_S = 0.05  # Interval at which a cut-off stream checks whether the fault has ended.


@dataclasses.dataclass(slots=True)
class Locations:
    """Failure domain and name of the server at each address.

    Attributes:
        domains: Failure domains by address; `platform` for the platform.
        names: Upstream ids, VM ids or `platform`, by address.
    """

    domains: dict[ids.Address, str] = dataclasses.field(default_factory=dict)
    names: dict[ids.Address, str] = dataclasses.field(default_factory=dict)

    def add(self, address: ids.Address, domain: str, name: str) -> None:
        """Adds the server that listens on an address."""
        self.domains[address] = domain
        self.names[address] = name


class FaultyNetwork(transport.Network):
    """Network of one failure domain, which injects partitions and silent connections.

    Without a fault, it passes all calls through to another network.
    """

    def __init__(
        self,
        inner: transport.Network,
        active_faults: faults.ActiveFaults,
        locations: Locations,
        domain: str,
    ) -> None:
        self._inner = inner
        self._active_faults = active_faults
        self._locations = locations
        self._domain = domain

    def is_partitioned(self, address: ids.Address) -> bool:
        """Returns whether a partition separates this failure domain from an address."""
        domain = self._locations.domains.get(address, self._domain)
        return self._active_faults.is_partitioned(self._domain, domain)

    def is_silenced(self, address: ids.Address, opened_at: float) -> bool:
        """Returns whether a connection to an address is permanently silent."""
        name = self._locations.names.get(address, address)
        return self._active_faults.is_silenced(name, opened_at)

    async def connect(self, address: ids.Address, timeout_s: float) -> trio.abc.Stream:
        """See `transport.Network.connect`."""
        if self.is_partitioned(address):
            await trio.sleep(timeout_s)
            raise exceptions.ConnectError(f"{address}: no answer within {timeout_s} s")
        stream = await self._inner.connect(address, timeout_s)
        return _FaultyStream(stream, self, address)

    async def serve(
        self,
        address: ids.Address,
        handler: transport.StreamHandler,
        task_status: "trio.TaskStatus[ids.Address]" = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """See `transport.Network.serve`."""
        await self._inner.serve(address, handler, task_status=task_status)


class _FaultyStream(trio.abc.Stream, transport.PollableStream, transport.ResettableStream):
    """A stream that drops sent data and receives nothing while it is cut off."""

    def __init__(
        self, inner: trio.abc.Stream, network: FaultyNetwork, address: ids.Address
    ) -> None:
        self._inner = inner
        self._network = network
        self._address = address
        self._opened_at = trio.current_time()
        self._closed = False

    def _is_cut_off(self) -> bool:
        if self._network.is_silenced(self._address, self._opened_at):
            return True
        return self._network.is_partitioned(self._address)

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Sends data, or drops it while the stream is cut off."""
        if self._is_cut_off():
            await trio.lowlevel.checkpoint()
            return
        await self._inner.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """See `trio.abc.SendStream.wait_send_all_might_not_block`."""
        await self._inner.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        """Receives data; nothing arrives while the stream is cut off."""
        data = await self._inner.receive_some(max_bytes)
        while self._is_cut_off():
            await trio.sleep(POLL_S)
            if self._closed:
                raise trio.ClosedResourceError
        return data

    @property
    def has_input(self) -> bool:
        """See `transport.PollableStream.has_input`."""
        return not self._is_cut_off() and transport.has_input(self._inner)

    def reset_on_close(self, resets: bool = True) -> None:
        """See `transport.ResettableStream.reset_on_close`."""
        transport.reset_on_close(self._inner, resets)

    async def aclose(self) -> None:
        """Closes the stream."""
        self._closed = True
        await self._inner.aclose()


@dataclasses.dataclass(slots=True)
class _StreamState:
    """State that the two ends of a memory stream share.

    Attributes:
        server_closed: Whether the server has closed its end.
        was_reset: Whether an end has closed the stream by a reset.
    """

    server_closed: bool = False
    was_reset: bool = False


class _StreamWrapper(trio.abc.Stream, transport.ResettableStream):
    """One end of a memory stream; passes calls through to another stream until a reset."""

    def __init__(self, inner: trio.abc.Stream, state: _StreamState) -> None:
        self._inner = inner
        self._state = state
        self._resets_on_close = False

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        await self._inner.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        await self._inner.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        data = await self._inner.receive_some(max_bytes)
        if self._state.was_reset:
            raise trio.BrokenResourceError("connection reset by peer")
        return data

    def reset_on_close(self, resets: bool = True) -> None:
        """See `transport.ResettableStream.reset_on_close`."""
        self._resets_on_close = resets

    async def aclose(self) -> None:
        if self._resets_on_close:
            self._state.was_reset = True
        await self._inner.aclose()


class _ClientStream(_StreamWrapper, transport.PollableStream):
    """Client end; an end of file is ready to read once the server has closed its end."""

    @property
    def has_input(self) -> bool:
        return self._state.server_closed or self._state.was_reset


class _ServerStream(_StreamWrapper):
    """Server end, which records that it is closed."""

    async def aclose(self) -> None:
        self._state.server_closed = True
        await super().aclose()


class MemoryNetwork(transport.Network):
    """Network of in-memory streams, for tests on a simulated clock."""

    def __init__(self, seed: int = 0, latency_s: float = 0.0005) -> None:
        self._handlers: dict[ids.Address, tuple[transport.StreamHandler, trio.Nursery]] = {}
        self._rng = random.Random(seed)
        self._latency_s = latency_s
        self._next_port = 40_000

    def refuse_connections(self, address: ids.Address) -> None:
        """Refuses new connections to an address; open streams stay open."""
        self._handlers.pop(address, None)

    async def connect(self, address: ids.Address, timeout_s: float) -> trio.abc.Stream:
        """See `transport.Network.connect`."""
        await trio.sleep(self._latency_s * (1 + self._rng.random()))
        entry = self._handlers.get(address)
        if entry is None:
            raise exceptions.ConnectRefusedError(f"{address}: connection refused")
        handler, nursery = entry
        client, server = trio.testing.memory_stream_pair()
        state = _StreamState()
        nursery.start_soon(handler, _ServerStream(server, state))
        return _ClientStream(client, state)

    async def serve(
        self,
        address: ids.Address,
        handler: transport.StreamHandler,
        task_status: "trio.TaskStatus[ids.Address]" = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """See `transport.Network.serve`."""
        if address.endswith(":0"):
            self._next_port += 1
            address = ids.Address(f"{address.rpartition(':')[0]}:{self._next_port}")
        async with trio.open_nursery() as nursery:
            self._handlers[address] = (handler, nursery)
            try:
                task_status.started(address)
                await trio.sleep_forever()
            finally:
                self._handlers.pop(address, None)
