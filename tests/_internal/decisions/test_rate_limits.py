"""Tests of rate limits that upstreams announce: parsing and precedence."""

import math
import unittest

from cicadapier._internal.decisions import rate_limits
from cicadapier._internal.models import ids

DESK = ids.UpstreamId("desk")
FIRST = ids.Incarnation("desk@1")
SECOND = ids.Incarnation("desk@2")


def limit(per_s, announced_at, direct=True, incarnation=FIRST):
    return rate_limits.AnnouncedLimit(DESK, incarnation, per_s, announced_at, direct)


class LowestRateTest(unittest.TestCase):
    def test_lowest_valid_rate_is_used(self):
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

    def test_upstream_that_announces_zero_still_gets_a_minimum_rate(self):
        self.assertEqual(limit(0.0, 1.0).allowed_per_s, rate_limits.MIN_PER_S)
        self.assertEqual(limit(1.1, 1.0).allowed_per_s, 1.1)
        self.assertEqual(limit(None, 1.0).allowed_per_s, math.inf)


class AnnouncedLimitsTest(unittest.TestCase):
    def test_latest_announcement_wins_whether_direct_or_from_a_peer(self):
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

    def test_no_state_is_kept_for_upstreams_that_never_announced_a_limit(self):
        known = rate_limits.AnnouncedLimits()
        self.assertFalse(known.update(limit(None, 1.0)))
        self.assertIsNone(known.latest(DESK))

    def test_notices_contain_recent_direct_announcements_only(self):
        known = rate_limits.AnnouncedLimits()
        known.update(limit(2.0, 5.0, direct=False))
        self.assertEqual(known.notices(6.0), ())
        known.update(limit(None, 6.0))
        expected = rate_limits.LimitNotice(DESK, FIRST, None, 0.5)
        self.assertEqual(known.notices(6.5), (expected,))
        self.assertEqual(known.notices(6.0 + rate_limits.SHARE_WITH_PEERS_S), ())

    def test_removed_upstreams_are_dropped(self):
        known = rate_limits.AnnouncedLimits()
        known.update(limit(2.0, 5.0))
        known.retain({ids.UpstreamId("other")})
        self.assertIsNone(known.latest(DESK))

    def test_notice_with_invalid_age_never_replaces_a_limit(self):
        known = rate_limits.AnnouncedLimits()
        known.update(limit(2.0, 5.0))
        for age_s in (-1.0, math.nan):
            notice = rate_limits.LimitNotice(DESK, FIRST, None, age_s)
            self.assertFalse(known.update(notice.to_limit(6.0)))
        self.assertEqual(known.find(DESK).per_s, 2.0)


if __name__ == "__main__":
    unittest.main()
