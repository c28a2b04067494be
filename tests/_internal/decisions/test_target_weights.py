"""Requests begin on old weights only within the maximum age, also where an engine falls silent."""

import unittest

from cicadapier._internal.decisions import target_weights

MODEL = "verse"
MAX_AGE_S = 8.0
# A sound engine may be silent for about a second and go on.
SILENCE_S = 1.2
STEP_S = 0.1


class SilentEngineTest(unittest.TestCase):
    def setUp(self):
        self.targets = target_weights.TargetWeights(MAX_AGE_S)
        self.targets.set_target(MODEL, 2, 0.0)

    def test_request_that_waits_leaves_time_for_an_engine_that_falls_silent(self):
        for age_step in range(81):
            for wait_step in range(21):
                now, wait_s = age_step * STEP_S, wait_step * STEP_S
                status = self.targets.status(MODEL, "1", now, wait_s)
                if status is not target_weights.VersionStatus.EXPIRED:
                    self.assertLessEqual(now + wait_s + SILENCE_S, MAX_AGE_S)

    def test_request_that_has_not_begun_is_given_up_while_a_silent_engine_may_still_notice(self):
        for age_step in range(64):
            deadline = self.targets.start_deadline(MODEL, "1", age_step * STEP_S)
            self.assertLessEqual(deadline + SILENCE_S, MAX_AGE_S)

    def test_requests_begin_on_old_weights_for_most_of_the_time(self):
        status = self.targets.status(MODEL, "1", 6.3)
        self.assertIs(status, target_weights.VersionStatus.OUTDATED)
        self.assertGreater(self.targets.start_deadline(MODEL, "1", 6.3), 6.6)


if __name__ == "__main__":
    unittest.main()
