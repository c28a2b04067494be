"""Errors in documents: settings files and configurations."""

import dataclasses
import os


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault in a document.

    Attributes:
        path: Dotted path of the invalid value; empty for the document itself.
        expected: What is expected of the value, or what is wrong with it.
        line: Line number in the source file, counted from 1; 0 if unknown.
    """

    path: str
    expected: str
    line: int = 0

    def describe(self, filename: str = "") -> str:
        """Returns a message of one line with the file, line number, path and description."""
        location = f"{filename}:{self.line}: " if filename and self.line else ""
        return f"{location}{self.path or 'document'}: {self.expected}"


class InvalidDocumentError(Exception):
    """A settings file or a configuration is invalid.

    Attributes:
        faults: All faults that were found.
    """

    def __init__(self, faults: list[Fault], filename: str | os.PathLike[str] = "") -> None:
        self.faults = faults
        name = os.fspath(filename)
        super().__init__("; ".join(fault.describe(name) for fault in faults))
