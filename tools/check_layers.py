"""Checks that imports point downwards through the layers only."""

import ast
import pathlib
import sys

ROOT = pathlib.Path(__file__).parent.parent / "src" / "cicadapier" / "_internal"
# Each layer may import itself and those named here.
ALLOWED = {
    "models": set(),
    "kernel": {"models"},
    "decisions": {"models"},
    "protocols": {"models", "kernel", "decisions"},
    # The adapter to the users' platform knows types and abstract classes, and nobody but
    # assembly and the stand-ins of that platform knows it.
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
PREFIX = "cicadapier._internal."
# What serves must not depend on what only demonstrates or measures.
PURE = {"trio", "socket", "time", "asyncio", "h11", "grpclib", "datetime", "secrets", "random"}
PURE_EXCEPTIONS = {"random"}


def imported(tree: ast.Module) -> list[tuple[int, str]]:
    """Returns line and dotted name of each import."""
    found = []
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            found += [(node.lineno, alias.name) for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module:
            found += [(node.lineno, f"{node.module}.{alias.name}") for alias in node.names]
    return found


def faults_of(path: pathlib.Path) -> list[str]:
    """Returns the imports of a module that its layer forbids."""
    layer = path.relative_to(ROOT).parts[0]
    if layer not in ALLOWED:
        return []
    faults = []
    for line, name in imported(ast.parse(path.read_text(encoding="utf-8"))):
        if name.startswith(PREFIX):
            target = name[len(PREFIX) :].split(".")[0]
            if target != layer and target not in ALLOWED[layer]:
                faults.append(f"{path}:{line}: {layer} imports {target}")
        elif layer == "decisions" and name.split(".")[0] in PURE - PURE_EXCEPTIONS:
            faults.append(f"{path}:{line}: decisions are pure, and this imports {name}")
    return faults


def main() -> int:
    """Prints the faults and returns the exit status."""
    faults = [fault for path in sorted(ROOT.rglob("*.py")) for fault in faults_of(path)]
    for fault in faults:
        print(fault)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
