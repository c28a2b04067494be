"""Checks of an upstream after a connection to it was lost or made no progress."""

import dataclasses

import msgspec

from cicadapier._internal.models import ids
from cicadapier._internal.protocols import answers
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import partial_json
from cicadapier._internal.protocols import upstream_bodies
from cicadapier._internal.services import connections_service

CHECK_TIMEOUT_S = 0.3
# A lost packet is only retransmitted after a second, so a single timeout proves little.
MAX_CONNECT_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Result of a check of an upstream.

    Attributes:
        crashed: Whether the upstream has crashed.
        unreachable: Whether no connection to it can be opened.
    """

    crashed: bool = False
    unreachable: bool = False


class UpstreamChecker:
    """Checks the condition of one upstream."""

    def __init__(
        self,
        connections: connections_service.ConnectionsService,
        address: ids.Address,
        incarnation: ids.Incarnation,
        answer_format: answers.AnswerFormat,
    ) -> None:
        """Creates the checker.

        Args:
            connections: Connections to upstreams.
            address: Address of the upstream.
            incarnation: Last known incarnation of the upstream; empty if none is known.
            answer_format: Format of its answers.
        """
        self._connections = connections
        self._address = address
        self._incarnation = incarnation
        self._answer_format = answer_format

    async def is_reachable(self, is_direct: bool) -> bool:
        """Returns whether an open connection that makes no progress can still be expected to.

        Args:
            is_direct: Whether it was opened without a peer. If the direct link carries nothing,
                such a connection is dead, although a peer may reach the upstream.
        """
        open_connection = self._connections.open_direct if is_direct else self._connections.open
        for _ in range(MAX_CONNECT_ATTEMPTS):
            try:
                conn = await open_connection(self._address, CHECK_TIMEOUT_S)
            except exceptions.ConnectRefusedError:
                # Something answers. An upstream at its limit of connections refuses new ones, and
                # so does a lost link that leaves open ones alone; where the process has ended, its
                # kernel resets the open connection, at the latest as it is probed.
                return True
            except exceptions.ConnectError:
                continue
            await conn.close()
            return True
        return False

    async def check_after_loss(self) -> Condition:
        """Returns the condition of the upstream after a connection to it was lost."""
        try:
            conn = await self._connections.open(self._address, CHECK_TIMEOUT_S)
        except exceptions.ConnectRefusedError:
            return Condition(crashed=True, unreachable=True)
        except exceptions.ConnectError:
            return Condition(unreachable=True)
        try:
            return Condition(crashed=await self._has_restarted(conn))
        finally:
            await conn.close()

    async def _has_restarted(self, conn: http_client.ClientConnection) -> bool:
        """Returns whether an incarnation answers that differs from the last known one."""
        probe = self._answer_format.make_incarnation_probe()
        if probe is None:
            return False
        try:
            _, body = await connections_service.exchange(conn, probe, b"", CHECK_TIMEOUT_S)
            current = msgspec.json.decode(body, type=upstream_bodies.LoadReport).incarnation
        except (exceptions.ProtocolError, *partial_json.DECODING_ERRORS):
            return False
        known = self._incarnation
        return bool(current and known and current != known)


def describe_failure(exc: exceptions.ProtocolError) -> str:
    """Returns how a connection to an upstream failed, for outcomes and logs."""
    if isinstance(exc, exceptions.SilentConnectionError):
        return "the upstream made no progress in time"
    if isinstance(exc, exceptions.ConnectionLostError):
        return "the connection to the upstream was lost"
    return "the upstream violated the protocol"
