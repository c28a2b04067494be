"""Shares the reads of the store within a failure domain.

Each router that does not read for others asks a reader once a second, in a datagram, to report what
it reads. A reader reports each answer of the store to all routers that have asked it lately. Which
routers are readers, and how far a report is believed, is decided in `decisions/fleet`.
"""

import collections.abc
import random

import structlog
import trio

from cicadapier._internal.decisions.fleet import kind_history
from cicadapier._internal.decisions.fleet import readers
from cicadapier._internal.decisions.fleet import report_parts
from cicadapier._internal.decisions.fleet import shared_reads
from cicadapier._internal.kernel import random_tokens
from cicadapier._internal.kernel import service
from cicadapier._internal.models import addresses
from cicadapier._internal.models import ids
from cicadapier._internal.models import store_versions
from cicadapier._internal.protocols import partial_json
from cicadapier._internal.protocols import shared_reads_codec
from cicadapier._internal.protocols import store_format
from cicadapier._internal.services import names
from cicadapier._internal.services import peers_service
from cicadapier._internal.services import read_exchange
from cicadapier._internal.services import telemetry_service
from cicadapier._internal.services.fleet import reported_changes

REQUEST_INTERVAL_S = 1.0
LISTENER_EXPIRES_S = 3.5
MAX_LISTENERS = 512
NUMBER_BYTES = 8
# Differences between the rates of two clocks, over the life of a request.
CLOCK_TOLERANCE_S = 0.01

_log = structlog.get_logger()


class SharedReadsService(service.Service, read_exchange.ReadExchange):
    """Listens to a reader, or reads for those that ask. Owns both sides' state."""

    name = names.SHARED_READS

    def __init__(
        self,
        vm: ids.VmId,
        min_routers: int,
        clock: collections.abc.Callable[[], float],
        rng: random.Random,
        token_source: random_tokens.TokenSource,
    ) -> None:
        """Creates the service.

        Args:
            vm: The VM of this router.
            min_routers: Routers in a failure domain from which on they share their reads.
            clock: Clock that goes on while the machine is suspended.
            rng: Source of the times of requests.
            token_source: Source of the numbers of requests, which no other process may use.
        """
        self._vm = vm
        self._clock = clock
        self._rng = rng
        self._token_source = token_source
        self._choice = readers.ReaderChoice(vm, min_routers)
        self._requests = shared_reads.RequestLog(vm)
        self._watches: dict[str, read_exchange.SharedWatch] = {}
        self._histories: dict[str, kind_history.KindHistory] = {}
        self._listeners: dict[ids.VmId, report_parts.Listener] = {}
        self._unreported: set[str] = set()
        self._answered = trio.Event()
        self._peers: peers_service.PeersService | None = None
        self._telemetry: telemetry_service.TelemetryService | None = None

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._peers = kernel.find(names.PEERS)
        self._telemetry = kernel.find(names.TELEMETRY)
        self._peers.set_shared_reads_sink(self)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._report)
            task_status.started()
            while not kernel.is_stopping:
                await self._ask()
                await trio.sleep(REQUEST_INTERVAL_S * self._rng.uniform(0.9, 1.1))

    @property
    def is_reader(self) -> bool:
        """See `ReadExchange.is_reader`."""
        since = self._clock() - LISTENER_EXPIRES_S
        return any(listener.asked_at >= since for listener in self._listeners.values())

    def add_watch(self, watch: read_exchange.SharedWatch) -> None:
        """See `ReadExchange.add_watch`."""
        self._watches[watch.kind] = watch

    def record_listing(
        self, kind: str, version: store_versions.StoreVersion, queried_at: float
    ) -> None:
        """See `ReadExchange.record_listing`."""
        self._histories[kind] = kind_history.KindHistory(version, queried_at)
        self._schedule(kind)

    def record_changes(
        self,
        kind: str,
        since: store_versions.StoreVersion,
        changes: store_format.Changes,
        queried_at: float,
    ) -> None:
        """See `ReadExchange.record_changes`."""
        history = self._histories.setdefault(kind, kind_history.KindHistory(since, queried_at))
        history.add(since, changes.version, reported_changes.write(changes), queried_at)
        self._schedule(kind)

    def _schedule(self, kind: str) -> None:
        self._unreported.add(kind)
        self._answered.set()

    def handle(self, message: shared_reads_codec.Message) -> None:
        """Handles a message of another router."""
        if isinstance(message, shared_reads.ReadReport):
            self._hear(message)
        elif addresses.is_address(message.reply_to) and message.sender != self._vm:
            self._record_listener(message)

    def _record_listener(self, request: shared_reads.ReadRequest) -> None:
        now = self._clock()
        if request.sender not in self._listeners:
            since = now - LISTENER_EXPIRES_S
            self._listeners = {
                vm: item for vm, item in self._listeners.items() if item.asked_at >= since
            }
            if len(self._listeners) >= MAX_LISTENERS:
                return
        if not self.is_reader:
            _log.info("reading_for_others", first=request.sender)
            self._stop_following()
        self._listeners[request.sender] = report_parts.Listener(
            request.sender, request.reply_to, request.number, now
        )

    def _hear(self, report: shared_reads.ReadReport) -> None:
        watch = self._watches.get(report.kind)
        proved_at = self._requests.proved_at(report)
        if watch is None or proved_at is None or report.sender != self._choice.reader:
            self._count(report.kind, "not_asked")
            return
        now = self._clock()
        try:
            if proved_at > now + CLOCK_TOLERANCE_S:
                verdict = shared_reads.Verdict.WRONG
            else:
                verdict = watch.hear(report, min(proved_at, now))
        except partial_json.DECODING_ERRORS:
            verdict = shared_reads.Verdict.WRONG
        self._count(report.kind, verdict.value)
        if verdict is shared_reads.Verdict.WRONG:
            self._give_up(report.sender, "wrong")
        elif verdict is shared_reads.Verdict.NEWS:
            self._choice.record_heard(now)
            if self._telemetry:
                self._telemetry.record_shared_read_age(report.kind, now - proved_at)

    def _give_up(self, reader: ids.VmId, reason: str) -> None:
        _log.warning("reader_given_up", reader=reader, reason=reason)
        self._choice.avoid(reader, self._clock())
        self._stop_following()

    def _stop_following(self) -> None:
        for watch in self._watches.values():
            watch.stop_following()

    def _count(self, kind: str, result: str) -> None:
        if self._telemetry:
            # Kinds come from other routers, and each one is a time series.
            self._telemetry.count_shared_read(kind if kind in self._watches else "other", result)

    async def _ask(self) -> None:
        """Asks a reader for reports, unless this router reads for itself."""
        assert self._peers
        if self.is_reader:
            self._choice.stop_listening()
            return
        now = self._clock()
        former = self._choice.reader
        domain_peers = self._peers.domain_routers()
        reader = self._choice.choose(domain_peers, now)
        if reader != former:
            _log.info("reader_chosen", reader=reader, former=former, known=len(domain_peers))
        address = self._address_of(reader)
        if reader is None or address is None:
            return
        number = int(self._token_source.token_hex(NUMBER_BYTES), 16)
        self._requests.record(number, reader, self._clock())
        request = shared_reads.ReadRequest(self._vm, self._peers.address, number)
        await self._peers.send_datagram([address], request)

    def _address_of(self, reader: ids.VmId | None) -> ids.Address | None:
        assert self._peers
        found = (peer.address for peer in self._peers.reachable() if peer.vm == reader)
        return next(found, None)

    async def _report(self) -> None:
        """Reports each answer of the store to the routers that have asked."""
        assert self._peers
        while True:
            await self._answered.wait()
            self._answered = trio.Event()
            kinds, self._unreported = self._unreported, set()
            since = self._clock() - LISTENER_EXPIRES_S
            asking = [item for item in self._listeners.values() if item.asked_at >= since]
            addresses_of = {item.vm: item.address for item in asking}
            for kind in sorted(kinds):
                history = self._histories[kind]
                for report in history.reports(self._vm, kind, asking):
                    told = [addresses_of[echo.listener] for echo in report.echoes]
                    await self._peers.send_datagram(told, report)
