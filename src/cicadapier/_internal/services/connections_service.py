"""Connection pool for upstreams.

A router whose link to an upstream is lost opens connections to it through a peer. An idle
connection is owned by the pool, and a connection in use by the task of one request. Ownership is
transferred with the message. A connection that timed out is never reused.
"""

import abc
import collections.abc
import dataclasses
import math

import trio

from cicadapier._internal.kernel import mailbox
from cicadapier._internal.kernel import service
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import held_bytes
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import transport
from cicadapier._internal.services import names
from cicadapier._internal.services import telemetry_service

MAX_IDLE_PER_ADDRESS = 64
MAX_IDLE_S = 4.0
IDLE_TIMEOUT_SHARE = 0.7
MAX_AGE_S = 120.0
SWEEP_INTERVAL_S = 1.0
DEADLINE_CHECK_INTERVAL_S = 0.2
# Answers that are kept as a whole, of all upstreams together.
MAX_HELD_ANSWER_BYTES = 33_554_432
# Number of upstreams among which their room is shared at least.
LEAST_HELD_UPSTREAMS = 2
MAX_SMALL_ANSWER_BYTES = 1_048_576  # Limit for answers to queries of the router itself.


@dataclasses.dataclass(frozen=True, slots=True)
class TakeIdle:
    """Requests an idle connection.

    Attributes:
        address: Address of the upstream.
        reply: Receives the connection, or None if none is idle.
    """

    address: ids.Address
    reply: "mailbox.Reply[http_client.ClientConnection | None]"


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnConnection:
    """Returns a reusable connection to the pool."""

    address: ids.Address
    conn: http_client.ClientConnection


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionFailed:
    """A connection to an address has failed; idle connections to it may be broken as well."""

    address: ids.Address


@dataclasses.dataclass(frozen=True, slots=True)
class LinkLost:
    """The link to an upstream is lost, so its idle direct connections may be dead.

    Attributes:
        address: Address of the upstream; None if the links to all upstreams are lost.
    """

    address: ids.Address | None


Message = TakeIdle | ReturnConnection | ConnectionFailed | LinkLost


class UpstreamLinks(transport.Connector):
    """Opens connections to upstreams, through a peer where the own link is lost."""

    @abc.abstractmethod
    async def connect_direct(self, address: ids.Address, timeout_s: float) -> trio.abc.Stream:
        """Opens a stream without a peer.

        Raises:
            ConnectError: As for `connect`.
        """

    @abc.abstractmethod
    def suits(self, address: ids.Address, peer: ids.VmId | None) -> bool:
        """Returns whether an idle connection to an upstream is one that would be opened now.

        Args:
            address: Address of the upstream.
            peer: Peer through which the connection was opened; None if it is direct.
        """


class DirectLinks(UpstreamLinks):
    """Opens all connections directly."""

    def __init__(self, network: transport.Connector) -> None:
        self._network = network

    async def connect(self, address: ids.Address, timeout_s: float) -> trio.abc.Stream:
        """See `transport.Connector.connect`."""
        return await self._network.connect(address, timeout_s)

    async def connect_direct(self, address: ids.Address, timeout_s: float) -> trio.abc.Stream:
        """See `UpstreamLinks.connect_direct`."""
        return await self._network.connect(address, timeout_s)

    def suits(self, address: ids.Address, peer: ids.VmId | None) -> bool:
        """See `UpstreamLinks.suits`."""
        return True


class LossListener(abc.ABC):
    """Is told of connections that upstreams, or the links to them, have ended."""

    @abc.abstractmethod
    def record_loss(self, address: ids.Address, alive_until: float) -> None:
        """Records that a connection ended before it was expected to.

        Args:
            address: Address of the upstream.
            alive_until: Time until which the process that held it is known to have lived.
        """


class ConnectionsService(service.Service):
    """Owns the idle connections to upstreams.

    Attributes:
        mailbox: Messages to the service.
        held_answers: Answers of upstreams that are kept as a whole.
    """

    name = names.CONNECTIONS

    def __init__(
        self,
        links: UpstreamLinks,
        telemetry: telemetry_service.TelemetryService | None = None,
        get_max_idle_s: collections.abc.Callable[[], float] | None = None,
    ) -> None:
        """Creates the service.

        Args:
            links: Opens connections.
            telemetry: Counts the connections.
            get_max_idle_s: Returns the longest time for which an idle connection is kept whose
                upstream states for how long it keeps it; None for `MAX_IDLE_S`.
        """
        self._telemetry = telemetry
        self._get_max_idle_s = get_max_idle_s
        self.mailbox: mailbox.Mailbox[Message] = mailbox.Mailbox()
        self.held_answers = held_bytes.HeldBytes[ids.Address](
            MAX_HELD_ANSWER_BYTES, LEAST_HELD_UPSTREAMS
        )
        self._links = links
        self._idle: dict[ids.Address, list[http_client.ClientConnection]] = {}
        self._failed_at: dict[ids.Address, float] = {}
        self._loss_listener: LossListener | None = None
        self._watched: set[http_client.ClientConnection] = set()

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._expire_late_reads)
            task_status.started()
            await self._serve_mailbox()

    async def _serve_mailbox(self) -> None:
        next_sweep = trio.current_time() + SWEEP_INTERVAL_S
        while True:
            message = await self.mailbox.receive_until(next_sweep)
            if message is None:
                await self._close_expired()
                next_sweep = trio.current_time() + SWEEP_INTERVAL_S
            else:
                await self._handle(message)

    async def acquire(self, address: ids.Address, timeout_s: float) -> http_client.ClientConnection:
        """Returns an idle connection or a new one, which the calling task then owns.

        Raises:
            ConnectError: No connection could be opened.
        """
        reason = "none_idle"
        while conn := await self._request_idle(address):
            if self._is_usable(address, conn, trio.current_time()):
                self._count("reused")
                return conn
            # Upstreams close idle connections, so this is no evidence against the other ones.
            reason = "closed_by_peer" if conn.is_stale else "idle_too_long"
            self._report_early_end(address, conn)
            await conn.close()
        return await self._open(address, timeout_s, reason)

    def set_loss_listener(self, listener: LossListener) -> None:
        """Sets who is told of connections that were lost."""
        self._loss_listener = listener

    def report_loss(self, address: ids.Address) -> None:
        """Reports that a connection in use was lost just now."""
        if self._loss_listener:
            self._loss_listener.record_loss(address, trio.current_time())

    def _report_early_end(self, address: ids.Address, conn: http_client.ClientConnection) -> None:
        """Reports an idle connection that its peer closed before it said it would."""
        idle_s = trio.current_time() - conn.idle_since
        if self._loss_listener and conn.is_stale and idle_s < conn.max_idle_s:
            self._loss_listener.record_loss(address, conn.idle_since)

    def _is_usable(
        self, address: ids.Address, conn: http_client.ClientConnection, now: float
    ) -> bool:
        if conn.is_stale or self._is_idle_too_long(conn, now):
            return False
        return self._links.suits(address, conn.peer)

    def _is_idle_too_long(self, conn: http_client.ClientConnection, now: float) -> bool:
        max_idle_s = MAX_IDLE_S
        if self._get_max_idle_s and not math.isinf(conn.max_idle_s):
            max_idle_s = self._get_max_idle_s()
        # The upstream must not close the connection while the next request is in transit.
        return now - conn.idle_since > min(max_idle_s, conn.max_idle_s * IDLE_TIMEOUT_SHARE)

    async def _request_idle(self, address: ids.Address) -> http_client.ClientConnection | None:
        reply: mailbox.Reply[http_client.ClientConnection | None] = mailbox.Reply()
        self.mailbox.send(TakeIdle(address, reply))
        return await reply.get()

    async def open(self, address: ids.Address, timeout_s: float) -> http_client.ClientConnection:
        """Returns a new connection, through a peer if the own link is lost.

        Raises:
            ConnectError: No connection could be opened.
        """
        return await self._open(address, timeout_s, "asked_new")

    async def _open(
        self, address: ids.Address, timeout_s: float, reason: str
    ) -> http_client.ClientConnection:
        self._count(reason)
        stream = await self._links.connect(address, timeout_s)
        return http_client.ClientConnection(stream, address)

    def _count(self, reason: str) -> None:
        if self._telemetry:
            self._telemetry.count_connection(reason)

    async def open_direct(
        self, address: ids.Address, timeout_s: float
    ) -> http_client.ClientConnection:
        """Returns a new connection that was opened without a peer.

        Raises:
            ConnectError: No connection could be opened.
        """
        self._count("asked_new")
        stream = await self._links.connect_direct(address, timeout_s)
        return http_client.ClientConnection(stream, address)

    def drop_idle(self, address: ids.Address | None) -> None:
        """Closes idle direct connections, because the link that they use is lost.

        Args:
            address: Address of the upstream; None for all upstreams.
        """
        self.mailbox.try_send(LinkLost(address))

    def watch(self, conn: http_client.ClientConnection) -> None:
        """Starts to check the read deadlines of a connection every `DEADLINE_CHECK_INTERVAL_S`."""
        conn.set_watched(True)
        self._watched.add(conn)

    def unwatch(self, conn: http_client.ClientConnection) -> None:
        """Stops these checks; the connection enforces its read deadlines itself again."""
        conn.set_watched(False)
        self._watched.discard(conn)

    async def _expire_late_reads(self) -> None:
        while True:
            await trio.sleep(DEADLINE_CHECK_INTERVAL_S)
            now = trio.current_time()
            for conn in list(self._watched):
                await conn.expire_if_late(now)

    async def release(self, address: ids.Address, conn: http_client.ClientConnection) -> None:
        """Returns a connection to the pool after a complete answer, or closes it."""
        if conn.make_reusable() and self.mailbox.try_send(ReturnConnection(address, conn)):
            return
        await conn.close()

    async def discard(self, address: ids.Address, conn: http_client.ClientConnection) -> None:
        """Closes a connection that failed, and with it the idle connections to its address."""
        self.mailbox.try_send(ConnectionFailed(address))
        await conn.close()

    async def _handle(self, message: Message) -> None:
        if isinstance(message, TakeIdle):
            message.reply.set(self._pop_idle(message.address))
        elif isinstance(message, ReturnConnection):
            await self._put_idle(message)
        elif isinstance(message, LinkLost):
            await self._drop_direct(message.address)
        else:
            self._failed_at[message.address] = trio.current_time()
            for conn in self._idle.pop(message.address, []):
                await conn.close()

    async def _drop_direct(self, address: ids.Address | None) -> None:
        for key in [address] if address else list(self._idle):
            idle = self._idle.get(key, [])
            self._idle[key] = [conn for conn in idle if conn.peer is not None]
            for conn in idle:
                if conn.peer is None:
                    await conn.close()

    def _pop_idle(self, address: ids.Address) -> http_client.ClientConnection | None:
        idle = self._idle.get(address)
        return idle.pop() if idle else None

    async def _put_idle(self, message: ReturnConnection) -> None:
        idle = self._idle.setdefault(message.address, [])
        failed_at = self._failed_at.get(message.address, -1.0)
        # A connection that completed an answer after the last failure is known to work.
        is_verified = message.conn.idle_since >= failed_at
        is_young = trio.current_time() - message.conn.opened_at < MAX_AGE_S
        if is_verified and is_young and len(idle) < MAX_IDLE_PER_ADDRESS:
            idle.append(message.conn)
        else:
            await message.conn.close()

    async def _close_expired(self) -> None:
        now = trio.current_time()
        for address, idle in list(self._idle.items()):
            # Input on an idle connection means that it was closed or is out of step with its peer.
            expired = [conn for conn in idle if not self._is_usable(address, conn, now)]
            self._idle[address] = [conn for conn in idle if conn not in expired]
            for conn in expired:
                self._report_early_end(address, conn)
                await conn.close()
            if not self._idle[address]:
                del self._idle[address]


async def exchange(
    conn: http_client.ClientConnection,
    head: http_client.RequestHead,
    body: bytes,
    timeout_s: float,
) -> tuple[http_client.ResponseHead, bytes]:
    """Sends a request and returns the head and the body of its answer.

    Raises:
        ProtocolError: The exchange failed or did not finish in time.
    """
    with trio.move_on_after(timeout_s):
        await conn.send(head, body)
        answer = await conn.receive_head(timeout_s)
        return answer, await conn.receive_body(timeout_s, MAX_SMALL_ANSWER_BYTES)
    raise exceptions.SilentConnectionError(f"no answer within {timeout_s} s")
