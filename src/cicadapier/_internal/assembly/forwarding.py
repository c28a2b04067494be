"""Puts together a router that serves forwarded routes on the users' platform."""

import dataclasses
import random

from cicadapier._internal.assembly import router
from cicadapier._internal.decisions import cadence
from cicadapier._internal.kernel import service
from cicadapier._internal.models import settings
from cicadapier._internal.platform import documents
from cicadapier._internal.platform import engine_calls
from cicadapier._internal.platform import objects
from cicadapier._internal.platform import requests
from cicadapier._internal.services import cluster_service
from cicadapier._internal.services import connections_service
from cicadapier._internal.services import directory_service
from cicadapier._internal.services import forwarding_service
from cicadapier._internal.services import peers_service
from cicadapier._internal.services import platform_service
from cicadapier._internal.services import probes_service
from cicadapier._internal.services import quotas_service
from cicadapier._internal.services import telemetry_service
from cicadapier._internal.services import traffic_service
from cicadapier._internal.services import watched_configuration
from cicadapier._internal.services import weights_service


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingRouter:
    """One router of forwarded routes.

    Attributes:
        kernel: Runs its services.
        callers: Listener for callers.
        readiness: Listener for the balancer's question.
        peers: Gossip with other routers.
        configuration: The configuration in force.
    """

    kernel: service.Kernel
    callers: forwarding_service.ForwardingService
    readiness: probes_service.ReadinessService
    peers: peers_service.PeersService
    configuration: watched_configuration.WatchedConfiguration


def assemble(
    cfg: settings.Settings, terms: settings.Forwarding, wiring: router.Wiring
) -> ForwardingRouter:
    """Returns a router that is ready to run."""
    kernel = service.Kernel()
    rng = random.Random(wiring.seed)
    clock = wiring.clock
    spelling = requests.RequestFormat()
    shapes = documents.DocumentFormat(terms.engines)
    tokens = wiring.token_source
    configuration = watched_configuration.WatchedConfiguration(
        shapes, terms.revoke_ms / 1000, clock, rng
    )
    peers = peers_service.PeersService(
        cfg, wiring.peers, wiring.generation, rng, cadence.sparse_gossip_rounds
    )
    readiness = probes_service.ReadinessService(cfg, terms.readiness_path, wiring.listen, tokens)
    callers = forwarding_service.ForwardingService(cfg, terms, wiring.listen, spelling, tokens)
    orders = weights_service.WeightsService(
        cfg.vm,
        shapes,
        engine_calls.EngineCallFormat(),
        terms.order_lease_ms / 1000,
        clock,
        rng,
        tokens,
    )
    store = platform_service.PlatformService(
        cfg.platform, wiring.connect, rng, objects.ObjectFormat()
    )
    # Services stop in reverse order: callers drain first, then the others may go.
    for item in (
        telemetry_service.TelemetryService(cfg.vm, cfg.otlp_endpoint),
        store,
        connections_service.ConnectionsService(wiring.connect),
        traffic_service.TrafficService(cfg.failure_domain, terms.weights_ms / 1000),
        configuration,
        directory_service.DirectoryService(shapes, terms.drain_ms / 1000, clock, rng),
        peers,
        cluster_service.ClusterService(cfg, wiring.generation, clock, rng),
        quotas_service.QuotasService(cfg.vm),
        orders,
        probes_service.MetricsService(cfg, wiring.listen, tokens),
        readiness,
        callers,
    ):
        kernel.register(item)
    return ForwardingRouter(kernel, callers, readiness, peers, configuration)
