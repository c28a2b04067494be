"""Explains on which upstream a prompt would be placed."""

import pathlib

import msgspec

from cicadapier._internal.cli import exit_codes
from cicadapier._internal.cli import http
from cicadapier._internal.cli import output
from cicadapier._internal.commands import config


def run(
    account: str,
    model: str,
    prompt_file: str,
    *,
    operator: str = config.DEFAULT_OPERATOR_URL,
    token: str = "",
    json: bool = False,
) -> int:
    """Shows the prefix blocks (pieces), candidates and choice for a prompt, without running it.

    :param account: Id of the client account.
    :param model: Id of the model.
    :param prompt_file: File with the text of the prompt.
    :param operator: URL of a router's listener for operators.
    :param token: Operator token of the router.
    :param json: Print the output as JSON.
    """
    prompt = pathlib.Path(prompt_file).read_text(encoding="utf-8")
    request_body = msgspec.json.encode({"account": account, "model": model, "prompt": prompt})
    explanation = http.expect_status(http.call("POST", f"{operator}/explain", request_body, token))
    if json:
        output.print_json(explanation)
        return exit_codes.SUCCESS
    print(f"pool {explanation['pool']}, {explanation['total_tokens']} tokens")
    for depth, piece in enumerate(explanation["pieces"]):
        print(f"  piece {depth}  {piece}")
    output.print_table(
        ["candidate", "cached", "imported", "queue", "prefill", "distance", "cost"],
        [
            (
                candidate["upstream"],
                candidate["cached_pieces"],
                candidate["imported_pieces"],
                _format_ms(candidate["queue_s"]),
                _format_ms(candidate["prefill_s"]),
                _format_ms(candidate["distance_s"]),
                _format_ms(candidate["cost_s"]),
            )
            for candidate in explanation["candidates"]
        ],
    )
    if explanation["blocked"]:
        print(f"refused: {explanation['blocked']}")
    print(f"choice: {explanation['chosen'] or 'none'} ({explanation['reason']})")
    return exit_codes.SUCCESS


def _format_ms(seconds: float) -> str:
    return f"{seconds * 1000:.1f} ms"
