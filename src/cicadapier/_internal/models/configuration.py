"""The configuration that operators declare: client accounts, pools and their upstreams."""

import collections.abc
import dataclasses
import enum
import functools
import typing
from typing import Any

from cicadapier._internal.models import exceptions
from cicadapier._internal.models import ids
from cicadapier._internal.models import schema
from cicadapier._internal.models import settings


class ServiceClass(enum.Enum):
    """Latency class of a client account."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


class PoolKind(enum.Enum):
    """What the upstreams of a pool are."""

    MODEL = "model"
    SERVICE = "service"
    KEEP = "keep"


class RouteKind(enum.Enum):
    """What may be repeated of a route's requests, and how they are answered."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a client account, over all routers together."""

    requests_per_s: float = schema.field(100.0, above=0)
    tokens_per_s: float = schema.field(1_000_000.0, above=0)
    streams: int = schema.field(256, minimum=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
        key_hashes: SHA-256 digests of its keys, in hexadecimal.
        service_class: Latency class of its requests.
        weight: Share in the fair queue relative to other accounts.
        limits: Limits over all routers together.
        pools: Pools that it may use; empty for all.
        priority: Rank of its forwarded requests, 0 first; None leaves it to the route.
        isolated: Whether it shares no cached prefix with other accounts.
    """

    key_hashes: list[str] = schema.field(factory=list)
    service_class: ServiceClass = ServiceClass.INTERACTIVE
    weight: float = schema.field(1.0, above=0)
    limits: Limits = schema.field(factory=Limits)
    pools: list[ids.PoolId] = schema.field(factory=list)
    priority: int | None = None
    isolated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """A back end process.

    Attributes:
        address: `IP:port` that it listens on.
        failure_domain: Failure domain that it runs in.
        weight: Share of the pool's work; 0 sends it nothing new.
        max_in_flight: Requests that it may run at once.
        checks_fencing: Whether it refuses orders with an old fencing token.
        leaving: Whether it is being withdrawn; it gets no new work.
        incarnation: Its start, where the directory tells it; a new one holds nothing of before.
        weights: Weights version of each model that it serves, where the directory tells it.
    """

    address: ids.Address
    failure_domain: ids.FailureDomainId
    weight: float = schema.field(1.0, minimum=0)
    max_in_flight: int = schema.field(32, minimum=1)
    checks_fencing: bool = True
    leaving: bool = False
    incarnation: ids.Incarnation = ids.Incarnation("")
    weights: dict[ids.ModelId, str] = schema.field(factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model that a pool serves."""

    weights_version: str = "1"
    adapter: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RepeatRule:
    """States whether calls that match may run more than once.

    Attributes:
        path: Path prefix below the pool.
        method: HTTP method in capitals, or `*`.
        repeatable: Whether a matching call is idempotent.
    """

    path: str
    repeatable: bool
    method: str = "*"


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """Progress deadlines of an attempt, in seconds."""

    connect_s: float = schema.field(1.0, above=0)
    first_token_s: float = schema.field(10.0, above=0)
    between_tokens_s: float = schema.field(2.0, above=0)
    queue_s: float = schema.field(5.0, above=0)
    batch_queue_s: float = schema.field(60.0, above=0)


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Upstreams that answer the same requests.

    Attributes:
        kind: What its upstreams are.
        upstreams: Its upstreams by id.
        models: Models that it serves, by name; model pools only.
        keep: Pool that holds its exported KV cache, if any.
        piece_tokens: Tokens in one piece of a prompt prefix.
        bytes_per_token: Mean bytes of prompt text in a token.
        prefill_tokens_per_s: Prefill rate assumed until one is measured.
        import_tokens_per_s: Rate at which cached pieces come from another upstream of the pool,
            0 where they cannot.
        loads_at_once: Upstreams that may load weights at the same time.
        repeat_rules: Idempotency of its calls; the first match decides.
        timeouts: Progress deadlines.
        reports_load: Whether its upstreams answer load queries.
        remote_cost_s: What an upstream of another failure domain costs at least beside its own
            time, since a cut between the two ends what runs there.
        run_backups: Whether its upstreams back up the memory of a run at another one.
        memory_tokens: Tokens that one of its upstreams holds for running requests and cached
            pieces together, 0 where that is unknown.
    """

    kind: PoolKind
    upstreams: dict[ids.UpstreamId, Upstream] = schema.field(factory=dict)
    models: dict[ids.ModelId, Model] = schema.field(factory=dict)
    keep: ids.PoolId | None = None
    piece_tokens: int = schema.field(2048, minimum=1)
    bytes_per_token: int = schema.field(4, minimum=1)
    prefill_tokens_per_s: float = schema.field(10_000.0, above=0)
    import_tokens_per_s: float = schema.field(0.0, minimum=0)
    loads_at_once: int = schema.field(1, minimum=1)
    repeat_rules: list[RepeatRule] = schema.field(factory=list)
    timeouts: Timeouts = schema.field(factory=Timeouts)
    reports_load: bool = True
    remote_cost_s: float = schema.field(0.0, minimum=0)
    run_backups: bool = False
    memory_tokens: int = schema.field(0, minimum=0)


@dataclasses.dataclass(frozen=True, slots=True)
class PoolShare:
    """A pool and its share of a route's requests, relative to the route's other pools."""

    pool: ids.PoolId
    weight: float = schema.field(1.0, minimum=0)


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests that are forwarded with method, target and body as they came.

    Attributes:
        host: Host that they name, in lower case.
        prefix: Beginning of their path; of several that fit, the longest decides.
        pools: Pools that serve them.
        kind: What may be repeated.
        resumable: Whether a stream may go on at another upstream after a break.
        timeout_s: Longest time that a caller is kept waiting.
        objective_s: Time within which an answer, or its first event, is worth most.
        gap_s: Longest pause between events of a stream that is still in time.
        priority: Rank, 0 first.
        max_attempts: Upstreams that one request may run on.
        public: Whether no key is needed.
    """

    host: str
    prefix: str
    pools: list[PoolShare]
    kind: RouteKind = RouteKind.NON_IDEMPOTENT
    resumable: bool = False
    timeout_s: float = schema.field(30.0, above=0)
    objective_s: float = schema.field(1.0, above=0)
    gap_s: float = schema.field(1.0, above=0)
    priority: int = schema.field(0, minimum=0)
    max_attempts: int = schema.field(1, minimum=1)
    public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Everything that operators declare.

    Attributes:
        accounts: Client accounts.
        pools: Pools of upstreams.
        routes: Forwarded routes.
        caller_limits: Bounds on what callers may send; None leaves them to the settings.
    """

    accounts: dict[ids.AccountId, Account] = schema.field(factory=dict)
    pools: dict[ids.PoolId, Pool] = schema.field(factory=dict)
    routes: dict[ids.RouteId, Route] = schema.field(factory=dict)
    caller_limits: settings.CallerLimits | None = None


@dataclasses.dataclass(frozen=True)
class NumberedConfiguration:
    """A configuration in force and its number."""

    number: ids.ConfigNumber
    content: Configuration

    @functools.cached_property
    def accounts_by_key_hash(self) -> dict[str, ids.AccountId]:
        """Client account of each key, by the key's SHA-256 digest."""
        return {
            digest: account_id
            for account_id, account in self.content.accounts.items()
            for digest in account.key_hashes
        }

    @functools.cached_property
    def keep_address(self) -> ids.Address | None:
        """Address of a keep, None where there is none."""
        for pool in self.content.pools.values():
            if pool.kind is PoolKind.KEEP:
                for upstream in pool.upstreams.values():
                    return upstream.address
        return None

    @functools.cached_property
    def routes_by_host(self) -> dict[str, list[tuple[str, ids.RouteId]]]:
        """Path prefix and route of each host, longest prefix first."""
        found: dict[str, list[tuple[str, ids.RouteId]]] = {}
        for route_id, route in self.content.routes.items():
            found.setdefault(route.host, []).append((route.prefix, route_id))
        for entries in found.values():
            entries.sort(key=lambda entry: -len(entry[0]))
        return found

    def find_route(self, host: str, path: str) -> ids.RouteId | None:
        """Returns the route of a host with the longest prefix of a path."""
        for prefix, route_id in self.routes_by_host.get(host, ()):
            if path.startswith(prefix):
                return route_id
        return None

    @functools.cached_property
    def pools_by_model(self) -> dict[ids.ModelId, ids.PoolId]:
        """Pool that serves each model."""
        return {
            model_id: pool_id
            for pool_id, pool in self.content.pools.items()
            for model_id in pool.models
        }


EMPTY = NumberedConfiguration(ids.ConfigNumber(0), Configuration())


def parse(raw: object) -> Configuration:
    """Converts and checks a configuration document.

    Raises:
        InvalidDocumentError: Names every fault with its path.
    """
    return Parser().parse(raw)


class Parser:
    """Converts configuration documents one after the other.

    A change touches few of many accounts, so those whose document is the very same object as last
    time are not converted again.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _ConvertedAccount] = {}

    def parse(self, raw: object) -> Configuration:
        """Converts and checks a document.

        Raises:
            InvalidDocumentError: Names every fault with its path.
        """
        unchanged: dict[str, Account] = {}
        remaining = raw
        if isinstance(raw, dict) and isinstance(raw.get("accounts"), dict):
            unchanged = self._unchanged_accounts(raw["accounts"])
            accounts = {k: v for k, v in raw["accounts"].items() if k not in unchanged}
            remaining = {**raw, "accounts": accounts}
        value = schema.convert(Configuration, remaining)
        if unchanged:
            order = typing.cast("dict[str, object]", typing.cast(Any, raw)["accounts"])
            merged = {
                ids.AccountId(k): unchanged.get(k) or value.accounts[ids.AccountId(k)]
                for k in order
            }
            value = dataclasses.replace(value, accounts=merged)
        faults = list(_find_faults(value))
        if faults:
            raise exceptions.InvalidDocumentError(faults)
        self._store_accounts(raw, value)
        return value

    def _unchanged_accounts(self, accounts: dict[str, object]) -> dict[str, Account]:
        found = {}
        for name, raw in accounts.items():
            converted = self._accounts.get(name)
            if converted and converted.raw is raw:
                found[name] = converted.value
        return found

    def _store_accounts(self, raw: object, value: Configuration) -> None:
        accounts = typing.cast(Any, raw).get("accounts", {})
        self._accounts = {
            name: _ConvertedAccount(accounts[name], account)
            for name, account in value.accounts.items()
        }


@dataclasses.dataclass(frozen=True, slots=True)
class _ConvertedAccount:
    raw: object
    value: Account


def _find_faults(value: Configuration) -> collections.abc.Iterator[exceptions.Fault]:
    yield from _find_account_faults(value)
    yield from _find_pool_faults(value)
    yield from _find_route_faults(value)


def _find_route_faults(value: Configuration) -> collections.abc.Iterator[exceptions.Fault]:
    for route_id, route in value.routes.items():
        path = f"routes.{route_id}"
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield exceptions.Fault(f"{path}.prefix", "expected a path that begins and ends with /")
        if not route.pools:
            yield exceptions.Fault(f"{path}.pools", "expected at least one pool")
        for i, share in enumerate(route.pools):
            if share.pool not in value.pools:
                yield exceptions.Fault(f"{path}.pools[{i}]", f"unknown pool {share.pool!r}")


def _find_account_faults(value: Configuration) -> collections.abc.Iterator[exceptions.Fault]:
    owners: dict[str, str] = {}
    for account_id, account in value.accounts.items():
        path = f"accounts.{account_id}"
        for i, pool_id in enumerate(account.pools):
            if pool_id not in value.pools:
                yield exceptions.Fault(f"{path}.pools[{i}]", f"unknown pool {pool_id!r}")
        for i, digest in enumerate(account.key_hashes):
            fault_path = f"{path}.key_hashes[{i}]"
            if len(digest) != 64 or set(digest) - set("0123456789abcdef"):
                yield exceptions.Fault(
                    fault_path, "expected a SHA-256 digest in lower-case hexadecimal"
                )
            if digest in owners:
                yield exceptions.Fault(
                    fault_path, f"duplicate key; account {owners[digest]!r} has it"
                )
            owners[digest] = account_id


def _find_pool_faults(value: Configuration) -> collections.abc.Iterator[exceptions.Fault]:
    upstream_pools: dict[str, str] = {}
    model_pools: dict[str, str] = {}
    for pool_id, pool in value.pools.items():
        path = f"pools.{pool_id}"
        yield from _find_kind_faults(value, pool, path)
        for upstream_id, upstream in pool.upstreams.items():
            fault_path = f"{path}.upstreams.{upstream_id}"
            if upstream_id in upstream_pools:
                other = upstream_pools[upstream_id]
                yield exceptions.Fault(fault_path, f"duplicate id; pool {other!r} has it")
            upstream_pools[upstream_id] = pool_id
            if not _is_address(upstream.address):
                yield exceptions.Fault(f"{fault_path}.address", "expected IP:port")
        for model_id in pool.models:
            if model_id in model_pools:
                other = model_pools[model_id]
                yield exceptions.Fault(
                    f"{path}.models.{model_id}", f"duplicate id; pool {other!r} has it"
                )
            model_pools[model_id] = pool_id


def _find_kind_faults(
    value: Configuration, pool: Pool, path: str
) -> collections.abc.Iterator[exceptions.Fault]:
    if pool.models and pool.kind is not PoolKind.MODEL:
        yield exceptions.Fault(f"{path}.models", "only a pool of kind model serves models")
    if pool.keep is None:
        return
    keep = value.pools.get(pool.keep)
    if keep is None:
        yield exceptions.Fault(f"{path}.keep", f"unknown pool {pool.keep!r}")
    elif keep.kind is not PoolKind.KEEP:
        yield exceptions.Fault(f"{path}.keep", f"pool {pool.keep!r} is not of kind keep")


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    return bool(host) and port.isdigit() and 0 < int(port) < 65536
