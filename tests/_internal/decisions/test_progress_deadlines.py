"""Deadlines for answers that keep sending but make no progress."""

import unittest

from cicadapier._internal.decisions import progress_deadlines


class BodyProgressDeadlineTest(unittest.TestCase):
    def test_single_bytes_at_intervals_are_no_progress(self):
        deadline = progress_deadlines.BodyProgressDeadline(2.0, 10.0)
        for number in range(1, 5):
            deadline.record_received(1, 10.0 + 0.4 * number)
        self.assertAlmostEqual(deadline.remaining_s(11.6), 0.4)
        self.assertEqual(deadline.remaining_s(13.0), 0.0)

    def test_a_slow_body_with_enough_progress_may_continue(self):
        deadline = progress_deadlines.BodyProgressDeadline(2.0, 0.0)
        for second in range(1, 60):
            self.assertGreater(deadline.remaining_s(float(second)), 0.0)
            deadline.record_received(progress_deadlines.MIN_PROGRESS_BYTES, float(second))

    def test_a_body_above_the_maximum_size_is_too_large(self):
        deadline = progress_deadlines.BodyProgressDeadline(2.0, 0.0)
        deadline.record_received(progress_deadlines.MAX_ANSWER_BYTES, 0.0)
        self.assertFalse(deadline.is_too_large)
        deadline.record_received(1, 0.0)
        self.assertTrue(deadline.is_too_large)


class ProgressDeadlineTest(unittest.TestCase):
    def test_the_interval_ends_without_progress(self):
        deadline = progress_deadlines.ProgressDeadline(2.0, 0.0)
        self.assertAlmostEqual(deadline.remaining_s(1.9), 0.1)
        self.assertEqual(deadline.remaining_s(2.1), 0.0)

    def test_a_slow_stream_with_progress_may_continue(self):
        deadline = progress_deadlines.ProgressDeadline(2.0, 0.0)
        for number in range(1, 60):
            self.assertGreater(deadline.remaining_s(1.9 * number), 0.0)
            deadline.record_progress(1.9 * number)


if __name__ == "__main__":
    unittest.main()
