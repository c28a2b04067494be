"""The proof that a watched configuration is the newest."""

import random
import unittest

from cicadapier._internal.platform import documents
from cicadapier._internal.services import watched_configuration
from tests import support


class ProofTest(unittest.TestCase):
    def test_an_answer_proves_nothing_after_its_query_was_sent(self):
        async def check():
            now = 13.0
            watched = watched_configuration.WatchedConfiguration(
                documents.DocumentFormat(), 5.0, lambda: now, random.Random(0)
            )
            self.assertFalse(watched.has_fresh_proof)
            watched.record_answer(10.0)
            self.assertEqual(watched.proof_age_s, 3.0)
            self.assertTrue(watched.has_fresh_proof)
            now = 14.1
            self.assertFalse(watched.has_fresh_proof)

        support.run(check)


if __name__ == "__main__":
    unittest.main()
