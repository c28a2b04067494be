"""Measures how memory and processor time grow with the size of the system."""

import dataclasses

from cicadapier._internal.cli import exit_codes
from cicadapier._internal.cli import output
from cicadapier._internal.experiments import slopes


def run(*, json: bool = False) -> int:
    """Measures the memory and processor time of each decision at increasing sizes.

    :param json: Print the output as JSON.
    """
    points = list(slopes.measure_all())
    if json:
        output.print_json([dataclasses.asdict(point) for point in points])
        return exit_codes.SUCCESS
    rows = [
        (
            point.role,
            f"{point.size:,} {point.unit}",
            f"{point.cost_us:,.1f} us",
            f"{point.state_bytes:,} B",
            f"{point.message_bytes:,} B" if point.message_bytes else "-",
        )
        for point in points
    ]
    output.print_table(["role", "size", "cost", "state", "message"], rows)
    return exit_codes.SUCCESS
