"""Tests of the limit on the number of metric series."""

import random
import unittest

from cicadapier._internal.decisions import series
from cicadapier._internal.models import ids


class AccountLabelsTest(unittest.TestCase):
    def test_labels_are_limited_at_28000_accounts_and_large_ones_get_their_own(self):
        labels = series.AccountLabels()
        rng = random.Random(1)
        seen = set()
        for _ in range(60_000):
            if rng.random() < 0.3:
                name = f"large-{rng.randrange(3)}"
            else:
                name = f"account-{rng.randrange(28_000)}"
            seen.add(labels.label(ids.AccountId(name)))
        self.assertLessEqual(len(seen), series.MAX_LABELS + 1)
        for number in range(3):
            name = ids.AccountId(f"large-{number}")
            self.assertEqual(labels.label(name), name)

    def test_each_of_few_accounts_gets_its_own_label(self):
        labels = series.AccountLabels()
        for number in range(8):
            name = ids.AccountId(f"a{number}")
            self.assertEqual(labels.label(name), name)


if __name__ == "__main__":
    unittest.main()
