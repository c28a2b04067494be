"""The store comes back from an older copy, and its revisions are given out again."""

import dataclasses
import random
import unittest

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.platform import documents
from cicadapier._internal.platform import objects
from cicadapier._internal.services import cluster_service
from cicadapier._internal.services import names
from cicadapier._internal.services import platform_service
from cicadapier._internal.services import watched_configuration
from cicadapier._internal.services import watching
from cicadapier._internal.services import weights_service
from cicadapier._internal.standins import faulty_network
from cicadapier._internal.standins import forwarding_deployment
from cicadapier._internal.standins import forwarding_store
from tests import forwarding_world
from tests import support

AWAY_S = 1.0
AGE_S = 2.5
NEVER_S = 600.0
REVOKE_S = 5.0
DRAIN_S = 2.0
GRACE_S = 1.8
TAKEN = "key-2"

DIRECTORY = documents.DocumentFormat.directory_kind
StoreFault = forwarding_store.StoreFault


def _run(check, **options):
    """Runs a check in a world whose store has named its epoch for some time."""

    async def main(world):
        world.store.epoch = ids.StoreEpoch(1)
        await trio.sleep(8.0)
        await check(world)

    forwarding_world.run_in_world(main, **options)


def _take_key_away(world, number=None):
    keys = world.keys[forwarding_deployment.ACCOUNT]
    if TAKEN in keys:
        keys.remove(TAKEN)
    world.configure(forwarding_deployment.routes(), number)


async def _lose_two_changes(world):
    """Makes two changes that the copy lacks: an upstream joins, a version is written."""
    await world.add_upstream("desk-9", forwarding_deployment.DESK, None)
    world.configure(forwarding_deployment.routes())
    await trio.sleep(AGE_S - 0.1)


async def _restore(world, away_s=AWAY_S, age_s=AGE_S):
    """Restores the store; the operator repeats the lost version before any call is answered.

    The revision of the next change is then that of the lost version, which routers know.
    """
    await world.store.restore(away_s, age_s, repeat_after_s=NEVER_S)
    world.configure(forwarding_deployment.routes(), world._config_number)


async def _statuses(world, key, router=0, count=4):
    """Returns the statuses of some requests with a key."""
    replies = [
        await world.send("GET", "desk", "/look/", key=key, router=router) for _ in "a" * count
    ]
    return {reply.status for reply in replies}


class TakenKeyTest(unittest.TestCase):
    """A key that is taken away after the restore stops working (review/3)."""

    def _check(self, disrupt, routers=2):
        async def check(world):
            self.assertEqual(await _statuses(world, TAKEN), {200})
            await _lose_two_changes(world)
            await disrupt(world)
            await trio.sleep(0.5)
            world.register(world.upstreams["desk-9"].entry)
            await trio.sleep(REVOKE_S - 0.5)
            for router in range(routers):
                self.assertEqual(await _statuses(world, TAKEN, router), {401})
                self.assertEqual(await _statuses(world, "key-1", router), {200})

        _run(check, routers=routers)

    def test_key_taken_away_right_after_the_restore_stops_working(self):
        async def disrupt(world):
            await _restore(world)
            _take_key_away(world)

        self._check(disrupt)

    def test_key_taken_away_after_a_restore_that_no_query_noticed_stops_working(self):
        async def disrupt(world):
            await _restore(world, away_s=0.0)
            _take_key_away(world)

        self._check(disrupt)

    def test_key_taken_away_after_the_second_of_two_restores_stops_working(self):
        async def disrupt(world):
            await _restore(world)
            await trio.sleep(0.05)
            await _restore(world, away_s=0.3, age_s=0.2)
            _take_key_away(world)

        self._check(disrupt)

    def test_key_stops_working_on_a_router_that_reaches_the_store_only_later(self):
        async def disrupt(world):
            world.store_endpoints[1].faults.add(StoreFault.REFUSES)
            await _restore(world)
            _take_key_away(world)
            await trio.sleep(2.0)
            world.store_endpoints[1].faults.clear()

        self._check(disrupt)

    def test_key_stops_working_on_routers_that_were_suspended_meanwhile(self):
        async def disrupt(world):
            async def restore():
                await _restore(world)
                _take_key_away(world)

            await world.suspend(0, 3.0, restore)

        self._check(disrupt, routers=1)


class LostConfigurationTest(unittest.TestCase):
    """The copy lacks the version that took a key away; operators write it again later."""

    def test_key_stays_taken_away_while_the_store_shows_an_older_version(self):
        async def check(world):
            _take_key_away(world)
            await trio.sleep(0.5)
            await world.store.restore(AWAY_S, AGE_S, repeat_after_s=4.0)
            for _ in range(40):
                await trio.sleep(0.1)
                self.assertNotIn(200, await _statuses(world, TAKEN, count=1))
            self.assertEqual(await _statuses(world, TAKEN), {401})
            self.assertEqual(await _statuses(world, "key-1"), {200})

        _run(check)

    def test_key_works_on_no_router_that_starts_after_the_restore(self):
        async def check(world):
            _take_key_away(world)
            await trio.sleep(0.5)
            world.stop("vm-1")
            await world.store.restore(AWAY_S, AGE_S, repeat_after_s=4.0)
            await world.start_router(1)
            await trio.sleep(1.0)
            for _ in range(25):
                await trio.sleep(0.1)
                self.assertNotIn(200, await _statuses(world, TAKEN, router=1, count=1))
            await trio.sleep(4.0)
            self.assertEqual(await _statuses(world, TAKEN, router=1), {401})
            self.assertEqual(await _statuses(world, "key-1", router=1), {200})

        _run(check, routers=2)

    def test_key_works_on_no_router_that_was_cut_off_as_it_was_taken_away(self):
        async def check(world):
            world.store_endpoints[0].faults.add(StoreFault.SILENT)
            await trio.sleep(4.5)
            _take_key_away(world)
            await trio.sleep(0.5)
            world.store_endpoints[0].faults.clear()
            await world.store.restore(AWAY_S, AGE_S, repeat_after_s=1.5)
            for _ in range(50):
                await trio.sleep(0.1)
                self.assertNotIn(200, await _statuses(world, TAKEN, count=1))
            self.assertEqual(await _statuses(world, "key-1"), {200})

        _run(check)


class DirectoryTest(unittest.TestCase):
    async def _used(self, world, router=0, count=8):
        before = len(world.runs)
        for _ in range(count):
            await world.send("GET", "desk", "/look/", router=router)
        return {run.upstream for run in world.runs[before:]}

    def test_upstream_that_leaves_after_the_restore_gets_no_requests(self):
        async def check(world):
            await _lose_two_changes(world)
            await world.store.restore(AWAY_S, AGE_S, repeat_after_s=NEVER_S)
            world.mark_leaving("desk-0")
            world.register(world.upstreams["desk-9"].entry)
            await trio.sleep(DRAIN_S)
            self.assertEqual(await self._used(world), {"desk-1", "desk-9"})

        _run(check)

    def test_upstream_that_the_copy_lacks_is_used_until_it_registers_again(self):
        async def check(world):
            world.stop("desk-0")
            world.stop("desk-1")
            world.unregister("desk-0")
            world.unregister("desk-1")
            await world.add_upstream("desk-9", forwarding_deployment.DESK, None)
            await trio.sleep(1.0)
            await world.store.restore(AWAY_S, AGE_S, repeat_after_s=1.5)
            directory = world.routers[0].kernel.find(names.UPSTREAMS)
            for _ in range(30):
                await trio.sleep(0.1)
                self.assertIsNotNone(directory.find(ids.UpstreamId("desk-9")))
            self.assertEqual(await self._used(world), {"desk-9"})

        _run(check)

    def test_upstream_that_the_copy_lacks_and_does_not_come_back_is_dropped(self):
        async def check(world):
            await world.add_upstream("desk-9", forwarding_deployment.DESK, None)
            await trio.sleep(0.5)
            kept = world.store.put
            world.store.put = lambda kind, name, *a, **k: (
                name == "desk-9" or kept(kind, name, *a, **k)
            )
            await world.store.restore(AWAY_S, AGE_S)
            await trio.sleep(GRACE_S + 1.2)
            self.assertEqual(await self._used(world), {"desk-0", "desk-1"})

        _run(check)

    def test_upstream_that_had_said_that_it_leaves_is_not_used_again(self):
        async def check(world):
            world.mark_leaving("desk-0")
            await trio.sleep(0.5)
            await world.store.restore(AWAY_S, AGE_S, repeat_after_s=6.0)
            for _ in range(50):
                await trio.sleep(0.1)
                # Keys are refused for a moment, as the store was away.
                self.assertLessEqual(await self._used(world, count=1), {"desk-1"})
            self.assertEqual(await self._used(world), {"desk-1"})

        _run(check)

    def test_upstream_that_was_removed_is_not_used_while_the_copy_shows_it(self):
        async def check(world):
            world.unregister("desk-0")
            await trio.sleep(0.5)
            await world.store.restore(AWAY_S, AGE_S, repeat_after_s=3.6)
            for _ in range(60):
                await trio.sleep(0.1)
                # Keys are refused for a moment, as the store was away.
                self.assertLessEqual(await self._used(world, count=1), {"desk-1"})
            self.assertEqual(await self._used(world), {"desk-1"})

        _run(check)

    def test_upstream_that_was_removed_is_used_again_once_its_entry_stays(self):
        async def check(world):
            world.unregister("desk-0")
            await trio.sleep(0.5)
            await world.store.restore(AWAY_S, AGE_S, repeat_after_s=NEVER_S)
            await trio.sleep(7.0)
            self.assertEqual(await self._used(world), {"desk-0", "desk-1"})

        _run(check)

    def test_former_process_of_an_upstream_does_not_replace_the_present_one(self):
        async def check(world):
            directory = world.routers[0].kernel.find(names.UPSTREAMS)
            entry = world.upstreams["desk-0"].entry
            present = dataclasses.replace(entry, incarnation=ids.Incarnation("desk-0@7"))
            world.upstreams["desk-0"].entry = present
            world.register(present)
            await trio.sleep(0.5)
            await world.store.restore(AWAY_S, AGE_S, repeat_after_s=1.5)
            for _ in range(30):
                await trio.sleep(0.1)
                found = directory.find(entry.upstream)
                self.assertEqual(found.incarnation, present.incarnation)

        _run(check)

    def test_weights_in_the_copy_do_not_replace_newer_ones_of_an_engine(self):
        async def check(world):
            directory = world.routers[0].kernel.find(names.UPSTREAMS)
            entry = world.upstreams["engine-0"].entry
            newer = dataclasses.replace(entry, weights={forwarding_deployment.MODEL: "5"})
            world.register(newer)
            await trio.sleep(0.5)
            await world.store.restore(AWAY_S, AGE_S, repeat_after_s=3.0)
            for _ in range(20):
                await trio.sleep(0.1)
                self.assertEqual(directory.find(entry.upstream).weights, newer.weights)

        _run(check)


class WeightsTest(unittest.TestCase):
    def test_weights_named_after_the_restore_are_loaded(self):
        async def check(world):
            world.set_target_weights(2)
            await trio.sleep(0.5)
            await world.store.restore(AWAY_S, AGE_S, repeat_after_s=NEVER_S)
            world.set_target_weights(3)
            await trio.sleep(12.0)
            loaded = {u.weights for n, u in world.upstreams.items() if n.startswith("engine")}
            self.assertEqual(loaded, {3})

        _run(check)


class OwnEntryTest(unittest.TestCase):
    def test_entry_of_a_router_that_the_copy_lacks_is_written_again(self):
        async def check(world):
            await world.start_router(1)
            await trio.sleep(1.0)
            await world.store.restore(AWAY_S, AGE_S)
            self.assertNotIn("router-vm-1", world.store.names(cluster_service.KIND))
            for _ in range(50):
                cluster = world.routers[0].kernel.find(names.CLUSTER)
                self.assertEqual(cluster.routers(), ["vm-0", "vm-1"])
                await trio.sleep(0.1)
            self.assertIn("router-vm-1", world.store.names(cluster_service.KIND))

        _run(check)

    def test_router_that_stops_does_not_write_its_entry_again(self):
        async def check(world):
            world.routers[1].kernel.stop()
            await trio.sleep(0.5)
            await world.store.restore(0.0, 0.4)
            await trio.sleep(5.0)
            self.assertNotIn("router-vm-1", world.store.names(cluster_service.KIND))

        _run(check, routers=2)


class WaitingQueryTest(unittest.TestCase):
    def test_all_watches_learn_an_epoch_from_one_answer(self):
        async def check(world):
            reads = world.store.reads
            begun = reads[DIRECTORY]
            while reads[DIRECTORY] == begun:
                await trio.sleep(0.01)
            await trio.sleep(0.5)
            waiting = reads[DIRECTORY]
            # The query of the directory waits on: the copy has its revision, and no change of it.
            await world.store.restore(0.0, 0.1)
            await trio.sleep(0.1)
            self.assertEqual(reads[DIRECTORY], waiting)
            await world.routers[0].configuration.confirm(1.0)
            await trio.sleep(0.3)
            self.assertGreater(reads[DIRECTORY], waiting)

        _run(check)


class MetricTest(unittest.TestCase):
    def test_epoch_is_shown_among_the_metrics(self):
        async def check(world):
            await world.store.restore(AWAY_S, AGE_S)
            await trio.sleep(1.5)
            text = world.routers[0].kernel.find(names.TELEMETRY).exposition().decode()
            self.assertRegex(text, r"cicadapier_store_epoch\{.*\} 2\.0")

        _run(check)


class HerdTest(unittest.TestCase):
    """Many routers list everything as the store comes back, within the rates that it names."""

    def _count_refused(self, routers, reads_per_s):
        refused = []

        async def main():
            network = faulty_network.MemoryNetwork(0)
            store = forwarding_store.ForwardingStore(network)
            store.epoch = ids.StoreEpoch(1)
            store.rates = forwarding_store.Rates(reads=reads_per_s)
            async with trio.open_nursery() as nursery:
                await nursery.start(store.run)
                for index in range(routers):
                    await _start_watches(network, store, nursery, index)
                await trio.sleep(3.0)
                before = store.calls["GET"], store.throttled_calls
                await store.restore(AWAY_S, AGE_S)
                await trio.sleep(2.0)
                refused.append(store.throttled_calls - before[1])
                self.assertLessEqual(store.calls["GET"] - before[0], 4 * 13 * routers)
                nursery.cancel_scope.cancel()

        support.run(main)
        return refused[0]

    def test_all_routers_of_a_fleet_list_within_the_rates_of_the_store(self):
        # Rates of stores before fleets of these sizes; that of 300 is the one named for 77.
        for routers, reads_per_s in ((4, 2000), (24, 6000), (60, 6000), (300, 16_000)):
            with self.subTest(routers):
                self.assertEqual(self._count_refused(routers, reads_per_s), 0)


async def _start_watches(network, store, nursery, index):
    """Starts the watches of one router."""
    _, address = await store.open_endpoint(ids.Address(f"127.0.0.1:{20_000 + index}"))
    rng = random.Random(index)
    client = platform_service.PlatformService(
        settings.Platform([address]), network, rng, objects.ObjectFormat()
    )
    options = {
        documents.DocumentFormat.configuration_kind: watching.WatchOptions(
            1.5, list_within_s=watched_configuration.LIST_WITHIN_S
        ),
        documents.DocumentFormat.directory_kind: watching.WatchOptions(2.5, 0.8),
        documents.DocumentFormat.weights_kind: weights_service.WATCH_OPTIONS,
        cluster_service.KIND: cluster_service.WATCH_OPTIONS,
    }
    for kind, watch_options in options.items():
        watch = watching.Watch(client, kind, watch_options, IdleHandler(), trio.current_time, rng)
        nursery.start_soon(watch.run)


class IdleHandler(watching.WatchHandler):
    def handle_listing(self, listed):
        pass

    def handle_change(self, change):
        pass


if __name__ == "__main__":
    unittest.main()
