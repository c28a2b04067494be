"""Tests of what the numbers of events tell of events that are missing."""

import unittest

from cicadapier._internal.decisions import event_numbering

V1, V2 = "v1", "v2"


class EventNumberingTest(unittest.TestCase):
    def setUp(self):
        self.numbering = event_numbering.EventNumbering()

    def _record(self, *steps, software=V1):
        for step in steps:
            self.numbering.record_step(software, step)

    def test_any_increase_may_follow_until_enough_steps_are_known(self):
        self._record(*[1] * (event_numbering.MIN_STEPS - 1))
        self.assertTrue(self.numbering.may_follow(V1, 4, 6))
        self._record(1)
        self.assertFalse(self.numbering.may_follow(V1, 4, 6))
        self.assertTrue(self.numbering.may_follow(V1, 4, 5))

    def test_one_other_step_shows_that_any_may_follow(self):
        self._record(*[1] * 100, 3)
        self.assertTrue(self.numbering.may_follow(V1, 4, 6))

    def test_no_event_follows_one_of_its_number_or_of_a_higher_one(self):
        for software in (V1, "", None):
            for number in (3, 4):
                self.assertFalse(self.numbering.may_follow(software, 4, number))

    def test_versions_are_known_apart(self):
        self._record(*[1] * 100)
        self._record(*[1] * 100, software="")
        for software in (V2, "", None):
            self.assertTrue(self.numbering.may_follow(software, 4, 6))

    def test_memory_is_bounded(self):
        self._record(*[1] * 100)
        for number in range(event_numbering.MAX_VERSIONS):
            self._record(1, software=f"w{number}")
        self.assertTrue(self.numbering.may_follow(V1, 4, 6))


if __name__ == "__main__":
    unittest.main()
