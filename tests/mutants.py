"""Plants known bugs, one at a time, and checks that the tests catch each one: `make mutants`."""

import concurrent.futures
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

from tests import planted_bug
from tests import planted_in_beliefs
from tests import planted_in_configuration
from tests import planted_in_decisions
from tests import planted_in_rollouts
from tests import planted_in_services
from tests import planted_in_slow_readers

ROOT = pathlib.Path(__file__).parent.parent
PACKAGE = "src/cicadapier/_internal"
TIMEOUT_S = 240
MUTANTS = [
    *planted_in_beliefs.MUTANTS,
    *planted_in_configuration.MUTANTS,
    *planted_in_decisions.MUTANTS,
    *planted_in_rollouts.MUTANTS,
    *planted_in_services.MUTANTS,
    *planted_in_slow_readers.MUTANTS,
]


def mutant_path(root: pathlib.Path, mutant: planted_bug.Mutant) -> pathlib.Path:
    """Returns the path of the file that a bug is planted in, within a copy of the tree."""
    return root / PACKAGE / mutant.file


def survives_tests(mutant: planted_bug.Mutant) -> bool:
    """Plants a bug in a copy of the tree and returns whether the tests still pass."""
    with tempfile.TemporaryDirectory() as directory:
        tree = pathlib.Path(directory)
        shutil.copytree(ROOT / "src", tree / "src")
        shutil.copytree(ROOT / "tests", tree / "tests")
        path = mutant_path(tree, mutant)
        text = path.read_text()
        if text.count(mutant.old) != 1:
            raise ValueError(
                f"{mutant.name}: {mutant.old!r} must occur exactly once in {mutant.file}"
            )
        path.write_text(text.replace(mutant.old, mutant.new))
        command = [sys.executable, "-m", "unittest", "-q", "-f", mutant.tests]
        environment = {**os.environ, "PYTHONPATH": str(tree / "src"), "PYTHONSAFEPATH": ""}
        try:
            completed = subprocess.run(
                command, cwd=tree, env=environment, capture_output=True, timeout=TIMEOUT_S
            )
        except subprocess.TimeoutExpired:
            # A bug can cause an endless loop. The tests catch it by not finishing in time.
            return False
        if b"Ran 0 tests" in completed.stderr or b"_FailedTest" in completed.stderr:
            raise ValueError(f"{mutant.name}: there is no test {mutant.tests}")
        return completed.returncode == 0


def main() -> int:
    """Runs the mutants and prints the result of each.

    Arguments of the command line select the mutants whose names contain one of them.

    Returns:
        1 if a mutant survives, otherwise 0.
    """
    chosen = [m for m in MUTANTS if not sys.argv[1:] or any(a in m.name for a in sys.argv[1:])]
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        survived = list(pool.map(survives_tests, chosen))
    for mutant, mutant_survived in zip(chosen, survived, strict=True):
        print(f"{'SURVIVED' if mutant_survived else 'caught  '}  {mutant.name}")
    print(f"{survived.count(False)} of {len(survived)} caught")
    return 1 if any(survived) else 0


if __name__ == "__main__":
    sys.exit(main())
