"""Fuzz program over real sockets and in real time: `make fuzz-sockets SEED=`.

It is not part of the test suite, because its results depend on the timing of the machine. Faults
that it finds get a test in the suite.
"""

import collections
import random
import sys

import trio

from cicadapier._internal.cli import logs
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import transport
from cicadapier._internal.standins import faults
from cicadapier._internal.standins import world
from tests import fuzzing
from tests import support
from tests import test_fuzz

STEPS = 150
ROUTERS = 3
PARTITIONS = ("fenmoor-a|fenmoor-b", "fenmoor-b|platform", "fenmoor-c")


async def run_random_step(program: fuzzing.Program, rng: random.Random, index: int) -> None:
    """Runs one random step of the program."""
    router, choice = rng.randrange(ROUTERS), rng.random()
    if choice < 0.45:
        account = rng.choice(["editors", "poets", "proofs"])
        program.complete(router, account, f"{test_fuzz.PREFIX}q{index}", 20)
    elif choice < 0.68:
        key = f"k{index}" if choice < 0.6 else ""
        program.order(router, "catalogue", f"o{index}", key)
        if key and rng.random() < 0.5:
            program.order(rng.randrange(ROUTERS), "catalogue", f"o{index}", key)
    elif choice < 0.85:
        victim = rng.choice(test_fuzz._ENGINES + test_fuzz._DESKS)
        program.strike(rng.choice(test_fuzz._UPSTREAM_FAULTS), victim, rng.choice([0.5, 1, 3]))
    elif choice < 0.9:
        program.strike(rng.choice(test_fuzz._PLATFORM_FAULTS), faults.ANY, rng.choice([0.5, 2]))
    elif choice < 0.94:
        program.strike(faults.FaultKind.PARTITION, rng.choice(PARTITIONS), 2.0)
    elif choice < 0.96:
        await program.restart(router, graceful=False)
    else:
        program.patch(router, f"account-{index}", max(program.numbers.values(), default=1))


async def run(seed: int) -> list[str]:
    """Runs one program and returns the violations of guarantees."""
    rng = random.Random(seed)
    plan = world.Plan(support.SMALL_DEPLOYMENT, ROUTERS, seed, 0, support.SMALL_SPEC)
    world_ = world.World(plan, transport.TcpNetwork(), world.PeerTransports())
    async with trio.open_nursery() as world_nursery:
        await world_nursery.start(world_.run)
        await trio.sleep(1.5)
        async with trio.open_nursery() as nursery:
            program = fuzzing.Program(world_, nursery)
            for index in range(STEPS):
                await run_random_step(program, rng, index)
                program.check_config_numbers()
                await trio.sleep(rng.choice([0.02, 0.1, 0.25]))
            await fuzzing.settle(program)
            nursery.cancel_scope.cancel()
        outcomes = collections.Counter(
            (sent.kind, sent.reply.outcome if sent.reply else "none") for sent in program.sent
        )
        print(
            ", ".join(
                f"{kind} {outcome}: {count}" for (kind, outcome), count in sorted(outcomes.items())
            )
        )
        violations = fuzzing.find_violations(program)
        world_nursery.cancel_scope.cancel()
    return violations


def main() -> int:
    """Prints the violations and returns 1 if there are any."""
    logs.configure_stdout(settings.LogLevel.ERROR)
    violations = trio.run(run, int(sys.argv[1]) if len(sys.argv) > 1 else 0)
    print("\n".join(violations) or "no violations found")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
