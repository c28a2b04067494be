"""Errors that end a command."""


class CommandError(Exception):
    """The command failed; the message tells the user why and what to do."""
