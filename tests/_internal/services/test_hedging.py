"""A run is given up for what has been taken, and what takes over is never dropped for nothing."""

import unittest
from unittest import mock

import trio
import trio.testing

from cicadapier._internal.decisions import health
from cicadapier._internal.kernel import exceptions as kernel_exceptions
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.platform import requests
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import transport
from cicadapier._internal.services import attempts
from cicadapier._internal.services import connections_service
from cicadapier._internal.services import traffic_messages
from cicadapier._internal.standins import users_upstream
from cicadapier._internal.standins import users_world
from tests import forwarding_world
from tests import support

Fault = users_upstream.UpstreamFault
WHOLE = [1, 2, 3, 4, 5, 6]
LONG = {"path": "/long/x", "output_tokens": 200}  # A stream whose run is backed up.


async def ask_and(made, change, after_s=0.2, **options):
    """Returns what a caller gets for a stream, after a change meanwhile."""
    replies = []

    async def ask():
        replies.append(await made.ask(request="q", time_left_ms=5000, **options))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(after_s)
        reached = (u for u in made.upstreams.values() if u.arrivals)
        change(next(reached))
    return replies[0]


class BackupTest(unittest.TestCase):
    def test_a_run_is_not_given_up_for_a_backup_that_cannot_be_reached(self):
        async def check(made):
            forwarding_world.inject_fault(made, "engine", Fault.STALLS)

            def hide(engine):
                for upstream in made.upstreams.values():
                    made.network.hide(upstream.entry.address)

            reply = await ask_and(made, hide, **LONG)
            self.assertFalse(reply.broken)
            self.assertEqual(reply.numbers, WHOLE)

        forwarding_world.run_in_world(check)


class HedgeTest(unittest.TestCase):
    def test_a_second_attempt_is_not_dropped_for_an_engine_that_turns_the_request_away(self):
        async def check(made):
            def delay(engine):
                for upstream in made.upstreams.values():
                    if upstream is not engine:
                        upstream.faults = {Fault.BEGINS_LATE}

            forwarding_world.inject_fault(made, "engine", Fault.SHEDS_LATE)
            made.routers[0].callers._services.retry_budget.set_settings(
                settings.RetryBudget(share=0.0, slack=1.5)
            )
            reply = await ask_and(made, delay)
            self.assertEqual(reply.status, 200)
            self.assertEqual(reply.numbers, WHOLE)

        forwarding_world.run_in_world(check)

    def test_an_engine_that_turns_the_request_away_during_a_second_attempt_has_not_run_it(self):
        async def check(made):
            def delay(engine):
                for upstream in made.upstreams.values():
                    if upstream is not engine:
                        upstream.faults = {Fault.BEGINS_LATE, Fault.BREAKS_OFF}

            forwarding_world.inject_fault(made, "engine", Fault.SHEDS_LATE)
            with mock.patch.object(users_upstream, "BEGIN_S", 1.0):
                reply = await ask_and(made, delay)
            self.assertEqual(reply.numbers, [1, 2, 3, 4])
            self.assertEqual(len(made.runs_for("q")), 2)

        forwarding_world.run_in_world(check)

    def test_a_silent_hedge_is_hedged_as_well_once_the_first_attempt_has_ended(self):
        async def check(made):
            def silence(engine):
                others = [u for u in made.upstreams.values() if u is not engine]
                for upstream in others:
                    upstream.faults = {Fault.SILENT}

            async def mend():
                await trio.sleep(2.5)
                for upstream in made.upstreams.values():
                    upstream.faults.clear()

            forwarding_world.inject_fault(made, "engine", Fault.SHEDS_LATE)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(mend)
                reply = await ask_and(made, silence)
            self.assertEqual((reply.status, reply.numbers), (200, WHOLE))
            self.assertEqual(len(made.runs_for("q")), 2)

        forwarding_world.run_in_world(check)

    def test_a_second_attempt_that_was_never_sent_is_no_run(self):
        async def check(made):
            forwarding_world.inject_fault(made, "engine", Fault.STALLS)
            forwarding_world.inject_fault(made, "engine", Fault.BREAKS_OFF)
            network = made.network
            connect = network.connect
            until = trio.current_time() + 1.0

            async def slowly(address, timeout_s):
                if trio.current_time() > until - 0.8:
                    await trio.sleep(max(0.0, until - trio.current_time()))
                return await connect(address, timeout_s)

            def cut(engine):
                network.connect = slowly
                for upstream in made.upstreams.values():
                    if upstream is not engine:
                        upstream.faults.clear()

            with mock.patch.object(users_upstream, "STALL_S", 0.8):
                reply = await ask_and(made, cut)
            self.assertFalse(reply.broken)
            self.assertEqual(reply.numbers, WHOLE)
            self.assertEqual(len(made.runs_for("q")), 2)

        forwarding_world.run_in_world(check)


class HealthyEngineTest(unittest.TestCase):
    def test_an_engine_is_not_taken_for_lost_as_a_request_may_not_be_sent_to_it(self):
        async def check(made):
            def revoke(engine):
                made.keys["press"] = ["key-2"]
                made.configure(users_world.routes())

            forwarding_world.inject_fault(made, "engine", Fault.STALLS)
            with mock.patch.object(users_upstream, "STALL_S", 0.8):
                reply = await ask_and(made, revoke)
            self.assertEqual(reply.numbers, WHOLE)
            decisions = made.routers[0].kernel.find("traffic")._traffic
            for name in decisions.pools["engines"].policy.members:
                state = decisions.upstream_state("engines", name, trio.current_time())
                self.assertIs(state, health.UpstreamState.ACTIVE)

        forwarding_world.run_in_world(check)


class LaggingDecisionsTest(unittest.TestCase):
    """The service that decides about requests takes no more messages for a while."""

    def _fill(self, made, *kinds):
        box = made.routers[0].kernel.find("traffic").mailbox
        send = box.send

        def full(message):
            if isinstance(message, kinds):
                raise kernel_exceptions.MailboxFullError(type(message).__name__)
            send(message)

        box.send = full

    def test_an_answer_whose_report_cannot_be_taken_reaches_its_caller(self):
        async def check(made):
            self._fill(made, traffic_messages.AttemptEnded)
            reply = await made.send("POST", "desk", "/order/x", b"once", request="q")
            self.assertEqual(len(made.runs_for("q")), 1)
            self.assertEqual((reply.status, reply.body), (200, b"answer to once"))

        forwarding_world.run_in_world(check)

    def test_a_call_that_may_have_run_is_not_refused_as_not_run(self):
        async def check(made):
            forwarding_world.inject_fault(made, "desk", Fault.LOSES_ANSWERS)
            self._fill(made, traffic_messages.AttemptEnded, traffic_messages.Retry)
            for path in ("/order/x", "/look/x"):
                reply = await made.send("POST", "desk", path, b"once")
                self.assertEqual(reply.status, 502)

        forwarding_world.run_in_world(check)

    def test_a_place_whose_end_cannot_be_reported_is_given_back(self):
        async def check(made):
            forwarding_world.inject_fault(made, "desk", Fault.LOSES_ANSWERS)
            self._fill(made, traffic_messages.AttemptEnded)
            await made.send("POST", "desk", "/look/x", b"twice", request="q")
            self.assertEqual(len(made.runs_for("q")), 2)
            await trio.sleep(0.1)
            decisions = made.routers[0].kernel.find("traffic")._traffic
            for member in decisions.pools["desk"].policy.members.values():
                self.assertEqual(member.load.in_flight, 0)

        forwarding_world.run_in_world(check)

    def test_a_silent_stream_stands_where_no_second_attempt_can_be_asked_for(self):
        async def check(made):
            forwarding_world.inject_fault(made, "engine", Fault.STALLS)
            self._fill(made, traffic_messages.PlaceHedge, traffic_messages.FailOver)
            reply = await made.ask(request="q", time_left_ms=5000)
            self.assertEqual((reply.broken, reply.numbers), (False, WHOLE))

        forwarding_world.run_in_world(check)


class _SilentNetwork(transport.Network):
    """Upstreams that take requests and never answer."""

    def __init__(self):
        self.accepted = []

    async def connect(self, address, timeout_s):
        near, far = trio.testing.memory_stream_pair()
        self.accepted.append(far)
        return near

    async def serve(self, address, handler, task_status=trio.TASK_STATUS_IGNORED):
        raise NotImplementedError


class _Replacement:
    """An attempt whose answer has begun."""

    def __init__(self):
        self.abandoned = False

    async def abandon(self):
        self.abandoned = True


class _LeavingCaller(attempts.SilenceHandler):
    """Returns a replacement at the moment in which the caller leaves."""

    def __init__(self, replacement, scope):
        self._replacement = replacement
        self._scope = scope

    def silence_timeout_s(self, attempt):
        return 0.5

    async def find_replacement(self, attempt):
        self._scope.cancel()
        return attempts.Replacement(None, self._replacement)


class LeavingCallerTest(unittest.TestCase):
    def test_an_attempt_that_takes_over_ends_with_a_caller_that_leaves_meanwhile(self):
        replacement = _Replacement()

        async def main():
            async with trio.open_nursery() as nursery:
                service = connections_service.ConnectionsService(_SilentNetwork())
                nursery.start_soon(service.run, None, trio.TASK_STATUS_IGNORED)
                call = attempts.Call(
                    ids.RequestId("q"),
                    ids.Address("10.0.0.1:80"),
                    ids.Incarnation(""),
                    http_client.RequestHead("POST", "/ask/", []),
                    b"",
                    1.0,
                    5.0,
                    requests.RequestFormat(),
                )
                with trio.CancelScope() as scope:
                    silence = _LeavingCaller(replacement, scope)
                    attempt = attempts.Attempt(service, call, silence)
                    try:
                        await attempt.start()
                    finally:
                        await attempt.abandon()
                self.assertTrue(scope.cancelled_caught)
                nursery.cancel_scope.cancel()

        support.run(main)
        self.assertTrue(replacement.abandoned)


if __name__ == "__main__":
    unittest.main()
