"""Shows the state of routers, upstreams and client accounts."""

import collections.abc
from typing import Any

from cicadapier._internal.cli import exceptions
from cicadapier._internal.cli import exit_codes
from cicadapier._internal.cli import http
from cicadapier._internal.cli import output
from cicadapier._internal.commands import config


def run(
    *,
    operator: collections.abc.Sequence[str] = (config.DEFAULT_OPERATOR_URL,),
    token: str = "",
    json: bool = False,
) -> int:
    """Shows routers, upstreams, pools and accounts, and the configuration number in force.

    :param operator: URLs of the routers' listeners for operators.
    :param token: Operator token of the routers.
    :param json: Print the output as JSON.
    """
    statuses: list[Any] = []
    errors: list[str] = []
    for url in operator:
        try:
            statuses.append(http.expect_status(http.call("GET", f"{url}/status", token=token)))
        except exceptions.CommandError as exc:
            errors.append(str(exc))
    if json:
        output.print_json({"routers": statuses, "unreachable": errors})
    else:
        _print_statuses(statuses, errors)
    return exit_codes.FAILURE if errors else exit_codes.SUCCESS


def _print_statuses(statuses: list[Any], errors: list[str]) -> None:
    output.print_table(
        ["router", "failure domain", "configuration", "valid keys", "platform", "peers", "active"],
        [
            (
                router["vm"],
                router["failure_domain"],
                router["configuration_number"],
                # A router of the build before does not tell.
                router.get("valid_keys", "-"),
                "reachable" if router["platform_reachable"] else "unreachable",
                ",".join(router["peers"]) or "-",
                router["active_requests"],
            )
            for router in statuses
        ],
    )
    for error in errors:
        print(error)
    if not statuses:
        return
    print()
    _print_upstreams(statuses[0])
    print()
    output.print_table(
        ["account", "class", "weight", "requests/s", "tokens/s", "streams"],
        [
            (
                name,
                account["class"],
                account["weight"],
                account["limits"]["requests_per_s"],
                account["limits"]["tokens_per_s"],
                account["limits"]["streams"],
            )
            for name, account in statuses[0]["accounts"].items()
        ],
    )


def _print_upstreams(router: Any) -> None:
    output.print_table(
        ["pool", "upstream", "failure domain", "state", "running", "backlog tokens", "pieces"],
        [
            (
                upstream["pool"],
                upstream["upstream"],
                upstream["failure_domain"],
                upstream["state"],
                upstream["running"],
                round(upstream["backlog_tokens"]),
                upstream["cached_pieces"],
            )
            for upstream in router["upstreams"]
        ],
    )
