"""The type of planted bugs, and the test modules that most of them refer to."""

import dataclasses

DECISIONS = "tests._internal.decisions"
SERVICES = "tests._internal.services"
FORWARDING_SERVICE = f"{SERVICES}.test_forwarding_service"
FORWARDED_EXCHANGE = f"{SERVICES}.test_forwarded_exchange"
PLANNED_CHANGES = f"{SERVICES}.test_planned_changes"


@dataclasses.dataclass(frozen=True)
class Mutant:
    """A bug and the tests that must catch it.

    Attributes:
        name: Description of the bug.
        file: File to plant it in, relative to the internal package.
        old: Text that the bug replaces; it occurs once in the file.
        new: Text of the bug.
        tests: Dotted name of the tests.
    """

    name: str
    file: str
    old: str
    new: str
    tests: str
