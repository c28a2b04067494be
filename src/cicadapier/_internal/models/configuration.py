"""Configuration declared by operators: client accounts, pools of upstreams and routes."""

import dataclasses
import enum
import functools

from cicadapier._internal.models import ids
from cicadapier._internal.models import schema
from cicadapier._internal.models import settings


class ServiceClass(enum.Enum):
    """Latency class of a client account."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


class PoolKind(enum.Enum):
    """Kind of the upstreams of a pool.

    Attributes:
        MODEL: Engines that serve language models.
        SERVICE: Plain HTTP services.
        KEEP: The keep, an external KV cache store from which engines import cached pieces.
    """

    MODEL = "model"
    SERVICE = "service"
    KEEP = "keep"


class RouteKind(enum.Enum):
    """Whether the requests of a route may run more than once, and whether answers are streams."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a client account, across all routers together.

    Attributes:
        requests_per_s: Maximum rate of requests.
        tokens_per_s: Maximum rate of tokens.
        streams: Maximum number of streams that are open at once.
    """

    requests_per_s: float = schema.field(100.0, above=0)
    tokens_per_s: float = schema.field(1_000_000.0, above=0)
    streams: int = schema.field(256, minimum=1)


class QuotaUnit(enum.Enum):
    """What the quota of a client account counts.

    Attributes:
        REQUESTS: Each request counts as one.
        TOKENS: Each request counts as the tokens that its caller states.
    """

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclasses.dataclass(frozen=True, slots=True)
class AccountQuota:
    """Quota of a client account's forwarded requests, over all routers together.

    Attributes:
        rate_per_s: Requests or tokens per second.
        burst: Requests or tokens that may run at once.
        unit: What it counts.
        uncounted_tokens: Tokens that a request counts whose caller states none.
    """

    rate_per_s: float = schema.field(above=0)
    burst: float = schema.field(0.0, minimum=0)
    unit: QuotaUnit = QuotaUnit.REQUESTS
    uncounted_tokens: float = schema.field(1.0, minimum=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
        key_hashes: SHA-256 digests of its API keys, in hexadecimal.
        service_class: Latency class of its requests.
        weight: Weight in the fair queue, relative to other accounts.
        limits: Limits across all routers together.
        pools: Pools that it may use; empty for all pools.
        priority: Priority of its forwarded requests, 0 being the highest; None for the priority
            of the route.
        isolated: Whether its cached prefixes are not shared with other accounts.
        quota: Quota of its forwarded requests; None for no limit.
    """

    key_hashes: list[str] = schema.field(factory=list)
    service_class: ServiceClass = ServiceClass.INTERACTIVE
    weight: float = schema.field(1.0, above=0)
    limits: Limits = schema.field(factory=Limits)
    pools: list[ids.PoolId] = schema.field(factory=list)
    priority: int | None = None
    isolated: bool = False
    quota: AccountQuota | None = None

    def may_use(self, pool: ids.PoolId) -> bool:
        """Returns whether its requests may go to a pool."""
        return len(self.pools) == 0 or pool in self.pools


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """A backend process that runs requests.

    Attributes:
        address: Address that it listens on, as `IP:port`.
        failure_domain: Failure domain that it runs in.
        weight: Relative share of the pool's requests; with 0 it gets no new requests.
        max_in_flight: Maximum number of requests that it may run at once.
        checks_fencing: Whether it refuses orders with an outdated fencing token.
        leaving: Whether it is leaving and gets no new requests.
        incarnation: Identity of its process, if the directory provides it; empty otherwise. A new
            incarnation has none of the state of the previous one.
        weights: Weights version of each model that it serves, if the directory provides it.
        software: Version of its software, if the directory provides it; empty otherwise.
    """

    address: ids.Address
    failure_domain: ids.FailureDomainId
    weight: float = schema.field(1.0, minimum=0)
    max_in_flight: int = schema.field(32, minimum=1)
    checks_fencing: bool = True
    leaving: bool = False
    incarnation: ids.Incarnation = ids.Incarnation("")
    weights: dict[ids.ModelId, str] = schema.field(factory=dict)
    software: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model that a pool serves.

    Attributes:
        weights_version: Version of its weights.
        adapter: Adapter that is applied to the weights; empty for none.
    """

    weights_version: str = "1"
    adapter: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RepeatRule:
    """Rule that states whether matching calls may run more than once.

    Attributes:
        path: Path prefix, relative to the pool.
        method: HTTP method in upper case, or `*` for any method.
        repeatable: Whether a matching call may run more than once.
    """

    path: str
    repeatable: bool
    method: str = "*"


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """Timeouts of the phases of a request, in seconds.

    Attributes:
        connect_s: Time to open a connection to the upstream.
        first_token_s: Time to the first token of the answer.
        between_tokens_s: Time between two tokens.
        queue_s: Time that an interactive request may wait in the queue.
        batch_queue_s: Time that a batch request may wait in the queue.
    """

    connect_s: float = schema.field(1.0, above=0)
    first_token_s: float = schema.field(10.0, above=0)
    between_tokens_s: float = schema.field(2.0, above=0)
    queue_s: float = schema.field(5.0, above=0)
    batch_queue_s: float = schema.field(60.0, above=0)


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Upstreams that serve the same requests.

    Attributes:
        kind: Kind of its upstreams.
        upstreams: Its upstreams by id.
        models: Models that it serves, by name; only for pools of kind model.
        keep: Pool of kind keep to which its upstreams export cached pieces, if any.
        piece_tokens: Number of tokens in a piece of a prompt prefix.
        bytes_per_token: Mean number of bytes of prompt text per token.
        prefill_tokens_per_s: Prefill rate assumed until one is measured.
        import_tokens_per_s: Rate at which an upstream imports cached pieces from another upstream
            of the pool; 0 if it cannot.
        loads_at_once: Maximum number of upstreams that load weights at the same time.
        repeat_rules: Rules that state which calls may run more than once; the first match
            applies.
        timeouts: Timeouts of its requests.
        reports_load: Whether its upstreams report their load.
        remote_cost_s: Minimum cost added to the estimate for an upstream in another failure
            domain, because a network partition between the domains interrupts the requests
            that run there.
        run_backups: Whether an upstream backs up the memory of a run on another upstream.
        memory_tokens: Capacity of one upstream for running requests and cached pieces together,
            in tokens; 0 if unknown.
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
    """A pool and its weight in the split of a route's requests among the pools of the route."""

    pool: ids.PoolId
    weight: float = schema.field(1.0, minimum=0)


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Route of requests that are forwarded with their method, target and body unchanged.

    Attributes:
        host: Host of the requests, in lower case.
        prefix: Path prefix of the requests; if several routes match, the longest prefix applies.
        pools: Pools among which the requests are split.
        kind: Whether the requests may run more than once, and whether answers are streams.
        resumable: Whether a broken stream may be resumed on another upstream.
        timeout_s: Maximum time that a caller waits for the answer.
        objective_s: Latency objective for the answer or, for a stream, its first event.
        gap_s: Objective for the longest gap between the events of a stream.
        priority: Priority of the requests, 0 being the highest.
        max_attempts: Maximum number of upstreams on which one request may run.
        public: Whether requests need no API key.
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
    """The whole configuration that operators declare.

    Attributes:
        accounts: Client accounts.
        pools: Pools of upstreams.
        routes: Routes of forwarded requests.
        caller_limits: Limits on what one caller may send; None for those of the settings.
    """

    accounts: dict[ids.AccountId, Account] = schema.field(factory=dict)
    pools: dict[ids.PoolId, Pool] = schema.field(factory=dict)
    routes: dict[ids.RouteId, Route] = schema.field(factory=dict)
    caller_limits: settings.CallerLimits | None = None


class KeyPolicy(enum.Enum):
    """Whether requests have to carry the API key of a client account.

    That there are no accounts does not say that no key is asked for.
    """

    REQUIRED = "required"
    NOT_ASKED = "not_asked"


@dataclasses.dataclass(frozen=True)
class NumberedConfiguration:
    """A configuration with its number; a newer configuration has a higher number.

    Attributes:
        number: Number of the configuration.
        content: The configuration.
        key_policy: Whether requests have to carry a key.
    """

    number: ids.ConfigNumber
    content: Configuration
    key_policy: KeyPolicy = KeyPolicy.REQUIRED

    @property
    def has_valid_key(self) -> bool:
        """Whether any key is valid."""
        return len(self.accounts_by_key_hash) > 0

    @functools.cached_property
    def accounts_by_key_hash(self) -> dict[str, ids.AccountId]:
        """Client account of each API key, by the SHA-256 digest of the key."""
        return {
            digest: account_id
            for account_id, account in self.content.accounts.items()
            for digest in account.key_hashes
        }

    @functools.cached_property
    def keep_address(self) -> ids.Address | None:
        """Address of the first upstream in a pool of kind keep, or None if there is none."""
        for pool in self.content.pools.values():
            if pool.kind is PoolKind.KEEP:
                for upstream in pool.upstreams.values():
                    return upstream.address
        return None

    @functools.cached_property
    def routes_by_host(self) -> dict[str, list[tuple[str, ids.RouteId]]]:
        """Path prefixes and routes of each host, longest prefix first."""
        found: dict[str, list[tuple[str, ids.RouteId]]] = {}
        for route_id, route in self.content.routes.items():
            found.setdefault(route.host, []).append((route.prefix, route_id))
        for entries in found.values():
            entries.sort(key=lambda entry: -len(entry[0]))
        return found

    def find_route(self, host: str, path: str) -> ids.RouteId | None:
        """Returns the route of a host whose prefix is the longest match for a path, if any."""
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


# In force until a router has received a configuration.
EMPTY = NumberedConfiguration(ids.ConfigNumber(0), Configuration())
