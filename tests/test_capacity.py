"""docs/CAPACITY.md cites the constants of the code."""

import importlib
import pathlib
import re
import unittest

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"
ROW = re.compile(r"^\| `([\w.]+)\.([A-Z_]+)` \| ([\d.]+) \|$", re.MULTILINE)


class CapacityTest(unittest.TestCase):
    def test_cited_constants_are_those_of_the_code(self):
        rows = ROW.findall(PAGE.read_text())
        self.assertGreaterEqual(len(rows), 15)
        for module, name, value in rows:
            found = getattr(importlib.import_module(f"cicadapier._internal.{module}"), name)
            self.assertEqual(float(value), float(found), f"{module}.{name}")


if __name__ == "__main__":
    unittest.main()
