"""Assembles a router that serves the native interface."""

import collections.abc
import dataclasses
import random
import secrets
import time

from cicadapier._internal.kernel import random_tokens
from cicadapier._internal.kernel import service
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import native_store_format
from cicadapier._internal.protocols import peer_transport
from cicadapier._internal.protocols import transport
from cicadapier._internal.services import callers_service
from cicadapier._internal.services import claims_service
from cicadapier._internal.services import configuration_service
from cicadapier._internal.services import connections_service
from cicadapier._internal.services import exports_service
from cicadapier._internal.services import operators_service
from cicadapier._internal.services import orders_service
from cicadapier._internal.services import peers_service
from cicadapier._internal.services import platform_service
from cicadapier._internal.services import telemetry_service
from cicadapier._internal.services import traffic_service
from cicadapier._internal.services import upstreams_service
from cicadapier._internal.services.account_quotas import account_quotas_service
from cicadapier._internal.services.account_quotas import quota_sources

_SEED_BITS = 64


def uptime_s() -> float:
    """Returns the seconds since the VM booted, including the time for which it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(frozen=True, slots=True)
class Router:
    """One router that serves the native interface.

    Attributes:
        kernel: Kernel that runs the services of the router.
        callers: Listener for the requests of callers.
        operators: Listener for the requests of operators.
        peers: Gossip with other routers.
        configuration: Service that holds the configuration in force.
    """

    kernel: service.Kernel
    callers: callers_service.CallersService
    operators: operators_service.OperatorsService
    peers: peers_service.PeersService
    configuration: configuration_service.ConfigurationService


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Dependencies of a router that tests and simulations replace.

    Attributes:
        listen_network: Network on which the router accepts connections.
        connect_network: Network for connections to upstreams and to the platform.
        peer_transport: Transport of messages to and from other routers.
        generation: Number that increases with each start of the router on its VM.
        seed: Seed of the router's random generators; no other process has the same.
        token_source: Source of request ids and nonces.
        clock: Clock in seconds that also advances while the VM is suspended.
    """

    listen_network: transport.Network
    connect_network: transport.Network
    peer_transport: peer_transport.PeerTransport
    generation: int
    seed: int | str
    token_source: random_tokens.TokenSource = dataclasses.field(
        default_factory=random_tokens.TokenSource
    )
    clock: collections.abc.Callable[[], float] = uptime_s


def production_dependencies(cfg: settings.Settings) -> Dependencies:
    """Returns TCP networks, gRPC, a generation from the current time and a seed by chance."""
    generation = time.time_ns() // 1_000_000
    return Dependencies(
        transport.TcpNetwork(cfg.tls),
        transport.TcpNetwork(),
        peer_transport.GrpcTransport(cfg.peers.secret, cfg.peers.max_connections),
        generation,
        f"{cfg.vm}/{generation}/{secrets.randbits(_SEED_BITS)}",
    )


def assemble(cfg: settings.Settings, dependencies: Dependencies) -> Router:
    """Returns a router whose services are registered in the order in which they start."""
    kernel = service.Kernel(cfg)
    rng = random.Random(dependencies.seed)
    configuration = configuration_service.ConfigurationService(cfg.vm, rng)
    peers = peers_service.PeersService(
        cfg, dependencies.peer_transport, dependencies.generation, rng
    )
    callers = callers_service.CallersService(
        cfg, dependencies.listen_network, dependencies.token_source
    )
    operators = operators_service.OperatorsService(
        cfg, dependencies.listen_network, dependencies.token_source
    )
    # Services drain in the reverse order: first the listener for callers, then the services that
    # its requests use.
    for component in (
        telemetry_service.TelemetryService(cfg.vm, cfg.otlp_endpoint),
        platform_service.PlatformService(
            cfg.platform, dependencies.connect_network, rng, native_store_format.NativeStoreFormat()
        ),
        connections_service.ConnectionsService(
            connections_service.DirectLinks(dependencies.connect_network)
        ),
        traffic_service.TrafficService(cfg.failure_domain),
        configuration,
        peers,
        _make_account_limits(cfg, dependencies),
        exports_service.ExportsService(),
        claims_service.ClaimsService(dependencies.token_source),
        upstreams_service.UpstreamsService(cfg.vm, rng),
        orders_service.OrdersService(cfg.vm, rng, dependencies.token_source, dependencies.clock),
        operators,
        callers,
    ):
        kernel.register(component)
    return Router(kernel, callers, operators, peers, configuration)


def _make_account_limits(
    cfg: settings.Settings, dependencies: Dependencies
) -> account_quotas_service.AccountQuotasService:
    rng = random.Random(f"{dependencies.seed}/{dependencies.generation}/account-limits")
    return account_quotas_service.AccountQuotasService(
        cfg.vm,
        quota_sources.LIMIT_ALLOWANCE,
        dependencies.clock,
        rng,
        quota_sources.DeclaredLimits(),
    )
