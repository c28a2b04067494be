"""Which requests a router still begins while it stops."""

import math
import unittest

from cicadapier._internal.decisions import stopping
from cicadapier._internal.models import ids

ROUTE = ids.RouteId("order")
GRACE = stopping.Grace(unknown_until=2.7, streams_until=2.7, begins_until=6.2, ends_at=7.2)


class RunTimesTest(unittest.TestCase):
    def setUp(self):
        self.times = stopping.RunTimes()

    def test_time_of_a_route_that_was_not_used_is_not_known(self):
        self.assertIsNone(self.times.needed_s(ROUTE))

    def test_longest_of_few_times_counts_with_a_margin(self):
        for took_s in (0.2, 2.0, 0.3):
            self.times.record(ROUTE, took_s)
        self.assertAlmostEqual(self.times.needed_s(ROUTE), 2.0 * stopping.FEW_FACTOR + 0.1)

    def test_one_long_time_of_many_does_not_count(self):
        for number in range(40):
            self.times.record(ROUTE, 9.0 if number == 20 else 2.0)
        self.assertAlmostEqual(self.times.needed_s(ROUTE), 2.0 * stopping.LONGER_FACTOR + 0.1)

    def test_old_times_are_forgotten(self):
        for took_s in [8.0] * stopping.MAX_TIMES + [0.1] * stopping.MAX_TIMES:
            self.times.record(ROUTE, took_s)
        self.assertLess(self.times.needed_s(ROUTE), 0.3)

    def test_number_of_routes_is_bounded(self):
        for number in range(2 * stopping.MAX_ROUTES):
            self.times.record(ids.RouteId(f"r{number}"), 1.0)
        self.assertIsNone(self.times.needed_s(ids.RouteId("r0")))
        self.assertIsNotNone(self.times.needed_s(ids.RouteId(f"r{2 * stopping.MAX_ROUTES - 1}")))


class GraceTest(unittest.TestCase):
    def _begins(self, now, needed_s, is_stream=False, left_s=9.0):
        return GRACE.may_begin(needed_s, is_stream, now + left_s, now)

    def test_router_that_does_not_stop_begins_everything(self):
        for needed_s in (None, 1e9):
            self.assertTrue(stopping.Grace().may_begin(needed_s, True, math.inf, 1e9))

    def test_request_begins_if_it_can_end(self):
        self.assertTrue(self._begins(4.6, 2.6))
        self.assertFalse(self._begins(4.7, 2.6))
        self.assertFalse(self._begins(0.1, 7.2))

    def test_request_that_its_caller_gives_up_sooner_begins(self):
        self.assertTrue(self._begins(5.0, 4.0, left_s=2.0))
        self.assertFalse(self._begins(6.3, 0.1, left_s=0.5))

    def test_request_of_an_unknown_route_begins_until_the_balancer_has_left(self):
        self.assertTrue(self._begins(2.7, None))
        self.assertFalse(self._begins(2.8, None))

    def test_stream_begins_until_the_balancer_has_left_if_it_can_end(self):
        self.assertTrue(self._begins(2.0, 3.0, is_stream=True))
        self.assertFalse(self._begins(2.8, 0.5, is_stream=True))
        self.assertFalse(self._begins(2.0, 6.0, is_stream=True))


if __name__ == "__main__":
    unittest.main()
