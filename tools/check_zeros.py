"""Checks that no test of a truth takes a value for "there is none".

Numbers that may be absent take 0 for it, and collections of a configuration take an empty one for
one that nobody has declared: both are compared instead. The types are those that mypy infers, so
the check sees fields, results and narrowed names alike.
"""

import ast
import collections.abc
import dataclasses
import pathlib
import sys

import mypy.build
import mypy.main
import mypy.modulefinder
import mypy.nodes
import mypy.options
import mypy.types

ROOT = pathlib.Path(__file__).parent.parent
# Expressions without a name that may yield a number, as Python and as mypy call them.
_UNNAMED = {"Subscript": "[]", "IndexExpr": "[]", "Await": "await", "AwaitExpr": "await"}
_NUMBERS = ("builtins.int", "builtins.float")
_COLLECTIONS = ("builtins.dict", "builtins.list", "builtins.set", "builtins.frozenset")
# Modules whose classes hold what operators declare.
CONFIGURATION_MODULES = (
    "cicadapier._internal.models.configuration",
    "cicadapier._internal.platform.documents",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """An expression in a module, by what the syntax trees of Python and of mypy have in common.

    mypy does not say to which module an inferred type belongs. Expressions with one name at one
    place of two modules are rare, and are reported at worst where only one of them is wrong.

    Attributes:
        begin: Line and column.
        end: Last line and the column behind the last one.
        name: Name of the variable, the field or the function that is called; the kind of the
            expression where it has none.
    """

    begin: tuple[int, int]
    end: tuple[int | None, int | None]
    name: str


def find_conditions(tree: ast.AST) -> collections.abc.Iterator[ast.expr]:
    """Yields the expressions of a module whose truth decides something."""
    for node in ast.walk(tree):
        if isinstance(node, ast.If | ast.While | ast.IfExp | ast.Assert):
            yield from _parts(node.test)
        elif isinstance(node, ast.comprehension):
            for condition in node.ifs:
                yield from _parts(condition)
        elif isinstance(node, ast.BoolOp) and not _yields_zero(node):
            for value in node.values[:-1]:  # The last one is the result.
                yield from _parts(value)
        elif isinstance(node, ast.UnaryOp) and isinstance(node.op, ast.Not):
            yield from _parts(node.operand)


def _yields_zero(node: ast.BoolOp) -> bool:
    """Returns whether an expression has the same value for 0 and for None, namely 0."""
    last = node.values[-1]
    return isinstance(node.op, ast.Or) and isinstance(last, ast.Constant) and last.value == 0


def _parts(condition: ast.expr) -> collections.abc.Iterator[ast.expr]:
    if isinstance(condition, ast.NamedExpr):
        yield from _parts(condition.value)
    elif isinstance(condition, ast.BoolOp):
        for value in condition.values:
            yield from _parts(value)
    else:
        yield condition


def _is_optional_number(found: mypy.types.Type | None) -> bool:
    """Returns whether values of a type are numbers or None; truth values are no numbers."""
    proper = mypy.types.get_proper_type(found)
    if not isinstance(proper, mypy.types.UnionType):
        return False
    items = [mypy.types.get_proper_type(item) for item in proper.items]
    has_none = any(isinstance(item, mypy.types.NoneType) for item in items)
    return has_none and any(map(_is_number, items))


def _is_number(item: mypy.types.ProperType) -> bool:
    if isinstance(item, mypy.types.LiteralType):
        item = item.fallback
    if not isinstance(item, mypy.types.Instance) or item.type.fullname == "builtins.bool":
        return False
    return any(item.type.has_base(name) for name in _NUMBERS)


def _instance(found: mypy.types.Type | None) -> mypy.types.Instance | None:
    proper = mypy.types.get_proper_type(found)
    return proper if isinstance(proper, mypy.types.Instance) else None


def _is_declared_collection(
    node: mypy.nodes.Expression,
    types: collections.abc.Mapping[mypy.nodes.Expression, mypy.types.Type],
    modules: collections.abc.Collection[str],
) -> bool:
    """Returns whether an expression is a collection that is a field of a configuration."""
    if not isinstance(node, mypy.nodes.MemberExpr):
        return False
    holder, value = _instance(types.get(node.expr)), _instance(types.get(node))
    if holder is None or value is None or holder.type.module_name not in modules:
        return False
    return any(value.type.has_base(name) for name in _COLLECTIONS)


def _place_of_type(node: mypy.nodes.Expression) -> Place:
    named = node.callee if isinstance(node, mypy.nodes.CallExpr) else node
    name = _UNNAMED.get(type(node).__name__, "")
    if isinstance(named, mypy.nodes.NameExpr | mypy.nodes.MemberExpr):
        name = named.name
    return Place((node.line, node.column), (node.end_line, node.end_column), name)


def _place_of_condition(node: ast.expr) -> Place:
    named = node.func if isinstance(node, ast.Call) else node
    name = _UNNAMED.get(type(node).__name__, "")
    if isinstance(named, ast.Name):
        name = named.id
    elif isinstance(named, ast.Attribute):
        name = named.attr
    return Place((node.lineno, node.col_offset), (node.end_lineno, node.end_col_offset), name)


def process_options(
    arguments: list[str],
) -> tuple[list[mypy.modulefinder.BuildSource], mypy.options.Options]:
    """Returns the modules that arguments of mypy name, and its options."""
    return mypy.main.process_options(arguments)


def find_violations(
    sources: list[mypy.modulefinder.BuildSource],
    options: mypy.options.Options,
    modules: collections.abc.Collection[str] = CONFIGURATION_MODULES,
) -> list[str]:
    """Returns the places where an optional number or a declared collection is tested as a truth.

    Args:
        sources: Modules to check.
        options: Options for the inference of types.
        modules: Modules whose classes hold what operators declare.

    Raises:
        CompileError: A module cannot be parsed.
    """
    options.incremental = False
    options.export_types = True
    result = mypy.build.build(sources, options)
    numbers = {
        _place_of_type(node) for node, kind in result.types.items() if _is_optional_number(kind)
    }
    declared = {
        _place_of_type(node)
        for node in result.types
        if _is_declared_collection(node, result.types, modules)
    }
    found = []
    for path in sorted(source.path for source in sources if source.path):
        tree = ast.parse(pathlib.Path(path).read_text(encoding="utf-8"))
        places = [_place_of_condition(node) for node in find_conditions(tree)]
        for known, fault in ((numbers, "0"), (declared, "an empty collection")):
            lines = {place.begin[0] for place in places if place.name and place in known}
            found += [f"{path}:{line}: {fault} is taken for absent" for line in sorted(lines)]
    return found


def main() -> int:
    """Prints the violations and returns the exit status."""
    violations = find_violations(*process_options([f"--config-file={ROOT / 'pyproject.toml'}"]))
    for violation in violations:
        print(violation)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
