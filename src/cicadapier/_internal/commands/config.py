"""Commands that show, check, compare and patch the configuration."""

import getpass
from typing import Any
import urllib.parse

import msgspec
import yaml

from cicadapier._internal.cli import exceptions
from cicadapier._internal.cli import exit_codes
from cicadapier._internal.cli import http
from cicadapier._internal.cli import output
from cicadapier._internal.decisions import patches
from cicadapier._internal.models import configuration_parser
from cicadapier._internal.models import documents
from cicadapier._internal.models import exceptions as model_exceptions
from cicadapier._internal.models import schema

DEFAULT_OPERATOR_URL = "http://127.0.0.1:8081"


def show(*, operator: str = DEFAULT_OPERATOR_URL, token: str = "", json: bool = False) -> int:
    """Prints the configuration in force as YAML, with its number in a comment.

    :param operator: URL of a router's listener for operators.
    :param token: Operator token of the router.
    :param json: Print the output as JSON.
    """
    body = http.expect_status(http.call("GET", f"{operator}/config", token=token))
    if json:
        output.print_json(body)
    else:
        print(f"# number {body['number']}")
        print(yaml.safe_dump(body["document"], sort_keys=False, allow_unicode=True), end="")
    return exit_codes.SUCCESS


def check(file: str) -> int:
    """Checks a configuration file without a router and prints each fault with its line and path.

    :param file: Complete configuration (YAML).
    """
    document = documents.read(file)
    try:
        value = configuration_parser.parse(document.value)
    except model_exceptions.InvalidDocumentError as exc:
        located_error = document.add_lines(exc)
        message = "\n  ".join(fault.describe(file) for fault in located_error.faults)
        raise exceptions.CommandError(f"{len(located_error.faults)} faults\n  {message}") from exc
    print(f"valid: {len(value.accounts)} accounts, {len(value.pools)} pools")
    return exit_codes.SUCCESS


def diff(file: str, *, operator: str = DEFAULT_OPERATOR_URL, token: str = "") -> int:
    """Prints the patch that turns the configuration in force into that of a file.

    :param file: Complete configuration (YAML).
    :param operator: URL of a router's listener for operators.
    :param token: Operator token of the router.
    """
    declared: Any = schema.to_plain(configuration_parser.parse(documents.read(file).value))
    body = http.expect_status(http.call("GET", f"{operator}/config", token=token))
    current = schema.to_plain(configuration_parser.parse(body["document"]))
    patch = patches.difference(current, declared)
    print(f"# against number {body['number']}")
    print(yaml.safe_dump(patch, sort_keys=False, allow_unicode=True), end="")
    return exit_codes.SUCCESS


def patch(
    file: str,
    *,
    version: int,
    operator: str = DEFAULT_OPERATOR_URL,
    token: str = "",
    author: str = "",
) -> int:
    """Submits a merge patch (RFC 7396) to a numbered version of the configuration.

    :param file: Patch (YAML).
    :param version: Number of the configuration that the patch was written against.
    :param operator: URL of a router's listener for operators.
    :param token: Operator token of the router.
    :param author: Author recorded in the history; the current user by default.
    """
    patch_document = documents.read(file).value
    query = urllib.parse.urlencode({"version": version, "author": author or getpass.getuser()})
    url = f"{operator}/config/patch?{query}"
    response = http.call("POST", url, msgspec.json.encode(patch_document), token)
    if response.status != 200:
        raise exceptions.CommandError(_describe_refusal(response))
    print(f"accepted as number {response.body['number']}")
    return exit_codes.SUCCESS


def history(*, operator: str = DEFAULT_OPERATOR_URL, token: str = "", json: bool = False) -> int:
    """Prints the author and the changed paths of the recorded changes.

    :param operator: URL of a router's listener for operators.
    :param token: Operator token of the router.
    :param json: Print the output as JSON.
    """
    body = http.expect_status(http.call("GET", f"{operator}/config/history", token=token))
    if json:
        output.print_json(body)
        return exit_codes.SUCCESS
    rows = [
        (change["number"], change["author"], ", ".join(change["paths"]))
        for change in body["changes"]
    ]
    output.print_table(["number", "author", "changed"], rows)
    return exit_codes.SUCCESS


def _describe_refusal(response: http.Response) -> str:
    error = response.body.get("error", {}) if isinstance(response.body, dict) else {}
    lines = [response.message or f"unexpected HTTP status {response.status}"]
    for change in error.get("changes", []):
        lines.append(f"{change['number']} by {change['author']}: {', '.join(change['paths'])}")
    if error.get("faults"):
        lines = [f"{len(error['faults'])} faults"]
        lines += [f"{fault['path']}: {fault['expected']}" for fault in error["faults"]]
    return "\n  ".join(lines)


SUBCOMMANDS = [show, check, diff, patch, history]
