"""The server side of the platform's formats, for the stand-ins of its store and its upstreams.

The stand-ins read the router's requests with these functions and write responses to them. Requests
of callers and documents of operators are written here too.
"""

import dataclasses
import http
from typing import Any
import urllib.parse

import msgspec

from cicadapier._internal.decisions import rollout
from cicadapier._internal.models import configuration
from cicadapier._internal.models import directory_entries
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.platform import wire_headers
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import http_server
from cicadapier._internal.protocols import store_format

OBJECTS_ROOT = "/api/objects/"
REPORT_PATH = "/api/report"
ORDER_PATH = "/api/order"
_ROUTE_KIND_NAMES = {
    configuration.RouteKind.IDEMPOTENT: "idempotent",
    configuration.RouteKind.NON_IDEMPOTENT: "non_idempotent",
    configuration.RouteKind.STREAM: "streaming",
}


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRequest:
    """A request to the object store.

    Attributes:
        kind: Kind of the objects.
        name: Name of one object, empty for all objects of the kind.
        after: Name after which a list starts, empty for the whole list.
        from_revision: Revision after which a watch starts, None for requests that are no watch.
        wait_s: Time that a watch waits for changes.
        allow_stale: Whether the response may be stale.
        expected_revision: Revision that the object must have for a write, None for any.
        spec: Content to write.
    """

    kind: str
    name: str
    after: str
    from_revision: int | None
    wait_s: float
    allow_stale: bool
    expected_revision: int | None
    spec: Any


@dataclasses.dataclass(frozen=True, slots=True)
class RawObject:
    """Content of an object that the store sends as given bytes.

    Attributes:
        encoded: The whole object, with its metadata; may be no valid JSON.
    """

    encoded: bytes


def read_store_request(req: http_server.Request) -> StoreRequest:
    """Reads a request to the object store."""
    kind, _, name = req.path[len(OBJECTS_ROOT) :].partition("/")
    query = dict(urllib.parse.parse_qsl(req.query))
    body = msgspec.json.decode(req.body) if req.body else {}
    metadata = body.get("metadata", {})
    revision = metadata.get("rev", query.get("rev"))
    return StoreRequest(
        kind,
        urllib.parse.unquote(name) or str(metadata.get("name", "")),
        query.get("after", ""),
        int(query["watch"]) if "watch" in query else None,
        float(query.get("wait_ms", "0")) / 1000,
        query.get("allow_stale") == "1",
        int(revision) if revision is not None else None,
        body.get("spec"),
    )


def make_epoch_headers(epoch: ids.StoreEpoch | None) -> http_client.Headers:
    """Returns the headers that name the store's epoch, or none if the store does not name it."""
    return [] if epoch is None else [(wire_headers.STORE_EPOCH, b"%d" % epoch)]


def encode_object(item: store_format.StoredObject) -> Any:
    """Returns an object in the format of the store, as a value to encode as JSON."""
    if isinstance(item.spec, RawObject):
        return msgspec.Raw(item.spec.encoded)
    metadata = {
        "name": item.name,
        "rev": int(item.version.revision),
        "created": 1,
        "finalizers": [],
        "pending_delete": False,
    }
    return {"metadata": metadata, "spec": item.spec, "status": None}


def encode_page(
    items: list[store_format.StoredObject], revision: int, has_more: bool
) -> dict[str, Any]:
    """Returns a page of a list in the format of the store."""
    encoded_items = [encode_object(item) for item in items]
    return {"items": encoded_items, "has_more": has_more, "as_of": revision}


def encode_changes(changes: list[store_format.Change], revision: int) -> dict[str, Any]:
    """Returns the response to a watch in the format of the store."""
    events = [{"deleted": c.deleted, "object": encode_object(c.object)} for c in changes]
    return {"events": events, "as_of": revision}


def encode_registration(entry: directory_entries.Registration) -> dict[str, Any]:
    """Returns a registration in the format in which upstreams write it."""
    models = [
        {"name": model, "version": int(version), "adapters": []}
        for model, version in entry.weights.items()
    ]
    return {
        "service": entry.pool,
        "address": entry.address,
        "zone": entry.failure_domain,
        "version": entry.software,
        "slots": entry.slots,
        "state": "draining" if entry.leaving else "ready",
        "cold_remaining_ms": 0,
        "phase": "both",
        "models": models,
        "seq": 1,
        "born": _born_at(entry.incarnation),
    }


def encode_target_version(model: ids.ModelId, version: int) -> dict[str, Any]:
    """Returns the content of the object that sets the target weights version of a model."""
    return {"model": model, "version": version}


def encode_configuration(
    current: configuration.NumberedConfiguration, keys: dict[ids.AccountId, list[str]]
) -> dict[str, Any]:
    """Returns a configuration in the format in which operators write it.

    Args:
        current: The configuration. It contains only the hashes of the API keys.
        keys: API keys of the accounts in plain text.
    """
    content = current.content
    return {
        "version": current.number,
        "routes": [_encode_route(name, route) for name, route in content.routes.items()],
        "services": [_encode_pool(name, pool) for name, pool in content.pools.items()],
        **_encode_accounts(current, keys),
        "limits": _encode_limits(content.caller_limits or settings.CallerLimits()),
    }


def _encode_accounts(
    current: configuration.NumberedConfiguration, keys: dict[ids.AccountId, list[str]]
) -> dict[str, Any]:
    if current.key_policy is configuration.KeyPolicy.NOT_ASKED:
        return {}
    tenants = [
        {
            "name": account,
            "api_keys": keys.get(account, []),
            "priority": spec.priority,
            "isolated": spec.isolated,
            **(_encode_quota(spec.quota) if spec.quota else {}),
        }
        for account, spec in current.content.accounts.items()
    ]
    return {"tenants": tenants}


def _encode_quota(quota: configuration.AccountQuota) -> dict[str, Any]:
    is_tokens = quota.unit is configuration.QuotaUnit.TOKENS
    return {
        "rate_per_s": quota.rate_per_s,
        "burst": quota.burst,
        **({"unit": "token_stream"} if is_tokens else {}),
        "uncached_tokens": quota.uncounted_tokens,
    }


def _encode_limits(limits: settings.CallerLimits) -> dict[str, Any]:
    return {
        "max_header_bytes": limits.header_bytes,
        "max_body_bytes": limits.body_bytes,
        "header_timeout_ms": limits.header_timeout_s * 1000,
        "idle_timeout_ms": limits.idle_timeout_s * 1000,
    }


def _encode_route(name: ids.RouteId, route: configuration.Route) -> dict[str, Any]:
    return {
        "name": name,
        "hostname": route.host,
        "path_prefix": route.prefix,
        "kind": _ROUTE_KIND_NAMES[route.kind],
        "timeout_ms": route.timeout_s * 1000,
        "slo_ms": route.objective_s * 1000,
        "priority": route.priority,
        "traffic_split": [{"service": share.pool, "weight": share.weight} for share in route.pools],
        "max_attempts": route.max_attempts,
        "public": route.public,
        "resumable": route.resumable,
        "gap_target_ms": route.gap_s * 1000,
    }


def _encode_pool(name: ids.PoolId, pool: configuration.Pool) -> dict[str, Any]:
    pool_value: dict[str, Any] = {"name": name, "health_path": "/health", "max_conns": 100}
    if pool.kind is configuration.PoolKind.MODEL:
        pool_value["engine"] = {
            "slots": 8,
            "kv_token_bytes": 163_840,
            "link_mbps": 550_000.0,
            "backups": pool.run_backups,
            "models": [{"name": model} for model in pool.models],
        }
    if pool.kind is configuration.PoolKind.KEEP:
        pool_value["kv_store_addr"] = next(iter(pool.upstreams.values())).address
    return pool_value


def make_request_headers(
    request: ids.RequestId,
    host: str,
    key: str = "",
    time_left_ms: int = 3000,
    model: str = "",
    parts: str = "",
    output_tokens: int = 8,
) -> http_client.Headers:
    """Returns the headers of a request that a caller sends."""
    headers = [
        (b"host", host.encode()),
        (wire_headers.REQUEST_ID, request.encode()),
        (wire_headers.TIME_LEFT_MS, b"%d" % time_left_ms),
    ]
    if key:
        headers.append((wire_headers.AUTHORIZATION, f"Token {key}".encode()))
    if model:
        headers.append((wire_headers.MODEL, model.encode()))
        headers.append((wire_headers.TOKEN_COUNTS, b"1000,%d" % output_tokens))
        headers.append((wire_headers.PROMPT_PARTS, parts.encode()))
    return headers


def make_response_headers(request: str, weights: int | None = None) -> http_client.Headers:
    """Returns the headers of an answer with a proof of execution."""
    headers = [
        (wire_headers.REQUEST_ID, request.encode()),
        (wire_headers.EXECUTION_PROOF, f"proof-of-{request}".encode()),
        (wire_headers.LOAD, b"1,0,8"),
    ]
    if weights is not None:
        headers.append((wire_headers.WEIGHTS, b"%d" % weights))
    return headers


def make_weights_line(weights: int) -> bytes:
    """Returns the line that starts an event of a stream when the weights version has changed."""
    return wire_headers.WEIGHTS + b": %d\n" % weights


def make_not_run_headers(request: str, weights: int | None = None) -> http_client.Headers:
    """Returns the headers of a refusal of a request that has not run."""
    headers = [(wire_headers.REQUEST_ID, request.encode("latin-1")), (wire_headers.NOT_RUN, b"1")]
    if weights is not None:
        headers.append((wire_headers.WEIGHTS, b"%d" % weights))
    return headers


def _born_at(incarnation: ids.Incarnation) -> int:
    """Returns the start time of an upstream's process, in milliseconds since 1970."""
    return int(incarnation.rpartition("@")[2] or "0")


def encode_report(
    report: rollout.EngineReport, model: str, incarnation: ids.Incarnation
) -> dict[str, Any]:
    """Returns a status report in the format in which engines send it."""
    return {
        "born": _born_at(incarnation),
        "phase": "both",
        "models": [{"name": model, "version": report.version, "adapters": []}],
        "busy": report.busy,
        "seq": report.orders,
        "queued": report.waiting,
        "active": report.running,
        "kv_used": 0,
        "kv_total": 1,
        "handles": 0,
    }


def read_load_order(body: bytes) -> rollout.LoadOrder:
    """Reads the body of a load order."""
    order = msgspec.json.decode(body)
    return rollout.LoadOrder(
        ids.ModelId(order["model"]),
        order["version"],
        ids.VmId(order["holder"]),
        order["fence"],
        order["expect"],
    )


def choose_reply_status(reply: rollout.Reply) -> int:
    """Returns the HTTP status with which an engine sends a reply to a load order."""
    return {
        rollout.Reply.ACCEPTED: http.HTTPStatus.ACCEPTED,
        rollout.Reply.HOLDS_ALREADY: http.HTTPStatus.OK,
        rollout.Reply.CONFLICT: http.HTTPStatus.CONFLICT,
        rollout.Reply.OTHER_INSTANCE: http.HTTPStatus.MISDIRECTED_REQUEST,
    }.get(reply, http.HTTPStatus.BAD_REQUEST)
