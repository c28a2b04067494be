"""Streams that callers take up behind event 0, or behind events that no router knows."""

import unittest

import trio

from cicadapier._internal.decisions import stream_origins
from cicadapier._internal.standins import forwarding_upstream
from tests import forwarding_world
from tests import stream_callers

REQUESTS = 12
FIRST_EVENTS = (0, 1, 7)
MAX_BEGINNINGS = 60
# Values of a header that name no event: none of them is a number that a router relays.
UNREADABLE = (b"x", b"-1", b"+1", b"1.0", b"0x1", b"1" * 16, b"1 2", "²".encode(), b"1,2")


def naming(last_event, *streams):
    """Returns the headers of a request that takes up a stream."""
    last_events = [] if last_event is None else [(b"last-event-id", last_event)]
    return [*last_events, *((b"resumes", stream) for stream in streams)]


async def ask_some(world, extra):
    """Returns the answers to some requests with the same headers, at each of two routers."""
    replies = []
    for number in range(REQUESTS):
        request = f"{len(world.runs)}-{number}"
        replies.append(await world.ask(request=request, extra=extra, router=number % 2))
    return replies


class BehindEventZeroTest(unittest.TestCase):
    """Guards against streams of two software versions, as 0 was taken for no event (ORDER)."""

    def _check_killed_router(self, first_event):
        async def check(world):
            await stream_callers.add_engines(world, "v2", 3)
            world.number_from(first_event)
            callers = stream_callers.StreamCallers(world)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(callers.ask, 20)
                # Each caller has the first event, and few have more.
                await trio.sleep(0.2 + 1.5 * stream_callers.EVENT_INTERVAL_S)
                world.stop("vm-0")
            self.assertEqual(callers.mixed(), [])
            self.assertGreaterEqual(len(callers.taken_up()), 12)
            self.assertGreaterEqual(len(callers.whole()), 18)

        forwarding_world.run_in_world(check, routers=4)

    def test_stream_taken_up_behind_its_first_event_goes_on_at_its_version(self):
        for first_event in FIRST_EVENTS:
            with self.subTest(first_event=first_event):
                self._check_killed_router(first_event)

    def test_stream_that_breaks_off_within_an_answer_goes_on_at_its_version(self):
        async def check(world):
            await stream_callers.add_engines(world, "v2", 3)
            world.number_from(0)
            forwarding_world.inject_fault(
                world, "engine", forwarding_upstream.UpstreamFault.BREAKS_OFF
            )
            callers = stream_callers.StreamCallers(world)
            await callers.ask(12)
            self.assertEqual(callers.mixed(), [])

        forwarding_world.run_in_world(check)


class RowsTest(unittest.TestCase):
    """Guards the answer for each last event and each stream that a request may name."""

    def _check(self, first_event, extra, status, versions=2, before=None):
        async def check(world):
            if versions > 1:
                await stream_callers.add_engines(world, "v2", 3)
            world.number_from(first_event)
            if before:
                await before(world)
            replies = await ask_some(world, extra)
            self.assertEqual([reply.status for reply in replies], [status] * REQUESTS)
            if status != 200:
                self.assertLess(max(reply.took_s for reply in replies), 0.6)
            return replies

        forwarding_world.run_in_world(check, routers=2)

    async def _begin_streams(self, world):
        """Lets each router see the first event of a stream of each version."""
        versions = {upstream.entry.software for upstream in world.upstreams.values()}
        for router in range(2):
            seen = set()
            for number in range(MAX_BEGINNINGS):
                reply = await world.ask(router=router, parts=f"{router}{number}:600,ff:300")
                seen |= {version for version in versions if version.encode() in reply.body}
                if seen == versions:
                    break
            self.assertEqual(seen, versions)

    async def _learn_all(self, _world):
        await trio.sleep(stream_origins.STREAM_LIFE_S)

    def test_request_that_names_no_stream_and_event_0_is_served(self):
        for first_event in FIRST_EVENTS:
            for versions in (1, 2):
                with self.subTest(first_event=first_event, versions=versions):
                    self._check(first_event, naming(b"0"), 200, versions)

    def test_request_that_names_neither_is_served(self):
        for first_event in FIRST_EVENTS:
            self._check(first_event, [], 200)

    def test_event_0_of_an_unknown_stream_is_refused_where_streams_begin_at_0(self):
        extra = naming(b"0", b"never-seen")
        self._check(0, extra, 503, before=self._begin_streams)
        self._check(0, extra, 503)

    def test_event_0_of_an_unknown_stream_is_served_where_no_stream_has_an_event_0(self):
        extra = naming(b"0", b"never-seen")
        for first_event in (1, 7):
            for versions in (1, 2):
                with self.subTest(first_event=first_event, versions=versions):
                    self._check(first_event, extra, 200, versions, self._begin_streams)

    def test_event_of_an_unknown_stream_is_served_where_one_version_alone_has_served(self):
        for last_event in (b"0", b"3"):
            for streams in ((b"never-seen",), ()):
                with self.subTest(last_event=last_event, streams=streams):
                    extra = naming(last_event, *streams)
                    self._check(0, extra, 200, 1, self._learn_all)

    def test_later_event_of_an_unknown_or_unnamed_stream_is_refused_beside_two_versions(self):
        for streams in ((b"never-seen",), ()):
            with self.subTest(streams=streams):
                self._check(1, naming(b"3", *streams), 503, before=self._begin_streams)

    def test_last_event_that_cannot_be_read_is_a_client_error_and_begins_no_stream(self):
        async def check(world):
            for value in UNREADABLE:
                for streams in ((), (b"never-seen",)):
                    with self.subTest(value=value, streams=streams):
                        reply = await world.ask(request="q", extra=naming(value, *streams))
                        self.assertEqual(reply.status, 400)
                        self.assertEqual(world.runs_for("q"), [])

        forwarding_world.run_in_world(check)

    def test_last_event_or_stream_that_is_named_twice_is_a_client_error(self):
        twice = (
            [*naming(b"1", b"a"), *naming(b"1")],
            [*naming(b"1", b"a"), *naming(b"2")],
            naming(b"1", b"a", b"b"),
        )

        async def check(world):
            for extra in twice:
                with self.subTest(extra=extra):
                    reply = await world.ask(request="q", extra=extra)
                    self.assertEqual(reply.status, 400)
                    self.assertEqual(world.runs_for("q"), [])

        forwarding_world.run_in_world(check)

    def test_number_with_leading_zeros_names_the_event_that_a_router_relays_with_it(self):
        async def check(world):
            world.number_from(0)
            await self._learn_all(world)
            for value, first in ((b"00", 1), (b"002", 3)):
                reply = await world.ask(extra=naming(value, b"never-seen"))
                self.assertEqual((reply.status, reply.numbers[0]), (200, first))

        forwarding_world.run_in_world(check)

    def test_empty_last_event_names_none(self):
        self._check(0, naming(b""), 200)

    def test_last_event_of_a_route_without_streams_is_no_matter(self):
        async def check(world):
            for value in (*UNREADABLE, b"0"):
                reply = await world.send("GET", "desk", "/look/x", extra=naming(value))
                self.assertEqual(reply.status, 200)

        forwarding_world.run_in_world(check)


if __name__ == "__main__":
    unittest.main()
