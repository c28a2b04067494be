"""Base class of the listeners for callers: counts requests, sends refusals and drains."""

import abc

import structlog
import trio

from cicadapier._internal.kernel import exceptions as kernel_exceptions
from cicadapier._internal.kernel import random_tokens
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import exceptions as protocol_exceptions
from cicadapier._internal.protocols import http_server
from cicadapier._internal.protocols import transport
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import listening_service
from cicadapier._internal.services import request_context

QUIET_PERIOD_S = 1.0  # The drain ends only after this time without a new request.
DRAIN_POLL_S = 0.05
NO_ROOM_RETRY_AFTER_S = 1.0
_REFUSAL_CODES = {
    protocol_exceptions.BadRequestKind.MALFORMED: outcomes.RefusalCode.INVALID_REQUEST,
    protocol_exceptions.BadRequestKind.HEADERS_TOO_LARGE: outcomes.RefusalCode.HEADERS_TOO_LARGE,
    protocol_exceptions.BadRequestKind.BODY_TOO_LARGE: outcomes.RefusalCode.BODY_TOO_LARGE,
    protocol_exceptions.BadRequestKind.SLOW: outcomes.RefusalCode.SLOW_REQUEST,
    protocol_exceptions.BadRequestKind.NO_ROOM: outcomes.RefusalCode.OVERLOADED,
}

_log = structlog.get_logger()


class RequestListener(listening_service.ListeningService):
    """Accepts requests of callers and dispatches them to a handler, which may refuse them."""

    def __init__(
        self,
        cfg: settings.Settings,
        network: transport.Network,
        token_source: random_tokens.TokenSource,
    ) -> None:
        super().__init__(cfg, cfg.listen.callers, network, token_source)
        self._open_requests = 0
        self._last_request_at = trio.current_time()
        self._draining = False
        self._drained = False

    @abc.abstractmethod
    async def dispatch(
        self,
        request: ids.RequestId,
        req: http_server.Request,
        responder: http_server.Responder,
    ) -> None:
        """Answers one request.

        Raises:
            RefusedError: The request is refused and no answer has begun.
        """

    def request_id(self, req: http_server.Request | None) -> ids.RequestId:
        """Returns the id of a request.

        Args:
            req: The request; None if it could not be read.
        """
        return ids.RequestId(f"req-{self._tokens.token_hex(12)}")

    async def refuse(
        self,
        request: ids.RequestId,
        refusal: outcomes.Refusal,
        responder: http_server.Responder,
    ) -> None:
        """Counts a refusal, and sends it unless an answer has begun."""
        assert self._telemetry
        self._telemetry.count_refusal(refusal.code.value)
        if not responder.started:
            await self.send_refusal(request, refusal, responder)

    async def send_refusal(
        self,
        request: ids.RequestId,
        refusal: outcomes.Refusal,
        responder: http_server.Responder,
    ) -> None:
        """Sends a refusal in the format of this listener."""
        await request_context.send_refusal(responder, request, refusal)

    @property
    def is_busy(self) -> bool:
        """Whether any request is open."""
        return self._open_requests > 0

    @property
    def is_accepting(self) -> bool:
        """See `http_server.Handler.is_accepting`."""
        return not self._draining

    def is_health_check(self, req: http_server.Request) -> bool:
        """Returns whether a request only checks the health of this router."""
        return False

    async def drain(self) -> None:
        """Waits until all requests are answered; connections close after their current answer.

        New requests are served until the balancer sends no more of them.
        """
        self._draining = True
        self._last_request_at = trio.current_time()
        while self.is_busy or trio.current_time() - self._last_request_at < QUIET_PERIOD_S:
            await trio.sleep(DRAIN_POLL_S)
        self._drained = True

    async def handle(self, req: http_server.Request, responder: http_server.Responder) -> None:
        """See `http_server.Handler.handle`."""
        request = self.request_id(req)
        self._open_requests += 1
        if not self.is_health_check(req):
            self._last_request_at = trio.current_time()
        try:
            self._require_not_drained()
            await self.dispatch(request, req, responder)
        except exceptions.RefusedError as exc:
            await self.refuse(request, exc.refusal, responder)
        except kernel_exceptions.KernelError as exc:
            refusal = outcomes.Refusal(outcomes.RefusalCode.OVERLOADED, str(exc), retry_after_s=1.0)
            await self.refuse(request, refusal, responder)
        except protocol_exceptions.ConnectionLostError:
            raise
        except Exception:
            # A bug in the router must not stop it: only this request fails.
            _log.exception("request_failed", request=request)
            message = "internal error of the router; the request may have run"
            refusal = outcomes.Refusal(
                outcomes.RefusalCode.INTERNAL, message, outcomes.Effect.UNKNOWN
            )
            await self.refuse(request, refusal, responder)
        finally:
            self._open_requests -= 1

    def _require_not_drained(self) -> None:
        """Refuses requests after the drain, while the other services stop.

        The end of the process would close their connections without an answer.

        Raises:
            RefusedError: The drain has ended.
        """
        if self._drained:
            refusal = outcomes.Refusal(
                outcomes.RefusalCode.DRAINING, "this router has stopped", retry_after_s=0.0
            )
            raise exceptions.RefusedError(refusal)

    async def reject(
        self, exc: protocol_exceptions.BadRequestError, responder: http_server.Responder
    ) -> None:
        """See `http_server.Handler.reject`."""
        await self.refuse(self.request_id(None), refusal_of(exc), responder)


def refusal_of(exc: protocol_exceptions.BadRequestError) -> outcomes.Refusal:
    """Returns the refusal of a request that violates the protocol or a limit."""
    has_no_room = exc.kind is protocol_exceptions.BadRequestKind.NO_ROOM
    retry_after_s = NO_ROOM_RETRY_AFTER_S if has_no_room else None
    return outcomes.Refusal(_REFUSAL_CODES[exc.kind], str(exc), retry_after_s=retry_after_s)
