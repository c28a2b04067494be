"""The figures in docs/CAPACITY.md are equal to the constants that it cites."""

import importlib
import pathlib
import re
import unittest

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"
ROW = re.compile(r"^\| `([\w.]+)\.([A-Z_]+)` \| ([\d.]+) \|$", re.MULTILINE)


class CapacityTest(unittest.TestCase):
    def test_cited_values_match_the_constants(self):
        rows = ROW.findall(PAGE.read_text())
        self.assertGreaterEqual(len(rows), 15)
        for module, name, value in rows:
            constant = getattr(importlib.import_module(f"cicadapier._internal.{module}"), name)
            self.assertEqual(float(value), float(constant), f"{module}.{name}")


if __name__ == "__main__":
    unittest.main()
