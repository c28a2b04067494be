"""Checks that names of the users' platform occur only in its adapter."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).parent.parent / "src" / "cicadapier" / "_internal"
ADAPTER = ROOT / "platform"
# Names that only the platform uses. Common terms of the field are not listed.
PLATFORM_NAMES = (
    "x-server-stamp", "x-not-executed", "x-expect-instance", "x-expect-version", "x-instance-id",
    "x-server-load", "x-tenant", "x-deadline-ms", "x-cache-salt", "x-kv-", "x-pin-ms", "kv-from",
    "x-model", "x-token-counts", "x-prompt-prefix", "x-length-hint", "x-weight-versions",
    "x-request-priority", "api/objects", "api/order", "api/report", "api/ready", "as_of",
    "wait_ms", "has_more", "slo_ms", "gap_target", "traffic_split", "path_prefix", "api_keys",
    "kv_store_addr", "cold_remaining", "boot_epoch", "fleetbench", "cicadapier_node_file",
)  # fmt: skip
PATTERN = re.compile("|".join(re.escape(name) for name in PLATFORM_NAMES), re.IGNORECASE)


def find_violations(path: pathlib.Path) -> list[str]:
    """Returns the lines of a module that contain a name of the platform."""
    violations = []
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        match = PATTERN.search(line)
        if match:
            violations.append(f"{path}:{number}: {match.group()!r} belongs into {ADAPTER.name}/")
    return violations


def main() -> int:
    """Prints the violations and returns the exit status."""
    violations = []
    for path in sorted(ROOT.rglob("*.py")):
        if ADAPTER not in path.parents:
            violations += find_violations(path)
    for violation in violations:
        print(violation)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
