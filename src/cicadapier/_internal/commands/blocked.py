"""Shows the prompt parts that crash upstreams and are blocked, or unblocks one."""

import urllib.parse

from cicadapier._internal.cli import exit_codes
from cicadapier._internal.cli import http
from cicadapier._internal.cli import output
from cicadapier._internal.commands import config


def run(
    *,
    lift: str = "",
    operator: str = config.DEFAULT_OPERATOR_URL,
    token: str = "",
    json: bool = False,
) -> int:
    """Shows the prompt parts that crash upstreams and are blocked, or unblocks one of them.

    All routers learn of an unblocked part from the one that is called.

    :param lift: Id of the part to unblock.
    :param operator: URL of a router's listener for operators.
    :param token: Operator token of the router.
    :param json: Print the output as JSON.
    """
    if lift:
        query = urllib.parse.urlencode({"part": lift})
        http.expect_status(http.call("POST", f"{operator}/blocked/lift?{query}", token=token))
        print(f"unblocked {lift}")
        return exit_codes.SUCCESS
    answer = http.expect_status(http.call("GET", f"{operator}/blocked", token=token))
    if json:
        output.print_json(answer)
        return exit_codes.SUCCESS
    output.print_table(
        ["part", "crashes", "last crash", "other parts ruled out"],
        [
            (
                blocked["part"],
                blocked["crashes"],
                f"{blocked['last_crash_s']:.0f} s ago",
                blocked["ruled_out"],
            )
            for blocked in answer["blocked"]
        ],
    )
    return exit_codes.SUCCESS
