"""Runs the command line."""

import sys

from cicadapier._internal.cli import main as cli


def main() -> None:
    """Exits with the command's status."""
    sys.exit(cli.main())


if __name__ == "__main__":
    main()
