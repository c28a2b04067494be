"""The listener for operators: status, configuration, explanation and metrics."""

import hmac
import http
import urllib.parse

import msgspec
import trio

from cicadapier._internal.decisions import patches
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.kernel import service
from cicadapier._internal.kernel import tokens
from cicadapier._internal.models import checked
from cicadapier._internal.models import configuration
from cicadapier._internal.models import documents
from cicadapier._internal.models import exceptions as model_exceptions
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import http_server
from cicadapier._internal.protocols import transport
from cicadapier._internal.services import configuration_service
from cicadapier._internal.services import configuration_store
from cicadapier._internal.services import explanations
from cicadapier._internal.services import listening_service
from cicadapier._internal.services import names
from cicadapier._internal.services import peers_service
from cicadapier._internal.services import telemetry_service
from cicadapier._internal.services import traffic_messages
from cicadapier._internal.services import traffic_service

_METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class OperatorsService(listening_service.ListeningService):
    """Answers operators."""

    name = names.OPERATORS

    def __init__(
        self, cfg: settings.Settings, network: transport.Network, token_source: tokens.TokenSource
    ) -> None:
        super().__init__(cfg, cfg.listen.operators, network, token_source)
        self._kernel: service.Kernel | None = None
        self._configuration: configuration_service.ConfigurationService | None = None
        self._explanations: explanations.Explanations | None = None

    async def run(self, kernel: service.Kernel, started: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._kernel = kernel
        self._configuration = kernel.find(names.CONFIGURATION)
        self._explanations = explanations.Explanations(kernel)
        async with trio.open_nursery() as nursery:
            await self.listen(nursery)
            started.started()

    async def handle(self, req: http_server.Request, responder: http_server.Responder) -> None:
        """See `http_server.Handler.handle`."""
        if not self._permitted(req):
            await _fail(responder, http.HTTPStatus.UNAUTHORIZED, "wrong operator token")
            return
        handlers = {
            ("GET", "/status"): self._status,
            ("GET", "/metrics"): self._metrics,
            ("GET", "/config"): self._show,
            ("GET", "/config/history"): self._history,
            ("POST", "/config/check"): self._check,
            ("POST", "/config/patch"): self._patch,
            ("POST", "/explain"): self._explain,
        }
        handler = handlers.get((req.method, req.path))
        if handler is None:
            await _fail(responder, http.HTTPStatus.NOT_FOUND, f"no {req.method} {req.path}")
            return
        await handler(req, responder)

    def _permitted(self, req: http_server.Request) -> bool:
        token = self._settings.operator_token
        if not token:
            return True
        offered = (req.header(b"authorization") or b"").removeprefix(b"Bearer ")
        return hmac.compare_digest(offered, token.encode())

    @property
    def _cfg(self) -> configuration_service.ConfigurationService:
        assert self._configuration
        return self._configuration

    async def _status(self, req: http_server.Request, responder: http_server.Responder) -> None:
        assert self._kernel
        traffic: traffic_service.TrafficService = self._kernel.find(names.TRAFFIC)
        peers: peers_service.PeersService = self._kernel.find(names.PEERS)
        reply: mailbox.Reply[traffic_messages.Status] = mailbox.Reply()
        traffic.mailbox.send(traffic_messages.GetStatus(reply))
        status = await reply.get()
        reachable = peers.members.reachable(trio.current_time())
        body = {
            "vm": self._settings.vm,
            "failure_domain": self._settings.failure_domain,
            "configuration_number": self._cfg.current.number,
            "platform_reachable": self._cfg.platform_reachable,
            "draining": self._kernel.stopping,
            "peers": sorted(heartbeat.vm for heartbeat in reachable),
            "active_requests": status.active_requests,
            "queued": status.queued,
            "upstreams": [checked.to_plain(item) for item in status.upstreams],
            "accounts": {
                account_id: {
                    "class": account.service_class.value,
                    "weight": account.weight,
                    "limits": checked.to_plain(account.limits),
                }
                for account_id, account in self._cfg.current.content.accounts.items()
            },
        }
        await responder.send_json(body)

    async def _metrics(self, req: http_server.Request, responder: http_server.Responder) -> None:
        assert self._kernel
        telemetry: telemetry_service.TelemetryService = self._kernel.find(names.TELEMETRY)
        await responder.send_whole(
            http.HTTPStatus.OK, [(b"content-type", _METRICS_TYPE)], telemetry.exposition()
        )

    async def _show(self, req: http_server.Request, responder: http_server.Responder) -> None:
        document = self._cfg.document
        await responder.send_json({"number": document.number, "document": document.content})

    async def _history(self, req: http_server.Request, responder: http_server.Responder) -> None:
        changes = [checked.to_plain(change) for change in self._cfg.document.history]
        await responder.send_json({"number": self._cfg.document.number, "changes": changes})

    async def _check(self, req: http_server.Request, responder: http_server.Responder) -> None:
        try:
            document = documents.Document(req.body.decode("utf-8", "replace"))
            configuration.parse(document.value)
        except model_exceptions.InvalidDocumentError as exc:
            await _invalid(responder, exc.faults)
            return
        await responder.send_json({"valid": True})

    async def _patch(self, req: http_server.Request, responder: http_server.Responder) -> None:
        query = dict(urllib.parse.parse_qsl(req.query))
        version = query.get("version", "")
        if not version.isdigit():
            message = "expected ?version=N, the number that the patch was written against"
            await _fail(responder, http.HTTPStatus.BAD_REQUEST, message)
            return
        try:
            patch = documents.Document(req.body.decode("utf-8", "replace")).value
        except model_exceptions.InvalidDocumentError as exc:
            await _invalid(responder, exc.faults)
            return
        submission = configuration_store.Submission(
            ids.PatchId(self._tokens.hex(8)),
            query.get("author", "unknown"),
            ids.ConfigNumber(int(version)),
            patch,
        )
        await _answer_patch(responder, await self._cfg.submit(submission))

    async def _explain(self, req: http_server.Request, responder: http_server.Responder) -> None:
        assert self._explanations
        try:
            question = msgspec.json.decode(req.body, type=explanations.Question)
        except msgspec.MsgspecError as exc:
            await _fail(responder, http.HTTPStatus.BAD_REQUEST, str(exc))
            return
        answer = await self._explanations.explain(question, self._cfg.current)
        if isinstance(answer, explanations.Unexplained):
            await _fail(responder, http.HTTPStatus.BAD_REQUEST, answer.reason)
        else:
            await responder.send_json(checked.to_plain(answer))


async def _answer_patch(
    responder: http_server.Responder, result: configuration_store.SubmitResult
) -> None:
    if isinstance(result, configuration_store.PatchApplied):
        await responder.send_json({"number": result.stored.number})
    elif isinstance(result, patches.Stale):
        body = {
            "error": {
                "message": f"the patch is stale: the configuration is at {result.current}",
                "code": "stale",
                "current": result.current,
                "changes": [checked.to_plain(change) for change in result.changes],
            }
        }
        await responder.send_json(body, http.HTTPStatus.CONFLICT)
    elif isinstance(result, patches.Invalid):
        await _invalid(responder, result.faults)
    else:
        body = {
            "error": {
                "message": f"the platform did not settle the patch: {result.reason}; "
                "look at the history before submitting it again",
                "code": "unsettled",
            }
        }
        await responder.send_json(body, http.HTTPStatus.SERVICE_UNAVAILABLE)


async def _invalid(
    responder: http_server.Responder,
    faults: "list[model_exceptions.Fault] | tuple[model_exceptions.Fault, ...]",
) -> None:
    body = {
        "error": {
            "message": "; ".join(fault.describe() for fault in faults),
            "code": "invalid",
            "faults": [checked.to_plain(fault) for fault in faults],
        }
    }
    await responder.send_json(body, http.HTTPStatus.UNPROCESSABLE_ENTITY)


async def _fail(responder: http_server.Responder, status: http.HTTPStatus, message: str) -> None:
    await responder.send_json({"error": {"message": message}}, status)
