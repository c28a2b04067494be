"""Asks an upstream itself whether its process is still the one that is known."""

import enum

import trio

from cicadapier._internal.decisions import stream_origins
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import engines
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.services import connections_service
from cicadapier._internal.services import known_limits

TIMEOUT_S = 0.3


class Finding(enum.Enum):
    """What an upstream says of its process.

    Attributes:
        SAME: The known process has answered.
        OTHER: Another process has answered.
        NO_ANSWER: No process has answered in time.
        UNDATED: A process has answered that does not say when it started.
    """

    SAME = "same"
    OTHER = "other"
    NO_ANSWER = "no_answer"
    UNDATED = "undated"


class ProcessChecks:
    """Checks processes of upstreams by their status reports.

    An upstream keeps its id when it starts again, maybe with other software. While the directory
    does not answer, only the upstream can tell one process from the next.
    """

    def __init__(
        self,
        connections: connections_service.ConnectionsService,
        engine_format: engines.EngineFormat,
        limits: known_limits.KnownLimits,
    ) -> None:
        self._connections = connections
        self._engine_format = engine_format
        self._limits = limits

    async def check(self, process: stream_origins.Process, address: ids.Address) -> Finding:
        """Asks an upstream which process it is; waits for `TIMEOUT_S` at most.

        Args:
            process: The known process.
            address: Address of the upstream.
        """
        with trio.move_on_after(TIMEOUT_S):
            body = await self._fetch_report(process.upstream, address)
            if body is None:
                return Finding.NO_ANSWER
            current = self._engine_format.read_incarnation(body, process.upstream)
            if current is None:
                return Finding.UNDATED
            return Finding.SAME if current == process.incarnation else Finding.OTHER
        return Finding.NO_ANSWER

    async def _fetch_report(self, upstream: ids.UpstreamId, address: ids.Address) -> bytes | None:
        try:
            conn = await self._connections.open(address, TIMEOUT_S)
        except exceptions.ProtocolError:
            return None
        try:
            self._limits.count_send(upstream, "report")
            request = self._engine_format.make_report_request()
            _, body = await connections_service.exchange(conn, request, b"", TIMEOUT_S)
        except exceptions.ProtocolError:
            return None
        finally:
            with trio.CancelScope(shield=True):
                await conn.close()
        return body
