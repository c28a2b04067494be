"""Unguessable identifiers."""

import random
import secrets


class TokenSource:
    """Makes identifiers that nobody can guess; tests pass a seeded generator."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or secrets.SystemRandom()

    def token_hex(self, size_bytes: int) -> str:
        """Returns a random token as twice as many hexadecimal digits."""
        return f"{self._rng.getrandbits(8 * size_bytes):0{2 * size_bytes}x}"
