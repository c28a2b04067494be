"""Calls to plain services: they run at most once, and their outcome is reported correctly."""

import dataclasses
import unittest

import trio

from cicadapier._internal.standins import faults
from tests import support


def _inject_pool_fault(world, kind, seconds=1e9, amount=None):
    for upstream in world.upstreams:
        if upstream.startswith("catalogue"):
            world.inject(kind, upstream, seconds, amount)


class OnceOnlyTest(unittest.TestCase):
    def test_repeat_with_the_same_key_gets_the_first_answer(self):
        async def check(world):
            first = await support.Caller(world, router=0).send_once(b"two copies", "k1")
            await trio.sleep(1.0)
            second = await support.Caller(world, router=1).send_once(b"two copies", "k1")
            self.assertEqual((first.status, first.body), (second.status, second.body))
            self.assertEqual(world.ledger.count_starts(b"two copies"), 1)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_same_key_with_another_body_is_refused(self):
        async def check(world):
            await support.Caller(world).send_once(b"two copies", "k1")
            reply = await support.Caller(world).send_once(b"three copies", "k1")
            self.assertEqual((reply.status, reply.code), (422, "idempotency_key_reused"))
            self.assertEqual(world.ledger.count_starts(b"three copies"), 0)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_call_runs_once_when_the_answer_to_its_claim_is_lost(self):
        async def check(world):
            world.inject(faults.FaultKind.PLATFORM_ANSWER_LOST, faults.ANY, 3.0, None)
            reply = await support.Caller(world).send_once(b"two copies", "k1")
            self.assertEqual(reply.outcome, "complete")
            self.assertEqual(world.ledger.count_starts(b"two copies"), 1)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_call_is_refused_as_not_run_while_the_platform_is_down(self):
        async def check(world):
            world.inject(faults.FaultKind.PLATFORM_OUTAGE, faults.ANY, 1e9, None)
            reply = await support.Caller(world).send_once(b"two copies", "k1")
            self.assertEqual((reply.code, reply.outcome), ("claim_unavailable", "not_run"))
            self.assertEqual(world.ledger.count_starts(b"two copies"), 0)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_claim_of_a_refused_call_is_released_so_that_a_repeat_can_run(self):
        async def check(world):
            world.inject(faults.FaultKind.PLATFORM_OUTAGE, faults.ANY, 9.0, None)
            first = await support.Caller(world).send_once(b"two copies", "k1")
            self.assertEqual(first.outcome, "not_run")
            await trio.sleep(15.0)
            second = await support.Caller(world, router=1).send_once(b"two copies", "k1")
            self.assertEqual(second.outcome, "complete")
            self.assertEqual(world.ledger.count_starts(b"two copies"), 1)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_call_interrupted_by_a_crash_is_unknown_and_not_repeated(self):
        async def check(world):
            replies = []
            _inject_pool_fault(world, faults.FaultKind.SLOW, amount=100.0)

            async def send_call():
                replies.append(await support.Caller(world).send_once(b"two copies", "k1"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_call)
                await trio.sleep(0.5)
                _inject_pool_fault(world, faults.FaultKind.CRASH)
            world.active_faults.clear()
            await trio.sleep(3.0)
            replies.append(await support.Caller(world, router=1).send_once(b"two copies", "k1"))
            self.assertEqual([r.outcome for r in replies], ["unknown", "unknown"])
            self.assertEqual(world.ledger.count_starts(b"two copies"), 1)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_failed_call_without_key_is_sent_once(self):
        async def check(world):
            _inject_pool_fault(world, faults.FaultKind.PAUSE)
            reply = await support.Caller(world).send_once(b"two copies")
            self.assertEqual(reply.outcome, "unknown")
            world.active_faults.clear()
            await trio.sleep(5.0)
            self.assertLessEqual(world.ledger.count_starts(b"two copies"), 1)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_answer_to_another_request_makes_a_non_repeatable_call_unknown(self):
        async def check(world):
            _inject_pool_fault(world, faults.FaultKind.CROSSED)
            reply = await support.Caller(world).send_once(b"two copies")
            self.assertEqual(reply.outcome, "unknown")
            self.assertEqual(world.ledger.count_starts(b"two copies"), 1)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_silent_pooled_connection_does_not_make_the_outcome_unknown(self):
        async def check(world):
            caller = support.Caller(world)
            for number in range(6):
                await caller.send("GET", f"/services/catalogue-desk/stock/{number}")
            _inject_pool_fault(world, faults.FaultKind.SILENT)
            reply = await caller.send_once(b"two copies", "k1")
            self.assertEqual(reply.outcome, "complete")

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_caller_that_disconnects_during_its_claim_can_repeat_the_call(self):
        async def check(world):
            world.inject(faults.FaultKind.PLATFORM_SLOW, faults.ANY, 3.0, 1.0)
            with trio.move_on_after(0.5):
                await support.Caller(world).send_once(b"two copies", "k1")
            await trio.sleep(8.0)
            reply = await support.Caller(world, router=1).send_once(b"two copies", "k1")
            self.assertEqual(reply.outcome, "complete")
            self.assertEqual(world.ledger.count_starts(b"two copies"), 1)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_killed_router_ends_the_task_of_a_claimed_call(self):
        async def check(world):
            _inject_pool_fault(world, faults.FaultKind.SLOW, amount=1000.0)
            vm = next(iter(world.routers))
            replies = []

            async def send_call():
                replies.append(await support.Caller(world).send_once(b"two copies", "k1"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_call)
                await trio.sleep(0.5)
                world.stop_router(vm)
                await trio.sleep(1.0)
                self.assertEqual([reply.outcome for reply in replies], ["broken"])

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)

    def test_caller_that_disconnects_gets_the_recorded_answer_on_repeat(self):
        async def check(world):
            _inject_pool_fault(world, faults.FaultKind.SLOW, amount=100.0)
            with trio.move_on_after(0.5):
                await support.Caller(world).send_once(b"two copies", "k1")
            await trio.sleep(5.0)
            reply = await support.Caller(world, router=1).send_once(b"two copies", "k1")
            self.assertEqual(reply.outcome, "complete")
            self.assertEqual(world.ledger.count_starts(b"two copies"), 1)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)


def _rename_upstreams(world, pool_id):
    """Renames the upstreams of a pool in the traffic state of each router.

    The new names stand for upstreams that joined after the requests had been read.
    """
    for running in world.routers.values():
        kernel = running.router.kernel
        current = kernel.find("configuration").current
        pool = current.content.pools[pool_id]
        upstreams = {f"{name}-new": spec for name, spec in pool.upstreams.items()}
        pools = {**current.content.pools, pool_id: dataclasses.replace(pool, upstreams=upstreams)}
        content = dataclasses.replace(current.content, pools=pools)
        changed = dataclasses.replace(current, content=content)
        kernel.find("traffic")._traffic.configure(changed, trio.current_time())


class JoiningUpstreamTest(unittest.TestCase):
    def test_call_reaches_an_upstream_that_joined_while_it_waited(self):
        async def check(world):
            _rename_upstreams(world, world.plan.deployment.service_pool)
            reply = await support.Caller(world).send_once(b"two copies", "k1")
            self.assertEqual((reply.status, reply.outcome), (200, "complete"))
            self.assertEqual(world.ledger.count_starts(b"two copies"), 1)
            _rename_upstreams(world, world.plan.deployment.model_pool)
            reply = await support.Caller(world).complete("a line")
            self.assertEqual(reply.outcome, "complete")

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)


class RepeatableTest(unittest.TestCase):
    def test_lookup_is_retried_on_another_upstream_after_a_crash(self):
        async def check(world):
            world.inject(faults.FaultKind.CRASH, "catalogue-desk-1", 1e9, 1e9)
            world.inject(faults.FaultKind.CRASH, "catalogue-desk-2", 1e9, 1e9)
            reply = await support.Caller(world).send("GET", "/services/catalogue-desk/stock/7")
            self.assertEqual((reply.status, reply.json["path"]), (200, "/stock/7"))

        support.run_in_world(check)

    def test_call_to_an_unknown_service_is_refused_as_not_run(self):
        async def check(world):
            reply = await support.Caller(world).send("GET", "/services/nowhere/x")
            self.assertEqual((reply.status, reply.outcome), (404, "not_run"))

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)


if __name__ == "__main__":
    unittest.main()
