"""Answers that are not silent and make no progress."""

import unittest

from cicadapier._internal.decisions import pace


class BodyPaceTest(unittest.TestCase):
    def test_a_byte_now_and_then_is_no_progress(self):
        body = pace.BodyPace(2.0, 10.0)
        for number in range(1, 5):
            body.received(1, 10.0 + 0.4 * number)
        self.assertAlmostEqual(body.left_s(11.6), 0.4)
        self.assertEqual(body.left_s(13.0), 0.0)

    def test_a_slow_body_goes_on(self):
        body = pace.BodyPace(2.0, 0.0)
        for second in range(1, 60):
            self.assertGreater(body.left_s(float(second)), 0.0)
            body.received(pace.MIN_PROGRESS_BYTES, float(second))

    def test_a_body_beyond_the_bound_is_too_large(self):
        body = pace.BodyPace(2.0, 0.0)
        body.received(pace.MAX_ANSWER_BYTES, 0.0)
        self.assertFalse(body.too_large)
        body.received(1, 0.0)
        self.assertTrue(body.too_large)


class PaceTest(unittest.TestCase):
    def test_without_progress_the_interval_runs_out(self):
        stream = pace.Pace(2.0, 0.0)
        self.assertAlmostEqual(stream.left_s(1.9), 0.1)
        self.assertEqual(stream.left_s(2.1), 0.0)

    def test_a_slow_stream_goes_on(self):
        stream = pace.Pace(2.0, 0.0)
        for number in range(1, 60):
            self.assertGreater(stream.left_s(1.9 * number), 0.0)
            stream.progressed(1.9 * number)


if __name__ == "__main__":
    unittest.main()
