"""Entry point of the command line, which looks up the command and runs it."""

import importlib
import sys

import defopt

import cicadapier
from cicadapier._internal.cli import exceptions
from cicadapier._internal.cli import exit_codes
from cicadapier._internal.commands import registry
from cicadapier._internal.models import exceptions as model_exceptions


def main(argv: list[str] | None = None) -> int:
    """Runs a command and returns its exit code."""
    args = sys.argv[1:] if argv is None else argv
    if not args or args[0] in ("-h", "--help", "help"):
        print(_format_overview())
        return exit_codes.SUCCESS if args else exit_codes.USAGE_ERROR
    if args[0] in ("-V", "--version"):
        print(f"cicadapier {cicadapier.__version__}")
        return exit_codes.SUCCESS
    command = registry.COMMANDS.get(args[0])
    if command is None:
        print(f"cicadapier: unknown command {args[0]!r}; see cicadapier --help", file=sys.stderr)
        return exit_codes.USAGE_ERROR
    return _run_command(command, args[1:])


def _run_command(command: registry.Command, args: list[str]) -> int:
    # Only the module of this command is imported, because importing the libraries of the other
    # commands would slow down startup.
    module = importlib.import_module(f"cicadapier._internal.commands.{command.module}")
    entry_point = getattr(module, "SUBCOMMANDS", None) or module.run
    try:
        exit_code = defopt.run(
            entry_point,
            argv=args,
            cli_options="has_default",
            argparse_kwargs={"prog": f"cicadapier {command.name}"},
        )
    except SystemExit as exc:
        return exc.code if isinstance(exc.code, int) else exit_codes.FAILURE
    except (exceptions.CommandError, model_exceptions.InvalidDocumentError) as exc:
        print(f"cicadapier {command.name}: {exc}", file=sys.stderr)
        return exit_codes.FAILURE
    except KeyboardInterrupt:
        return exit_codes.FAILURE
    except OSError as exc:
        print(f"cicadapier {command.name}: {exc}", file=sys.stderr)
        return exit_codes.FAILURE
    return exit_code if isinstance(exit_code, int) else exit_codes.SUCCESS


def _format_overview() -> str:
    lines = ["usage: cicadapier COMMAND ...", "", "commands:"]
    width = max(len(name) for name in registry.COMMANDS)
    lines += [
        f"  {name.ljust(width)}  {command.summary}" for name, command in registry.COMMANDS.items()
    ]
    lines += ["", "Run 'cicadapier COMMAND --help' for the options of a command."]
    return "\n".join(lines)
