"""Random programs against the users' platform in memory, and the oracle that judges them."""

import collections
import dataclasses
import itertools
import math

import trio

from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.standins import users_upstream
from cicadapier._internal.standins import users_world
from tests import forwarding_world

SETTLE_S = 16.0
REVOKE_S = 5.0
DISTANCE_S = 3.0
PROMISES = (408, 421, 429, 503)
ONCE = ("order", "long")
STREAMS = ("ask", "long")
EVENTS = 6
TIME_LEFT_S = 3.0
MARGIN_S = 0.1
LIMIT_KNOWN_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_SHARE = 1.5
LIMIT_SLACK = 5
HARMLESS = (
    users_upstream.UpstreamFault.STALLS,
    users_upstream.UpstreamFault.BEGINS_LATE,
    users_upstream.UpstreamFault.ORDERS_LATE,
)
SPARE = ids.PoolId("spare")
ENGINE_POOLS = (users_world.ENGINES, SPARE)
GONE_AFTER_S = 3.0


def _restore(made):
    made.caller_limits = users_world.CALLER_LIMITS
    return users_world.routes()


def _move(made):
    """Sends the routes of the engines to other engines."""
    found = users_world.routes()
    for name in STREAMS:
        found[name] = dataclasses.replace(found[name], pools=[configuration.PoolShare(SPARE)])
    return found


def _split(made):
    """Sends half of the engines' requests to other engines."""
    found = users_world.routes()
    for name in STREAMS:
        shares = [*found[name].pools, configuration.PoolShare(SPARE)]
        found[name] = dataclasses.replace(found[name], pools=shares)
    return found


def _drop(made):
    found = users_world.routes()
    for name in STREAMS:
        del found[name]
    return found


def _change_timeouts(made):
    return {
        name: dataclasses.replace(route, timeout_s=2 * route.timeout_s, objective_s=0.3, gap_s=0.4)
        for name, route in users_world.routes().items()
    }


def _change_limits(made):
    made.caller_limits = dataclasses.replace(made.caller_limits, idle_timeout_s=2.0)
    return users_world.routes()


CHANGES = {
    "restore": _restore,
    "move": _move,
    "split": _split,
    "drop": _drop,
    "timeouts": _change_timeouts,
    "limits": _change_limits,
}


@dataclasses.dataclass
class Sent:
    """A request of the program and what its caller got."""

    request: str
    route: str
    key: str
    at: float
    router: int
    reply: forwarding_world.Reply | None = None


@dataclasses.dataclass
class Limited:
    """A time in which an upstream named a rate limit."""

    name: str
    per_s: float
    since: float
    until: float = math.inf


class Program:
    """Runs steps against a world and keeps what happened."""

    def __init__(self, made, nursery):
        self.made = made
        self.sent = []
        self.revoked = {}
        self.version = 1
        self.unwell = collections.defaultdict(list)
        self.ends = collections.defaultdict(list)
        self.limited = []
        self.struck = collections.defaultdict(list)
        self._declared = users_world.routes()
        self._nursery = nursery

    def send(self, router, route, key, part):
        sent = Sent(f"q{len(self.sent)}", route, key, trio.current_time(), router)
        self.sent.append(sent)
        self._nursery.start_soon(self._send, router, sent, part)

    def send_steadily(self, router, route, per_s, seconds):
        self._nursery.start_soon(self._send_steadily, router, route, per_s, seconds)

    async def _send_steadily(self, router, route, per_s, seconds):
        for number in range(per_s * seconds):
            self.send(router, route, "key-1", f"s{number % 4}")
            await trio.sleep(1 / per_s)

    def name_weights(self):
        self.version += 1
        self.made.name_weights(self.version)

    def revoke(self, key):
        keys = self.made.keys[users_world.ACCOUNT]
        if key in keys:
            keys.remove(key)
            self.made.configure(self._declared)
            self.revoked[key] = trio.current_time()

    def strike(self, faults, fault, seconds):
        """Adds a fault to a set for a time."""
        faults.add(fault)
        self._nursery.start_soon(self._heal, faults, fault, seconds)

    def strike_upstream(self, name, fault, seconds):
        """Adds a fault to an upstream for a time."""
        now = trio.current_time()
        self.struck[name].append((now, now + seconds))
        if fault not in HARMLESS:
            self.unwell[name].append((now, now + seconds))
        self.strike(self.made.upstreams[name].faults, fault, seconds)

    def limit_upstream(self, name, per_s, seconds):
        """Has an upstream name a rate limit with all answers for a time."""
        upstream = self.made.upstreams[name]
        if upstream.rate_limit is not None:
            return
        upstream.rate_limit = b"%.1f" % per_s
        self.limited.append(Limited(name, per_s, trio.current_time()))
        self._nursery.start_soon(self._lift, self.limited[-1], seconds)

    async def _lift(self, limited, seconds):
        await trio.sleep(seconds)
        self.made.upstreams[limited.name].rate_limit = None
        limited.until = trio.current_time()

    def pause_engines(self, seconds):
        """Has streams that are under way or begin now pause for longer than a longest pause."""
        for name, upstream in self.made.upstreams.items():
            if name.startswith("engine"):
                self.strike(upstream.faults, users_upstream.UpstreamFault.STALLS, seconds)

    def slow_down(self, event_s):
        """Changes the time between two events of a stream."""
        for upstream in self.made.upstreams.values():
            upstream.event_s = event_s

    def limit_repeats(self, slack):
        """Changes the retry budget of all routers, as their settings do."""
        for router in self.made.routers.values():
            cfg = router.callers._settings
            terms = dataclasses.replace(
                cfg.forwarding, retries=settings.RetryBudget(share=0.0, slack=slack)
            )
            router.kernel.reload(dataclasses.replace(cfg, forwarding=terms))

    def change(self, name):
        """Puts another configuration in force."""
        self._declared = CHANGES[name](self.made)
        self.made.configure(self._declared)

    def crash(self, name):
        """Ends an upstream; its registration lapses later."""
        self.made.end(name)
        self._nursery.start_soon(self._lapse, name)

    async def restart(self, index, graceful):
        if graceful:
            self.made.routers[index].kernel.stop()
            await trio.sleep(users_world.DRAIN_S)
        self.ends[index].append(trio.current_time())
        self.made.end(f"vm-{index}")
        await trio.sleep(0.1)
        await self.made.start_router(index)

    async def _send(self, router, sent, part):
        host = "lm" if sent.route in STREAMS else "desk"
        method = "GET" if sent.route == "look" else "POST"
        options = {}
        if sent.route in STREAMS:
            options = {
                "model": users_world.MODEL,
                "parts": f"{part}:500,{sent.request}:9",
                "output_tokens": 200,
            }
        sent.reply = await self.made.send(
            method,
            host,
            f"/{sent.route}/x",
            sent.request.encode(),
            sent.key,
            router,
            sent.request,
            **options,
        )

    async def _heal(self, faults, fault, seconds):
        await trio.sleep(seconds)
        faults.discard(fault)

    async def _lapse(self, name):
        await trio.sleep(GONE_AFTER_S)
        self.made.unregister(name)


async def settle(program):
    """Heals everything and lets it come to rest."""
    made = program.made
    made.store.faults.clear()
    for door in made.doors.values():
        door.faults.clear()
    for upstream in made.upstreams.values():
        upstream.faults.clear()
    await trio.sleep(SETTLE_S)


def faults_found(program):
    """Returns every promise that the run has broken."""
    return [
        *_once(program),
        *_truthful(program),
        *_whole(program),
        *_given_up(program),
        *_weights(program),
        *_holders(program),
        *_revoked(program),
        *_budget(program),
        *_limits(program),
        *_converged(program),
    ]


def _fresh_runs(program, sent):
    """Returns the runs of a request without those that went on from a backup."""
    return [run for run in program.made.runs_for(sent.request) if "kv-from" not in run.headers]


def _once(program):
    return [
        f"{sent.request} of {sent.route} ran {len(runs)} times"
        for sent in program.sent
        if sent.route in ONCE and len(runs := _fresh_runs(program, sent)) > 1
    ]


def _truthful(program):
    return [
        f"{sent.request} of {sent.route} got {sent.reply.status} and has run"
        for sent in program.sent
        if sent.reply and sent.reply.status in PROMISES and program.made.runs_for(sent.request)
    ]


def _whole(program):
    found = []
    for sent in program.sent:
        if sent.reply is None:
            found.append(f"{sent.request} got no answer")
            continue
        if sent.reply.status != 200:
            continue
        numbers = sent.reply.numbers
        if sent.route in STREAMS and numbers != list(range(1, len(numbers) + 1)):
            found.append(f"{sent.request} got events {numbers}")
        if sent.reply.broken:
            continue
        if sent.route in STREAMS and len(numbers) != EVENTS:
            found.append(f"{sent.request} is called complete after {numbers}")
        if sent.route not in STREAMS and sent.reply.body != b"answer to " + sent.request.encode():
            found.append(f"{sent.request} got {sent.reply.body!r}")
    return found


def _given_up(program):
    """Finds answers that a router ended though the upstream was well and time was left."""
    return [
        f"{sent.request} of {sent.route} was given up at {name} {cut.at - sent.at:.2f} s after it"
        f" was sent, and got {sent.reply.status} {sent.reply.numbers}"
        for sent in program.sent
        if sent.reply and (sent.reply.broken or sent.reply.status != 200)
        for name, upstream in program.made.upstreams.items()
        for cut in upstream.cuts
        if cut.request == sent.request
        and cut.at < sent.at + TIME_LEFT_S - MARGIN_S
        and not _was_unwell(program, name, sent.at, cut.at)
        and not any(sent.at <= at <= cut.at + MARGIN_S for at in program.ends[sent.router])
        and not _goes_on(program, name, cut)
    ]


def _goes_on(program, name, cut):
    """Returns whether another run of the request was under way at the cut or followed it."""
    return any(
        run.at >= cut.at or (run.upstream != name and run.ended_at > cut.at)
        for run in program.made.runs_for(cut.request)
    )


def _was_unwell(program, name, since, until):
    return any(began <= until and since <= ended for began, ended in program.unwell[name])


def _weights(program):
    return [
        f"{run.request} ran on weights {run.weights} with {run.headers['x-cache-salt']}"
        for run in program.made.runs
        if "x-cache-salt" in run.headers
        and not run.headers["x-cache-salt"].endswith(f"/{run.weights}")
    ]


def _holders(program):
    """Checks the orders to each pool, which has a holder of its own."""
    return [found for pool in ENGINE_POOLS for found in _holders_of(program, pool)]


def _holders_of(program, pool):
    orders = sorted(
        (at, order.holder, order.fencing)
        for upstream in program.made.upstreams.values()
        if upstream.entry.pool == pool
        for at, order in upstream.orders
    )
    return [
        f"orders {before} and {after}"
        for before, after in itertools.pairwise(orders)
        if before[1] != after[1] and (after[0] - before[0] < DISTANCE_S or after[2] <= before[2])
    ]


def _revoked(program):
    return [
        f"{sent.request} ran with a key that was taken away"
        for sent in program.sent
        if sent.at > program.revoked.get(sent.key, float("inf")) + REVOKE_S
        and program.made.runs_for(sent.request)
    ]


def _budget(program):
    """Checks the repeats in each window against what the settings allow."""
    terms = settings.RetryBudget()
    found = []
    for pool in ("engine", "desk"):
        arrivals = sorted(
            (arrival.at, arrival.request)
            for name, upstream in program.made.upstreams.items()
            if name.startswith(pool)
            for arrival in upstream.arrivals
        )
        seen = collections.Counter()
        repeats = []
        for at, request in arrivals:
            seen[request] += 1
            if seen[request] > 1:
                repeats.append(at)
        for at in repeats:
            count = sum(1 for other in repeats if at <= other < at + terms.window_s)
            allowed = terms.share * len(program.sent) + terms.slack
            if count > allowed:
                found.append(f"{count} repeats at {pool} from {at:.2f} s, allowed {allowed}")
    return found[:1]


def _limits(program):
    """Upstreams that name a rate limit get no more than that from all routers together.

    A router that has started again is bound from its first answer on, and answers that are lost or
    late name nothing.
    """
    found = []
    ends = [at for times in program.ends.values() for at in times]
    for limited in program.limited:
        allowed = LIMIT_SHARE * limited.per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        times = [
            at
            for at in program.made.upstreams[limited.name].calls_at
            if limited.since + LIMIT_KNOWN_S <= at < limited.until
        ]
        for start in times:
            window = [at for at in times if start <= at < start + LIMIT_WINDOW_S]
            excused = any(start - LIMIT_KNOWN_S <= at < window[-1] for at in ends)
            for since, until in program.struck[limited.name]:
                excused = excused or (since < window[-1] and until > limited.since)
            if len(window) > allowed and not excused:
                found.append(f"{limited} got {len(window)} in {LIMIT_WINDOW_S} s from {start:.3f}")
                break
    return found


def _converged(program):
    living = [
        upstream
        for name, upstream in program.made.upstreams.items()
        if upstream.entry.pool in ENGINE_POOLS and program.made.store.find("servers", name)
    ]
    return [
        f"{upstream.entry.upstream} serves weights {upstream.weights}, named {program.version}"
        for upstream in living
        if upstream.weights != program.version
    ]
