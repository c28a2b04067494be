"""Tests that planned changes do not break off requests in progress.

Every change of the configuration, the directory or the process is made in every phase of a request.
The request must then be answered in full or, in phases before it is sent to an upstream, be refused
soon and with a status that is allowed for requests that have not run.
"""

import contextlib
import dataclasses
import unittest

import trio

from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.platform import server_formats
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import http_client
from cicadapier._internal.standins import forwarding_deployment
from cicadapier._internal.standins import forwarding_store
from cicadapier._internal.standins import forwarding_upstream
from tests import forwarding_world

Fault = forwarding_upstream.UpstreamFault
StoreFault = forwarding_store.StoreFault
NOT_RUN_STATUS = 503
NOT_ALLOWED_STATUSES = (401, 404)
ALL_EVENTS = [1, 2, 3, 4, 5, 6]
SPARE = ids.PoolId("spare")
SPARE_DESK = ids.PoolId("spare-desk")
ALL_SLOTS = 3 * forwarding_deployment.SLOTS
SHORT_DELAY_S = 0.1
MAX_REFUSAL_S = 1.5


def reroute(world, **changes):
    """Declares all routes with changed fields."""
    found = forwarding_deployment.routes()
    world.configure({name: dataclasses.replace(route, **changes) for name, route in found.items()})


async def move_routes(world, keep_pools=True):
    """Moves the routes of the engines and of the desk to other pools with new upstreams."""
    world.pools[SPARE] = forwarding_deployment.engine_pool()
    world.pools[SPARE_DESK] = configuration.Pool(configuration.PoolKind.SERVICE)
    await world.add_upstream("spare-0", SPARE, forwarding_deployment.MODEL)
    await world.add_upstream("spare-desk-0", SPARE_DESK, None)
    moved = {forwarding_deployment.ENGINES: SPARE, forwarding_deployment.DESK: SPARE_DESK}
    if not keep_pools:
        for pool in moved:
            del world.pools[pool]
    found = forwarding_deployment.routes()
    for name, route in found.items():
        shares = [configuration.PoolShare(moved[share.pool]) for share in route.pools]
        found[name] = dataclasses.replace(route, pools=shares)
    world.configure(found)


async def remove_pools(world):
    """Moves the routes and removes their former pools."""
    await move_routes(world, keep_pools=False)


async def drop_routes(world):
    """Removes all routes."""
    world.configure({})


async def revoke_keys(world):
    """Revokes the keys of the account."""
    world.keys[forwarding_deployment.ACCOUNT].clear()
    world.configure(forwarding_deployment.routes())


async def remove_account(world):
    """Removes the account."""
    del world.accounts[forwarding_deployment.ACCOUNT]
    world.configure(forwarding_deployment.routes())


async def add_account(world):
    """Adds an account."""
    world.accounts[ids.AccountId("new")] = configuration.Account()
    world.configure(forwarding_deployment.routes())


async def raise_timeouts(world):
    """Raises the timeouts of all routes."""
    reroute(world, timeout_s=20.0)


async def lower_timeouts(world):
    """Lowers the timeouts of all routes."""
    reroute(world, timeout_s=0.2, gap_s=0.1, objective_s=0.1)


async def shorten_idle_timeout(world):
    """Shortens the idle timeout of callers' connections."""
    world.caller_limits = dataclasses.replace(world.caller_limits, idle_timeout_s=1.0)
    world.configure(forwarding_deployment.routes())


async def make_routes_public(world):
    """Makes all routes public, so that no key is needed."""
    reroute(world, public=True)


async def reload_settings(world):
    """Reloads the settings of the routers, as SIGHUP does."""
    for router in world.routers.values():
        cfg = router.callers._settings
        terms = dataclasses.replace(cfg.forwarding, retries=settings.RetryBudget(0.05, 5.0))
        router.kernel.reload(dataclasses.replace(cfg, forwarding=terms))


async def stop_routers(world):
    """Stops the routers, as SIGTERM does."""
    for router in world.routers.values():
        router.kernel.stop()


async def lose_store(world):
    """Makes the store stop answering."""
    world.store.faults.add(StoreFault.SILENT)


async def forget_history(world):
    """Makes the routers list all objects of the store again."""
    world.store.drop_history()
    world.configure(forwarding_deployment.routes())


async def retire_upstreams(world):
    """Registers all upstreams as leaving."""
    for name in list(world.upstreams):
        world.mark_leaving(name)


async def unregister_upstreams(world):
    """Removes all upstreams from the directory."""
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
    shorten_idle_timeout,
    make_routes_public,
    reload_settings,
    stop_routers,
    lose_store,
    forget_history,
    retire_upstreams,
    unregister_upstreams,
)
CHANGES_WITH_UPSTREAMS = CHANGES[:-2]  # All changes that leave upstreams for another run.
ROUTES = (("lm", "/ask/x"), ("lm", "/long/x"), ("desk", "/look/x"), ("desk", "/order/x"))


class Caller:
    """A caller that keeps one connection."""

    def __init__(self, world):
        self._made = world
        self._conn = None
        self._rest = b""

    async def connect(self):
        address = self._made.routers[0].callers.address
        stream = await self._made.network.connect(address, 1.0)
        self._conn = http_client.ClientConnection(stream, address)

    async def connect_if_closed(self):
        """Opens a new connection if the router has closed the idle one."""
        if self._conn.is_stale:
            await self.connect()

    async def send_first_part(self, host, path, request="q", time_left_ms=4000, size=9):
        """Sends a request without the second half of its body."""
        options = {}
        if host == "lm":
            options = {"model": forwarding_deployment.MODEL, "parts": f"aa:600,{request}:9"}
        found = server_formats.make_request_headers(
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
        # If the router has closed the connection, `receive` reports that there is no answer.
        with contextlib.suppress(trio.BrokenResourceError):
            await self._conn._stream.send_all(data)

    async def ask(self, host, path, request="q", **options):
        """Sends a whole request and returns its answer."""
        await self.send_first_part(host, path, request, **options)
        await self.send_rest()
        return await self.receive()

    async def receive(self):
        """Returns the answer; its status is 0 if the connection ends before it."""
        self._conn._h11 = http_client.h11.Connection(http_client.h11.CLIENT)
        request = http_client.h11.Request(method="POST", target="/", headers=[(b"host", b"a")])
        self._conn._h11.send(request)
        self._conn._h11.send(http_client.h11.EndOfMessage())
        try:
            return await forwarding_world.receive(self._conn)
        except exceptions.ProtocolError:
            return forwarding_world.Reply(0, {}, b"", True)


def find_faults(world, host, reply, allowed, took_s):
    """Returns descriptions of what is wrong with an answer."""
    if reply.broken:
        return [f"broke off after {reply.numbers} and {took_s:.2f} s"]
    if reply.status == 200 and host == "lm":
        return [] if reply.numbers == ALL_EVENTS else [f"complete with {reply.numbers}"]
    if reply.status == 200:
        return [] if reply.body == b"answer to xxxxxxxxx" else [f"got {reply.body!r}"]
    if reply.status not in allowed:
        return [f"got {reply.status}"]
    if world.runs_for("q"):
        return [f"got {reply.status} and has run"]
    return [] if took_s < MAX_REFUSAL_S else [f"refused after {took_s:.2f} s"]


class RequestPhasesTest(unittest.TestCase):
    """Makes each change in each phase of a request."""

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
                    for fault in find_faults(world, host, reply, allowed, took_s):
                        found.append(f"{change.__name__} {path}: {fault}")

                forwarding_world.run_in_world(check)
        self.assertEqual(found, [])

    def test_request_whose_body_is_being_read_is_answered_or_refused(self):
        async def reading(world, caller, host, path, change):
            await caller.send_first_part(host, path)
            await change(world)
            await trio.sleep(SHORT_DELAY_S)
            await caller.send_rest()
            return await caller.receive()

        self._check_all(reading, (NOT_RUN_STATUS, *NOT_ALLOWED_STATUSES))

    def test_request_that_waits_for_a_slot_is_answered_or_refused(self):
        async def queued(world, caller, host, path, change):
            async with trio.open_nursery() as nursery:
                await self._fill_slots(world, nursery, host, path)
                await caller.send_first_part(host, path, time_left_ms=2500)
                await caller.send_rest()
                await trio.sleep(SHORT_DELAY_S / 2)
                await change(world)
                reply = await caller.receive()
                nursery.cancel_scope.cancel()
            return reply

        self._check_all(queued, (NOT_RUN_STATUS, *NOT_ALLOWED_STATUSES))

    async def _fill_slots(self, world, nursery, host, path):
        """Occupies all slots for a short time."""
        for upstream in world.upstreams.values():
            upstream.event_interval_s = 0.06
            upstream.work_s = 0.3
        for number in range(ALL_SLOTS):
            holder = Caller(world)
            await holder.connect()
            nursery.start_soon(holder.ask, host, path, f"holder-{number}")
        await trio.sleep(SHORT_DELAY_S / 2)

    def test_running_request_without_an_event_is_answered(self):
        async def under_way(world, caller, host, path, change):
            for upstream in world.upstreams.values():
                upstream.first_event_delay_s = upstream.work_s = 0.7
            await caller.send_first_part(host, path)
            await caller.send_rest()
            await trio.sleep(SHORT_DELAY_S)
            self.assertTrue(world.runs_for("q"))
            await change(world)
            return await caller.receive()

        self._check_all(under_way)

    def test_running_stream_is_completed(self):
        async def streaming(world, caller, host, path, change):
            for upstream in world.upstreams.values():
                upstream.event_interval_s = 0.3
            await caller.send_first_part(host, path)
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

        self._check_all(kept, (NOT_RUN_STATUS, *NOT_ALLOWED_STATUSES))

    def test_raised_limits_apply_to_a_kept_connection(self):
        async def check(world):
            caller = Caller(world)
            await caller.connect()
            self.assertEqual((await caller.ask("desk", "/look/x", "first")).status, 200)
            limits = world.caller_limits
            world.caller_limits = dataclasses.replace(
                limits, body_bytes=2 * limits.body_bytes, idle_timeout_s=60.0
            )
            world.configure(forwarding_deployment.routes())
            await trio.sleep(48.0)
            reply = await caller.ask("desk", "/look/x", size=limits.body_bytes + 1)
            self.assertEqual((reply.status, reply.broken), (200, False))

        forwarding_world.run_in_world(check)

    def test_pipelined_request_is_answered_or_refused(self):
        async def pipelined(world, caller, host, path, change):
            for upstream in world.upstreams.values():
                upstream.event_interval_s = upstream.work_s = 0.2
            await caller.send_first_part(host, path, "first")
            await caller.send_rest()
            await trio.sleep(SHORT_DELAY_S)
            for upstream in world.upstreams.values():
                upstream.event_interval_s, upstream.work_s = 0.01, 0.0
            await change(world)
            await caller.send_first_part(host, path)
            await caller.send_rest()
            first = await caller.receive()
            self.assertEqual((first.status, first.broken), (200, False))
            return await caller.receive()

        self._check_all(pipelined, (NOT_RUN_STATUS, *NOT_ALLOWED_STATUSES))

    def test_stalled_stream_is_completed(self):
        async def pausing(world, caller, host, path, change):
            await caller.send_first_part(host, path)
            for upstream in world.upstreams.values():
                upstream.faults.add(Fault.STALLS)
            await caller.send_rest()
            await trio.sleep(SHORT_DELAY_S)
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
            await caller.send_first_part(host, path)
            await caller.send_rest()
            await trio.sleep(SHORT_DELAY_S)
            await change(world)
            for upstream in world.upstreams.values():
                upstream.work_s = 0.0
            return await caller.receive()

        self._check_all(slow, routes=ROUTES[2:])

    async def _fail_first_run(self, world, caller, host, path, change):
        """Makes the first run fail after a change; all further runs succeed."""
        for upstream in world.upstreams.values():
            upstream.event_interval_s, upstream.work_s = 0.1, 0.3
        await caller.send_first_part(host, path)
        await caller.send_rest()
        await trio.sleep(SHORT_DELAY_S)
        first = world.upstreams[world.runs_for("q")[0].upstream]
        first.faults.update((Fault.BREAKS_OFF, Fault.FAILS))
        await change(world)
        return await caller.receive()

    def test_resumed_stream_is_completed(self):
        self._check_all(self._fail_first_run, routes=ROUTES[:1], changes=CHANGES_WITH_UPSTREAMS)

    def test_retried_lookup_is_answered(self):
        self._check_all(self._fail_first_run, routes=ROUTES[2:3], changes=CHANGES_WITH_UPSTREAMS)

    def test_resumed_stream_needs_no_newer_proof_of_the_configuration(self):
        async def check(world):
            caller = Caller(world)
            await caller.connect()
            await lose_store(world)
            proof = world.routers[0].configuration
            while proof.proof_age_s < 3.85:
                await trio.sleep(0.01)
            reply = await self._fail_first_run(world, caller, "lm", "/ask/x", lose_store)
            self.assertEqual((reply.broken, reply.numbers), (False, ALL_EVENTS))
            self.assertEqual(len(world.runs_for("q")), 2)
            self.assertFalse(proof.has_fresh_proof)
            refused = await world.ask(request="later")
            self.assertEqual((refused.status, world.runs_for("later")), (NOT_RUN_STATUS, []))

        forwarding_world.run_in_world(check)


class ShutdownTest(unittest.TestCase):
    """Requests that are still open when a stopping router reaches the end of its grace time."""

    def _ask_before_stop(self, host, path, after_s, prepare, holders=1):
        """Sends a request to a stopping router that other requests keep busy.

        Returns:
            Status of the answer, whether it broke off, and the number of runs.
        """
        found = []

        async def check(world):
            reroute(world, timeout_s=30.0, objective_s=30.0)
            await trio.sleep(SHORT_DELAY_S)
            prepare(world)
            async with trio.open_nursery() as nursery:
                for number in range(holders):
                    caller = Caller(world)
                    await caller.connect()
                    await caller.send_first_part(
                        host, path, f"holder-{number}", time_left_ms=30_000
                    )
                    await caller.send_rest()
                    nursery.start_soon(caller.receive)
                await trio.sleep(SHORT_DELAY_S)
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

        found = self._ask_before_stop("desk", "/order/x", 2.5, slow)
        self.assertEqual(found, (504, False, 1))
        found = self._ask_before_stop("desk", "/order/x", 6.0, slow)
        self.assertEqual(found, (NOT_RUN_STATUS, False, 0))

    def test_stream_without_an_event_gets_an_error_status_as_the_router_stops(self):
        def slow(world):
            for upstream in world.upstreams.values():
                upstream.first_event_delay_s = 20.0

        found = self._ask_before_stop("lm", "/long/x", 2.5, slow)
        self.assertEqual(found, (504, False, 1))

    def test_queued_request_is_refused_as_not_run_as_the_router_stops(self):
        def slow(world):
            for upstream in world.upstreams.values():
                upstream.work_s = 25.0

        other_slots = 2 * forwarding_deployment.SLOTS
        for after_s in (2.0, 5.0):
            found = self._ask_before_stop("desk", "/order/x", after_s, slow, other_slots)
            self.assertEqual(found, (NOT_RUN_STATUS, False, 0))


if __name__ == "__main__":
    unittest.main()
