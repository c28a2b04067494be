"""Injects faults into a running demo."""

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
    """Injects a fault into a running demo, or lists or clears its faults.

    :param kind: Kind of fault; "list" shows all kinds and the active faults, "clear" ends all
        faults, "ledger" shows the requests that the upstreams ran.
    :param target: What the fault affects, at most one; everything by default.
    :param faults: URL of the fault server, which the demo prints.
    :param seconds: Duration of the fault; by default it lasts until it is cleared.
    :param amount: Strength of the fault, in the unit of its kind.
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
