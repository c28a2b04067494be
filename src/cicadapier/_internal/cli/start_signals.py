"""Holds signals back while a command imports its libraries and starts.

It is imported before all else, so it imports nothing large itself.
"""

import signal

_RELOAD_COMMAND = "serve"


def hold_reloads(args: list[str]) -> None:
    """Holds SIGHUP back, which would end a router that has not set its handler yet.

    Args:
        args: Arguments of the command line. Other commands end with their terminal.
    """
    if args and args[0] == _RELOAD_COMMAND:
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def release_reloads() -> None:
    """Delivers a SIGHUP that was held back, and later ones at once."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
