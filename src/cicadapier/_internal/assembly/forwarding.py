"""Assembles a router that serves forwarded routes on the users' platform."""

import dataclasses
import random

from cicadapier._internal.assembly import router
from cicadapier._internal.decisions import cadence
from cicadapier._internal.kernel import service
from cicadapier._internal.models import settings
from cicadapier._internal.platform import documents
from cicadapier._internal.platform import engine_calls
from cicadapier._internal.platform import features
from cicadapier._internal.platform import objects
from cicadapier._internal.platform import requests
from cicadapier._internal.services import cluster_service
from cicadapier._internal.services import connections_service
from cicadapier._internal.services import directory_service
from cicadapier._internal.services import forwarding_service
from cicadapier._internal.services import links_service
from cicadapier._internal.services import origins_service
from cicadapier._internal.services import peers_service
from cicadapier._internal.services import platform_service
from cicadapier._internal.services import probes_service
from cicadapier._internal.services import quotas_service
from cicadapier._internal.services import telemetry_service
from cicadapier._internal.services import traffic_service
from cicadapier._internal.services import tunnels_service
from cicadapier._internal.services import watched_configuration
from cicadapier._internal.services import weights_service
from cicadapier._internal.services.account_quotas import account_quotas_service
from cicadapier._internal.services.fleet import shared_reads_service


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingRouter:
    """One router that serves forwarded routes.

    Attributes:
        kernel: Kernel that runs the services of the router.
        callers: Listener for the requests of callers.
        readiness: Listener for the readiness checks of the load balancer.
        peers: Gossip with other routers.
        configuration: Service that holds the configuration in force.
    """

    kernel: service.Kernel
    callers: forwarding_service.ForwardingService
    readiness: probes_service.ReadinessService
    peers: peers_service.PeersService
    configuration: watched_configuration.WatchedConfiguration


def assemble(
    cfg: settings.Settings,
    forwarding_settings: settings.Forwarding,
    dependencies: router.Dependencies,
) -> ForwardingRouter:
    """Returns a router whose services are registered in the order in which they start."""
    kernel = service.Kernel(cfg)
    rng = random.Random(dependencies.seed)
    clock = dependencies.clock
    orders_by_urgency = features.orders_by_urgency(forwarding_settings)
    document_format = documents.DocumentFormat(
        forwarding_settings.engines, features.asks_for_keys(forwarding_settings)
    )
    token_source = dependencies.token_source
    configuration = watched_configuration.WatchedConfiguration(
        document_format, forwarding_settings.revoke_ms / 1000, clock, rng
    )
    peers = peers_service.PeersService(
        cfg, dependencies.peer_transport, dependencies.generation, rng, cadence.sparse_gossip_rounds
    )
    readiness = probes_service.ReadinessService(
        cfg, forwarding_settings.readiness_path, dependencies.listen_network, token_source
    )
    callers = _make_callers(cfg, forwarding_settings, dependencies, orders_by_urgency)
    weights = _make_weights(cfg, forwarding_settings, dependencies, document_format, rng)
    shared_reads = _make_shared_reads(cfg, forwarding_settings.fleet, dependencies)
    platform = platform_service.PlatformService(
        cfg.platform, dependencies.connect_network, rng, objects.ObjectFormat(), shared_reads
    )
    telemetry = telemetry_service.TelemetryService(cfg.vm, cfg.otlp_endpoint)
    links = _make_links(cfg, dependencies)
    # Services drain in the reverse order: first the listener for callers, then the services that
    # its requests use.
    for component in (
        telemetry,
        platform,
        links,
        _make_connections(links, telemetry, forwarding_settings.fleet, peers),
        traffic_service.TrafficService(
            cfg.failure_domain, forwarding_settings.weights_ms / 1000, clock, orders_by_urgency
        ),
        configuration,
        directory_service.DirectoryService(
            document_format, forwarding_settings.drain_ms / 1000, clock, rng
        ),
        peers,
        *((shared_reads,) if shared_reads else ()),
        # The certificate of the listeners is one for callers, and peers connect without TLS.
        tunnels_service.TunnelsService(cfg, dependencies.connect_network),
        cluster_service.ClusterService(cfg, dependencies.generation, clock, rng),
        quotas_service.QuotasService(cfg.vm, clock),
        origins_service.OriginsService(cfg.vm, engine_calls.EngineCallFormat(), rng),
        _make_account_quotas(cfg, forwarding_settings, dependencies),
        weights,
        probes_service.MetricsService(cfg, dependencies.listen_network, token_source),
        readiness,
        callers,
    ):
        kernel.register(component)
    return ForwardingRouter(kernel, callers, readiness, peers, configuration)


def _make_callers(
    cfg: settings.Settings,
    forwarding_settings: settings.Forwarding,
    dependencies: router.Dependencies,
    orders_by_urgency: bool,
) -> forwarding_service.ForwardingService:
    return forwarding_service.ForwardingService(
        cfg,
        forwarding_settings,
        dependencies.listen_network,
        requests.RequestFormat(),
        dependencies.token_source,
        orders_by_urgency,
    )


def _make_shared_reads(
    cfg: settings.Settings, fleet: settings.Fleet, dependencies: router.Dependencies
) -> shared_reads_service.SharedReadsService | None:
    if not fleet.large_domain:
        return None
    rng = random.Random(f"{dependencies.seed}/reads")
    return shared_reads_service.SharedReadsService(
        cfg.vm, fleet.large_domain, dependencies.clock, rng, dependencies.token_source
    )


def _make_links(
    cfg: settings.Settings, dependencies: router.Dependencies
) -> links_service.LinksService:
    return links_service.LinksService(
        cfg, dependencies.connect_network, random.Random(f"{dependencies.seed}/links")
    )


def _make_connections(
    links: links_service.LinksService,
    telemetry: telemetry_service.TelemetryService,
    fleet: settings.Fleet,
    peers: peers_service.PeersService,
) -> connections_service.ConnectionsService:
    def max_idle_s() -> float:
        is_large = len(peers.domain_routers()) + 1 >= fleet.large_domain
        return fleet.max_idle_s if is_large else connections_service.MAX_IDLE_S

    get_max_idle_s = max_idle_s if fleet.large_domain else None
    return connections_service.ConnectionsService(links, telemetry, get_max_idle_s)


def _make_weights(
    cfg: settings.Settings,
    forwarding_settings: settings.Forwarding,
    dependencies: router.Dependencies,
    document_format: documents.DocumentFormat,
    rng: random.Random,
) -> weights_service.WeightsService:
    return weights_service.WeightsService(
        cfg.vm,
        document_format,
        engine_calls.EngineCallFormat(),
        forwarding_settings.order_lease_ms / 1000,
        dependencies.clock,
        rng,
        dependencies.token_source,
    )


def _make_account_quotas(
    cfg: settings.Settings,
    forwarding_settings: settings.Forwarding,
    dependencies: router.Dependencies,
) -> account_quotas_service.AccountQuotasService:
    rng = random.Random(f"{dependencies.seed}/{dependencies.generation}/account-quotas")
    return account_quotas_service.AccountQuotasService(
        cfg.vm, forwarding_settings.quotas, dependencies.clock, rng
    )
