"""Streams that callers take up after routers restarted, which then know nothing of what served."""

import dataclasses
import unittest

import trio

from cicadapier._internal.decisions import stream_origins
from cicadapier._internal.models import ids
from cicadapier._internal.standins import forwarding_deployment
from cicadapier._internal.standins import forwarding_store
from tests import forwarding_world
from tests import stream_callers

ROUTERS = 4
STREAMS_PER_ROUTER = 8
STREAMS = ROUTERS * STREAMS_PER_ROUTER
TRIES = 6
OFF_S = 0.4  # Time from the kill of routers until they are back.
AGED_S = stream_origins.STREAM_LIFE_S + 1.0
TIMEOUT_S = forwarding_deployment.routes()[ids.RouteId("ask")].timeout_s
LIFE_S = stream_origins.stream_life_s(TIMEOUT_S, None)


def kill_routers(world, indexes):
    """Kills routers abruptly."""
    for index in indexes:
        world.stop(f"vm-{index}")


async def start_routers(world, indexes):
    """Starts routers, and waits until they can serve."""
    for index in indexes:
        await world.start_router(index)
    for index in indexes:
        await world.routers[index].configuration.ready.wait()


def remove_engines(world, software):
    """Stops the engines of a software version; they leave the directory."""
    for name in stream_callers.engines(world, software):
        world.stop(name)
        world.unregister(name)


async def use_two_versions(world):
    """Lets routers that know all streams see engines of a second version register."""
    await trio.sleep(AGED_S)
    await stream_callers.add_engines(world, "v2", 3)


async def use_one_version(world):
    """Lets routers run for longer than streams last, while one version serves."""
    await trio.sleep(AGED_S)
    stream_callers.use_long_answers(world)


async def ask_everywhere(callers, routers=ROUTERS):
    """Streams begin at all routers."""
    async with trio.open_nursery() as nursery:
        for router in range(routers):
            nursery.start_soon(callers.ask, STREAMS_PER_ROUTER, router)


async def restart_all_without_v1(world):
    """Restarts all routers at once as the engines of one of two software versions go."""
    await use_two_versions(world)
    kill_routers(world, range(ROUTERS))
    remove_engines(world, "v1")
    await start_routers(world, range(ROUTERS))


class AllRoutersKilledTest(unittest.TestCase):
    """All routers are killed at once amid streams; their callers take them up after the restart."""

    def _check(self, prepare, before=None, during=None, after=None, routers=ROUTERS, resumed=None):
        async def check(world):
            await prepare(world)
            callers = stream_callers.StreamCallers(world, TRIES)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask_everywhere, callers, routers)
                await trio.sleep(0.4)
                if before:
                    await before(world)
                kill_routers(world, range(routers))
                await trio.sleep(OFF_S)
                if during:
                    await during(world)
                await start_routers(world, range(routers))
                if after:
                    await trio.sleep(0.05)
                    await after(world)
            self.assertEqual(callers.mixed(), [])
            self.assertGreaterEqual(len(callers.taken_up()), STREAMS_PER_ROUTER * routers // 2)
            self.assertGreaterEqual(callers.refused(), STREAMS_PER_ROUTER * routers // 2)

        forwarding_world.run_in_world(check, routers=routers)

    async def _remove_v1(self, world):
        remove_engines(world, "v1")

    async def _remove_v1_earlier(self, world):
        remove_engines(world, "v1")
        await trio.sleep(0.3)

    async def _reborn_with_v2(self, world):
        for number, name in enumerate(stream_callers.engines(world, "v1")):
            world.stop(name)
            incarnation = ids.Incarnation(f"{name}@{100 + number}")
            entry = world.upstreams[name].entry
            entry = dataclasses.replace(entry, incarnation=incarnation, software="v2")
            await world.start_again(name, entry)

    def test_streams_are_not_joined_while_two_versions_serve(self):
        self._check(use_two_versions)

    def test_streams_are_not_joined_after_the_old_version_left_before_the_kill(self):
        self._check(use_two_versions, before=self._remove_v1_earlier)

    def test_streams_are_not_joined_after_the_old_version_left_amid_the_restart(self):
        self._check(use_two_versions, during=self._remove_v1)

    def test_streams_are_not_joined_after_the_old_version_left_right_after_the_restart(self):
        self._check(use_two_versions, after=self._remove_v1)

    def test_streams_are_not_joined_if_the_only_version_was_replaced_amid_the_restart(self):
        async def replace(world):
            await self._remove_v1(world)
            await stream_callers.start_engines(world, "v2", 3)

        self._check(use_one_version, during=replace)

    def test_streams_are_not_joined_if_upstreams_restarted_with_other_software(self):
        self._check(use_one_version, during=self._reborn_with_v2)

    def test_streams_of_a_router_alone_are_not_joined(self):
        self._check(use_two_versions, during=self._remove_v1, routers=1)

    def test_streams_are_not_joined_if_all_routers_are_killed_twice_in_a_row(self):
        async def kill_again(world):
            await trio.sleep(0.3)
            kill_routers(world, range(ROUTERS))
            remove_engines(world, "v1")
            await trio.sleep(OFF_S)
            await start_routers(world, range(ROUTERS))

        self._check(use_two_versions, after=kill_again)

    def test_stream_that_its_caller_does_not_name_is_refused_at_once(self):
        async def check(world):
            await restart_all_without_v1(world)
            await trio.sleep(1.0)
            for router in range(ROUTERS):
                request = f"q{router}"
                extra = [(b"last-event-id", b"5")]
                reply = await world.ask(request=request, extra=extra, router=router)
                self.assertEqual(reply.status, 503)
                self.assertLess(reply.took_s, 0.3)
                self.assertEqual(world.runs_for(request), [])

        forwarding_world.run_in_world(check, routers=ROUTERS)

    def test_streams_go_on_again_once_routers_have_run_for_longer_than_streams_last(self):
        async def check(world):
            await restart_all_without_v1(world)
            statuses = []
            for wait_s in (LIFE_S - 1.0, 2.0):
                await trio.sleep(wait_s)
                # Not named by its caller: the routers that are asked cannot know it.
                reply = await world.ask(extra=[(b"last-event-id", b"5")])
                statuses.append(reply.status)
            self.assertEqual(statuses, [503, 200])

        forwarding_world.run_in_world(check, routers=ROUTERS)


class UnseenChangesTest(unittest.TestCase):
    def test_stream_is_not_joined_by_a_router_that_missed_a_version_while_cut_off(self):
        async def check(world):
            await use_one_version(world)
            world.partition_peers()
            endpoint = world.store_endpoints[1]
            endpoint.faults.add(forwarding_store.StoreFault.REFUSES)
            await stream_callers.add_engines(world, "v2", 3)
            remove_engines(world, "v2")
            world.store.drop_history()
            endpoint.faults.clear()
            await trio.sleep(3.0)
            extra = [(b"last-event-id", b"5"), (b"resumes", b"begun-elsewhere")]
            reply = await world.ask(request="q", extra=extra, router=1)
            self.assertEqual((reply.status, world.runs_for("q")), (503, []))

        forwarding_world.run_in_world(check, routers=2)

    def test_stream_is_not_joined_by_a_router_that_reads_late_that_a_version_came_and_went(self):
        async def check(world):
            await use_one_version(world)
            world.partition_peers()
            endpoint = world.store_endpoints[1]
            endpoint.faults.add(forwarding_store.StoreFault.SILENT)
            await stream_callers.start_engines(world, "v2", 3)
            await trio.sleep(0.3)
            remove_engines(world, "v2")
            endpoint.faults.clear()
            extra = [(b"last-event-id", b"5"), (b"resumes", b"begun-elsewhere")]
            reply = await world.ask(request="q", extra=extra, router=1)
            self.assertEqual((reply.status, world.runs_for("q")), (503, []))

        forwarding_world.run_in_world(check, routers=2)

    def test_stream_is_not_joined_after_an_upstream_had_other_software_for_a_moment(self):
        async def check(world):
            await use_one_version(world)
            world.partition_peers()
            entry = world.upstreams["engine-0"].entry
            world.register(dataclasses.replace(entry, software="v2"))
            world.register(entry)
            await trio.sleep(1.0)
            extra = [(b"last-event-id", b"5"), (b"resumes", b"begun-elsewhere")]
            reply = await world.ask(request="q", extra=extra, router=1)
            self.assertEqual((reply.status, world.runs_for("q")), (503, []))

        forwarding_world.run_in_world(check, routers=2)


class SomeRoutersKilledTest(unittest.TestCase):
    """Some routers are killed amid streams; the callers take them up at any router."""

    def _check(self, prepare, killed, action=None, share=0.9, are_back=True):
        async def check(world):
            await prepare(world)
            callers = stream_callers.StreamCallers(world, TRIES)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask_everywhere, callers)
                await trio.sleep(0.4)
                kill_routers(world, killed)
                if action:
                    await action(world)
                await trio.sleep(OFF_S)
                if are_back:
                    await start_routers(world, killed)
            self.assertEqual(callers.mixed(), [])
            taken_up = set(callers.taken_up())
            self.assertGreaterEqual(len(taken_up), len(killed) * STREAMS_PER_ROUTER * 0.8)
            whole = taken_up & set(callers.whole())
            self.assertGreaterEqual(len(whole), share * len(taken_up))

        forwarding_world.run_in_world(check, routers=ROUTERS)

    def test_streams_go_on_after_half_of_the_routers_restarted_while_one_version_serves(self):
        self._check(use_one_version, (0, 1))

    def test_streams_go_on_after_half_of_the_routers_restarted_while_two_versions_serve(self):
        # Of a fleet of four, the routers that are told of a stream may be those that restart.
        self._check(use_two_versions, (0, 1), share=0.5)

    def test_streams_are_not_joined_after_half_of_the_routers_restarted_and_a_version_left(self):
        async def remove(world):
            remove_engines(world, "v1")

        self._check(use_two_versions, (0, 1), action=remove, share=0.0)

    def test_streams_go_on_after_one_router_restarted_while_one_version_serves(self):
        self._check(use_one_version, (0,))

    def test_streams_go_on_after_one_router_restarted_while_two_versions_serve(self):
        self._check(use_two_versions, (0,))

    def test_streams_go_on_if_a_router_is_killed_soon_after_all_had_restarted(self):
        async def restart(world):
            await use_one_version(world)
            kill_routers(world, range(ROUTERS))
            await start_routers(world, range(ROUTERS))
            await trio.sleep(1.0)

        self._check(restart, (0,))

    def test_streams_go_on_if_the_last_router_of_a_rolling_restart_is_killed(self):
        async def restart_in_turn(world):
            await use_one_version(world)
            for index in range(1, ROUTERS):
                kill_routers(world, (index,))
                await start_routers(world, (index,))
                await trio.sleep(LIFE_S / 8)

        self._check(restart_in_turn, (0,))

    def test_streams_go_on_if_a_router_is_killed_after_the_store_fell_silent(self):
        async def silence(world):
            routes = forwarding_deployment.routes()
            route_id = ids.RouteId("ask")  # Public, as keys cannot be checked without the store.
            routes[route_id] = dataclasses.replace(routes[route_id], public=True)
            world.configure(routes)
            await use_one_version(world)
            world.store.faults.add(forwarding_store.StoreFault.REFUSES)
            await trio.sleep(stream_origins.MAX_UNCONFIRMED_S + 2.0)

        self._check(silence, (0,), are_back=False)


class StoreReadsTest(unittest.TestCase):
    def test_routers_that_start_together_do_not_read_the_directory_for_each_other(self):
        async def check(world):
            await trio.sleep(8.0)
            # One long poll at a time for each router and kind, of at most a few seconds.
            for kind in ("config", "servers"):
                self.assertLess(world.store.reads[kind], 4 * 8)

        forwarding_world.run_in_world(check, routers=4)


if __name__ == "__main__":
    unittest.main()
