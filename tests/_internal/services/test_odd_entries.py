"""Odd objects of other writers in the store cost themselves alone, neither a process nor a page."""

import unittest

import msgspec
from structlog import testing
import trio

from cicadapier._internal.standins import forwarding_deployment
from tests import forwarding_world

SERVERS = "servers"
WEIGHTS = "versions"
CONFIGURATION = "config"
ROUTERS = "cicadapier-routers"
DEPTH = 100_000
DEEP = b"[" * DEPTH + b"]" * DEPTH
FOLLOW_S = 2.0  # Longest time until a change of the directory takes effect.

ENTRY = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "here",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "seq": 1,
    "born": 1,
    "models": [],
}


def entry_with(**raw_fields):
    """Returns a directory entry in which some fields have the given bytes."""
    fields = {name: msgspec.Raw(raw) for name, raw in raw_fields.items()}
    return msgspec.json.encode({**ENTRY, **fields})


ODD_ENTRIES = {
    "deep content": DEEP,
    "deep field": entry_with(note=DEEP),
    "deep field that is used": entry_with(models=DEEP),
    "number out of range": entry_with(slots=b"1e999"),
    "number out of range in an unknown field": entry_with(note=b"-1e999"),
    "integer of 5000 digits": entry_with(slots=b"9" * 5000),
    "integer of 400 digits": entry_with(slots=b"9" * 400),
    "integer of 30 digits": entry_with(slots=b"9" * 30),
    "start time of 400 digits": entry_with(born=b"9" * 400),
    "weights of 400 digits": entry_with(models=b'[{"name":"verse","version":' + b"9" * 400 + b"}]"),
    "negative weights": entry_with(models=b'[{"name":"verse","version":-1}]'),
    "bytes that are no text": entry_with(zone=b'"\xff\xfe"'),
    "half a surrogate": entry_with(zone=b'"\\ud800"'),
    "no number": entry_with(slots=b"NaN"),
    "no value": entry_with(slots=b"tru"),
    "no bytes": b"",
    "port 0": entry_with(address=b'"127.0.0.1:0"'),
    "port 70000": entry_with(address=b'"127.0.0.1:70000"'),
    "port that is no ASCII digit": entry_with(address='"127.0.0.1:²"'.encode()),
    "port of Arabic digits": entry_with(address='"127.0.0.1:٨٠"'.encode()),
    "port of 5000 digits": entry_with(address=b'"127.0.0.1:' + b"9" * 5000 + b'"'),
    "host that is no ASCII text": entry_with(address='"höst:80"'.encode()),
    "host with a line end": entry_with(address=b'"127.0.0.1\\r\\n:80"'),
    "host with a null": entry_with(address=b'"127.0.0.1\\u0000:80"'),
    "host of empty labels": entry_with(address=b'"..:80"'),
    "long host": entry_with(address=b'"' + b"a" * 300 + b':80"'),
    "no address": entry_with(address=b'""'),
    "null": b"null",
    "field of another type": entry_with(slots=b'"8"'),
    "unknown state": entry_with(state=b'"odd"'),
}
ODD_OBJECTS = {
    "no object": b"7",
    "deep object": DEEP,
    "deep metadata": b'{"metadata":' + DEEP + b"}",
    "no metadata": b"{}",
    "no name": b'{"metadata":{"rev":3},"spec":{}}',
    "revision out of range": b'{"metadata":{"name":"x","rev":1e999},"spec":{}}',
    "deep status": b'{"metadata":{"name":"x","rev":3},"spec":{},"status":' + DEEP + b"}",
}


def lease_with(**raw_fields):
    """Returns a lease of another router in which some fields have the given bytes."""
    fields = {name: msgspec.Raw(raw) for name, raw in raw_fields.items()}
    lease = {"holder": "vm-9", "nonce": "n", "fencing": 1, "renewals": 1}
    return msgspec.json.encode({**lease, **fields})


def note(content):
    """Returns the note of a lease on the model as a JSON text, with other members added."""
    return msgspec.json.encode('{"model":"verse",' + content.decode()[1:])


async def check_directory_is_followed(test, world):
    """Checks that routers find the entry of a new upstream and drop a removed one."""
    router = world.routers[0]
    await world.add_upstream("desk-new", forwarding_deployment.DESK, None)
    world.unregister("desk-1")
    await trio.sleep(FOLLOW_S)
    directory = router.kernel.find("upstreams")
    test.assertIsNotNone(directory.find("desk-new"))
    test.assertIsNone(directory.find("desk-1"))
    test.assertIsNotNone(directory.find("desk-0"))
    for _ in range(4):
        test.assertEqual((await world.send("GET", "desk", "/look/1")).status, 200)


class OddEntryTest(unittest.TestCase):
    def _check_both(self, put):
        """Checks an object that is there as a router starts, and one that is written later."""

        async def check_watched(world):
            put(world.store)
            await trio.sleep(FOLLOW_S)
            await check_directory_is_followed(self, world)

        async def check_listed(world):
            put(world.store)
            world.stop("vm-0")
            await trio.sleep(0.1)
            router = await world.start_router(0)
            with trio.fail_after(FOLLOW_S):
                await router.configuration.ready.wait()
            await trio.sleep(FOLLOW_S)
            await check_directory_is_followed(self, world)

        forwarding_world.run_in_world(check_watched)
        forwarding_world.run_in_world(check_listed)

    def test_odd_entry_costs_itself_alone(self):
        for title, content in ODD_ENTRIES.items():
            with self.subTest(title):
                self._check_both(lambda store, raw=content: store.put_raw(SERVERS, "desk-00", raw))

    def test_object_without_a_readable_name_costs_itself_alone(self):
        for title, encoded in ODD_OBJECTS.items():
            with self.subTest(title):
                self._check_both(
                    lambda store, raw=encoded: store.put_raw_object(SERVERS, "desk-00", raw)
                )

    def test_odd_entry_names_no_upstream_and_is_logged_once(self):
        for title, content in ODD_ENTRIES.items():
            found = []

            async def check(world, raw=content, found=found):
                world.store.put_raw(SERVERS, "odd", raw)
                await trio.sleep(8.0)
                found.append(world.routers[0].kernel.find("upstreams").find("odd"))

            with self.subTest(title), testing.capture_logs() as lines:
                forwarding_world.run_in_world(check)
                self.assertEqual(found, [None])
                told = [x for x in lines if x["event"] == "directory_entry_unreadable"]
                self.assertEqual([line["entry"] for line in told], ["odd"])

    def test_entry_whose_name_no_header_can_hold_names_no_upstream(self):
        async def check(world):
            names = ["a\r\nb", "a\0b", "²", "", " ", "x" * 70_000]
            entry = world.store.find(SERVERS, "desk-0").spec
            for name in names:
                world.store.put(SERVERS, name, entry)
            await trio.sleep(FOLLOW_S)
            for number in range(20):
                reply = await world.send("GET", "desk", f"/look/{number}")
                self.assertEqual(reply.status, 200)
            found = world.routers[0].kernel.find("upstreams")
            self.assertEqual([found.find(name) for name in names], [None] * len(names))

        forwarding_world.run_in_world(check)

    def test_entry_that_becomes_odd_is_used_neither_by_watching_nor_by_listing_routers(self):
        async def check(world):
            entry = world.upstreams["desk-1"].entry
            world.store.put_raw(SERVERS, "desk-1", entry_with(slots=b"1e999"))
            await trio.sleep(FOLLOW_S)
            await world.start_router(1)
            await trio.sleep(FOLLOW_S)
            directories = [world.routers[index].kernel.find("upstreams") for index in range(2)]
            self.assertEqual([found.find("desk-1") for found in directories], [None, None])
            self.assertNotIn(None, [found.find("desk-0") for found in directories])
            self.assertEqual((await world.send("GET", "desk", "/look/1")).status, 200)
            world.register(entry)
            await trio.sleep(FOLLOW_S)
            self.assertNotIn(None, [found.find("desk-1") for found in directories])

        forwarding_world.run_in_world(check)

    def test_removal_of_an_odd_entry_is_followed(self):
        async def check(world):
            world.store.put_raw(SERVERS, "desk-1", entry_with(note=DEEP))
            await trio.sleep(FOLLOW_S)
            world.unregister("desk-1")
            await trio.sleep(FOLLOW_S)
            self.assertIsNone(world.routers[0].kernel.find("upstreams").find("desk-1"))
            await world.start_again("desk-1", world.upstreams["desk-1"].entry)
            await trio.sleep(FOLLOW_S)
            self.assertIsNotNone(world.routers[0].kernel.find("upstreams").find("desk-1"))

        forwarding_world.run_in_world(check)

    def test_list_of_several_pages_with_odd_entries_is_read_whole(self):
        async def check(world):
            for number in range(120):
                name = f"a-{number:03}"
                if number % 7 == 0:
                    world.store.put_raw_object(SERVERS, name, DEEP)
                else:
                    world.store.put_raw(SERVERS, name, entry_with(note=DEEP))
            world.stop("vm-0")
            await world.start_router(0)
            await trio.sleep(FOLLOW_S)
            await check_directory_is_followed(self, world)

        forwarding_world.run_in_world(check)

    def test_odd_object_of_another_kind_ends_nothing_and_what_held_holds(self):
        odd = {
            "deep": DEEP,
            "out of range": b'{"model":"verse","version":1e999}',
            "5000 digits": b'{"model":"verse","version":' + b"9" * 5000 + b"}",
            "400 digits": b'{"model":"verse","version":' + b"9" * 400 + b"}",
            "negative": b'{"model":"verse","version":-3}',
        }
        places = [(WEIGHTS, "verse"), (WEIGHTS, "a"), (CONFIGURATION, "main"), (CONFIGURATION, "a")]
        for kind, name in places:
            for title, content in odd.items():
                with self.subTest(title, kind=kind, name=name):
                    self._check_held(kind, name, content)

    def _check_held(self, kind, name, content):
        async def check(world):
            world.store.put_raw(kind, name, content)
            await trio.sleep(FOLLOW_S)
            self.assertEqual((await world.ask()).numbers, [1, 2, 3, 4, 5, 6])
            self.assertEqual((await world.send("GET", "desk", "/look/1")).status, 200)
            world.configure({})
            world.set_target_weights(2)
            await trio.sleep(6.0)
            self.assertEqual({world.upstreams[f"engine-{i}"].weights for i in range(3)}, {2})
            self.assertEqual((await world.send("GET", "desk", "/look/1")).status, 404)

        forwarding_world.run_in_world(check)

    def test_odd_configuration_of_numbers_out_of_range_is_not_in_force(self):
        async def check(world):
            valid = world.store.find(CONFIGURATION, "main").spec
            odd = [
                {"version": 10**30},
                {"version": 10**400},
                {"version": -1},
                {"routes": [{**valid["routes"][0], "timeout_ms": 10**400}]},
                {"routes": [{**valid["routes"][0], "priority": 10**400}]},
                {"routes": [{**valid["routes"][0], "max_attempts": 10**400}]},
                {"limits": {"idle_timeout_ms": 10**400}},
                {"limits": {"max_body_bytes": 10**400}},
            ]
            for number, fields in enumerate(odd):
                content = {**valid, "version": valid["version"] + 1 + number, **fields}
                world.store.put_raw(CONFIGURATION, "main", msgspec.json.encode(content))
                await trio.sleep(FOLLOW_S)
                self.assertEqual((await world.send("GET", "desk", "/look/1")).status, 200)
                self.assertEqual((await world.ask()).status, 200)

        forwarding_world.run_in_world(check, routers=2)

    def test_odd_objects_of_the_routers_end_nothing(self):
        odd = {
            "deep": DEEP,
            "out of range": lease_with(fencing=b"1e999"),
            "deep note": lease_with(note=b'"' + DEEP + b'"'),
            "deep field of a note": lease_with(note=note(b'{"x":' + DEEP + b"}")),
            "weights that are no number": lease_with(
                note=note('{"loaded":{"engine-1":"²"}}'.encode())
            ),
            "weights of 5000 digits": lease_with(
                note=note(b'{"loaded":{"engine-1":"' + b"9" * 5000 + b'"}}')
            ),
            "quiet time without an end": lease_with(quiet_s=b"1e308", released=b"true"),
            "own quiet time without an end": lease_with(own_quiet_s=b"1e308", released=b"true"),
            "quiet time of a lease that is not in use": lease_with(
                quiet_s=b"1e308", active=b"false"
            ),
            "negative quiet time": lease_with(quiet_s=b"-1e308", fencing=b"-5"),
            "fencing of 400 digits": lease_with(fencing=b"9" * 400),
            "address without a port": b'{"vm":"vm-9","address":"","generation":1}',
            "port out of range": b'{"vm":"vm-9","address":"127.0.0.1:99999","generation":1}',
            "port that is no ASCII digit": '{"vm":"v","address":"h:²","generation":1}'.encode(),
        }
        for name in ("orders-engines", "router-vm-9", "router-vm-0", "other"):
            for title, content in odd.items():
                with self.subTest(title, name=name):
                    self._check_routers_kind(name, content)

    def _check_routers_kind(self, name, content):
        async def check(world):
            world.store.put_raw(ROUTERS, name, content)
            await trio.sleep(FOLLOW_S)
            self.assertEqual((await world.ask()).numbers, [1, 2, 3, 4, 5, 6])
            world.set_target_weights(2)
            await trio.sleep(8.0)
            self.assertEqual({world.upstreams[f"engine-{i}"].weights for i in range(3)}, {2})

        forwarding_world.run_in_world(check, routers=2)

    def test_answer_whose_items_cannot_be_told_apart_is_asked_for_again(self):
        async def check(world):
            world.store.put_raw(SERVERS, "odd", b'{"slots":"')
            await trio.sleep(4.0)
            self.assertEqual((await world.send("GET", "desk", "/look/1")).status, 200)
            world.store.remove(SERVERS, "odd")
            await trio.sleep(FOLLOW_S)
            await check_directory_is_followed(self, world)

        with testing.capture_logs() as lines:
            forwarding_world.run_in_world(check)
        told = [line for line in lines if line["event"] == "store_lost"]
        self.assertEqual([line["kind"] for line in told], [SERVERS])


if __name__ == "__main__":
    unittest.main()
