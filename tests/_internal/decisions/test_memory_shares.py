"""The sum of the bytes that are held as whole messages."""

import unittest

from cicadapier._internal.decisions import memory_shares

LIMIT = 10 * memory_shares.FREE_BYTES
LARGE = 2 * memory_shares.FREE_BYTES


class MemorySharesTest(unittest.TestCase):
    def setUp(self):
        self.shares = memory_shares.MemoryShares(LIMIT, 2)

    def _hold(self, group, size, length=0):
        holding = self.shares.open(group, length)
        holding.size += size
        return holding

    def test_beginning_of_a_message_never_waits(self):
        self._hold("sick", 2 * LIMIT)
        self.assertTrue(self.shares.may_grow(self._hold("other", memory_shares.FREE_BYTES - 1)))

    def test_group_that_holds_its_share_waits_and_others_do_not(self):
        held = [self._hold("sick", LARGE) for _ in range(3)]
        self.assertFalse(self.shares.may_grow(held[-1]))
        self.assertTrue(self.shares.may_grow(self._hold("sound", LARGE)))

    def test_oldest_message_grows_beyond_the_limit_and_makes_room_as_it_ends(self):
        first, second = self._hold("sick", LIMIT), self._hold("sick", LARGE)
        self.assertTrue(self.shares.may_grow(first))
        self.assertFalse(self.shares.may_grow(second))
        self.shares.close(first)
        self.assertTrue(self.shares.may_grow(second))

    def test_share_shrinks_with_the_number_of_groups(self):
        holdings = [self._hold(group, LARGE + 1) for group in "abcde"]
        self.assertEqual([self.shares.may_grow(item) for item in holdings], [True] + [False] * 4)

    def test_message_that_states_its_length_waits_at_its_beginning(self):
        first = self._hold("a", LARGE, LIMIT // 2)
        self.assertTrue(self.shares.may_grow(first))
        second = self._hold("a", memory_shares.FREE_BYTES, LIMIT // 2)
        self.assertFalse(self.shares.may_grow(second))
        other = self._hold("b", memory_shares.FREE_BYTES, LIMIT // 2 - memory_shares.FREE_BYTES)
        self.assertTrue(self.shares.may_grow(other))
        other.size = LIMIT // 2 - memory_shares.FREE_BYTES - 1
        self.assertTrue(self.shares.may_grow(other))

    def test_message_that_is_complete_waits_for_nothing(self):
        granted = self._hold("a", LARGE, LARGE + 1)
        self.assertTrue(self.shares.may_grow(granted))
        late = self._hold("b", LARGE, LARGE)
        granted.size += 1
        self._hold("sick", 2 * LIMIT)
        self.assertTrue(self.shares.may_grow(granted))
        self.assertTrue(self.shares.may_grow(late))

    def test_messages_of_one_group_fill_the_limit_if_it_is_not_shared(self):
        shares = memory_shares.MemoryShares(LIMIT, 1)
        grown = []
        for _ in range(8):
            holding = shares.open(None, LIMIT // 4)
            holding.size = memory_shares.FREE_BYTES
            grown.append(shares.may_grow(holding))
        self.assertEqual(grown, [True] * 4 + [False] * 4)

    def test_total_returns_to_zero_though_messages_are_closed_twice(self):
        holding = self._hold("a", LARGE)
        self.shares.close(holding)
        self.shares.close(holding)
        self.assertEqual(self.shares.total, 0)
        self.shares.close(self._hold("a", 0))
        self.assertEqual(self.shares.total, 0)


if __name__ == "__main__":
    unittest.main()
