"""Puts a fault into a running demonstration."""

import msgspec

from cicadapier._internal.cli import exceptions
from cicadapier._internal.cli import exit_codes
from cicadapier._internal.cli import http
from cicadapier._internal.cli import output


def run(
    kind: str,
    *target: str,
    faults: str,
    seconds: float | None = None,
    amount: float | None = None,
) -> int:
    """Puts a fault in force, or lists or clears them.

    :param kind: Kind of fault; "list" shows the kinds and what is in force, "clear" ends all,
        "ledger" shows what the upstreams ran.
    :param target: What it strikes, at most one; all without.
    :param faults: URL of the demonstration's faults, as it prints it.
    :param seconds: How long it lasts; without, until it is cleared.
    :param amount: Strength, in the unit of its kind.
    """
    if len(target) > 1:
        raise exceptions.CommandError("expected at most one target")
    if kind == "list":
        output.print_json(http.expect_status(http.call("GET", faults)))
    elif kind == "ledger":
        output.print_json(http.expect_status(http.call("GET", f"{faults}/ledger")))
    elif kind == "clear":
        http.expect_status(http.call("DELETE", faults))
    else:
        body: dict[str, object] = {"kind": kind, "target": target[0] if target else "*"}
        if seconds is not None:
            body["seconds"] = seconds
        if amount is not None:
            body["amount"] = amount
        http.expect_status(http.call("POST", faults, msgspec.json.encode(body)))
    return exit_codes.SUCCESS
