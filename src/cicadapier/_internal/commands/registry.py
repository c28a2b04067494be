"""The one table of commands; modules are imported when their command runs."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """One command.

    Attributes:
        name: What the user types.
        module: Module of this package with `run`, or with `SUBCOMMANDS`.
        summary: One line for the overview.
    """

    name: str
    module: str
    summary: str


_ALL_COMMANDS = (
    Command("serve", "serve", "run one router"),
    Command("demo", "demo", "run routers and stand-ins on loopback"),
    Command("fault", "fault", "put a fault into a running demo"),
    Command("config", "config", "show, check, compare, patch the configuration"),
    Command("status", "status", "show routers, upstreams, pools and accounts"),
    Command("explain", "explain", "show how a prompt would be placed, without running it"),
    Command("keys", "keys", "make client keys"),
    Command("trace", "trace", "make traces of requests"),
    Command("replay", "replay", "replay a trace with one or more policies"),
    Command("targets", "targets", "measure every target over several seeds"),
    Command("slopes", "slopes", "measure how state and cost grow with size"),
    Command("soak", "soak", "measure a router's memory over many requests"),
    Command("bench", "bench", "measure what a router adds to a request"),
)

COMMANDS = {command.name: command for command in _ALL_COMMANDS}
