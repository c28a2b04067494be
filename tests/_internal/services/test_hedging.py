"""Replacing a silent attempt by a hedge or a backup.

A run is abandoned only after its replacement has been accepted, and a replacement is not dropped
without need.
"""

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
from cicadapier._internal.services import replacements
from cicadapier._internal.services import traffic_messages
from cicadapier._internal.services import upstream_call
from cicadapier._internal.standins import forwarding_deployment
from cicadapier._internal.standins import forwarding_upstream
from tests import forwarding_world
from tests import support

Fault = forwarding_upstream.UpstreamFault
ALL_EVENTS = [1, 2, 3, 4, 5, 6]
BACKED_UP_REQUEST = {"path": "/long/x", "output_tokens": 200}  # A stream whose run has a backup.


async def ask_with_change(world, change, after_s=0.2, **options):
    """Requests a stream, then applies a change; returns the reply.

    Args:
        world: World in which the router runs.
        change: Function to call with an upstream that has received the request.
        after_s: Time between the request and the change.
        **options: Options of the request.
    """
    replies = []

    async def ask():
        replies.append(await world.ask(request="q", time_left_ms=5000, **options))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(after_s)
        receivers = (u for u in world.upstreams.values() if u.arrivals)
        change(next(receivers))
    return replies[0]


class BackupTest(unittest.TestCase):
    def test_a_run_is_not_abandoned_for_an_unreachable_backup(self):
        async def check(world):
            forwarding_world.inject_fault(world, "engine", Fault.STALLS)

            def hide(engine):
                for upstream in world.upstreams.values():
                    world.network.refuse_connections(upstream.entry.address)

            reply = await ask_with_change(world, hide, **BACKED_UP_REQUEST)
            self.assertFalse(reply.broken)
            self.assertEqual(reply.numbers, ALL_EVENTS)

        forwarding_world.run_in_world(check)


class HedgeTest(unittest.TestCase):
    def test_a_hedge_is_not_dropped_when_the_first_engine_rejects_the_request(self):
        async def check(world):
            def delay(engine):
                for upstream in world.upstreams.values():
                    if upstream is not engine:
                        upstream.faults = {Fault.BEGINS_LATE}

            forwarding_world.inject_fault(world, "engine", Fault.SHEDS_LATE)
            world.routers[0].callers._services.retry_budget.set_settings(
                settings.RetryBudget(share=0.0, slack=1.5)
            )
            reply = await ask_with_change(world, delay)
            self.assertEqual(reply.status, 200)
            self.assertEqual(reply.numbers, ALL_EVENTS)

        forwarding_world.run_in_world(check)

    def test_an_engine_that_rejects_the_request_during_a_hedge_has_not_run_it(self):
        async def check(world):
            def delay(engine):
                for upstream in world.upstreams.values():
                    if upstream is not engine:
                        upstream.faults = {Fault.BEGINS_LATE, Fault.BREAKS_OFF}

            forwarding_world.inject_fault(world, "engine", Fault.SHEDS_LATE)
            with mock.patch.object(forwarding_upstream, "START_DELAY_S", 1.0):
                reply = await ask_with_change(world, delay)
            self.assertEqual(reply.numbers, [1, 2, 3, 4])
            self.assertEqual(len(world.runs_for("q")), 2)

        forwarding_world.run_in_world(check)

    def test_a_silent_hedge_is_hedged_after_the_first_attempt_ends(self):
        async def check(world):
            def silence(engine):
                others = [u for u in world.upstreams.values() if u is not engine]
                for upstream in others:
                    upstream.faults = {Fault.SILENT}

            async def clear_faults():
                await trio.sleep(2.5)
                for upstream in world.upstreams.values():
                    upstream.faults.clear()

            forwarding_world.inject_fault(world, "engine", Fault.SHEDS_LATE)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(clear_faults)
                reply = await ask_with_change(world, silence)
            self.assertEqual((reply.status, reply.numbers), (200, ALL_EVENTS))
            self.assertEqual(len(world.runs_for("q")), 2)

        forwarding_world.run_in_world(check)

    def test_a_hedge_that_was_not_sent_does_not_count_as_a_run(self):
        async def check(world):
            forwarding_world.inject_fault(world, "engine", Fault.STALLS)
            forwarding_world.inject_fault(world, "engine", Fault.BREAKS_OFF)
            network = world.network
            connect = network.connect
            slow_until = trio.current_time() + 1.0

            async def connect_slowly(address, timeout_s):
                if trio.current_time() > slow_until - 0.8:
                    await trio.sleep(max(0.0, slow_until - trio.current_time()))
                return await connect(address, timeout_s)

            def slow_connects(engine):
                network.connect = connect_slowly
                for upstream in world.upstreams.values():
                    if upstream is not engine:
                        upstream.faults.clear()

            with mock.patch.object(forwarding_upstream, "STALL_S", 0.8):
                reply = await ask_with_change(world, slow_connects)
            self.assertFalse(reply.broken)
            self.assertEqual(reply.numbers, ALL_EVENTS)
            self.assertEqual(len(world.runs_for("q")), 2)

        forwarding_world.run_in_world(check)


class HealthyEngineTest(unittest.TestCase):
    def test_an_engine_is_not_considered_lost_if_a_request_may_not_be_sent_to_it(self):
        async def check(world):
            def revoke(engine):
                world.keys["press"] = ["key-2"]
                world.configure(forwarding_deployment.routes())

            forwarding_world.inject_fault(world, "engine", Fault.STALLS)
            with mock.patch.object(forwarding_upstream, "STALL_S", 0.8):
                reply = await ask_with_change(world, revoke)
            self.assertEqual(reply.numbers, ALL_EVENTS)
            traffic = world.routers[0].kernel.find("traffic")._traffic
            for name in traffic.pools["engines"].policy.members:
                state = traffic.upstream_state("engines", name, trio.current_time())
                self.assertIs(state, health.UpstreamState.ACTIVE)

        forwarding_world.run_in_world(check)


class FullTrafficMailboxTest(unittest.TestCase):
    """The mailbox of the traffic service is full for some types of messages."""

    def _reject_messages(self, world, *kinds):
        mailbox = world.routers[0].kernel.find("traffic").mailbox
        send = mailbox.send

        def send_or_reject(message):
            if isinstance(message, kinds):
                raise kernel_exceptions.MailboxFullError(type(message).__name__)
            send(message)

        mailbox.send = send_or_reject

    def test_an_answer_reaches_the_caller_if_the_attempt_report_is_rejected(self):
        async def check(world):
            self._reject_messages(world, traffic_messages.AttemptEnded)
            reply = await world.send("POST", "desk", "/order/x", b"once", request="q")
            self.assertEqual(len(world.runs_for("q")), 1)
            self.assertEqual((reply.status, reply.body), (200, b"answer to once"))

        forwarding_world.run_in_world(check)

    def test_a_call_that_may_have_run_is_not_refused_as_not_run(self):
        async def check(world):
            forwarding_world.inject_fault(world, "desk", Fault.LOSES_ANSWERS)
            self._reject_messages(world, traffic_messages.AttemptEnded, traffic_messages.Retry)
            for path in ("/order/x", "/look/x"):
                reply = await world.send("POST", "desk", path, b"once")
                self.assertEqual(reply.status, 502)

        forwarding_world.run_in_world(check)

    def test_the_load_is_released_if_the_end_of_an_attempt_cannot_be_reported(self):
        async def check(world):
            forwarding_world.inject_fault(world, "desk", Fault.LOSES_ANSWERS)
            self._reject_messages(world, traffic_messages.AttemptEnded)
            await world.send("POST", "desk", "/look/x", b"twice", request="q")
            self.assertEqual(len(world.runs_for("q")), 2)
            await trio.sleep(0.1)
            traffic = world.routers[0].kernel.find("traffic")._traffic
            for member in traffic.pools["desk"].policy.members.values():
                self.assertEqual(member.load.in_flight, 0)

        forwarding_world.run_in_world(check)

    def test_a_silent_stream_continues_if_no_hedge_can_be_requested(self):
        async def check(world):
            forwarding_world.inject_fault(world, "engine", Fault.STALLS)
            self._reject_messages(world, traffic_messages.PlaceHedge, traffic_messages.FailOver)
            reply = await world.ask(request="q", time_left_ms=5000)
            self.assertEqual((reply.broken, reply.numbers), (False, ALL_EVENTS))

        forwarding_world.run_in_world(check)


class _SilentNetwork(transport.Network):
    """A network whose upstreams accept requests and never answer."""

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


class _DisconnectingHandler(replacements.SilenceHandler):
    """Returns a replacement at the moment when the caller disconnects."""

    def __init__(self, replacement, scope):
        self._replacement = replacement
        self._scope = scope

    def silence_timeout_s(self, attempt):
        return 0.5

    async def find_replacement(self, attempt):
        self._scope.cancel()
        return replacements.Replacement(None, self._replacement)


class DisconnectingCallerTest(unittest.TestCase):
    def test_a_replacement_is_abandoned_if_the_caller_disconnects_during_the_takeover(self):
        replacement = _Replacement()

        async def main():
            async with trio.open_nursery() as nursery:
                service = connections_service.ConnectionsService(
                    connections_service.DirectLinks(_SilentNetwork())
                )
                nursery.start_soon(service.run, None, trio.TASK_STATUS_IGNORED)
                call = upstream_call.Call(
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
                    silence_handler = _DisconnectingHandler(replacement, scope)
                    attempt = attempts.Attempt(service, call, silence_handler)
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
