"""Checks that modules import only from their own layer and from the layers allowed for it."""

import ast
import pathlib
import sys

ROOT = pathlib.Path(__file__).parent.parent / "src" / "cicadapier" / "_internal"
# Each layer may import from itself and from the layers listed here. Layers that serve requests must
# not depend on layers that only demonstrate or measure.
ALLOWED_LAYERS = {
    "models": set(),
    "kernel": {"models"},
    "decisions": {"models"},
    "protocols": {"models", "kernel", "decisions"},
    # The adapter to the users' platform depends on types and abstract classes. Only assembly and
    # the stand-ins of that platform depend on the adapter.
    "platform": {"models", "decisions", "protocols"},
    "services": {"models", "kernel", "decisions", "protocols"},
    "assembly": {"models", "kernel", "decisions", "protocols", "services", "platform"},
    "standins": {
        "models", "kernel", "decisions", "protocols", "services", "assembly", "platform",
    },
    "experiments": {
        "models", "kernel", "decisions", "protocols", "services", "assembly", "standins",
    },
    "cli": {"models", "protocols", "commands"},
    "commands": {
        "models", "kernel", "decisions", "protocols", "services", "assembly", "standins",
        "experiments", "cli",
    },
}  # fmt: skip
PACKAGE_PREFIX = "cicadapier._internal."
# Decisions are pure: they must not import these modules, with the exceptions below.
IMPURE_MODULES = {
    "trio",
    "socket",
    "time",
    "asyncio",
    "h11",
    "grpclib",
    "datetime",
    "secrets",
    "random",
}
ALLOWED_IMPURE_MODULES = {"random"}


def find_imports(tree: ast.Module) -> list[tuple[int, str]]:
    """Returns the line number and the dotted name of each import."""
    names = []
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            names += [(node.lineno, alias.name) for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module:
            names += [(node.lineno, f"{node.module}.{alias.name}") for alias in node.names]
    return names


def find_violations(path: pathlib.Path) -> list[str]:
    """Returns the imports of a module that are not allowed in its layer."""
    layer = path.relative_to(ROOT).parts[0]
    if layer not in ALLOWED_LAYERS:
        return []
    violations = []
    for line, name in find_imports(ast.parse(path.read_text(encoding="utf-8"))):
        if name.startswith(PACKAGE_PREFIX):
            target = name[len(PACKAGE_PREFIX) :].split(".")[0]
            if target != layer and target not in ALLOWED_LAYERS[layer]:
                violations.append(f"{path}:{line}: {layer} imports {target}")
        elif layer == "decisions" and name.split(".")[0] in IMPURE_MODULES - ALLOWED_IMPURE_MODULES:
            violations.append(f"{path}:{line}: decisions are pure, and this imports {name}")
    return violations


def main() -> int:
    """Prints the violations and returns the exit status."""
    violations = [v for path in sorted(ROOT.rglob("*.py")) for v in find_violations(path)]
    for violation in violations:
        print(violation)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
