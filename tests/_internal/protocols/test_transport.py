"""Tests that a refused connection is distinguished from an unanswered one."""

import socket
import unittest

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import transport


class ConnectTest(unittest.TestCase):
    def _connect(self, address, timeout_s):
        async def main():
            await transport.TcpNetwork().connect(ids.Address(address), timeout_s)

        trio.run(main)

    def test_address_without_listener_refuses(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            port = server.getsockname()[1]
        with self.assertRaises(exceptions.ConnectRefusedError):
            self._connect(f"127.0.0.1:{port}", 1.0)

    def test_unanswered_connection_is_not_a_refusal(self):
        with socket.create_server(("127.0.0.1", 0), backlog=0) as server:
            port = server.getsockname()[1]
            clients = [socket.socket() for _ in range(4)]
            for client in clients:
                # Connections that do not fit into the full backlog get no answer.
                client.setblocking(False)
                client.connect_ex(("127.0.0.1", port))
            with self.assertRaises(exceptions.ConnectError) as raised:
                self._connect(f"127.0.0.1:{port}", 0.2)
            self.assertNotIsInstance(raised.exception, exceptions.ConnectRefusedError)
            for client in clients:
                client.close()


if __name__ == "__main__":
    unittest.main()
