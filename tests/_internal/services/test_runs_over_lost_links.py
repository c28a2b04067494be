"""Runs that are under way as a router loses its links."""

import unittest

import trio

from cicadapier._internal.standins import forwarding_deployment
from cicadapier._internal.standins import router_links
from tests import forwarding_world

Fault = router_links.LinkFault
ROUTERS = 3
LONG_EVENTS = 40


async def _start_long(world, nursery, replies, events=LONG_EVENTS, request="q"):
    for upstream in world.upstreams.values():
        upstream.events = events
        upstream.event_interval_s = 0.05

    async def ask():
        reply = await world.ask("/long/x", request=request, time_left_ms=5000, output_tokens=200)
        replies.append(reply)

    nursery.start_soon(ask)
    await trio.sleep(0.5)


class RunsOverLostLinksTest(unittest.TestCase):
    def test_run_on_a_connection_that_lives_on_is_not_continued_elsewhere(self):
        async def check(world):
            replies = []
            async with trio.open_nursery() as nursery:
                await _start_long(world, nursery, replies)
                world.cut_links(0, Fault.REFUSE_NEW)
                for upstream in world.upstreams.values():
                    upstream.event_interval_s = 1.2  # Longer than the gap that is checked.
            self.assertEqual(len(world.runs_for("q")), 1)

        forwarding_world.run_in_world(check, routers=ROUTERS)

    def test_run_on_a_connection_that_hangs_continues_from_its_backup(self):
        async def check(world):
            replies = []
            async with trio.open_nursery() as nursery:
                await _start_long(world, nursery, replies)
                world.cut_links(0, Fault.HANG)
            self.assertEqual((replies[0].status, replies[0].broken), (200, False))
            self.assertEqual(replies[0].numbers, list(range(1, LONG_EVENTS + 1)))
            self.assertEqual(len(world.runs_for("q")), 2)

        forwarding_world.run_in_world(check, routers=ROUTERS)

    def test_stream_through_a_peer_goes_on_as_the_links_are_back(self):
        async def check(world):
            replies = []
            world.cut_links(0, Fault.HANG)
            async with trio.open_nursery() as nursery:
                await _start_long(world, nursery, replies)
                world.heal_links(0)
                await trio.sleep(0.1)
            self.assertEqual((replies[0].status, replies[0].broken), (200, False))
            self.assertEqual(replies[0].numbers, list(range(1, LONG_EVENTS + 1)))
            self.assertEqual(len(world.runs_for("q")), 1)

        forwarding_world.run_in_world(check, routers=ROUTERS)

    def test_stream_through_a_peer_that_is_restarted_gracefully_is_whole(self):
        async def check(world):
            replies = []
            world.cut_links(0, Fault.HANG)
            async with trio.open_nursery() as nursery:
                await _start_long(world, nursery, replies, events=80)
                world.routers[1].kernel.stop()
                stopped_at = trio.current_time()
            self.assertEqual((replies[0].status, replies[0].broken), (200, False))
            self.assertEqual(replies[0].numbers, list(range(1, 81)))
            self.assertEqual(len(world.runs_for("q")), 1)
            while world.routers[1].peers.address in world._peer_handlers:
                await trio.sleep(0.05)
            self.assertLess(trio.current_time() - stopped_at, forwarding_deployment.DRAIN_S)

        forwarding_world.run_in_world(check, routers=2)

    def test_caller_that_leaves_ends_its_run_behind_a_peer_at_once(self):
        async def check(world):
            world.cut_links(0, Fault.HANG)
            with trio.move_on_after(0.8):
                async with trio.open_nursery() as nursery:
                    await _start_long(world, nursery, [])
                    await trio.sleep_forever()
            left_at = trio.current_time()
            await trio.sleep(0.2)
            self.assertEqual(len(world.runs_for("q")), 1)
            self.assertLess(world.runs_for("q")[0].ended_at - left_at, 0.05)

        forwarding_world.run_in_world(check, routers=ROUTERS)

    def test_call_that_must_run_once_behind_a_peer_that_ends_is_not_told_as_not_run(self):
        async def check(world):
            for upstream in world.upstreams.values():
                upstream.work_s = 1.0
            world.cut_links(0, Fault.HANG)
            replies = []

            async def order():
                replies.append(await world.send("POST", "desk", "/order/x", request="q"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(order)
                await trio.sleep(0.5)
                self.assertEqual(len(world.runs_for("q")), 1)
                world.stop("vm-1")
                world.stop("vm-2")
            self.assertEqual(len(world.runs_for("q")), 1)
            self.assertNotIn(replies[0].status, (200, 408, 421, 429, 503))

        forwarding_world.run_in_world(check, routers=ROUTERS)


if __name__ == "__main__":
    unittest.main()
