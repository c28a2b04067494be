"""Settings of one router process, read from a YAML file."""

import dataclasses
import enum
import os

from cicadapier._internal.models import documents
from cicadapier._internal.models import exceptions
from cicadapier._internal.models import ids
from cicadapier._internal.models import schema


class LogLevel(enum.Enum):
    """Least severity that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclasses.dataclass(frozen=True, slots=True)
class Listen:
    """Addresses that a router listens on, `IP:port` each; port 0 takes any free one."""

    callers: ids.Address = ids.Address("127.0.0.1:8080")
    operators: ids.Address = ids.Address("127.0.0.1:8081")
    peers: ids.Address = ids.Address("127.0.0.1:8082")
    readiness: ids.Address = ids.Address("127.0.0.1:8083")
    metrics: ids.Address = ids.Address("127.0.0.1:8084")


@dataclasses.dataclass(frozen=True, slots=True)
class Tls:
    """Certificate chain and private key for callers and operators, as PEM files."""

    certificate: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """The platform's object API."""

    addresses: list[ids.Address] = schema.field(factory=list)
    token: str = ""
    timeout_s: float = schema.field(2.0, above=0)


@dataclasses.dataclass(frozen=True, slots=True)
class Peers:
    """Other routers, by their peer address, and the secret that authenticates them."""

    seed: list[ids.Address] = schema.field(factory=list)
    secret: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what one caller may send."""

    header_bytes: int = schema.field(16_384, minimum=1024)
    body_bytes: int = schema.field(8_388_608, minimum=1024)
    connections: int = schema.field(4096, minimum=1)
    header_timeout_s: float = schema.field(10.0, above=0)
    body_timeout_s: float = schema.field(30.0, above=0)
    idle_timeout_s: float = schema.field(75.0, above=0)
    json_depth: int = schema.field(64, minimum=4)


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudget:
    """Bound on repeated sends to one pool, over all routers and any window.

    Attributes:
        share: Repeats for each request of a caller.
        slack: Further repeats in a window.
        window_s: Length of the window.
    """

    share: float = schema.field(0.1, minimum=0)
    slack: float = schema.field(10.0, minimum=0)
    window_s: float = schema.field(10.0, above=0)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineAssumptions:
    """What routers assume of model engines.

    Attributes:
        prefill_tokens_per_s: Prompt tokens that an idle engine computes in a second.
        remote_cost_ms: Time to first token that is given up to stay in the failure domain.
    """

    prefill_tokens_per_s: float = schema.field(45_000.0, above=0)
    remote_cost_ms: float = schema.field(100.0, minimum=0)


@dataclasses.dataclass(frozen=True, slots=True)
class Forwarding:
    """How routers serve forwarded routes under a configuration that they only watch.

    Attributes:
        readiness_path: Path at which the balancer asks whether this router takes connections.
        grace_s: Time from SIGTERM to SIGKILL.
        revoke_ms: Time within which a key that was taken away is refused by every router.
        order_lease_ms: Least time between orders of two routers to one upstream.
        drain_ms: Time within which no router sends anything new to an upstream that leaves.
        weights_ms: Time within which requests run on newly named weights alone.
        retries: Bound on repeated sends.
        engines: What the platform does not tell of its engines.
    """

    readiness_path: str = "/readyz"
    grace_s: float = schema.field(8.0, above=0)
    revoke_ms: float = schema.field(5000.0, above=0)
    order_lease_ms: float = schema.field(3000.0, above=0)
    drain_ms: float = schema.field(2000.0, above=0)
    weights_ms: float = schema.field(8000.0, above=0)
    retries: RetryBudget = schema.field(factory=RetryBudget)
    engines: EngineAssumptions = schema.field(factory=EngineAssumptions)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one router.

    Attributes:
        vm: Id of the VM that it runs on.
        failure_domain: Failure domain of that VM.
        listen: Addresses to listen on.
        tls: Certificate and key; plain HTTP without.
        platform: The platform's object API.
        peers: Other routers.
        operator_token: Credential of operators; required off loopback.
        cache_secret: Key of prefix identities; the same on all routers.
        log_level: Least severity that is logged.
        otlp_endpoint: URL that metrics are pushed to, if any.
        drain_s: Time that streams get to finish after SIGTERM.
        caller_limits: Bounds on what one caller may send.
        forwarding: Serve forwarded routes on the users' platform; None serves the own interface.
    """

    vm: ids.VmId
    failure_domain: ids.FailureDomainId
    listen: Listen = schema.field(factory=Listen)
    tls: Tls | None = None
    platform: Platform = schema.field(factory=Platform)
    peers: Peers = schema.field(factory=Peers)
    operator_token: str = ""
    cache_secret: str = ""
    log_level: LogLevel = LogLevel.INFO
    otlp_endpoint: str = ""
    drain_s: float = schema.field(600.0, minimum=0)
    caller_limits: CallerLimits = schema.field(factory=CallerLimits)
    forwarding: Forwarding | None = None


def load(path: str | os.PathLike[str]) -> Settings:
    """Reads and checks a settings file.

    Raises:
        InvalidDocumentError: Names file, line, key and what was expected.
    """
    document = documents.read(path)
    try:
        value = schema.convert(Settings, document.value)
        _check_network_settings(value)
    except exceptions.InvalidDocumentError as exc:
        raise document.add_lines(exc) from exc
    return value


def split_address(address: ids.Address) -> tuple[str, int]:
    """Returns host and port of an `IP:port` address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def is_loopback(address: ids.Address) -> bool:
    """Returns whether an address is reachable from its own machine alone."""
    host = split_address(address)[0]
    return host.startswith("127.") or host in ("::1", "localhost")


def _check_network_settings(value: Settings) -> None:
    faults = []
    addresses = {
        "listen.callers": value.listen.callers,
        "listen.operators": value.listen.operators,
        "listen.peers": value.listen.peers,
        "listen.readiness": value.listen.readiness,
        "listen.metrics": value.listen.metrics,
    }
    for i, address in enumerate(value.platform.addresses):
        addresses[f"platform.addresses[{i}]"] = address
    for i, address in enumerate(value.peers.seed):
        addresses[f"peers.seed[{i}]"] = address
    for path, address in addresses.items():
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit() or int(port) > 65535:
            faults.append(exceptions.Fault(path, f"expected IP:port, got {address!r}"))
    if faults:
        raise exceptions.InvalidDocumentError(faults)
    if not value.operator_token and not is_loopback(value.listen.operators):
        fault = exceptions.Fault("operator_token", "required where operators listen off loopback")
        raise exceptions.InvalidDocumentError([fault])
    # On the users' platform the routers' ports are reached by routers alone.
    exposes_peers = value.forwarding is None and not is_loopback(value.listen.peers)
    if not value.peers.secret and exposes_peers:
        fault = exceptions.Fault("peers.secret", "required where peers listen off loopback")
        raise exceptions.InvalidDocumentError([fault])
