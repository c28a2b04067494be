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

    def test_planted_truths_of_optional_numbers_are_found(self):
        check = load_tool("check_zeros")
        # Guards against numbers of which 0 is a value and counts as none.
        planted = (
            "import dataclasses",
            "import typing",
            "Count = typing.NewType('Count', int)",
            "@dataclasses.dataclass",
            "class Limits:",
            "    rate: float | None",
            "    count: Count | None",
            "    name: str | None",
            "    flag: bool | None",
            "    def find(self) -> int | None: return None",
            "def check(limits: Limits, known: dict[str, int], last: int | None) -> object:",
            "    if not limits.rate: return 1  # wrong",
            "    found = limits.count or 2  # wrong",
            "    while known.get('x') and found: found = Count(0)  # wrong",
            "    if other := limits.find(): return other  # wrong",
            "    some = [one for one in known if last]  # wrong",
            "    kept = {one: 1 for one in known if limits.find()}  # wrong",
            "    assert last  # wrong",
            "    first = 1 if some and not limits.find() else 2  # wrong",
            "    if limits.name or limits.flag or found: return kept",
            "    if last is not None and limits.rate is None: return first",
            "    return limits.rate or 0.0",
        )
        expected = [i for i, line in enumerate(planted, 1) if line.endswith("# wrong")]
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "planted.py"
            path.write_text("\n".join(planted))
            found = check.find_violations(*check.process_options([str(path)]))
        self.assertEqual([int(line.split(":")[1]) for line in found], expected)

    def test_planted_truths_of_declared_collections_are_found(self):
        check = load_tool("check_zeros")
        # Guards against a list of which nothing is left that counts as one nobody has declared.
        planted = (
            "import dataclasses",
            "@dataclasses.dataclass",
            "class Configuration:",
            "    accounts: dict[str, int]",
            "    keys: list[str]",
            "    name: str",
            "def check(cfg: Configuration, known: dict[str, int]) -> object:",
            "    if not known and cfg.accounts: return 1  # wrong",
            "    some = cfg.keys or ['x']  # wrong",
            "    one = 1 if not cfg.accounts else 2  # wrong",
            "    if cfg.name or known: return some",
            "    if len(cfg.accounts) == 0: return one",
            "    return cfg.accounts",
        )
        expected = [i for i, line in enumerate(planted, 1) if line.endswith("# wrong")]
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "planted.py"
            path.write_text("\n".join(planted))
            found = check.find_violations(*check.process_options([str(path)]), ("planted",))
        self.assertEqual([int(line.split(":")[1]) for line in found], expected)

    def test_source_tree_has_no_violations(self):
        self.assertEqual(load_tool("check_boundary").main(), 0)
        self.assertEqual(load_tool("check_layers").main(), 0)


if __name__ == "__main__":
    unittest.main()
