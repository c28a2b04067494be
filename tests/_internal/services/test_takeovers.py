"""A run is given up for what has been taken, and what takes over is never dropped for nothing."""

import unittest
from unittest import mock

import trio
import trio.testing

from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.platform import requests
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import transport
from cicadapier._internal.services import attempts
from cicadapier._internal.services import connections_service
from cicadapier._internal.standins import users_upstream
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
            forwarding_world.strike(made, "engine", Fault.STALLS)

            def hide(engine):
                for upstream in made.upstreams.values():
                    made.network.hide(upstream.entry.address)

            reply = await ask_and(made, hide, **LONG)
            self.assertFalse(reply.broken)
            self.assertEqual(reply.numbers, WHOLE)

        forwarding_world.in_world(check)


class ReliefTest(unittest.TestCase):
    def test_a_second_attempt_is_not_dropped_for_an_engine_that_turns_the_request_away(self):
        async def check(made):
            def delay(engine):
                for upstream in made.upstreams.values():
                    if upstream is not engine:
                        upstream.faults = {Fault.BEGINS_LATE}

            forwarding_world.strike(made, "engine", Fault.SHEDS_LATE)
            made.routers[0].callers._services.budget.set_terms(
                settings.RetryBudget(share=0.0, slack=1.5)
            )
            reply = await ask_and(made, delay)
            self.assertEqual(reply.status, 200)
            self.assertEqual(reply.numbers, WHOLE)

        forwarding_world.in_world(check)

    def test_an_engine_that_turns_the_request_away_during_a_second_attempt_has_not_run_it(self):
        async def check(made):
            def delay(engine):
                for upstream in made.upstreams.values():
                    if upstream is not engine:
                        upstream.faults = {Fault.BEGINS_LATE, Fault.BREAKS_OFF}

            forwarding_world.strike(made, "engine", Fault.SHEDS_LATE)
            with mock.patch.object(users_upstream, "BEGIN_S", 1.0):
                reply = await ask_and(made, delay)
            self.assertEqual(reply.numbers, [1, 2, 3, 4])
            self.assertEqual(len(made.runs_of("q")), 2)

        forwarding_world.in_world(check)


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


class _Successor:
    """An attempt whose answer has begun."""

    def __init__(self):
        self.abandoned = False

    async def abandon(self):
        self.abandoned = True


class _LeavingCaller(attempts.Silence):
    """Finds a successor in the moment in which the caller leaves."""

    def __init__(self, successor, scope):
        self._successor = successor
        self._scope = scope

    def limit_s(self, attempt):
        return 0.5

    async def judge(self, attempt):
        self._scope.cancel()
        return attempts.Takeover(None, self._successor)


class LeavingCallerTest(unittest.TestCase):
    def test_an_attempt_that_takes_over_ends_with_a_caller_that_leaves_meanwhile(self):
        successor = _Successor()

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
                    silence = _LeavingCaller(successor, scope)
                    attempt = attempts.Attempt(service, call, silence)
                    try:
                        await attempt.start()
                    finally:
                        await attempt.abandon()
                self.assertTrue(scope.cancelled_caught)
                nursery.cancel_scope.cancel()

        support.run(main)
        self.assertTrue(successor.abandoned)


if __name__ == "__main__":
    unittest.main()
