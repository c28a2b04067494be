"""Runs the tests; lets pass, and prints, just the cases that KNOWN-RED.txt lists.

Test classes are spread over a few processes.
"""

import collections.abc
import concurrent.futures
import dataclasses
import functools
import io
import os
import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MAX_PROCESSES = 4


@dataclasses.dataclass(frozen=True)
class ClassResult:
    """Result of the tests of one class.

    Attributes:
        ran: Tests that ran.
        failed: Ids of those that failed.
        report: What the runner printed.
    """

    ran: int
    failed: frozenset[str]
    report: str


def read_known_red() -> set[str]:
    """Returns the ids of the tests that may fail."""
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split()[1] for line in lines if line.startswith("test ")}


def discover(pattern: str) -> unittest.TestSuite:
    """Returns all tests in files of a pattern."""
    sys.path.insert(0, str(ROOT))
    return unittest.defaultTestLoader.discover(
        str(ROOT / "tests"), pattern, top_level_dir=str(ROOT)
    )


def iter_cases(suite: unittest.TestSuite) -> collections.abc.Iterator[unittest.TestCase]:
    """Returns the single tests of a suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iter_cases(item)
        else:
            yield item


def full_class_name(case: unittest.TestCase) -> str:
    """Returns the full name of a test's class; one that could not be loaded keeps its id."""
    kind = type(case)
    if kind.__module__.startswith("unittest"):
        return case.id()
    return f"{kind.__module__}.{kind.__qualname__}"


@functools.cache
def group_by_class(pattern: str) -> dict[str, list[unittest.TestCase]]:
    """Returns the tests in files of a pattern by their classes."""
    found: dict[str, list[unittest.TestCase]] = {}
    for case in iter_cases(discover(pattern)):
        found.setdefault(full_class_name(case), []).append(case)
    return found


def run_class(name: str, pattern: str) -> ClassResult:
    """Runs the tests of one class."""
    suite = unittest.TestSuite(group_by_class(pattern)[name])
    stream = io.StringIO()
    result = unittest.TextTestRunner(stream=stream, verbosity=1, buffer=True).run(suite)
    # A class that fails in its set-up or its load has no case of its own.
    failed = frozenset(case.id() for case, _ in [*result.failures, *result.errors])
    failed |= frozenset(case.id() for case in result.unexpectedSuccesses)
    return ClassResult(max(result.testsRun, len(failed)), failed, stream.getvalue())


def main() -> int:
    """Returns the exit status."""
    pattern = sys.argv[1] if len(sys.argv) > 1 else "test_*.py"
    names = sorted(group_by_class(pattern))
    processes = max(1, min(MAX_PROCESSES, os.cpu_count() or 1))
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        results = list(pool.map(run_class, names, [pattern] * len(names)))
    for result in results:
        if result.failed:
            print(result.report)
    ran = sum(result.ran for result in results)
    failed = frozenset[str]().union(*(result.failed for result in results))
    known_failures = read_known_red()
    for name in sorted(failed & known_failures):
        print(f"known red: {name}")
    for name in sorted(failed - known_failures):
        print(f"failed: {name}")
    unexpected = failed - known_failures
    print(f"{ran - len(failed)} passed, {len(unexpected)} failed")
    return 1 if unexpected or ran == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
