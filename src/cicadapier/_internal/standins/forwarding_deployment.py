"""A deployment with forwarded routes in one process: stand-in store, upstreams and routers."""

import collections.abc
import dataclasses
import functools
import random
from typing import Any

import trio

from cicadapier._internal.assembly import forwarding as forwarding_assembly
from cicadapier._internal.assembly import router as router_assembly
from cicadapier._internal.kernel import random_tokens
from cicadapier._internal.models import configuration
from cicadapier._internal.models import directory_entries
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.platform import documents
from cicadapier._internal.platform import server_formats
from cicadapier._internal.protocols import peer_transport
from cicadapier._internal.protocols import transport
from cicadapier._internal.standins import forwarding_store
from cicadapier._internal.standins import forwarding_upstream
from cicadapier._internal.standins import router_links

ANY_PORT = ids.Address("127.0.0.1:0")
FAILURE_DOMAIN = ids.FailureDomainId("here")
MODEL = ids.ModelId("verse")
ENGINES = ids.PoolId("engines")
DESK = ids.PoolId("desk")
ACCOUNT = ids.AccountId("press")
ISOLATED_ACCOUNT = ids.AccountId("apart")
KEYS = {ACCOUNT: ["key-1", "key-2"], ISOLATED_ACCOUNT: ["key-3"]}
CALLER_LIMITS = settings.CallerLimits(
    body_bytes=4_194_304, header_timeout_s=3.0, idle_timeout_s=15.0
)
SLOTS = 8
SOFTWARE = "v1"  # Software version of upstreams unless another one is given.
RESTART_S = 2.0  # Time from the crash of an upstream until it is back.
DRAIN_S = 7.7
_DOCUMENT_FORMAT = documents.DocumentFormat()

# An async function that reports through its argument `task_status` that it has started.
_StartableFunction = collections.abc.Callable[..., collections.abc.Awaitable[Any]]


def routes() -> dict[ids.RouteId, configuration.Route]:
    """Returns the default routes, which cover all kinds of routes."""
    desk = [configuration.PoolShare(DESK)]
    engines = [configuration.PoolShare(ENGINES)]
    route_kind = configuration.RouteKind
    route = configuration.Route
    return {
        ids.RouteId("look"): route(
            "desk", "/look/", desk, route_kind.IDEMPOTENT, False, 3.0, 0.4, max_attempts=2
        ),
        ids.RouteId("order"): route(
            "desk", "/order/", desk, route_kind.NON_IDEMPOTENT, False, 3.0, 0.4
        ),
        ids.RouteId("open"): route(
            "desk", "/open/", desk, route_kind.IDEMPOTENT, False, 3.0, 0.4, public=True
        ),
        ids.RouteId("ask"): route(
            "lm", "/ask/", engines, route_kind.STREAM, True, 5.0, 0.6, 0.5, max_attempts=2
        ),
        ids.RouteId("long"): route(
            "lm", "/long/", engines, route_kind.STREAM, False, 5.0, 0.6, 0.5, max_attempts=2
        ),
    }


def engine_pool() -> configuration.Pool:
    """Returns a pool of model engines."""
    models = {MODEL: configuration.Model("")}
    return configuration.Pool(configuration.PoolKind.MODEL, models=models, run_backups=True)


class ForwardingDeployment:
    """The store, the upstreams and the routers of one deployment.

    Attributes:
        network: Network on which all of them listen.
        links: Network on which each router connects, by index.
        store: The object store.
        runs: Runs of requests at all upstreams, ordered by start.
        backups: Backups of runs that upstreams hold for each other.
        upstreams: Upstreams by name.
        routers: Routers by index.
        store_endpoints: Endpoint of the store for each router, by index.
        suspended_s: Time for which the VM of a router was suspended, by index. The router's clock
            of the time since the VM booted is ahead of trio's clock by it.
        keys: API keys by account, for the next configuration.
        accounts: Accounts of the next configuration.
        key_policy: Whether the next configuration mentions accounts.
        pools: Pools of the next configuration.
        caller_limits: Caller limits of the next configuration.
        forwarding_settings: Settings of the routers that start next.
        crashes: Time and name of the upstream of each crash, in order.
    """

    def __init__(
        self,
        network: transport.Network,
        make_peers: collections.abc.Callable[[], peer_transport.PeerTransport],
        clock: collections.abc.Callable[[], float],
        seed: int = 0,
    ) -> None:
        self.network = network
        self.links: dict[int, router_links.RouterLinks] = {}
        self.store = forwarding_store.ForwardingStore(network)
        self.runs: list[forwarding_upstream.Run] = []
        self.backups = forwarding_upstream.Backups()
        self.upstreams: dict[str, forwarding_upstream.ForwardingUpstream] = {}
        self.routers: dict[int, forwarding_assembly.ForwardingRouter] = {}
        self.store_endpoints: dict[int, forwarding_store.StoreEndpoint] = {}
        self.suspended_s: dict[int, float] = {}
        self.keys = {account: list(keys) for account, keys in KEYS.items()}
        self.accounts = {
            ACCOUNT: configuration.Account(),
            ISOLATED_ACCOUNT: configuration.Account(isolated=True),
        }
        self.key_policy = configuration.KeyPolicy.REQUIRED
        self.pools = {
            ENGINES: engine_pool(),
            DESK: configuration.Pool(configuration.PoolKind.SERVICE),
        }
        self.caller_limits = CALLER_LIMITS
        self.forwarding_settings = settings.Forwarding()
        self._make_peers = make_peers
        self._clock = clock
        self._seed = seed
        self._scopes: dict[str, trio.CancelScope] = {}
        self._config_number = 1
        self._start_count = 0
        self.crashes: list[tuple[float, str]] = []
        self._nursery: trio.Nursery | None = None

    async def start(
        self, nursery: trio.Nursery, routers: int = 1, engines: int = 3, desks: int = 2
    ) -> None:
        """Starts the store, the upstreams and the routers in a nursery.

        Args:
            nursery: Nursery that runs them.
            routers: Number of routers.
            engines: Number of model engines.
            desks: Number of upstreams of the plain service.
        """
        self._nursery = nursery
        await nursery.start(self.store.run)
        self.configure(routes())
        self.set_target_weights(1)
        for index in range(engines):
            await self.add_upstream(f"engine-{index}", ENGINES, MODEL)
        for index in range(desks):
            await self.add_upstream(f"desk-{index}", DESK, None)
        for index in range(routers):
            await self.start_router(index)
        for router in self.routers.values():
            await router.configuration.ready.wait()

    def configure(
        self, declared_routes: dict[ids.RouteId, configuration.Route], number: int | None = None
    ) -> None:
        """Writes a configuration to the store, as operators do.

        Args:
            declared_routes: Routes of the configuration.
            number: Configuration number; None for the next one.
        """
        self._config_number = self._config_number + 1 if number is None else number
        content = configuration.Configuration(
            self.accounts, self.pools, declared_routes, self.caller_limits
        )
        numbered = configuration.NumberedConfiguration(
            ids.ConfigNumber(self._config_number), content, self.key_policy
        )
        keys = {account: list(account_keys) for account, account_keys in self.keys.items()}
        self.store.put(
            _DOCUMENT_FORMAT.configuration_kind,
            _DOCUMENT_FORMAT.configuration_name,
            server_formats.encode_configuration(numbered, keys),
        )

    def set_target_weights(self, version: int) -> None:
        """Writes the target weights version to the store, as operators do."""
        target = server_formats.encode_target_version(MODEL, version)
        self.store.put(_DOCUMENT_FORMAT.weights_kind, MODEL, target)

    async def add_upstream(
        self, name: str, pool: ids.PoolId, model: ids.ModelId | None, software: str = SOFTWARE
    ) -> forwarding_upstream.ForwardingUpstream:
        """Starts and registers an upstream."""
        weights = {model: "1"} if model else {}
        entry = directory_entries.Registration(
            ids.UpstreamId(name),
            pool,
            ANY_PORT,
            FAILURE_DOMAIN,
            ids.Incarnation(f"{name}@1"),
            SLOTS,
            False,
            weights,
            software,
        )
        upstream = forwarding_upstream.ForwardingUpstream(
            self.network, entry, self.runs, self.backups, model
        )
        upstream.crash = functools.partial(self.crash, name)
        self.upstreams[name] = upstream
        address = await self._start(name, upstream.run)
        upstream.entry = dataclasses.replace(entry, address=address)
        self.register(upstream.entry)
        return upstream

    def register(self, entry: directory_entries.Registration) -> None:
        """Writes a registration to the store, as upstreams do."""
        document = server_formats.encode_registration(entry)
        self.store.put(_DOCUMENT_FORMAT.directory_kind, entry.upstream, document)

    def mark_leaving(self, name: str) -> None:
        """Registers an upstream as leaving."""
        self.register(dataclasses.replace(self.upstreams[name].entry, leaving=True))

    def unregister(self, name: str) -> None:
        """Removes an upstream from the directory."""
        self.store.remove(_DOCUMENT_FORMAT.directory_kind, name)

    def stop(self, name: str) -> None:
        """Stops an upstream or a router abruptly; its entries in the store remain."""
        if name in self.upstreams:
            self.upstreams[name].has_stopped = True
        self._scopes[name].cancel()

    def crash(self, name: str) -> None:
        """Stops an upstream abruptly and starts it again as another incarnation."""
        if self.upstreams[name].has_stopped:
            return
        assert self._nursery
        self.crashes.append((trio.current_time(), name))
        self.stop(name)
        self._nursery.start_soon(self._restart_upstream, name)

    async def _restart_upstream(self, name: str) -> None:
        await trio.sleep(RESTART_S)
        incarnation = ids.Incarnation(f"{name}@{1 + len(self.crashes)}")
        entry = dataclasses.replace(self.upstreams[name].entry, incarnation=incarnation)
        await self.start_again(name, entry)

    async def start_again(self, name: str, entry: directory_entries.Registration) -> None:
        """Starts and registers an upstream that has stopped, with another entry."""
        upstream = self.upstreams[name]
        upstream.entry = entry
        upstream.has_stopped = False
        await self._start(name, upstream.run)
        self.register(entry)

    def upstream_addresses(self) -> list[ids.Address]:
        """Returns the addresses of all upstreams."""
        return [upstream.entry.address for upstream in self.upstreams.values()]

    def cut_links(
        self,
        index: int,
        fault: router_links.LinkFault,
        names: collections.abc.Collection[str] | None = None,
        direction: router_links.Direction = router_links.Direction.BOTH,
    ) -> router_links.Cut:
        """Cuts links of a router; it still reaches the store, and peers and callers reach it.

        Args:
            index: Index of the router.
            fault: What happens to its connections.
            names: Upstreams to which the links are cut; None for all, also those that are added
                later.
            direction: Directions in which connections hang.

        Returns:
            The cut, for `heal_links`.
        """
        addresses: collections.abc.Collection[ids.Address]
        if names is None:
            addresses = router_links.LiveAddresses(self.upstream_addresses)
        else:
            addresses = [self.upstreams[name].entry.address for name in names]
        return self.links[index].cut(fault, addresses, direction=direction)

    def heal_links(self, index: int, cut: router_links.Cut | None = None) -> None:
        """Ends a cut of the links of a router, or all of them."""
        self.links[index].heal(cut)

    async def start_router(self, index: int) -> forwarding_assembly.ForwardingRouter:
        """Starts a router on the VM with an index."""
        vm = ids.VmId(f"vm-{index}")
        forwarding_settings = self.forwarding_settings
        self.store_endpoints[index], store_address = await self.store.open_endpoint(ANY_PORT)
        cfg = settings.Settings(
            vm,
            FAILURE_DOMAIN,
            listen=settings.Listen(*[ANY_PORT] * 6),
            platform=settings.Platform([store_address], timeout_s=1.5),
            forwarding=forwarding_settings,
        )
        self._start_count += 1
        if index not in self.links:
            self.links[index] = router_links.RouterLinks(self.network)
        dependencies = router_assembly.Dependencies(
            self.network,
            self.links[index],
            self._make_peers(),
            self._start_count,
            index,
            random_tokens.TokenSource(random.Random(f"{self._seed}/{index}/{self._start_count}")),
            functools.partial(self._uptime_s, index),
        )
        router = forwarding_assembly.assemble(cfg, forwarding_settings, dependencies)
        self.routers[index] = router
        await self._start(vm, router.kernel.run)
        return router

    def _uptime_s(self, index: int) -> float:
        return self._clock() + self.suspended_s.get(index, 0.0)

    async def _start(self, name: str, run: _StartableFunction, *args: Any) -> Any:
        assert self._nursery
        scope = trio.CancelScope()
        self._scopes[name] = scope
        return await self._nursery.start(_run_scoped, scope, run, *args)


async def _run_scoped(
    scope: trio.CancelScope,
    run: _StartableFunction,
    *args: Any,
    task_status: "trio.TaskStatus[Any]" = trio.TASK_STATUS_IGNORED,
) -> None:
    with scope:
        await run(*args, task_status=task_status)
