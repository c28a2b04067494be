"""Format of the calls that read the status of an engine and load weights into it."""

import http
from typing import Annotated

import msgspec

from cicadapier._internal.decisions import rollout
from cicadapier._internal.models import ids
from cicadapier._internal.platform import wire_headers
from cicadapier._internal.protocols import answers
from cicadapier._internal.protocols import engines
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import partial_json

_REPLY_BY_STATUS = {
    http.HTTPStatus.ACCEPTED: rollout.Reply.ACCEPTED,
    http.HTTPStatus.OK: rollout.Reply.HOLDS_ALREADY,
    http.HTTPStatus.CONFLICT: rollout.Reply.CONFLICT,
    http.HTTPStatus.PRECONDITION_FAILED: rollout.Reply.FENCED,
    http.HTTPStatus.MISDIRECTED_REQUEST: rollout.Reply.OTHER_INSTANCE,
    http.HTTPStatus.BAD_REQUEST: rollout.Reply.REFUSED,
}
# The platform's name of the operation that loads a weights version.
_LOAD_OPERATION = "version"
# In this mode the engine keeps its running requests when it loads weights.
_RETAIN_MODE = "retain"


_MAX_COUNT = 2**53
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]


class _LoadedModel(msgspec.Struct):
    name: str
    version: _Count


class _Report(msgspec.Struct):
    models: list[_LoadedModel]
    busy: bool  # Whether the engine is carrying out an order.
    seq: _Count  # Number of orders accepted since the start of the engine.
    active: _Count = 0
    queued: _Count = 0


class _Origin(msgspec.Struct):
    born: _Count  # Start time of the engine, in milliseconds since 1970.


class EngineCallFormat(engines.EngineFormat):
    """Writes requests to engines of the users' platform and reads their responses."""

    def make_report_request(self) -> http_client.RequestHead:
        """See `EngineFormat.make_report_request`."""
        return http_client.RequestHead("GET", "/api/report", [])

    def read_report(self, body: bytes, model: ids.ModelId) -> rollout.EngineReport | None:
        """See `EngineFormat.read_report`."""
        try:
            report = msgspec.json.decode(body, type=_Report)
        except partial_json.DECODING_ERRORS:
            return None
        for loaded in report.models:
            if loaded.name == model:
                return rollout.EngineReport(
                    loaded.version, report.busy, report.seq, report.active, report.queued
                )
        return None

    def read_incarnation(self, body: bytes, upstream: ids.UpstreamId) -> ids.Incarnation | None:
        """See `EngineFormat.read_incarnation`."""
        try:
            origin = msgspec.json.decode(body, type=_Origin)
        except partial_json.DECODING_ERRORS:
            return None
        return wire_headers.make_incarnation(upstream, origin.born)

    def make_order_head(self, upstream: ids.UpstreamId) -> http_client.RequestHead:
        """See `EngineFormat.make_order_head`."""
        order_headers = [
            (b"content-type", b"application/json"),
            (wire_headers.EXPECTED_UPSTREAM, upstream.encode()),
        ]
        return http_client.RequestHead("POST", "/api/order", order_headers)

    def make_order_body(self, order: rollout.LoadOrder) -> bytes:
        """See `EngineFormat.make_order_body`."""
        return msgspec.json.encode(
            {
                "op": _LOAD_OPERATION,
                "model": order.model,
                "version": order.version,
                "mode": _RETAIN_MODE,
                "holder": order.holder,
                "fence": order.fencing,
                "expect": order.expected_orders,
            }
        )

    def is_leaving(self, head: http_client.ResponseHead) -> bool:
        """See `EngineFormat.is_leaving`."""
        return wire_headers.is_leaving(head)

    def read_rate_limit(self, head: http_client.ResponseHead) -> answers.RateLimit | None:
        """See `EngineFormat.read_rate_limit`."""
        return wire_headers.read_rate_limit(head)

    def read_reply(self, head: http_client.ResponseHead) -> rollout.Reply:
        """See `EngineFormat.read_reply`."""
        try:
            status = http.HTTPStatus(head.status)
        except ValueError:
            return rollout.Reply.NONE
        return _REPLY_BY_STATUS.get(status, rollout.Reply.NONE)
