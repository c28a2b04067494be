"""Upstreams that start again under their ids, before the directory says so."""

import dataclasses
import functools
import unittest
import unittest.mock

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.services import process_checks
from tests import forwarding_world
from tests import stream_callers

ENGINE = "engine-0"
STREAMS = 30
DOWN_S = 0.5
LIFE_S = 0.8  # Of the second process, shorter than the interval between two entries.


async def _start_unseen(world, name, software):
    """Starts an upstream again without an entry in the directory."""
    upstream = world.upstreams[name]
    incarnation = ids.Incarnation(f"{name}@77")
    upstream.entry = dataclasses.replace(upstream.entry, software=software, incarnation=incarnation)
    upstream.has_stopped = False
    await world._start(name, upstream.run)


class ReplacedUnseenTest(unittest.TestCase):
    """Guards against streams that begin at a process nobody knows and go on at another version."""

    def _play(self, software, idle_s=1.0):
        """Lets a process serve unseen for a while and crash; returns the streams' callers."""
        found = []

        async def check(world):
            stream_callers.use_long_answers(world)
            callers = stream_callers.StreamCallers(world)
            async with trio.open_nursery() as nursery:
                for number in range(15):
                    parts = f"w{number}:600,x{number}:9"
                    nursery.start_soon(functools.partial(world.ask, parts=parts))
            await trio.sleep(idle_s)
            world.stop(ENGINE)
            await trio.sleep(DOWN_S)
            await _start_unseen(world, ENGINE, software)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(callers.ask, STREAMS)
                await trio.sleep(LIFE_S)
                begun = [run for run in world.runs if run.upstream == ENGINE and run.at > 0]
                world.stop(ENGINE)
            self.assertGreaterEqual(len(begun), 3)
            found.append(callers)

        forwarding_world.run_in_world(check, engines=5)
        return found[0]

    def test_streams_of_an_unseen_process_with_other_software_are_not_joined(self):
        self.assertEqual(self._play("v2").mixed(), [])

    def test_streams_of_other_processes_go_on(self):
        callers = self._play("v2")
        self.assertGreaterEqual(len(callers.whole()), STREAMS * 0.75)

    def test_upstream_that_closes_idle_connections_early_is_asked_once(self):
        async def check(world):
            await world.ask()
            reports = process_checks.ProcessChecks.check
            asked = []

            async def count(checks, process, address):
                asked.append(process.upstream)
                return await reports(checks, process, address)

            with unittest.mock.patch.object(process_checks.ProcessChecks, "check", count):
                for upstream in list(world.upstreams.values()):
                    await world.start_again(upstream.entry.upstream, upstream.entry)
                await trio.sleep(2.0)
                for _ in range(6):
                    reply = await world.ask()
                    self.assertFalse(reply.broken)
            self.assertLessEqual(len(asked), len(world.upstreams))

        forwarding_world.run_in_world(check)


if __name__ == "__main__":
    unittest.main()
