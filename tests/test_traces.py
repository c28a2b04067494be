"""Replays recorded traces and checks their outcomes and the guarantees of the fuzz oracle."""

import pathlib
import unittest

import trio
import yaml

from cicadapier._internal.standins import faults
from tests import fuzzing
from tests import support

TRACES_DIRECTORY = pathlib.Path(__file__).parent / "traces"
SHARED_PREFIX = "the style sheet asks for plain lines. " * 12


def _run_step(program, step, requests):
    """Runs one step of a trace; returns an awaitable if the step takes time, else None."""
    action = step["do"]
    if action == "complete":
        text = SHARED_PREFIX + step["text"]
        program.complete(step["router"], step["account"], text, step["tokens"])
        requests[step["id"]] = program.sent[-1]
    elif action == "order":
        program.order(step["router"], "catalogue", step["text"], step["key"])
        requests[step["id"]] = program.sent[-1]
    elif action == "strike":
        kind = faults.FaultKind(step["kind"])
        target = step.get("target", faults.ANY)
        if kind is faults.FaultKind.LEAVING:
            program.strike(kind, target, step.get("seconds", 1e6))
        else:
            program.world.inject(kind, target, step.get("seconds", 1e6), step.get("amount"))
    elif action == "clear":
        program.world.active_faults.clear()
    elif action == "restart":
        return program.restart(step["router"], step.get("graceful", False))
    elif action == "patch":
        number = max(program.numbers.values(), default=1)
        program.patch(step["router"], step["id"], number)
    elif action == "weights":
        return program.set_weights_version(step["router"], step["version"])
    return None


def run_trace(trace):
    """Runs a trace and returns the program, its requests by id and the violations found."""
    requests = {}

    async def main():
        world = support.make_world(support.SMALL_DEPLOYMENT, routers=3)
        async with trio.open_nursery() as world_nursery:
            await world_nursery.start(world.run)
            await trio.sleep(2.0)
            started_at = trio.current_time()
            async with trio.open_nursery() as nursery:
                program = fuzzing.Program(world, nursery)
                for step in trace["steps"]:
                    await trio.sleep_until(started_at + step["at"])
                    program.check_config_numbers()
                    pending = _run_step(program, step, requests)
                    if pending is not None:
                        await pending
                await trio.sleep(1.0)
                await fuzzing.settle(program)
                nursery.cancel_scope.cancel()
            violations = fuzzing.find_violations(program)
            world_nursery.cancel_scope.cancel()
        return program, violations

    program, violations = support.run(main)
    return program, requests, violations


class TracesTest(unittest.TestCase):
    def _check(self, path):
        trace = yaml.safe_load(path.read_text())
        program, requests, violations = run_trace(trace)
        self.assertEqual(violations, [])
        for request, allowed in trace["outcomes"].items():
            reply = requests[request].reply
            self.assertIn(reply.outcome, allowed, (request, reply.status, reply.body[-300:]))
        for text, count in trace.get("runs", {}).items():
            self.assertEqual(program.world.ledger.count_starts(text.encode()), count)
        for text, maximum in trace.get("runs_at_most", {}).items():
            self.assertLessEqual(program.world.ledger.count_starts(text.encode()), maximum)
        for patch in program.patches:
            self.assertIn(patch.status, trace["patches"][patch.name])
        if "crashes_at_most" in trace:
            crashed = {
                entry.incarnation
                for entry in program.world.ledger.entries
                if entry.event.value == "crashed"
            }
            self.assertLessEqual(len(crashed), trace["crashes_at_most"])
        if "weights" in trace:
            versions = {
                upstream.versions["quill-verse"]
                for name, upstream in program.world.upstreams.items()
                if name.startswith("quill")
            }
            self.assertEqual(versions, {trace["weights"]})


def _add_test(path):
    setattr(TracesTest, f"test_{path.stem}", lambda self: self._check(path))


for _path in sorted(TRACES_DIRECTORY.glob("*.yaml")):
    _add_test(_path)


if __name__ == "__main__":
    unittest.main()
