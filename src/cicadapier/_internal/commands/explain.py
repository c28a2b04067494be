"""Shows how a prompt would be placed."""

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
    operator: str = config.OPERATOR,
    token: str = "",
    json: bool = False,
) -> int:
    """Shows pieces, candidates and choice for a prompt, without running it.

    :param account: Client account.
    :param model: Model.
    :param prompt_file: File with the prompt's text.
    :param operator: URL of a router's operators' listener.
    :param token: Operators' credential.
    :param json: Print JSON.
    """
    prompt = pathlib.Path(prompt_file).read_text(encoding="utf-8")
    question = msgspec.json.encode({"account": account, "model": model, "prompt": prompt})
    answer = http.expect_status(http.call("POST", f"{operator}/explain", question, token))
    if json:
        output.print_json(answer)
        return exit_codes.SUCCESS
    print(f"pool {answer['pool']}, {answer['total_tokens']} tokens")
    for depth, piece in enumerate(answer["pieces"]):
        print(f"  piece {depth}  {piece}")
    output.print_table(
        ["candidate", "cached", "imported", "queue", "prefill", "distance", "cost"],
        [
            (
                c["upstream"],
                c["cached_pieces"],
                c["imported_pieces"],
                _ms(c["queue_s"]),
                _ms(c["prefill_s"]),
                _ms(c["distance_s"]),
                _ms(c["cost_s"]),
            )
            for c in answer["candidates"]
        ],
    )
    print(f"choice: {answer['chosen'] or 'none'} ({answer['reason']})")
    return exit_codes.SUCCESS


def _ms(seconds: float) -> str:
    return f"{seconds * 1000:.1f} ms"
