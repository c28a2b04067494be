"""The proof that the configuration in force is the newest."""

import random
import unittest

from cicadapier._internal.platform import documents
from cicadapier._internal.services import watched_configuration
from tests import support


class ProofTest(unittest.TestCase):
    def test_an_answer_proves_nothing_later_than_its_question(self):
        async def check():
            now = 13.0
            held = watched_configuration.WatchedConfiguration(
                documents.DocumentFormat(), 5.0, lambda: now, random.Random(0)
            )
            self.assertFalse(held.has_fresh_proof)
            held.record_answer(10.0)
            self.assertEqual(held.proof_age_s, 3.0)
            self.assertTrue(held.has_fresh_proof)
            now = 14.1
            self.assertFalse(held.has_fresh_proof)

        support.run(check)


if __name__ == "__main__":
    unittest.main()
