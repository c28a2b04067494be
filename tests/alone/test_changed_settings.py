"""A grace time that changes before or while a router stops: what has begun ends in it."""

import contextlib
import dataclasses
import json
import signal
import unittest

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.platform import server_formats
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import http_client
from cicadapier._internal.standins import forwarding_deployment
from tests._internal.services import test_endless_answers
from tests.alone import router_process

SHORT_S = 3.5
LONG_S = 7.0
STREAMS = 3
EVENTS = 25
EVENT_INTERVAL_S = 0.2  # A stream of 5 s: longer than the short grace time, in 5/6 of the long one.
SETTLED_S = 2.5  # Until a silent change is known.
SOON_S = 0.3


class _Stop:
    """One router that is stopped in the middle of streams.

    Attributes:
        router: Its process.
        whole: Number of streams that their callers got whole.
        ended_after_s: Time from the stop signal to the end of the process.
    """

    def __init__(self, world, router):
        self._world = world
        self.router = router
        self.whole = 0
        self.ended_after_s = None
        self._stopped_at = None

    async def begin(self, nursery):
        """Begins the streams."""
        for number in range(STREAMS):
            nursery.start_soon(self._ask, f"s{number}")
        with trio.fail_after(5.0):
            while len(self._world.runs) < STREAMS:
                await trio.sleep(0.02)

    def terminate(self, nursery, kill_after_s):
        """Sends SIGTERM, and SIGKILL after a time as the platform does."""
        self._stopped_at = trio.current_time()
        self.router.process.send_signal(signal.SIGTERM)
        nursery.start_soon(self._kill, kill_after_s)

    async def _kill(self, after_s):
        deadline = self._stopped_at + after_s
        while self.router.is_alive and trio.current_time() < deadline:
            await trio.sleep(0.02)
        if self.router.is_alive:
            self.router.process.send_signal(signal.SIGKILL)
        else:
            self.ended_after_s = trio.current_time() - self._stopped_at

    async def _ask(self, name):
        headers = server_formats.make_request_headers(
            ids.RequestId(name), "lm", "key-1", 15_000, forwarding_deployment.MODEL, f"{name}:9"
        )
        stream = await self.router.connect("callers")
        conn = http_client.ClientConnection(stream, ids.Address(""))
        with contextlib.suppress(exceptions.ProtocolError):
            await conn.send(http_client.RequestHead("POST", "/long/1", headers), b"{}")
            head = await conn.receive_head(10.0)
            body = await conn.receive_body(10.0)
            self.whole += head.status == 200 and body.count(b"id: ") == EVENTS
        await conn.close()


def _run(test, grace_s):
    """Runs `test(stop, nursery)` with a router that serves streams; returns the stop."""
    found = []

    async def main():
        world = test_endless_answers.SocketWorld()
        async with trio.open_nursery() as nursery:
            await world.start(nursery, routers=0, engines=2, desks=0)
            route = ids.RouteId("long")
            routes = forwarding_deployment.routes()
            routes[route] = dataclasses.replace(routes[route], timeout_s=15.0)
            world.configure(routes)
            for upstream in world.upstreams.values():
                upstream.events = EVENTS
                upstream.event_interval_s = EVENT_INTERVAL_S
            _, store_address = await world.store.open_endpoint(ids.Address("127.0.0.1:0"))
            router = router_process.RouterProcess(store_address, grace_s=grace_s)
            try:
                await router.wait_ready()
                await trio.sleep(1.0)
                stop = _Stop(world, router)
                async with trio.open_nursery() as stopping:
                    await test(stop, stopping)
                found.append(stop)
            finally:
                router.close()
            nursery.cancel_scope.cancel()

    trio.run(main)
    return found[0]


async def _reload(router):
    """Sends SIGHUP and waits until the settings are read."""
    before = router.count_events("settings_reloaded")
    router.process.send_signal(signal.SIGHUP)
    with trio.fail_after(5.0):
        while router.count_events("settings_reloaded") == before:
            await trio.sleep(0.02)


class ChangedGraceTest(unittest.TestCase):
    """Guards against streams that are cut by a grace time that is no longer in force (issue 66)."""

    def _assert_whole(self, stop):
        self.assertEqual(stop.whole, STREAMS)
        self.assertIsNotNone(stop.ended_after_s, "the process was killed")

    def test_longer_by_signal(self):
        async def test(stop, nursery):
            stop.router.set_grace(LONG_S)
            await _reload(stop.router)
            await stop.begin(nursery)
            await trio.sleep(SOON_S)
            stop.terminate(nursery, LONG_S)

        self._assert_whole(_run(test, SHORT_S))

    def test_longer_without_signal(self):
        async def test(stop, nursery):
            stop.router.set_grace(LONG_S)
            await trio.sleep(SETTLED_S)
            await stop.begin(nursery)
            stop.terminate(nursery, LONG_S)

        self._assert_whole(_run(test, SHORT_S))

    def test_longer_without_signal_just_before_the_stop(self):
        async def test(stop, nursery):
            await stop.begin(nursery)
            await trio.sleep(SOON_S)
            stop.router.set_grace(LONG_S)
            stop.terminate(nursery, LONG_S)

        self._assert_whole(_run(test, SHORT_S))

    def test_much_longer_and_shorter_again(self):
        async def test(stop, nursery):
            stop.router.set_grace(4 * LONG_S)
            await _reload(stop.router)
            stop.router.set_grace(LONG_S)
            await _reload(stop.router)
            await stop.begin(nursery)
            await trio.sleep(SOON_S)
            stop.terminate(nursery, LONG_S)

        self._assert_whole(_run(test, SHORT_S))

    def test_longer_while_it_stops(self):
        # If the platform goes by the longer time, what has begun ends in it.
        async def test(stop, nursery):
            await stop.begin(nursery)
            await trio.sleep(SOON_S)
            stop.terminate(nursery, LONG_S)
            await trio.sleep(0.5)
            stop.router.set_grace(LONG_S)
            await _reload(stop.router)
            stop.router.process.send_signal(signal.SIGTERM)  # A second one changes nothing.

        self._assert_whole(_run(test, SHORT_S))

    def test_shorter_without_signal_ends_before_it_is_killed(self):
        async def test(stop, nursery):
            await stop.begin(nursery)
            await trio.sleep(SOON_S)
            stop.router.set_grace(SHORT_S)
            stop.terminate(nursery, SHORT_S)

        stop = _run(test, LONG_S)
        self.assertIsNotNone(stop.ended_after_s, "the process was killed")
        self.assertEqual(stop.whole, 0)  # They are longer than the grace time.

    def test_file_that_cannot_be_read_keeps_what_was_last_good(self):
        for damage in ("missing", "half"):
            with self.subTest(damage):

                async def test(stop, nursery, damage=damage):
                    stop.router.set_grace(LONG_S)
                    await _reload(stop.router)
                    await stop.begin(nursery)
                    await trio.sleep(SOON_S)
                    text = stop.router.settings.read_text()
                    if damage == "missing":
                        stop.router.settings.unlink()
                    else:
                        stop.router.settings.write_text(text[: len(text) // 2])
                    stop.terminate(nursery, LONG_S)

                stop = _run(test, SHORT_S)
                self._assert_whole(stop)

    def test_other_settings_wait_for_a_start_and_are_named(self):
        async def test(stop, nursery):
            del nursery
            values = json.loads(stop.router.settings.read_text())
            values["vm"] = "vm-other"
            stop.router.settings.write_text(json.dumps(values))
            await _reload(stop.router)
            self.assertIn('"waiting_for_start":["vm"]', stop.router.log.read_text())

        _run(test, SHORT_S)


if __name__ == "__main__":
    unittest.main()
