"""A target that a router learns late is taken to be as old as it may be."""

import unittest

from cicadapier._internal.decisions import learned_age

STEP_S = 0.2


class LearnedAgeTest(unittest.TestCase):
    def setUp(self):
        self.learned = learned_age.LearnedAge()
        self.now = 0.0
        self._run_until(1.0)
        self.learned.record_answer(0.9, 1.0)
        self._run_until(2.0)
        self.learned.record_answer(1.0, 2.0)

    def _run_until(self, until):
        while self.now < until:
            self.now = min(until, self.now + STEP_S)
            self.learned.record_awake(self.now)

    def _age_s(self, queried_at, now):
        self.learned.record_answer(queried_at, now)
        return self.learned.age_s(now)

    def test_target_is_new_while_the_watch_is_answered(self):
        self.assertEqual(self.learned.age_s(2.0), 0.0)
        self._run_until(6.0)
        self.assertEqual(self._age_s(2.0, 6.0), 0.0)

    def test_target_may_be_as_old_as_the_last_answer_after_a_failure(self):
        self._run_until(4.0)
        self.learned.record_failure()
        self.assertAlmostEqual(self._age_s(4.0, 4.0), 2.0)

    def test_age_that_is_assumed_is_limited(self):
        self.learned.record_failure()
        self._run_until(20.0)
        self.assertAlmostEqual(self._age_s(19.0, 20.0), learned_age.MAX_ASSUMED_AGE_S)

    def test_process_that_stood_still_does_not_know_when_an_answer_arrived(self):
        self.assertAlmostEqual(self._age_s(2.0, 5.0), 3.0)

    def test_first_query_after_that_shows_what_happened_meanwhile_as_well(self):
        self.learned.record_answer(2.0, 5.0)
        self.assertAlmostEqual(self._age_s(5.0, 5.1), 3.1)
        self.assertEqual(self._age_s(5.1, 5.2), 0.0)

    def test_process_that_noticed_it_before_the_answer_does_not_know_either(self):
        self.learned.record_awake(5.0)
        self.assertAlmostEqual(self._age_s(2.0, 5.0), 3.0)


if __name__ == "__main__":
    unittest.main()
