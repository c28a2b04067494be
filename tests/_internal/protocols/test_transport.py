"""Refused and unanswered connections; data that was not received when a connection is closed."""

import socket
import unittest
import unittest.mock

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import peer_codec
from cicadapier._internal.protocols import peer_transport
from cicadapier._internal.protocols import transport

# Texts that are no addresses, without those that a resolver would be asked for.
ODD_ADDRESSES = (
    "",
    ":",
    "host",
    "host:",
    "127.0.0.1:65536",
    "127.0.0.1:-1",
    "127.0.0.1:²",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1\0:80",
    "..:80",
    "a" * 64 + ":80",
)
DIGEST = peer_codec.Digest(ids.VmId("vm-1"), 1, ids.ConfigNumber(1))


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

    def test_text_that_is_no_address_cannot_be_connected_to(self):
        for address in ODD_ADDRESSES:
            with self.subTest(address[:30]), self.assertRaises(exceptions.ConnectError):
                self._connect(address, 0.2)


class OddPeerAddressTest(unittest.TestCase):
    def _run(self, use):
        async def main():
            peers = peer_transport.GrpcTransport("")
            async with trio.open_nursery() as nursery:
                handler = unittest.mock.Mock()
                await nursery.start(peers.serve, ids.Address("127.0.0.1:0"), handler)
                for address in ODD_ADDRESSES:
                    with self.subTest(address[:30]), trio.fail_after(2.0):
                        await use(peers, ids.Address(address))
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_datagram_to_no_address_is_lost(self):
        async def use(peers, address):
            await peers.send_datagram([address], DIGEST)

        self._run(use)

    def test_call_to_no_address_fails(self):
        async def use(peers, address):
            with self.assertRaises(exceptions.ProtocolError):
                await peers.exchange(address, DIGEST)

        self._run(use)


class LimitDeliveryTest(unittest.TestCase):
    BODY_BYTES = 8_000_000

    def _read_after_close(self, server, discards):
        """Returns what a server reads that begins to read after its client has closed."""

        async def main():
            port = server.getsockname()[1]
            address = ids.Address(f"127.0.0.1:{port}")
            stream = await transport.TcpNetwork().connect(address, 1.0)
            conn = http_client.ClientConnection(stream, address)
            if discards:
                conn.limit_delivery(5.0)
            with trio.move_on_after(0.2):
                await stream.send_all(b"x" * self.BODY_BYTES)
            await conn.close()

        trio.run(main)
        accepted, _ = server.accept()
        with accepted:
            accepted.settimeout(5.0)
            while accepted.recv(1_000_000):
                pass

    def test_data_that_was_not_received_is_discarded_on_close(self):
        server = socket.create_server(("127.0.0.1", 0))
        with server, self.assertRaises(ConnectionResetError):
            self._read_after_close(server, discards=True)

    def test_other_connections_deliver_what_was_sent_before_the_close(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            self._read_after_close(server, discards=False)

    def test_request_that_is_given_up_is_not_delivered_whole(self):
        head = http_client.RequestHead("POST", "/", [])

        async def give_up(port):
            address = ids.Address(f"127.0.0.1:{port}")
            stream = await transport.TcpNetwork().connect(address, 1.0)
            conn = http_client.ClientConnection(stream, address)
            with trio.move_on_after(0.2):
                await conn.send(head, b"x" * self.BODY_BYTES)
            await conn.close()

        with socket.create_server(("127.0.0.1", 0)) as server:
            trio.run(give_up, server.getsockname()[1])
            accepted, _ = server.accept()
            with accepted, self.assertRaises(ConnectionResetError):
                accepted.settimeout(5.0)
                while accepted.recv(1_000_000):
                    pass

    def test_connection_that_was_closed_meanwhile_counts_as_lost(self):
        async def send_after_close(port):
            address = ids.Address(f"127.0.0.1:{port}")
            stream = await transport.TcpNetwork().connect(address, 1.0)
            conn = http_client.ClientConnection(stream, address)
            await conn.close()
            with self.assertRaises(exceptions.ConnectionLostError):
                await conn.send(http_client.RequestHead("GET", "/", []), b"")

        with socket.create_server(("127.0.0.1", 0)) as server:
            trio.run(send_after_close, server.getsockname()[1])


async def _read_all(stream):
    """Returns what a stream receives, then how it ended: `end` or `reset`."""
    parts = []
    try:
        while data := bytes(await stream.receive_some()):
            parts.append(data)
    except trio.BrokenResourceError:
        return [*parts, b"reset"]
    return [*parts, b"end"]


class ResetOnCloseTest(unittest.TestCase):
    def test_a_socket_is_reset_and_what_has_arrived_stays_readable(self):
        async def main():
            network = transport.TcpNetwork()
            readings = []

            async def read_late(stream):
                await trio.sleep(0.1)
                readings.append(await _read_all(stream))

            async with trio.open_nursery() as nursery:
                address = await nursery.start(network.serve, ids.Address("127.0.0.1:0"), read_late)
                for resets in (False, True):
                    stream = await network.connect(address, 1.0)
                    await stream.send_all(b"request")
                    if resets:
                        transport.reset_on_close(stream)
                    await stream.aclose()
                    await trio.sleep(0.3)
                nursery.cancel_scope.cancel()
            self.assertEqual(readings, [[b"request", b"end"], [b"request", b"reset"]])

        trio.run(main)


if __name__ == "__main__":
    unittest.main()
