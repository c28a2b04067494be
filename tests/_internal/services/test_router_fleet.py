"""Several routers together: configuration, membership, draining and crashes of upstreams."""

import dataclasses
import unittest

import msgspec
import trio

from cicadapier._internal.models import configuration
from cicadapier._internal.standins import deployments
from cicadapier._internal.standins import engine_text
from cicadapier._internal.standins import faults
from tests import fuzzing
from tests import support

LONG_PROMPT = "the style sheet asks for plain lines. " * 20


def _run_in_world(check, routers=3):
    support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT, routers=routers)


def _router(world, index):
    return list(world.routers.values())[index].router


async def _patch(world, router, content, base_number):
    address = _router(world, router).operators.address
    target = f"/config/patch?version={base_number}&author=test"
    return await fuzzing.call_operator(world, address, "POST", target, msgspec.json.encode(content))


def _configuration_numbers(world):
    return [running.router.configuration.current.number for running in world.routers.values()]


class ConfigurationTest(unittest.TestCase):
    def test_patch_is_in_force_on_all_routers_within_three_seconds(self):
        async def check(world):
            status, body = await _patch(world, 0, {"accounts": {"new": {"weight": 2.0}}}, 1)
            self.assertEqual((status, body["number"]), (200, 2))
            await trio.sleep(3.0)
            self.assertEqual(_configuration_numbers(world), [2, 2, 2])

        _run_in_world(check)

    def test_key_of_the_last_account_is_refused_everywhere_once_it_is_removed(self):
        # Guards against an empty list of accounts that counts as none (issue 66).
        async def check(world):
            removed = dict.fromkeys(world.declaration()["accounts"])
            status, _ = await _patch(world, 0, {"accounts": removed}, 1)
            self.assertEqual(status, 200)
            await trio.sleep(3.0)
            for index, router in enumerate(world.routers.values()):
                current = router.router.configuration.current
                self.assertFalse(current.has_valid_key)
                self.assertIs(current.key_policy, configuration.KeyPolicy.REQUIRED)
                reply = await support.Caller(world, router=index).complete("x")
                self.assertEqual(reply.status, 401)
            address = _router(world, 0).operators.address
            _, body = await fuzzing.call_operator(world, address, "GET", "/status")
            self.assertEqual((body["keys"], body["valid_keys"]), ("required", 0))

        _run_in_world(check)

    def test_stale_patch_is_refused_with_the_changes_since_its_base(self):
        async def check(world):
            await _patch(world, 0, {"accounts": {"new": {}}}, 1)
            status, body = await _patch(world, 1, {"accounts": {"other": {}}}, 1)
            self.assertEqual((status, body["error"]["current"]), (409, 2))
            self.assertEqual(body["error"]["changes"][0]["paths"], ["accounts.new"])
            await trio.sleep(3.0)
            self.assertEqual(_configuration_numbers(world), [2, 2, 2])

        _run_in_world(check)

    def test_of_two_racing_patches_one_is_accepted(self):
        async def check(world):
            results = []

            async def submit(router):
                results.append(await _patch(world, router, {"accounts": {f"a{router}": {}}}, 1))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit, 0)
                nursery.start_soon(submit, 1)
            self.assertEqual(sorted(status for status, _ in results), [200, 409])

        _run_in_world(check)

    def test_of_two_patches_that_read_the_same_head_one_is_accepted(self):
        async def check(world):
            # The second router reads the head before the first has written it, and writes its own
            # after the first has verified by reading that its patch was accepted.
            world.inject(faults.FaultKind.PLATFORM_SLOW, faults.ANY, 1e9, 0.3)
            results = []

            async def submit(router):
                results.append(await _patch(world, router, {"accounts": {f"a{router}": {}}}, 1))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit, 0)
                await trio.sleep(0.5)
                nursery.start_soon(submit, 1)
            self.assertEqual(sorted(status for status, _ in results), [200, 409])
            await trio.sleep(3.0)
            for running in world.routers.values():
                self.assertIn("a0", running.router.configuration.current.content.accounts)

        _run_in_world(check)

    def test_invalid_patch_names_each_fault_and_changes_nothing(self):
        async def check(world):
            content = {
                "accounts": {"new": {"weight": -1, "pools": ["nowhere"]}},
                "pools": {"quill-models": {"keep": "nowhere", "loads_at_once": 0}},
            }
            status, body = await _patch(world, 0, content, 1)
            self.assertEqual(status, 422)
            paths = {fault["path"] for fault in body["error"]["faults"]}
            self.assertEqual(paths, {"accounts.new.weight", "pools.quill-models.loads_at_once"})
            self.assertEqual(_configuration_numbers(world), [1, 1, 1])

        _run_in_world(check)

    def test_number_in_force_never_decreases(self):
        async def check(world):
            await _patch(world, 0, {"accounts": {"new": {}}}, 1)
            configuration = _router(world, 0).configuration
            old = dataclasses.replace(configuration.document, number=1)
            self.assertFalse(configuration.apply_if_newer(old))
            self.assertEqual(configuration.current.number, 2)

        _run_in_world(check, routers=1)

    def test_patch_is_accepted_although_the_answer_of_the_platform_is_lost(self):
        async def check(world):
            world.inject(faults.FaultKind.PLATFORM_ANSWER_LOST, faults.ANY, 5.0, None)
            status, body = await _patch(world, 0, {"accounts": {"new": {}}}, 1)
            self.assertEqual((status, body["number"]), (200, 2))

        _run_in_world(check)

    def test_patch_reaches_a_router_that_is_cut_off_from_the_platform(self):
        async def check(world):
            world.inject(faults.FaultKind.PARTITION, "fenmoor-b|platform", 1e9, None)
            await trio.sleep(3.0)
            await _patch(world, 0, {"accounts": {"new": {}}}, 1)
            await trio.sleep(3.0)
            self.assertEqual(_configuration_numbers(world), [2, 2, 2])

        _run_in_world(check)

    def test_platform_outage_does_not_affect_callers(self):
        async def check(world):
            world.inject(faults.FaultKind.PLATFORM_OUTAGE, faults.ANY, 1e9, None)
            await trio.sleep(600.0)
            reply = await support.Caller(world).complete(LONG_PROMPT, 4)
            self.assertEqual(reply.outcome, "complete")

        _run_in_world(check, routers=1)


class RestartTest(unittest.TestCase):
    def test_restarted_router_serves_within_a_second_from_its_peers_alone(self):
        async def check(world):
            world.inject(faults.FaultKind.PLATFORM_OUTAGE, faults.ANY, 1e9, None)
            vm = next(iter(world.routers))
            world.stop_router(vm)
            await world.start_router(0)
            await trio.sleep(1.0)
            reply = await support.Caller(world, router=0).complete(LONG_PROMPT, 4)
            self.assertEqual(reply.outcome, "complete")

        _run_in_world(check)

    def test_drain_cuts_none_of_200_streams(self):
        accounts = ["editors", "poets", "catalogue", "grants", "rights"]
        replies = []

        async def check(world):
            async def ask(number):
                caller = support.Caller(world, accounts[number % 5], router=0)
                replies.append((number, await caller.complete(f"poem {number}", 150)))

            async with trio.open_nursery() as nursery:
                for number in range(200):
                    nursery.start_soon(ask, number)
                await trio.sleep(0.8)
                self.assertEqual(replies, [])
                world.stop_router(next(iter(world.routers)), graceful=True)
            for number, reply in replies:
                self.assertEqual(reply.outcome, "complete", reply.body[-200:])
                expected = engine_text.make_answer(f"poem {number}".encode(), 150)
                self.assertEqual(reply.text, expected)

        support.run_in_world(check, deployment=deployments.LARKSPUR, routers=2)
        self.assertEqual(len(replies), 200)

    def test_draining_router_reports_not_ready_and_still_answers(self):
        async def check(world):
            world.stop_router(next(iter(world.routers)), graceful=True)
            await trio.sleep(0.2)
            ready = await support.Caller(world, router=0).send("GET", "/readyz")
            self.assertEqual(ready.status, 503)
            reply = await support.Caller(world, router=0).complete(LONG_PROMPT, 2)
            self.assertEqual(reply.outcome, "complete")

        _run_in_world(check)


class UpstreamsTest(unittest.TestCase):
    def test_leaving_upstream_gets_no_new_requests_after_three_seconds(self):
        async def check(world):
            world.inject(faults.FaultKind.LEAVING, "quill-models-1", 1e9, None)
            since = trio.current_time()
            await trio.sleep(3.0)
            for number in range(12):
                await support.Caller(world, router=number % 3).complete(
                    f"{number} " + LONG_PROMPT, 2
                )
            late = [
                entry
                for entry in world.ledger.entries
                if entry.upstream == "quill-models-1" and entry.at > since + 3.0
            ]
            self.assertEqual(late, [])

        _run_in_world(check)

    def test_poison_request_crashes_at_most_two_engines_and_is_then_refused(self):
        async def check(world):
            world.inject(faults.FaultKind.POISON, "cursed", 1e9, None)
            first = await support.Caller(world, router=0).complete("a cursed poem", 5)
            self.assertEqual(first.code, "request_crashes_upstreams")
            second = await support.Caller(world, router=1).complete("a cursed poem", 5)
            self.assertEqual((second.status, second.outcome), (422, "not_run"))
            crashed = {e.incarnation for e in world.ledger.entries if e.event.value == "crashed"}
            self.assertEqual(len(crashed), 2)

        _run_in_world(check)

    def test_evidence_reaches_the_peers_before_the_caller_has_its_answer(self):
        async def check(world):
            world.inject(faults.FaultKind.POISON, "cursed", 1e9, None)
            await support.Caller(world, router=0).complete("a cursed poem", 5)
            for index in range(3):
                detector = _router(world, index).kernel.find("traffic")._traffic.poison
                evidence = detector.recent_evidence(10, trio.current_time())
                requests = {item.crash.fingerprint for item in evidence}
                self.assertEqual((len(evidence), len(requests)), (2, 1))

        _run_in_world(check)

    def test_shared_piece_that_crashes_engines_is_blocked_until_an_operator_lifts_it(self):
        async def check(world):
            world.inject(faults.FaultKind.POISON, "cursed", 1e9, None)
            cursed = "a cursed line of verse. " * 30

            async def ask(number, start):
                caller = support.Caller(world, router=number % 3)
                return await caller.complete(f"{LONG_PROMPT}{start}{number} of many", 5)

            await ask(0, "a sound line of verse. " * 30)
            for number in range(4):
                await ask(number, cursed)
                await trio.sleep(5.0)
            blocked = await ask(5, cursed)
            self.assertEqual((blocked.status, blocked.outcome), (422, "not_run"))
            sound = await ask(6, "a sound line of verse. " * 30)
            self.assertEqual(sound.outcome, "complete")
            listed = await self._call_operator(world, "GET", "/blocked")
            (part,) = [item["part"] for item in listed["blocked"]]
            world.active_faults.clear(faults.FaultKind.POISON)
            await self._call_operator(world, "POST", f"/blocked/lift?part={part}")
            await trio.sleep(2.0)
            for number in (7, 8):
                self.assertEqual((await ask(number, cursed)).outcome, "complete")

        _run_in_world(check)

    async def _call_operator(self, world, method, target):
        address = _router(world, 0).operators.address
        status, body = await fuzzing.call_operator(world, address, method, target, b"")
        self.assertEqual(status, 200)
        return body

    def test_requests_running_beside_a_poison_request_are_cleared_at_one_router(self):
        self._check_requests_beside_poison(routers=1, others=3)

    def test_requests_running_beside_a_poison_request_are_cleared_at_three_routers(self):
        self._check_requests_beside_poison(routers=3, others=6)

    def _check_requests_beside_poison(self, routers, others):
        async def check(world):
            world.inject(faults.FaultKind.POISON, "cursed", 1e9, None)
            replies = {}

            async def ask(text, router):
                replies[text] = await support.Caller(world, router=router).complete(text, 80)

            async with trio.open_nursery() as nursery:
                for number in range(others):
                    nursery.start_soon(ask, f"poem {number}", number % routers)
                await trio.sleep(0.5)
                nursery.start_soon(ask, "a cursed poem", 0)
            for number in range(others):
                self.assertEqual(replies[f"poem {number}"].outcome, "complete")
            await trio.sleep(2.0)
            later = await support.Caller(world).complete("poem 1", 5)
            self.assertEqual(later.outcome, "complete")

        _run_in_world(check, routers)

    def test_new_weights_are_loaded_on_two_engines_at_a_time_and_running_answers_complete(self):
        async def check(world):
            content = {
                "pools": {
                    "quill-models": {
                        "models": {"quill-verse": {"weights_version": "2"}},
                        "loads_at_once": 2,
                    }
                }
            }
            replies = []

            async def ask():
                replies.append(await support.Caller(world).complete(LONG_PROMPT, 100))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.5)
                await _patch(world, 0, content, 1)
                await trio.sleep(20.0)
            self.assertEqual(replies[0].outcome, "complete")
            versions = {
                upstream.versions["quill-verse"]
                for name, upstream in world.upstreams.items()
                if name.startswith("quill")
            }
            self.assertEqual(versions, {"2"})
            self.assertLessEqual(world.weights.peak_active, 2)
            reply = await support.Caller(world).complete(LONG_PROMPT, 2, stream=False)
            self.assertEqual(reply.json["usage"]["prompt_tokens_details"]["cached_tokens"], 0)

        _run_in_world(check)

    def test_unreadable_lease_stops_no_router_and_no_rollout(self):
        async def check(world):
            lease = {"metadata": {"name": "orders-quill-models"}, "spec": {"holder": 7}}
            world.platform.store.create("leases", lease, trio.current_time())
            content = {
                "pools": {"quill-models": {"models": {"quill-verse": {"weights_version": "2"}}}}
            }
            await _patch(world, 0, content, 1)
            await trio.sleep(20.0)
            versions = {
                upstream.versions["quill-verse"]
                for name, upstream in world.upstreams.items()
                if name.startswith("quill")
            }
            self.assertEqual(versions, {"2"})

        _run_in_world(check)

    def test_fencing_tokens_never_decrease_when_the_holder_is_replaced(self):
        async def check(world):
            def version(number):
                return {
                    "pools": {
                        "quill-models": {"models": {"quill-verse": {"weights_version": number}}}
                    }
                }

            await _patch(world, 0, version("2"), 1)
            await trio.sleep(4.0)
            lease = world.platform.store.get("leases", "orders-quill-models").object["spec"]
            world.stop_router(lease["holder"])
            await _patch(
                world,
                next(i for i in range(3) if list(world.routers)[i] != lease["holder"]),
                version("3"),
                2,
            )
            await trio.sleep(40.0)
            orders = [
                e
                for e in world.ledger.entries
                if e.path == "/orders/load" and "fencing" in e.detail
            ]
            tokens = [e.detail["fencing"] for e in orders]
            self.assertEqual(tokens, sorted(tokens))
            self.assertGreater(tokens[-1], tokens[0])

        _run_in_world(check)


if __name__ == "__main__":
    unittest.main()
