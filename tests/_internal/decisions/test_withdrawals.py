"""What upstreams say of the work that they want."""

import math
import unittest

from cicadapier._internal.decisions import directory
from cicadapier._internal.decisions import withdrawals
from cicadapier._internal.models import directory as directory_models
from cicadapier._internal.models import ids

ENGINE = ids.UpstreamId("engine-0")
FIRST = ids.Incarnation("engine-0@1")
SECOND = ids.Incarnation("engine-0@2")


def registration(incarnation=FIRST, leaving=False):
    return directory_models.Registration(
        ENGINE,
        ids.PoolId("engines"),
        ids.Address("10.0.0.1:80"),
        ids.FailureDomainId("here"),
        incarnation,
        8,
        leaving,
        {},
    )


class PauseTest(unittest.TestCase):
    def test_a_time_that_cannot_be_read_is_replaced_by_a_bounded_one(self):
        for asked_s in (None, -1.0, math.nan, math.inf):
            with self.subTest(asked_s):
                self.assertEqual(withdrawals.pause_s(asked_s), withdrawals.DEFAULT_PAUSE_S)
        self.assertEqual(withdrawals.pause_s(1e12), withdrawals.MAX_PAUSE_S)
        self.assertEqual(withdrawals.pause_s(0.25), 0.25)

    def test_a_shorter_pause_does_not_end_a_longer_one(self):
        known = withdrawals.Withdrawals()
        known.pause(ENGINE, 5.0)
        known.pause(ENGINE, 3.0)
        self.assertTrue(known.is_paused(ENGINE, 4.9))
        self.assertFalse(known.is_paused(ENGINE, 5.0))


class WithdrawalTest(unittest.TestCase):
    def setUp(self):
        self.directory = directory.Directory()
        self.directory.changed(registration())

    def withdraw(self, incarnation=FIRST):
        return self.directory.withdrawals.add(withdrawals.Withdrawal(ENGINE, incarnation))

    def test_an_upstream_that_says_so_takes_nothing_though_its_entry_says_ready(self):
        self.assertTrue(self.withdraw())
        self.directory.changed(registration())
        self.assertFalse(self.directory.may_send(ENGINE, FIRST, 0.0))
        self.assertTrue(self.directory.find(ENGINE).leaving)
        self.assertFalse(self.withdraw())

    def test_its_next_start_takes_work_again(self):
        self.withdraw()
        self.directory.changed(registration(SECOND))
        self.assertTrue(self.directory.may_send(ENGINE, SECOND, 0.0))
        self.assertFalse(self.directory.may_send(ENGINE, FIRST, 0.0))

    def test_late_news_of_a_former_start_does_not_undo_that_this_one_leaves(self):
        self.directory.changed(registration(SECOND))
        self.withdraw(SECOND)
        self.withdraw(FIRST)
        self.assertFalse(self.directory.may_send(ENGINE, SECOND, 0.0))
        self.assertFalse(self.withdraw(SECOND))

    def test_what_is_known_of_starts_is_bounded(self):
        for number in range(1000):
            self.withdraw(ids.Incarnation(f"engine-0@{number}"))
        known = self.directory.withdrawals.all()
        self.assertEqual(len(known), withdrawals.MAX_WITHDRAWALS)
        self.assertEqual(known[-1].incarnation, "engine-0@999")

    def test_one_that_said_so_is_not_kept_when_its_entry_lapses_after_an_outage(self):
        self.withdraw()
        self.directory.store_lost()
        self.directory.store_answered(10.0)
        self.directory.removed(ENGINE, 10.5)
        self.assertIsNone(self.directory.find(ENGINE))

    def test_what_is_gone_from_the_directory_is_forgotten(self):
        self.withdraw()
        self.directory.listed([], 0.0)
        self.directory.listed([], 0.0)
        self.assertEqual(self.directory.withdrawals.all(), ())


if __name__ == "__main__":
    unittest.main()
