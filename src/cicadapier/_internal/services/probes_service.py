"""Listeners for the load balancer's readiness probe and for metrics."""

import dataclasses
import functools
import http
from typing import Protocol

import trio

from cicadapier._internal.kernel import random_tokens
from cicadapier._internal.kernel import service
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import http_server
from cicadapier._internal.protocols import transport
from cicadapier._internal.services import listening_service
from cicadapier._internal.services import names

METRICS_PATH = "/metrics"
METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class ReadinessView(Protocol):
    """The service that determines whether this router accepts new connections."""

    @property
    def readiness(self) -> str:
        """`ready`, or the reason why the router is not ready."""


class ProbesListener(listening_service.ListeningService):
    """Answers probes, which need few connections."""

    def caller_limits(self) -> settings.CallerLimits:
        """See `ListeningService.caller_limits`."""
        return self._probe_limits

    @functools.cached_property
    def _probe_limits(self) -> settings.CallerLimits:
        limits = self._settings.caller_limits
        connections = min(limits.connections, limits.probe_connections)
        return dataclasses.replace(limits, connections=connections)


class ReadinessService(ProbesListener):
    """Answers the load balancer's probe whether this router accepts new connections."""

    name = names.READINESS

    def __init__(
        self,
        cfg: settings.Settings,
        path: str,
        network: transport.Network,
        token_source: random_tokens.TokenSource,
    ) -> None:
        super().__init__(cfg, cfg.listen.readiness, network, token_source)
        self._path = path
        self._kernel: service.Kernel | None = None

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._kernel = kernel
        self._telemetry = kernel.find(names.TELEMETRY)
        async with trio.open_nursery() as nursery:
            await self.listen(nursery)
            task_status.started()

    async def handle(self, req: http_server.Request, responder: http_server.Responder) -> None:
        """See `http_server.Handler.handle`."""
        assert self._kernel
        if req.path != self._path:
            await responder.send_json({"status": "unknown path"}, http.HTTPStatus.NOT_FOUND)
            return
        callers: ReadinessView = self._kernel.find(names.CALLERS)
        status = http.HTTPStatus.OK
        if callers.readiness != "ready":
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
        await responder.send_json({"status": callers.readiness}, status)


class MetricsService(ProbesListener):
    """Serves the metrics in the Prometheus text format."""

    name = names.METRICS

    def __init__(
        self,
        cfg: settings.Settings,
        network: transport.Network,
        token_source: random_tokens.TokenSource,
    ) -> None:
        super().__init__(cfg, cfg.listen.metrics, network, token_source)

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._telemetry = kernel.find(names.TELEMETRY)
        async with trio.open_nursery() as nursery:
            await self.listen(nursery)
            task_status.started()

    async def handle(self, req: http_server.Request, responder: http_server.Responder) -> None:
        """See `http_server.Handler.handle`."""
        assert self._telemetry
        if req.path != METRICS_PATH:
            await responder.send_json({"status": "unknown path"}, http.HTTPStatus.NOT_FOUND)
            return
        body = self._telemetry.exposition()
        await responder.send_response(http.HTTPStatus.OK, [(b"content-type", METRICS_TYPE)], body)
