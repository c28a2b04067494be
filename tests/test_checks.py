"""Tests of the checks in tools/."""

import importlib.util
import pathlib
import tempfile
import unittest

TOOLS = pathlib.Path(__file__).parent.parent / "tools"


def load_tool(name):
    spec = importlib.util.spec_from_file_location(name, TOOLS / f"{name}.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class BoundaryTest(unittest.TestCase):
    def test_planted_platform_names_are_found(self):
        check = load_tool("check_boundary")
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "planted.py"
            path.write_text('HEADER = b"X-Server-Stamp"\nfine = 1\nkind = "path_prefix"\n')
            self.assertEqual(len(check.find_violations(path)), 2)

    def test_source_tree_has_no_violations(self):
        self.assertEqual(load_tool("check_boundary").main(), 0)
        self.assertEqual(load_tool("check_layers").main(), 0)


if __name__ == "__main__":
    unittest.main()
