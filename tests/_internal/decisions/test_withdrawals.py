"""Tests of the pauses and withdrawals that upstreams announce."""

import math
import unittest

from cicadapier._internal.decisions import directory
from cicadapier._internal.decisions import withdrawals
from cicadapier._internal.models import directory_entries
from cicadapier._internal.models import ids

ENGINE = ids.UpstreamId("engine-0")
FIRST = ids.Incarnation("engine-0@1")
SECOND = ids.Incarnation("engine-0@2")


def registration(incarnation=FIRST, leaving=False):
    return directory_entries.Registration(
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
    def test_unreadable_and_excessive_pauses_are_replaced(self):
        for asked_s in (None, -1.0, math.nan, math.inf):
            with self.subTest(asked_s):
                self.assertEqual(withdrawals.pause_s(asked_s), withdrawals.DEFAULT_PAUSE_S)
        self.assertEqual(withdrawals.pause_s(1e12), withdrawals.MAX_PAUSE_S)
        self.assertEqual(withdrawals.pause_s(0.25), 0.25)

    def test_a_shorter_pause_does_not_shorten_a_longer_one(self):
        stored = withdrawals.Withdrawals()
        stored.pause(ENGINE, 5.0)
        stored.pause(ENGINE, 3.0)
        self.assertTrue(stored.is_paused(ENGINE, 4.9))
        self.assertFalse(stored.is_paused(ENGINE, 5.0))


class WithdrawalTest(unittest.TestCase):
    def setUp(self):
        self.directory = directory.Directory()
        self.directory.put(registration())

    def withdraw(self, incarnation=FIRST):
        return self.directory.withdrawals.add(withdrawals.Withdrawal(ENGINE, incarnation))

    def test_a_withdrawn_upstream_gets_no_requests_although_its_entry_is_not_leaving(self):
        self.assertTrue(self.withdraw())
        self.directory.put(registration())
        self.assertFalse(self.directory.may_send(ENGINE, FIRST, 0.0))
        self.assertTrue(self.directory.find(ENGINE).leaving)
        self.assertFalse(self.withdraw())

    def test_a_withdrawal_does_not_apply_to_the_next_incarnation(self):
        self.withdraw()
        self.directory.put(registration(SECOND))
        self.assertTrue(self.directory.may_send(ENGINE, SECOND, 0.0))
        self.assertFalse(self.directory.may_send(ENGINE, FIRST, 0.0))

    def test_a_late_withdrawal_of_a_former_incarnation_does_not_undo_a_newer_one(self):
        self.directory.put(registration(SECOND))
        self.withdraw(SECOND)
        self.withdraw(FIRST)
        self.assertFalse(self.directory.may_send(ENGINE, SECOND, 0.0))
        self.assertFalse(self.withdraw(SECOND))

    def test_the_number_of_stored_withdrawals_is_bounded(self):
        for number in range(1000):
            self.withdraw(ids.Incarnation(f"engine-0@{number}"))
        stored = self.directory.withdrawals.all()
        self.assertEqual(len(stored), withdrawals.MAX_WITHDRAWALS)
        self.assertEqual(stored[-1].incarnation, "engine-0@999")

    def test_a_withdrawn_entry_is_not_retained_after_an_outage(self):
        self.withdraw()
        self.directory.record_store_loss()
        self.directory.record_store_response(10.0)
        self.directory.remove(ENGINE, 10.5)
        self.assertIsNone(self.directory.find(ENGINE))

    def test_withdrawals_of_unlisted_upstreams_are_dropped(self):
        self.withdraw()
        self.directory.replace_all([], 0.0)
        self.directory.replace_all([], 0.0)
        self.assertEqual(self.directory.withdrawals.all(), ())


if __name__ == "__main__":
    unittest.main()
