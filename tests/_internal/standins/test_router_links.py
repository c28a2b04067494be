"""Links of one router that are cut: connections that hang, are reset or are refused."""

import contextlib
import unittest

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import transport
from cicadapier._internal.standins import router_links
from tests import recording_server

Direction = router_links.Direction
LinkFault = router_links.LinkFault
CUT_S = 5.0
TIMEOUT_S = 0.4


class MemoryNetworkTest(unittest.TestCase):
    def test_a_close_after_reset_on_close_discards_what_was_not_read(self):
        async def check(links, server, _):
            stream = await links._inner.connect(recording_server.UPSTREAM, 1.0)
            await recording_server.settle()
            await server.streams[0].send_all(b"unread")
            transport.reset_on_close(server.streams[0])
            await server.streams[0].aclose()
            self.assertTrue(transport.has_input(stream))
            with self.assertRaises(trio.BrokenResourceError):
                await stream.receive_some()
            with self.assertRaises(trio.BrokenResourceError):
                await stream.send_all(b"more")

        recording_server.run(check)

    def test_a_reset_ends_the_read_that_waits_at_the_server(self):
        async def check(links, server, _):
            stream = await links._inner.connect(recording_server.UPSTREAM, 1.0)
            await recording_server.settle()
            transport.reset_on_close(stream)
            await stream.aclose()
            await recording_server.settle()
            self.assertEqual(server.contents, ["reset"])
            with self.assertRaises(trio.BrokenResourceError):
                await server.streams[0].send_all(b"late")

        recording_server.run(check)

    def test_a_plain_close_delivers_what_was_sent(self):
        async def check(links, server, _):
            stream = await links._inner.connect(recording_server.UPSTREAM, 1.0)
            await stream.send_all(b"request")
            await stream.aclose()
            await recording_server.settle()
            self.assertEqual(server.contents, [b"request", "end"])

        recording_server.run(check)

    def test_a_process_that_stops_ends_its_connections_without_a_reset(self):
        async def check(links, server, _):
            stream = await links._inner.connect(recording_server.UPSTREAM, 1.0)
            await stream.send_all(b"request")
            with trio.CancelScope() as scope:
                scope.cancel()
                await stream.aclose()
            await recording_server.settle()
            self.assertEqual(server.contents, [b"request", "end"])

        recording_server.run(check)


class PassThroughTest(unittest.TestCase):
    def test_links_that_are_not_cut_pass_everything_through(self):
        async def check(links, server, _):
            stream = await links.connect(recording_server.UPSTREAM, 1.0)
            await stream.send_all(b"request")
            await recording_server.settle()
            await server.streams[0].send_all(b"answer")
            self.assertEqual(await stream.receive_some(3), b"ans")
            self.assertEqual(await stream.receive_some(), b"wer")
            await stream.aclose()
            with self.assertRaises(trio.ClosedResourceError):
                await stream.send_all(b"more")
            with self.assertRaises(trio.ClosedResourceError):
                await stream.receive_some()
            await recording_server.settle()
            self.assertEqual(server.contents, [b"request", "end"])

        recording_server.run(check)

    def test_a_close_ends_a_read_of_another_task(self):
        async def check(links, _, __):
            for fault in (None, LinkFault.HANG):
                stream = await links.connect(recording_server.UPSTREAM, 1.0)
                if fault:
                    links.cut(fault, [recording_server.UPSTREAM])
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._read_closed, stream)
                    await trio.sleep(1.0)
                    await stream.aclose()

        recording_server.run(check)

    async def _read_closed(self, stream):
        with self.assertRaises(trio.ClosedResourceError):
            await stream.receive_some()

    def test_it_serves_on_the_inner_network(self):
        async def check(links, _, __):
            address = ids.Address("127.0.0.1:7003")
            server = recording_server.Server(links, address)
            links.cut(LinkFault.RESET, [address])
            async with trio.open_nursery() as nursery:
                await nursery.start(server.run)
                stream = await links._inner.connect(address, 1.0)
                await stream.send_all(b"call")
                await recording_server.settle()
                self.assertEqual(server.contents, [b"call"])
                nursery.cancel_scope.cancel()

        recording_server.run(check)


class HangTest(unittest.TestCase):
    def test_new_connections_get_no_answer_until_their_timeout(self):
        async def check(links, _, __):
            links.cut(LinkFault.HANG, [recording_server.UPSTREAM])
            began = trio.current_time()
            with self.assertRaisesRegex(
                exceptions.ConnectError, "no answer within 0.4 s"
            ) as raised:
                await links.connect(recording_server.UPSTREAM, TIMEOUT_S)
            self.assertNotIsInstance(raised.exception, exceptions.ConnectRefusedError)
            self.assertAlmostEqual(trio.current_time() - began, TIMEOUT_S)
            links.heal()
            await links.connect(recording_server.UPSTREAM, TIMEOUT_S)

        recording_server.run(check)

    def test_what_is_sent_both_ways_arrives_in_order_after_the_cut(self):
        async def check(links, server, _):
            stream = await links.connect(recording_server.UPSTREAM, 1.0)
            await recording_server.settle()
            links.cut(LinkFault.HANG, [recording_server.UPSTREAM])
            await stream.send_all(b"first")
            await stream.send_all(b"second")
            await server.streams[0].send_all(b"answer")
            with trio.move_on_after(CUT_S) as scope:
                await stream.receive_some()
            self.assertTrue(scope.cancelled_caught)
            self.assertFalse(transport.has_input(stream))
            self.assertEqual(server.received, [])
            links.heal()
            healed = trio.current_time()
            self.assertTrue(transport.has_input(stream))
            self.assertEqual(await recording_server.read(stream), (b"answer", healed))
            await stream.send_all(b"third")
            await recording_server.settle()
            self.assertEqual(b"".join(server.contents), b"firstsecondthird")
            self.assertEqual(set(server.times), {round(healed, 2)})

        recording_server.run(check)

    def test_what_was_sent_arrives_after_the_cut_although_the_router_has_closed(self):
        async def check(links, server, _):
            stream = await links.connect(recording_server.UPSTREAM, 1.0)
            links.cut(LinkFault.HANG, [recording_server.UPSTREAM])
            await stream.send_all(b"request")
            await stream.aclose()
            await trio.sleep(CUT_S)
            self.assertEqual(server.received, [])
            links.heal()
            await recording_server.settle()
            self.assertEqual(server.contents, [b"request", "end"])
            self.assertEqual(set(server.times), {round(trio.current_time(), 2)})

        recording_server.run(check)

    def test_a_router_that_stops_does_not_take_back_what_it_has_sent(self):
        async def check(links, server, _):
            async def send():
                stream = await links.connect(recording_server.UPSTREAM, 1.0)
                try:
                    links.cut(LinkFault.HANG, [recording_server.UPSTREAM])
                    await stream.send_all(b"request")
                    await trio.sleep_forever()
                finally:
                    await trio.aclose_forcefully(stream)

            with trio.move_on_after(1.0):
                await send()
            links.heal()
            await recording_server.settle()
            self.assertEqual(server.contents, [b"request", "end"])

        recording_server.run(check)

    def test_a_reset_discards_what_was_sent_and_is_seen_after_the_cut(self):
        async def check(links, server, _):
            stream = await links.connect(recording_server.UPSTREAM, 1.0)
            links.cut(LinkFault.HANG, [recording_server.UPSTREAM])
            await stream.send_all(b"request")
            transport.reset_on_close(stream)
            await stream.aclose()
            await trio.sleep(CUT_S)
            self.assertEqual(server.received, [])
            links.heal()
            await recording_server.settle()
            self.assertEqual(server.contents, ["reset"])

        recording_server.run(check)

    def test_the_end_of_an_upstream_is_seen_after_the_cut(self):
        async def check(links, server, _):
            for resets, expected in ((False, "end"), (True, "reset")):
                stream = await links.connect(recording_server.UPSTREAM, 1.0)
                await recording_server.settle()
                links.cut(LinkFault.HANG, [recording_server.UPSTREAM])
                if resets:
                    transport.reset_on_close(server.streams[-1])
                await server.streams[-1].aclose()
                self.assertFalse(transport.has_input(stream))
                with trio.move_on_after(CUT_S) as scope:
                    await stream.receive_some()
                self.assertTrue(scope.cancelled_caught)
                links.heal()
                self.assertEqual((await recording_server.read(stream))[0], expected)

        recording_server.run(check)

    def test_a_cut_to_the_upstream_alone_lets_its_data_through(self):
        async def check(links, server, _):
            stream = await links.connect(recording_server.UPSTREAM, 1.0)
            await recording_server.settle()
            links.cut(LinkFault.HANG, [recording_server.UPSTREAM], direction=Direction.TO_UPSTREAM)
            await stream.send_all(b"request")
            await server.streams[0].send_all(b"answer")
            self.assertEqual(await stream.receive_some(), b"answer")
            await trio.sleep(CUT_S)
            self.assertEqual(server.received, [])
            with self.assertRaises(exceptions.ConnectError):
                await links.connect(recording_server.UPSTREAM, TIMEOUT_S)

        recording_server.run(check)

    def test_a_cut_from_the_upstream_alone_lets_the_routers_data_through(self):
        async def check(links, server, _):
            stream = await links.connect(recording_server.UPSTREAM, 1.0)
            await recording_server.settle()
            links.cut(
                LinkFault.HANG, [recording_server.UPSTREAM], direction=Direction.FROM_UPSTREAM
            )
            await stream.send_all(b"request")
            await server.streams[0].send_all(b"answer")
            with trio.move_on_after(CUT_S) as scope:
                await stream.receive_some()
            self.assertTrue(scope.cancelled_caught)
            self.assertEqual(server.contents, [b"request"])
            with self.assertRaises(exceptions.ConnectError):
                await links.connect(recording_server.UPSTREAM, TIMEOUT_S)

        recording_server.run(check)


class ResetTest(unittest.TestCase):
    def test_open_connections_are_reset_at_both_ends_at_once(self):
        async def check(links, server, _):
            stream = await links.connect(recording_server.UPSTREAM, 1.0)
            readings = []

            async def read():
                readings.append(await recording_server.read(stream))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(read)
                await trio.sleep(1.0)
                links.cut(LinkFault.RESET, [recording_server.UPSTREAM])
                cut_at = trio.current_time()
            await recording_server.settle()
            self.assertEqual(readings, [("reset", cut_at)])
            self.assertEqual(server.received, [(cut_at, "reset")])
            self.assertTrue(transport.has_input(stream))
            with self.assertRaises(trio.BrokenResourceError):
                await stream.send_all(b"more")
            with self.assertRaises(trio.BrokenResourceError):
                await stream.receive_some()
            await stream.aclose()

        recording_server.run(check)

    def test_new_connections_are_refused_at_once(self):
        async def check(links, _, __):
            for fault in (LinkFault.RESET, LinkFault.REFUSE_NEW):
                links.cut(fault, [recording_server.UPSTREAM])
                began = trio.current_time()
                with self.assertRaises(exceptions.ConnectRefusedError):
                    await links.connect(recording_server.UPSTREAM, TIMEOUT_S)
                self.assertEqual(trio.current_time(), began)
                links.heal()
                await (await links.connect(recording_server.UPSTREAM, TIMEOUT_S)).aclose()

        recording_server.run(check)

    def test_a_reset_discards_what_a_hanging_connection_holds(self):
        async def check(links, server, _):
            stream = await links.connect(recording_server.UPSTREAM, 1.0)
            links.cut(LinkFault.HANG, [recording_server.UPSTREAM])
            await stream.send_all(b"request")
            await stream.aclose()
            links.cut(LinkFault.RESET, [recording_server.UPSTREAM])
            links.heal()
            await recording_server.settle()
            self.assertEqual(server.contents, ["reset"])

        recording_server.run(check)


class RefuseNewTest(unittest.TestCase):
    def test_open_connections_go_on(self):
        async def check(links, server, _):
            stream = await links.connect(recording_server.UPSTREAM, 1.0)
            links.cut(LinkFault.REFUSE_NEW, [recording_server.UPSTREAM])
            await stream.send_all(b"request")
            await recording_server.settle()
            await server.streams[0].send_all(b"answer")
            self.assertEqual(await stream.receive_some(), b"answer")
            self.assertEqual(server.contents, [b"request"])

        recording_server.run(check)


class AddressesTest(unittest.TestCase):
    def test_other_addresses_and_other_routers_are_not_cut(self):
        async def check(links, server, other):
            for fault in LinkFault:
                links.cut(fault, [recording_server.UPSTREAM])
            await (await links.connect(recording_server.OTHER, 1.0)).send_all(b"to the other")
            neighbour = router_links.RouterLinks(links._inner)
            await (await neighbour.connect(recording_server.UPSTREAM, 1.0)).send_all(
                b"of the neighbour"
            )
            await recording_server.settle()
            self.assertEqual(other.contents, [b"to the other"])
            self.assertEqual(server.contents, [b"of the neighbour"])

        recording_server.run(check)

    def test_a_second_cut_adds_to_the_first(self):
        async def check(links, _, __):
            links.cut(LinkFault.HANG, [recording_server.UPSTREAM])
            links.cut(LinkFault.RESET, [recording_server.OTHER])
            with self.assertRaisesRegex(exceptions.ConnectError, "no answer"):
                await links.connect(recording_server.UPSTREAM, TIMEOUT_S)
            with self.assertRaises(exceptions.ConnectRefusedError):
                await links.connect(recording_server.OTHER, TIMEOUT_S)

        recording_server.run(check)

    def test_a_cut_that_heals_leaves_the_others_in_force(self):
        async def check(links, _, __):
            first = links.cut(LinkFault.REFUSE_NEW, [recording_server.UPSTREAM])
            links.cut(LinkFault.REFUSE_NEW, [recording_server.UPSTREAM])
            links.cut(LinkFault.REFUSE_NEW, [recording_server.OTHER])
            links.heal(first)
            links.heal(first)
            for address in (recording_server.UPSTREAM, recording_server.OTHER):
                with self.assertRaises(exceptions.ConnectRefusedError):
                    await links.connect(address, TIMEOUT_S)

        recording_server.run(check)

    def test_a_connection_that_two_cuts_hold_waits_for_the_end_of_both(self):
        async def check(links, server, _):
            stream = await links.connect(recording_server.UPSTREAM, 1.0)
            first = links.cut(LinkFault.HANG, [recording_server.UPSTREAM])
            second = links.cut(LinkFault.HANG, [recording_server.UPSTREAM])
            await stream.send_all(b"request")
            links.heal(first)
            await trio.sleep(1.0)
            self.assertEqual(server.contents, [])
            links.heal(second)
            await recording_server.settle()
            self.assertEqual(server.contents, [b"request"])

        recording_server.run(check)


class DelayTest(unittest.TestCase):
    def test_what_is_sent_arrives_at_the_given_time_also_after_a_close(self):
        async def check(links, server, other):
            stream = await links.connect(recording_server.UPSTREAM, 1.0)
            await stream.send_all(b"before")
            await recording_server.settle()
            until = trio.current_time() + CUT_S
            links.delay_delivery_until(until, [recording_server.UPSTREAM])
            await stream.send_all(b"request")
            await stream.aclose()
            await (await links.connect(recording_server.OTHER, 1.0)).send_all(b"not delayed")
            await trio.sleep_until(until - 0.1)
            self.assertEqual(server.contents, [b"before"])
            self.assertEqual(other.contents, [b"not delayed"])
            await trio.sleep_until(until + 0.1)
            self.assertEqual(server.contents, [b"before", b"request", "end"])
            self.assertEqual(server.received[1][0], until)
            later = await links.connect(recording_server.UPSTREAM, 1.0)
            await later.send_all(b"later")
            await recording_server.settle()
            self.assertEqual(server.contents[-1], b"later")

        recording_server.run(check)

    def test_answers_are_not_delayed(self):
        async def check(links, server, _):
            stream = await links.connect(recording_server.UPSTREAM, 1.0)
            await recording_server.settle()
            links.delay_delivery_until(trio.current_time() + CUT_S, [recording_server.UPSTREAM])
            await server.streams[0].send_all(b"answer")
            self.assertEqual(await stream.receive_some(), b"answer")

        recording_server.run(check)

    def test_a_reset_discards_what_is_delayed(self):
        async def check(links, server, _):
            stream = await links.connect(recording_server.UPSTREAM, 1.0)
            links.delay_delivery_until(trio.current_time() + CUT_S, [recording_server.UPSTREAM])
            await stream.send_all(b"request")
            transport.reset_on_close(stream)
            await stream.aclose()
            await trio.sleep(CUT_S + 1.0)
            self.assertEqual(server.contents, ["reset"])

        recording_server.run(check)


class SocketsTest(unittest.TestCase):
    """Cuts of connections over sockets, as in the demo."""

    def _contents_after(self, fault, resets=False):
        """Returns what a server receives of a request that is sent during a cut that heals."""

        async def main():
            network = transport.TcpNetwork()
            server = recording_server.Server(network, ids.Address("127.0.0.1:0"))
            links = router_links.RouterLinks(network)
            async with trio.open_nursery() as nursery:
                address = await nursery.start(server.run)
                stream = await links.connect(address, 1.0)
                links.cut(fault, [address])
                with contextlib.suppress(trio.BrokenResourceError):
                    await stream.send_all(b"request")
                if resets:
                    transport.reset_on_close(stream)
                await stream.aclose()
                await trio.sleep(0.2)
                before = server.contents
                links.heal()
                await trio.sleep(0.2)
                nursery.cancel_scope.cancel()
            return before, server.contents

        return trio.run(main)

    def test_what_is_sent_during_a_hang_arrives_after_the_cut(self):
        self.assertEqual(self._contents_after(LinkFault.HANG), ([], [b"request", "end"]))

    def test_a_reset_discards_what_is_sent_during_a_hang(self):
        self.assertEqual(self._contents_after(LinkFault.HANG, resets=True), ([], ["reset"]))

    def test_open_connections_are_reset_at_once(self):
        self.assertEqual(self._contents_after(LinkFault.RESET), (["reset"], ["reset"]))


if __name__ == "__main__":
    unittest.main()
