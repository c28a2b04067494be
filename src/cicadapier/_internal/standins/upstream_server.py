"""Base class of the stand-in upstreams: injected faults, restarts and the ledger."""

import abc
import http

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import headers
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import http_server
from cicadapier._internal.protocols import transport
from cicadapier._internal.standins import faults
from cicadapier._internal.standins import ledger

_CALLER_LIMITS = settings.CallerLimits(body_bytes=67_108_864, idle_timeout_s=3600.0)
_POLL_INTERVAL_S = 0.02
RESTART_DELAY_S = 0.5


class UpstreamServer(http_server.Handler):
    """A stand-in upstream that can crash and restart.

    Attributes:
        upstream: Upstream id.
        incarnation: Identifier of the upstream's process, which changes with each restart.
        address: Address that it listens on.
        active_faults: Injected faults in force.
        ledger: Ledger in which it records the requests that it runs.
    """

    def __init__(
        self,
        upstream: ids.UpstreamId,
        network: transport.Network,
        active_faults: faults.ActiveFaults,
        call_ledger: ledger.Ledger,
    ) -> None:
        self.upstream = upstream
        self.incarnation = ids.Incarnation(f"{upstream}-1")
        self.address = ids.Address("")
        self.active_faults = active_faults
        self.ledger = call_ledger
        self._network = network
        self._start_count = 1
        self._serve_scope = trio.CancelScope()
        self._restart_delay_s = RESTART_DELAY_S
        self._running_calls: dict[str, ledger.Call] = {}

    async def run(
        self,
        address: ids.Address,
        task_status: "trio.TaskStatus[ids.Address]" = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until cancelled and restarts after each crash.

        Args:
            address: Address to listen on.
            task_status: Receives the address that the server is bound to.
        """
        async with trio.open_nursery() as nursery:
            self.address = await nursery.start(self._serve_until_crash, address)
            task_status.started(self.address)
            nursery.start_soon(self._restart_after_crashes)

    async def _restart_after_crashes(self) -> None:
        while True:
            if self._serve_scope.cancel_called:
                await trio.sleep(self._restart_delay_s)
                await self._serve_until_crash(self.address)
            else:
                await trio.sleep(_POLL_INTERVAL_S)

    async def _serve_until_crash(
        self,
        address: ids.Address,
        task_status: "trio.TaskStatus[ids.Address]" = trio.TASK_STATUS_IGNORED,
    ) -> None:
        listener = http_server.Listener(self._network.serve, self, _CALLER_LIMITS)
        with trio.CancelScope() as self._serve_scope:
            await listener.run(address, task_status)

    def crash(self, restart_delay_s: float = RESTART_DELAY_S) -> None:
        """Ends all connections and requests at once, and restarts with empty state.

        Args:
            restart_delay_s: Time until the restart.
        """
        if self._serve_scope.cancel_called:
            return
        now = trio.current_time()
        for call in self._running_calls.values():
            self.ledger.record(
                self.upstream, self.incarnation, call, ledger.LedgerEvent.CRASHED, now
            )
        self._running_calls.clear()
        self._start_count += 1
        self.incarnation = ids.Incarnation(f"{self.upstream}-{self._start_count}")
        self._restart_delay_s = restart_delay_s
        self._serve_scope.cancel()
        self.on_crash()

    @abc.abstractmethod
    def on_crash(self) -> None:
        """Clears the state of the subclass. `incarnation` already has its new value."""

    @property
    def is_leaving(self) -> bool:
        """Whether the upstream is being withdrawn."""
        return self.active_faults.find(faults.FaultKind.LEAVING, self.upstream) is not None

    async def wait_while_paused(self) -> None:
        """Waits while a pause fault is in force."""
        while self.active_faults.find(faults.FaultKind.PAUSE, self.upstream):
            await trio.sleep(_POLL_INTERVAL_S)

    async def delay_response(self) -> None:
        """Delays a response if a fault for late responses is in force."""
        delay_s = self.active_faults.amount(faults.FaultKind.LATE, self.upstream, 0.0)
        if delay_s:
            await trio.sleep(delay_s)

    def has_crossed_answers(self) -> bool:
        """Returns whether it answers with the response to another request, as an injected fault."""
        return self.active_faults.find(faults.FaultKind.CROSSED, self.upstream) is not None

    def record(self, call: ledger.Call, event: ledger.LedgerEvent, **detail: object) -> None:
        """Records a step of a request in the ledger, unless a crash has ended the request."""
        if event is ledger.LedgerEvent.STARTED:
            self._running_calls[call.request_id] = call
        elif call.request_id not in self._running_calls:
            # A crash has already recorded the end of this call.
            return
        elif event is not ledger.LedgerEvent.PREFILLED:
            del self._running_calls[call.request_id]
        now = trio.current_time()
        self.ledger.record(self.upstream, self.incarnation, call, event, now, **detail)

    async def refuse_before_running(
        self, call: ledger.Call, responder: http_server.Responder, message: str
    ) -> None:
        """Refuses a request and states that it was not run."""
        extra = [*not_run_headers(call), (headers.RETRY_AFTER, b"1")]
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        await responder.send_json({"error": {"message": message}}, status, extra)


def make_call(req: http_server.Request) -> ledger.Call:
    """Returns the fields of a request that the ledger records."""
    request_id = (req.header(headers.REQUEST_ID) or b"").decode("latin-1")
    key = (req.header(headers.IDEMPOTENCY_KEY) or b"").decode("latin-1")
    return ledger.Call(request_id, req.method, req.target, req.body, key)


def not_run_headers(call: ledger.Call) -> http_client.Headers:
    """Returns the headers of a refusal of a request that has not run."""
    return [(headers.REQUEST_ID, call.request_id.encode("latin-1")), (headers.NOT_RUN, b"true")]


def identity_headers(server: UpstreamServer, call: ledger.Call) -> http_client.Headers:
    """Returns the headers that identify a response's request and the upstream's incarnation."""
    request_id = "crossed-" + call.request_id if server.has_crossed_answers() else call.request_id
    return [
        (headers.REQUEST_ID, request_id.encode("latin-1")),
        (headers.INCARNATION, server.incarnation.encode()),
    ]
