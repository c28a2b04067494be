"""Rate limits that upstreams name: how they are read and which word wins."""

import math
import unittest

from cicadapier._internal.decisions import rate_limits
from cicadapier._internal.models import ids

DESK = ids.UpstreamId("desk")
FIRST = ids.Incarnation("desk@1")
SECOND = ids.Incarnation("desk@2")


def limit(per_s, announced_at, direct=True, incarnation=FIRST):
    return rate_limits.AnnouncedLimit(DESK, incarnation, per_s, announced_at, direct)


class ReadingTest(unittest.TestCase):
    def test_the_least_readable_rate_counts(self):
        for raw, rate in (
            (["2"], 2.0),
            ([" 1.1 "], 1.1),
            (["0"], 0.0),
            (["5", "3"], 3.0),
            (["soon", "3"], 3.0),
            (["soon"], None),
            (["-1"], None),
            (["nan"], None),
            (["inf"], None),
            ([""], None),
            ([], None),
        ):
            with self.subTest(raw):
                self.assertEqual(rate_limits.lowest_rate(raw), rate)

    def test_an_upstream_that_wants_nothing_is_still_asked_now_and_then(self):
        self.assertEqual(limit(0.0, 1.0).allowed_per_s, rate_limits.MIN_PER_S)
        self.assertEqual(limit(1.1, 1.0).allowed_per_s, 1.1)
        self.assertEqual(limit(None, 1.0).allowed_per_s, math.inf)


class NewestTest(unittest.TestCase):
    def test_the_newest_word_wins_whoever_heard_it(self):
        known = rate_limits.AnnouncedLimits()
        self.assertTrue(known.update(limit(2.0, 5.0)))
        self.assertFalse(known.update(limit(2.0, 6.0)))
        self.assertFalse(known.update(limit(None, 5.5, direct=False)))
        self.assertEqual(known.find(DESK).per_s, 2.0)
        self.assertTrue(known.update(limit(None, 7.0, direct=False)))
        self.assertIsNone(known.find(DESK))
        self.assertFalse(known.update(limit(2.0, 6.5)))
        self.assertEqual(known.in_force(), [])
        self.assertTrue(known.update(limit(3.0, 8.0, incarnation=SECOND)))
        self.assertEqual(known.find(DESK).incarnation, SECOND)

    def test_answers_without_a_limit_of_upstreams_that_never_named_one_cost_nothing(self):
        known = rate_limits.AnnouncedLimits()
        self.assertFalse(known.update(limit(None, 1.0)))
        self.assertIsNone(known.latest(DESK))

    def test_peers_are_told_of_what_was_heard_here_and_lately(self):
        known = rate_limits.AnnouncedLimits()
        known.update(limit(2.0, 5.0, direct=False))
        self.assertEqual(known.notices(6.0), ())
        known.update(limit(None, 6.0))
        expected = rate_limits.LimitNotice(DESK, FIRST, None, 0.5)
        self.assertEqual(known.notices(6.5), (expected,))
        self.assertEqual(known.notices(6.0 + rate_limits.SHARE_WITH_PEERS_S), ())

    def test_upstreams_that_are_gone_are_forgotten(self):
        known = rate_limits.AnnouncedLimits()
        known.update(limit(2.0, 5.0))
        known.retain({ids.UpstreamId("other")})
        self.assertIsNone(known.latest(DESK))

    def test_an_age_that_makes_no_sense_never_wins(self):
        known = rate_limits.AnnouncedLimits()
        known.update(limit(2.0, 5.0))
        for age_s in (-1.0, math.nan):
            notice = rate_limits.LimitNotice(DESK, FIRST, None, age_s)
            self.assertFalse(known.update(notice.to_limit(6.0)))
        self.assertEqual(known.find(DESK).per_s, 2.0)


if __name__ == "__main__":
    unittest.main()
