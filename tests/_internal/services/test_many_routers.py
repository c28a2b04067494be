"""Many routers with few upstreams: their estimates of each other's load cause no refusals."""

import unittest

import trio

from tests import forwarding_world

REQUESTS_PER_S = 60


class IdleUpstreamsTest(unittest.TestCase):
    def check_served(self, routers, duration_s):
        """Sends fast requests to all routers in turn; checks that all are answered in time."""

        async def check(world):
            await trio.sleep(3.0)
            replies = []

            async def send_one(number):
                path = f"/look/{number}"
                replies.append(await world.send("GET", "desk", path, router=number % routers))

            async with trio.open_nursery() as nursery:
                for number in range(REQUESTS_PER_S * duration_s):
                    nursery.start_soon(send_one, number)
                    await trio.sleep(1 / REQUESTS_PER_S)
            self.assertEqual({reply.status for reply in replies}, {200})
            self.assertLess(max(reply.took_s for reply in replies), 0.05)

        forwarding_world.run_in_world(check, routers=routers)

    def test_four_routers_refuse_nothing_while_all_upstreams_are_idle(self):
        self.check_served(4, 6)

    def test_two_dozen_routers_refuse_nothing_while_all_upstreams_are_idle(self):
        self.check_served(24, 4)

    def test_many_routers_refuse_nothing_while_all_upstreams_are_idle(self):
        self.check_served(77, 2)


if __name__ == "__main__":
    unittest.main()
