"""Requests upstreams to export cached pieces to the keep (the external KV store)."""

import msgspec
import trio

from cicadapier._internal.decisions import peer_updates
from cicadapier._internal.decisions import routing
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.kernel import service
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import exceptions as protocol_exceptions
from cicadapier._internal.protocols import headers
from cicadapier._internal.protocols import http_client
from cicadapier._internal.services import configuration_service
from cicadapier._internal.services import connections_service
from cicadapier._internal.services import names
from cicadapier._internal.services import peers_service

REQUEST_TIMEOUT_S = 2.0
MAX_QUEUED_EXPORTS = 256


class ExportsService(service.Service):
    """Requests exports one after the other; exports that do not fit in the queue are dropped."""

    name = names.EXPORTS

    def __init__(self) -> None:
        self.mailbox: mailbox.Mailbox[routing.Export] = mailbox.Mailbox(MAX_QUEUED_EXPORTS)
        self._connections: connections_service.ConnectionsService | None = None
        self._configuration: configuration_service.ConfigurationService | None = None
        self._peers: peers_service.PeersService | None = None

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._connections = kernel.find(names.CONNECTIONS)
        self._configuration = kernel.find(names.CONFIGURATION)
        self._peers = kernel.find(names.PEERS)
        task_status.started()
        while True:
            await self._export(await self.mailbox.receive())

    async def _export(self, export: routing.Export) -> None:
        assert self._connections and self._configuration and self._peers
        pools = self._configuration.current.content.pools
        pool = pools.get(export.pool)
        keep = pools.get(pool.keep) if pool and pool.keep else None
        upstream = pool.upstreams.get(export.upstream) if pool else None
        if keep is None or upstream is None or len(keep.upstreams) == 0:
            return
        keep_address = next(iter(keep.upstreams.values())).address
        body = {"keep": keep_address, "pieces": [piece.hex() for piece in export.pieces]}
        if await self._request_export(upstream.address, msgspec.json.encode(body)):
            self._peers.announce_export(peer_updates.KeptPieces(export.pool, export.pieces))

    async def _request_export(self, address: ids.Address, body: bytes) -> bool:
        assert self._connections
        head = http_client.RequestHead(
            "POST", "/kv/export", [(headers.CONTENT_TYPE, b"application/json")]
        )
        try:
            conn = await self._connections.acquire(address, REQUEST_TIMEOUT_S)
        except protocol_exceptions.ConnectError:
            return False
        try:
            response, _ = await connections_service.exchange(conn, head, body, REQUEST_TIMEOUT_S)
        except protocol_exceptions.ProtocolError:
            await self._connections.discard(address, conn)
            return False
        await self._connections.release(address, conn)
        return response.status == 200
