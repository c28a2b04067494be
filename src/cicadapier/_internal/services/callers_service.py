"""The listener for requests of callers."""

import collections.abc
import hashlib
import urllib.parse

import trio

from cicadapier._internal.kernel import random_tokens
from cicadapier._internal.kernel import service
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import completions
from cicadapier._internal.protocols import headers
from cicadapier._internal.protocols import http_server
from cicadapier._internal.protocols import transport
from cicadapier._internal.services import configuration_service
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import model_requests
from cicadapier._internal.services import names
from cicadapier._internal.services import request_context
from cicadapier._internal.services import request_listener
from cicadapier._internal.services import service_calls
from cicadapier._internal.services import telemetry_service

SERVICES_PREFIX = "/services/"
HEALTH_PATHS = ("/livez", "/readyz")
_MODEL_PATHS = {endpoint.value: endpoint for endpoint in completions.Endpoint}


class CallersService(request_listener.RequestListener):
    """Accepts, authenticates and dispatches the requests of callers."""

    name = names.CALLERS

    def __init__(
        self,
        cfg: settings.Settings,
        network: transport.Network,
        token_source: random_tokens.TokenSource,
    ) -> None:
        super().__init__(cfg, network, token_source)
        self._kernel: service.Kernel | None = None
        self._configuration: configuration_service.ConfigurationService | None = None
        self._model_handler: model_requests.ModelRequests | None = None
        self._service_handler: service_calls.ServiceCalls | None = None

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._kernel = kernel
        self._configuration = kernel.find(names.CONFIGURATION)
        self._telemetry = kernel.find(names.TELEMETRY)
        services = request_context.Services(kernel, self._settings)
        secret = hashlib.blake2b(self._settings.cache_secret.encode(), digest_size=32).digest()
        self._model_handler = model_requests.ModelRequests(services, secret)
        async with trio.open_nursery() as nursery:
            self._service_handler = service_calls.ServiceCalls(services, nursery)
            await self.listen(nursery)
            task_status.started()

    @property
    def is_busy(self) -> bool:
        """See `RequestListener.is_busy`."""
        return self._open_requests > 0 or (
            self._service_handler is not None and self._service_handler.running_claimed_calls > 0
        )

    @property
    def model_handler(self) -> model_requests.ModelRequests:
        """The handler of model requests."""
        assert self._model_handler
        return self._model_handler

    def is_health_check(self, req: http_server.Request) -> bool:
        """See `RequestListener.is_health_check`."""
        return req.path in HEALTH_PATHS

    async def dispatch(
        self,
        request: ids.RequestId,
        req: http_server.Request,
        responder: http_server.Responder,
    ) -> None:
        """See `RequestListener.dispatch`."""
        if req.path in HEALTH_PATHS:
            await self._answer_health(req, responder)
            return
        context = self._authenticate(request, req)
        if req.path in _MODEL_PATHS:
            _require_method(req, "POST")
            await self._handle_model(context, req, responder)
        elif req.path == "/v1/models":
            _require_method(req, "GET")
            await responder.send_json(_list_models(context), 200, _request_id_header(context))
        elif req.path.startswith(SERVICES_PREFIX):
            await self._handle_service(context, req, responder)
        else:
            message = f"no resource exists at {req.path}"
            raise exceptions.RefusedError(outcomes.Refusal(outcomes.RefusalCode.NOT_FOUND, message))

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
        """Returns the context of a request after checking its API key.

        Raises:
            RefusedError: There is no configuration yet, or the API key is missing or unknown.
        """
        assert self._configuration and self._telemetry
        if not self._configuration.ready.is_set():
            message = "this router has no configuration yet"
            raise exceptions.RefusedError(
                outcomes.Refusal(outcomes.RefusalCode.NOT_READY, message, retry_after_s=1.0)
            )
        cfg = self._configuration.current
        authorization = (req.header(headers.AUTHORIZATION) or b"").decode("latin-1")
        scheme, _, key = authorization.partition(" ")
        account = None
        if scheme.lower() == "bearer":
            # The table is keyed by hashes, so the lookup time reveals nothing about the API keys.
            account = cfg.accounts_by_key_hash.get(hashlib.sha256(key.encode()).hexdigest())
        if account is None:
            message = "the API key is missing or unknown"
            raise exceptions.RefusedError(
                outcomes.Refusal(outcomes.RefusalCode.INVALID_KEY, message)
            )
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
            parsed = completions.parse_request(endpoint, req.body, depth)
        except completions.InvalidBodyError as exc:
            refusal = outcomes.Refusal(outcomes.RefusalCode.INVALID_REQUEST, str(exc))
            raise exceptions.RefusedError(refusal) from exc
        await self._count_outcome(context, self.model_handler.handle(context, parsed, responder))

    async def _handle_service(
        self,
        context: request_context.Context,
        req: http_server.Request,
        responder: http_server.Responder,
    ) -> None:
        assert self._service_handler
        target = req.target[len(SERVICES_PREFIX) :]
        path, separator, query = target.partition("?")
        pool, _, subpath = path.partition("/")
        pool_id = ids.PoolId(urllib.parse.unquote(pool))
        upstream_target = f"/{subpath}{separator}{query}"
        await self._count_outcome(
            context, self._service_handler.handle(context, pool_id, upstream_target, req, responder)
        )

    async def _count_outcome(
        self, context: request_context.Context, handling: collections.abc.Awaitable[None]
    ) -> None:
        """Awaits the handling of a request and counts its outcome."""
        assert self._telemetry
        outcome = "abandoned"
        try:
            await handling
            outcome = "complete"
        except exceptions.RefusedError as exc:
            outcome = exc.refusal.effect.value
            raise
        finally:
            self._telemetry.count_request(outcome, context.attributes)


def _require_method(req: http_server.Request, method: str) -> None:
    if req.method != method:
        message = f"{req.path} supports {method}, not {req.method}"
        raise exceptions.RefusedError(
            outcomes.Refusal(outcomes.RefusalCode.METHOD_NOT_ALLOWED, message)
        )


def _request_id_header(context: request_context.Context) -> list[tuple[bytes, bytes]]:
    return [(headers.REQUEST_ID, context.request.encode())]


def _list_models(context: request_context.Context) -> dict[str, object]:
    models: list[ids.ModelId] = []
    for pool_id, pool in context.cfg.content.pools.items():
        if context.spec.may_use(pool_id) and pool.kind is configuration.PoolKind.MODEL:
            models.extend(pool.models)
    data = [
        {"id": model, "object": "model", "created": 0, "owned_by": "cicadapier"}
        for model in sorted(models)
    ]
    return {"object": "list", "data": data}
