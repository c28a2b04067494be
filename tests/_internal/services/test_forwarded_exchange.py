"""Tests that answers are complete and runs are not repeated, whatever faults upstreams have."""

import gc
import unittest
import unittest.mock

import trio

from cicadapier._internal.decisions import stream_origins
from cicadapier._internal.services import forwarded_exchange
from cicadapier._internal.standins import forwarding_upstream
from cicadapier._internal.standins import router_links
from tests import forwarding_world

Fault = forwarding_upstream.UpstreamFault
BACKED_UP_STREAM = {"path": "/long/x", "output_tokens": 200}


class MemoryTest(unittest.TestCase):
    def test_exchange_goes_with_its_answer_and_not_only_with_a_collection(self):
        async def check(world):
            gc.collect()
            gc.disable()
            try:
                for _ in range(3):
                    reply = await world.send("POST", "desk", "/order/1", b"x" * 60_000)
                    self.assertEqual(reply.status, 200)
                await trio.sleep(forwarding_world.SETTLE_S)
                left = [
                    item
                    for item in gc.get_objects()
                    if isinstance(item, forwarded_exchange.Exchange)
                ]
            finally:
                gc.enable()
            self.assertEqual(left, [])

        forwarding_world.run_in_world(check)


class RetryTest(unittest.TestCase):
    """Orders must not run twice; lookups may be retried."""

    def test_order_with_lost_answer_runs_once_and_is_not_reported_as_not_run(self):
        async def check(world):
            forwarding_world.inject_fault(world, "desk", Fault.LOSES_ANSWERS)
            reply = await world.send("POST", "desk", "/order/1", b"two", request="q")
            self.assertEqual(reply.status, 502)
            self.assertEqual(len(world.runs_for("q")), 1)

        forwarding_world.run_in_world(check)

    def test_order_at_silent_upstream_ends_by_its_deadline_with_unknown_outcome(self):
        async def check(world):
            forwarding_world.inject_fault(world, "desk", Fault.SILENT)
            reply = await world.send(
                "POST", "desk", "/order/1", b"two", request="q", time_left_ms=800
            )
            self.assertEqual(reply.status, 504)
            self.assertEqual(len(world.runs_for("q")), 1)

        forwarding_world.run_in_world(check)

    def test_answer_that_is_ready_as_its_deadline_passes_is_delivered(self):
        receive = forwarded_exchange.Exchange._receive_whole

        async def receive_late(exchange, *arguments):
            outcome = await receive(exchange, *arguments)
            exchange._scope.cancel()  # As after a standstill of the process.
            return outcome

        async def check(world):
            with unittest.mock.patch.object(
                forwarded_exchange.Exchange, "_receive_whole", receive_late
            ):
                reply = await world.send("POST", "desk", "/order/1", b"two", request="q")
            self.assertEqual((reply.status, len(world.runs_for("q"))), (200, 1))

        forwarding_world.run_in_world(check)

    def test_order_refused_by_one_upstream_is_retried_at_another(self):
        async def check(world):
            world.upstreams["desk-0"].faults.add(Fault.SHEDS)
            for number in range(6):
                reply = await world.send("POST", "desk", "/order/1", request=f"q{number}")
                self.assertEqual(reply.status, 200)
                self.assertEqual(len(world.runs_for(f"q{number}")), 1)

        forwarding_world.run_in_world(check)

    def test_order_refused_by_all_upstreams_is_reported_as_not_run(self):
        async def check(world):
            forwarding_world.inject_fault(world, "desk", Fault.SHEDS)
            reply = await world.send("POST", "desk", "/order/1", request="q")
            self.assertEqual(reply.status, 503)
            self.assertLessEqual(float(reply.headers["retry-after"]), 1.0)
            self.assertEqual(world.runs_for("q"), [])

        forwarding_world.run_in_world(check)

    def test_failed_lookup_is_retried_up_to_its_maximum_runs(self):
        async def check(world):
            forwarding_world.inject_fault(world, "desk", Fault.FAILS)
            reply = await world.send("GET", "desk", "/look/1", request="q")
            self.assertEqual(reply.status, 500)
            self.assertEqual(reply.headers["x-server-stamp"], "proof-of-q")
            self.assertEqual(len(world.runs_for("q")), 2)

        forwarding_world.run_in_world(check)


class AnswerIntegrityTest(unittest.TestCase):
    """Callers get only complete, genuine answers, or an answer that is marked as incomplete."""

    def test_answers_that_are_not_genuine_are_not_relayed(self):
        for fault in (Fault.UNPROVED, Fault.ENCODED, Fault.WRONG_REQUEST):
            with self.subTest(fault):

                async def check(world, fault=fault):
                    world.upstreams["desk-0"].faults.add(fault)
                    replies = [await world.send("GET", "desk", "/look/1") for _ in range(6)]
                    self.assertEqual([reply.status for reply in replies], [200] * 6)
                    replies += [await world.send("POST", "desk", "/order/1") for _ in range(6)]
                    for reply in replies:
                        self.assertIn(reply.status, (200, 502))
                        if reply.status == 200:
                            self.assertIn("x-server-stamp", reply.headers)
                            self.assertNotIn("content-encoding", reply.headers)
                            self.assertNotEqual(reply.headers["x-request-id"], "somebody-else")

                forwarding_world.run_in_world(check)

    def test_broken_stream_resumes_at_another_upstream_without_gap_or_duplicate(self):
        async def check(world):
            world.upstreams["engine-0"].faults.add(Fault.BREAKS_OFF)
            world.upstreams["engine-1"].faults.add(Fault.BREAKS_OFF)
            for number in range(6):
                reply = await world.ask(request=f"q{number}", parts=f"p{number}:500,z:9")
                if not reply.broken:
                    self.assertEqual(reply.numbers, [1, 2, 3, 4, 5, 6])
                else:
                    self.assertEqual(reply.numbers, list(range(1, len(reply.numbers) + 1)))
                self.assertLessEqual(len(world.runs_for(f"q{number}")), 2)

        forwarding_world.run_in_world(check)

    def test_stream_that_may_not_be_resumed_ends_incomplete(self):
        async def check(world):
            forwarding_world.inject_fault(world, "engine", Fault.BREAKS_OFF)
            reply = await world.ask("/long/x", request="q")
            self.assertTrue(reply.broken)
            self.assertEqual(reply.numbers, [1, 2])
            self.assertEqual(len(world.runs_for("q")), 1)

        forwarding_world.run_in_world(check)

    def test_failed_resumption_ends_the_stream_incomplete(self):
        async def check(world):
            forwarding_world.inject_fault(world, "engine", Fault.BREAKS_OFF)
            for name in ("engine-0", "engine-1", "engine-2"):
                world.upstreams[name].faults.add(Fault.FAILS_TO_RESUME)
            reply = await world.ask(request="q")
            self.assertTrue(reply.broken)
            self.assertEqual(reply.numbers, [1, 2])

        forwarding_world.run_in_world(check)

    def test_stream_that_ends_within_an_event_is_not_reported_as_complete(self):
        async def check(world):
            forwarding_world.inject_fault(world, "engine", Fault.ENDS_WITHIN_AN_EVENT)
            reply = await world.ask("/long/x")
            self.assertTrue(reply.broken)
            self.assertEqual(reply.numbers, [1, 2])

        forwarding_world.run_in_world(check)

    def test_requests_refused_after_queueing_leave_no_active_requests(self):
        async def check(world):
            forwarding_world.inject_fault(world, "desk", Fault.SILENT)
            async with trio.open_nursery() as nursery:
                for _ in range(30):
                    nursery.start_soon(world.send, "POST", "desk", "/order/1")
            await trio.sleep(0.5)
            traffic = world.routers[0].kernel.find("traffic")
            self.assertEqual(traffic._traffic.active_requests, 0)

        forwarding_world.run_in_world(check, desks=1)

    def test_event_out_of_order_is_not_relayed(self):
        async def check(world):
            forwarding_world.inject_fault(world, "engine", Fault.REPEATS_AN_EVENT)
            reply = await world.ask("/long/x")
            self.assertTrue(reply.broken)
            self.assertEqual(reply.numbers, [1])

        forwarding_world.run_in_world(check)

    def test_events_whose_numbers_increase_by_any_step_are_relayed(self):
        # Guards against sound streams that are cut at their second event.
        for first_event, steps in ((3, (3,)), (1, (1, 4, 2)), (0, (1, 1, 1, 1, 9))):
            with self.subTest(steps):

                async def check(world, first_event=first_event, steps=steps):
                    world.number_from(first_event, steps)
                    expected = world.event_numbers(6)
                    for path in ("/ask/x", "/long/x"):
                        reply = await world.ask(path)
                        self.assertEqual((reply.broken, reply.numbers), (False, expected))
                    runs = len(world.runs)
                    self.assertEqual(runs, 2)

                forwarding_world.run_in_world(check)

    def test_stream_with_any_steps_goes_on_at_another_engine(self):
        for steps in ((3,), (1, 4, 2)):
            with self.subTest(steps):

                async def check(world, steps=steps):
                    world.number_from(3, steps)
                    world.upstreams["engine-0"].faults.add(Fault.BREAKS_OFF)
                    for number in range(6):
                        reply = await world.ask(request=f"q{number}", parts=f"c{number}:700")
                        self.assertEqual(reply.numbers, world.event_numbers(6))
                        self.assertFalse(reply.broken)

                forwarding_world.run_in_world(check)

    def test_caller_that_resumes_a_stream_with_any_steps_gets_the_following_events(self):
        async def check(world):
            world.number_from(3, (1, 4, 2))
            first = await world.ask(request="q")
            resumed = [(b"last-event-id", b"8"), (b"resumes", b"q")]
            reply = await world.ask(extra=resumed)
            self.assertEqual(reply.numbers, [n for n in first.numbers if n > 8])

        forwarding_world.run_in_world(check)

    def test_caller_that_resumes_gets_the_following_events(self):
        async def check(world):
            await trio.sleep(stream_origins.STREAM_LIFE_S)  # Until routers can know all streams.
            reply = await world.ask(extra=[(b"last-event-id", b"4")])
            self.assertEqual(reply.numbers, [5, 6])

        forwarding_world.run_in_world(check)

    def test_caller_that_disconnects_ends_the_run(self):
        async def check(world):
            world.upstreams["engine-0"].events = 1000
            world.upstreams["engine-1"].events = 1000
            world.upstreams["engine-2"].events = 1000
            with trio.move_on_after(0.3):
                await world.ask(request="q")
            await trio.sleep(0.3)
            ended = sum(u.completed_runs["q"] for u in world.upstreams.values())
            self.assertEqual((len(world.runs_for("q")), ended), (1, 0))

        forwarding_world.run_in_world(check)


class BackupFailoverTest(unittest.TestCase):
    """Long streams that must not run twice, whose engines fail while they run."""

    def _engine_running(self, world, request):
        return world.upstreams[world.runs_for(request)[0].upstream]

    async def _ask(self, world, replies, **options):
        options = {**BACKED_UP_STREAM, "request": "q", **options}
        replies.append(await world.ask(**options))

    async def _ask_and_interrupt(self, world, action, **options):
        """Runs an action after the first events of a stream; returns the caller's reply."""
        for upstream in world.upstreams.values():
            upstream.events = 20
        replies = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._ask, world, replies)
            await trio.sleep(0.055)
            await action(self._engine_running(world, "q"))
        return replies[0]

    def test_run_continues_from_its_backup_without_gap_or_duplicate(self):
        async def check(world):
            async def crash(engine):
                world.stop(engine.entry.upstream)

            reply = await self._ask_and_interrupt(world, crash)
            self.assertFalse(reply.broken)
            self.assertEqual(reply.numbers, list(range(1, 21)))
            first, second = world.runs_for("q")
            self.assertNotEqual(first.upstream, second.upstream)
            backup = world.upstreams[second.upstream].entry.address
            self.assertEqual(first.headers["x-kv-backup"], backup)
            self.assertEqual(second.headers["kv-from"], f"{backup}/q")
            self.assertGreater(int(second.headers["last-event-id"]), 0)
            self.assertEqual(first.headers["x-expect-version"], second.headers["x-expect-version"])

        forwarding_world.run_in_world(check)

    def test_run_fails_over_from_an_engine_that_becomes_unreachable(self):
        async def check(world):
            forwarding_world.inject_fault(world, "engine", Fault.STALLS)

            async def hide(engine):
                world.cut_links(0, router_links.LinkFault.HANG, [engine.entry.upstream])
                for upstream in world.upstreams.values():
                    upstream.faults.clear()

            reply = await self._ask_and_interrupt(world, hide)
            self.assertFalse(reply.broken)
            self.assertEqual(reply.numbers, list(range(1, 21)))
            self.assertEqual(len(world.runs_for("q")), 2)

        forwarding_world.run_in_world(check)

    def _ask_a_full_engine(self, world, reset_after_s=None):
        """Lets an engine stall that refuses new connections; returns the caller's reply.

        Args:
            world: The world.
            reset_after_s: When its kernel resets the open connection; None for never.
        """

        async def fill(engine):
            world.network.refuse_connections(engine.entry.address)
            for upstream in world.upstreams.values():
                upstream.faults.clear()
            if reset_after_s is not None:
                await trio.sleep(reset_after_s)
                world.cut_links(0, router_links.LinkFault.RESET, [engine.entry.upstream])

        forwarding_world.inject_fault(world, "engine", Fault.STALLS)
        return self._ask_and_interrupt(world, fill)

    def test_run_does_not_fail_over_from_an_engine_at_its_limit_of_connections(self):
        # Guards against two engines that work on one run, as a new connection is refused while the
        # one of the run is open.
        async def check(world):
            reply = await self._ask_a_full_engine(world)
            self.assertEqual((reply.broken, reply.numbers), (False, list(range(1, 21))))
            self.assertEqual(len(world.runs_for("q")), 1)

        forwarding_world.run_in_world(check)

    def test_run_fails_over_from_an_engine_whose_kernel_resets_the_open_connection(self):
        async def check(world):
            reply = await self._ask_a_full_engine(world, reset_after_s=1.0)
            self.assertEqual((reply.broken, reply.numbers), (False, list(range(1, 21))))
            self.assertEqual(len(world.runs_for("q")), 2)

        forwarding_world.run_in_world(check)

    def test_run_does_not_fail_over_from_a_slow_engine(self):
        async def check(world):
            forwarding_world.inject_fault(world, "engine", Fault.STALLS)

            async def wait(engine):
                await trio.sleep(0)

            reply = await self._ask_and_interrupt(world, wait)
            self.assertFalse(reply.broken)
            self.assertEqual(len(world.runs_for("q")), 1)

        forwarding_world.run_in_world(check)

    def test_run_does_not_fail_over_from_a_reachable_engine(self):
        async def check(world):
            forwarding_world.inject_fault(world, "engine", Fault.BREAKS_OFF)
            replies = []
            await self._ask(world, replies)
            self.assertTrue(replies[0].broken)
            self.assertEqual(len(world.runs_for("q")), 1)

        forwarding_world.run_in_world(check)

    def test_run_is_not_restarted_if_its_backup_is_lost(self):
        async def check(world):
            async def crash(engine):
                world.backups.weights.clear()
                world.stop(engine.entry.upstream)

            reply = await self._ask_and_interrupt(world, crash)
            self.assertTrue(reply.broken)
            self.assertEqual(reply.numbers, list(range(1, len(reply.numbers) + 1)))
            self.assertEqual(len(world.runs_for("q")), 1)

        forwarding_world.run_in_world(check)

    def test_run_whose_weights_have_changed_is_not_continued(self):
        async def check(world):
            async def crash(engine):
                engine.weights = 2
                await trio.sleep(0.02)
                world.stop(engine.entry.upstream)

            reply = await self._ask_and_interrupt(world, crash)
            self.assertTrue(reply.broken)
            self.assertEqual(len(world.runs_for("q")), 1)

        forwarding_world.run_in_world(check)

    def test_run_that_may_have_crashed_its_engine_is_not_continued(self):
        async def check(world):
            for upstream in world.upstreams.values():
                upstream.event_interval_s = 1.0

            async def crash(engine):
                world.stop(engine.entry.upstream)

            reply = await self._ask_and_interrupt(world, crash)
            self.assertNotIn(reply.status, (200, 503))
            self.assertEqual(len(world.runs_for("q")), 1)

        forwarding_world.run_in_world(check)

    def test_short_answers_and_resumable_streams_are_not_backed_up(self):
        async def check(world):
            await world.ask("/long/x", request="short")
            await world.ask("/ask/x", request="resumable", output_tokens=200)
            for request in ("short", "resumable"):
                self.assertNotIn("x-kv-backup", world.runs_for(request)[0].headers)

        forwarding_world.run_in_world(check)


if __name__ == "__main__":
    unittest.main()
