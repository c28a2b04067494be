"""Prompt parts that crash each engine that begins to answer a request with them."""

import itertools
import unittest

import trio

from tests import forwarding_world

CONTACT_S = 3.0  # Within this time, routers in touch with each other know the same evidence.
MAX_LATE_ARRIVALS = 3
POISON_EVERY_S = 0.4
SOUND_EVERY_S = 0.1
DAY_S = 14.0
ROUTERS = 4


class _Day:
    """Sound requests, among which requests with the deadly part arrive at all routers."""

    def __init__(self, world):
        self.world = world
        self.sound = []
        self._numbers = itertools.count()

    async def play(self, poison_s=DAY_S):
        self._use_long_answers()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_regularly, SOUND_EVERY_S, DAY_S, self._ask_sound)
            nursery.start_soon(self._send_regularly, POISON_EVERY_S, poison_s, self._ask_poison)

    async def _send_regularly(self, every_s, for_s, ask):
        async with trio.open_nursery() as nursery:
            for _ in range(int(for_s / every_s)):
                nursery.start_soon(ask, next(self._numbers))
                await trio.sleep(every_s)

    async def _ask_sound(self, number):
        sent_at = trio.current_time()
        parts = f"aa:600,subject-{number % 7}:300,own-{number}:100"
        reply = await self.world.ask(
            parts=parts, router=number % ROUTERS, request=f"sound-{number}"
        )
        self.sound.append((sent_at, reply))

    async def _ask_poison(self, number):
        parts = f"aa:600,subject-0:300,deadly:200,own-{number}:100"
        body = b"prompt %d" % number
        router = number // 3 % ROUTERS
        await self.world.ask(parts=parts, body=body, router=router, request=f"poison-{number}")

    def _use_long_answers(self):
        for upstream in self.world.upstreams.values():
            upstream.crash_parts = {"deadly"}
            upstream.events = 30
            upstream.first_event_delay_s = 0.1

    def late_arrivals(self):
        """Returns the arrivals of requests with the part after the routers must know it."""
        crashes = self.world.crashes
        if len(crashes) < 5:
            return []
        bound = crashes[4][0] + CONTACT_S
        arrivals = [a for u in self.world.upstreams.values() for a in u.arrivals]
        return [a for a in arrivals if a.request.startswith("poison") and a.at > bound]

    def served_share(self, since):
        """Returns the share of the sound requests sent after a time that were served."""
        replies = [reply for sent_at, reply in self.sound if sent_at >= since]
        served = [r for r in replies if r.status == 200 and not r.broken]
        return len(served) / len(replies)


class PoisonPartTest(unittest.TestCase):
    def test_requests_with_a_part_that_crashes_engines_stop_reaching_engines(self):
        async def check(world):
            day = _Day(world)
            await day.play()
            self.assertLessEqual(len(day.late_arrivals()), MAX_LATE_ARRIVALS)

        forwarding_world.run_in_world(check, routers=ROUTERS, engines=6)

    def test_sound_requests_beside_a_part_that_crashes_engines_are_served(self):
        async def check(world):
            day = _Day(world)
            started_at = trio.current_time()
            await day.play()
            since = started_at + 2 * CONTACT_S
            self.assertGreaterEqual(day.served_share(since), 0.9)

        forwarding_world.run_in_world(check, routers=ROUTERS, engines=6)


if __name__ == "__main__":
    unittest.main()
