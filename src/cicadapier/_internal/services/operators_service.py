"""HTTP listener for operators: status, configuration, explanations and metrics."""

import hmac
import http
import urllib.parse

import msgspec
import trio

from cicadapier._internal.decisions import crash_causes
from cicadapier._internal.decisions import patches
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.kernel import random_tokens
from cicadapier._internal.kernel import service
from cicadapier._internal.models import configuration_parser
from cicadapier._internal.models import documents
from cicadapier._internal.models import exceptions as model_exceptions
from cicadapier._internal.models import ids
from cicadapier._internal.models import schema
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import http_server
from cicadapier._internal.protocols import partial_json
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

_MAX_VERSION_DIGITS = 15
_METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class OperatorsService(listening_service.ListeningService):
    """Handles the requests of operators."""

    name = names.OPERATORS

    def __init__(
        self,
        cfg: settings.Settings,
        network: transport.Network,
        token_source: random_tokens.TokenSource,
    ) -> None:
        super().__init__(cfg, cfg.listen.operators, network, token_source)
        self._kernel: service.Kernel | None = None
        self._configuration: configuration_service.ConfigurationService | None = None
        self._explainer: explanations.Explainer | None = None

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._kernel = kernel
        self._configuration = kernel.find(names.CONFIGURATION)
        self._explainer = explanations.Explainer(kernel)
        self._telemetry = kernel.find(names.TELEMETRY)
        async with trio.open_nursery() as nursery:
            await self.listen(nursery)
            task_status.started()

    async def handle(self, req: http_server.Request, responder: http_server.Responder) -> None:
        """See `http_server.Handler.handle`."""
        if not self._is_authorized(req):
            await _send_error(responder, http.HTTPStatus.UNAUTHORIZED, "invalid operator token")
            return
        handlers = {
            ("GET", "/status"): self._show_status,
            ("GET", "/metrics"): self._show_metrics,
            ("GET", "/config"): self._show_configuration,
            ("GET", "/config/history"): self._show_history,
            ("POST", "/config/check"): self._check_document,
            ("POST", "/config/patch"): self._submit_patch,
            ("POST", "/explain"): self._explain_choice,
            ("GET", "/blocked"): self._show_blocked,
            ("POST", "/blocked/lift"): self._lift_block,
        }
        handler = handlers.get((req.method, req.path))
        if handler is None:
            await _send_error(
                responder, http.HTTPStatus.NOT_FOUND, f"no handler for {req.method} {req.path}"
            )
            return
        await handler(req, responder)

    def _is_authorized(self, req: http_server.Request) -> bool:
        token = self._settings.operator_token
        if not token:
            return True
        credential = (req.header(b"authorization") or b"").removeprefix(b"Bearer ")
        return hmac.compare_digest(credential, token.encode())

    @property
    def _config_service(self) -> configuration_service.ConfigurationService:
        assert self._configuration
        return self._configuration

    async def _show_status(
        self, req: http_server.Request, responder: http_server.Responder
    ) -> None:
        assert self._kernel
        peers: peers_service.PeersService = self._kernel.find(names.PEERS)
        reply: mailbox.Reply[traffic_messages.Status] = mailbox.Reply()
        self._traffic.mailbox.send(traffic_messages.GetStatus(reply))
        status = await reply.get()
        reachable = peers.members.reachable(trio.current_time())
        body = {
            "vm": self._settings.vm,
            "failure_domain": self._settings.failure_domain,
            "configuration_number": self._config_service.current.number,
            "keys": self._config_service.current.key_policy.value,
            "valid_keys": len(self._config_service.current.accounts_by_key_hash),
            "platform_reachable": self._config_service.platform_reachable,
            "draining": self._kernel.is_stopping,
            "peers": sorted(heartbeat.vm for heartbeat in reachable),
            "active_requests": status.active_requests,
            "queued": status.queued,
            "upstreams": [schema.to_plain(item) for item in status.upstreams],
            "accounts": {
                account_id: {
                    "class": account.service_class.value,
                    "weight": account.weight,
                    "limits": schema.to_plain(account.limits),
                }
                for account_id, account in self._config_service.current.content.accounts.items()
            },
        }
        await responder.send_json(body)

    async def _show_metrics(
        self, req: http_server.Request, responder: http_server.Responder
    ) -> None:
        assert self._kernel
        telemetry: telemetry_service.TelemetryService = self._kernel.find(names.TELEMETRY)
        await responder.send_response(
            http.HTTPStatus.OK, [(b"content-type", _METRICS_TYPE)], telemetry.exposition()
        )

    async def _show_configuration(
        self, req: http_server.Request, responder: http_server.Responder
    ) -> None:
        document = self._config_service.document
        await responder.send_json({"number": document.number, "document": document.content})

    async def _show_history(
        self, req: http_server.Request, responder: http_server.Responder
    ) -> None:
        changes = [schema.to_plain(change) for change in self._config_service.document.history]
        await responder.send_json(
            {"number": self._config_service.document.number, "changes": changes}
        )

    async def _check_document(
        self, req: http_server.Request, responder: http_server.Responder
    ) -> None:
        try:
            document = documents.Document(req.body.decode("utf-8", "replace"))
            configuration_parser.parse(document.value)
        except model_exceptions.InvalidDocumentError as exc:
            await _send_faults(responder, exc.faults)
            return
        await responder.send_json({"valid": True})

    async def _submit_patch(
        self, req: http_server.Request, responder: http_server.Responder
    ) -> None:
        query = dict(urllib.parse.parse_qsl(req.query))
        version = query.get("version", "")
        if not (version.isascii() and version.isdigit()) or len(version) > _MAX_VERSION_DIGITS:
            message = "expected ?version=N, the configuration number that the patch is based on"
            await _send_error(responder, http.HTTPStatus.BAD_REQUEST, message)
            return
        try:
            patch = documents.Document(req.body.decode("utf-8", "replace")).value
        except model_exceptions.InvalidDocumentError as exc:
            await _send_faults(responder, exc.faults)
            return
        submission = configuration_store.Submission(
            ids.PatchId(self._tokens.token_hex(8)),
            query.get("author", "unknown"),
            ids.ConfigNumber(int(version)),
            patch,
        )
        await _send_patch_result(responder, await self._config_service.submit(submission))

    async def _show_blocked(
        self, req: http_server.Request, responder: http_server.Responder
    ) -> None:
        reply: mailbox.Reply[list[crash_causes.Verdict]] = mailbox.Reply()
        self._traffic.mailbox.send(traffic_messages.GetBlockedParts(reply))
        now = trio.current_time()
        blocked = [
            {
                "part": verdict.part,
                "crashes": verdict.crashes,
                "last_crash_s": round(now - verdict.last_crash_at, 1),
                "ruled_out": verdict.ruled_out,
            }
            for verdict in await reply.get()
        ]
        await responder.send_json({"blocked": blocked})

    async def _lift_block(self, req: http_server.Request, responder: http_server.Responder) -> None:
        query = dict(urllib.parse.parse_qsl(req.query))
        part = ids.PartId(query.get("part", ""))
        reply: mailbox.Reply[bool] = mailbox.Reply()
        self._traffic.mailbox.send(traffic_messages.LiftBlock(part, reply))
        if await reply.get():
            await responder.send_json({"part": part, "lifted": True})
            return
        message = f"the part {part!r} is not blocked"
        await _send_error(responder, http.HTTPStatus.NOT_FOUND, message)

    @property
    def _traffic(self) -> traffic_service.TrafficService:
        assert self._kernel
        traffic: traffic_service.TrafficService = self._kernel.find(names.TRAFFIC)
        return traffic

    async def _explain_choice(
        self, req: http_server.Request, responder: http_server.Responder
    ) -> None:
        assert self._explainer
        try:
            explain_request = msgspec.json.decode(req.body, type=explanations.ExplainRequest)
        except partial_json.DECODING_ERRORS as exc:
            await _send_error(responder, http.HTTPStatus.BAD_REQUEST, str(exc))
            return
        answer = await self._explainer.explain(explain_request, self._config_service.current)
        if isinstance(answer, explanations.ExplainFailure):
            await _send_error(responder, http.HTTPStatus.BAD_REQUEST, answer.reason)
        else:
            await responder.send_json(schema.to_plain(answer))


async def _send_patch_result(
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
                "changes": [schema.to_plain(change) for change in result.changes],
            }
        }
        await responder.send_json(body, http.HTTPStatus.CONFLICT)
    elif isinstance(result, patches.Invalid):
        await _send_faults(responder, result.faults)
    else:
        body = {
            "error": {
                "message": f"it is unknown whether the patch took effect: {result.reason}; "
                "check the history before submitting it again",
                "code": "unsettled",
            }
        }
        await responder.send_json(body, http.HTTPStatus.SERVICE_UNAVAILABLE)


async def _send_faults(
    responder: http_server.Responder,
    faults: "list[model_exceptions.Fault] | tuple[model_exceptions.Fault, ...]",
) -> None:
    body = {
        "error": {
            "message": "; ".join(fault.describe() for fault in faults),
            "code": "invalid",
            "faults": [schema.to_plain(fault) for fault in faults],
        }
    }
    await responder.send_json(body, http.HTTPStatus.UNPROCESSABLE_ENTITY)


async def _send_error(
    responder: http_server.Responder, status: http.HTTPStatus, message: str
) -> None:
    await responder.send_json({"error": {"message": message}}, status)
