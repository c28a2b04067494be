"""Shared parts of the command line: argument dispatch, HTTP calls, output, logging, exit codes."""
