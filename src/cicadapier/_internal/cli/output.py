"""Prints tables and JSON to standard output."""

import collections.abc
import json
import sys


def print_table(
    headings: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[object]],
) -> None:
    """Prints headings and rows in aligned columns."""
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [
        max([len(heading), *(len(row[column]) for row in cells)])
        for column, heading in enumerate(headings)
    ]
    for row in [list(headings), *cells]:
        line = "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print(line.rstrip())


def print_json(value: object) -> None:
    """Prints a value as one line of JSON and flushes standard output."""
    json.dump(value, sys.stdout, default=str)
    sys.stdout.write("\n")
    sys.stdout.flush()
