"""YAML documents with the line number of each value."""

import os
import pathlib

import yaml

from cicadapier._internal.models import exceptions


class Document:
    """A parsed YAML document.

    Attributes:
        value: The document as plain Python values.
        lines: Line number of each value, counted from 1, by dotted path.
    """

    def __init__(self, text: str, filename: str = "") -> None:
        """Parses a document.

        Args:
            text: YAML source.
            filename: File name to show in error messages.

        Raises:
            InvalidDocumentError: The text is not valid YAML, or a mapping contains a duplicate key.
        """
        self._filename = filename
        self.lines: dict[str, int] = {}
        self._faults: list[exceptions.Fault] = []
        self._recorded: set[int] = set()  # By `id`, which is stable while the document is read.
        try:
            node = yaml.compose(text, Loader=yaml.SafeLoader)
            self.value: object = yaml.safe_load(text)
            if node is not None:
                self._record_children(node, "", frozenset())
        except (yaml.YAMLError, RecursionError, ValueError, TypeError) as exc:
            raise exceptions.InvalidDocumentError([_syntax_fault(exc)], filename) from exc
        if self._faults:
            raise exceptions.InvalidDocumentError(self._faults, filename)

    def add_lines(self, error: exceptions.InvalidDocumentError) -> exceptions.InvalidDocumentError:
        """Returns a copy of an error in which each fault has its line number."""
        faults = [
            exceptions.Fault(fault.path, fault.expected, self._line_of(fault.path))
            for fault in error.faults
        ]
        return exceptions.InvalidDocumentError(faults, self._filename)

    def _line_of(self, path: str) -> int:
        while path:
            if path in self.lines:
                return self.lines[path]
            # A missing key has no line; the line of its nearest parent is used instead.
            path = path.rpartition(".")[0]
        return 1

    def _record_children(self, node: yaml.Node, path: str, around: frozenset[int]) -> None:
        """Records the lines of all values below a node, and duplicate keys as faults.

        Args:
            node: The node. Below an alias of a node, only the first lines are recorded.
            path: Its path.
            around: The nodes that contain it. A node that contains itself is a fault.
        """
        if id(node) in around:
            self._faults.append(exceptions.Fault(path, "a value that contains itself"))
        if id(node) in self._recorded:
            return
        self._recorded.add(id(node))
        around |= {id(node)}
        if isinstance(node, yaml.SequenceNode):
            for i, item in enumerate(node.value):
                self._record_value(item, f"{path}[{i}]", item.start_mark.line + 1, around)
            return
        if not isinstance(node, yaml.MappingNode):
            return
        seen = set()
        for key_node, value_node in node.value:
            key = str(key_node.value)
            child = f"{path}.{key}" if path else key
            line = key_node.start_mark.line + 1
            if key in seen:
                self._faults.append(exceptions.Fault(child, "duplicate key", line))
            seen.add(key)
            self._record_value(value_node, child, line, around)

    def _record_value(self, node: yaml.Node, path: str, line: int, around: frozenset[int]) -> None:
        self.lines[path] = line
        self._record_children(node, path, around)


def read(path: str | os.PathLike[str]) -> Document:
    """Reads a YAML file.

    Raises:
        InvalidDocumentError: The file cannot be read or is not valid YAML.
    """
    return Document(read_text(path), os.fspath(path))


def read_text(path: str | os.PathLike[str]) -> str:
    """Reads a text file.

    Raises:
        InvalidDocumentError: The file cannot be read.
    """
    name = os.fspath(path)
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        fault = exceptions.Fault("", f"cannot read {name}: {exc}")
        raise exceptions.InvalidDocumentError([fault], name) from exc


def _syntax_fault(exc: Exception) -> exceptions.Fault:
    mark = getattr(exc, "problem_mark", None)
    line = mark.line + 1 if mark else 0
    problem = getattr(exc, "problem", None) or str(exc) or type(exc).__name__
    return exceptions.Fault("", f"invalid YAML: {problem}", line)
