"""Random programs against the users' platform in memory, and the oracle that judges them."""

import collections
import dataclasses
import itertools

import trio

from cicadapier._internal.models import settings
from cicadapier._internal.standins import users_world
from tests import forwarding_world

SETTLE_S = 16.0
REVOKE_S = 5.0
DISTANCE_S = 3.0
PROMISES = (408, 421, 429, 503)
ONCE = ("order", "long")
STREAMS = ("ask", "long")
EVENTS = 6
GONE_AFTER_S = 3.0


@dataclasses.dataclass
class Sent:
    """A request of the program and what its caller got."""

    request: str
    route: str
    key: str
    at: float
    reply: forwarding_world.Reply | None = None


class Program:
    """Runs steps against a world and keeps what happened."""

    def __init__(self, made, nursery):
        self.made = made
        self.sent = []
        self.revoked = {}
        self.version = 1
        self._nursery = nursery

    def send(self, router, route, key, part):
        sent = Sent(f"q{len(self.sent)}", route, key, trio.current_time())
        self.sent.append(sent)
        self._nursery.start_soon(self._send, router, sent, part)

    def name_weights(self):
        self.version += 1
        self.made.name_weights(self.version)

    def revoke(self, key):
        keys = self.made.keys[users_world.ACCOUNT]
        if key in keys:
            keys.remove(key)
            self.made.configure(users_world.routes())
            self.revoked[key] = trio.current_time()

    def strike(self, faults, fault, seconds):
        """Adds a fault to a set for a time."""
        faults.add(fault)
        self._nursery.start_soon(self._heal, faults, fault, seconds)

    def crash(self, name):
        """Ends an upstream; its registration lapses later."""
        self.made.end(name)
        self._nursery.start_soon(self._lapse, name)

    async def restart(self, index, graceful):
        if graceful:
            self.made.routers[index].kernel.stop()
            await trio.sleep(users_world.DRAIN_S)
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
        *_weights(program),
        *_holders(program),
        *_revoked(program),
        *_budget(program),
        *_converged(program),
    ]


def _fresh_runs(program, sent):
    """Returns the runs of a request without those that went on from a backup."""
    return [run for run in program.made.runs_of(sent.request) if "kv-from" not in run.headers]


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
        if sent.reply and sent.reply.status in PROMISES and program.made.runs_of(sent.request)
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


def _weights(program):
    return [
        f"{run.request} ran on weights {run.weights} with {run.headers['x-cache-salt']}"
        for run in program.made.runs
        if "x-cache-salt" in run.headers
        and not run.headers["x-cache-salt"].endswith(f"/{run.weights}")
    ]


def _holders(program):
    orders = sorted(
        (at, order.holder, order.fencing)
        for upstream in program.made.upstreams.values()
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
        and program.made.runs_of(sent.request)
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


def _converged(program):
    living = [
        upstream
        for name, upstream in program.made.upstreams.items()
        if name.startswith("engine") and program.made.store.find("servers", name)
    ]
    return [
        f"{upstream.entry.upstream} serves weights {upstream.weights}, named {program.version}"
        for upstream in living
        if upstream.weights != program.version
    ]
