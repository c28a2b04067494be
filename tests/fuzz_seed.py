"""Seed of the fuzz tests."""

import os

import hypothesis

SEED = os.environ.get("FUZZ_SEED", "")


def apply(machine, seed):
    """Makes the test of a state machine draw the same programs each time.

    Hypothesis reads the seed from the machine; a seed of its `TestCase` has no effect.
    """
    hypothesis.seed(int(seed))(machine)
