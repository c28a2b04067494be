"""Entry point of `python -m cicadapier`."""

import importlib
import sys

from cicadapier._internal.cli import start_signals


def main() -> None:
    """Runs the command line and exits with its status."""
    start_signals.hold_reloads(sys.argv[1:])
    cli = importlib.import_module("cicadapier._internal.cli.main")
    sys.exit(cli.main())


if __name__ == "__main__":
    main()
