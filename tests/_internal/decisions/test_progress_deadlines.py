"""Answers that are not silent and make no progress."""

import unittest

from cicadapier._internal.decisions import progress_deadlines


class BodyProgressDeadlineTest(unittest.TestCase):
    def test_a_byte_now_and_then_is_no_progress(self):
        body = progress_deadlines.BodyProgressDeadline(2.0, 10.0)
        for number in range(1, 5):
            body.record_received(1, 10.0 + 0.4 * number)
        self.assertAlmostEqual(body.remaining_s(11.6), 0.4)
        self.assertEqual(body.remaining_s(13.0), 0.0)

    def test_a_slow_body_goes_on(self):
        body = progress_deadlines.BodyProgressDeadline(2.0, 0.0)
        for second in range(1, 60):
            self.assertGreater(body.remaining_s(float(second)), 0.0)
            body.record_received(progress_deadlines.MIN_PROGRESS_BYTES, float(second))

    def test_a_body_beyond_the_bound_is_too_large(self):
        body = progress_deadlines.BodyProgressDeadline(2.0, 0.0)
        body.record_received(progress_deadlines.MAX_ANSWER_BYTES, 0.0)
        self.assertFalse(body.is_too_large)
        body.record_received(1, 0.0)
        self.assertTrue(body.is_too_large)


class ProgressDeadlineTest(unittest.TestCase):
    def test_without_progress_the_interval_runs_out(self):
        stream = progress_deadlines.ProgressDeadline(2.0, 0.0)
        self.assertAlmostEqual(stream.remaining_s(1.9), 0.1)
        self.assertEqual(stream.remaining_s(2.1), 0.0)

    def test_a_slow_stream_goes_on(self):
        stream = progress_deadlines.ProgressDeadline(2.0, 0.0)
        for number in range(1, 60):
            self.assertGreater(stream.remaining_s(1.9 * number), 0.0)
            stream.record_progress(1.9 * number)


if __name__ == "__main__":
    unittest.main()
