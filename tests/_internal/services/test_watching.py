"""How often a router asks the platform's store, and how late it knows of a change at most."""

import dataclasses
import unittest

import trio

from cicadapier._internal.platform import documents
from cicadapier._internal.services import cluster_service
from cicadapier._internal.standins import users_store
from tests import forwarding_world

DIRECTORY = documents.DocumentFormat.directory_kind
DRAIN_S = 2.0

StoreFault = users_store.StoreFault
CHANGE_EVERY_S = 0.1


async def _change_on(made):
    """Lets an upstream's registration change again and again, as new weights do."""
    entry = made.upstreams["engine-0"].entry
    slots = entry.slots
    while True:
        slots = 2 * entry.slots - slots + 1
        made.register(dataclasses.replace(entry, slots=slots))
        await trio.sleep(CHANGE_EVERY_S)


class DirectoryCallsTest(unittest.TestCase):
    def test_many_registrations_that_change_are_learnt_in_few_answers(self):
        async def check(made):
            before = made.store.reads[DIRECTORY]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_change_on, made)
                await trio.sleep(8.0)
                nursery.cancel_scope.cancel()
            self.assertLessEqual(made.store.reads[DIRECTORY] - before, 11)

        forwarding_world.run_in_world(check)

    def test_a_change_by_itself_is_known_at_once(self):
        async def check(made):
            made.retire("desk-0")
            await trio.sleep(0.05)
            for number in range(4):
                await made.send("GET", "desk", "/look/", request=f"q{number}")
            self.assertEqual({run.upstream for run in made.runs}, {"desk-1"})

        forwarding_world.run_in_world(check)

    def test_an_upstream_that_leaves_amid_changes_gets_nothing_new_well_within_the_bound(self):
        async def check(made):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_change_on, made)
                for name in ("desk-0", "engine-1"):
                    await trio.sleep(0.33)
                    made.retire(name)
                await trio.sleep(DRAIN_S / 2)
                for number in range(8):
                    await made.send("GET", "desk", "/look/", request=f"q{number}")
                    await made.ask(request=f"s{number}", parts=f"p{number}:500,z:9")
                nursery.cancel_scope.cancel()
            used = {run.upstream for run in made.runs}
            self.assertEqual(used, {"desk-1", "engine-0", "engine-2"})

        forwarding_world.run_in_world(check)


class RoutersCallsTest(unittest.TestCase):
    def test_the_order_lease_costs_the_routers_no_fresh_reads(self):
        async def check(made):
            before = made.store.reads[cluster_service.KIND]
            for version in (2, 3, 4):
                made.name_weights(version)
                await trio.sleep(4.0)
            self.assertEqual(made.store.reads[cluster_service.KIND] - before, 0)
            self.assertGreater(made.store.stale_reads[cluster_service.KIND], 0)

        forwarding_world.run_in_world(check, routers=4)

    def test_old_answers_that_know_no_history_bring_no_storm_of_lists(self):
        async def check(made):
            made.store.faults.add(StoreFault.STALE_FORGETS)
            before = made.store.reads[cluster_service.KIND]
            await trio.sleep(10.0)
            self.assertLessEqual(made.store.reads[cluster_service.KIND] - before, 10)
            self.assertLessEqual(made.store.stale_reads[cluster_service.KIND], 6)

        forwarding_world.run_in_world(check)


class SilenceTest(unittest.TestCase):
    def test_a_quiet_store_is_asked_seldom(self):
        async def check(made):
            before = made.store.reads.copy()
            await trio.sleep(30.0)
            asked = made.store.reads - before
            self.assertLessEqual(asked[documents.DocumentFormat.configuration_kind], 21)
            self.assertLessEqual(asked[documents.DocumentFormat.weights_kind], 7)
            self.assertLessEqual(asked[DIRECTORY], 13)

        forwarding_world.run_in_world(check)

    def test_a_lost_answer_leaves_the_proof_young_enough(self):
        for offset in range(16):
            with self.subTest(offset):

                async def check(made, offset=offset):
                    await trio.sleep(offset * 0.1)
                    made.store.faults.add(StoreFault.SILENT)
                    await trio.sleep(0.4)
                    made.store.faults.clear()
                    for _ in range(40):
                        await trio.sleep(0.1)
                        self.assertEqual(await made.readiness_status(), 200)

                forwarding_world.run_in_world(check)

    def test_connections_that_went_silent_together_are_left_together(self):
        for offset in range(6):
            with self.subTest(offset):

                async def check(made, offset=offset):
                    await trio.sleep(offset * 0.5)
                    made.store.faults.add(StoreFault.SILENT)
                    await trio.sleep(0.1)
                    made.store.faults.clear()
                    made.retire("desk-0")
                    made.name_weights(2)
                    await trio.sleep(2.4)
                    for number in range(4):
                        await made.send("GET", "desk", "/look/", request=f"q{number}")
                    self.assertEqual({run.upstream for run in made.runs}, {"desk-1"})
                    self.assertTrue(any(u.orders for u in made.upstreams.values()))

                forwarding_world.run_in_world(check)

    def test_an_upstream_that_is_back_after_an_outage_is_not_missed(self):
        async def check(made):
            made.store.faults.add(StoreFault.REFUSES)
            await trio.sleep(3.0)
            made.unregister("desk-0")
            made.store.faults.clear()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_change_on, made)
                await trio.sleep(1.7)
                made.register(made.upstreams["desk-0"].entry)
                for number in range(12):
                    await trio.sleep(0.05)
                    reply = await made.send("GET", "desk", "/look/", request=f"q{number}")
                    self.assertEqual(reply.status, 200)
                nursery.cancel_scope.cancel()

        forwarding_world.run_in_world(check, desks=1)


if __name__ == "__main__":
    unittest.main()
