"""The stand-in of the store sends bytes that no encoder would write."""

import unittest

import trio

from cicadapier._internal.protocols import http_client
from cicadapier._internal.standins import faulty_network
from cicadapier._internal.standins import forwarding_store
from tests import forwarding_world
from tests import support

ANY_PORT = "127.0.0.1:0"
ODD_CONTENT = b'{"slots":1e999,"deep":[[tru'
ODD_OBJECT = b'{"metadata":5}}'


class RawBodyTest(unittest.TestCase):
    def _read(self, *targets):
        bodies = []

        async def main():
            network = faulty_network.MemoryNetwork(0)
            store = forwarding_store.ForwardingStore(network)
            async with trio.open_nursery() as nursery:
                await nursery.start(store.run)
                _, address = await store.open_endpoint(ANY_PORT)
                store.put("servers", "a", {"slots": 1})
                store.put_raw("servers", "b", ODD_CONTENT)
                store.put_raw_object("servers", "c", ODD_OBJECT)
                for target in targets:
                    stream = await network.connect(address, 1.0)
                    conn = http_client.ClientConnection(stream, address)
                    await conn.send(http_client.RequestHead("GET", target, []), b"")
                    bodies.append((await forwarding_world.receive(conn)).body)
                nursery.cancel_scope.cancel()

        support.run(main)
        return bodies

    def test_raw_bytes_are_sent_in_a_list_a_watch_and_a_single_object(self):
        listing, changes, single, whole = self._read(
            "/api/objects/servers",
            "/api/objects/servers?watch=1&wait_ms=0",
            "/api/objects/servers/b",
            "/api/objects/servers/c",
        )
        for body in (listing, changes, single):
            self.assertIn(b'"spec":' + ODD_CONTENT, body)
            self.assertIn(b'"name":"b"', body)
        for body in (listing, changes, whole):
            self.assertIn(ODD_OBJECT, body)


if __name__ == "__main__":
    unittest.main()
