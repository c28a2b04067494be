"""Calls to plain services: at most once, and truthful about it."""

import dataclasses
import unittest

import trio

from cicadapier._internal.standins import faults
from tests import support


def _strike_pool(made, kind, seconds=1e9, amount=None):
    for upstream in made.upstreams:
        if upstream.startswith("catalogue"):
            made.inject(kind, upstream, seconds, amount)


class OnceOnlyTest(unittest.TestCase):
    def test_repeat_with_key_gets_the_first_answer(self):
        async def check(made):
            first = await support.Caller(made, router=0).send_once(b"two copies", "k1")
            await trio.sleep(1.0)
            second = await support.Caller(made, router=1).send_once(b"two copies", "k1")
            self.assertEqual((first.status, first.body), (second.status, second.body))
            self.assertEqual(made.ledger.runs(b"two copies"), 1)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_key_with_another_body_is_refused(self):
        async def check(made):
            await support.Caller(made).send_once(b"two copies", "k1")
            reply = await support.Caller(made).send_once(b"three copies", "k1")
            self.assertEqual((reply.status, reply.code), (422, "idempotency_key_reused"))
            self.assertEqual(made.ledger.runs(b"three copies"), 0)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_lost_claim_answer_still_runs_once(self):
        async def check(made):
            made.inject(faults.FaultKind.PLATFORM_ANSWER_LOST, faults.ANY, 3.0, None)
            reply = await support.Caller(made).send_once(b"two copies", "k1")
            self.assertEqual(reply.outcome, "complete")
            self.assertEqual(made.ledger.runs(b"two copies"), 1)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_platform_down_refuses_as_not_run(self):
        async def check(made):
            made.inject(faults.FaultKind.PLATFORM_OUTAGE, faults.ANY, 1e9, None)
            reply = await support.Caller(made).send_once(b"two copies", "k1")
            self.assertEqual((reply.code, reply.outcome), ("claim_unavailable", "not_run"))
            self.assertEqual(made.ledger.runs(b"two copies"), 0)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_refused_claim_is_released_so_that_a_repeat_can_run(self):
        async def check(made):
            made.inject(faults.FaultKind.PLATFORM_OUTAGE, faults.ANY, 9.0, None)
            first = await support.Caller(made).send_once(b"two copies", "k1")
            self.assertEqual(first.outcome, "not_run")
            await trio.sleep(15.0)
            second = await support.Caller(made, router=1).send_once(b"two copies", "k1")
            self.assertEqual(second.outcome, "complete")
            self.assertEqual(made.ledger.runs(b"two copies"), 1)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_crash_during_a_call_is_told_as_unknown_and_not_repeated(self):
        async def check(made):
            replies = []
            _strike_pool(made, faults.FaultKind.SLOW, amount=100.0)

            async def ask():
                replies.append(await support.Caller(made).send_once(b"two copies", "k1"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.5)
                _strike_pool(made, faults.FaultKind.CRASH)
            made.board.clear()
            await trio.sleep(3.0)
            replies.append(await support.Caller(made, router=1).send_once(b"two copies", "k1"))
            self.assertEqual([r.outcome for r in replies], ["unknown", "unknown"])
            self.assertEqual(made.ledger.runs(b"two copies"), 1)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_without_key_a_failed_call_is_sent_once(self):
        async def check(made):
            _strike_pool(made, faults.FaultKind.PAUSE)
            reply = await support.Caller(made).send_once(b"two copies")
            self.assertEqual(reply.outcome, "unknown")
            made.board.clear()
            await trio.sleep(5.0)
            self.assertLessEqual(made.ledger.runs(b"two copies"), 1)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_crossed_answer_is_unknown_for_a_call_that_may_not_be_repeated(self):
        async def check(made):
            _strike_pool(made, faults.FaultKind.CROSSED)
            reply = await support.Caller(made).send_once(b"two copies")
            self.assertEqual(reply.outcome, "unknown")
            self.assertEqual(made.ledger.runs(b"two copies"), 1)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_silent_kept_connections_do_not_make_an_order_unknown(self):
        async def check(made):
            caller = support.Caller(made)
            for number in range(6):
                await caller.send("GET", f"/services/catalogue-desk/stock/{number}")
            _strike_pool(made, faults.FaultKind.SILENT)
            reply = await caller.send_once(b"two copies", "k1")
            self.assertEqual(reply.outcome, "complete")

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_caller_that_leaves_while_its_claim_is_made_can_come_back(self):
        async def check(made):
            made.inject(faults.FaultKind.PLATFORM_SLOW, faults.ANY, 3.0, 1.0)
            with trio.move_on_after(0.5):
                await support.Caller(made).send_once(b"two copies", "k1")
            await trio.sleep(8.0)
            reply = await support.Caller(made, router=1).send_once(b"two copies", "k1")
            self.assertEqual(reply.outcome, "complete")
            self.assertEqual(made.ledger.runs(b"two copies"), 1)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_killed_router_leaves_no_task_behind_in_a_claimed_call(self):
        async def check(made):
            _strike_pool(made, faults.FaultKind.SLOW, amount=1000.0)
            vm = next(iter(made.routers))
            replies = []

            async def ask():
                replies.append(await support.Caller(made).send_once(b"two copies", "k1"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.5)
                made.stop_router(vm)
                await trio.sleep(1.0)
                self.assertEqual([reply.outcome for reply in replies], ["broken"])

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_caller_that_leaves_finds_the_answer_on_its_return(self):
        async def check(made):
            _strike_pool(made, faults.FaultKind.SLOW, amount=100.0)
            with trio.move_on_after(0.5):
                await support.Caller(made).send_once(b"two copies", "k1")
            await trio.sleep(5.0)
            reply = await support.Caller(made, router=1).send_once(b"two copies", "k1")
            self.assertEqual(reply.outcome, "complete")
            self.assertEqual(made.ledger.runs(b"two copies"), 1)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)


def _rename_upstreams(made, pool_id):
    """Lets a router place requests at upstreams that joined after it had read them."""
    for running in made.routers.values():
        kernel = running.router.kernel
        current = kernel.find("configuration").current
        pool = current.content.pools[pool_id]
        upstreams = {f"{name}-new": spec for name, spec in pool.upstreams.items()}
        pools = {**current.content.pools, pool_id: dataclasses.replace(pool, upstreams=upstreams)}
        content = dataclasses.replace(current.content, pools=pools)
        later = dataclasses.replace(current, content=content)
        kernel.find("traffic")._traffic.configure(later, trio.current_time())


class JoiningUpstreamTest(unittest.TestCase):
    def test_a_call_reaches_an_upstream_that_joined_while_it_waited(self):
        async def check(made):
            _rename_upstreams(made, made.plan.deployment.service_pool)
            reply = await support.Caller(made).send_once(b"two copies", "k1")
            self.assertEqual((reply.status, reply.outcome), (200, "complete"))
            self.assertEqual(made.ledger.runs(b"two copies"), 1)
            _rename_upstreams(made, made.plan.deployment.model_pool)
            reply = await support.Caller(made).complete("a line")
            self.assertEqual(reply.outcome, "complete")

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)


class RepeatableTest(unittest.TestCase):
    def test_lookup_is_repeated_elsewhere_after_a_crash(self):
        async def check(made):
            made.inject(faults.FaultKind.CRASH, "catalogue-desk-1", 1e9, 1e9)
            made.inject(faults.FaultKind.CRASH, "catalogue-desk-2", 1e9, 1e9)
            reply = await support.Caller(made).send("GET", "/services/catalogue-desk/stock/7")
            self.assertEqual((reply.status, reply.json["path"]), (200, "/stock/7"))

        support.run_in_world(check)

    def test_unknown_service_is_not_run(self):
        async def check(made):
            reply = await support.Caller(made).send("GET", "/services/nowhere/x")
            self.assertEqual((reply.status, reply.outcome), (404, "not_run"))

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)


if __name__ == "__main__":
    unittest.main()
