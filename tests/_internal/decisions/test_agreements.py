"""Claims, leases, patches, membership, poison and configuration chunks."""

import random
import unittest

import hypothesis
from hypothesis import strategies as st

from cicadapier._internal.decisions import chunks
from cicadapier._internal.decisions import claims
from cicadapier._internal.decisions import leases
from cicadapier._internal.decisions import membership
from cicadapier._internal.decisions import patches
from cicadapier._internal.decisions import poison
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes

FUZZ = hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=200)


class ClaimStoreModel:
    """A store that may lose answers, for the claim's oracle."""

    def __init__(self):
        self.claim = None

    def create(self, nonce, lost):
        if self.claim is None:
            self.claim = claims.Claim(nonce, "f", claims.ClaimState.CLAIMED)
            result = claims.Created()
        else:
            result = claims.Exists(self.claim)
        return claims.Unanswered("lost") if lost else result


class ClaimsTest(unittest.TestCase):
    @FUZZ
    @hypothesis.given(
        st.lists(st.tuples(st.integers(0, 2), st.booleans(), st.booleans()), max_size=40)
    )
    def test_at_most_one_attempt_ever_runs(self, events):
        store = ClaimStoreModel()
        attempts = [claims.ClaimAttempt(f"n{i}", "f") for i in range(3)]
        steps = [attempt.start() for attempt in attempts]
        for who, lost, down in events:
            if isinstance(steps[who], claims.Create):
                result = claims.Unanswered("down") if down else store.create(f"n{who}", lost)
                steps[who] = attempts[who].handle_result(result)
        running = [i for i, step in enumerate(steps) if isinstance(step, claims.Run)]
        self.assertLessEqual(len(running), 1)
        for who in running:
            self.assertEqual(store.claim.nonce, f"n{who}")

    def test_recorded_answer_is_replayed(self):
        answer = claims.Answer(201, "text/plain", b"booked")
        done = claims.Claim("other", "f", claims.ClaimState.DONE, answer)
        step = claims.ClaimAttempt("mine", "f").handle_result(claims.Exists(done))
        self.assertEqual(step, claims.Replay(answer))

    def test_claim_of_a_vanished_router_stops_asking_the_caller_to_come_back(self):
        held = claims.Claim("other", "f", claims.ClaimState.CLAIMED, None, 1.0)
        step = claims.ClaimAttempt("mine", "f").handle_result(claims.Exists(held))
        self.assertIsNotNone(step.refusal.retry_after_s)
        old = claims.Claim("other", "f", claims.ClaimState.CLAIMED, None, 1e4)
        step = claims.ClaimAttempt("mine", "f").handle_result(claims.Exists(old))
        self.assertIsNone(step.refusal.retry_after_s)
        self.assertEqual(step.refusal.effect, outcomes.Effect.UNKNOWN)

    def test_unknown_outcome_is_never_run_again(self):
        unknown = claims.Claim("other", "f", claims.ClaimState.UNKNOWN)
        step = claims.ClaimAttempt("mine", "f").handle_result(claims.Exists(unknown))
        self.assertEqual(step.refusal.effect, outcomes.Effect.UNKNOWN)

    def test_unanswered_create_is_released_and_not_run(self):
        attempt = claims.ClaimAttempt("mine", "f")
        for _ in range(claims.MAX_CREATE_TRIES):
            step = attempt.handle_result(claims.Unanswered("down"))
        self.assertTrue(step.release_claim)
        self.assertEqual(step.refusal.effect, outcomes.Effect.NOT_RUN)

    def test_names_keep_accounts_apart(self):
        one = claims.claim_name(ids.AccountId("ab"), ids.PoolId("c"), "k")
        other = claims.claim_name(ids.AccountId("a"), ids.PoolId("bc"), "k")
        self.assertNotEqual(one, other)


class LeaseWorld:
    """Two holders and one store with conditional writes."""

    def __init__(self):
        self.stored = None
        self.holders = [leases.Lease(ids.VmId(f"vm{i}"), f"n{i}") for i in range(2)]

    def act(self, who, now, lost):
        holder = self.holders[who]
        holder.observe(self.stored, now)
        proposal = holder.propose(now)
        if proposal:
            self.stored = proposal
            if not lost:
                holder.record_written(proposal, now, now)


class LeasesTest(unittest.TestCase):
    @FUZZ
    @hypothesis.given(
        st.lists(st.tuples(st.integers(0, 1), st.floats(0.1, 6.0), st.booleans()), max_size=40)
    )
    def test_two_holders_never_give_orders_at_once(self, events):
        world = LeaseWorld()
        now = 0.0
        for who, pause, lost in events:
            now += pause
            world.act(who, now, lost)
            numbers = [holder.fencing_token(now) for holder in world.holders]
            self.assertLessEqual(sum(number is not None for number in numbers), 1)

    def test_paused_holder_may_not_order_after_its_lease(self):
        lease = leases.Lease(ids.VmId("vm"), "n")
        lease.record_written(lease.propose(0.0), 0.0, 0.1)
        self.assertEqual(lease.fencing_token(1.0), 1)
        self.assertIsNone(lease.fencing_token(leases.LEASE_DURATION_S - leases.SAFETY_MARGIN_S))

    def test_new_holder_waits_out_orders_in_flight(self):
        world = LeaseWorld()
        world.act(0, 0.0, False)
        world.act(1, 1.0, False)
        world.act(1, 12.0, False)
        self.assertIsNone(world.holders[1].fencing_token(12.5))
        self.assertEqual(world.holders[1].fencing_token(12.0 + leases.MAX_ORDER_S), 2)


class ReleasedLeaseTest(unittest.TestCase):
    TIMING = leases.LeaseTiming(1.6, 2.0, 0.6, 0.0, quiet_s=3.3, reacquires_at_once=True)

    def _take(self, vm, nonce, seen, now):
        """Observes a lease, takes it and returns whoever holds it then."""
        lease = leases.Lease(ids.VmId(vm), nonce, self.TIMING)
        lease.observe(seen, now)
        lease.record_written(lease.propose(now), now, now)
        return lease

    def _released(self):
        first = self._take("vm", "n1", None, 0.0)
        self.assertEqual(first.fencing_token(0.1), 1)
        return first.propose_release()

    def test_the_router_that_gave_it_up_orders_at_once_after_its_restart(self):
        again = self._take("vm", "n2", self._released(), 1.0)
        self.assertEqual(again.fencing_token(1.0), 2)

    def test_another_router_keeps_its_distance(self):
        other = self._take("other", "n3", self._released(), 1.0)
        self.assertIsNone(other.fencing_token(4.2))

    def test_one_that_gave_it_up_while_it_waited_for_others_waits_on(self):
        waiting = self._take("other", "n3", self._released(), 1.0)
        again = self._take("other", "n4", waiting.propose_release(), 1.1)
        self.assertIsNone(again.fencing_token(1.2))


_DOCUMENTS = st.recursive(
    st.integers(0, 3) | st.booleans(),
    lambda inner: st.dictionaries(st.sampled_from("abc"), inner, max_size=3),
    max_leaves=8,
)


class WriteTimeoutTest(unittest.TestCase):
    def test_a_quick_store_is_asked_again_several_times_within_a_lease(self):
        timeout = leases.WriteTimeout()
        timeout.record_answer(0.005)
        waited_s = 0.0
        for _ in range(3):
            waited_s += timeout.timeout_s
            timeout.record_timeout()
        self.assertLess(waited_s, 0.8)

    def test_a_slow_store_gets_the_time_that_it_takes(self):
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
    def test_difference_leads_from_one_document_to_the_other(self, old, new):
        merged = patches.merge(old, patches.difference(old, new))
        self.assertEqual(merged, new)
        self.assertEqual(patches.changed_paths(old, new) == [], old == new)

    def test_stale_patch_is_told_what_has_changed(self):
        change = patches.Change(ids.ConfigNumber(2), ids.PatchId("p"), "ana", 0.0, ("accounts.a",))
        result = patches.evaluate({}, ids.ConfigNumber(2), (change,), {}, ids.ConfigNumber(1))
        self.assertEqual(result, patches.Stale(ids.ConfigNumber(2), (change,)))

    def test_chunks_join_to_the_document_and_change_alone(self):
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

    def test_silent_router_is_unreachable_and_stays_a_member(self):
        me, other = self._membership(), self._membership("other")
        me.merge_heartbeats([other.advance_heartbeat()], 0.0)
        self.assertEqual(len(me.reachable(1.0)), 1)
        self.assertEqual(me.reachable(5.0), [])
        self.assertEqual(me.router_count(5.0), 2)

    def test_old_heartbeat_revives_nobody(self):
        me, other = self._membership(), self._membership("other")
        old = other.advance_heartbeat()
        me.merge_heartbeats([other.advance_heartbeat()], 0.0)
        me.merge_heartbeats([old], 4.0)
        self.assertEqual(me.reachable(5.0), [])

    def test_unlisted_and_silent_router_is_dropped(self):
        me, other = self._membership(), self._membership("other")
        me.merge_heartbeats([other.advance_heartbeat()], 0.0)
        me.drop_unlisted({ids.VmId("me")}, 1.0)
        self.assertEqual(me.router_count(1.0), 2)
        me.drop_unlisted({ids.VmId("me")}, 5.0)
        self.assertEqual(me.router_count(5.0), 1)

    def test_restarted_router_outlives_its_earlier_self(self):
        me = self._membership(generation=1)
        earlier = membership.Heartbeat(
            ids.VmId("me"), ids.Address("me:1"), ids.FailureDomainId("d"), 4, 9
        )
        me.merge_heartbeats([earlier], 0.0)
        self.assertTrue(me.own.is_newer_than(earlier))

    def test_message_does_not_grow_with_the_fleet(self):
        me = self._membership()
        fleet = [self._membership(f"vm{i}").advance_heartbeat() for i in range(1500)]
        me.merge_heartbeats(fleet, 0.0)
        rng = random.Random(1)
        self.assertEqual(len(me.sample(0.0, rng)), membership.SAMPLE_ENTRIES)
        self.assertEqual(len(me.choose_targets([], 0.0, rng, 1)), 1)


class PoisonTest(unittest.TestCase):
    def _crash(self, upstream, name="f"):
        return poison.Crash(ids.Fingerprint(name), ids.UpstreamId(upstream), ids.Incarnation("1"))

    def test_two_crashes_hold_a_request_and_one_does_not(self):
        detector = poison.PoisonDetector()
        detector.record_crash(self._crash("a"), 0.0)
        detector.record_crash(self._crash("a"), 0.0)
        self.assertFalse(detector.is_blocked(ids.Fingerprint("f"), 0.0))
        self.assertTrue(detector.is_suspect(ids.Fingerprint("f"), 0.0))
        detector.record_crash(self._crash("b"), 0.0)
        self.assertTrue(detector.is_blocked(ids.Fingerprint("f"), 0.0))

    def test_completion_clears_and_time_forgets(self):
        detector = poison.PoisonDetector()
        detector.record_crash(self._crash("a"), 0.0)
        self.assertTrue(detector.clear(ids.Fingerprint("f")))
        detector.record_crash(self._crash("a"), 0.0)
        detector.record_crash(self._crash("b"), 0.0)
        self.assertFalse(detector.is_blocked(ids.Fingerprint("f"), poison.CRASH_EVIDENCE_S + 1))

    def test_evidence_is_bounded(self):
        detector = poison.PoisonDetector()
        for number in range(poison.MAX_SUSPECTS + 10):
            detector.record_crash(self._crash("a", f"f{number}"), 0.0)
        self.assertEqual(len(detector), poison.MAX_SUSPECTS)


if __name__ == "__main__":
    unittest.main()
