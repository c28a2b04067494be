"""Programs that the fuzz tests draw from a seed."""

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tests import fuzz_seed


def _draw(seed):
    """Returns the numbers that a state machine draws."""
    drawn = []

    class Machine(stateful.RuleBasedStateMachine):
        @stateful.rule(number=st.integers(0, 1_000_000))
        def add(self, number):
            drawn.append(number)

    fuzz_seed.apply(Machine, seed)
    Machine.TestCase.settings = hypothesis.settings(
        max_examples=5, stateful_step_count=5, database=None, derandomize=False
    )
    result = unittest.TestResult()
    unittest.defaultTestLoader.loadTestsFromTestCase(Machine.TestCase).run(result)
    assert result.wasSuccessful(), result
    return drawn


class SeedTest(unittest.TestCase):
    def test_a_seed_repeats_its_programs(self):
        self.assertEqual(_draw("3"), _draw("3"))
        self.assertNotEqual(_draw("3"), _draw("4"))


if __name__ == "__main__":
    unittest.main()
