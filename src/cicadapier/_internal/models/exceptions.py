"""Errors of the value classes."""

import dataclasses
import os


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault in a document.

    Attributes:
        path: Dotted path of the faulty value, empty for the document itself.
        expected: What a valid value would be.
        line: Line in the source file, counted from 1, or 0 where it is unknown.
    """

    path: str
    expected: str
    line: int = 0

    def describe(self, filename: str = "") -> str:
        """Returns one line that names file, line, key and what was expected."""
        place = f"{filename}:{self.line}: " if filename and self.line else ""
        return f"{place}{self.path or 'document'}: {self.expected}"


class InvalidDocumentError(Exception):
    """A settings file or a configuration that fails its checks.

    Attributes:
        faults: Every fault found, in document order.
    """

    def __init__(self, faults: list[Fault], filename: str | os.PathLike[str] = "") -> None:
        self.faults = faults
        name = os.fspath(filename)
        super().__init__("; ".join(fault.describe(name) for fault in faults))
