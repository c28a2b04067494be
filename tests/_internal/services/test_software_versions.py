"""Streams while upstreams of two software versions serve, which cannot continue each other's."""

import dataclasses
import unittest
from unittest import mock

import trio

from cicadapier._internal.decisions import stream_origins
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.services import names
from cicadapier._internal.services import origin_questions
from cicadapier._internal.services import origins_service
from cicadapier._internal.standins import forwarding_deployment
from cicadapier._internal.standins import forwarding_upstream
from tests import forwarding_world
from tests import stream_callers

NEVER_S = 3600.0
Fault = forwarding_upstream.UpstreamFault
BACKED_UP = {"path": "/long/x", "output_tokens": 200}


async def _know_all_streams(_world):
    await trio.sleep(stream_origins.STREAM_LIFE_S)  # From then on streams are not told at once.


class WithinAnAnswerTest(unittest.TestCase):
    def _check_after(self, action, **options):
        async def check(world):
            for _ in range(60):  # They earn the retries for the streams that break off.
                await world.ask()
            await stream_callers.add_engines(world, "v2", 3)
            callers = stream_callers.StreamCallers(world, tries=1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(lambda: callers.ask(12, **options))
                await trio.sleep(0.25)
                action(world)
            self.assertEqual(callers.mixed(), [])
            self.assertGreaterEqual(len(callers.whole()), 11)

        forwarding_world.run_in_world(check)

    def test_stream_of_a_crashed_engine_goes_on_at_the_version_that_began_it(self):
        def crash(world):
            world.crash(stream_callers.engines(world, "v1")[0])
            world.crash(stream_callers.engines(world, "v2")[0])

        self._check_after(crash)

    def test_stream_that_breaks_off_goes_on_at_the_version_that_began_it(self):
        async def check(world):
            await stream_callers.add_engines(world, "v2", 3)
            forwarding_world.inject_fault(world, "engine", Fault.BREAKS_OFF)
            callers = stream_callers.StreamCallers(world)
            await callers.ask(12)
            self.assertEqual(callers.mixed(), [])

        forwarding_world.run_in_world(check)

    def test_silent_stream_is_hedged_at_the_version_that_began_it(self):
        def stall(world):
            for name in (
                stream_callers.engines(world, "v1")[0],
                stream_callers.engines(world, "v2")[0],
            ):
                world.upstreams[name].faults.add(Fault.STALLS)

        async def check(world):
            await stream_callers.add_engines(world, "v2", 3)
            stall(world)
            callers = stream_callers.StreamCallers(world)
            await callers.ask(12)
            self.assertEqual(callers.mixed(), [])
            self.assertEqual(len(callers.whole()), 12)

        forwarding_world.run_in_world(check)

    def test_backup_of_a_run_is_at_an_engine_of_the_same_version(self):
        def crash(world):
            world.crash(stream_callers.engines(world, "v1")[0])
            world.crash(stream_callers.engines(world, "v2")[0])

        self._check_after(crash, **BACKED_UP)

    def test_stream_whose_version_is_gone_is_not_continued_at_another(self):
        async def check(world):
            await stream_callers.add_engines(world, "v2", 3)
            callers = stream_callers.StreamCallers(world)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(callers.ask, 12)
                await trio.sleep(0.25)
                for name in stream_callers.engines(world, "v1"):
                    world.stop(name)
                    world.unregister(name)
            self.assertEqual(callers.mixed(), [])
            self.assertTrue(callers.whole())

        forwarding_world.run_in_world(check)


class TakenUpAgainTest(unittest.TestCase):
    def _check_killed_router(self, before=None, after=None, share=0.9, **options):
        """Kills the router of running streams; their callers take them up at the others."""

        async def check(world):
            if before:
                await before(world)
            stream_callers.use_long_answers(world)
            callers = stream_callers.StreamCallers(world)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(callers.ask, 20)
                await trio.sleep(0.3)
                if after:
                    await after(world)
                world.stop("vm-0")
            self.assertEqual(callers.mixed(), [])
            self.assertGreaterEqual(len(callers.taken_up()), 12)
            self.assertGreaterEqual(len(callers.whole()), share * 20)

        forwarding_world.run_in_world(check, **{"routers": 4, **options})

    async def _add_v2(self, world):
        await stream_callers.add_engines(world, "v2", 3)

    def test_stream_whose_router_is_killed_goes_on_elsewhere_at_its_version(self):
        self._check_killed_router(self._add_v2)

    def test_stream_goes_on_elsewhere_in_a_fleet_of_twelve_routers(self):
        self._check_killed_router(self._add_v2, routers=12)

    def test_stream_that_began_before_the_second_version_appeared_goes_on_elsewhere(self):
        # Only as a second version appears, not before.
        with mock.patch.object(origins_service, "TELL_INTERVAL_S", NEVER_S):
            self._check_killed_router(_know_all_streams, after=self._add_v2)

    def test_stream_of_a_router_that_is_killed_as_a_second_version_comes_goes_on(self):
        # Guards against streams that nobody else knows, as their router learns of the version late.
        async def begin_release(world):
            await trio.sleep(0.7)
            # The answer that tells of this change is followed by a pause of the watch.
            world.mark_leaving("desk-0")
            await trio.sleep(0.05)
            await stream_callers.start_engines(world, "v2", 1)
            await trio.sleep(0.3)

        self._check_killed_router(_know_all_streams, begin_release, routers=2)

    def test_stream_goes_on_elsewhere_while_there_is_one_version(self):
        self._check_killed_router()

    def test_stream_is_refused_after_its_version_was_replaced_by_another(self):
        async def replace(world):
            await stream_callers.add_engines(world, "v2", 3)
            for name in stream_callers.engines(world, "v1"):
                world.stop(name)
                world.unregister(name)
            await trio.sleep(0.2)

        self._check_killed_router(after=replace, share=0.0)

    def test_stream_taken_up_twice_goes_on_at_its_version(self):
        async def check(world):
            await stream_callers.add_engines(world, "v2", 3)
            callers = stream_callers.StreamCallers(world)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(callers.ask, 20)
                await trio.sleep(0.25)
                world.stop("vm-0")
                await trio.sleep(0.4)
                world.stop("vm-1")
            self.assertEqual(callers.mixed(), [])
            self.assertGreaterEqual(len(callers.whole()), 16)

        forwarding_world.run_in_world(check, routers=4)

    def test_stream_that_no_router_knows_is_refused_at_once_while_two_versions_serve(self):
        async def check(world):
            await stream_callers.add_engines(world, "v2", 3)
            extra = [(b"last-event-id", b"5"), (b"resumes", b"never-seen")]
            reply = await world.ask(request="q", extra=extra)
            self.assertEqual(reply.status, 503)
            self.assertLess(reply.took_s, 0.3)
            self.assertEqual(world.runs_for("q"), [])

        forwarding_world.run_in_world(check, routers=4)

    def _check_moved_route(self, software, whole):
        """Moves the route to another pool while streams run; their callers take them up there."""

        async def check(world):
            other_pool = ids.PoolId("others")
            world.pools[other_pool] = forwarding_deployment.engine_pool()
            world.configure(forwarding_deployment.routes())
            model = forwarding_deployment.MODEL
            for number in range(3):
                await world.add_upstream(f"other-{number}", other_pool, model, software)
            stream_callers.use_long_answers(world)
            await trio.sleep(stream_callers.REGISTRATION_S)
            routes = forwarding_deployment.routes()
            route_id = ids.RouteId("ask")
            moved = [configuration.PoolShare(other_pool)]
            routes[route_id] = dataclasses.replace(routes[route_id], pools=moved)
            callers = stream_callers.StreamCallers(world)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(callers.ask, 15)
                await trio.sleep(0.3)
                world.configure(routes)
                await trio.sleep(0.6)
                world.stop("vm-0")
            self.assertEqual(callers.mixed(), [])
            self.assertEqual(len(callers.whole()), whole)

        forwarding_world.run_in_world(check, routers=4)

    def test_stream_goes_on_at_its_version_in_the_pool_to_which_its_route_has_moved(self):
        self._check_moved_route("v1", 15)

    def test_stream_does_not_go_on_at_another_version_in_the_pool_of_its_moved_route(self):
        self._check_moved_route("v2", 0)

    def test_stream_that_its_caller_does_not_name_goes_on_while_there_is_one_version(self):
        async def check(world):
            await trio.sleep(stream_origins.STREAM_LIFE_S)  # Until routers can know all streams.
            extra = [(b"last-event-id", b"2")]
            one = await world.ask(request="a", extra=extra, router=1)
            self.assertEqual((one.status, one.numbers[0]), (200, 3))
            await stream_callers.add_engines(world, "v2", 3)
            for router in range(4):
                two = await world.ask(request=f"b{router}", extra=extra, router=router)
                self.assertEqual(two.status, 503)

        forwarding_world.run_in_world(check, routers=4)

    def test_late_answer_about_another_stream_is_ignored(self):
        async def main():
            asked = stream_origins.StreamId("press", ids.RequestId("asked"))
            other = stream_origins.StreamId("press", ids.RequestId("other"))
            question = origin_questions.Question(asked, 2)
            for stream in (other, asked):
                origin = stream_origins.Origin(stream, forwarding_deployment.ENGINES, "v2")
                seen = stream_origins.SeenVersions(frozenset(("v2",)), 60.0)
                answer = stream_origins.OriginAnswer(1, ids.VmId("vm-9"), origin, seen)
                question.add(answer)
                is_known = question.origin is not None
                self.assertEqual(is_known, stream == asked)

        trio.run(main)

    def test_restarted_router_asks_the_others_which_version_began_a_stream(self):
        async def check(world):
            await stream_callers.add_engines(world, "v2", 3)
            callers = stream_callers.StreamCallers(world)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(callers.ask, 20)
                await trio.sleep(0.25)
                world.stop("vm-1")
                await world.start_router(1)
                await trio.sleep(0.05)
                world.stop("vm-0")
            self.assertEqual(callers.mixed(), [])
            self.assertGreaterEqual(len(callers.whole()), 18)

        forwarding_world.run_in_world(check, routers=4)


class RollingUpgradeTest(unittest.TestCase):
    def test_rolling_upgrade_in_order_breaks_no_stream(self):
        async def check(world):
            stream_callers.use_long_answers(world)
            callers = stream_callers.StreamCallers(world)
            async with trio.open_nursery() as nursery:
                for router in range(3):
                    nursery.start_soon(callers.ask, 12, router, 0.3)
                for number in range(3):
                    await world.add_upstream(
                        f"engine-new-{number}",
                        forwarding_deployment.ENGINES,
                        forwarding_deployment.MODEL,
                        "v2",
                    )
                    stream_callers.use_long_answers(world)
                    world.mark_leaving(f"engine-{number}")
                    await trio.sleep(1.0)
            self.assertEqual(callers.mixed(), [])
            self.assertEqual(len(callers.whole()), 36)

        forwarding_world.run_in_world(check, routers=3)


class VersionIdTest(unittest.TestCase):
    def test_software_version_is_read_from_the_directory(self):
        async def check(world):
            await stream_callers.add_engines(world, "v2", 1)
            directory = world.routers[0].kernel.find(names.UPSTREAMS)
            found = {
                name: directory.find(ids.UpstreamId(name)).software
                for name in ("engine-0", "engine-v2-0")
            }
            self.assertEqual(found, {"engine-0": "v1", "engine-v2-0": "v2"})

        forwarding_world.run_in_world(check)


if __name__ == "__main__":
    unittest.main()
