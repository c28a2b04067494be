"""Random tokens that cannot be guessed, used as identifiers and nonces."""

import random
import secrets


class TokenSource:
    """Generates random tokens.

    Args:
        rng: Random generator, seeded in tests; defaults to the generator of the operating system.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or secrets.SystemRandom()

    def token_hex(self, size_bytes: int) -> str:
        """Returns `size_bytes` random bytes in hexadecimal."""
        return f"{self._rng.getrandbits(8 * size_bytes):0{2 * size_bytes}x}"
