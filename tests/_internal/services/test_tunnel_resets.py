"""What a router gave up is not carried on to the upstream, on real sockets."""

import socket
import struct
import unittest

import trio

from cicadapier._internal.services import tunnels_service

REQUEST = b"POST / HTTP/1.1\r\nhost: upstream\r\ncontent-length: 0\r\n\r\n"
FULL_BYTES = 16_000_000  # More than the buffers of a connection hold.
RESET = struct.pack("ii", 1, 0)


class GivenUpTest(unittest.TestCase):
    async def _connect(self, server):
        """Returns both ends of a new connection: the client's socket and the other stream."""
        client = trio.socket.socket()
        await client.connect(server.getsockname())
        accepted, _ = server.accept()
        return client, trio.SocketStream(trio.socket.from_stdlib_socket(accepted))

    def _reset(self, sock):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.close()

    def test_request_that_was_reset_while_the_peer_stood_still_is_not_carried(self):
        async def main():
            with socket.create_server(("127.0.0.1", 0)) as server:
                router, from_router = await self._connect(server)
                upstream, to_upstream = await self._connect(server)
                await router.send(REQUEST)
                self._reset(router)
                await trio.sleep(0.1)
                carrier = tunnels_service._Carrier(from_router, to_upstream)
                with trio.fail_after(2.0):
                    await carrier.run()
                self.assertTrue(carrier.is_broken)
                await trio.aclose_forcefully(from_router)
                await trio.aclose_forcefully(to_upstream)
                with trio.fail_after(2.0):
                    self.assertEqual(await upstream.recv(1000), b"")
                upstream.close()

        trio.run(main)

    def test_reset_is_noticed_while_the_upstream_takes_no_bytes(self):
        async def main():
            with socket.create_server(("127.0.0.1", 0)) as server:
                router, from_router = await self._connect(server)
                upstream, to_upstream = await self._connect(server)
                carrier = tunnels_service._Carrier(from_router, to_upstream)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(carrier.run)
                    with trio.move_on_after(0.5):
                        await trio.SocketStream(router).send_all(bytes(FULL_BYTES))
                    self._reset(router)
                    nursery.cancel_scope.deadline = trio.current_time() + 2.0
                await trio.aclose_forcefully(from_router)
                await trio.aclose_forcefully(to_upstream)
                self.assertFalse(nursery.cancel_scope.cancelled_caught)
                self.assertTrue(carrier.is_broken)
                upstream.close()

        trio.run(main)


if __name__ == "__main__":
    unittest.main()
