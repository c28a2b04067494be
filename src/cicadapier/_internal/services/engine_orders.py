"""Calls that update one engine to new target weights."""

import collections.abc
import dataclasses

import structlog
import trio

from cicadapier._internal.decisions import order_links
from cicadapier._internal.decisions import rollout
from cicadapier._internal.decisions import withdrawals
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import engines
from cicadapier._internal.protocols import exceptions as protocol_exceptions
from cicadapier._internal.protocols import http_client
from cicadapier._internal.services import connections_service
from cicadapier._internal.services import directory_service
from cicadapier._internal.services import traffic_messages
from cicadapier._internal.services import traffic_service
from cicadapier._internal.services import watching

# An order that an engine has not received by then is discarded with its connection.
CALL_TIMEOUT_S = 0.6
POLL_INTERVAL_S = 0.2
LINK_CHECK_TIMEOUT_S = 0.3
GRANT_TIMEOUT_S = 2.0
GRANT_POLL_INTERVAL_S = 0.1

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class OrderPermit:
    """Permission to send one order at once.

    Attributes:
        fencing: Fencing token.
        record_answer: Called once the order is answered.
    """

    fencing: int
    record_answer: collections.abc.Callable[[], None]


PermitSource = collections.abc.Callable[[], OrderPermit | None]


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Target weights version for the engines of a pool."""

    pool: ids.PoolId
    model: ids.ModelId
    version: int


class EngineOrders:
    """Fetches reports from engines and sends them load orders."""

    def __init__(
        self,
        vm: ids.VmId,
        engine_format: engines.EngineFormat,
        connections: connections_service.ConnectionsService,
        directory: directory_service.DirectoryService,
        traffic: traffic_service.TrafficService,
        clock: watching.Clock,
    ) -> None:
        self._vm = vm
        self._engine_format = engine_format
        self._connections = connections
        self._directory = directory
        self._traffic = traffic
        self._clock = clock

    async def update_engine(
        self,
        target: Target,
        engine: rollout.Engine,
        get_permit: PermitSource,
        links: order_links.OrderLinks,
    ) -> rollout.Step:
        """Updates an engine to the target version; returns `DONE`, or `GIVE_UP` if that fails.

        Args:
            target: The target version.
            engine: The engine.
            get_permit: Returns the permission for one order if it may be sent now, else None.
            links: Records whether the engine is reached.
        """
        update = rollout.EngineUpdate(target.version, self._clock())
        step = rollout.Step.POLL
        while step in (rollout.Step.POLL, rollout.Step.ORDER):
            address = self._find_address(target.pool, engine)
            if address is None:
                return rollout.Step.GIVE_UP
            if self._directory.is_paused(engine.upstream):
                step = update.handle_delay(self._clock())
                await trio.sleep(POLL_INTERVAL_S)
                continue
            if not await self._wait_for_grant(target.pool, engine):
                links.record_held_back(engine.upstream, self._clock())
                step = update.handle_missing_grant(self._clock())
                continue
            if step is rollout.Step.ORDER:
                step = await self._send_order(target, engine, address, update, get_permit, links)
                continue
            report = await self._fetch_report(target, engine, address)
            now = self._clock()
            if report is None:
                links.record_unreached(engine.upstream, now)
            step = update.handle_report(report, now) if report else update.handle_unreachable(now)
            if step is rollout.Step.POLL:
                await trio.sleep(POLL_INTERVAL_S)
        return step

    def limits_requests(self, engine: rollout.Engine) -> bool:
        """Returns whether an engine limits the requests of all routers together."""
        return self._directory.limits.requires_grant(engine.upstream, engine.incarnation)

    async def check_link(
        self, target: Target, engine: rollout.Engine, links: order_links.OrderLinks
    ) -> None:
        """Records whether a connection to an engine can be opened."""
        address = self._find_address(target.pool, engine)
        if address is None:
            return
        try:
            conn = await self._connections.open_direct(address, LINK_CHECK_TIMEOUT_S)
        except protocol_exceptions.ProtocolError:
            links.record_unreached(engine.upstream, self._clock())
            return
        links.record_reached(engine.upstream, self._clock())
        await conn.close()

    async def _wait_for_grant(self, pool: ids.PoolId, engine: rollout.Engine) -> bool:
        """Returns whether the engine may be called.

        If the engine limits the requests of all routers together, waits for a grant.
        """
        deadline = trio.current_time() + GRANT_TIMEOUT_S
        while self.limits_requests(engine):
            reply: mailbox.Reply[bool] = mailbox.Reply()
            self._traffic.mailbox.send(traffic_messages.UseGrant(pool, engine.upstream, reply))
            if await reply.get():
                return True
            if trio.current_time() >= deadline:
                return False
            await trio.sleep(GRANT_POLL_INTERVAL_S)
        return True

    def _find_address(self, pool: ids.PoolId, engine: rollout.Engine) -> ids.Address | None:
        """Returns the address of an engine while it serves a pool, whose lease covers it."""
        registration = self._directory.find(engine.upstream)
        if registration is None or registration.incarnation != engine.incarnation:
            return None
        return registration.address if registration.pool == pool else None

    def _process_headers(self, engine: rollout.Engine, head: http_client.ResponseHead) -> None:
        """Records a withdrawal or a rate limit that an engine announces in a response."""
        if self._engine_format.is_leaving(head):
            withdrawal = withdrawals.Withdrawal(engine.upstream, engine.incarnation)
            self._directory.record_withdrawal(withdrawal, "report")
        limit = self._engine_format.read_rate_limit(head)
        self._directory.limits.record_report(engine.upstream, engine.incarnation, limit)

    async def _fetch_report(
        self, target: Target, engine: rollout.Engine, address: ids.Address
    ) -> rollout.EngineReport | None:
        try:
            conn = await self._connections.acquire(address, CALL_TIMEOUT_S)
        except protocol_exceptions.ProtocolError as exc:
            _log.info("report_missing", address=address, reason=str(exc))
            return None
        if conn.peer is not None:
            # The engine could not be sent an order, so its report is of no use.
            await self._connections.release(address, conn)
            _log.info("report_missing", address=address, reason="the link to the engine is lost")
            return None
        self._directory.limits.count_send(engine.upstream, "report")
        try:
            head, body = await connections_service.exchange(
                conn, self._engine_format.make_report_request(), b"", CALL_TIMEOUT_S
            )
        except protocol_exceptions.ProtocolError as exc:
            _log.info("report_missing", address=address, reason=str(exc))
            await self._connections.discard(address, conn)
            return None
        await self._connections.release(address, conn)
        self._process_headers(engine, head)
        return self._engine_format.read_report(body, target.model)

    async def _send_order(
        self,
        target: Target,
        engine: rollout.Engine,
        address: ids.Address,
        update: rollout.EngineUpdate,
        get_permit: PermitSource,
        links: order_links.OrderLinks,
    ) -> rollout.Step:
        try:
            # Engines take an order through a peer for an order of the peer.
            conn = await self._connections.open_direct(address, CALL_TIMEOUT_S)
        except protocol_exceptions.ProtocolError as exc:
            _log.info("order_not_sent", upstream=engine.upstream, reason=str(exc))
            links.record_unreached(engine.upstream, self._clock())
            return update.handle_reply(rollout.Reply.NONE, self._clock())
        links.record_reached(engine.upstream, self._clock())
        try:
            conn.limit_delivery(CALL_TIMEOUT_S)
            # The lease may have expired while the connection was being opened.
            permit = get_permit()
            if permit is None:
                return rollout.Step.GIVE_UP
            order = rollout.LoadOrder(
                target.model, target.version, self._vm, permit.fencing, update.expected_orders
            )
            reply = await self._exchange_order(conn, engine, order)
            if reply is not rollout.Reply.NONE:
                permit.record_answer()
        finally:
            with trio.CancelScope(shield=True):
                await conn.close()
        return update.handle_reply(reply, self._clock())

    async def _exchange_order(
        self, conn: http_client.ClientConnection, engine: rollout.Engine, order: rollout.LoadOrder
    ) -> rollout.Reply:
        head = self._engine_format.make_order_head(engine.upstream)
        body = self._engine_format.make_order_body(order)
        reason = ""
        sent_at = self._clock()
        self._directory.limits.count_send(engine.upstream, "order")
        try:
            response, _ = await connections_service.exchange(conn, head, body, CALL_TIMEOUT_S)
            self._process_headers(engine, response)
            reply = self._engine_format.read_reply(response)
        except protocol_exceptions.ProtocolError as exc:
            reply = rollout.Reply.NONE
            reason = str(exc)
        _log.info(
            "order_given",
            upstream=engine.upstream,
            version=order.version,
            fencing=order.fencing,
            expected_orders=order.expected_orders,
            running=engine.running,
            reply=reply.value,
            took_s=round(self._clock() - sent_at, 3),
            reason=reason,
        )
        return reply
