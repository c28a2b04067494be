"""Tests that an answer without progress is given up only for another run that replaces it."""

import unittest

import trio

from cicadapier._internal.models import settings
from cicadapier._internal.standins import forwarding_deployment
from cicadapier._internal.standins import forwarding_upstream
from tests import forwarding_world

Fault = forwarding_upstream.UpstreamFault
ALL_EVENTS = [1, 2, 3, 4, 5, 6]
BACKED_UP_STREAM = {"path": "/long/x", "output_tokens": 200}


async def ask_many(world, count):
    """Returns the replies to a number of concurrent requests."""
    replies = []

    async def ask(number):
        replies.append(await world.ask(request=f"q{number}", time_left_ms=5000))

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(ask, number)
    return replies


def set_retry_budget(world, retries):
    """Gives the router a fixed number of retries in a window, whatever its traffic."""
    world.routers[0].callers._services.retry_budget.set_settings(
        settings.RetryBudget(share=0.0, slack=retries)
    )


class RetryBudgetTest(unittest.TestCase):
    """Attempts must not be given up for a retry that another request takes from the budget."""

    def test_stalled_streams_are_not_broken_off_for_the_last_retry(self):
        async def check(world):
            forwarding_world.inject_fault(world, "engine", Fault.STALLS)
            set_retry_budget(world, 1.5)
            replies = await ask_many(world, 8)
            self.assertEqual([reply.broken for reply in replies], [False] * 8)
            self.assertEqual([reply.numbers for reply in replies], [ALL_EVENTS] * 8)
            self.assertLessEqual(len(world.runs), 9)

        forwarding_world.run_in_world(check)

    def test_answers_without_a_first_event_do_not_fail_for_the_last_retry(self):
        async def check(world):
            for upstream in world.upstreams.values():
                upstream.event_interval_s, upstream.events = 1.6, 2
            set_retry_budget(world, 1.5)
            replies = await ask_many(world, 8)
            self.assertEqual([reply.status for reply in replies], [200] * 8)
            self.assertEqual([reply.numbers for reply in replies], [[1, 2]] * 8)

        forwarding_world.run_in_world(check)

    def test_stream_is_not_broken_off_without_another_upstream(self):
        async def check(world):
            forwarding_world.inject_fault(world, "engine", Fault.STALLS)
            reply = await world.ask(request="q")
            self.assertEqual(reply.numbers, ALL_EVENTS)
            self.assertEqual(len(world.runs_for("q")), 1)

        forwarding_world.run_in_world(check, engines=1)

    def test_stream_of_an_unreachable_engine_waits_without_a_retry(self):
        async def check(world):
            forwarding_world.inject_fault(world, "engine", Fault.STALLS)
            set_retry_budget(world, 0.0)
            replies = []

            async def ask():
                replies.append(await world.ask(request="q", **BACKED_UP_STREAM))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.2)
                address = world.upstreams[world.runs_for("q")[0].upstream].entry.address
                world.network.refuse_connections(address)
            self.assertFalse(replies[0].broken)
            self.assertEqual(replies[0].numbers, ALL_EVENTS)

        forwarding_world.run_in_world(check)

    def test_silent_engine_is_replaced_while_the_budget_has_a_retry(self):
        async def check(world):
            world.upstreams["engine-0"].faults.add(Fault.SILENT)
            replies = await ask_many(world, 8)
            self.assertEqual([reply.numbers for reply in replies], [ALL_EVENTS] * 8)
            self.assertGreater(len(world.runs), 8)

        forwarding_world.run_in_world(check)


class HedgeTest(unittest.TestCase):
    """Attempts must not be given up for a hedge that is refused or never answered."""

    async def _ask_during_change(self, world, change, after_s=0.2):
        """Returns the reply to a request whose engine stalls and during which a change is made."""
        replies = []

        async def ask():
            replies.append(await world.ask(request="q", time_left_ms=5000))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(after_s)
            change(world.upstreams[world.runs_for("q")[0].upstream])
        return replies[0]

    def _inject_fault_elsewhere(self, world, engine, fault):
        for upstream in world.upstreams.values():
            if upstream is not engine:
                upstream.faults = {fault}

    def _check_stream(self, change, runs, streams_before=0):
        async def check(world):
            for _ in range(streams_before):  # They show how engines number their events.
                self.assertEqual((await world.ask(parts="d:9")).numbers, ALL_EVENTS)
            forwarding_world.inject_fault(world, "engine", Fault.STALLS)
            reply = await self._ask_during_change(world, lambda engine: change(world, engine))
            self.assertFalse(reply.broken)
            self.assertEqual(reply.numbers, ALL_EVENTS)
            self.assertEqual(len(world.runs_for("q")), runs)
            await trio.sleep(0.1)
            decisions = world.routers[0].kernel.find("traffic")._traffic
            self.assertEqual(decisions.active_requests, 0)
            for member in decisions.pools["engines"].policy.members.values():
                self.assertEqual(member.load.in_flight, 0)

        forwarding_world.run_in_world(check)

    def test_stream_is_not_broken_off_for_a_hedge_that_a_revoked_key_forbids(self):
        def revoke(world, engine):
            world.keys["press"] = ["key-2"]
            world.configure(forwarding_deployment.routes())

        self._check_stream(revoke, runs=1)

    def test_stream_is_not_broken_off_for_a_refused_hedge(self):
        def fill(world, engine):
            self._inject_fault_elsewhere(world, engine, Fault.SHEDS)

        self._check_stream(fill, runs=1)

    def test_stream_is_not_broken_off_for_a_silent_hedge(self):
        def silence(world, engine):
            self._inject_fault_elsewhere(world, engine, Fault.SILENT)

        self._check_stream(silence, runs=2)

    def test_stream_is_not_broken_off_for_a_hedge_that_crashes_before_its_first_event(self):
        def crash_soon(world, engine):
            for upstream in world.upstreams.values():
                upstream.crash_parts = {"aa"}

        self._check_stream(crash_soon, runs=2)

    def test_stream_is_not_broken_off_for_a_hedge_that_stops_before_its_first_event(self):
        def stop_soon(world, engine):
            self._delay_first_events(world, engine, 9.0)
            for name, upstream in world.upstreams.items():
                if name.startswith("engine") and upstream is not engine:
                    world.stop_later(name, 1.5)

        self._check_stream(stop_soon, runs=2)

    def test_stream_is_not_broken_off_for_a_hedge_without_events(self):
        def delay(world, engine):
            self._delay_first_events(world, engine, 9.0)

        self._check_stream(delay, runs=2)

    def test_stream_is_not_broken_off_for_a_hedge_that_skips_an_event(self):
        def skip(world, engine):
            for upstream in world.upstreams.values():
                upstream.skipped_events = 1

        self._check_stream(skip, runs=2, streams_before=2)

    def test_lost_stream_resumes_with_a_hedge_that_has_no_event_yet(self):
        def lose(world, engine):
            self._delay_first_events(world, engine, 1.5)
            world.stop_later(engine.entry.upstream, 1.0)

        self._check_stream(lose, runs=2)

    def _delay_first_events(self, world, engine, delay_s):
        """Lets all other upstreams send the heads of their answers long before the first events."""
        for upstream in world.upstreams.values():
            if upstream is not engine:
                upstream.faults.clear()
                upstream.first_event_delay_s = delay_s

    def test_answer_does_not_fail_for_a_hedge_that_breaks_off(self):
        async def check(world):
            forwarding_world.inject_fault(world, "desk", Fault.STALLS)
            replies = []

            async def look():
                replies.append(await world.send("GET", "desk", "/look/1", request="q"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(look)
                await trio.sleep(0.2)
                desk = world.upstreams[world.runs_for("q")[0].upstream]
                self._inject_fault_elsewhere(world, desk, Fault.BREAKS_OFF)
            self.assertEqual(replies[0].status, 200)
            self.assertEqual(len(world.runs_for("q")), 2)

        forwarding_world.run_in_world(check)

    def test_lost_stream_resumes_with_its_hedge(self):
        def delay(world, engine):
            self._inject_fault_elsewhere(world, engine, Fault.BEGINS_LATE)
            world.stop_later(engine.entry.upstream, 1.5)

        self._check_stream(delay, runs=2)

    def test_stream_with_a_backup_is_not_broken_off_for_a_failover_that_a_revoked_key_forbids(self):
        async def check(world):
            forwarding_world.inject_fault(world, "engine", Fault.STALLS)
            replies = []

            async def ask():
                replies.append(await world.ask(request="q", time_left_ms=5000, **BACKED_UP_STREAM))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.2)
                world.network.refuse_connections(
                    world.upstreams[world.runs_for("q")[0].upstream].entry.address
                )
                world.keys["press"] = ["key-2"]
                world.configure(forwarding_deployment.routes())
            self.assertFalse(replies[0].broken)
            self.assertEqual(replies[0].numbers, ALL_EVENTS)

        forwarding_world.run_in_world(check)

    def test_refused_hedge_releases_its_capacity(self):
        async def check(world):
            world.upstreams["engine-1"].faults.add(Fault.SHEDS)
            world.upstreams["engine-2"].faults.add(Fault.SHEDS)
            world.upstreams["engine-0"].faults.add(Fault.STALLS)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(world.ask)
                await trio.sleep(1.5)
                decisions = world.routers[0].kernel.find("traffic")._traffic
                members = decisions.pools["engines"].policy.members
                in_flight = {name: member.load.in_flight for name, member in members.items()}
                self.assertEqual(in_flight, {"engine-0": 1, "engine-1": 0, "engine-2": 0})

        forwarding_world.run_in_world(check)


class NonRepeatableTest(unittest.TestCase):
    """Requests that must not run twice are not hedged."""

    def test_order_and_stream_that_may_not_be_resumed_run_once(self):
        async def check(world):
            for upstream in world.upstreams.values():
                upstream.faults.add(Fault.SILENT)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._order, world)
                nursery.start_soon(self._stream, world)
            self.assertEqual(len(world.runs_for("order")), 1)
            self.assertEqual(len(world.runs_for("stream")), 1)

        forwarding_world.run_in_world(check)

    async def _order(self, world):
        reply = await world.send("POST", "desk", "/order/1", request="order")
        self.assertEqual(reply.status, 504)

    async def _stream(self, world):
        reply = await world.ask("/long/x", request="stream")
        self.assertEqual(reply.status, 504)


if __name__ == "__main__":
    unittest.main()
