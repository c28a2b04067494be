"""Requests that arrive as a router stops, which callers keep sending on open connections."""

import contextlib
import dataclasses
import unittest

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.platform import server_formats
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import http_client
from cicadapier._internal.standins import forwarding_deployment
from cicadapier._internal.standins import forwarding_upstream
from tests import forwarding_world

TIMEOUT_S = 9.0
WARM_UP = 12
STOPPED_S = 9.0
CHANGED_AFTER_S = 0.5
MAX_REFUSAL_S = 0.05
# Requests that are sent this long after the stop may still be at work as the grace ends.
EARLY_S = 3.0
NOT_SENT = 0
CUT = -1


def _configure(world):
    routes = {
        name: dataclasses.replace(route, timeout_s=TIMEOUT_S)
        for name, route in forwarding_deployment.routes().items()
    }
    world.configure(routes)


@dataclasses.dataclass
class _Sent:
    request: str
    after_s: float
    status: int = NOT_SENT
    took_s: float = 0.0


class _Caller:
    """Sends requests one after the other until the router is gone."""

    def __init__(self, world, name, path, stopped_at):
        self.sent = []
        self._world = world
        self._name = name
        self._path = path
        self._stopped_at = stopped_at

    async def run(self):
        """Keeps its connection for as long as the router does, and opens new ones."""
        address = self._world.routers[0].callers.address
        while True:
            await trio.sleep(0.05)
            with contextlib.suppress(exceptions.ProtocolError):
                stream = await self._world.network.connect(address, 1.0)
                conn = http_client.ClientConnection(stream, address)
                while await self._send(conn):
                    await trio.sleep(0.05)
                await conn.close()

    async def _send(self, conn):
        """Sends a request; returns whether the connection stays open."""
        sent = _Sent(f"{self._name}-{len(self.sent)}", trio.current_time() - self._stopped_at)
        self.sent.append(sent)
        headers = server_formats.make_request_headers(
            ids.RequestId(sent.request), "desk", "key-1", 10_000, "", "", 8
        )
        sent.status = CUT
        await conn.send(http_client.RequestHead("POST", self._path, headers), b"")
        head = await conn.receive_head(20.0)
        sent.status = CUT
        await conn.receive_body(20.0)
        sent.status = head.status
        sent.took_s = trio.current_time() - self._stopped_at - sent.after_s
        return head.header(b"connection") != b"close" and conn.make_reusable()


class LateRequestsTest(unittest.TestCase):
    """Requests late in the grace are answered, or refused at once as not run (issue 47)."""

    def _play(self, work_s, path, warm_up=WARM_UP, changed_grace_s=None):
        callers = []

        async def check(world):
            _configure(world)
            for upstream in world.upstreams.values():
                upstream.work_s = work_s
            await trio.sleep(0.5)
            async with trio.open_nursery() as nursery:
                for number in range(warm_up):
                    nursery.start_soon(self._warm_up, world, path, number)
            stopped_at = trio.current_time()
            world.routers[0].kernel.stop()
            with trio.move_on_after(STOPPED_S):
                async with trio.open_nursery() as nursery:
                    if changed_grace_s is not None:
                        nursery.start_soon(self._change_grace, world, changed_grace_s)
                    for number in range(16):
                        caller = _Caller(world, f"c{number}", path, stopped_at)
                        callers.append(caller)
                        nursery.start_soon(self._run_caller, caller, 0.27 * number)
            self.runs = {run.request for run in world.runs}

        # So many upstreams that no request waits for a place.
        forwarding_world.run_in_world(check, desks=6)
        return [sent for caller in callers for sent in caller.sent if sent.status]

    async def _change_grace(self, world, grace_s):
        """Changes the settings while the router stops."""
        await trio.sleep(CHANGED_AFTER_S)
        kernel = world.routers[0].kernel
        changed = dataclasses.replace(kernel.settings.forwarding, grace_s=grace_s)
        kernel.reload(dataclasses.replace(kernel.settings, forwarding=changed))

    async def _warm_up(self, world, path, number):
        await trio.sleep(0.1 * number)
        await world.send("POST", "desk", path, request=f"w{number}", time_left_ms=10_000)

    async def _run_caller(self, caller, after_s):
        await trio.sleep(after_s)
        await caller.run()

    def _check(self, sent):
        late = [item for item in sent if item.after_s > EARLY_S]
        self.assertGreater(len(late), 8)
        for item in sent:
            if item.request not in self.runs and item.status == CUT:
                continue  # The router was gone; its caller knows that it has not run.
            self.assertIn(item.status, (200, 503), item)
            self.assertEqual(item.status == 200, item.request in self.runs, item)
        for item in late:
            if item.status == 503:
                self.assertLess(item.took_s, MAX_REFUSAL_S, item)
        return late

    def test_requests_that_cannot_end_in_the_grace_are_refused_at_once(self):
        for path in ("/order/", "/look/"):
            for work_s in (2.0, 4.0):
                with self.subTest(path, work_s=work_s):
                    self._check(self._play(work_s, path))

    def test_requests_that_can_end_in_the_grace_are_answered(self):
        late = self._check(self._play(0.3, "/order/"))
        served = [item.after_s for item in late if item.status == 200]
        self.assertGreater(max(served), 5.5)

    def test_grace_that_gets_shorter_holds_for_what_has_not_begun(self):
        # Guards against requests that begin within the former time and are cut at the new one.
        late = self._check(self._play(0.3, "/order/", changed_grace_s=5.0))
        ends = [item.after_s + item.took_s for item in late if item.status == 200]
        self.assertGreater(max(ends), 3.0)
        self.assertLess(max(ends), 5.0 - 0.3)

    def test_grace_that_gets_longer_does_not_hold_for_what_has_not_begun(self):
        # The platform may still kill the process by the time of the stop signal.
        late = self._check(self._play(0.3, "/order/", changed_grace_s=12.0))
        ends = [item.after_s + item.took_s for item in late if item.status == 200]
        self.assertLess(max(ends), 8.0 - 0.3)

    def test_router_that_has_seen_one_request_goes_by_it(self):
        self._check(self._play(2.0, "/order/", warm_up=1))

    def test_route_that_was_never_used_goes_by_its_timeout(self):
        self._check(self._play(4.0, "/order/", warm_up=0))


class LateHedgesTest(unittest.TestCase):
    """A hedge that cannot end in the grace is not sent."""

    def _count_arrivals(self, after_s):
        found = []

        async def check(world):
            _configure(world)
            for upstream in world.upstreams.values():
                upstream.work_s = 2.0
            await trio.sleep(0.5)
            # One request shows the time of the route, and leaves repeats for the late one.
            await _send(world, "/look/", "first")
            forwarding_world.inject_fault(world, "desk", forwarding_upstream.UpstreamFault.SILENT)
            async with trio.open_nursery() as nursery:
                # An open request keeps the router from ending sooner.
                nursery.start_soon(_send, world, "/order/", "open")
                await trio.sleep(0.1)
                world.routers[0].kernel.stop()
                await trio.sleep(after_s)
                await _send(world, "/look/", "late")
            found.extend(
                arrival
                for upstream in world.upstreams.values()
                for arrival in upstream.arrivals
                if arrival.request == "late"
            )

        forwarding_world.run_in_world(check, desks=6)
        return len(found)

    def test_hedge_is_sent_only_if_it_can_end(self):
        self.assertEqual(self._count_arrivals(1.0), 2)
        self.assertEqual(self._count_arrivals(3.9), 1)


async def _send(world, path, request):
    await world.send("POST", "desk", path, request=request, time_left_ms=10_000)


if __name__ == "__main__":
    unittest.main()
