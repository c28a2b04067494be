"""Makes client keys."""

import hashlib
import secrets

from cicadapier._internal.cli import exit_codes
from cicadapier._internal.cli import output

KEY_BYTES = 32


def new(*, json: bool = False) -> int:
    """Makes a client key and prints it with the hash for the configuration.

    :param json: Print JSON.
    """
    key = f"sk-{secrets.token_urlsafe(KEY_BYTES)}"
    digest = hashlib.sha256(key.encode()).hexdigest()
    if json:
        output.print_json({"key": key, "key_hash": digest})
    else:
        print(f"key       {key}")
        print(f"key_hash  {digest}")
        print("The key is shown this once; the configuration takes the hash.")
    return exit_codes.SUCCESS


SUBCOMMANDS = [new]
