"""Programs of requests, changes and faults on the users' platform in memory."""

import collections
import dataclasses
import math

import trio

from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.standins import forwarding_deployment
from cicadapier._internal.standins import forwarding_upstream
from cicadapier._internal.standins import router_links
from tests import forwarding_world

SETTLE_S = 16.0
STREAM_ROUTES = ("ask", "long")
# With these faults, the upstream is slow, but its answers are complete.
DELAY_FAULTS = (
    forwarding_upstream.UpstreamFault.STALLS,
    forwarding_upstream.UpstreamFault.BEGINS_LATE,
    forwarding_upstream.UpstreamFault.ORDERS_LATE,
)
SPARE = ids.PoolId("spare")
REGISTRATION_LAPSE_S = 3.0

# Contents of objects in the store that other writers have left.
ODD_CONTENTS = (
    b"[" * 5000 + b"]" * 5000,
    b'{"model":"verse","version":1e999}',
    b'{"model":"verse","version":' + b"9" * 400 + b"}",
    b'{"service":"engines","address":"127.0.0.1:70000","zone":"here","state":"ready","slots":8}',
    '{"service":"desk","address":"127.0.0.1:²","zone":"here","state":"ready","slots":8}'.encode(),
    '{"vm":"vm-odd","address":"127.0.0.1:²","generation":1}'.encode(),
)


def _restore_defaults(world):
    world.caller_limits = forwarding_deployment.CALLER_LIMITS
    return forwarding_deployment.routes()


def _move_streams(world):
    """Moves the streaming routes to the spare pool."""
    changed = forwarding_deployment.routes()
    for name in STREAM_ROUTES:
        changed[name] = dataclasses.replace(changed[name], pools=[configuration.PoolShare(SPARE)])
    return changed


def _split_streams(world):
    """Splits the streaming routes evenly between their pool and the spare pool."""
    changed = forwarding_deployment.routes()
    for name in STREAM_ROUTES:
        shares = [*changed[name].pools, configuration.PoolShare(SPARE)]
        changed[name] = dataclasses.replace(changed[name], pools=shares)
    return changed


def _drop_streams(world):
    changed = forwarding_deployment.routes()
    for name in STREAM_ROUTES:
        del changed[name]
    return changed


def _change_timeouts(world):
    return {
        name: dataclasses.replace(route, timeout_s=2 * route.timeout_s, objective_s=0.3, gap_s=0.4)
        for name, route in forwarding_deployment.routes().items()
    }


def _change_caller_limits(world):
    world.caller_limits = dataclasses.replace(world.caller_limits, idle_timeout_s=2.0)
    return forwarding_deployment.routes()


CONFIGURATION_CHANGES = {
    "restore": _restore_defaults,
    "move": _move_streams,
    "split": _split_streams,
    "drop": _drop_streams,
    "timeouts": _change_timeouts,
    "limits": _change_caller_limits,
}


@dataclasses.dataclass
class SentRequest:
    """A request of the program and the reply that its caller received."""

    request_id: str
    route: str
    key: str
    sent_at: float
    router: int
    reply: forwarding_world.Reply | None = None


@dataclasses.dataclass
class RateLimitPeriod:
    """Time in which an upstream states a rate limit."""

    upstream: str
    requests_per_s: float
    since: float
    until: float = math.inf


@dataclasses.dataclass
class LinkCut:
    """Time in which links of a router are cut.

    Attributes:
        router: Index of the router.
        fault: What happens to its connections.
        names: Upstreams to which its links are cut; None for all.
        since: Time of the cut.
        until: Time at which the cut ends.
    """

    router: int
    fault: router_links.LinkFault
    names: list[str] | None
    since: float
    until: float


class Program:
    """Runs steps against a world and records what happens.

    Attributes:
        world: The world.
        sent: Requests in the order in which they were sent.
        revoked_at: Time at which each revoked key was removed from the configuration.
        target_version: Target version of the weights.
        unhealthy_periods: Start and end of each fault, other than a delay, of each upstream.
        router_end_times: Times at which the process of each router ended, by index.
        rate_limit_periods: Times in which upstreams state rate limits.
        fault_periods: Start and end of each fault of each upstream.
        link_cuts: Times in which links of routers are cut.
        outages: Start and end of each fault of the store or of its endpoints.
        named_at: Time at which each weights version became the target version.
    """

    def __init__(self, world, nursery):
        self.world = world
        self.sent = []
        self.revoked_at = {}
        self.target_version = 1
        self.unhealthy_periods = collections.defaultdict(list)
        self.router_end_times = collections.defaultdict(list)
        self.rate_limit_periods = []
        self.fault_periods = collections.defaultdict(list)
        self.link_cuts = []
        self.outages = []
        self.named_at = {}
        self._routes = forwarding_deployment.routes()
        self._nursery = nursery

    def send(self, router, route, key, part):
        sent = SentRequest(f"q{len(self.sent)}", route, key, trio.current_time(), router)
        self.sent.append(sent)
        self._nursery.start_soon(self._send, router, sent, part)

    def send_steadily(self, router, route, per_s, seconds):
        self._nursery.start_soon(self._send_steadily, router, route, per_s, seconds)

    async def _send_steadily(self, router, route, per_s, seconds):
        for number in range(per_s * seconds):
            self.send(router, route, "key-1", f"s{number % 4}")
            await trio.sleep(1 / per_s)

    def raise_target_version(self):
        self.target_version += 1
        self.named_at[self.target_version] = trio.current_time()
        self.world.set_target_weights(self.target_version)

    def revoke_key(self, key):
        keys = self.world.keys[forwarding_deployment.ACCOUNT]
        if key in keys:
            keys.remove(key)
            self.world.configure(self._routes)
            self.revoked_at[key] = trio.current_time()

    def inject_fault(self, faults, fault, seconds):
        """Adds a fault to a set for some time."""
        faults.add(fault)
        self._nursery.start_soon(self._clear_fault_later, faults, fault, seconds)

    def inject_store_fault(self, faults, fault, seconds):
        """Adds a fault to the store or to one of its endpoints for some time."""
        now = trio.current_time()
        self.outages.append((now, now + seconds))
        self.inject_fault(faults, fault, seconds)

    async def restore_store(self, away_s, age_s, repeat_after_s):
        """Restores the store from an older copy; operators and upstreams write again what it lost.

        Args:
            away_s: Time for which the store is away.
            age_s: Age of the copy.
            repeat_after_s: Time until what was lost is written again.
        """
        now = trio.current_time()
        self.outages.append((now, now + away_s + repeat_after_s))
        await self.world.store.restore(away_s, age_s, repeat_after_s)

    def write_elsewhere(self, count):
        """Writes to a kind that no router watches, which raises the revision of the store."""
        for number in range(count):
            self.world.store.put("notes", "note", {"number": number})

    def inject_upstream_fault(self, name, fault, seconds):
        """Adds a fault to an upstream for some time."""
        now = trio.current_time()
        self.fault_periods[name].append((now, now + seconds))
        if fault not in DELAY_FAULTS:
            self.unhealthy_periods[name].append((now, now + seconds))
        self.inject_fault(self.world.upstreams[name].faults, fault, seconds)

    def limit_upstream(self, name, per_s, seconds):
        """Makes an upstream state a rate limit in all answers for some time."""
        upstream = self.world.upstreams[name]
        if upstream.rate_limit is not None:
            return
        upstream.rate_limit = b"%.1f" % per_s
        self.rate_limit_periods.append(RateLimitPeriod(name, per_s, trio.current_time()))
        self._nursery.start_soon(
            self._remove_rate_limit_later, self.rate_limit_periods[-1], seconds
        )

    async def _remove_rate_limit_later(self, period, seconds):
        await trio.sleep(seconds)
        self.world.upstreams[period.upstream].rate_limit = None
        period.until = trio.current_time()

    def cut_links(self, router, fault, names, direction, seconds):
        """Cuts links of a router for some time."""
        now = trio.current_time()
        self.link_cuts.append(LinkCut(router, fault, names, now, now + seconds))
        cut = self.world.cut_links(router, fault, names, direction)
        self._nursery.start_soon(self._heal_links_later, router, cut, seconds)

    async def _heal_links_later(self, router, cut, seconds):
        await trio.sleep(seconds)
        self.world.heal_links(router, cut)

    def pause_engines(self, seconds):
        """Stalls running and new streams for longer than the gap objective of their routes."""
        for name, upstream in self.world.upstreams.items():
            if name.startswith("engine"):
                self.inject_fault(
                    upstream.faults, forwarding_upstream.UpstreamFault.STALLS, seconds
                )

    def set_event_interval(self, event_s):
        """Sets the time between two events of a stream."""
        for upstream in self.world.upstreams.values():
            upstream.event_interval_s = event_s

    def set_retry_slack(self, slack):
        """Reloads the settings of all routers with a new retry budget."""
        for router in self.world.routers.values():
            cfg = router.callers._settings
            forwarding = dataclasses.replace(
                cfg.forwarding, retries=settings.RetryBudget(share=0.0, slack=slack)
            )
            router.kernel.reload(dataclasses.replace(cfg, forwarding=forwarding))

    def change_configuration(self, name):
        """Declares another configuration."""
        self._routes = CONFIGURATION_CHANGES[name](self.world)
        self.world.configure(self._routes)

    def crash_upstream(self, name):
        """Ends an upstream abruptly; its registration lapses later."""
        self.world.stop(name)
        self._nursery.start_soon(self._unregister_later, name)

    async def restart_router(self, index, graceful):
        if graceful:
            self.world.routers[index].kernel.stop()
            await trio.sleep(forwarding_deployment.DRAIN_S)
        self.router_end_times[index].append(trio.current_time())
        self.world.stop(f"vm-{index}")
        await trio.sleep(0.1)
        await self.world.start_router(index)

    async def _send(self, router, sent, part):
        host = "lm" if sent.route in STREAM_ROUTES else "desk"
        method = "GET" if sent.route == "look" else "POST"
        options = {}
        if sent.route in STREAM_ROUTES:
            options = {
                "model": forwarding_deployment.MODEL,
                "parts": f"{part}:500,{sent.request_id}:9",
                "output_tokens": 200,
            }
        sent.reply = await self.world.send(
            method,
            host,
            f"/{sent.route}/x",
            sent.request_id.encode(),
            sent.key,
            router,
            sent.request_id,
            **options,
        )

    async def _clear_fault_later(self, faults, fault, seconds):
        await trio.sleep(seconds)
        faults.discard(fault)

    async def _unregister_later(self, name):
        await trio.sleep(REGISTRATION_LAPSE_S)
        self.world.unregister(name)


async def settle(program):
    """Ends all faults of the store, the links and the upstreams and waits until all is settled."""
    world = program.world
    world.store.faults.clear()
    for endpoint in world.store_endpoints.values():
        endpoint.faults.clear()
    for links in world.links.values():
        links.heal()
    for upstream in world.upstreams.values():
        upstream.faults.clear()
    await trio.sleep(SETTLE_S)
