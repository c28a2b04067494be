"""How often a router queries the platform's store and how soon it applies a change."""

import dataclasses
import unittest

import trio

from cicadapier._internal.platform import documents
from cicadapier._internal.services import cluster_service
from cicadapier._internal.services import names
from cicadapier._internal.standins import forwarding_store
from tests import forwarding_world

DIRECTORY = documents.DocumentFormat.directory_kind
DRAIN_S = 2.0

StoreFault = forwarding_store.StoreFault
CHANGE_PERIOD_S = 0.1


async def _change_repeatedly(world):
    """Changes an upstream's registration repeatedly, as loading new weights does."""
    entry = world.upstreams["engine-0"].entry
    slots = entry.slots
    while True:
        slots = 2 * entry.slots - slots + 1
        world.register(dataclasses.replace(entry, slots=slots))
        await trio.sleep(CHANGE_PERIOD_S)


class DirectoryQueriesTest(unittest.TestCase):
    def test_frequent_registration_changes_are_read_in_few_answers(self):
        async def check(world):
            before = world.store.reads[DIRECTORY]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_change_repeatedly, world)
                await trio.sleep(8.0)
                nursery.cancel_scope.cancel()
            self.assertLessEqual(world.store.reads[DIRECTORY] - before, 11)

        forwarding_world.run_in_world(check)

    def test_a_single_change_is_applied_immediately(self):
        async def check(world):
            world.mark_leaving("desk-0")
            await trio.sleep(0.05)
            for number in range(4):
                await world.send("GET", "desk", "/look/", request=f"q{number}")
            self.assertEqual({run.upstream for run in world.runs}, {"desk-1"})

        forwarding_world.run_in_world(check)

    def test_an_upstream_that_leaves_during_other_changes_stops_receiving_requests_in_time(self):
        async def check(world):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_change_repeatedly, world)
                for name in ("desk-0", "engine-1"):
                    await trio.sleep(0.33)
                    world.mark_leaving(name)
                await trio.sleep(DRAIN_S / 2)
                for number in range(8):
                    await world.send("GET", "desk", "/look/", request=f"q{number}")
                    await world.ask(request=f"s{number}", parts=f"p{number}:500,z:9")
                nursery.cancel_scope.cancel()
            used = {run.upstream for run in world.runs}
            self.assertEqual(used, {"desk-1", "engine-0", "engine-2"})

        forwarding_world.run_in_world(check)


class ConfirmedDirectoryTest(unittest.TestCase):
    def test_confirmed_directory_holds_all_changes_and_keeps_them(self):
        async def check(world):
            directory = world.routers[0].kernel.find(names.UPSTREAMS)
            entry = world.upstreams["engine-0"].entry
            for slots in range(20, 60):
                world.register(dataclasses.replace(entry, slots=slots))
                self.assertTrue(await directory.confirm(1.0))
                self.assertEqual(directory.find(entry.upstream).slots, slots)
                await trio.sleep(0.07)
                self.assertEqual(directory.find(entry.upstream).slots, slots)

        forwarding_world.run_in_world(check)

    def test_directory_is_not_confirmed_without_the_store(self):
        async def check(world):
            directory = world.routers[0].kernel.find(names.UPSTREAMS)
            for fault in (forwarding_store.StoreFault.SILENT, forwarding_store.StoreFault.REFUSES):
                world.store.faults.add(fault)
                self.assertFalse(await directory.confirm(1.0))
                world.store.faults.clear()
                self.assertTrue(await directory.confirm(2.0))
            world.store.drop_history()
            await directory.confirm(1.0)
            await trio.sleep(0.5)
            self.assertTrue(await directory.confirm(1.0))

        forwarding_world.run_in_world(check)


class RouterQueriesTest(unittest.TestCase):
    def test_the_order_lease_requires_no_fresh_reads(self):
        async def check(world):
            before = world.store.reads[cluster_service.KIND]
            for version in (2, 3, 4):
                world.set_target_weights(version)
                await trio.sleep(4.0)
            self.assertEqual(world.store.reads[cluster_service.KIND] - before, 0)
            self.assertGreater(world.store.stale_reads[cluster_service.KIND], 0)

        forwarding_world.run_in_world(check, routers=4)

    def test_stale_answers_without_history_do_not_cause_frequent_lists(self):
        async def check(world):
            world.store.faults.add(StoreFault.STALE_FORGETS)
            before = world.store.reads[cluster_service.KIND]
            stale_before = world.store.stale_reads[cluster_service.KIND]
            # At the start: a list, a record that is read, and an answer for each of three changes.
            self.assertLessEqual(before, 2)
            self.assertLessEqual(stale_before, 4)
            await trio.sleep(10.0)
            self.assertLessEqual(world.store.reads[cluster_service.KIND] - before, 10)
            self.assertLessEqual(world.store.stale_reads[cluster_service.KIND] - stale_before, 4)

        forwarding_world.run_in_world(check)


class SilentStoreTest(unittest.TestCase):
    def test_a_store_without_changes_is_queried_rarely(self):
        async def check(world):
            before = world.store.reads.copy()
            await trio.sleep(30.0)
            queries = world.store.reads - before
            self.assertLessEqual(queries[documents.DocumentFormat.configuration_kind], 21)
            self.assertLessEqual(queries[documents.DocumentFormat.weights_kind], 7)
            self.assertLessEqual(queries[DIRECTORY], 13)

        forwarding_world.run_in_world(check)

    def test_the_proof_stays_fresh_after_a_lost_answer(self):
        for offset in range(16):
            with self.subTest(offset):

                async def check(world, offset=offset):
                    await trio.sleep(offset * 0.1)
                    world.store.faults.add(StoreFault.SILENT)
                    await trio.sleep(0.4)
                    world.store.faults.clear()
                    for _ in range(40):
                        await trio.sleep(0.1)
                        self.assertEqual(await world.readiness_status(), 200)

                forwarding_world.run_in_world(check)

    def test_connections_that_fail_together_are_closed_together(self):
        for offset in range(6):
            with self.subTest(offset):

                async def check(world, offset=offset):
                    await trio.sleep(offset * 0.5)
                    world.store.faults.add(StoreFault.SILENT)
                    await trio.sleep(0.1)
                    world.store.faults.clear()
                    world.mark_leaving("desk-0")
                    world.set_target_weights(2)
                    await trio.sleep(2.4)
                    for number in range(4):
                        await world.send("GET", "desk", "/look/", request=f"q{number}")
                    self.assertEqual({run.upstream for run in world.runs}, {"desk-1"})
                    self.assertTrue(any(u.orders for u in world.upstreams.values()))

                forwarding_world.run_in_world(check)

    def test_an_upstream_that_returns_after_an_outage_is_used_immediately(self):
        async def check(world):
            world.store.faults.add(StoreFault.REFUSES)
            await trio.sleep(3.0)
            world.unregister("desk-0")
            world.store.faults.clear()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_change_repeatedly, world)
                await trio.sleep(1.7)
                world.register(world.upstreams["desk-0"].entry)
                for number in range(12):
                    await trio.sleep(0.05)
                    reply = await world.send("GET", "desk", "/look/", request=f"q{number}")
                    self.assertEqual(reply.status, 200)
                nursery.cancel_scope.cancel()

        forwarding_world.run_in_world(check, desks=1)


if __name__ == "__main__":
    unittest.main()
