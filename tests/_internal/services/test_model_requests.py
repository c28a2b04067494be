"""Model requests over the whole path."""

import copy
import unittest

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import completions
from cicadapier._internal.protocols import headers
from cicadapier._internal.protocols import http_server
from cicadapier._internal.standins import engine_text
from cicadapier._internal.standins import faults
from tests import support

LONG = "the style sheet asks for plain lines. " * 60


class AnswersTest(unittest.TestCase):
    def test_stream_is_whole_and_the_callers_own(self):
        async def check(made):
            reply = await support.Caller(made).complete(LONG + "why?", 12)
            self.assertEqual(reply.outcome, "complete")
            self.assertEqual(reply.text, engine_text.answer((LONG + "why?").encode(), 12))
            self.assertTrue(reply.headers["x-request-id"].startswith("req-"))

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_whole_answer(self):
        async def check(made):
            reply = await support.Caller(made).complete(LONG, 5, stream=False)
            self.assertEqual(reply.outcome, "complete")
            self.assertEqual(reply.text, engine_text.answer(LONG.encode(), 5))

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_repeated_prefix_is_found_cached_from_any_router(self):
        async def check(made):
            await support.Caller(made, router=0).complete(LONG + "one", 2)
            await trio.sleep(3.0)
            reply = await support.Caller(made, router=1).complete(LONG + "two", 2, stream=False)
            details = reply.json["usage"]["prompt_tokens_details"]
            self.assertGreaterEqual(details["cached_tokens"], 512)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_other_accounts_find_nothing_cached(self):
        async def check(made):
            await support.Caller(made, "editors").complete(LONG, 2)
            reply = await support.Caller(made, "poets").complete(LONG, 2, stream=False)
            self.assertEqual(reply.json["usage"]["prompt_tokens_details"]["cached_tokens"], 0)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)


class FailuresTest(unittest.TestCase):
    def _stream_with_fault(self, kind, at_s, **options):
        """Streams 60 tokens and strikes the engine that answers after `at_s`."""
        replies = []

        async def check(made):
            async def ask():
                replies.append(await support.Caller(made).complete(LONG, 60))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(at_s)
                running = [e for e in made.ledger.entries if e.event.value == "started"]
                self.struck = running[-1].upstream
                made.inject(kind, self.struck, options.get("seconds", 1e9), None)
                self.struck_at = trio.current_time()
            self.ended_at = trio.current_time()
            return made

        made = support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)
        return made, replies[0]

    def test_crash_in_mid_stream_is_resumed_exactly(self):
        made, reply = self._stream_with_fault(faults.FaultKind.CRASH, 1.0)
        self.assertEqual(reply.outcome, "complete")
        self.assertEqual(reply.text, engine_text.answer(LONG.encode(), 60))
        resumed = [e for e in made.ledger.entries if e.detail.get("resumed_from")]
        self.assertEqual(len(resumed), 1)
        self.assertNotEqual(resumed[0].upstream, self.struck)
        self.assertLess(resumed[0].at - self.struck_at, 2.0)

    def test_pause_in_mid_stream_is_resumed_elsewhere(self):
        _, reply = self._stream_with_fault(faults.FaultKind.PAUSE, 1.0)
        self.assertEqual(reply.outcome, "complete")
        self.assertEqual(reply.text, engine_text.answer(LONG.encode(), 60))

    def test_a_stream_that_brings_a_byte_now_and_then_goes_on_elsewhere(self):
        _, reply = self._stream_with_fault(faults.FaultKind.DRIBBLE, 1.0)
        self.assertEqual(reply.outcome, "complete")
        self.assertEqual(reply.text, engine_text.answer(LONG.encode(), 60))
        self.assertLess(self.ended_at - self.struck_at, 5.0 + 60 * 0.03)

    def test_silent_connection_is_replaced_within_five_seconds(self):
        _, reply = self._stream_with_fault(faults.FaultKind.SILENT, 1.0)
        self.assertEqual(reply.text, engine_text.answer(LONG.encode(), 60))
        self.assertLess(self.ended_at - self.struck_at, 5.0 + 60 * 0.03)

    def test_crossed_answer_reaches_nobody(self):
        async def check(made):
            for upstream in made.upstreams:
                if upstream != "quill-models-1":
                    made.inject(faults.FaultKind.CROSSED, upstream, 1e9, None)
            reply = await support.Caller(made).complete(LONG, 5)
            if reply.outcome == "complete":
                self.assertEqual(reply.text, engine_text.answer(LONG.encode(), 5))
            else:
                self.assertEqual(reply.code, "upstream_failed")

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_an_answer_later_than_estimated_is_not_given_up_without_a_repeat(self):
        async def check(made):
            made.inject(faults.FaultKind.LATE, faults.ANY, 1e9, 4.0)
            for router in made.routers.values():
                no_repeats = settings.RetryBudget(share=0.0, slack=0.0)
                router.router.callers.model_handler._services.retry_budget.set_settings(no_repeats)
            reply = await support.Caller(made).complete(LONG, 5)
            self.assertEqual(reply.outcome, "complete")
            self.assertEqual(reply.text, engine_text.answer(LONG.encode(), 5))

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_all_engines_down_is_refused_as_not_run(self):
        async def check(made):
            made.inject(faults.FaultKind.CRASH, faults.ANY, 1e9, 1e9)
            await trio.sleep(2.0)
            reply = await support.Caller(made).complete(LONG, 5)
            self.assertEqual((reply.status, reply.outcome), (503, "not_run"))
            self.assertIn("retry-after", reply.headers)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_caller_that_leaves_frees_the_engine(self):
        async def check(made):
            with trio.move_on_after(0.7):
                await support.Caller(made).complete(LONG, 500)
            await trio.sleep(0.5)
            self.assertEqual(made.ledger.entries[-1].event.value, "cancelled")

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)


class _EarlyEnd(http_server.Handler):
    """An upstream that ends its stream without its last tokens."""

    async def handle(self, req, responder):
        request_id = req.header(headers.REQUEST_ID) or b""
        if req.method == "GET":
            await responder.send_json({"incarnation": "early-1"})
            return
        await responder.start(
            200,
            [(headers.CONTENT_TYPE, completions.EVENT_STREAM), (headers.REQUEST_ID, request_id)],
            completions.encode_event(
                {
                    "id": request_id.decode(),
                    "choices": [{"index": 0, "text": "word ", "finish_reason": None}],
                    "token_offset": 0,
                }
            ),
        )
        await responder.finish()


class EarlyEndTest(unittest.TestCase):
    def test_stream_that_ends_early_gets_an_explicit_error(self):
        async def check(made):
            network = made._network
            listener = http_server.Listener(network.serve, _EarlyEnd(), settings.CallerLimits())
            async with trio.open_nursery() as nursery:
                address = await nursery.start(listener.run, ids.Address("127.0.0.1:0"))
                configuration = next(iter(made.routers.values())).router.configuration
                content = copy.deepcopy(configuration.document.content)
                pool = content["pools"]["quill-models"]
                pool["upstreams"] = {"early": {"address": address, "failure_domain": "fenmoor-a"}}
                document = type(configuration.document)(9, content, ())
                self.assertTrue(configuration.apply_if_newer(document))
                await trio.sleep(1.0)
                reply = await support.Caller(made).complete(LONG, 5)
                self.assertEqual(reply.outcome, "failed")
                self.assertNotIn(completions.DONE, reply.events)
                nursery.cancel_scope.cancel()

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT, routers=1)


if __name__ == "__main__":
    unittest.main()
