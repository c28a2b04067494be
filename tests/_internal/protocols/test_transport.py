"""What connecting tells of the other end."""

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

    def test_an_address_where_nothing_listens_refuses(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            port = server.getsockname()[1]
        with self.assertRaises(exceptions.ConnectRefusedError):
            self._connect(f"127.0.0.1:{port}", 1.0)

    def test_an_address_that_does_not_answer_has_not_refused(self):
        with socket.create_server(("127.0.0.1", 0), backlog=0) as server:
            port = server.getsockname()[1]
            waiting = [socket.socket() for _ in range(4)]
            for client in waiting:
                # What a full backlog does not take is left unanswered.
                client.setblocking(False)
                client.connect_ex(("127.0.0.1", port))
            with self.assertRaises(exceptions.ConnectError) as found:
                self._connect(f"127.0.0.1:{port}", 0.2)
            self.assertNotIsInstance(found.exception, exceptions.ConnectRefusedError)
            for client in waiting:
                client.close()


if __name__ == "__main__":
    unittest.main()
