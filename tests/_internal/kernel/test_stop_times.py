"""Tests of the times by which a process that stops has to end."""

import math
import unittest

from cicadapier._internal.kernel import stop_times


class StopTimesTest(unittest.TestCase):
    def test_limit_of_the_stop_counts(self):
        times = stop_times.StopTimes(8.0)
        times.set_limit(30.0)
        times.set_limit(12.0)
        self.assertEqual(times.latest_end, math.inf)
        times.stop(100.0)
        self.assertEqual((times.earliest_end, times.latest_end), (112.0, 112.0))

    def test_limit_that_changes_while_it_stops(self):
        # What has not begun keeps to the shortest, what has begun to the longest.
        for limit_s, ends in ((12.0, (108.0, 112.0)), (5.0, (105.0, 108.0))):
            with self.subTest(limit_s):
                times = stop_times.StopTimes(8.0)
                times.stop(100.0)
                times.set_limit(limit_s)
                self.assertEqual((times.earliest_end, times.latest_end), ends)

    def test_second_stop_changes_nothing(self):
        times = stop_times.StopTimes(8.0)
        times.stop(100.0)
        times.stop(103.0)
        self.assertEqual(times.latest_end, 108.0)


if __name__ == "__main__":
    unittest.main()
