"""The listener for callers."""

import collections.abc
import hashlib
import urllib.parse

import structlog
import trio

from cicadapier._internal.kernel import exceptions as kernel_exceptions
from cicadapier._internal.kernel import service
from cicadapier._internal.kernel import tokens
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import completions
from cicadapier._internal.protocols import exceptions as protocol_exceptions
from cicadapier._internal.protocols import headers
from cicadapier._internal.protocols import http_server
from cicadapier._internal.protocols import transport
from cicadapier._internal.services import configuration_service
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import listening_service
from cicadapier._internal.services import model_requests
from cicadapier._internal.services import names
from cicadapier._internal.services import request_context
from cicadapier._internal.services import service_calls
from cicadapier._internal.services import telemetry_service

SERVICES_PREFIX = "/services/"
HEALTH_PATHS = ("/livez", "/readyz")
QUIET_S = 1.0
DRAIN_POLL_S = 0.05
_MODEL_PATHS = {endpoint.value: endpoint for endpoint in completions.Endpoint}
_REJECT_CODES = {
    protocol_exceptions.BadRequestKind.MALFORMED: outcomes.Code.INVALID_REQUEST,
    protocol_exceptions.BadRequestKind.HEADERS_TOO_LARGE: outcomes.Code.HEADERS_TOO_LARGE,
    protocol_exceptions.BadRequestKind.BODY_TOO_LARGE: outcomes.Code.BODY_TOO_LARGE,
    protocol_exceptions.BadRequestKind.SLOW: outcomes.Code.SLOW_REQUEST,
}

_log = structlog.get_logger()


class CallersService(listening_service.ListeningService):
    """Accepts callers' requests and hands them to their handlers."""

    name = names.CALLERS

    def __init__(
        self, cfg: settings.Settings, network: transport.Network, token_source: tokens.TokenSource
    ) -> None:
        super().__init__(cfg, cfg.listen.callers, network, token_source)
        self._kernel: service.Kernel | None = None
        self._configuration: configuration_service.ConfigurationService | None = None
        self._telemetry: telemetry_service.TelemetryService | None = None
        self._models: model_requests.ModelRequests | None = None
        self._calls: service_calls.ServiceCalls | None = None
        self._open = 0
        self._last_request_at = trio.current_time()
        self._draining = False

    async def run(self, kernel: service.Kernel, started: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._kernel = kernel
        self._configuration = kernel.find(names.CONFIGURATION)
        self._telemetry = kernel.find(names.TELEMETRY)
        services = request_context.Services(kernel, self._settings)
        secret = hashlib.blake2b(self._settings.cache_secret.encode(), digest_size=32).digest()
        self._models = model_requests.ModelRequests(services, secret)
        async with trio.open_nursery() as nursery:
            self._calls = service_calls.ServiceCalls(services, nursery)
            await self.listen(nursery)
            started.started()

    async def drain(self) -> None:
        """Finishes open requests; connections are closed after their present answer.

        New requests are still served, until the balancer has noticed and sends none.
        """
        self._draining = True
        self._last_request_at = trio.current_time()
        while self._busy or trio.current_time() - self._last_request_at < QUIET_S:
            await trio.sleep(DRAIN_POLL_S)

    @property
    def _busy(self) -> bool:
        return self._open > 0 or (self._calls is not None and self._calls.claimed_running > 0)

    @property
    def models(self) -> model_requests.ModelRequests:
        """The handler of model requests."""
        assert self._models
        return self._models

    @property
    def accepting(self) -> bool:
        """See `http_server.Handler.accepting`."""
        return not self._draining

    async def handle(self, req: http_server.Request, responder: http_server.Responder) -> None:
        """See `http_server.Handler.handle`."""
        request = ids.RequestId(f"req-{self._tokens.hex(12)}")
        self._open += 1
        if req.path not in HEALTH_PATHS:
            self._last_request_at = trio.current_time()
        try:
            await self._dispatch(request, req, responder)
        except exceptions.RefusedError as exc:
            await self._refuse(request, exc.refusal, responder)
        except kernel_exceptions.KernelError as exc:
            refusal = outcomes.Refusal(outcomes.Code.OVERLOADED, str(exc), retry_after_s=1.0)
            await self._refuse(request, refusal, responder)
        except protocol_exceptions.ConnectionLostError:
            raise
        except Exception:
            # A fault of ours must cost one request and not the router.
            _log.exception("request_failed", request=request)
            message = "this router failed; the request may have run"
            refusal = outcomes.Refusal(outcomes.Code.INTERNAL, message, outcomes.Effect.UNKNOWN)
            await self._refuse(request, refusal, responder)
        finally:
            self._open -= 1

    async def reject(
        self, exc: protocol_exceptions.BadRequestError, responder: http_server.Responder
    ) -> None:
        """See `http_server.Handler.reject`."""
        request = ids.RequestId(f"req-{self._tokens.hex(12)}")
        refusal = outcomes.Refusal(_REJECT_CODES[exc.kind], str(exc))
        await self._refuse(request, refusal, responder)

    async def _refuse(
        self,
        request: ids.RequestId,
        refusal: outcomes.Refusal,
        responder: http_server.Responder,
    ) -> None:
        assert self._telemetry
        self._telemetry.refused(refusal.code.value)
        if not responder.started:
            await request_context.send_refusal(responder, request, refusal)

    async def _dispatch(
        self,
        request: ids.RequestId,
        req: http_server.Request,
        responder: http_server.Responder,
    ) -> None:
        if req.path in HEALTH_PATHS:
            await self._answer_health(req, responder)
            return
        context = self._authenticate(request, req)
        if req.path in _MODEL_PATHS:
            _require_method(req, "POST")
            await self._handle_model(context, req, responder)
        elif req.path == "/v1/models":
            _require_method(req, "GET")
            await responder.send_json(_list_models(context), 200, _identity(context))
        elif req.path.startswith(SERVICES_PREFIX):
            await self._handle_service(context, req, responder)
        else:
            message = f"there is nothing at {req.path}"
            raise exceptions.RefusedError(outcomes.Refusal(outcomes.Code.NOT_FOUND, message))

    async def _answer_health(
        self, req: http_server.Request, responder: http_server.Responder
    ) -> None:
        assert self._configuration
        ready = self._configuration.ready.is_set() and not self._draining
        if req.path == "/livez" or ready:
            await responder.send_json({"status": "ok"})
        else:
            state = "draining" if self._draining else "waiting for a configuration"
            await responder.send_json({"status": state}, 503)

    def _authenticate(
        self, request: ids.RequestId, req: http_server.Request
    ) -> request_context.Context:
        assert self._configuration and self._telemetry
        if not self._configuration.ready.is_set():
            message = "this router has no configuration yet"
            raise exceptions.RefusedError(
                outcomes.Refusal(outcomes.Code.NOT_READY, message, retry_after_s=1.0)
            )
        cfg = self._configuration.current
        raw = (req.header(headers.AUTHORIZATION) or b"").decode("latin-1")
        scheme, _, key = raw.partition(" ")
        account = None
        if scheme.lower() == "bearer":
            # The table holds digests, so its lookup time tells nothing about any key.
            account = cfg.accounts_by_key_hash.get(hashlib.sha256(key.encode()).hexdigest())
        if account is None:
            message = "the API key is missing or unknown"
            raise exceptions.RefusedError(outcomes.Refusal(outcomes.Code.INVALID_KEY, message))
        spec = cfg.content.accounts[account]
        caller = telemetry_service.Caller(account, spec.service_class)
        return request_context.Context(
            request, account, spec, cfg, trio.current_time(), self._telemetry.attributes(caller)
        )

    async def _handle_model(
        self,
        context: request_context.Context,
        req: http_server.Request,
        responder: http_server.Responder,
    ) -> None:
        endpoint = _MODEL_PATHS[req.path]
        depth = self._settings.caller_limits.json_depth
        try:
            parsed = completions.parse(endpoint, req.body, depth)
        except completions.InvalidBodyError as exc:
            refusal = outcomes.Refusal(outcomes.Code.INVALID_REQUEST, str(exc))
            raise exceptions.RefusedError(refusal) from exc
        await self._counted(context, self.models.handle(context, parsed, responder))

    async def _handle_service(
        self,
        context: request_context.Context,
        req: http_server.Request,
        responder: http_server.Responder,
    ) -> None:
        assert self._calls
        rest = req.target[len(SERVICES_PREFIX) :]
        path, separator, query = rest.partition("?")
        pool, _, below = path.partition("/")
        pool_id = ids.PoolId(urllib.parse.unquote(pool))
        target = f"/{below}{separator}{query}"
        await self._counted(context, self._calls.handle(context, pool_id, target, req, responder))

    async def _counted(
        self, context: request_context.Context, handling: collections.abc.Awaitable[None]
    ) -> None:
        assert self._telemetry
        outcome = "abandoned"
        try:
            await handling
            outcome = "complete"
        except exceptions.RefusedError as exc:
            outcome = exc.refusal.effect.value
            raise
        finally:
            self._telemetry.request_ended(outcome, context.attributes)


def _require_method(req: http_server.Request, method: str) -> None:
    if req.method != method:
        message = f"{req.path} takes {method}, not {req.method}"
        raise exceptions.RefusedError(outcomes.Refusal(outcomes.Code.METHOD_NOT_ALLOWED, message))


def _identity(context: request_context.Context) -> list[tuple[bytes, bytes]]:
    return [(headers.REQUEST_ID, context.request.encode())]


def _list_models(context: request_context.Context) -> dict[str, object]:
    models: list[ids.ModelId] = []
    for pool_id, pool in context.cfg.content.pools.items():
        permitted = not context.spec.pools or pool_id in context.spec.pools
        if permitted and pool.kind is configuration.PoolKind.MODEL:
            models.extend(pool.models)
    data = [
        {"id": model, "object": "model", "created": 0, "owned_by": "cicadapier"}
        for model in sorted(models)
    ]
    return {"object": "list", "data": data}
