"""Generates API keys."""

import hashlib
import secrets

from cicadapier._internal.cli import exit_codes
from cicadapier._internal.cli import output

KEY_BYTES = 32


def new(*, json: bool = False) -> int:
    """Generates an API key for a client account and prints it with its hash for the configuration.

    :param json: Print the output as JSON.
    """
    key = f"sk-{secrets.token_urlsafe(KEY_BYTES)}"
    key_hash = hashlib.sha256(key.encode()).hexdigest()
    if json:
        output.print_json({"key": key, "key_hash": key_hash})
    else:
        print(f"key       {key}")
        print(f"key_hash  {key_hash}")
        print("The key cannot be shown again; put its hash into the configuration.")
    return exit_codes.SUCCESS


SUBCOMMANDS = [new]
