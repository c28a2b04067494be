"""Weights versions as numbers."""

# Longer texts are no versions; Python refuses to convert very long ones.
MAX_DIGITS = 18


def number_of(version: str | None) -> int | None:
    """Returns a weights version as a number, or None if it is not known or no number."""
    if version is None or len(version) > MAX_DIGITS:
        return None
    return int(version) if version.isascii() and version.isdigit() else None
