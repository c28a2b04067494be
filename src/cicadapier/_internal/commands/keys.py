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
    key_hash = hashlib.sha256(key.encode()).hexdigest()
    if json:
        output.print_json({"key": key, "key_hash": key_hash})
    else:
        print(f"key       {key}")
        print(f"key_hash  {key_hash}")
        print("The key is shown this once; the configuration takes the hash.")
    return exit_codes.SUCCESS


SUBCOMMANDS = [new]
