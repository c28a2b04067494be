"""Each planted bug still applies to the source text, so that `make mutants` can plant it."""

import unittest

from tests import mutants


class PlantedBugsTest(unittest.TestCase):
    def test_each_original_text_occurs_once_in_its_file(self):
        for mutant in mutants.MUTANTS:
            with self.subTest(mutant.name):
                text = mutants.mutant_path(mutants.ROOT, mutant).read_text(encoding="utf-8")
                self.assertEqual(text.count(mutant.old), 1)
                self.assertNotEqual(mutant.old, mutant.new)

    def test_each_bug_refers_to_existing_tests(self):
        for mutant in mutants.MUTANTS:
            with self.subTest(mutant.name):
                suite = unittest.defaultTestLoader.loadTestsFromName(mutant.tests)
                self.assertGreater(suite.countTestCases(), 0)
                self.assertNotIn("_FailedTest", repr(list(suite)))

    def test_names_are_unique(self):
        names = [mutant.name for mutant in mutants.MUTANTS]
        self.assertEqual(len(names), len(set(names)))


if __name__ == "__main__":
    unittest.main()
