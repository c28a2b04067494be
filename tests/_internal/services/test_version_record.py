"""The record in the store of the software versions at which streams may have begun."""

import unittest
from unittest import mock

import trio

from cicadapier._internal.decisions import stream_origins
from cicadapier._internal.models import ids
from cicadapier._internal.models import store_versions
from cicadapier._internal.protocols import partial_json
from cicadapier._internal.protocols import store_format
from cicadapier._internal.services import cluster_service
from cicadapier._internal.services import names
from cicadapier._internal.services import version_record_objects
from cicadapier._internal.standins import forwarding_store
from tests import forwarding_world
from tests import stream_callers
from tests._internal.services import test_streams_after_restarts

ROUTERS = 4
# Bytes that this build writes, as the build before reads them: it knows no such object.
ODD_CONTENTS = [
    partial_json.Unreadable("too deep"),
    None,
    7,
    [],
    {},
    {"software_versions": "v1", "epoch": None},
    {"software_versions": [1], "epoch": None},
    {"software_versions": ["v1"], "epoch": "x"},
    {"software_versions": ["v1"], "epoch": -(10**400)},
]
NAMING = [(b"last-event-id", b"5"), (b"resumes", b"begun-before")]


def recorded(world):
    """Returns the recorded versions; None without a record."""
    item = world.store.find(cluster_service.KIND, version_record_objects.NAME)
    return None if item is None else item.spec["software_versions"]


async def restart_all(world, off_s=0.4):
    """Kills all routers at once and starts them again."""
    test_streams_after_restarts.kill_routers(world, range(ROUTERS))
    await trio.sleep(off_s)
    await test_streams_after_restarts.start_routers(world, range(ROUTERS))


class TakenUpTest(unittest.TestCase):
    """Guards against refusals of all streams after a restart of all routers (LOST)."""

    def _check_taken_up(self, before, statuses, meanwhile=None):
        async def check(world):
            await before(world)
            test_streams_after_restarts.kill_routers(world, range(ROUTERS))
            if meanwhile:
                await meanwhile(world)
            await trio.sleep(0.4)
            await test_streams_after_restarts.start_routers(world, range(ROUTERS))
            await trio.sleep(3.0)
            replies = [await world.ask(extra=NAMING, router=index) for index in range(ROUTERS)]
            self.assertEqual({reply.status for reply in replies}, statuses)

        forwarding_world.run_in_world(check, routers=ROUTERS)

    async def _run_shortly(self, _world):
        await trio.sleep(2.0)

    async def _add_v2(self, world):
        await stream_callers.add_engines(world, "v2", 3)

    async def _remove_v1(self, world):
        test_streams_after_restarts.remove_engines(world, "v1")

    def test_streams_go_on_after_all_routers_restarted_while_one_version_serves(self):
        async def check(world):
            await trio.sleep(1.0)  # The fleet has run for less than a stream lasts.
            stream_callers.use_long_answers(world)
            callers = stream_callers.StreamCallers(world, test_streams_after_restarts.TRIES)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(test_streams_after_restarts.ask_everywhere, callers)
                await trio.sleep(0.4)
                await restart_all(world)
            taken_up = set(callers.taken_up())
            self.assertGreaterEqual(len(taken_up), 16)
            self.assertGreaterEqual(len(taken_up & set(callers.whole())), 0.9 * len(taken_up))

        forwarding_world.run_in_world(check, routers=ROUTERS)

    def test_unknown_stream_goes_on_after_all_restarted_while_one_version_serves(self):
        self._check_taken_up(self._run_shortly, {200})

    def test_unknown_stream_is_refused_if_two_versions_were_recorded(self):
        self._check_taken_up(self._add_v2, {503}, self._remove_v1)

    def test_unknown_stream_is_refused_if_the_recorded_version_was_replaced(self):
        async def replace(world):
            await self._remove_v1(world)
            await stream_callers.start_engines(world, "v2", 3)

        self._check_taken_up(self._run_shortly, {503}, replace)

    def test_unknown_stream_is_refused_if_the_store_came_back_older(self):
        async def restore(world):
            await world.store.restore(0.2, 1.0)

        self._check_taken_up(self._run_shortly, {503}, restore)

    def test_unknown_stream_is_refused_if_routers_of_the_build_before_left_no_record(self):
        async def remove(world):
            world.store.remove(cluster_service.KIND, version_record_objects.NAME)

        self._check_taken_up(self._run_shortly, {503}, remove)

    def test_unknown_stream_is_refused_if_the_record_cannot_be_read(self):
        async def spoil(world):
            world.store.put(cluster_service.KIND, version_record_objects.NAME, {"odd": 1})

        self._check_taken_up(self._run_shortly, {503}, spoil)


class KeptRecordTest(unittest.TestCase):
    def test_version_is_recorded_as_it_is_seen_and_removed_after_a_stream_s_life(self):
        async def check(world):
            self.assertEqual(recorded(world), ["v1"])
            await stream_callers.add_engines(world, "v2", 1)
            self.assertEqual(recorded(world), ["v1", "v2"])
            test_streams_after_restarts.remove_engines(world, "v2")
            await trio.sleep(stream_origins.STREAM_LIFE_S - 2.0)
            self.assertEqual(recorded(world), ["v1", "v2"])
            await trio.sleep(8.0)
            self.assertEqual(recorded(world), ["v1"])

        forwarding_world.run_in_world(check, routers=ROUTERS)

    def test_record_of_a_store_that_came_back_older_is_written_anew_by_who_has_seen_all(self):
        async def check(world):
            await trio.sleep(2.0)
            await world.store.restore(0.2, 1.0)
            await trio.sleep(stream_origins.STREAM_LIFE_S + 10.0)
            item = world.store.find(cluster_service.KIND, version_record_objects.NAME)
            self.assertEqual(item.spec["epoch"], world.store.epoch)

        forwarding_world.run_in_world(check, routers=ROUTERS)

    def test_fleet_writes_few_times(self):
        async def check(world):
            await trio.sleep(4.0)
            for router in world.routers.values():
                platform = router.kernel.find(names.PLATFORM)
                platform.replace = mock.AsyncMock(wraps=platform.replace)
            await stream_callers.add_engines(world, "v2", 1)
            await trio.sleep(4.0)
            calls = [
                call
                for router in world.routers.values()
                for call in router.kernel.find(names.PLATFORM).replace.await_args_list
                if call.args[1].name == version_record_objects.NAME
            ]
            self.assertIn(len(calls), (1, 2))

        forwarding_world.run_in_world(check, routers=12)

    def test_odd_record_is_none(self):
        for content in ODD_CONTENTS:
            version = store_versions.StoreVersion(None, "1")
            item = store_format.StoredObject(version_record_objects.NAME, version, content)
            with self.subTest(content):
                self.assertIsNone(version_record_objects.decode_sound(item))

    def test_record_of_another_epoch_is_none(self):
        spec = {"software_versions": ["v1"], "epoch": 0}
        for epoch, is_sound in ((0, True), (1, False), (None, False)):
            known = None if epoch is None else ids.StoreEpoch(epoch)
            version = store_versions.StoreVersion(known, "1")
            item = store_format.StoredObject(version_record_objects.NAME, version, spec)
            record = version_record_objects.decode_sound(item)
            self.assertEqual(record is not None, is_sound)


class BuildBeforeTest(unittest.TestCase):
    def test_record_is_no_router_entry(self):
        """The build before reads all objects of the kind as entries, leases or neither."""
        spec = {"software_versions": ["v1"], "epoch": 3}
        self.assertIsNone(cluster_service._read_entry(spec))

    def test_first_router_waits_for_a_store_that_is_away(self):
        async def check(world):
            world.store.faults.add(forwarding_store.StoreFault.REFUSES)
            await trio.sleep(2.0)
            world.store.faults.clear()
            await trio.sleep(2.0)
            self.assertEqual(recorded(world), ["v1"])

        forwarding_world.run_in_world(check, routers=1)


if __name__ == "__main__":
    unittest.main()
