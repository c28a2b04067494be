"""Formats of the documents that operators and upstreams write to the platform's object store."""

import hashlib
import math
import re
from typing import Annotated
from typing import Any
from typing import TypeVar

import msgspec
import structlog

from cicadapier._internal.models import addresses
from cicadapier._internal.models import configuration
from cicadapier._internal.models import directory_entries
from cicadapier._internal.models import exceptions
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.platform import wire_headers
from cicadapier._internal.protocols import declarations
from cicadapier._internal.protocols import partial_json
from cicadapier._internal.protocols import store_format

# The platform's documents set no account limits, so accounts get limits that are never reached.
_NO_LIMITS = configuration.Limits(1e9, 1e15, 1_000_000_000)
_ROUTE_KINDS = {
    "idempotent": configuration.RouteKind.IDEMPOTENT,
    "non_idempotent": configuration.RouteKind.NON_IDEMPOTENT,
    "streaming": configuration.RouteKind.STREAM,
}
_UNIT_TOKENS = "token_stream"
_UNITS = {
    "": configuration.QuotaUnit.REQUESTS,
    "request": configuration.QuotaUnit.REQUESTS,
    "requests": configuration.QuotaUnit.REQUESTS,
    _UNIT_TOKENS: configuration.QuotaUnit.TOKENS,
}
_STATE_READY = "ready"
_STATE_DRAINING = "draining"

_DocumentT = TypeVar("_DocumentT")

_log = structlog.get_logger()

# A name that a header can hold.
_NAME = re.compile(r"[!-~]{1,256}")
# Counts and versions. Larger ones are no sensible values, and not all of their uses can hold them.
_MAX_COUNT = 2**53
_Count = Annotated[int, msgspec.Meta(ge=-_MAX_COUNT, le=_MAX_COUNT)]
_Version = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]


class _TrafficShare(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    hostname: str
    path_prefix: str
    kind: str
    timeout_ms: float
    slo_ms: float  # Latency objective of the answer or of its first event.
    priority: _Count = 0
    service: str = ""
    traffic_split: list[_TrafficShare] = []
    max_attempts: _Count = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: float = 1000.0  # Latency objective of the gap between two events.


class _Model(msgspec.Struct):
    name: str


class _Engine(msgspec.Struct):
    slots: _Count = 1
    kv_capacity_tokens: _Count = 0
    models: list[_Model] = []
    kv_token_bytes: float = 0.0  # Size of the KV cache of one token.
    link_mbps: float = 0.0  # Bandwidth between engines, in megabits per second.
    backups: bool = False


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None
    kv_store_addr: str = ""
    zone: str = ""


class _Limits(msgspec.Struct):
    max_header_bytes: _Count = 16_384
    max_body_bytes: _Count = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: _Count | None = None
    isolated: bool = False
    # Fields of the quota. Values that make no sense must not make the configuration unreadable.
    unit: Any = None
    uncached_tokens: Any = None
    rate_per_s: Any = None
    burst: Any = None


class _Configuration(msgspec.Struct):
    version: _Version
    routes: list[_Route] = []
    services: list[_Service] = []
    # An empty list says that no key is valid; without a list, there may be no accounts at all.
    tenants: list[_Tenant] | msgspec.UnsetType = msgspec.UNSET
    limits: _Limits | None = None


class _LoadedModel(msgspec.Struct):
    name: str
    version: _Version


class _Registration(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: _Count
    version: str = ""  # Of its software, not of the weights.
    born: _Count = 0  # Start time of the upstream, in milliseconds since 1970.
    models: list[_LoadedModel] = []


class _TargetVersion(msgspec.Struct):
    model: str
    version: _Version


class DocumentFormat(declarations.DeclarationFormat):
    """Reads the documents of the users' platform.

    Args:
        engines: Assumed properties of engines that the documents do not contain.
        asks_for_keys: Whether requests have to carry a key also under a configuration that does not
            mention accounts.
    """

    configuration_kind = "config"
    configuration_name = "main"
    directory_kind = "servers"
    weights_kind = "versions"

    def __init__(
        self, engines: settings.EngineAssumptions | None = None, asks_for_keys: bool = False
    ) -> None:
        self._engines = engines or settings.EngineAssumptions()
        self._asks_for_keys = asks_for_keys
        self._quota_faults: dict[str, str] = {}

    def read_configuration(
        self, item: store_format.StoredObject
    ) -> configuration.NumberedConfiguration:
        """See `DeclarationFormat.read_configuration`."""
        try:
            document = _convert(item.spec, _Configuration)
        except msgspec.ValidationError as exc:
            raise exceptions.InvalidDocumentError([exceptions.Fault("", str(exc))]) from exc
        has_accounts = document.tenants is not msgspec.UNSET
        tenants = [] if document.tenants is msgspec.UNSET else document.tenants
        content = configuration.Configuration(
            accounts={ids.AccountId(tenant.name): self._make_account(tenant) for tenant in tenants},
            pools={
                ids.PoolId(service.name): _make_pool(service, self._engines)
                for service in document.services
            },
            routes={ids.RouteId(route.name): _make_route(route) for route in document.routes},
            caller_limits=_make_caller_limits(document.limits) if document.limits else None,
        )
        return configuration.NumberedConfiguration(
            ids.ConfigNumber(document.version),
            content,
            configuration.KeyPolicy.REQUIRED
            if has_accounts or self._asks_for_keys
            else configuration.KeyPolicy.NOT_ASKED,
        )

    def _make_account(self, tenant: _Tenant) -> configuration.Account:
        quota, fault = _read_quota(tenant)
        if fault and self._quota_faults.get(tenant.name) != fault:
            _log.warning("account_quota_unreadable", account=tenant.name, reason=fault)
            self._quota_faults[tenant.name] = fault
        return configuration.Account(
            key_hashes=[hashlib.sha256(key.encode()).hexdigest() for key in tenant.api_keys],
            limits=_NO_LIMITS,
            priority=tenant.priority,
            isolated=tenant.isolated,
            quota=quota,
        )

    def read_registration(self, item: store_format.StoredObject) -> directory_entries.Entry:
        """See `DeclarationFormat.read_registration`."""
        if not _NAME.fullmatch(item.name):
            return directory_entries.UnreadableEntry(item.name, "invalid name")
        try:
            registration = _convert(item.spec, _Registration)
        except msgspec.ValidationError as exc:
            return directory_entries.UnreadableEntry(item.name, str(exc))
        if registration.state not in (_STATE_READY, _STATE_DRAINING):
            return directory_entries.UnreadableEntry(
                item.name, f"unknown state {registration.state!r}"
            )
        if not addresses.is_address(registration.address):
            return directory_entries.UnreadableEntry(
                item.name, f"invalid address {registration.address!r}"
            )
        return directory_entries.Registration(
            ids.UpstreamId(item.name),
            ids.PoolId(registration.service),
            ids.Address(registration.address),
            ids.FailureDomainId(registration.zone),
            wire_headers.make_incarnation(ids.UpstreamId(item.name), registration.born),
            max(1, registration.slots),
            registration.state == _STATE_DRAINING,
            {ids.ModelId(model.name): str(model.version) for model in registration.models},
            registration.version,
        )

    def read_target_version(
        self, item: store_format.StoredObject
    ) -> declarations.TargetVersion | None:
        """See `DeclarationFormat.read_target_version`."""
        try:
            target = _convert(item.spec, _TargetVersion)
        except msgspec.ValidationError:
            return None
        return declarations.TargetVersion(ids.ModelId(target.model), target.version)


def _convert(spec: Any, document_type: type[_DocumentT]) -> _DocumentT:
    """Returns the content of an object as a document.

    Raises:
        ValidationError: The content is unreadable or not such a document.
    """
    if isinstance(spec, partial_json.Unreadable):
        raise msgspec.ValidationError(spec.reason)
    return msgspec.convert(spec, document_type)


def _read_quota(tenant: _Tenant) -> tuple[configuration.AccountQuota | None, str]:
    """Returns the quota of an account, None for no limit, and what is wrong with its fields.

    A quota that makes no sense limits nothing, so that it costs no request that may be owed, and a
    unit that is not known counts requests, like an omitted one.
    """
    rate, burst = tenant.rate_per_s or 0.0, tenant.burst or 0.0
    uncounted = 1.0 if tenant.uncached_tokens is None else tenant.uncached_tokens
    if not all(isinstance(value, int | float) for value in (rate, burst, uncounted)):
        return None, "a number of the quota is no number"
    if not all(math.isfinite(value) and value >= 0 for value in (rate, burst, uncounted)):
        return None, "a number of the quota is negative or not finite"
    if rate == 0:
        return None, ""
    unit = _UNITS.get(str(tenant.unit or ""))
    quota = configuration.AccountQuota(
        min(rate, _MAX_COUNT),
        min(burst, _MAX_COUNT),
        unit or configuration.QuotaUnit.REQUESTS,
        min(max(1.0, uncounted), _MAX_COUNT),
    )
    return quota, "" if unit else f"unknown unit {tenant.unit!r}, requests are counted"


def _make_pool(service: _Service, assumptions: settings.EngineAssumptions) -> configuration.Pool:
    if service.kv_store_addr:
        upstream = configuration.Upstream(
            ids.Address(service.kv_store_addr), ids.FailureDomainId(service.zone)
        )
        name = ids.UpstreamId(service.name)
        return configuration.Pool(configuration.PoolKind.KEEP, {name: upstream})
    if service.engine is None:
        return configuration.Pool(configuration.PoolKind.SERVICE)
    models = {ids.ModelId(m.name): configuration.Model("") for m in service.engine.models}
    engine = service.engine
    import_rate = 0.0
    if engine.kv_token_bytes > 0:
        import_rate = engine.link_mbps * 1e6 / 8 / engine.kv_token_bytes
    return configuration.Pool(
        configuration.PoolKind.MODEL,
        models=models,
        prefill_tokens_per_s=assumptions.prefill_tokens_per_s,
        import_tokens_per_s=import_rate,
        remote_cost_s=assumptions.remote_cost_ms / 1000,
        run_backups=engine.backups,
        memory_tokens=max(0, engine.kv_capacity_tokens),
    )


def _make_route(route: _Route) -> configuration.Route:
    shares = [
        configuration.PoolShare(ids.PoolId(share.service), share.weight)
        for share in route.traffic_split
    ]
    return configuration.Route(
        route.hostname.lower(),
        route.path_prefix,
        shares or [configuration.PoolShare(ids.PoolId(route.service))],
        _ROUTE_KINDS.get(route.kind, configuration.RouteKind.NON_IDEMPOTENT),
        route.resumable,
        route.timeout_ms / 1000,
        route.slo_ms / 1000,
        route.gap_target_ms / 1000,
        route.priority,
        route.max_attempts,
        route.public,
    )


def _make_caller_limits(limits: _Limits) -> settings.CallerLimits:
    return settings.CallerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout_ms / 1000,
        idle_timeout_s=limits.idle_timeout_ms / 1000,
    )
