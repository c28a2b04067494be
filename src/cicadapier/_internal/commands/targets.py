"""Measures every target and judges it by its worst seed."""

from cicadapier._internal.cli import output
from cicadapier._internal.cli import status_codes
from cicadapier._internal.experiments import targets


def run(*, seeds: int = 5, json: bool = False) -> int:
    """Measures every target; exits with 1 where one is missed.

    :param seeds: Number of seeds, from 0 on.
    :param json: Print JSON.
    """
    verdicts = list(targets.judge(range(seeds)))
    rows = [
        (
            verdict.row.name,
            f"{'>=' if verdict.row.at_least else '<='} {verdict.row.target:g}",
            f"{verdict.worst.value:.4g}",
            verdict.worst.seed,
            "met" if verdict.met else "missed",
        )
        for verdict in verdicts
    ]
    if json:
        names = ("name", "target", "worst", "seed", "verdict")
        output.print_json([dict(zip(names, row, strict=True)) for row in rows])
    else:
        output.print_table(["target", "bound", "worst", "seed", "verdict"], rows)
    missed = any(not verdict.met for verdict in verdicts)
    return status_codes.FAILURE if missed else status_codes.SUCCESS
