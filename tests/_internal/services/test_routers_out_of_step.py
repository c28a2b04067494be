"""Streams taken up at a router that was suspended or cut off while newer software joined."""

import dataclasses
import functools
import unittest

import trio

from cicadapier._internal.decisions import stream_origins
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.platform import documents
from cicadapier._internal.standins import forwarding_deployment
from cicadapier._internal.standins import forwarding_store
from tests import forwarding_world
from tests import replacing_network
from tests import stream_callers

STREAMS = 16
AGED_S = stream_origins.STREAM_LIFE_S + 1.0
BEGIN_S = 0.6  # Time in which streams begin at the first router, before it is killed.
PAUSE_S = 0.3  # Time after which callers take up broken streams.
AWAY_S = (2.0, 4.0, 8.0)
TOO_SHORT_TO_NOTICE_S = (2.0, 4.0)  # The directory counts as current for 5 s after an answer.
LATE = 1  # Index of the router that is out of step.
# A report without a start time, as by upstreams that know none.
UNDATED = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"
DIRECTORY = documents.DocumentFormat.directory_kind

StoreFault = forwarding_store.StoreFault


async def age(world):
    """Lets routers run for longer than streams last, while one version serves a public route."""
    routes = forwarding_deployment.routes()
    route_id = ids.RouteId("ask")  # Keys would be refused by a router that is out of step for long.
    routes[route_id] = dataclasses.replace(routes[route_id], public=True)
    world.configure(routes)
    await trio.sleep(AGED_S)
    stream_callers.use_long_answers(world)


async def join(world):
    """Lets engines of other software join."""
    await stream_callers.add_engines(world, "v2", 3)


async def change_nothing(_world):
    """Lets the time pass that engines need to join."""
    await trio.sleep(stream_callers.REGISTRATION_S)


async def cut_store(world, meanwhile, away_s, fault=StoreFault.SILENT, ends=True):
    """Cuts a router off from the store while an async function runs, until the streams are back."""
    endpoint = world.store_endpoints[LATE]
    endpoint.faults.add(fault)
    await trio.sleep(max(0.0, away_s - BEGIN_S - PAUSE_S - stream_callers.REGISTRATION_S))
    await meanwhile()
    if ends:
        endpoint.faults.clear()


async def cut_all(world, meanwhile, away_s, fault=StoreFault.SILENT, ends=True):
    """Cuts a router off from the store and from the other routers."""
    world.cut_peers.add(LATE)
    await cut_store(world, meanwhile, away_s, fault, ends)
    if ends:
        world.cut_peers.clear()


async def suspend(world, meanwhile, away_s):
    """Suspends the VM of a router."""
    await world.suspend(LATE, away_s, meanwhile)


class OutOfStepTest(unittest.TestCase):
    """Streams that begin while a router is out of step are taken up there as it is back."""

    def _check(self, leave, release=join, routers=2, killed=None, share=0.0, prepare=None):
        """Runs a test for each time for which the router is out of step.

        Args:
            leave: Async function that brings the router out of step while another one runs.
            release: Async function that changes the engines before the streams begin.
            routers: Number of routers.
            killed: Indexes of the routers that are killed; all but the one out of step if None.
            share: Least share of the streams that callers get whole.
            prepare: Function that changes the world before.
        """
        if killed is None:
            killed = [index for index in range(routers) if index != LATE]
        for away_s in AWAY_S:

            async def check(world, away_s=away_s):
                await age(world)
                if prepare:
                    prepare(world)
                callers = stream_callers.StreamCallers(world, tries=2)
                async with trio.open_nursery() as nursery:
                    meanwhile = functools.partial(
                        self._serve_streams, world, callers, nursery, release, killed
                    )
                    await leave(world, meanwhile, away_s)
                self.assertEqual(callers.mixed(), [])
                self.assertGreaterEqual(len(callers.taken_up()), 0.8 * STREAMS)
                self.assertGreaterEqual(len(callers.whole()), share * len(callers.taken_up()))

            with self.subTest(away_s=away_s):
                forwarding_world.run_in_world(check, routers=routers)

    async def _serve_streams(self, world, callers, nursery, release, killed):
        await release(world)
        nursery.start_soon(callers.ask, STREAMS)
        await trio.sleep(BEGIN_S)
        for index in killed:
            world.stop(f"vm-{index}")
        await trio.sleep(PAUSE_S)

    def _lose_notices(self, world):
        world.lost_datagrams = (stream_origins.OriginNotice,)

    def test_streams_are_not_joined_after_the_router_was_cut_off(self):
        self._check(cut_all)

    def test_streams_are_not_joined_while_the_router_is_cut_off(self):
        self._check(functools.partial(cut_all, ends=False))

    def test_streams_are_not_joined_after_the_store_refused_the_router(self):
        self._check(functools.partial(cut_all, fault=StoreFault.REFUSES))

    def test_streams_are_not_joined_after_the_store_was_cut_off(self):
        self._check(cut_store)

    def test_streams_are_not_joined_if_their_notices_were_lost(self):
        self._check(cut_store, prepare=self._lose_notices)

    def test_streams_are_not_joined_if_all_their_holders_are_killed(self):
        self._check(cut_all, routers=4)

    def test_streams_are_not_joined_if_notices_were_lost_and_the_other_routers_live(self):
        self._check(cut_all, routers=4, killed=[0], prepare=self._lose_notices)

    def test_known_streams_go_on_at_the_software_that_joined_meanwhile(self):
        self._check(cut_store, share=0.9)

    def test_streams_are_not_joined_after_the_router_was_suspended(self):
        self._check(suspend)

    def test_streams_go_on_after_the_router_was_cut_off_if_no_other_software_joined(self):
        self._check(cut_all, change_nothing, share=0.9)

    def test_streams_go_on_after_the_router_was_suspended_if_no_other_software_joined(self):
        self._check(suspend, change_nothing, share=0.9)

    def test_streams_go_on_at_a_router_without_the_store_if_the_others_reach_it(self):
        leave = functools.partial(cut_store, ends=False)
        self._check(leave, change_nothing, routers=4, killed=[0], share=0.9)


class OutOfStepWitnessTest(unittest.TestCase):
    """A router that has just started asks one that is out of step."""

    def test_streams_are_not_joined_on_the_word_of_a_router_that_is_out_of_step(self):
        async def check(world):
            await age(world)
            callers = stream_callers.StreamCallers(world, tries=2)
            world.store_endpoints[LATE].faults.add(StoreFault.SILENT)
            world.cut_peers.add(LATE)
            await join(world)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(callers.ask, STREAMS, 0)
                await trio.sleep(BEGIN_S)
                for name in ("vm-0", *stream_callers.engines(world, "v2")):
                    world.stop(name)
                for name in world.upstreams:
                    if name.startswith("engine-v2"):
                        world.unregister(name)
                world.cut_peers.clear()
                # The caller's next router is the one that has just started.
                callers.next_router = 0
                await world.start_router(0)
                await world.routers[0].configuration.ready.wait()
            self.assertEqual(callers.mixed(), [])
            self.assertGreaterEqual(len(callers.taken_up()), STREAMS // 2)

        forwarding_world.run_in_world(check, routers=2)


async def restart_with_other_software(world, name):
    """Lets an engine start again under its id and address with other software."""
    world.stop(name)
    await trio.sleep(0.05)
    entry = world.upstreams[name].entry
    incarnation = ids.Incarnation(f"{name}@100")
    await world.start_again(
        name, dataclasses.replace(entry, incarnation=incarnation, software="v2")
    )


class RestartedUpstreamTest(unittest.TestCase):
    """An upstream starts again under its id with other software while a router is out of step."""

    def _check(self, leave, streams=20):
        for away_s in AWAY_S:

            async def check(world, away_s=away_s):
                await age(world)
                callers = stream_callers.StreamCallers(world, tries=2)

                async def meanwhile():
                    await restart_with_other_software(world, "engine-0")
                    await trio.sleep(stream_callers.REGISTRATION_S)
                    nursery.start_soon(callers.ask, streams)
                    await trio.sleep(BEGIN_S)
                    world.stop("vm-0")
                    await trio.sleep(PAUSE_S)

                async with trio.open_nursery() as nursery:
                    await leave(world, meanwhile, away_s)
                self.assertEqual(callers.mixed(), [])
                self.assertGreaterEqual(len(callers.taken_up()), 0.8 * streams)
                self.assertGreaterEqual(len(callers.whole()), 0.5 * streams)

            with self.subTest(away_s=away_s):
                forwarding_world.run_in_world(check, routers=3)

    def test_known_streams_are_not_continued_at_a_restarted_upstream_after_a_cut(self):
        self._check(cut_store)

    def test_known_streams_are_not_continued_at_a_restarted_upstream_after_a_refusal(self):
        self._check(functools.partial(cut_store, fault=StoreFault.REFUSES))

    def test_known_streams_are_not_continued_at_a_restarted_upstream_after_a_suspension(self):
        self._check(suspend)


class BegunAtRestartedUpstreamTest(unittest.TestCase):
    """Streams begin at an upstream that has started again with other software, unseen."""

    def _check(self, away_s, router):
        async def check(world):
            await age(world)
            for name in ("engine-1", "engine-2"):
                world.mark_leaving(name)  # So that all streams begin at the other one.
            await trio.sleep(stream_callers.REGISTRATION_S)
            callers = stream_callers.StreamCallers(world, tries=2)

            async def meanwhile():
                await restart_with_other_software(world, "engine-0")
                await trio.sleep(stream_callers.REGISTRATION_S)
                nursery.start_soon(callers.ask, 6, LATE)
                await trio.sleep(BEGIN_S)
                for name in ("engine-1", "engine-2"):
                    world.register(world.upstreams[name].entry)

            async with trio.open_nursery() as nursery:
                await cut_store(world, meanwhile, away_s)
                await trio.sleep(0.01)
                if router is None:
                    world.stop("engine-0")
                    world.unregister("engine-0")
                else:
                    world.stop(f"vm-{LATE}")
            self.assertEqual(callers.mixed(), [])

        forwarding_world.run_in_world(check, routers=3)

    def test_streams_that_break_are_not_joined(self):
        for away_s in TOO_SHORT_TO_NOTICE_S:
            with self.subTest(away_s=away_s):
                self._check(away_s, None)

    def test_streams_whose_router_is_killed_are_not_joined(self):
        for away_s in TOO_SHORT_TO_NOTICE_S:
            with self.subTest(away_s=away_s):
                self._check(away_s, LATE)

    def test_streams_told_while_the_store_was_silent_are_not_joined_as_they_break(self):
        self._check(8.0, None)

    def test_streams_told_while_the_store_was_silent_are_not_joined_after_a_kill(self):
        self._check(8.0, LATE)

    def test_stream_goes_on_within_its_answer_only_at_the_version_that_can_have_begun_it(self):
        async def check(world):
            await age(world)
            callers = stream_callers.StreamCallers(world, tries=1)
            async with trio.open_nursery() as nursery:
                meanwhile = functools.partial(self._begin_at_all, world, callers, nursery)
                await cut_store(world, meanwhile, 2.0)
                await trio.sleep(0.01)
                world.stop("engine-0")
            self.assertEqual(callers.mixed(), [])
            self.assertGreaterEqual(len(callers.whole()), 0.5 * STREAMS)

        forwarding_world.run_in_world(check, routers=3)

    def test_streams_of_a_router_that_the_store_turns_away_go_on_at_no_other_version(self):
        for fault in (StoreFault.BUSY, StoreFault.REFUSES, StoreFault.SILENT):

            async def check(world, fault=fault):
                await age(world)
                others = ("engine-1", "engine-2")
                for name in others:
                    world.mark_leaving(name)  # So that all streams begin at the other one.
                await trio.sleep(stream_callers.REGISTRATION_S)
                callers = stream_callers.StreamCallers(world, tries=1)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(callers.ask, STREAMS, LATE)
                    await trio.sleep(PAUSE_S)
                    for name in others:
                        world.register(world.upstreams[name].entry)
                    await trio.sleep(stream_callers.REGISTRATION_S)
                    world.store_endpoints[LATE].faults.add(fault)
                    for name in others:
                        await restart_with_other_software(world, name)
                    await trio.sleep(PAUSE_S)
                    world.stop("engine-0")
                    world.unregister("engine-0")
                self.assertEqual(callers.mixed(), [])

            with self.subTest(fault):
                forwarding_world.run_in_world(check, routers=3)

    async def _begin_at_all(self, world, callers, nursery):
        await restart_with_other_software(world, "engine-0")
        await trio.sleep(stream_callers.REGISTRATION_S)
        nursery.start_soon(callers.ask, STREAMS, LATE)
        await trio.sleep(BEGIN_S)


class SilentStoreTest(unittest.TestCase):
    """An upstream starts again with other software while the store answers nobody (ORDER)."""

    def _check(self, change, whole, fault=StoreFault.REFUSES, software="v1", taken_up=0.8):
        """Lets streams break as the store is away, and be taken up at another router.

        Args:
            change: Async function that changes the engine at which streams begin.
            whole: Least share of the streams that callers get whole.
            fault: Fault of the store.
            software: Version of the engines beside it.
            taken_up: Least share that callers take up; others go on within their answers.
        """

        async def check(world):
            await age(world)
            for name in ("engine-1", "engine-2"):
                world.stop(name)
                world.unregister(name)
            await stream_callers.add_engines(world, software, 2)
            names = stream_callers.engines(world, software)
            others = [name for name in names if name != "engine-0"]
            for name in others:
                world.mark_leaving(name)  # So that all streams begin at the other one.
            await trio.sleep(stream_callers.REGISTRATION_S)
            callers = stream_callers.StreamCallers(world, tries=3)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(callers.ask, forwarding_deployment.SLOTS)
                await trio.sleep(BEGIN_S)
                for name in others:
                    world.register(world.upstreams[name].entry)
                await trio.sleep(stream_callers.REGISTRATION_S)
                world.store.faults.add(fault)
                await change(world)
                await trio.sleep(4.0)
                world.store.faults.clear()
            self.assertEqual(callers.mixed(), [])
            self.assertGreaterEqual(len(callers.taken_up()), taken_up * forwarding_deployment.SLOTS)
            self.assertGreaterEqual(len(callers.whole()), whole * forwarding_deployment.SLOTS)

        forwarding_world.run_in_world(check, routers=4)

    async def _upgrade(self, world):
        await restart_with_other_software(world, "engine-0")

    async def _stop_router(self, world):
        world.stop("vm-0")

    def test_streams_do_not_go_on_at_other_software_under_the_same_id(self):
        for fault in (StoreFault.REFUSES, StoreFault.SILENT, StoreFault.BUSY):
            with self.subTest(fault):
                self._check(self._upgrade, 0.0, fault, "v2")

    def test_streams_go_on_at_the_process_that_is_still_there(self):
        self._check(self._stop_router, 0.9, software="v2")

    def test_streams_go_on_at_other_processes_of_the_same_version(self):
        self._check(self._upgrade, 0.9, taken_up=0.0)

    def test_streams_go_on_where_an_upstream_does_not_say_when_it_started(self):
        def omit(raw):
            return UNDATED if raw.startswith(b"GET /api/report") else None

        async def stop(world):
            replacing_network.install(world, omit)
            world.stop("vm-0")

        self._check(stop, 0.9, software="v2")


class MovedRouteTest(unittest.TestCase):
    """A route moves to another pool while a router is out of step."""

    def test_streams_are_not_joined_by_a_router_that_does_not_know_that_their_route_has_moved(self):
        for away_s in AWAY_S:

            async def check(world, away_s=away_s):
                await self._check(world, away_s)

            with self.subTest(away_s=away_s):
                forwarding_world.run_in_world(check, routers=2)

    async def _check(self, world, away_s):
        other_pool = ids.PoolId("others")
        world.pools[other_pool] = forwarding_deployment.engine_pool()
        for number in range(3):
            await world.add_upstream(
                f"other-{number}", other_pool, forwarding_deployment.MODEL, "v2"
            )
        await age(world)
        callers = stream_callers.StreamCallers(world, tries=2)

        async def meanwhile():
            routes = forwarding_deployment.routes()
            route_id = ids.RouteId("ask")
            moved = [configuration.PoolShare(other_pool)]
            routes[route_id] = dataclasses.replace(routes[route_id], pools=moved, public=True)
            world.configure(routes)
            await trio.sleep(stream_callers.REGISTRATION_S)
            nursery.start_soon(callers.ask, STREAMS)
            await trio.sleep(BEGIN_S)
            world.stop("vm-0")
            await trio.sleep(PAUSE_S)

        async with trio.open_nursery() as nursery:
            await cut_all(world, meanwhile, away_s)
        self.assertEqual(callers.mixed(), [])
        self.assertGreaterEqual(len(callers.taken_up()), 0.8 * STREAMS)


class CostTest(unittest.TestCase):
    def test_many_streams_that_are_taken_up_at_once_share_answers_of_the_store(self):
        async def check(world):
            await age(world)
            before = world.store.reads[DIRECTORY]
            async with trio.open_nursery() as nursery:
                for number in range(60):
                    ask = functools.partial(
                        world.ask,
                        request=f"q{number}",
                        router=LATE,
                        extra=[(b"last-event-id", b"5")],
                    )
                    nursery.start_soon(ask)
                    await trio.sleep(0.005)
            self.assertLessEqual(world.store.reads[DIRECTORY] - before, 10)

        forwarding_world.run_in_world(check, routers=2)


if __name__ == "__main__":
    unittest.main()
