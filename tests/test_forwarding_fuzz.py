"""Stateful fuzz test of forwarding routers, with faults of the store and the upstreams."""

import os
import types
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import trio

from cicadapier._internal.standins import forwarding_deployment
from cicadapier._internal.standins import forwarding_store
from cicadapier._internal.standins import forwarding_upstream
from cicadapier._internal.standins import router_links
from tests import forwarding_fuzzing
from tests import forwarding_oracle
from tests import forwarding_world
from tests import fuzz_seed
from tests import support

ROUTERS = 3
ENGINES = 4
EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "8"))
STEPS = int(os.environ.get("FUZZ_STEPS", "14"))
PHASES = [hypothesis.Phase.explicit, hypothesis.Phase.generate]
if os.environ.get("FUZZ_SHRINK"):
    PHASES.append(hypothesis.Phase.shrink)

_ROUTER = st.integers(0, ROUTERS - 1)
_SECONDS = st.sampled_from([0.5, 2.0, 6.0])
_ENGINES = [f"engine-{i}" for i in range(ENGINES)]
_DESKS = ["desk-0", "desk-1"]
_UPSTREAMS = _ENGINES + _DESKS
# Upstreams to which the links of a router are cut; None for all.
_CUT_UPSTREAMS = [None, None, _ENGINES, _DESKS, ["engine-0", "engine-1", "desk-0"]]
_DIRECTIONS = [
    router_links.Direction.BOTH,
    router_links.Direction.BOTH,
    router_links.Direction.TO_UPSTREAM,
    router_links.Direction.FROM_UPSTREAM,
]


class ChangingMachine(stateful.RuleBasedStateMachine):
    """Planned changes without failures; upstreams may only pause, slow down or limit their rate.

    The rules only record the steps of a program. The program runs on a simulated clock when the
    machine ends.
    """

    def __init__(self):
        super().__init__()
        self.steps = []

    @stateful.initialize(
        first_event=st.sampled_from([0, 1, 7]), steps=st.sampled_from([(1,), (3,), (1, 1, 4, 2)])
    )
    def number_from(self, first_event, steps):
        self.steps.append(lambda program: program.world.number_from(first_event, steps))

    @stateful.rule(
        router=_ROUTER,
        route=st.sampled_from(["look", "order", "ask", "ask", "long", "long"]),
        key=st.sampled_from(["key-1", "key-2"]),
        part=st.sampled_from("abc"),
        count=st.integers(1, 12),
    )
    def send(self, router, route, key, part, count):
        for _ in range(count):
            self.steps.append(lambda program: program.send(router, route, key, part))

    @stateful.rule(seconds=_SECONDS)
    def pause_engines(self, seconds):
        self.steps.append(lambda program: program.pause_engines(seconds))

    @stateful.rule(event_s=st.sampled_from([0.01, 0.1, 0.3]))
    def slow_down(self, event_s):
        self.steps.append(lambda program: program.set_event_interval(event_s))

    @stateful.rule(slack=st.sampled_from([0.0, 4.0, 8.0]))
    def limit_repeats(self, slack):
        self.steps.append(lambda program: program.set_retry_slack(slack))

    @stateful.rule(name=st.sampled_from(list(forwarding_fuzzing.CONFIGURATION_CHANGES)))
    def change(self, name):
        self.steps.append(lambda program: program.change_configuration(name))

    @stateful.rule(
        router=_ROUTER,
        slack=st.sampled_from([4.0, 8.0]),
        count=st.integers(3, 12),
        name=st.sampled_from(list(forwarding_fuzzing.CONFIGURATION_CHANGES)),
        after_s=st.sampled_from([0.1, 0.5, 0.7]),
    )
    def change_amid_pauses(self, router, slack, count, name, after_s):
        self.limit_repeats(slack)
        self.pause_engines(2.0)
        self.send(router, "ask", "key-1", "a", count)
        self.wait(after_s)
        self.change(name)
        self.wait(0.5)

    @stateful.rule(
        name=st.sampled_from(_UPSTREAMS),
        per_s=st.sampled_from([0.0, 0.5, 2.0, 6.0]),
        seconds=st.sampled_from([2.0, 8.0, 14.0]),
    )
    def limit_upstream(self, name, per_s, seconds):
        self.steps.append(lambda program: program.limit_upstream(name, per_s, seconds))

    @stateful.rule(
        router=_ROUTER,
        route=st.sampled_from(["look", "ask"]),
        per_s=st.sampled_from([5, 15]),
        seconds=st.sampled_from([2, 6]),
    )
    def send_steadily(self, router, route, per_s, seconds):
        self.steps.append(lambda p: p.send_steadily(router, route, per_s, seconds))

    @stateful.rule()
    def name_weights(self):
        self.steps.append(lambda program: program.raise_target_version())

    @stateful.rule(key=st.sampled_from(["key-1", "key-2"]))
    def revoke(self, key):
        self.steps.append(lambda program: program.revoke_key(key))

    @stateful.rule(seconds=st.sampled_from([0.03, 0.1, 0.5, 2.0, 5.0]))
    def wait(self, seconds):
        self.steps.append(lambda program: trio.sleep(seconds))

    @stateful.rule(
        kind=st.sampled_from(["servers", "versions", "cicadapier-routers"]),
        name=st.sampled_from(["a", "odd", "router-odd", "zz"]),
        content=st.sampled_from(forwarding_fuzzing.ODD_CONTENTS),
    )
    def write_oddly(self, kind, name, content):
        self.steps.append(lambda program: program.world.store.put_raw(kind, name, content))

    def teardown(self):
        if self.steps:
            violations = run_program(self.steps)
            assert not violations, "\n".join(violations)


class ForwardingMachine(ChangingMachine):
    """Planned changes together with failures of the store, the upstreams and the routers."""

    @stateful.rule(fault=st.sampled_from(list(forwarding_store.StoreFault)), seconds=_SECONDS)
    def strike_store(self, fault, seconds):
        self.steps.append(lambda p: p.inject_store_fault(p.world.store.faults, fault, seconds))

    @stateful.rule(
        router=_ROUTER, fault=st.sampled_from(list(forwarding_store.StoreFault)), seconds=_SECONDS
    )
    def strike_door(self, router, fault, seconds):
        self.steps.append(
            lambda p: p.inject_store_fault(p.world.store_endpoints[router].faults, fault, seconds)
        )

    @stateful.rule(
        name=st.sampled_from(_UPSTREAMS),
        fault=st.sampled_from(list(forwarding_upstream.UpstreamFault)),
        seconds=_SECONDS,
    )
    def strike_upstream(self, name, fault, seconds):
        self.steps.append(lambda p: p.inject_upstream_fault(name, fault, seconds))

    @stateful.rule(
        router=_ROUTER,
        fault=st.sampled_from(list(router_links.LinkFault)),
        names=st.sampled_from(_CUT_UPSTREAMS),
        direction=st.sampled_from(_DIRECTIONS),
        seconds=_SECONDS,
    )
    def cut_links(self, router, fault, names, direction, seconds):
        self.steps.append(lambda p: p.cut_links(router, fault, names, direction, seconds))

    @stateful.rule(
        router=_ROUTER,
        other=_ROUTER,
        after_s=st.sampled_from([0.5, 4.0, 5.8]),
        seconds=st.sampled_from([6.0, 9.0]),
    )
    def name_weights_amid_cuts(self, router, other, after_s, seconds):
        """Cuts off a router as weights are named, and another one as the engines' weights age."""
        hang = router_links.LinkFault.HANG
        both = router_links.Direction.BOTH
        self.cut_links(router, hang, None, both, seconds)
        self.name_weights()
        self.send_steadily(other, "ask", 15, 10)
        self.wait(after_s)
        self.cut_links(other, hang, _ENGINES, both, seconds - after_s)
        self.wait(5.0)

    @stateful.rule()
    def forget_history(self):
        self.steps.append(lambda program: program.world.store.drop_history())

    @stateful.rule(
        away_s=st.sampled_from([0.0, 0.5, 1.5]),
        age_s=st.sampled_from([0.3, 1.0, 2.0]),
        repeat_after_s=st.sampled_from([0.0, 1.0]),
    )
    def restore_store(self, away_s, age_s, repeat_after_s):
        self.steps.append(lambda program: program.restore_store(away_s, age_s, repeat_after_s))

    @stateful.rule(
        router=_ROUTER,
        key=st.sampled_from(["key-1", "key-2"]),
        away_s=st.sampled_from([0.0, 1.5]),
        part=st.sampled_from("abc"),
        writes=st.sampled_from([0, 4, 12]),
    )
    def restore_amid_orders(self, router, key, away_s, part, writes):
        """Restores the store as a holder renews its lease, and takes a key away at once.

        Further writes give out the revisions again that the routers know.
        """
        self.name_weights()
        self.wait(2.0)
        self.restore_store(away_s, 2.0, 0.0)
        self.revoke(key)
        self.steps.append(lambda program: program.write_elsewhere(writes))
        self.wait(5.0)
        self.wait(0.1)
        for route in ("look", "ask"):
            self.send(router, route, key, part, 3)

    @stateful.rule(name=st.sampled_from(_UPSTREAMS[:2]))
    def crash(self, name):
        self.steps.append(lambda program: program.crash_upstream(name))

    @stateful.rule(router=_ROUTER, graceful=st.booleans())
    def restart(self, router, graceful):
        self.steps.append(lambda program: program.restart_router(router, graceful))


def run_program(steps):
    """Runs steps in a new world and returns the violated guarantees."""
    violations = []

    async def main():
        world = forwarding_world.World()
        world.pools[forwarding_fuzzing.SPARE] = forwarding_deployment.engine_pool()
        async with trio.open_nursery() as world_nursery:
            await world.start(world_nursery, routers=ROUTERS, engines=ENGINES)
            await world.add_upstream(
                "spare-0", forwarding_fuzzing.SPARE, forwarding_deployment.MODEL
            )
            await trio.sleep(forwarding_world.SETTLE_S)
            async with trio.open_nursery() as nursery:
                program = forwarding_fuzzing.Program(world, nursery)
                for step in steps:
                    result = step(program)
                    if result is not None:
                        await result
            await forwarding_fuzzing.settle(program)
            violations.extend(forwarding_oracle.find_violations(program))
            world_nursery.cancel_scope.cancel()

    support.run(main)
    return violations


def _test_case(machine):
    if fuzz_seed.SEED:
        fuzz_seed.apply(machine, fuzz_seed.SEED)
    machine.TestCase.settings = hypothesis.settings(
        max_examples=EXAMPLES,
        stateful_step_count=STEPS,
        deadline=None,
        database=None,
        derandomize=not fuzz_seed.SEED,
        phases=PHASES,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    return machine.TestCase


class RestoredStoreTest(unittest.TestCase):
    """A program of the fuzz in which revisions that routers know are given out again."""

    def test_nothing_is_violated_after_a_restore_amid_orders(self):
        for writes in (4, 8, 12):
            with self.subTest(writes):
                machine = ForwardingMachine()
                machine.restore_amid_orders(1, "key-2", 1.5, "b", writes)
                self.assertEqual(run_program(machine.steps), [])


class LimitedEngineTest(unittest.TestCase):
    """Programs of the fuzz in which an engine that gets no requests lets nothing through."""

    def test_engine_loads_new_weights_once_its_limit_of_0_is_over(self):
        for first in (ChangingMachine.name_weights, None):
            machine = ChangingMachine()
            if first:
                first(machine)
            machine.limit_upstream("engine-0", 0.0, 2.0)
            if not first:
                machine.name_weights()
            with self.subTest(limit_first=not first):
                self.assertEqual(run_program(machine.steps), [])


class LeavingEngineTest(unittest.TestCase):
    """Programs of the fuzz in which an engine announces its withdrawal and stays registered."""

    def test_engine_that_leaves_as_weights_are_named_may_keep_its_weights(self):
        machine = ForwardingMachine()
        leaving = forwarding_upstream.UpstreamFault.SAYS_LEAVING
        machine.strike_upstream("engine-1", leaving, 2.0)
        machine.change_amid_pauses(2, 8.0, 4, "drop", 0.5)
        machine.name_weights()
        self.assertEqual(run_program(machine.steps), [])

    def test_engine_on_old_weights_is_a_violation_unless_all_routers_know_that_it_leaves(self):
        for has_said_leaving, seen_leaving, expected in [
            (True, (True, True), 0),
            (True, (True, False), 1),
            (False, (True, True), 1),
        ]:
            with self.subTest(has_said_leaving=has_said_leaving, seen_leaving=seen_leaving):
                program = _program_with_old_engine(has_said_leaving, seen_leaving)
                violations = forwarding_oracle._check_final_weights(program)
                self.assertEqual(len(violations), expected)


def _program_with_old_engine(has_said_leaving, seen_leaving):
    """Returns a program that ended with an engine on old weights.

    Args:
        has_said_leaving: Whether the engine has announced its withdrawal.
        seen_leaving: For each router, whether it takes the engine for leaving.
    """
    entry = types.SimpleNamespace(upstream="engine-0", pool=forwarding_deployment.ENGINES)
    engine = types.SimpleNamespace(entry=entry, weights=1, has_said_leaving=has_said_leaving)
    world = mock.Mock(upstreams={"engine-0": engine}, routers={})
    for index, leaving in enumerate(seen_leaving):
        world.routers[index] = mock.Mock()
        world.routers[index].kernel.find.return_value.find.return_value.leaving = leaving
    return types.SimpleNamespace(world=world, target_version=2)


ChangingTest = _test_case(ChangingMachine)
ForwardingTest = _test_case(ForwardingMachine)


if __name__ == "__main__":
    unittest.main()
