"""Notices that an upstream has started again before the directory says so."""

import collections.abc
import dataclasses

import structlog
import trio

from cicadapier._internal.decisions import stream_origins
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.models import ids
from cicadapier._internal.services import connections_service
from cicadapier._internal.services import directory_service
from cicadapier._internal.services import process_checks

MIN_CHECK_INTERVAL_S = 0.2  # Between two checks of one upstream.
MAX_SUSPECTS = 256

_log = structlog.get_logger()

# Called with the process that is gone and the time until which it is known to have lived.
OnReplaced = collections.abc.Callable[[stream_origins.Process, float], None]


@dataclasses.dataclass(slots=True)
class _Suspect:
    """An upstream whose process may have ended.

    Attributes:
        alive_until: Time until which its process is known to have lived.
        checked_at: Time of the last check.
    """

    alive_until: float
    checked_at: float = float("-inf")


class ReplacedProcesses(connections_service.LossListener):
    """Asks upstreams which process they are, once their connections were lost.

    A process that ends closes all of its connections. The one that follows it under the same id may
    have other software and take requests before its directory entry is written.
    """

    def __init__(self, on_replaced: OnReplaced) -> None:
        """Creates it.

        Args:
            on_replaced: Called for each process that another one has replaced.
        """
        self._on_replaced = on_replaced
        self._suspects: dict[ids.UpstreamId, _Suspect] = {}  # Oldest first.
        self._replaced: dict[ids.UpstreamId, ids.Incarnation] = {}
        self._due: mailbox.Mailbox[ids.UpstreamId] = mailbox.Mailbox()

    def start(
        self,
        connections: connections_service.ConnectionsService,
        directory: directory_service.DirectoryService,
        checks: process_checks.ProcessChecks,
    ) -> None:
        """Sets the services that it uses, and listens for lost connections from then on."""
        self._directory = directory
        self._checks = checks
        connections.set_loss_listener(self)

    async def run(self) -> None:
        """Checks suspects, one at a time, until it is cancelled."""
        while True:
            upstream = await self._due.receive()
            suspect = self._suspects.get(upstream)
            now = trio.current_time()
            if suspect and now - suspect.checked_at >= MIN_CHECK_INTERVAL_S:
                suspect.checked_at = now
                await self._check(upstream, suspect)

    def record_loss(self, address: ids.Address, alive_until: float) -> None:
        """See `connections_service.LossListener.record_loss`."""
        registration = self._directory.find_stream_upstream(address)
        if registration is None:
            return
        upstream = registration.upstream
        suspect = self._suspects.setdefault(upstream, _Suspect(alive_until))
        suspect.alive_until = max(suspect.alive_until, alive_until)
        if len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]
        self._due.try_send(upstream)

    def record_begin(self, process: stream_origins.Process) -> bool:
        """Records that a stream begins at what is believed to be a process.

        Returns:
            Whether another process is known to be there.
        """
        if process.upstream in self._suspects:
            self._due.try_send(process.upstream)
        return self._replaced.get(process.upstream) == process.incarnation

    def record_registration(self, process: stream_origins.Process) -> None:
        """Records which process the directory names."""
        if self._replaced.get(process.upstream) != process.incarnation:
            self._replaced.pop(process.upstream, None)

    async def _check(self, upstream: ids.UpstreamId, suspect: _Suspect) -> None:
        registration = self._directory.find(upstream)
        if registration is None:
            self._suspects.pop(upstream, None)
            return
        process = stream_origins.Process(upstream, registration.incarnation)
        finding = await self._checks.check(process, registration.address)
        if finding is process_checks.Finding.NO_ANSWER:
            return  # It is asked again as a stream begins there.
        self._suspects.pop(upstream, None)
        if finding is process_checks.Finding.OTHER:
            _log.info("process_replaced_unseen", upstream=upstream, process=process.incarnation)
            self._replaced[upstream] = process.incarnation
            self._on_replaced(process, suspect.alive_until)
