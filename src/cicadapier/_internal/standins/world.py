"""A simulated world: the stand-ins and routers of one deployment in one process."""

import dataclasses
import hashlib
import random
from typing import Any

import structlog
import trio

from cicadapier._internal.assembly import router as router_assembly
from cicadapier._internal.kernel import random_tokens
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import schema
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import exceptions as protocol_exceptions
from cicadapier._internal.protocols import peer_codec
from cicadapier._internal.protocols import peer_transport
from cicadapier._internal.protocols import transport
from cicadapier._internal.services import configuration_store
from cicadapier._internal.standins import deployments
from cicadapier._internal.standins import engine_model
from cicadapier._internal.standins import engine_server
from cicadapier._internal.standins import fault_server
from cicadapier._internal.standins import faults
from cicadapier._internal.standins import faulty_network
from cicadapier._internal.standins import ledger
from cicadapier._internal.standins import link_faults
from cicadapier._internal.standins import plain_services
from cicadapier._internal.standins import platform_server
from cicadapier._internal.standins import router_links
from cicadapier._internal.standins import upstream_server

LOOPBACK = ids.Address("127.0.0.1:0")
PLATFORM_NAME = "platform"  # Also the failure domain of the platform.
CRASH_DOWNTIME_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of a world.

    Attributes:
        deployment: Deployment to simulate.
        routers: Number of routers.
        seed: Seed of all random choices.
        first_port: Port of the first router, the others use the next ports; 0 for any free ports.
        spec: Speed and cache size of the engines.
    """

    deployment: deployments.Deployment
    routers: int
    seed: int = 0
    first_port: int = 0
    spec: engine_model.EngineSpec = dataclasses.field(default_factory=engine_model.EngineSpec)


@dataclasses.dataclass(slots=True)
class RunningRouter:
    """A router of the world.

    Attributes:
        router: The router.
        cfg: Settings of the router, with the addresses that it listens on.
        scope: Cancel scope of the router; cancelling it stops the router at once.
        generation: Number of starts on the VM, including this one.
        ended: Set once the router has ended.
    """

    router: router_assembly.Router
    cfg: settings.Settings
    scope: trio.CancelScope
    generation: int
    ended: trio.Event


class World(fault_server.FaultTarget):
    """Stand-ins and routers that run together.

    Attributes:
        plan: Parameters of the world.
        active_faults: Faults in force.
        ledger: Record of the requests that the upstreams actually ran.
        locations: Failure domains and names of the servers by address.
        platform: Stand-in for the platform.
        platform_address: Address of the platform.
        upstreams: Stand-in upstreams by id.
        routers: The most recently started router of each VM.
        weights: Store from which the engines load weights.
    """

    def __init__(
        self,
        plan: Plan,
        network: transport.Network,
        peers: "PeerTransports",
    ) -> None:
        self.plan = plan
        self.active_faults = faults.ActiveFaults()
        self.ledger = ledger.Ledger()
        self.locations = faulty_network.Locations()
        self.platform_address = ids.Address("")
        self.upstreams: dict[ids.UpstreamId, upstream_server.UpstreamServer] = {}
        self.routers: dict[ids.VmId, RunningRouter] = {}
        self.weights = engine_server.WeightStore(plan.deployment.loads_at_once)
        self._network = network
        self._peers = peers
        self._link_faults = link_faults.LinkFaults(self.active_faults, self._list_addresses)
        self.platform = platform_server.PlatformServer(network, self.active_faults)
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status: "trio.TaskStatus[None]" = trio.TASK_STATUS_IGNORED) -> None:
        """Runs the stand-ins and routers until it is cancelled.

        Reports that it has started once all routers have a configuration.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self.platform_address = await nursery.start(self.platform.run, LOOPBACK)
            self.locations.add(self.platform_address, PLATFORM_NAME, PLATFORM_NAME)
            await self._start_upstreams(nursery)
            for index in range(self.plan.routers):
                await self.start_router(index)
            self._write_vms()
            await self._submit_configuration()
            for running in self.routers.values():
                await running.router.configuration.ready.wait()
            task_status.started()
            await trio.sleep_forever()

    def network_for(self, domain: str) -> faulty_network.FaultyNetwork:
        """Returns the network for servers in a failure domain, which injects faults."""
        return faulty_network.FaultyNetwork(
            self._network, self.active_faults, self.locations, domain
        )

    async def start_router(self, index: int) -> RunningRouter:
        """Starts a router; if it ran before, starts a new process on the same VM.

        Args:
            index: Index of the router, starting at 0.
        """
        assert self._nursery
        vm = ids.VmId(f"router-{index + 1}")
        previous = self.routers.get(vm)
        generation = previous.generation + 1 if previous else 1
        cfg = previous.cfg if previous else self._router_settings(index, vm)
        domain = cfg.failure_domain
        dependencies = router_assembly.Dependencies(
            self._network,
            self._links_for(vm, domain),
            self._peers.make(self, domain),
            generation,
            self.plan.seed * 1000 + index,
            random_tokens.TokenSource(random.Random(f"{self.plan.seed}/{vm}/{generation}")),
            trio.current_time,
        )
        router = router_assembly.assemble(cfg, dependencies)
        scope = trio.CancelScope()
        ended = trio.Event()
        await self._nursery.start(self._run_router, router, cfg, scope, ended)
        cfg = dataclasses.replace(cfg, listen=_bound_addresses(router))
        running = RunningRouter(router, cfg, scope, generation, ended)
        self.routers[vm] = running
        self.locations.add(router.peers.address, domain, vm)
        self._update_peer_seeds()
        return running

    def stop_router(self, vm: ids.VmId, graceful: bool = False) -> None:
        """Stops a router, at once or, if `graceful`, after draining."""
        running = self.routers[vm]
        if graceful:
            running.router.kernel.stop()
        else:
            running.scope.cancel()

    @property
    def upstream_names(self) -> list[str]:
        """See `fault_server.FaultTarget.upstream_names`."""
        return sorted(self.upstreams)

    def list_runs(self) -> list[object]:
        """See `fault_server.FaultTarget.list_runs`."""
        return [schema.to_plain(entry) for entry in self.ledger.entries]

    def inject(
        self, kind: faults.FaultKind, target: str, seconds: float, amount: float | None
    ) -> None:
        """See `fault_server.FaultTarget.inject`.

        A crash happens at once; its amount is the time until the upstream restarts.
        """
        if kind is faults.FaultKind.CRASH:
            for upstream_id, upstream in self.upstreams.items():
                if target in (faults.ANY, upstream_id):
                    upstream.crash(CRASH_DOWNTIME_S if amount is None else amount)
            return
        fault = self.active_faults.add(kind, target, seconds, amount)
        if kind is faults.FaultKind.LEAVING:
            self._write_vms()
        if kind in link_faults.LINK_FAULTS:
            assert self._nursery
            self._link_faults.cut(fault, self._nursery)

    def _links_for(self, vm: ids.VmId, domain: str) -> router_links.RouterLinks:
        """Returns the network of the routers on a VM; cuts outlast a restart of the router."""
        if vm not in self._link_faults.links:
            links = router_links.RouterLinks(self.network_for(domain))
            self._link_faults.links[vm] = links
        return self._link_faults.links[vm]

    def _list_addresses(self, upstream: str) -> list[ids.Address]:
        """Returns the addresses of the upstreams with an id, or of all for `faults.ANY`."""
        return [
            server.address
            for name, server in self.upstreams.items()
            if upstream in (faults.ANY, name)
        ]

    def declaration(self) -> dict[str, Any]:
        """Returns the configuration declaration of the deployment."""
        deployment = self.plan.deployment
        accounts = {
            account.account: {
                "key_hashes": [self._key_hash(account.account)],
                "service_class": account.service_class.value,
                "weight": account.weight,
                "limits": schema.to_plain(account.limits),
            }
            for account in deployment.accounts
        }
        pools = {
            deployment.model_pool: {
                "kind": "model",
                "models": {deployment.model: {"weights_version": "1"}},
                "keep": deployment.keep_pool,
                "piece_tokens": self.plan.spec.piece_tokens,
                "loads_at_once": deployment.loads_at_once,
                "upstreams": self._upstream_declarations(engine_server.EngineServer),
            },
            deployment.service_pool: {
                "kind": "service",
                "repeat_rules": [
                    {"path": deployment.non_repeatable_path, "method": "POST", "repeatable": False},
                ],
                "upstreams": self._upstream_declarations(plain_services.PlainService),
            },
            deployment.keep_pool: {
                "kind": "keep",
                "upstreams": self._upstream_declarations(plain_services.KeepServer),
            },
        }
        return {"accounts": accounts, "pools": pools}

    def _key_hash(self, account: ids.AccountId) -> str:
        key = deployments.account_key(account, self.plan.seed)
        return hashlib.sha256(key.encode()).hexdigest()

    def _upstream_declarations(
        self, server_type: type[upstream_server.UpstreamServer]
    ) -> dict[str, Any]:
        return {
            upstream_id: {
                "address": upstream.address,
                "failure_domain": self.locations.domains[upstream.address],
                "checks_fencing": getattr(upstream, "checks_fencing", True),
            }
            for upstream_id, upstream in self.upstreams.items()
            if type(upstream) is server_type
        }

    async def _start_upstreams(self, nursery: trio.Nursery) -> None:
        deployment = self.plan.deployment
        for index in range(deployment.engines):
            await self._start_engine(nursery, index)
        for index in range(deployment.service_instances):
            upstream_id = ids.UpstreamId(f"{deployment.service_pool}-{index + 1}")
            server = plain_services.PlainService(
                upstream_id,
                self.network_for(deployment.domain(index)),
                self.active_faults,
                self.ledger,
            )
            await self._start_upstream(nursery, server, deployment.domain(index))
        keep = plain_services.KeepServer(
            ids.UpstreamId(f"{deployment.keep_pool}-1"),
            self.network_for(deployment.domain(0)),
            self.active_faults,
            self.ledger,
        )
        await self._start_upstream(nursery, keep, deployment.domain(0))

    async def _start_engine(self, nursery: trio.Nursery, index: int) -> None:
        deployment = self.plan.deployment
        engine = engine_server.EngineServer(
            ids.UpstreamId(f"{deployment.model_pool}-{index + 1}"),
            self.network_for(deployment.domain(index)),
            self.active_faults,
            self.ledger,
            self.plan.spec,
            {deployment.model: "1"},
            self.weights,
            # The last engine stands for engines that ignore fencing tokens.
            checks_fencing=index + 1 < deployment.engines,
            seed=self.plan.seed,
        )
        nursery.start_soon(engine.run_clock)
        await self._start_upstream(nursery, engine, deployment.domain(index))

    async def _start_upstream(
        self,
        nursery: trio.Nursery,
        server: upstream_server.UpstreamServer,
        domain: ids.FailureDomainId,
    ) -> None:
        self.upstreams[server.upstream] = server
        await nursery.start(server.run, LOOPBACK)
        self.locations.add(server.address, domain, server.upstream)

    def _router_settings(self, index: int, vm: ids.VmId) -> settings.Settings:
        port = self.plan.first_port + index if self.plan.first_port else 0
        return settings.Settings(
            vm,
            self.plan.deployment.domain(index),
            settings.Listen(ids.Address(f"127.0.0.1:{port}"), LOOPBACK, LOOPBACK),
            platform=settings.Platform([self.platform_address]),
            cache_secret=f"demo-{self.plan.seed}",
        )

    def _update_peer_seeds(self) -> None:
        addresses = [running.router.peers.address for running in self.routers.values()]
        for running in self.routers.values():
            running.router.peers.set_seeds(addresses)

    async def _run_router(
        self,
        router: router_assembly.Router,
        cfg: settings.Settings,
        scope: trio.CancelScope,
        ended: trio.Event,
        task_status: "trio.TaskStatus[None]" = trio.TASK_STATUS_IGNORED,
    ) -> None:
        structlog.contextvars.bind_contextvars(vm=cfg.vm)
        with scope:
            await router.kernel.run(task_status)
        ended.set()

    def _write_vms(self) -> None:
        now = trio.current_time()
        existing = {item["metadata"]["name"] for item in self.platform.store.list_all("vms")}
        entries: dict[str, dict[str, str]] = {}
        for upstream_id, upstream in self.upstreams.items():
            state = "leaving" if upstream.is_leaving else "live"
            entries[upstream_id] = {"state": state, "role": "upstream"}
        for vm, running in self.routers.items():
            entries[vm] = {
                "state": "live",
                "role": "router",
                "peerAddress": running.router.peers.address,
            }
        for name, spec in entries.items():
            value = {"metadata": {"name": name}, "spec": spec}
            if name in existing:
                self.platform.store.replace("vms", name, value, now)
            else:
                self.platform.store.create("vms", value, now)

    async def _submit_configuration(self) -> None:
        first = next(iter(self.routers.values()))
        submission = configuration_store.Submission(
            ids.PatchId("demo"), "demo", ids.ConfigNumber(0), self.declaration()
        )
        result = await first.router.configuration.submit(submission)
        if not isinstance(result, configuration_store.PatchApplied):
            raise RuntimeError(f"the configuration of the deployment was rejected: {result}")


def _bound_addresses(router: router_assembly.Router) -> settings.Listen:
    return settings.Listen(router.callers.address, router.operators.address, router.peers.address)


class PeerTransports:
    """Creates the peer transports of routers."""

    def make(self, world: World, domain: str) -> peer_transport.PeerTransport:
        """Returns a gRPC transport for a router in a failure domain, with injected partitions."""
        return FaultyPeerTransport(peer_transport.GrpcTransport("demo"), world, domain)


class FaultyPeerTransport(peer_transport.PeerTransport):
    """A peer transport that injects the partitions of a world."""

    def __init__(self, inner: peer_transport.PeerTransport, world: World, domain: str) -> None:
        self._inner = inner
        self._world = world
        self._domain = domain

    async def serve(
        self,
        address: ids.Address,
        handler: peer_transport.PeerHandler,
        task_status: "trio.TaskStatus[ids.Address]" = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """See `peer_transport.PeerTransport.serve`."""
        await self._inner.serve(address, handler, task_status=task_status)

    async def exchange(self, address: ids.Address, digest: peer_codec.Digest) -> peer_codec.Digest:
        """See `peer_transport.PeerTransport.exchange`."""
        await self._check_reachable(address)
        return await self._inner.exchange(address, digest)

    async def send_datagram(
        self, addresses: list[ids.Address], message: peer_codec.Message
    ) -> None:
        """See `peer_transport.PeerTransport.send_datagram`."""
        reachable = [address for address in addresses if not self._is_partitioned(address)]
        await self._inner.send_datagram(reachable, message)

    async def fetch_configuration(
        self, address: ids.Address, since: ids.ConfigNumber
    ) -> tuple[ids.ConfigNumber, bytes] | None:
        """See `peer_transport.PeerTransport.fetch_configuration`."""
        await self._check_reachable(address)
        return await self._inner.fetch_configuration(address, since)

    def _is_partitioned(self, address: ids.Address) -> bool:
        domain = self._world.locations.domains.get(address, self._domain)
        return self._world.active_faults.is_partitioned(self._domain, domain)

    async def _check_reachable(self, address: ids.Address) -> None:
        if self._is_partitioned(address):
            await trio.sleep(peer_transport.EXCHANGE_TIMEOUT_S)
            raise protocol_exceptions.ConnectError(f"{address}: no answer")


@dataclasses.dataclass(frozen=True, slots=True)
class AccountCredentials:
    """Credentials of the callers of an account.

    Attributes:
        id: Account id.
        key: API key.
        service_class: Service class of the account.
    """

    id: ids.AccountId
    key: str
    service_class: configuration.ServiceClass


def account_credentials(plan: Plan) -> list[AccountCredentials]:
    """Returns the credentials of all accounts."""
    return [
        AccountCredentials(
            account.account,
            deployments.account_key(account.account, plan.seed),
            account.service_class,
        )
        for account in plan.deployment.accounts
    ]
