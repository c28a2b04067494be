"""Shows the state of routers and upstreams."""

import collections.abc
from typing import Any

from cicadapier._internal.cli import exceptions
from cicadapier._internal.cli import exit_codes
from cicadapier._internal.cli import http
from cicadapier._internal.cli import output
from cicadapier._internal.commands import config


def run(
    *,
    operator: collections.abc.Sequence[str] = (config.OPERATOR,),
    token: str = "",
    json: bool = False,
) -> int:
    """Shows routers, upstreams, pools and accounts, and the configuration number in force.

    :param operator: URLs of the routers' operators' listeners.
    :param token: Operators' credential.
    :param json: Print JSON.
    """
    found: list[Any] = []
    silent: list[str] = []
    for url in operator:
        try:
            found.append(http.expect_status(http.call("GET", f"{url}/status", token=token)))
        except exceptions.CommandError as exc:
            silent.append(str(exc))
    if json:
        output.print_json({"routers": found, "unreachable": silent})
    else:
        _print(found, silent)
    return exit_codes.FAILURE if silent else exit_codes.SUCCESS


def _print(found: list[Any], silent: list[str]) -> None:
    output.print_table(
        ["router", "failure domain", "configuration", "platform", "peers", "active"],
        [
            (
                r["vm"],
                r["failure_domain"],
                r["configuration_number"],
                "reachable" if r["platform_reachable"] else "unreachable",
                ",".join(r["peers"]) or "-",
                r["active_requests"],
            )
            for r in found
        ],
    )
    for line in silent:
        print(line)
    if not found:
        return
    print()
    _print_upstreams(found[0])
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
            for name, account in found[0]["accounts"].items()
        ],
    )


def _print_upstreams(router: Any) -> None:
    output.print_table(
        ["pool", "upstream", "failure domain", "state", "running", "backlog tokens", "pieces"],
        [
            (
                u["pool"],
                u["upstream"],
                u["failure_domain"],
                u["state"],
                u["running"],
                round(u["backlog_tokens"]),
                u["cached_pieces"],
            )
            for u in router["upstreams"]
        ],
    )
