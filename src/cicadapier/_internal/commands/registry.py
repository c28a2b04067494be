"""Registry of the commands; the module of a command is imported only when the command runs."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """Command of the command line.

    Attributes:
        name: Name of the command on the command line.
        module: Name of the module in this package that defines `run` or `SUBCOMMANDS`.
        summary: Description in the overview, on one line.
    """

    name: str
    module: str
    summary: str


_ALL_COMMANDS = (
    Command("serve", "serve", "run one router"),
    Command("demo", "demo", "run routers and stand-ins on the loopback interface"),
    Command("fault", "fault", "inject a fault into a running demo"),
    Command("config", "config", "show, check, compare or patch the configuration"),
    Command("status", "status", "show routers, upstreams, pools and accounts"),
    Command("explain", "explain", "show how a prompt would be placed, without running it"),
    Command("blocked", "blocked", "show or unblock the prompt parts that crash upstreams"),
    Command("keys", "keys", "generate API keys for client accounts"),
    Command("trace", "trace", "generate request traces"),
    Command("replay", "replay", "replay a trace with one or more routing policies"),
    Command("targets", "targets", "measure every target over several seeds"),
    Command("slopes", "slopes", "measure how memory and processor time grow with size"),
    Command("soak", "soak", "measure the memory growth of a router over many requests"),
    Command("bench", "bench", "measure the overhead that a router adds to a request"),
)

COMMANDS = {command.name: command for command in _ALL_COMMANDS}
