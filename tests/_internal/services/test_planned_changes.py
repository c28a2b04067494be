"""Planned changes end no request that is under way."""

import contextlib
import dataclasses
import unittest

import trio

from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.platform import far_side
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import http_client
from cicadapier._internal.standins import users_store
from cicadapier._internal.standins import users_upstream
from cicadapier._internal.standins import users_world
from tests import forwarding_world

Fault = users_upstream.UpstreamFault
StoreFault = users_store.StoreFault
PROMISE = 503
NOT_ALLOWED = (401, 404)
WHOLE = [1, 2, 3, 4, 5, 6]
SPARE = ids.PoolId("spare")
SPARE_DESK = ids.PoolId("spare-desk")
PLACES = 3 * users_world.SLOTS
BRIEF_S = 0.1
REFUSED_S = 1.5


def reroute(world, **changes):
    """Declares all routes with changes."""
    found = users_world.routes()
    world.configure({name: dataclasses.replace(route, **changes) for name, route in found.items()})


async def move_routes(world, keep_pools=True):
    """Sends the routes of engines to other engines, and those of the desk to another desk."""
    world.pools[SPARE] = users_world.engine_pool()
    world.pools[SPARE_DESK] = configuration.Pool(configuration.PoolKind.SERVICE)
    await world.add_upstream("spare-0", SPARE, users_world.MODEL)
    await world.add_upstream("spare-desk-0", SPARE_DESK, None)
    moved = {users_world.ENGINES: SPARE, users_world.DESK: SPARE_DESK}
    if not keep_pools:
        for pool in moved:
            del world.pools[pool]
    found = users_world.routes()
    for name, route in found.items():
        shares = [configuration.PoolShare(moved[share.pool]) for share in route.pools]
        found[name] = dataclasses.replace(route, pools=shares)
    world.configure(found)


async def remove_pools(world):
    """Moves the routes and takes their former pools away."""
    await move_routes(world, keep_pools=False)


async def drop_routes(world):
    """Takes all routes away."""
    world.configure({})


async def revoke_keys(world):
    """Takes the keys of the account away."""
    world.keys[users_world.ACCOUNT].clear()
    world.configure(users_world.routes())


async def remove_account(world):
    """Takes the account away."""
    del world.accounts[users_world.ACCOUNT]
    world.configure(users_world.routes())


async def add_account(world):
    """Adds an account."""
    world.accounts[ids.AccountId("new")] = configuration.Account()
    world.configure(users_world.routes())


async def raise_timeouts(world):
    """Lets requests take longer."""
    reroute(world, timeout_s=20.0)


async def lower_timeouts(world):
    """Lets requests take less time."""
    reroute(world, timeout_s=0.2, gap_s=0.1, objective_s=0.1)


async def make_idle_limit_short(world):
    """Lets idle connections live for a shorter time."""
    world.caller_limits = dataclasses.replace(world.caller_limits, idle_timeout_s=1.0)
    world.configure(users_world.routes())


async def make_routes_public(world):
    """Lets callers without a key in."""
    reroute(world, public=True)


async def reload_settings(world):
    """Does what SIGHUP does."""
    for router in world.routers.values():
        cfg = router.callers._settings
        terms = dataclasses.replace(cfg.forwarding, retries=settings.RetryBudget(0.05, 5.0))
        router.kernel.reload(dataclasses.replace(cfg, forwarding=terms))


async def stop_routers(world):
    """Does what SIGTERM does."""
    for router in world.routers.values():
        router.kernel.stop()


async def lose_store(world):
    """Takes the store away."""
    world.store.faults.add(StoreFault.SILENT)


async def forget_history(world):
    """Has everything listed anew."""
    world.store.forget_history()
    world.configure(users_world.routes())


async def retire_upstreams(world):
    """Says that all upstreams are leaving."""
    for name in list(world.upstreams):
        world.retire(name)


async def unregister_upstreams(world):
    """Takes all upstreams out of the directory."""
    for name in list(world.upstreams):
        world.unregister(name)


CHANGES = (
    move_routes,
    remove_pools,
    drop_routes,
    revoke_keys,
    remove_account,
    add_account,
    raise_timeouts,
    lower_timeouts,
    make_idle_limit_short,
    make_routes_public,
    reload_settings,
    stop_routers,
    lose_store,
    forget_history,
    retire_upstreams,
    unregister_upstreams,
)
CHANGES_OF_ROUTES = CHANGES[:-2]  # All but those that leave no upstream.
ROUTES = (("lm", "/ask/x"), ("lm", "/long/x"), ("desk", "/look/x"), ("desk", "/order/x"))


class Caller:
    """A caller with one connection that it keeps."""

    def __init__(self, world):
        self._made = world
        self._conn = None
        self._rest = b""

    async def connect(self):
        address = self._made.routers[0].callers.address
        stream = await self._made.network.connect(address, 1.0)
        self._conn = http_client.ClientConnection(stream, address)

    async def connect_if_closed(self):
        """Opens another connection where the router has closed the idle one."""
        if self._conn.stale:
            await self.connect()

    async def begin(self, host, path, request="q", time_left_ms=4000, size=9):
        """Sends a request without the end of its body."""
        options = {}
        if host == "lm":
            options = {"model": users_world.MODEL, "parts": f"aa:600,{request}:9"}
        found = far_side.request_headers(
            ids.RequestId(request), host, "key-1", time_left_ms, output_tokens=200, **options
        )
        found.append((b"content-length", b"%d" % size))
        lines = [f"POST {path} HTTP/1.1".encode(), *(k + b": " + v for k, v in found)]
        data = b"\r\n".join(lines) + b"\r\n\r\n" + b"x" * size
        self._rest = data[-size // 2 :]
        await self._send(data[: -size // 2])

    async def send_rest(self):
        await self._send(self._rest)

    async def _send(self, data):
        # A connection that the router has closed shows as one without an answer.
        with contextlib.suppress(trio.BrokenResourceError):
            await self._conn._stream.send_all(data)

    async def ask(self, host, path, request="q", **options):
        """Sends a request and returns its answer."""
        await self.begin(host, path, request, **options)
        await self.send_rest()
        return await self.receive()

    async def receive(self):
        """Returns the answer, with status 0 where the connection ends before it."""
        self._conn._h11 = http_client.h11.Connection(http_client.h11.CLIENT)
        told = http_client.h11.Request(method="POST", target="/", headers=[(b"host", b"a")])
        self._conn._h11.send(told)
        self._conn._h11.send(http_client.h11.EndOfMessage())
        try:
            return await forwarding_world.receive(self._conn)
        except exceptions.ProtocolError:
            return forwarding_world.Reply(0, {}, b"", True)


def faults_found(world, host, reply, allowed, took_s):
    """Returns what is wrong with an answer, if anything."""
    if reply.broken:
        return [f"broke off after {reply.numbers} and {took_s:.2f} s"]
    if reply.status == 200 and host == "lm":
        return [] if reply.numbers == WHOLE else [f"complete with {reply.numbers}"]
    if reply.status == 200:
        return [] if reply.body == b"answer to xxxxxxxxx" else [f"got {reply.body!r}"]
    if reply.status not in allowed:
        return [f"got {reply.status}"]
    if world.runs_for("q"):
        return [f"got {reply.status} and has run"]
    return [] if took_s < REFUSED_S else [f"refused after {took_s:.2f} s"]


class RequestPhasesTest(unittest.TestCase):
    """Each change in each phase of a request."""

    def _check_all(self, phase, allowed=(), routes=ROUTES, changes=CHANGES):
        found = []
        for change in changes:
            for host, path in routes:

                async def check(world, change=change, host=host, path=path):
                    caller = Caller(world)
                    await caller.connect()
                    began_at = trio.current_time()
                    reply = await phase(world, caller, host, path, change)
                    took_s = trio.current_time() - began_at
                    for fault in faults_found(world, host, reply, allowed, took_s):
                        found.append(f"{change.__name__} {path}: {fault}")

                forwarding_world.run_in_world(check)
        self.assertEqual(found, [])

    def test_request_whose_body_is_being_read_is_answered_or_refused(self):
        async def reading(world, caller, host, path, change):
            await caller.begin(host, path)
            await change(world)
            await trio.sleep(BRIEF_S)
            await caller.send_rest()
            return await caller.receive()

        self._check_all(reading, (PROMISE, *NOT_ALLOWED))

    def test_request_that_waits_for_a_slot_is_answered_or_refused(self):
        async def queued(world, caller, host, path, change):
            async with trio.open_nursery() as nursery:
                await self._fill(world, nursery, host, path)
                await caller.begin(host, path, time_left_ms=2500)
                await caller.send_rest()
                await trio.sleep(BRIEF_S / 2)
                await change(world)
                reply = await caller.receive()
                nursery.cancel_scope.cancel()
            return reply

        self._check_all(queued, (PROMISE, *NOT_ALLOWED))

    async def _fill(self, world, nursery, host, path):
        """Takes every place for a moment."""
        for upstream in world.upstreams.values():
            upstream.event_s = 0.06
            upstream.work_s = 0.3
        for number in range(PLACES):
            holder = Caller(world)
            await holder.connect()
            nursery.start_soon(holder.ask, host, path, f"holder-{number}")
        await trio.sleep(BRIEF_S / 2)

    def test_running_request_without_an_event_is_answered(self):
        async def under_way(world, caller, host, path, change):
            for upstream in world.upstreams.values():
                upstream.first_s = upstream.work_s = 0.7
            await caller.begin(host, path)
            await caller.send_rest()
            await trio.sleep(BRIEF_S)
            self.assertTrue(world.runs_for("q"))
            await change(world)
            return await caller.receive()

        self._check_all(under_way)

    def test_running_stream_is_completed(self):
        async def streaming(world, caller, host, path, change):
            for upstream in world.upstreams.values():
                upstream.event_s = 0.3
            await caller.begin(host, path)
            await caller.send_rest()
            await trio.sleep(0.7)
            await change(world)
            return await caller.receive()

        self._check_all(streaming, routes=ROUTES[:2])

    def test_kept_connection_accepts_the_next_request(self):
        async def kept(world, caller, host, path, change):
            first = await caller.ask(host, path, "first")
            self.assertEqual(first.status, 200)
            await change(world)
            await trio.sleep(0.7)
            await caller.connect_if_closed()
            return await caller.ask(host, path)

        self._check_all(kept, (PROMISE, *NOT_ALLOWED))

    def test_raised_limits_apply_to_a_kept_connection(self):
        async def check(world):
            caller = Caller(world)
            await caller.connect()
            self.assertEqual((await caller.ask("desk", "/look/x", "first")).status, 200)
            limits = world.caller_limits
            world.caller_limits = dataclasses.replace(
                limits, body_bytes=2 * limits.body_bytes, idle_timeout_s=60.0
            )
            world.configure(users_world.routes())
            await trio.sleep(48.0)
            reply = await caller.ask("desk", "/look/x", size=limits.body_bytes + 1)
            self.assertEqual((reply.status, reply.broken), (200, False))

        forwarding_world.run_in_world(check)

    def test_pipelined_request_is_answered_or_refused(self):
        async def pipelined(world, caller, host, path, change):
            for upstream in world.upstreams.values():
                upstream.event_s = upstream.work_s = 0.2
            await caller.begin(host, path, "first")
            await caller.send_rest()
            await trio.sleep(BRIEF_S)
            for upstream in world.upstreams.values():
                upstream.event_s, upstream.work_s = 0.01, 0.0
            await change(world)
            await caller.begin(host, path)
            await caller.send_rest()
            first = await caller.receive()
            self.assertEqual((first.status, first.broken), (200, False))
            return await caller.receive()

        self._check_all(pipelined, (PROMISE, *NOT_ALLOWED))

    def test_stalled_stream_is_completed(self):
        async def pausing(world, caller, host, path, change):
            await caller.begin(host, path)
            for upstream in world.upstreams.values():
                upstream.faults.add(Fault.STALLS)
            await caller.send_rest()
            await trio.sleep(BRIEF_S)
            self.assertEqual(len(world.runs_for("q")), 1)
            await change(world)
            for upstream in world.upstreams.values():
                upstream.faults.discard(Fault.STALLS)
            return await caller.receive()

        self._check_all(pausing, routes=ROUTES[:2])

    def test_slow_lookup_is_answered(self):
        async def slow(world, caller, host, path, change):
            for upstream in world.upstreams.values():
                upstream.work_s = 1.5
            await caller.begin(host, path)
            await caller.send_rest()
            await trio.sleep(BRIEF_S)
            await change(world)
            for upstream in world.upstreams.values():
                upstream.work_s = 0.0
            return await caller.receive()

        self._check_all(slow, routes=ROUTES[2:])

    async def _run_again(self, world, caller, host, path, change):
        """Has the first run fail after a change, and all others succeed."""
        for upstream in world.upstreams.values():
            upstream.event_s, upstream.work_s = 0.1, 0.3
        await caller.begin(host, path)
        await caller.send_rest()
        await trio.sleep(BRIEF_S)
        first = world.upstreams[world.runs_for("q")[0].upstream]
        first.faults.update((Fault.BREAKS_OFF, Fault.FAILS))
        await change(world)
        return await caller.receive()

    def test_resumed_stream_is_completed(self):
        self._check_all(self._run_again, routes=ROUTES[:1], changes=CHANGES_OF_ROUTES)

    def test_retried_lookup_is_answered(self):
        self._check_all(self._run_again, routes=ROUTES[2:3], changes=CHANGES_OF_ROUTES)

    def test_resumed_stream_needs_no_newer_proof_of_the_configuration(self):
        async def check(world):
            caller = Caller(world)
            await caller.connect()
            await lose_store(world)
            proof = world.routers[0].configuration
            while proof.proof_age_s < 3.85:
                await trio.sleep(0.01)
            reply = await self._run_again(world, caller, "lm", "/ask/x", lose_store)
            self.assertEqual((reply.broken, reply.numbers), (False, WHOLE))
            self.assertEqual(len(world.runs_for("q")), 2)
            self.assertFalse(proof.has_fresh_proof)
            refused = await world.ask(request="later")
            self.assertEqual((refused.status, world.runs_for("later")), (PROMISE, []))

        forwarding_world.run_in_world(check)


class ShutdownTest(unittest.TestCase):
    """What is still open as a router that stops comes to its end."""

    def _ask_before_the_end(self, host, path, after_s, prepare, holders=1):
        """Asks a stopping router that is kept busy; returns the answer and the runs."""
        found = []

        async def check(world):
            reroute(world, timeout_s=30.0, objective_s=30.0)
            await trio.sleep(BRIEF_S)
            prepare(world)
            async with trio.open_nursery() as nursery:
                for number in range(holders):
                    caller = Caller(world)
                    await caller.connect()
                    await caller.begin(host, path, f"holder-{number}", time_left_ms=30_000)
                    await caller.send_rest()
                    nursery.start_soon(caller.receive)
                await trio.sleep(BRIEF_S)
                await stop_routers(world)
                await trio.sleep(after_s)
                caller = Caller(world)
                await caller.connect()
                reply = await caller.ask(host, path, time_left_ms=30_000)
                nursery.cancel_scope.cancel()
            found.extend((reply.status, reply.broken, len(world.runs_for("q"))))

        forwarding_world.run_in_world(check)
        return tuple(found)

    def test_running_request_gets_an_error_status_as_the_router_stops(self):
        def slow(world):
            for upstream in world.upstreams.values():
                upstream.work_s = 25.0

        found = self._ask_before_the_end("desk", "/order/x", 6.0, slow)
        self.assertEqual(found, (504, False, 1))

    def test_stream_without_an_event_gets_an_error_status_as_the_router_stops(self):
        def slow(world):
            for upstream in world.upstreams.values():
                upstream.first_s = 20.0

        found = self._ask_before_the_end("lm", "/long/x", 2.5, slow)
        self.assertEqual(found, (504, False, 1))

    def test_queued_request_is_refused_as_not_run_as_the_router_stops(self):
        def slow(world):
            for upstream in world.upstreams.values():
                upstream.work_s = 25.0

        places = 2 * users_world.SLOTS
        found = self._ask_before_the_end("desk", "/order/x", 5.0, slow, places)
        self.assertEqual(found, (PROMISE, False, 0))


if __name__ == "__main__":
    unittest.main()
