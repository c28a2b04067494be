"""Claims, leases, configuration patches and chunks, and router membership."""

import random
import unittest

import hypothesis
from hypothesis import strategies as st

from cicadapier._internal.decisions import chunks
from cicadapier._internal.decisions import claims
from cicadapier._internal.decisions import leases
from cicadapier._internal.decisions import membership
from cicadapier._internal.decisions import patches
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes

FUZZ = hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=200)


class ClaimStoreModel:
    """In-memory store of one claim, whose answers may be lost."""

    def __init__(self):
        self.claim = None

    def create(self, nonce, is_lost):
        if self.claim is None:
            self.claim = claims.Claim(nonce, "f", claims.ClaimState.CLAIMED)
            result = claims.Created()
        else:
            result = claims.Exists(self.claim)
        return claims.Unanswered("lost") if is_lost else result


class ClaimsTest(unittest.TestCase):
    @FUZZ
    @hypothesis.given(
        st.lists(st.tuples(st.integers(0, 2), st.booleans(), st.booleans()), max_size=40)
    )
    def test_at_most_one_attempt_runs_the_call(self, events):
        store = ClaimStoreModel()
        attempts = [claims.ClaimAttempt(f"n{i}", "f") for i in range(3)]
        steps = [attempt.start() for attempt in attempts]
        for index, is_lost, is_down in events:
            if isinstance(steps[index], claims.Create):
                result = (
                    claims.Unanswered("down") if is_down else store.create(f"n{index}", is_lost)
                )
                steps[index] = attempts[index].handle_result(result)
        running = [i for i, step in enumerate(steps) if isinstance(step, claims.Run)]
        self.assertLessEqual(len(running), 1)
        for index in running:
            self.assertEqual(store.claim.nonce, f"n{index}")

    def test_recorded_answer_is_replayed(self):
        answer = claims.Answer(201, "text/plain", b"booked")
        done = claims.Claim("other", "f", claims.ClaimState.DONE, answer)
        step = claims.ClaimAttempt("mine", "f").handle_result(claims.Exists(done))
        self.assertEqual(step, claims.Replay(answer))

    def test_caller_is_not_asked_to_retry_once_a_claim_is_abandoned(self):
        held = claims.Claim("other", "f", claims.ClaimState.CLAIMED, None, 1.0)
        step = claims.ClaimAttempt("mine", "f").handle_result(claims.Exists(held))
        self.assertIsNotNone(step.refusal.retry_after_s)
        old = claims.Claim("other", "f", claims.ClaimState.CLAIMED, None, 1e4)
        step = claims.ClaimAttempt("mine", "f").handle_result(claims.Exists(old))
        self.assertIsNone(step.refusal.retry_after_s)
        self.assertEqual(step.refusal.effect, outcomes.Effect.UNKNOWN)

    def test_call_with_an_unknown_outcome_is_not_run_again(self):
        unknown = claims.Claim("other", "f", claims.ClaimState.UNKNOWN)
        step = claims.ClaimAttempt("mine", "f").handle_result(claims.Exists(unknown))
        self.assertEqual(step.refusal.effect, outcomes.Effect.UNKNOWN)

    def test_call_is_refused_and_its_claim_released_if_no_create_is_answered(self):
        attempt = claims.ClaimAttempt("mine", "f")
        for _ in range(claims.MAX_CREATE_TRIES):
            step = attempt.handle_result(claims.Unanswered("down"))
        self.assertTrue(step.release_claim)
        self.assertEqual(step.refusal.effect, outcomes.Effect.NOT_RUN)

    def test_claim_names_of_different_accounts_differ(self):
        one = claims.claim_name(ids.AccountId("ab"), ids.PoolId("c"), "k")
        other = claims.claim_name(ids.AccountId("a"), ids.PoolId("bc"), "k")
        self.assertNotEqual(one, other)


class LeaseSimulation:
    """Two routers that compete for one lease in a store with conditional writes."""

    def __init__(self):
        self.stored = None
        self.routers = [leases.Lease(ids.VmId(f"vm{i}"), f"n{i}") for i in range(2)]

    def take_or_renew(self, index, now, is_lost):
        router = self.routers[index]
        router.observe(self.stored, now)
        proposal = router.propose(now)
        if proposal:
            router.begin_write(proposal, now)
            self.stored = proposal
            if not is_lost:
                router.observe(proposal, now)


class LeasesTest(unittest.TestCase):
    @FUZZ
    @hypothesis.given(
        st.lists(st.tuples(st.integers(0, 1), st.floats(0.1, 6.0), st.booleans()), max_size=40)
    )
    def test_at_most_one_router_may_send_orders(self, events):
        simulation = LeaseSimulation()
        now = 0.0
        for index, pause_s, is_lost in events:
            now += pause_s
            simulation.take_or_renew(index, now, is_lost)
            tokens = [router.fencing_token(now) for router in simulation.routers]
            self.assertLessEqual(sum(token is not None for token in tokens), 1)

    def test_paused_holder_may_not_send_orders_after_its_lease_validity(self):
        lease = leases.Lease(ids.VmId("vm"), "n")
        proposal = lease.propose(0.0)
        lease.begin_write(proposal, 0.0)
        lease.observe(proposal, 0.1)
        self.assertEqual(lease.fencing_token(1.0), 1)
        self.assertIsNone(lease.fencing_token(leases.LEASE_DURATION_S - leases.SAFETY_MARGIN_S))

    def test_new_holder_waits_for_orders_in_flight(self):
        simulation = LeaseSimulation()
        simulation.take_or_renew(0, 0.0, False)
        simulation.take_or_renew(1, 1.0, False)
        simulation.take_or_renew(1, 12.0, False)
        self.assertIsNone(simulation.routers[1].fencing_token(12.5))
        self.assertEqual(simulation.routers[1].fencing_token(12.0 + leases.MAX_ORDER_S), 2)

    def test_holder_after_a_lost_lease_waits_for_orders_of_the_unknown_one(self):
        simulation = LeaseSimulation()
        first, second = simulation.routers
        proposal = first.propose(0.0)
        first.begin_write(proposal, 0.0)
        for router in simulation.routers:
            router.observe(proposal, 0.0)
        last_order_at = leases.LEASE_DURATION_S - leases.SAFETY_MARGIN_S - 0.01
        self.assertIsNotNone(first.fencing_token(last_order_at))
        second.observe(None, 0.1)
        for tenths in range(2, 200):
            now = tenths / 10
            if proposal := second.propose(now):
                second.begin_write(proposal, now)
                second.observe(proposal, now)
            if second.fencing_token(now) is not None:
                break
        self.assertIsNotNone(second.fencing_token(now))
        self.assertGreaterEqual(now, last_order_at + leases.MAX_ORDER_S)


class ReleasedLeaseTest(unittest.TestCase):
    TIMING = leases.LeaseTiming(1.6, 2.0, 0.6, 0.0, quiet_s=3.3, reacquires_at_once=True)

    def _take(self, vm, nonce, stored, now, host=""):
        """Takes the stored lease for a router and returns the router's view of it."""
        lease = leases.Lease(ids.VmId(vm), nonce, self.TIMING, ids.Host(host))
        lease.observe(stored, now)
        proposal = lease.propose(now)
        lease.begin_write(proposal, now)
        lease.observe(proposal, now)
        return lease

    def _released(self):
        """Returns a lease that VM "vm" has held and released."""
        first = self._take("vm", "n1", None, 0.0)
        self.assertEqual(first.fencing_token(0.1), 1)
        return first.propose_release(0.1)

    def test_restarted_router_may_send_orders_at_once_after_its_own_release(self):
        again = self._take("vm", "n2", self._released(), 1.0)
        self.assertEqual(again.fencing_token(1.0), 2)

    def test_another_host_under_the_name_of_the_holder_waits_like_another_router(self):
        other_host = self._take("vm", "n2", self._released(), 1.0, "10.0.0.2")
        self.assertIsNone(other_host.fencing_token(4.2))
        running = leases.LeaseObject(ids.VmId("vm"), "n1", 1, 1, host=ids.Host("10.0.0.1"))
        other_host = leases.Lease(ids.VmId("vm"), "n2", self.TIMING, ids.Host("10.0.0.2"))
        other_host.observe(running, 0.0)
        self.assertIsNone(other_host.propose(1.9))
        same_host = leases.Lease(ids.VmId("vm"), "n3", self.TIMING, ids.Host("10.0.0.1"))
        same_host.observe(running, 0.0)
        self.assertEqual(same_host.propose(0.1).fencing, 2)

    def test_other_router_waits_for_the_quiet_time_after_a_release(self):
        other = self._take("other", "n3", self._released(), 1.0)
        self.assertIsNone(other.fencing_token(4.2))

    def test_remaining_quiet_time_survives_a_release_during_the_wait(self):
        waiting = self._take("other", "n3", self._released(), 1.0)
        again = self._take("other", "n4", waiting.propose_release(1.1), 1.1)
        self.assertIsNone(again.fencing_token(1.2))


_DOCUMENTS = st.recursive(
    st.integers(0, 3) | st.booleans(),
    lambda inner: st.dictionaries(st.sampled_from("abc"), inner, max_size=3),
    max_leaves=8,
)


class WriteTimeoutTest(unittest.TestCase):
    def test_writes_to_a_fast_store_are_retried_several_times_within_a_lease(self):
        timeout = leases.WriteTimeout()
        timeout.record_answer(0.005)
        waited_s = 0.0
        for _ in range(3):
            waited_s += timeout.timeout_s
            timeout.record_timeout()
        self.assertLess(waited_s, 0.8)

    def test_timeout_grows_for_a_slow_store(self):
        timeout = leases.WriteTimeout()
        timeout.record_answer(0.005)
        for _ in range(8):
            timeout.record_timeout()
        self.assertEqual(timeout.timeout_s, leases.MAX_WRITE_TIMEOUT_S)
        timeout.record_answer(0.15)
        self.assertGreater(timeout.timeout_s, 0.3)


class PatchesTest(unittest.TestCase):
    @FUZZ
    @hypothesis.given(
        st.dictionaries(st.sampled_from("abc"), _DOCUMENTS, max_size=3),
        st.dictionaries(st.sampled_from("abc"), _DOCUMENTS, max_size=3),
    )
    def test_difference_is_the_patch_from_one_document_to_the_other(self, old, new):
        merged = patches.merge(old, patches.difference(old, new))
        self.assertEqual(merged, new)
        self.assertEqual(patches.changed_paths(old, new) == [], old == new)

    def test_result_of_a_stale_patch_lists_the_newer_changes(self):
        change = patches.Change(ids.ConfigNumber(2), ids.PatchId("p"), "ana", 0.0, ("accounts.a",))
        result = patches.evaluate({}, ids.ConfigNumber(2), (change,), {}, ids.ConfigNumber(1))
        self.assertEqual(result, patches.Stale(ids.ConfigNumber(2), (change,)))

    def _patch_pools(self, before, patch):
        """Returns the result of a patch to the permitted pools of one account."""
        document = {
            "accounts": {"a": {"pools": before} if before is not None else {}},
            "pools": {"p": {"kind": "service"}, "q": {"kind": "service"}},
        }
        number = ids.ConfigNumber(1)
        return patches.evaluate(document, number, (), {"accounts": {"a": patch}}, number)

    def test_patch_that_takes_the_last_permitted_pool_is_invalid(self):
        # Guards against an account that may use all pools because none is left to it (issue 66).
        result = self._patch_pools(["p"], {"pools": []})
        self.assertIsInstance(result, patches.Invalid)
        self.assertEqual(result.faults[0].path, "accounts.a.pools")

    def test_patches_that_say_which_pools_are_permitted(self):
        for before, patch in (
            (["p"], {"pools": None}),
            (["p"], {"pools": ["q"]}),
            (["p"], None),
            ([], {"pools": []}),
            (None, {"pools": []}),
            ([], {"weight": 2.0}),
        ):
            with self.subTest(before=before, patch=patch):
                self.assertIsInstance(self._patch_pools(before, patch), patches.Accepted)

    def test_chunks_join_to_the_document_and_one_change_affects_one_chunk(self):
        accounts = {f"account-{i}": {"weight": 1.0} for i in range(1000)}
        document = {"accounts": accounts, "pools": {"p": {"kind": "keep"}, "q": {"kind": "keep"}}}
        before = chunks.split(document)
        self.assertEqual(chunks.join(before.values()), document)
        changed = {**document, "accounts": {**accounts, "account-7": {"weight": 2.0}}}
        after = chunks.split(changed)
        self.assertEqual(sum(before[key] != after[key] for key in before), 1)


class MembershipTest(unittest.TestCase):
    def _membership(self, vm="me", generation=1):
        heartbeat = membership.Heartbeat(
            ids.VmId(vm), ids.Address(f"{vm}:1"), ids.FailureDomainId("d"), generation, 0
        )
        return membership.Membership(heartbeat)

    def test_router_without_heartbeats_is_unreachable_but_remains_a_member(self):
        local, other = self._membership(), self._membership("other")
        local.merge_heartbeats([other.advance_heartbeat()], 0.0)
        self.assertEqual(len(local.reachable(1.0)), 1)
        self.assertEqual(local.reachable(5.0), [])
        self.assertEqual(local.router_count(5.0), 2)

    def test_old_heartbeat_does_not_make_a_router_reachable(self):
        local, other = self._membership(), self._membership("other")
        old = other.advance_heartbeat()
        local.merge_heartbeats([other.advance_heartbeat()], 0.0)
        local.merge_heartbeats([old], 4.0)
        self.assertEqual(local.reachable(5.0), [])

    def test_unlisted_router_is_dropped_once_it_is_unreachable(self):
        local, other = self._membership(), self._membership("other")
        local.merge_heartbeats([other.advance_heartbeat()], 0.0)
        local.drop_unlisted({ids.VmId("me")}, 1.0)
        self.assertEqual(local.router_count(1.0), 2)
        local.drop_unlisted({ids.VmId("me")}, 5.0)
        self.assertEqual(local.router_count(5.0), 1)

    def test_restarted_router_supersedes_the_heartbeat_of_its_earlier_process(self):
        local = self._membership(generation=1)
        earlier = membership.Heartbeat(
            ids.VmId("me"), ids.Address("me:1"), ids.FailureDomainId("d"), 4, 9
        )
        local.merge_heartbeats([earlier], 0.0)
        self.assertTrue(local.own.is_newer_than(earlier))

    def test_sample_and_targets_do_not_grow_with_the_fleet(self):
        local = self._membership()
        fleet = [self._membership(f"vm{i}").advance_heartbeat() for i in range(1500)]
        local.merge_heartbeats(fleet, 0.0)
        rng = random.Random(1)
        self.assertEqual(len(local.sample(0.0, rng)), membership.SAMPLE_ENTRIES)
        self.assertEqual(len(local.choose_targets([], 0.0, rng, 1)), 1)


if __name__ == "__main__":
    unittest.main()
