"""Listener for forwarded requests, and its drain on shutdown."""

import dataclasses
import functools
import hashlib

import structlog
import trio

from cicadapier._internal.decisions import stopping
from cicadapier._internal.kernel import random_tokens
from cicadapier._internal.kernel import service
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import forwarding
from cicadapier._internal.protocols import headers
from cicadapier._internal.protocols import http_server
from cicadapier._internal.protocols import transport
from cicadapier._internal.services import forwarded_requests
from cicadapier._internal.services import names
from cicadapier._internal.services import request_context
from cicadapier._internal.services import request_listener
from cicadapier._internal.services import watched_configuration
from cicadapier._internal.services.slow_readers import held_output
from cicadapier._internal.services.slow_readers import slow_readers
from cicadapier._internal.services.slow_readers import stream_output

# The balancer checks readiness once a second and stops sending requests after two failed checks.
BALANCER_REMOVAL_S = 2.6
QUIET_PERIOD_S = 0.4  # The drain ends only after this time without a new request.
# Requests that arrive less than this time before the drain ends could not be finished and are
# refused.
START_MARGIN_S = 1.2
# Streams are started for this long after the stop signal. The balancer has removed the router by
# then, and the rest of the grace time is left for the streams to finish.
STREAM_START_WINDOW_S = 2.7
# Reserved for stopping the other services, before the process ends.
SHUTDOWN_MARGIN_S = 0.3
# This long before the drain ends, requests without an answer are refused, so that their callers get
# a status instead of a closed connection.
EXPIRY_MARGIN_S = 0.2
_READY = "ready"

_log = structlog.get_logger()


class ForwardingService(request_listener.RequestListener):
    """Accepts requests of forwarded routes."""

    name = names.CALLERS

    def __init__(
        self,
        cfg: settings.Settings,
        forwarding_settings: settings.Forwarding,
        network: transport.Network,
        wire_format: forwarding.ForwardingFormat,
        token_source: random_tokens.TokenSource,
        orders_by_urgency: bool = False,
    ) -> None:
        super().__init__(cfg, network, token_source)
        self._orders_by_urgency = orders_by_urgency
        self._forwarding_settings = forwarding_settings
        self._wire_format = wire_format
        self._configuration: watched_configuration.WatchedConfiguration | None = None
        self._requests: forwarded_requests.ForwardedRequests | None = None
        self._services: request_context.Services | None = None
        self._kernel: service.Kernel | None = None
        self._declared_limits: settings.CallerLimits | None = None
        self._limits = cfg.caller_limits

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._kernel = kernel
        self._configuration = kernel.find(names.CONFIGURATION)
        self._telemetry = kernel.find(names.TELEMETRY)
        secret = hashlib.blake2b(self._settings.cache_secret.encode(), digest_size=32).digest()
        self._services = request_context.Services(kernel, kernel.settings)
        self._requests = forwarded_requests.ForwardedRequests(
            self._services,
            self._wire_format,
            self._configuration,
            kernel.find(names.UPSTREAMS),
            kernel.find(names.CLUSTER),
            kernel.find(names.ORIGINS),
            kernel.find(names.ACCOUNT_QUOTAS),
            secret,
            self._orders_by_urgency,
            self._choose_output(),
        )
        async with trio.open_nursery() as nursery:
            await self.listen(nursery)
            task_status.started()

    def _choose_output(self) -> stream_output.MakeOutput:
        cfg = self._forwarding_settings.slow_readers
        if not cfg.enabled:
            return stream_output.DirectOutput
        assert self._telemetry
        readers = slow_readers.SlowReaders(cfg, self._telemetry)
        return functools.partial(held_output.HeldOutput, readers)

    def reload(self, cfg: settings.Settings) -> None:
        """See `service.Service.reload`."""
        if cfg.forwarding and self._services:
            self._services.retry_budget.set_settings(cfg.forwarding.retries)

    @property
    def readiness(self) -> str:
        """`ready`, or the reason why this router should get no new connections."""
        if self._draining:
            return "draining"
        if self._configuration is None or not self._configuration.ready.is_set():
            return "no configuration"
        if not self._configuration.has_fresh_proof:
            return "configuration not proved"
        return _READY

    def caller_limits(self) -> settings.CallerLimits:
        """See `ListeningService.caller_limits`."""
        declared = (
            self._configuration.current.content.caller_limits if self._configuration else None
        )
        if declared is None:
            return self._settings.caller_limits
        if declared is not self._declared_limits:
            self._declared_limits = declared
            self._limits = _add_declared(self._settings.caller_limits, declared)
        return self._limits

    async def dispatch(
        self,
        request: ids.RequestId,
        req: http_server.Request,
        responder: http_server.Responder,
    ) -> None:
        """See `RequestListener.dispatch`."""
        assert self._requests
        await self._requests.handle(req, responder)

    def request_id(self, req: http_server.Request | None) -> ids.RequestId:
        """See `RequestListener.request_id`."""
        header = req.header(headers.REQUEST_ID) if req else None
        return ids.RequestId((header or b"").decode("latin-1"))

    async def send_refusal(
        self,
        request: ids.RequestId,
        refusal: outcomes.Refusal,
        responder: http_server.Responder,
    ) -> None:
        """See `RequestListener.send_refusal`."""
        extra = [(headers.REQUEST_ID, request.encode("latin-1"))] if request else []
        if refusal.retry_after_s is not None:
            value = self._wire_format.format_retry_after(refusal.retry_after_s)
            extra.append((headers.RETRY_AFTER, value))
        status = self._wire_format.choose_refusal_status(refusal)
        await responder.send_json(request_context.refusal_body(refusal), status, extra)

    async def drain(self) -> None:
        """Serves until the balancer has removed this router and every open request is answered.

        Requests without an answer at the end of the grace time are refused, as the end of the
        process would close their connections without one. The grace time may still change.
        """
        assert self._kernel
        began_at = trio.current_time()
        self._draining = True
        _log.info("draining", open=self._open_requests)
        while not self._may_stop(began_at):
            if self._requests:
                self._plan_requests(self._requests, began_at)
            await trio.sleep(request_listener.DRAIN_POLL_S)
        self._drained = True
        _log.info(
            "drained", open=self._open_requests, took_s=round(trio.current_time() - began_at, 2)
        )

    def _plan_requests(
        self, requests: forwarded_requests.ForwardedRequests, began_at: float
    ) -> None:
        """Says which requests may still begin, and refuses those that got no answer in time."""
        assert self._kernel
        stop_at = self._kernel.stop_times.earliest_end - SHUTDOWN_MARGIN_S
        ends_at = stop_at - EXPIRY_MARGIN_S
        requests.grace = stopping.Grace(
            unknown_until=began_at + STREAM_START_WINDOW_S,
            streams_until=began_at + STREAM_START_WINDOW_S,
            begins_until=stop_at - START_MARGIN_S,
            ends_at=ends_at,
        )
        if trio.current_time() >= ends_at:
            requests.expire_unanswered()

    def _may_stop(self, began_at: float) -> bool:
        assert self._kernel
        now = trio.current_time()
        if now >= self._kernel.stop_times.latest_end - SHUTDOWN_MARGIN_S:
            return True
        is_quiet = now - self._last_request_at >= QUIET_PERIOD_S
        return is_quiet and not self.is_busy and now - began_at >= BALANCER_REMOVAL_S


def _add_declared(
    limits: settings.CallerLimits, declared: settings.CallerLimits
) -> settings.CallerLimits:
    """Returns limits of the settings with those that the operators' configuration declares."""
    return dataclasses.replace(
        limits,
        header_bytes=declared.header_bytes,
        body_bytes=declared.body_bytes,
        header_timeout_s=declared.header_timeout_s,
        idle_timeout_s=declared.idle_timeout_s,
    )
