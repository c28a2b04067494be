"""What a planted bug is, and the tests that most of them name."""

import dataclasses

DECISIONS = "tests._internal.decisions"
SERVICES = "tests._internal.services"
FORWARDING_SERVICE = f"{SERVICES}.test_forwarding_service"
FORWARDED_EXCHANGE = f"{SERVICES}.test_forwarded_exchange"
PLANNED_CHANGES = f"{SERVICES}.test_planned_changes"


@dataclasses.dataclass(frozen=True)
class Mutant:
    """A bug and the tests that must catch it."""

    name: str
    file: str
    old: str
    new: str
    tests: str
