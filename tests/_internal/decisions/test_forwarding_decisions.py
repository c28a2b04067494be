"""Freshness, named weights, the directory, the order of weights, and leases that end quickly."""

import dataclasses
import itertools
import math
import unittest

import hypothesis
from hypothesis import strategies as st

from cicadapier._internal.decisions import directory
from cicadapier._internal.decisions import freshness
from cicadapier._internal.decisions import leases
from cicadapier._internal.decisions import rollout
from cicadapier._internal.decisions import target_weights
from cicadapier._internal.models import configuration
from cicadapier._internal.models import directory as directory_models
from cicadapier._internal.models import ids

FUZZ = hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=300)
MODEL = ids.ModelId("verse")
POOL = ids.PoolId("models")
TIMING = leases.LeaseTiming(1.6, 2.0, 0.6, 0.0, 3.3, reacquires_at_once=True)
LEASE_S = 3.0


def entry(name="a", born=1, leaving=False, weights="1"):
    return directory_models.Registration(
        ids.UpstreamId(name),
        POOL,
        ids.Address("10.0.0.1:80"),
        ids.FailureDomainId("here"),
        ids.Incarnation(f"{name}@{born}"),
        8,
        leaving,
        {MODEL: weights},
    )


class FreshnessTest(unittest.TestCase):
    def test_nothing_is_fresh_without_proof(self):
        proof = freshness.Freshness(4.0)
        self.assertFalse(proof.is_fresh(0.0))
        self.assertEqual(proof.age_s(0.0), math.inf)

    def test_the_proof_is_as_old_as_the_question(self):
        proof = freshness.Freshness(4.0)
        proof.record_proof(10.0)
        self.assertTrue(proof.is_fresh(13.9))
        self.assertFalse(proof.is_fresh(14.0))

    def test_an_answer_that_was_long_on_its_way_does_not_take_back_a_newer_proof(self):
        proof = freshness.Freshness(4.0)
        proof.record_proof(10.0)
        proof.record_proof(3.0)
        self.assertEqual(proof.age_s(11.0), 1.0)


class NamedWeightsTest(unittest.TestCase):
    def setUp(self):
        self.targets = target_weights.TargetWeights(10.0)

    def test_without_a_name_all_weights_are_current(self):
        found = self.targets.status(MODEL, "1", 0.0)
        self.assertIs(found, target_weights.VersionStatus.CURRENT)

    def test_older_weights_are_outdated_and_then_barred(self):
        self.targets.set_target(MODEL, 2, 0.0)
        self.assertIs(self.targets.status(MODEL, "1", 5.0), target_weights.VersionStatus.OUTDATED)
        self.assertIs(self.targets.status(MODEL, "1", 8.0), target_weights.VersionStatus.EXPIRED)
        self.assertIs(self.targets.status(MODEL, "2", 8.0), target_weights.VersionStatus.CURRENT)

    def test_each_version_counts_from_its_own_name(self):
        self.targets.set_target(MODEL, 2, 0.0)
        self.targets.set_target(MODEL, 3, 6.0)
        self.assertIs(self.targets.status(MODEL, "1", 9.0), target_weights.VersionStatus.EXPIRED)
        self.assertIs(self.targets.status(MODEL, "2", 9.0), target_weights.VersionStatus.OUTDATED)
        self.assertIs(self.targets.status(MODEL, "2", 14.0), target_weights.VersionStatus.EXPIRED)

    def test_an_older_name_that_comes_late_changes_nothing(self):
        self.assertTrue(self.targets.set_target(MODEL, 3, 0.0))
        self.assertFalse(self.targets.set_target(MODEL, 2, 1.0))
        self.assertEqual(self.targets.newest(MODEL), 3)

    def test_many_names_are_forgotten_once_newer_ones_bar_all_before(self):
        for version in range(2, 200):
            self.targets.set_target(MODEL, version, float(version))
        self.assertLess(len(self.targets._targets[MODEL]), 20)
        self.assertIs(self.targets.status(MODEL, "1", 200.0), target_weights.VersionStatus.EXPIRED)


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.known = directory.Directory()

    def test_a_removed_entry_is_gone_at_once(self):
        self.known.listed([entry()], 0.0)
        self.known.removed(ids.UpstreamId("a"), 1.0)
        self.assertIsNone(self.known.find(ids.UpstreamId("a")))

    def test_a_leaving_entry_gets_no_new_work(self):
        self.known.listed([entry()], 0.0)
        self.known.changed(entry(leaving=True))
        pools = self.known.pools({POOL: configuration.Pool(configuration.PoolKind.MODEL)})
        self.assertTrue(pools[POOL].upstreams["a"].leaving)

    def test_entries_that_lapsed_in_an_outage_are_kept_for_a_moment(self):
        self.known.listed([entry("a"), entry("b")], 0.0)
        self.known.store_lost()
        self.known.store_answered(10.0)
        self.known.removed(ids.UpstreamId("a"), 10.1)
        self.known.listed([], 10.2)
        self.assertEqual(len(self.known.registrations()), 2)
        self.known.changed(entry("b"))
        self.assertTrue(self.known.expire(10.0 + directory.REREGISTRATION_GRACE_S))
        found = [item.upstream for item in self.known.registrations()]
        self.assertEqual(found, ["b"])

    def test_a_leaving_entry_that_lapsed_is_not_kept(self):
        self.known.listed([entry(leaving=True)], 0.0)
        self.known.store_lost()
        self.known.store_answered(10.0)
        self.known.listed([], 10.0)
        self.assertEqual(self.known.registrations(), [])

    def test_a_removal_long_after_an_outage_is_believed(self):
        self.known.listed([entry()], 0.0)
        self.known.store_lost()
        self.known.store_answered(10.0)
        self.known.removed(ids.UpstreamId("a"), 13.0)
        self.assertEqual(self.known.registrations(), [])

    def test_unreadable_entries_are_skipped_by_themselves(self):
        self.known.listed([directory_models.Unreadable("x", "bad"), entry()], 0.0)
        self.assertEqual(len(self.known.registrations()), 1)
        self.assertEqual(self.known.unreadable, 1)

    def test_the_same_id_started_again_is_another_incarnation(self):
        self.known.listed([entry(born=1)], 0.0)
        self.known.changed(entry(born=2))
        self.assertEqual(self.known.find(ids.UpstreamId("a")).incarnation, "a@2")


def engine(name, version=1, running=0):
    return rollout.Engine(ids.UpstreamId(name), ids.Incarnation(f"{name}@1"), version, running)


class ChoiceOfEnginesTest(unittest.TestCase):
    def test_some_engines_are_left_serving(self):
        fleet = [engine(name) for name in "abcde"]
        chosen = rollout.choose_engines(fleet, 2, ())
        self.assertLess(len(chosen), len(fleet))
        self.assertEqual(rollout.choose_engines(fleet, 2, chosen), [])

    def test_a_single_engine_is_ordered_too(self):
        self.assertEqual(rollout.choose_engines([engine("a")], 2, ()), ["a"])

    def test_time_is_left_until_the_first_newer_name_bars_a_version(self):
        targets = target_weights.TargetWeights(10.0)
        targets.set_target(MODEL, 2, 1.0)
        targets.set_target(MODEL, 3, 4.0)
        self.assertEqual(targets.remaining_s(MODEL, "1", 5.0), 4.0)
        self.assertEqual(targets.remaining_s(MODEL, "2", 5.0), 7.0)
        self.assertEqual(targets.remaining_s(MODEL, "3", 5.0), math.inf)
        unbounded = target_weights.TargetWeights(math.inf)
        unbounded.set_target(MODEL, 2, 1.0)
        outdated = target_weights.VersionStatus.OUTDATED
        self.assertIs(unbounded.status(MODEL, "1", 5.0), outdated)

    def test_the_oldest_weights_go_first(self):
        fleet = [engine("a", 2), engine("b", 1, running=9), engine("c", 2), engine("d", 2)]
        self.assertEqual(rollout.choose_engines(fleet, 3, ()), ["b"])

    def test_more_at_once_where_the_rest_would_not_be_done_in_time(self):
        for left_s, count in ((math.inf, 4), (6.4, 4), (4.0, 5), (0.5, 6), (-1.0, 6)):
            with self.subTest(left_s=left_s):
                fleet = [
                    dataclasses.replace(engine(f"e{i}"), remaining_s=left_s) for i in range(10)
                ]
                self.assertEqual(len(rollout.choose_engines(fleet, 2, ())), count)

    def test_engines_whose_runs_end_soonest_come_first(self):
        fleet = [engine("a", running=9), engine("b", running=1), engine("c", running=5)]
        self.assertEqual(rollout.choose_engines(fleet, 2, ())[0], "b")

    def test_engines_with_the_version_or_unknown_ones_are_left_alone(self):
        fleet = [engine("a", version=2), engine("b", version=None), engine("c", version=3)]
        self.assertEqual(rollout.choose_engines(fleet, 2, ()), [])


class EngineUpdateTest(unittest.TestCase):
    def setUp(self):
        self.update = rollout.EngineUpdate(2, 0.0)

    def _begin(self, orders=4):
        step = self.update.handle_report(
            rollout.EngineReport(1, False, orders), rollout.MAX_QUEUE_DRAIN_S + 0.1
        )
        self.assertIs(step, rollout.Step.ORDER)
        self.assertEqual(self.update.expected_orders, orders)

    def test_requests_that_have_not_begun_are_let_begin_first(self):
        report = rollout.EngineReport(1, False, 0, running=9, waiting=3)
        self.assertIs(self.update.handle_report(report, 0.35), rollout.Step.POLL)
        late = rollout.MAX_QUEUE_DRAIN_S + 0.01
        self.assertIs(self.update.handle_report(report, late), rollout.Step.ORDER)

    def test_an_accepted_order_is_done_when_the_engine_says_so(self):
        self._begin()
        self.assertIs(self.update.handle_reply(rollout.Reply.ACCEPTED, 2.0), rollout.Step.POLL)
        self.assertIs(
            self.update.handle_report(rollout.EngineReport(1, True, 5), 2.2), rollout.Step.POLL
        )
        self.assertIs(
            self.update.handle_report(rollout.EngineReport(2, False, 5), 2.6), rollout.Step.DONE
        )

    def test_an_unanswered_order_is_looked_up_and_sent_under_the_same_count(self):
        self._begin()
        self.assertIs(self.update.handle_reply(rollout.Reply.NONE, 2.0), rollout.Step.POLL)
        same = rollout.EngineReport(1, False, 4)
        self.assertIs(self.update.handle_report(same, 2.1), rollout.Step.POLL)
        self.assertIs(self.update.handle_report(same, 3.0), rollout.Step.ORDER)
        self.assertEqual(self.update.expected_orders, 4)

    def test_an_old_report_does_not_lower_the_count_of_accepted_orders(self):
        self._begin()
        self.update.handle_reply(rollout.Reply.ACCEPTED, 2.0)
        step = self.update.handle_report(
            rollout.EngineReport(1, False, 4), 2.0 + rollout.RETRY_ACCEPTED_AFTER_S
        )
        self.assertIs(step, rollout.Step.ORDER)
        self.assertEqual(self.update.expected_orders, 5)

    def test_another_instance_or_a_lost_lease_ends_it(self):
        for reply in (rollout.Reply.OTHER_INSTANCE, rollout.Reply.FENCED):
            self.assertIs(
                rollout.EngineUpdate(2, 0.0).handle_reply(reply, 0.1), rollout.Step.GIVE_UP
            )

    def test_it_gives_up_at_last(self):
        step = self.update.handle_report(
            rollout.EngineReport(1, True, 0), rollout.UPDATE_TIMEOUT_S + 0.1
        )
        self.assertIs(step, rollout.Step.GIVE_UP)


class LeaseWorld:
    """Routers that race for one lease in a store whose answers may be lost."""

    def __init__(self, count=3):
        self.stored = None
        self.holders = [leases.Lease(ids.VmId(f"vm{i}"), f"n{i}", TIMING) for i in range(count)]
        self.orders = []

    def act(self, who, now, lost, release=False):
        holder = self.holders[who]
        holder.observe(self.stored, now)
        proposal = holder.propose_release() if release else holder.propose(now)
        if proposal:
            self.stored = proposal
            if not lost:
                holder.record_written(proposal, now, now)

    def order(self, who, now):
        number = self.holders[who].fencing_token(now)
        if number is not None:
            self.orders.append((now, who, number))


class QuickLeaseTest(unittest.TestCase):
    @FUZZ
    @hypothesis.given(
        st.lists(
            st.tuples(st.integers(0, 2), st.floats(0.05, 4.0), st.booleans(), st.integers(0, 5)),
            max_size=60,
        )
    )
    def test_orders_of_two_routers_are_apart_and_numbers_grow(self, events):
        world = LeaseWorld()
        now = 0.0
        for who, pause, lost, chance in events:
            now += pause
            world.act(who, now, lost, release=chance == 0)
            for router in range(3):
                world.order(router, now)
        for before, after in itertools.pairwise(world.orders):
            self.assertGreaterEqual(after[2], before[2])
            if after[1] != before[1]:
                self.assertGreaterEqual(after[0] - before[0], LEASE_S)
                self.assertGreater(after[2], before[2])

    def test_a_write_that_took_effect_without_an_answer_is_taken_up(self):
        world = LeaseWorld(1)
        world.act(0, 0.0, lost=True)
        self.assertIsNone(world.holders[0].fencing_token(0.1))
        world.act(0, 0.2, lost=False)
        self.assertEqual(world.holders[0].fencing_token(0.2), 1)

    def test_a_router_that_starts_again_need_not_wait_for_its_own_vm(self):
        world = LeaseWorld(1)
        world.act(0, 0.0, False)
        world.holders[0] = leases.Lease(ids.VmId("vm0"), "again", TIMING)
        world.act(0, 0.5, False)
        self.assertEqual(world.holders[0].fencing_token(0.5), 2)

    def test_a_released_lease_is_taken_at_once_and_waits_for_the_last_order_alone(self):
        world = LeaseWorld(2)
        world.act(0, 0.0, False)
        world.act(1, 0.5, False)
        released = world.holders[0].propose_release()
        world.stored = released
        world.holders[0].record_written(released, 1.0, 1.0)
        self.assertIsNone(world.holders[0].fencing_token(1.0))
        world.act(1, 1.1, False)
        self.assertFalse(world.stored.active)
        world.act(1, 1.1 + TIMING.quiet_s + 0.01, False)
        self.assertEqual(world.holders[1].fencing_token(1.1 + TIMING.quiet_s + 0.02), 2)

    def test_a_holder_that_never_ordered_costs_the_next_no_wait_of_its_own(self):
        world = LeaseWorld(3)
        world.act(0, 0.0, False)
        world.act(1, 0.1, False)
        world.act(1, 2.2, False)
        world.act(2, 2.3, False)
        self.assertFalse(world.stored.active)
        world.act(2, 4.6, False)
        waited_until = 0.1 + TIMING.valid_s + TIMING.quiet_s
        world.act(2, waited_until + 0.1, False)
        self.assertEqual(world.holders[2].fencing_token(waited_until + 0.1), 3)

    def test_a_router_that_saw_nothing_of_the_former_holder_keeps_its_distance(self):
        world = LeaseWorld(3)
        world.act(0, 0.0, False)
        world.order(0, 1.5)
        world.act(1, 0.1, False)
        world.act(1, 2.2, False)
        world.act(2, 2.3, False)
        world.holders[1] = None
        for step in range(60):
            now = 4.4 + step * 0.1
            world.act(2, now, False)
            if world.holders[2].fencing_token(now) is not None:
                self.assertGreaterEqual(now - 1.5, LEASE_S)
                return
        self.fail("the lease was never usable")

    def test_a_new_note_is_written_at_once(self):
        lease = leases.Lease(ids.VmId("vm0"), "n", TIMING)
        lease.record_written(lease.propose(0.0, "one"), 0.0, 0.0)
        self.assertIsNone(lease.propose(0.1, "one"))
        self.assertEqual(lease.propose(0.1, "two").note, "two")


if __name__ == "__main__":
    unittest.main()
