"""Settings of a router process, read from a YAML file."""

import dataclasses
import enum
import os

from cicadapier._internal.models import addresses
from cicadapier._internal.models import documents
from cicadapier._internal.models import exceptions
from cicadapier._internal.models import ids
from cicadapier._internal.models import schema

KILL_MARGIN_S = 0.3  # Part of the grace time that remains between the end of the drain and SIGKILL.


class LogLevel(enum.Enum):
    """Minimum severity of logged events."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclasses.dataclass(frozen=True, slots=True)
class Listen:
    """Addresses that a router listens on, each as `IP:port`; port 0 selects any free port."""

    callers: ids.Address = ids.Address("127.0.0.1:8080")
    operators: ids.Address = ids.Address("127.0.0.1:8081")
    peers: ids.Address = ids.Address("127.0.0.1:8082")
    readiness: ids.Address = ids.Address("127.0.0.1:8083")
    metrics: ids.Address = ids.Address("127.0.0.1:8084")
    tunnels: ids.Address = ids.Address("127.0.0.1:8085")


@dataclasses.dataclass(frozen=True, slots=True)
class Tls:
    """PEM files with the certificate chain and private key for callers and operators."""

    certificate: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """Access to the object API of the platform."""

    addresses: list[ids.Address] = schema.field(factory=list)
    token: str = ""
    timeout_s: float = schema.field(2.0, above=0)


@dataclasses.dataclass(frozen=True, slots=True)
class Peers:
    """Other routers.

    Attributes:
        seed: Peer addresses of other routers.
        secret: Secret that authenticates routers to each other.
        max_tunnels: Maximum number of connections to upstreams that this router carries for other
            routers, which have lost their own links; 0 to carry none.
        max_connections: Maximum number of connections to the peers' listener; a quarter of the
            descriptors of the process if that is less.
    """

    seed: list[ids.Address] = schema.field(factory=list)
    secret: str = ""
    max_tunnels: int = schema.field(512, minimum=0)
    max_connections: int = schema.field(2048, minimum=1)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on what callers may send and keep open.

    Attributes:
        header_bytes: Maximum size of the headers of a request.
        body_bytes: Maximum size of the body of a request.
        connections: Maximum number of open connections of a listener; half of the descriptors of
            the process if that is less.
        header_timeout_s: Time for the headers of a request.
        body_timeout_s: Time for the body of a request.
        idle_timeout_s: Time after which a connection without a request is closed.
        json_depth: Maximum depth of a JSON body.
        probe_connections: Maximum number of open connections of the listeners for readiness and
            for metrics, each.
        ahead_bytes: Bytes that all clients of a listener together may send ahead of the answers;
            beyond it, less is read from those who do.
        ahead_requests: Requests at work at once whose clients send ahead, over all connections of a
            listener; half of `connections` if that is less.
        ahead_requests_per_s: Requests that were sent ahead and begin per second, over all
            connections of a listener; a short burst is free.
        unread_timeout_s: Time after which a connection is closed whose client reads nothing of an
            answer.
    """

    header_bytes: int = schema.field(16_384, minimum=1024)
    body_bytes: int = schema.field(8_388_608, minimum=1024)
    connections: int = schema.field(4096, minimum=1)
    header_timeout_s: float = schema.field(10.0, above=0)
    body_timeout_s: float = schema.field(30.0, above=0)
    idle_timeout_s: float = schema.field(75.0, above=0)
    json_depth: int = schema.field(64, minimum=4)
    probe_connections: int = schema.field(64, minimum=1)
    ahead_bytes: int = schema.field(4_194_304, minimum=0)
    ahead_requests: int = schema.field(64, minimum=1)
    ahead_requests_per_s: float = schema.field(200.0, above=0)
    unread_timeout_s: float = schema.field(30.0, above=0)


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudget:
    """Retry budget of a pool, over all routers together and for any time window.

    Attributes:
        share: Retries allowed per request of a caller.
        slack: Additional retries allowed in a window.
        window_s: Length of the window.
    """

    share: float = schema.field(0.1, minimum=0)
    slack: float = schema.field(10.0, minimum=0)
    window_s: float = schema.field(10.0, above=0)


@dataclasses.dataclass(frozen=True, slots=True)
class AccountQuotas:
    """What may run beyond the quotas of client accounts, over all routers together.

    Attributes:
        window_s: Length of the window.
        overage: Share of the quota that may run beyond it in a window.
        slack: Additional requests, or tokens if the quota counts tokens, in a window.
    """

    window_s: float = schema.field(10.0, above=0)
    overage: float = schema.field(0.0, minimum=0)
    slack: float = schema.field(0.0, minimum=0)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineAssumptions:
    """Properties that routers assume of model engines.

    Attributes:
        prefill_tokens_per_s: Prefill rate of an idle engine, in prompt tokens per second.
        remote_cost_ms: Additional time to first token that is accepted to keep a request in the
            router's failure domain.
    """

    prefill_tokens_per_s: float = schema.field(45_000.0, above=0)
    remote_cost_ms: float = schema.field(100.0, minimum=0)


@dataclasses.dataclass(frozen=True, slots=True)
class Scarcity:
    """Order and refusal of requests while the engines have no room for all of them.

    Attributes:
        enabled: Whether requests are ordered by urgency; None if the platform decides.
    """

    enabled: bool | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SlowReaders:
    """Streams that are held for callers that read them slowly.

    Attributes:
        enabled: Whether upstreams are read on while callers are slow.
        answer_bytes: Bytes that are held of one answer; beyond it, its upstream waits.
        total_bytes: Bytes that are held of all answers of the process; beyond it, the caller is cut
            for whom the most is held.
    """

    enabled: bool = False
    answer_bytes: int = schema.field(1_048_576, minimum=0)
    total_bytes: int = schema.field(16_777_216, minimum=0)


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """What routers do otherwise while there are many of them.

    Attributes:
        large_domain: Number of routers in a failure domain from which on a few of them read the
            store for the others, and idle connections are kept for longer; 0 for never.
        max_idle_s: Longest time for which a router of a large domain keeps an idle connection to an
            upstream that states for how long it keeps it.
    """

    large_domain: int = schema.field(0, minimum=0)
    max_idle_s: float = schema.field(30.0, above=0)


@dataclasses.dataclass(frozen=True, slots=True)
class Forwarding:
    """Settings for forwarded routes, whose configuration routers watch but never change.

    Attributes:
        readiness_path: Path of the load balancer's readiness check.
        grace_s: Time from SIGTERM to SIGKILL.
        revoke_ms: Time within which every router refuses a revoked key.
        order_lease_ms: Minimum time between orders of two different routers to one upstream.
        drain_ms: Time within which every router stops sending new requests to an upstream that
            is leaving.
        weights_ms: Time after which requests no longer start on weights older than the target
            version.
        retries: Retry budget of each pool.
        quotas: What may run beyond the quotas of client accounts.
        engines: Assumed properties of engines that the platform does not publish.
        scarcity: Order of requests while room is short.
        platform_features: Names, in the platform's words, of what the platform asks routers for.
        fleet: What routers do otherwise while there are many of them.
        slow_readers: Streams that are held for callers that read them slowly.
    """

    readiness_path: str = "/readyz"
    grace_s: float = schema.field(8.0, above=0)
    revoke_ms: float = schema.field(5000.0, above=0)
    order_lease_ms: float = schema.field(3000.0, above=0)
    drain_ms: float = schema.field(2000.0, above=0)
    weights_ms: float = schema.field(8000.0, above=0)
    retries: RetryBudget = schema.field(factory=RetryBudget)
    quotas: AccountQuotas = schema.field(factory=AccountQuotas)
    engines: EngineAssumptions = schema.field(factory=EngineAssumptions)
    scarcity: Scarcity = schema.field(factory=Scarcity)
    platform_features: list[str] = schema.field(factory=list)
    fleet: Fleet = schema.field(factory=Fleet)
    slow_readers: SlowReaders = schema.field(factory=SlowReaders)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one router.

    Attributes:
        vm: Id of the VM that the router runs on.
        failure_domain: Failure domain of that VM.
        listen: Addresses to listen on.
        tls: Certificate and private key; None for plain HTTP.
        platform: Access to the object API of the platform.
        peers: Other routers.
        operator_token: Credential of operators; required unless `listen.operators` is a loopback
            address.
        cache_secret: Secret from which ids of cached prefixes are derived; equal on all routers.
        log_level: Minimum severity of logged events.
        otlp_endpoint: URL to which metrics are pushed; empty for none.
        drain_s: Maximum time for open streams to finish after SIGTERM.
        caller_limits: Limits on what one caller may send.
        forwarding: Settings for forwarded routes on the users' platform; None to serve the native
            interface instead.
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

    @property
    def stop_limit_s(self) -> float:
        """Time from the stop signal until the process ends by itself, in seconds."""
        if self.forwarding:
            return max(0.0, self.forwarding.grace_s - KILL_MARGIN_S)
        return self.drain_s


def load(path: str | os.PathLike[str]) -> Settings:
    """Reads and checks a settings file.

    Raises:
        InvalidDocumentError: The file is invalid; the error lists the faults with their lines.
    """
    return parse(documents.read_text(path), path)


def parse(text: str, path: str | os.PathLike[str]) -> Settings:
    """Checks the text of a settings file.

    Args:
        text: The text.
        path: Path of the file, for error messages.

    Raises:
        InvalidDocumentError: The text is invalid; the error lists the faults with their lines.
    """
    document = documents.Document(text, os.fspath(path))
    try:
        value = schema.convert(Settings, document.value)
        _check_network_settings(value)
    except exceptions.InvalidDocumentError as exc:
        raise document.add_lines(exc) from exc
    return value


def split_address(address: ids.Address) -> tuple[str, int]:
    """Returns the host and port of an `IP:port` address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def is_loopback(address: ids.Address) -> bool:
    """Returns whether an address is reachable only from its own machine."""
    host = split_address(address)[0]
    return host.startswith("127.") or host in ("::1", "localhost")


def _check_network_settings(value: Settings) -> None:
    faults = []
    found = {
        "listen.callers": value.listen.callers,
        "listen.operators": value.listen.operators,
        "listen.peers": value.listen.peers,
        "listen.readiness": value.listen.readiness,
        "listen.metrics": value.listen.metrics,
        "listen.tunnels": value.listen.tunnels,
    }
    for i, address in enumerate(value.platform.addresses):
        found[f"platform.addresses[{i}]"] = address
    for i, address in enumerate(value.peers.seed):
        found[f"peers.seed[{i}]"] = address
    for path, address in found.items():
        if not addresses.is_address(address, min_port=0):
            faults.append(exceptions.Fault(path, f"expected IP:port, got {address!r}"))
    if faults:
        raise exceptions.InvalidDocumentError(faults)
    if not value.operator_token and not is_loopback(value.listen.operators):
        fault = exceptions.Fault(
            "operator_token", "required unless listen.operators is a loopback address"
        )
        raise exceptions.InvalidDocumentError([fault])
    # On the users' platform, only routers can reach the peer ports of routers, so a secret is
    # optional there.
    exposes_peers = value.forwarding is None and not is_loopback(value.listen.peers)
    if not value.peers.secret and exposes_peers:
        fault = exceptions.Fault(
            "peers.secret", "required unless listen.peers is a loopback address"
        )
        raise exceptions.InvalidDocumentError([fault])
