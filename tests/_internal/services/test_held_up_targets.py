"""Routers whose process stood still as new weights were named know how old the news may be."""

import unittest

from tests._internal.services import test_suspended_routers


class HeldUpTargetTest(unittest.TestCase):
    def test_news_that_was_held_up_is_as_old_as_the_time_for_which_it_was(self):
        for stood_still_s in (2.0, 3.0, 4.0):
            with self.subTest(stood_still_s):
                ages = test_suspended_routers.ages_of_late_requests(0.0, stood_still_s, 5.5)
                self.assertEqual(
                    [age for age in ages if age > test_suspended_routers.MAX_AGE_S], []
                )
                # Three seconds later, the router counts as in touch again.
                ages = test_suspended_routers.ages_of_late_requests(
                    0.0, stood_still_s, 3.1 + max(0.0, 2.0 - stood_still_s)
                )
                self.assertEqual(
                    [age for age in ages if age > test_suspended_routers.MAX_AGE_S], []
                )


if __name__ == "__main__":
    unittest.main()
