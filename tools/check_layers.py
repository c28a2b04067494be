"""Checks that imports point downwards through the layers only."""

import ast
import pathlib
import sys

ROOT = pathlib.Path(__file__).parent.parent / "src" / "cicadapier" / "_internal"
# Each layer may import itself and those named here.
ALLOWED_LAYERS = {
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
PACKAGE_PREFIX = "cicadapier._internal."
# What serves must not depend on what only demonstrates or measures.
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
    """Returns line and dotted name of each import."""
    names = []
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            names += [(node.lineno, alias.name) for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module:
            names += [(node.lineno, f"{node.module}.{alias.name}") for alias in node.names]
    return names


def find_violations(path: pathlib.Path) -> list[str]:
    """Returns the imports of a module that its layer forbids."""
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
    """Prints the faults and returns the exit status."""
    violations = [v for path in sorted(ROOT.rglob("*.py")) for v in find_violations(path)]
    for violation in violations:
        print(violation)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
