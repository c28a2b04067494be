"""Entry point of `python -m cicadapier`."""

import sys

from cicadapier._internal.cli import main as cli


def main() -> None:
    """Runs the command line and exits with its status."""
    sys.exit(cli.main())


if __name__ == "__main__":
    main()
