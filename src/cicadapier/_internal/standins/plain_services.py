"""Stand-ins for a plain HTTP service and for the keep, the external KV cache store."""

import hashlib

import msgspec
import trio

from cicadapier._internal.models import ids
from cicadapier._internal.protocols import http_server
from cicadapier._internal.protocols import transport
from cicadapier._internal.standins import faults
from cicadapier._internal.standins import keep_model
from cicadapier._internal.standins import ledger
from cicadapier._internal.standins import upstream_server

SERVICE_TIME_S = 0.01


class PlainService(upstream_server.UpstreamServer):
    """A service that records each request in the ledger and answers with a receipt."""

    def __init__(
        self,
        upstream: ids.UpstreamId,
        network: transport.Network,
        active_faults: faults.ActiveFaults,
        call_ledger: ledger.Ledger,
    ) -> None:
        super().__init__(upstream, network, active_faults, call_ledger)
        self._running_count = 0

    def on_crash(self) -> None:
        """See `UpstreamServer.on_crash`."""
        self._running_count = 0

    async def handle(self, req: http_server.Request, responder: http_server.Responder) -> None:
        """See `http_server.Handler.handle`."""
        await self.wait_while_paused()
        if req.path == "/load":
            await responder.send_json(self._make_load_report())
            return
        call = upstream_server.make_call(req)
        self.record(call, ledger.LedgerEvent.STARTED)
        self._running_count += 1
        try:
            slowdown = self.active_faults.amount(faults.FaultKind.SLOW, self.upstream, 1.0)
            await trio.sleep(SERVICE_TIME_S * slowdown)
            await self.wait_while_paused()
            self.record(call, ledger.LedgerEvent.FINISHED)
            await self.delay_response()
            identity_headers = upstream_server.identity_headers(self, call)
            await responder.send_json(self._make_receipt(call), 200, identity_headers)
        finally:
            self._running_count = max(0, self._running_count - 1)

    def _make_receipt(self, call: ledger.Call) -> dict[str, object]:
        body = b"another call" if self.has_crossed_answers() else call.body
        return {
            "method": call.method,
            "path": call.path,
            "body_sha256": hashlib.sha256(body).hexdigest(),
            "upstream": self.upstream,
        }

    def _make_load_report(self) -> dict[str, object]:
        return {
            "incarnation": self.incarnation,
            "age_s": 0.0,
            "queued_tokens": 0,
            "queued_interactive_tokens": 0,
            "running": self._running_count,
            "leaving": self.is_leaving,
            "models": {},
        }


class _PiecesBody(msgspec.Struct):
    pieces: list[str]


class KeepServer(upstream_server.UpstreamServer):
    """Server of the keep, which stores exported pieces and evicts the least recently used."""

    def __init__(
        self,
        upstream: ids.UpstreamId,
        network: transport.Network,
        active_faults: faults.ActiveFaults,
        call_ledger: ledger.Ledger,
    ) -> None:
        super().__init__(upstream, network, active_faults, call_ledger)
        self._model = keep_model.KeepModel()

    def on_crash(self) -> None:
        """See `UpstreamServer.on_crash`."""
        self._model.clear()

    async def handle(self, req: http_server.Request, responder: http_server.Responder) -> None:
        """See `http_server.Handler.handle`."""
        await self.wait_while_paused()
        if req.path == "/store":
            pieces = msgspec.json.decode(req.body, type=_PiecesBody).pieces
            self._model.store(ids.PieceId(bytes.fromhex(piece)) for piece in pieces)
            await responder.send_json({"pieces": len(pieces)})
        elif req.path == "/have":
            pieces = msgspec.json.decode(req.body, type=_PiecesBody).pieces
            await responder.send_json({"pieces": self._prefix_length(pieces)})
        elif req.path == "/load":
            await responder.send_json({"incarnation": self.incarnation, "pieces": len(self._model)})
        else:
            await responder.send_json({"error": {"message": "no such path"}}, 404)

    def _prefix_length(self, pieces: list[str]) -> int:
        return self._model.prefix_length([ids.PieceId(bytes.fromhex(p)) for p in pieces])
