"""Links of one router to other processes, which can be cut while all others work."""

import collections
import collections.abc
import contextlib
import dataclasses
import enum
import functools

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import transport


class LinkFault(enum.Enum):
    """What happens to connections whose links are cut.

    Attributes:
        HANG: Connections carry nothing, and new ones get no answer until their timeout. What is
            sent is delivered after the cut, unless the sender discards it by a reset.
        RESET: Open connections are reset at once, and new ones are refused at once.
        REFUSE_NEW: Open connections go on, and new ones are refused at once.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE_NEW = "refuse_new"


class Direction(enum.Flag):
    """Directions in which connections that hang carry nothing."""

    TO_UPSTREAM = enum.auto()
    FROM_UPSTREAM = enum.auto()
    BOTH = TO_UPSTREAM | FROM_UPSTREAM


class LiveAddresses(collections.abc.Collection[ids.Address]):
    """Addresses that a function returns whenever they are needed."""

    def __init__(
        self, list_addresses: collections.abc.Callable[[], collections.abc.Collection[ids.Address]]
    ) -> None:
        self._list_addresses = list_addresses

    def __contains__(self, address: object) -> bool:
        return address in self._list_addresses()

    def __iter__(self) -> collections.abc.Iterator[ids.Address]:
        return iter(self._list_addresses())

    def __len__(self) -> int:
        return len(self._list_addresses())


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A cut of the links to some addresses.

    Attributes:
        fault: What happens to the connections.
        addresses: Addresses; the collection may change while they are cut.
        direction: Directions in which connections hang.
    """

    fault: LinkFault
    addresses: collections.abc.Collection[ids.Address]
    direction: Direction


@dataclasses.dataclass(frozen=True, slots=True)
class _Delay:
    """Time on trio's clock until which what is sent to some addresses is not delivered."""

    until: float
    addresses: collections.abc.Collection[ids.Address]


class RouterLinks(transport.Network):
    """Network of one router, whose links to some addresses can be cut.

    Without a cut, it passes all calls through to another network.
    """

    def __init__(self, inner: transport.Network) -> None:
        self._inner = inner
        self._cuts: list[Cut] = []
        self._delays: list[_Delay] = []
        self._streams: dict[_LinkStream, None] = {}

    def cut(
        self,
        fault: LinkFault,
        addresses: collections.abc.Collection[ids.Address],
        *,
        direction: Direction = Direction.BOTH,
    ) -> Cut:
        """Cuts the links to some addresses, in addition to those that are cut already.

        Args:
            fault: What happens to the connections.
            addresses: Addresses; the collection may change while they are cut.
            direction: Directions that are cut; matters for `LinkFault.HANG` only.

        Returns:
            The cut, for `heal`.
        """
        cut = Cut(fault, addresses, direction)
        self._cuts.append(cut)
        if fault is LinkFault.RESET:
            for stream in list(self._streams):
                if stream.address in addresses:
                    stream.break_connection()
        return cut

    def heal(self, cut: Cut | None = None) -> None:
        """Ends a cut if it is in force, or all cuts."""
        self._cuts = [other for other in self._cuts if cut and other is not cut]
        for stream in self._streams:
            stream.wake()

    def delay_delivery_until(
        self, time: float, addresses: collections.abc.Collection[ids.Address]
    ) -> None:
        """Delays what is sent from now on to some addresses, also if the sender closes meanwhile.

        Args:
            time: Time on trio's clock at which all of it is delivered.
            addresses: Addresses; the collection may change until then.
        """
        self._delays.append(_Delay(time, addresses))

    def is_held(self, address: ids.Address, direction: Direction) -> bool:
        """Returns whether connections to an address carry nothing in a direction."""
        return any(
            cut.fault is LinkFault.HANG and direction in cut.direction and address in cut.addresses
            for cut in self._cuts
        )

    def find_delivery_time(self, address: ids.Address) -> float:
        """Returns the time on trio's clock from which what is sent now may be delivered."""
        times = [delay.until for delay in self._delays if address in delay.addresses]
        return max([trio.current_time(), *times])

    def forget(self, stream: "_LinkStream") -> None:
        """Removes a connection that has ended."""
        self._streams.pop(stream, None)

    async def connect(self, address: ids.Address, timeout_s: float) -> trio.abc.Stream:
        """See `transport.Network.connect`."""
        fault = self._find_fault(address)
        if fault is LinkFault.HANG:
            await trio.sleep(timeout_s)
            raise exceptions.ConnectError(f"{address}: no answer within {timeout_s} s")
        if fault is not None:
            await trio.lowlevel.checkpoint()
            raise exceptions.ConnectRefusedError(f"{address}: connection refused")
        stream = _LinkStream(await self._inner.connect(address, timeout_s), self, address)
        self._streams[stream] = None
        if self._find_fault(address) is LinkFault.RESET:
            stream.break_connection()
        return stream

    def _find_fault(self, address: ids.Address) -> LinkFault | None:
        """Returns the fault of the newest cut of the link to an address."""
        faults = [cut.fault for cut in self._cuts if address in cut.addresses]
        return faults[-1] if faults else None

    async def serve(
        self,
        address: ids.Address,
        handler: transport.StreamHandler,
        task_status: "trio.TaskStatus[ids.Address]" = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """See `transport.Network.serve`."""
        await self._inner.serve(address, handler, task_status=task_status)


@dataclasses.dataclass(frozen=True, slots=True)
class _Delivery:
    """Something that is sent to the upstream later.

    Attributes:
        at: Earliest time on trio's clock.
        deliver: Sends it.
    """

    at: float
    deliver: collections.abc.Callable[[], collections.abc.Awaitable[None]]


class _LinkStream(trio.abc.Stream, transport.PollableStream, transport.ResettableStream):
    """Router's end of a connection, which holds what a cut or a delay keeps back.

    Attributes:
        address: Address of the upstream.
    """

    def __init__(self, inner: trio.abc.Stream, links: RouterLinks, address: ids.Address) -> None:
        self.address = address
        self._inner = inner
        self._links = links
        self._outbox: collections.deque[_Delivery] = collections.deque()
        self._is_delivering = False
        self._is_closed = False
        self._is_broken = False
        self._resets_on_close = False
        # Data that has arrived and was not returned to a reader yet; empty for the end.
        self._arrived: bytes | bytearray | None = None
        self._read_scope: trio.CancelScope | None = None
        self._changed = trio.lowlevel.ParkingLot()

    def wake(self) -> None:
        """Wakes the tasks that wait for the end of a cut."""
        self._changed.unpark_all()

    def break_connection(self) -> None:
        """Resets the connection at both ends."""
        self._is_broken = True
        self._outbox.clear()
        self._end_read()
        trio.lowlevel.spawn_system_task(self._reset_inner)

    def reset_on_close(self, resets: bool = True) -> None:
        """See `transport.ResettableStream.reset_on_close`."""
        self._resets_on_close = resets

    @property
    def has_input(self) -> bool:
        """See `transport.PollableStream.has_input`."""
        if self._is_broken:
            return True
        if self._links.is_held(self.address, Direction.FROM_UPSTREAM):
            return False
        return self._arrived is not None or transport.has_input(self._inner)

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """See `trio.abc.SendStream.send_all`."""
        self._check_open()
        if not self._must_queue():
            await self._inner.send_all(data)
            return
        await trio.lowlevel.checkpoint()
        self._check_open()
        self._queue(functools.partial(self._inner.send_all, bytes(data)))

    async def wait_send_all_might_not_block(self) -> None:
        """See `trio.abc.SendStream.wait_send_all_might_not_block`."""
        self._check_open()
        if self._must_queue():
            await trio.lowlevel.checkpoint()
            return
        await self._inner.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        """See `trio.abc.ReceiveStream.receive_some`."""
        self._check_open()
        # A reset or a close by another task cancels the read.
        with trio.CancelScope() as self._read_scope:
            data = await self._receive(max_bytes)
        self._check_open()
        return data

    async def aclose(self) -> None:
        """Closes the router's end; the upstream's end gets the rest after a cut or a delay."""
        if self._is_closed:
            await trio.lowlevel.checkpoint()
            return
        self._is_closed = True
        self._end_read()
        if self._is_broken:
            await trio.lowlevel.checkpoint()
            return
        close = self._close_inner
        if self._resets_on_close:
            self._outbox.clear()
            close = self._reset_inner
        if not self._must_queue():
            await close()
            return
        self._queue(close)
        await trio.lowlevel.checkpoint()

    def _check_open(self) -> None:
        if self._is_closed:
            raise trio.ClosedResourceError
        if self._is_broken:
            raise trio.BrokenResourceError("connection reset by peer")

    def _end_read(self) -> None:
        if self._read_scope:
            self._read_scope.cancel()

    async def _receive(self, max_bytes: int | None) -> bytes | bytearray:
        if self._arrived is None:
            try:
                self._arrived = await self._inner.receive_some(max_bytes)
            except trio.BrokenResourceError:
                await self._wait_while_held(Direction.FROM_UPSTREAM)
                raise
        await self._wait_while_held(Direction.FROM_UPSTREAM)
        data = self._arrived[:max_bytes]
        rest = self._arrived[len(data) :]
        self._arrived = rest or None
        return data

    async def _wait_while_held(self, direction: Direction) -> None:
        while self._links.is_held(self.address, direction):
            await self._changed.park()

    def _must_queue(self) -> bool:
        """Returns whether what is sent now is held."""
        if self._is_delivering or self._links.is_held(self.address, Direction.TO_UPSTREAM):
            return True
        return self._links.find_delivery_time(self.address) > trio.current_time()

    def _queue(
        self, deliver: collections.abc.Callable[[], collections.abc.Awaitable[None]]
    ) -> None:
        self._outbox.append(_Delivery(self._links.find_delivery_time(self.address), deliver))
        if not self._is_delivering:
            self._is_delivering = True
            # A task of the router would end with the router, and what it has sent would be lost.
            trio.lowlevel.spawn_system_task(self._deliver)

    async def _deliver(self) -> None:
        while self._outbox:
            await self._wait_while_held(Direction.TO_UPSTREAM)
            if self._outbox and self._outbox[0].at > trio.current_time():
                await trio.sleep_until(self._outbox[0].at)
            elif self._outbox:
                delivery = self._outbox.popleft()
                with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                    await delivery.deliver()
        self._is_delivering = False

    async def _close_inner(self) -> None:
        self._links.forget(self)
        await self._inner.aclose()

    async def _reset_inner(self) -> None:
        self._links.forget(self)
        transport.reset_on_close(self._inner)
        await self._inner.aclose()
