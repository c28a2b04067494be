"""Log lines of forwarded requests tell how a request ended."""

import unittest
from unittest import mock

from structlog import testing
import trio

from cicadapier._internal.kernel import exceptions as kernel_exceptions
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.services import forwarded_exchange
from cicadapier._internal.services import traffic_messages
from cicadapier._internal.standins import forwarding_upstream
from tests import forwarding_world

Fault = forwarding_upstream.UpstreamFault


class RequestOutcomeTest(unittest.TestCase):
    """An answer that the router ends must not look as if its caller had left."""

    def _outcomes(self, test, **options):
        with testing.capture_logs() as lines:
            forwarding_world.run_in_world(test, **options)
        return [line["outcome"] for line in lines if line["event"] == "request_ended"]

    def test_request_that_is_refused_before_its_first_attempt(self):
        async def check(world):
            await world.ask()

        self.assertEqual(self._outcomes(check, engines=0), ["no_upstream"])

    def test_answer_that_the_router_breaks_off(self):
        async def check(world):
            forwarding_world.inject_fault(world, "engine", Fault.BREAKS_OFF)
            await world.ask(path="/long/x")

        self.assertEqual(self._outcomes(check), ["outcome_unknown"])

    def test_answer_that_cannot_be_written(self):
        lost = exceptions.ConnectionLostError("the caller closed the connection")
        self.assertEqual(self._outcomes_if_sending_raises(lost), ["caller_lost"])

    def test_defect_in_the_router(self):
        self.assertEqual(self._outcomes_if_sending_raises(KeyError()), ["internal_error"])

    def _outcomes_if_sending_raises(self, exc):
        async def check(world):
            with mock.patch.object(forwarded_exchange.Exchange, "_send_data", side_effect=exc):
                await world.ask()

        return self._outcomes(check)

    def test_full_mailbox(self):
        async def check(world):
            full = kernel_exceptions.MailboxFullError(traffic_messages.Admit.__name__)
            callers = world.routers[0].callers
            with mock.patch.object(callers._services, "admit", side_effect=full):
                await world.ask()

        self.assertEqual(self._outcomes(check), ["overloaded"])

    def test_caller_that_leaves(self):
        async def check(world):
            forwarding_world.inject_fault(world, "engine", Fault.STALLS)
            with trio.move_on_after(0.3):
                await world.ask()
            await trio.sleep(0.1)

        self.assertEqual(self._outcomes(check), ["caller_left"])
