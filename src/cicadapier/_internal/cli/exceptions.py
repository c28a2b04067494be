"""Exceptions of the command line."""


class CommandError(Exception):
    """A command failed; the message for the user states the cause."""
