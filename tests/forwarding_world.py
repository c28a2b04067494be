"""The users' platform in memory on a paused clock: store, upstreams, routers and callers."""

import dataclasses
import random

import trio

from cicadapier._internal.assembly import forwarding as forwarding_assembly
from cicadapier._internal.assembly import router as router_assembly
from cicadapier._internal.kernel import tokens
from cicadapier._internal.models import configuration
from cicadapier._internal.models import directory
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.platform import far_side
from cicadapier._internal.protocols import event_stream
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import http_client
from cicadapier._internal.standins import faulty_network
from cicadapier._internal.standins import users_store
from cicadapier._internal.standins import users_upstream
from tests import support

STORE = ids.Address("10.9.0.1:80")
MODEL = ids.ModelId("verse")
ENGINES = ids.PoolId("engines")
DESK = ids.PoolId("desk")
ACCOUNT = ids.AccountId("press")
APART = ids.AccountId("apart")
KEYS = {ACCOUNT: ["key-1", "key-2"], APART: ["key-3"]}
KIND = configuration.RouteKind


def routes():
    """Returns one route of each kind."""
    desk = [configuration.PoolShare(DESK)]
    engines = [configuration.PoolShare(ENGINES)]
    make = configuration.Route
    return {
        ids.RouteId("look"): make(
            "desk", "/look/", desk, KIND.IDEMPOTENT, False, 3.0, 0.4, max_attempts=2
        ),
        ids.RouteId("order"): make("desk", "/order/", desk, KIND.NON_IDEMPOTENT, False, 3.0, 0.4),
        ids.RouteId("open"): make(
            "desk", "/open/", desk, KIND.IDEMPOTENT, False, 3.0, 0.4, public=True
        ),
        ids.RouteId("ask"): make(
            "lm", "/ask/", engines, KIND.STREAM, True, 5.0, 0.6, 0.5, max_attempts=2
        ),
        ids.RouteId("long"): make("lm", "/long/", engines, KIND.STREAM, False, 5.0, 0.6, 0.5),
    }


@dataclasses.dataclass
class Reply:
    """What a caller got."""

    status: int
    headers: dict[str, str]
    body: bytes
    broken: bool = False

    @property
    def numbers(self):
        """Ids of the events of a stream."""
        return [event.number for event in event_stream.Splitter().feed(self.body)]


class World:
    """Everything that runs."""

    def __init__(self, seed=0):
        self.network = faulty_network.MemoryNetwork(seed)
        self.store = users_store.UsersStore(self.network)
        self.runs = []
        self.upstreams = {}
        self.routers = {}
        self.scopes = {}
        self.keys = {account: list(keys) for account, keys in KEYS.items()}
        self.number = 1
        self._handlers = {}
        self._numbers = 0
        self._nursery = None

    async def start(self, nursery, routers=1, engines=3, desks=2):
        self._nursery = nursery
        await nursery.start(self.store.run, STORE)
        self.configure(routes())
        self.name_weights(1)
        for index in range(engines):
            await self.add_upstream(f"engine-{index}", ENGINES, MODEL)
        for index in range(desks):
            await self.add_upstream(f"desk-{index}", DESK, None)
        for index in range(routers):
            await self.start_router(index)
        await trio.sleep(0.5)

    def configure(self, routes_, number=None):
        """Writes a configuration as operators do."""
        self.number = number or self.number + 1
        content = configuration.Configuration(
            {ACCOUNT: configuration.Account(), APART: configuration.Account(isolated=True)},
            {
                ENGINES: configuration.Pool(
                    configuration.PoolKind.MODEL, models={MODEL: configuration.Model("")}
                ),
                DESK: configuration.Pool(configuration.PoolKind.SERVICE),
            },
            routes_,
        )
        current = configuration.NumberedConfiguration(ids.ConfigNumber(self.number), content)
        self.store.put("config", "main", far_side.show_configuration(current, self.keys))

    def name_weights(self, version):
        self.store.put("versions", MODEL, far_side.show_named_version(MODEL, version))

    async def add_upstream(self, name, pool, model, born=1, port=None):
        weights = {model: "1"} if model else {}
        index = len(self.upstreams) + 1
        address = ids.Address(f"10.1.0.{index}:{port or 8000}")
        entry = directory.Registration(
            ids.UpstreamId(name),
            pool,
            address,
            ids.FailureDomainId("here"),
            ids.Incarnation(f"{name}@{born}"),
            8,
            False,
            weights,
        )
        upstream = users_upstream.UsersUpstream(self.network, entry, self.runs, model)
        self.upstreams[name] = upstream
        scope = trio.CancelScope()
        self.scopes[name] = scope
        await self._nursery.start(self._run_scoped, scope, upstream.run)
        self.register(entry)
        return upstream

    def register(self, entry):
        self.store.put("servers", entry.upstream, far_side.show_registration(entry))

    def retire(self, name):
        """Registers an upstream as leaving."""
        entry = dataclasses.replace(self.upstreams[name].entry, leaving=True)
        self.register(entry)

    def crash(self, name):
        """Ends an upstream without a word; its registration stays."""
        self.scopes[name].cancel()

    async def start_router(self, index):
        vm = ids.VmId(f"vm-{index}")
        cfg = settings.Settings(
            vm,
            ids.FailureDomainId("here"),
            listen=settings.Listen(
                ids.Address(f"10.2.0.{index}:80"),
                ids.Address("127.0.0.1:0"),
                ids.Address(f"10.2.0.{index}:81"),
                ids.Address(f"10.2.0.{index}:82"),
                ids.Address(f"10.2.0.{index}:83"),
            ),
            platform=settings.Platform([STORE], timeout_s=1.5),
            forwarding=settings.Forwarding(),
        )
        self._numbers += 1
        wiring = router_assembly.Wiring(
            self.network,
            self.network,
            support.MemoryPeers(self._handlers),
            self._numbers,
            index,
            tokens.TokenSource(random.Random(f"{index}/{self._numbers}")),
            clock=trio.current_time,
        )
        router = forwarding_assembly.assemble(cfg, cfg.forwarding, wiring)
        scope = trio.CancelScope()
        self.routers[index] = router
        self.scopes[vm] = scope
        await self._nursery.start(self._run_scoped, scope, router.kernel.run, 7.7)

    async def _run_scoped(self, scope, run, *args, task_status=trio.TASK_STATUS_IGNORED):
        with scope:
            await run(*args, task_status=task_status)

    async def send(
        self,
        method,
        host,
        path,
        body=b"",
        key="key-1",
        router=0,
        request=None,
        model="",
        parts="",
        time_left_ms=3000,
        extra=(),
    ):
        """Sends one request on a connection of its own."""
        self._numbers += 1
        request = f"r{self._numbers}" if request is None else request
        address = ids.Address(f"10.2.0.{router}:80")
        headers = far_side.request_headers(
            ids.RequestId(request), host, key, time_left_ms, model, parts
        )
        try:
            stream = await self.network.connect(address, 1.0)
        except exceptions.ConnectError:
            return Reply(0, {}, b"", True)
        conn = http_client.ClientConnection(stream, address)
        try:
            head = http_client.RequestHead(method, path, [*headers, *extra])
            await conn.send(head, body)
            return await _receive(conn)
        except exceptions.ProtocolError:
            return Reply(0, {}, b"", True)
        finally:
            await conn.close()

    async def ask(self, path="/ask/x", body=b"prompt", **options):
        """Asks the model for a stream."""
        options = {"model": MODEL, "parts": "aa:600,bb:300", **options}
        return await self.send("POST", "lm", path, body, **options)

    async def ready(self, router=0):
        """Returns what the balancer is told."""
        address = ids.Address(f"10.2.0.{router}:82")
        stream = await self.network.connect(address, 1.0)
        conn = http_client.ClientConnection(stream, address)
        await conn.send(http_client.RequestHead("GET", "/readyz", []), b"")
        head = await conn.receive_head(1.0)
        await conn.close()
        return head.status

    def runs_of(self, request):
        """Returns the runs of a request."""
        return [run for run in self.runs if run.request == request]


async def _receive(conn):
    head = await conn.receive_head(30.0)
    named = {k.decode(): v.decode("latin-1") for k, v in head.headers}
    parts = []
    broken = False
    try:
        while (part := await conn.receive_data(30.0)) is not None:
            parts.append(part)
    except exceptions.ProtocolError:
        broken = True
    return Reply(head.status, named, b"".join(parts), broken)


def in_world(test, seed=0, **options):
    """Runs a test in a world that has started."""

    async def main():
        made = World(seed)
        async with trio.open_nursery() as nursery:
            await made.start(nursery, **options)
            await test(made)
            nursery.cancel_scope.cancel()

    support.run(main, seed=seed)
