"""Links to engines are judged by the attempts to order them."""

import unittest

from cicadapier._internal.decisions import order_links

FIRST, SECOND, THIRD = ("engine-0", "engine-1", "engine-2")


class OrderLinksTest(unittest.TestCase):
    def setUp(self):
        self.links = order_links.OrderLinks()

    def test_links_that_were_not_tried_are_not_lost(self):
        self.assertFalse(self.links.are_lost([FIRST, SECOND], 0.0))

    def test_two_engines_that_are_not_reached_are_enough(self):
        self.links.record_unreached(FIRST, 0.6)
        self.assertFalse(self.links.are_lost([FIRST, SECOND, THIRD], 0.6))
        self.links.record_unreached(SECOND, 0.6)
        self.assertTrue(self.links.are_lost([FIRST, SECOND, THIRD], 0.6))

    def test_single_engine_is_doubted_only_after_a_while(self):
        self.links.record_unreached(FIRST, 1.0)
        self.links.record_unreached(FIRST, 1.9)
        self.assertFalse(self.links.are_lost([FIRST], 2.0))
        self.assertTrue(self.links.are_lost([FIRST], 1.0 + order_links.SINGLE_ENGINE_DOUBT_S))

    def test_single_engine_tells_nothing_of_the_link_while_others_are_not_tried(self):
        self.links.record_unreached(FIRST, 1.0)
        self.links.record_unreached(FIRST, 2.9)
        self.assertFalse(self.links.are_lost([FIRST, SECOND], 3.0))

    def test_further_engines_are_checked_once_if_one_is_not_reached(self):
        self.assertEqual(self.links.engines_to_check([FIRST, SECOND, THIRD, "more"], 0.0), [])
        self.links.record_unreached(FIRST, 0.6)
        checked = self.links.engines_to_check([FIRST, SECOND, THIRD, "more"], 0.6)
        self.assertEqual(checked, [SECOND, THIRD])
        self.assertEqual(self.links.engines_to_check([FIRST, SECOND, THIRD, "more"], 0.7), [])

    def test_nothing_is_checked_while_an_engine_is_reached(self):
        self.links.record_unreached(FIRST, 0.6)
        self.links.record_reached(SECOND, 0.7)
        self.assertEqual(self.links.engines_to_check([FIRST, SECOND, THIRD], 0.8), [])

    def test_engine_that_is_reached_keeps_the_lease_until_it_is_updated(self):
        self.links.record_unreached(FIRST, 0.6)
        self.links.record_unreached(SECOND, 0.6)
        self.links.record_reached(THIRD, 0.7)
        self.assertFalse(self.links.are_lost([FIRST, SECOND, THIRD], 0.8))
        self.assertTrue(self.links.are_lost([FIRST, SECOND], 0.8))

    def test_old_attempts_tell_nothing(self):
        self.links.record_unreached(FIRST, 0.0)
        self.links.record_unreached(SECOND, 0.0)
        self.assertFalse(self.links.are_lost([FIRST, SECOND], order_links.MEMORY_S))


if __name__ == "__main__":
    unittest.main()
