"""Remembers which software version began each stream, and asks other routers for it."""

import dataclasses
import random

import structlog
import trio

from cicadapier._internal.decisions import stream_beginnings
from cicadapier._internal.decisions import stream_origins
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.kernel import service
from cicadapier._internal.models import directory_entries
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import engines
from cicadapier._internal.services import cluster_service
from cicadapier._internal.services import connections_service
from cicadapier._internal.services import directory_service
from cicadapier._internal.services import names
from cicadapier._internal.services import origin_asker
from cicadapier._internal.services import origin_questions
from cicadapier._internal.services import origin_routers
from cicadapier._internal.services import origin_teller
from cicadapier._internal.services import peers_service
from cicadapier._internal.services import platform_service
from cicadapier._internal.services import process_checks
from cicadapier._internal.services import replaced_processes
from cicadapier._internal.services import version_recorder
from cicadapier._internal.services import watched_configuration

CHECK_INTERVAL_S = 1.0
# Interval at which the streams that still run are told while one version serves alone.
TELL_INTERVAL_S = 0.5
# Waits between the questions of a router that cannot vouch for all streams yet.
MIN_LEARN_WAIT_S = 0.25
MAX_LEARN_WAIT_S = 8.0
# Longest waits for the directory to confirm the versions: for an own request, and before an answer
# to a router that asks, which waits no longer than `origin_asker.ASK_WAITS_S`.
CONFIRM_TIMEOUT_S = 0.5
ANSWER_CONFIRM_TIMEOUT_S = 0.15
# The same before a stream goes on; without an answer of the directory or of another router, it goes
# on at what is known, so that streams outlive an outage of the store.
SEND_CONFIRM_TIMEOUT_S = 0.3
MAX_PENDING_ANSWERS = 256

_UNNAMED_STREAM = stream_origins.StreamId("", ids.RequestId(""))
# Names no stream either; the question is for what the routers have seen before the asker started.
_ANY_STREAM = stream_origins.StreamId("", ids.RequestId("*"))

# An upstream that reports no start time is taken for the process that is known.
_MAY_GO_ON = frozenset((process_checks.Finding.SAME, process_checks.Finding.UNDATED))

_log = structlog.get_logger()


Message = origin_teller.TellOrigins | origin_teller.DirectoryAnswered | stream_origins.Message


class OriginsService(service.Service):
    """Owns the origins of streams, and tells and asks other routers about them.

    Each stream is told to a few routers: at once if another version than the one that began it may
    serve, otherwise soon, unless it has ended by then. A second version may come, and this router
    be gone, before it knows of it.

    Attributes:
        mailbox: Messages to the service.
    """

    name = names.ORIGINS

    def __init__(
        self, vm: ids.VmId, engine_format: engines.EngineFormat, rng: random.Random
    ) -> None:
        """Creates the service.

        Args:
            vm: VM of this router.
            engine_format: Format of the calls to upstreams.
            rng: Source of the first question's number, so that a router that restarts does not take
                answers to its former self for its own, and of the routers that it learns from.
        """
        self.mailbox: mailbox.Mailbox[Message] = mailbox.Mailbox()
        self._vm = vm
        self._engine_format = engine_format
        self._rng = rng
        self._origins = stream_origins.Origins()
        self._history = stream_origins.VersionHistory()
        self._first_numbers = stream_origins.FirstNumbers()
        self._beginnings = stream_beginnings.Beginnings()
        self._asker = origin_asker.OriginAsker(rng)
        self._pending_answers = 0
        self._is_directory_silent = False
        self._teller = origin_teller.OriginTeller(
            self._origins, self._beginnings, self._is_directory_current
        )
        self._replaced = replaced_processes.ReplacedProcesses(self._doubt_process)
        self._recorder = version_recorder.VersionRecorder(vm, self._see, rng)
        self._tells_all = True  # As a router that has just started can vouch for nothing.

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._cluster: cluster_service.ClusterService = kernel.find(names.CLUSTER)
        self._peers: peers_service.PeersService = kernel.find(names.PEERS)
        self._directory: directory_service.DirectoryService = kernel.find(names.UPSTREAMS)
        self._configuration: watched_configuration.WatchedConfiguration = kernel.find(
            names.CONFIGURATION
        )
        connections: connections_service.ConnectionsService = kernel.find(names.CONNECTIONS)
        self._process_checks = process_checks.ProcessChecks(
            connections, self._engine_format, self._directory.limits
        )
        self._replaced.start(connections, self._directory, self._process_checks)
        self._routers = origin_routers.OriginRouters(
            self._vm, self._cluster, self._peers, self._rng
        )
        self._asker.start(self._peers)
        self._teller.start(self._directory, self._peers, self._routers)
        self._peers.set_origin_sink(self)
        platform: platform_service.PlatformService = kernel.find(names.PLATFORM)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._recorder.run, platform, self._cluster, self._directory)
            nursery.start_soon(self._check_regularly)
            nursery.start_soon(self._tell_regularly)
            nursery.start_soon(self._replaced.run)
            nursery.start_soon(self._learn_history)
            task_status.started()
            await self._handle_messages(nursery)

    async def _check_regularly(self) -> None:
        """Notices that the directory no longer answers, or that the past is known by now."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self._update_telling()

    async def _tell_regularly(self) -> None:
        """Tells the streams that were not told as they began."""
        while True:
            await trio.sleep(TELL_INTERVAL_S)
            untold = self._teller.take_untold()
            if untold:
                self.mailbox.try_send(origin_teller.TellOrigins(untold))

    async def _learn_history(self) -> None:
        """Asks other routers what served before this one started, while they are there."""
        wait_s = MIN_LEARN_WAIT_S
        while True:
            await trio.sleep(wait_s)
            if self._history.seen(trio.current_time()).covers_all_streams:
                wait_s = MIN_LEARN_WAIT_S
                await trio.sleep(CHECK_INTERVAL_S)
                continue
            if not await self._learn_from_record():
                await self._ask(_ANY_STREAM, self._routers.choose_any(), wants_seen=True)
            seen = self._history.seen(trio.current_time())
            if seen.covers_all_streams:
                _log.info("software_versions_learned", versions=sorted(seen.versions))
            wait_s = min(2 * wait_s, MAX_LEARN_WAIT_S)

    async def _learn_from_record(self) -> bool:
        """Returns whether the record in the store says what served before this router started."""
        if not self._history.is_observing:
            return False
        record = await self._recorder.read()
        return record is not None and self._history.adopt(record.versions, trio.current_time())

    def _see(self) -> stream_origins.SeenVersions:
        return self._history.seen(trio.current_time())

    async def _handle_messages(self, nursery: trio.Nursery) -> None:
        while True:
            message = await self.mailbox.receive()
            now = trio.current_time()
            if isinstance(message, origin_teller.TellOrigins):
                await self._teller.tell(message.origins)
            elif isinstance(message, origin_teller.DirectoryAnswered):
                await self._teller.tell_confirmed()
            elif isinstance(message, stream_origins.OriginNotice):
                for origin in message.origins:
                    self._origins.add(origin, now)
            elif isinstance(message, stream_origins.OriginQuery):
                await self._answer(message, nursery)
            else:
                self._asker.handle_answer(message)

    def set_versions(self, versions: frozenset[str], passed: frozenset[str]) -> None:
        """See `directory_service.VersionSink.set_versions`."""
        now = trio.current_time()
        if not versions | passed <= self._see().versions:
            self._recorder.record_change()
        begin_to_differ = self._history.observe(versions, now, passed)
        if begin_to_differ:
            _log.info("software_versions_differ", versions=sorted(self._history.seen(now).versions))
        self._update_telling(repeats=begin_to_differ)

    def confirm_versions(self) -> None:
        """Records that the directory has answered."""
        self._history.confirm(trio.current_time())
        self._is_directory_silent = False
        if self._teller.has_unconfirmed:
            self.mailbox.try_send(origin_teller.DirectoryAnswered())

    def record_silence(self) -> None:
        """See `directory_service.VersionSink.record_silence`."""
        self._is_directory_silent = True

    def record_missed_versions(self) -> None:
        """Records that changes of the directory may have been missed."""
        self._history.begin_anew()

    def record_registration(
        self, entry: directory_entries.Registration, certain_until: float
    ) -> None:
        """See `directory_service.VersionSink.record_registration`."""
        doubted = self._beginnings.doubt(
            entry.upstream, entry.incarnation, entry.software, certain_until
        )
        self._replaced.record_registration(
            stream_origins.Process(entry.upstream, entry.incarnation)
        )
        self._doubt(entry.upstream, doubted)

    def _doubt_process(self, process: stream_origins.Process, alive_until: float) -> None:
        doubted = self._beginnings.doubt_process(process, alive_until)
        self._doubt(process.upstream, doubted)

    def _doubt(self, upstream: ids.UpstreamId, doubted: list[stream_origins.Origin]) -> None:
        """Ends the belief in the origins of streams, here and at the routers that were told."""
        if not doubted:
            return
        _log.info("stream_origins_doubted", upstream=upstream, streams=len(doubted))
        now = trio.current_time()
        for origin in doubted:
            self._origins.add(origin, now)
        self.mailbox.try_send(origin_teller.TellOrigins(doubted))

    async def may_go_on(self, upstream: ids.UpstreamId) -> bool:
        """Returns whether a stream may go on at an upstream as far as anybody knows its process.

        If the store does not answer this router, others are asked, as it may answer them, and so
        is the upstream, which alone knows while the store answers nobody.
        """
        if await self._directory.confirm(SEND_CONFIRM_TIMEOUT_S):
            return True
        registration = self._directory.find(upstream)
        if registration is None:
            return False
        process = stream_origins.Process(upstream, registration.incarnation)
        finding = process_checks.Finding.NO_ANSWER

        async def check_process() -> None:
            nonlocal finding
            finding = await self._process_checks.check(process, registration.address)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(check_process)
            question = await self._ask(_UNNAMED_STREAM, self._routers.choose_any(), False, process)
        may_go_on = not question.is_replaced and finding in _MAY_GO_ON
        _log.info(
            "process_checked",
            upstream=upstream,
            finding=finding.value,
            replaced=question.is_replaced,
            goes_on=may_go_on,
        )
        return may_go_on

    def is_doubted(self, stream: stream_origins.StreamId) -> bool:
        """Returns whether a stream may have begun at another version than was believed."""
        known = self._origins.find(stream, trio.current_time())
        return known is not None and known.doubted

    def record_first_number(self, software: str, number: int) -> None:
        """Records the number of the first event of a stream that a software version began."""
        self._first_numbers.record(software, number)

    def is_without_events(self, stream: stream_origins.StreamId, last_event: int) -> bool:
        """Returns whether a caller holds no event, though it says that it takes a stream up.

        Args:
            stream: The stream, for which other routers were asked.
            last_event: Number of the last event that the caller says it holds.
        """
        now = trio.current_time()
        if self._origins.find(stream, now) is not None:
            return False
        versions = self._history.seen(now).versions
        return not self._first_numbers.may_contain(last_event, versions)

    def record_begin(
        self,
        origin: stream_origins.Origin,
        upstream: ids.UpstreamId,
        incarnation: ids.Incarnation,
    ) -> None:
        """Records that a stream of this router brings its first event.

        Args:
            origin: Origin of the stream.
            upstream: The upstream that brings it.
            incarnation: Its incarnation, as the directory last said.
        """
        now = trio.current_time()
        if self._replaced.record_begin(stream_origins.Process(upstream, incarnation)):
            origin = dataclasses.replace(origin, doubted=True)
        if self._origins.find(origin.stream, now) is None:
            self._beginnings.add(origin, upstream, incarnation, now)
        self._origins.add(origin, now)
        self._update_telling()
        if self._tells_all:
            self.mailbox.try_send(origin_teller.TellOrigins([origin]))
        else:
            self._teller.postpone(origin)

    def record_end(self, stream: stream_origins.StreamId) -> None:
        """Records that a stream was relayed to its end, so that nobody takes it up."""
        self._teller.record_end(stream)

    def _update_telling(self, repeats: bool = False) -> None:
        """Decides whether the holders of each stream must be told its origin.

        Args:
            repeats: Whether they are told those of recent streams once more.
        """
        now = trio.current_time()
        had_told_all = self._tells_all
        self._tells_all = self._history.seen(now).sole_version() is None
        if self._tells_all and (repeats or not had_told_all):
            # Streams that began earlier may be taken up after this router is gone.
            self._teller.take_untold()
            self.mailbox.try_send(origin_teller.TellOrigins(self._origins.recent(now)))

    async def find_origin(
        self, stream: stream_origins.StreamId | None, pool: ids.PoolId, life_s: float
    ) -> stream_origins.Origin | None:
        """Returns where a stream began, or None if that is not certain.

        Args:
            stream: The stream; None if its caller does not name it.
            pool: Pool at which it began unless a router knows better.
            life_s: Longest time since it began.
        """
        origin = await self._find_origin(stream, pool, life_s)
        if origin is not None and origin.unconfirmed is not None:
            origin = await self._confirm_process(origin, origin.unconfirmed)
        if origin is None or origin.doubted:
            return None
        if not self._history.is_registered(origin.software):
            # Its upstreams may have joined since the directory answered this router.
            await self._directory.confirm(CONFIRM_TIMEOUT_S)
        return origin

    async def _confirm_process(
        self, origin: stream_origins.Origin, process: stream_origins.Process
    ) -> stream_origins.Origin | None:
        """Returns an origin as certain if its process is still the one that is registered.

        If the store does not answer this router either, it goes by what the directory last said:
        streams outlive an outage of the store, in which no upstream can register.
        """
        await self._directory.confirm(CONFIRM_TIMEOUT_S)
        registration = self._directory.find(process.upstream)
        if registration is None or registration.incarnation != process.incarnation:
            return None
        return dataclasses.replace(origin, unconfirmed=None)

    async def _find_origin(
        self, stream: stream_origins.StreamId | None, pool: ids.PoolId, life_s: float
    ) -> stream_origins.Origin | None:
        known = self._origins.find(stream, trio.current_time()) if stream else None
        if known is not None:
            return known
        stream = stream or _UNNAMED_STREAM
        question, is_confirmed = await self._ask_with_directory(stream, life_s)
        if question.origin is not None:
            self._origins.add(question.origin, trio.current_time())
            return question.origin
        own = self._history.seen(trio.current_time())
        own = own if is_confirmed else own.unconfirmed()
        sole = own.joined(question.seen.values()).sole_version(life_s)
        _log.info(
            "stream_origin_unknown",
            request=stream.request,
            pool=pool,
            answered=len(question.seen),
            missing=question.missing,
            versions=sorted(own.versions),
            confirmed=is_confirmed,
            observed_s=round(own.observed_s, 1),
            peers_observed_s=sorted(round(seen.observed_s, 1) for seen in question.seen.values()),
            assumed=sole,
        )
        return stream_origins.Origin(stream, pool, sole) if sole is not None else None

    async def _ask_with_directory(
        self, stream: stream_origins.StreamId, life_s: float
    ) -> tuple[origin_questions.Question, bool]:
        """Asks routers for a stream, and the directory for versions that have come since it began.

        Args:
            stream: The stream.
            life_s: Longest time since it began.

        Returns:
            The answers of the routers, and whether the directory has answered this router.
        """
        own = self._history.seen(trio.current_time())
        addresses = self._routers.choose_asked(stream)
        if len(own.versions) > 1:  # Then it matters only who knows the stream.
            return await self._ask(stream, addresses, wants_seen=False), False
        can_vouch = own.sole_version(life_s) is not None
        confirmation = origin_questions.Confirmation(self._directory, self._configuration)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(confirmation.ask, CONFIRM_TIMEOUT_S)
            question = await self._ask(stream, addresses, wants_seen=not can_vouch)
            if question.origin is not None:
                nursery.cancel_scope.cancel()
        if question.origin is None and can_vouch and not confirmation.is_complete:
            first = question
            question = await self._ask(stream, addresses, wants_seen=True)
            question.seen = first.seen | question.seen
        return question, confirmation.is_complete

    async def _ask(
        self,
        stream: stream_origins.StreamId,
        addresses: dict[ids.VmId, ids.Address],
        wants_seen: bool,
        process: stream_origins.Process | None = None,
    ) -> origin_questions.Question:
        """Asks routers for a stream, and learns from them what they have seen.

        The arguments are those of `origin_asker.OriginAsker.ask`.
        """
        asked_at = trio.current_time()
        question = await self._asker.ask(stream, addresses, wants_seen, process)
        for seen in question.seen.values():
            self._history.extend(seen, asked_at, trio.current_time())
        return question

    async def _answer(self, query: stream_origins.OriginQuery, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        is_known = self._origins.find(query.stream, now) is not None
        may_vouch = self._may_vouch(query.stream, now)
        # The upstream that began a stream here may have started again with other software.
        is_own = query.stream in self._beginnings
        needs_directory = is_own or query.process is not None
        needs_directory = needs_directory or (query.wants_seen and may_vouch and not is_known)
        if not needs_directory or self._pending_answers >= MAX_PENDING_ANSWERS:
            await self._send_answer(query, is_confirmed=False)
        else:
            self._pending_answers += 1
            nursery.start_soon(self._answer_confirmed, query)

    def _may_vouch(self, stream: stream_origins.StreamId, now: float) -> bool:
        """Returns whether it is worth while to have the directory confirm what was seen."""
        seen = self._history.seen(now)
        if stream == _ANY_STREAM and not seen.covers_all_streams:
            # A router that learns what served before it started gains nothing by less.
            return False
        return len(seen.versions) == 1

    async def _answer_confirmed(self, query: stream_origins.OriginQuery) -> None:
        """Answers once the directory has confirmed what this router has seen, or has not."""
        try:
            confirmation = origin_questions.Confirmation(self._directory, self._configuration)
            await confirmation.ask(ANSWER_CONFIRM_TIMEOUT_S)
            await self._send_answer(query, confirmation.is_complete)
        finally:
            self._pending_answers -= 1

    async def _send_answer(self, query: stream_origins.OriginQuery, is_confirmed: bool) -> None:
        now = trio.current_time()
        seen = self._history.seen(now)
        answer = stream_origins.OriginAnswer(
            query.number,
            self._vm,
            self._origins.find(query.stream, now),
            seen if is_confirmed else seen.unconfirmed(),
            query.process is not None and self._is_replaced(query.process),
        )
        await self._peers.send_datagram([query.reply_to], answer)

    def _is_replaced(self, process: stream_origins.Process) -> bool:
        """Returns whether the directory, which answers this router, lists another process."""
        if not self._is_directory_current():
            return False
        registration = self._directory.find(process.upstream)
        return registration is None or registration.incarnation != process.incarnation

    def _is_directory_current(self) -> bool:
        """Returns whether the directory has answered this router lately, and still does."""
        now = trio.current_time()
        return not self._is_directory_silent and self._history.is_current(now)
