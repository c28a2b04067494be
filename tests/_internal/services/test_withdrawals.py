"""Upstreams that say with their answers that they are leaving, or want nothing for a while."""

import unittest

import trio

from cicadapier._internal.standins import users_store
from cicadapier._internal.standins import users_upstream
from tests import forwarding_world

Fault = users_upstream.UpstreamFault


def arrived_after(made, name, at):
    """Returns the requests that reached an upstream after a time."""
    return [arrival for arrival in made.upstreams[name].arrivals if arrival.at > at]


class LeavingTest(unittest.TestCase):
    def test_nothing_is_sent_to_an_upstream_after_an_answer_that_says_it_leaves(self):
        async def check(made):
            made.upstreams["desk-0"].faults.add(Fault.SAYS_LEAVING)
            while not made.upstreams["desk-0"].arrivals:
                await made.send("GET", "desk", "/look/1")
            told_at = trio.current_time()
            for _ in range(20):
                reply = await made.send("GET", "desk", "/look/1")
                self.assertEqual(reply.status, 200)
            self.assertEqual(arrived_after(made, "desk-0", told_at), [])

        forwarding_world.run_in_world(check)

    def test_it_is_believed_while_the_store_is_away_and_when_the_answer_is_a_refusal(self):
        async def check(made):
            made.store.faults.add(users_store.StoreFault.SILENT)
            await trio.sleep(0.5)
            engine = made.upstreams["engine-0"]
            engine.faults.update((Fault.SAYS_LEAVING, Fault.SHEDS))
            while not engine.arrivals:
                await made.ask(parts=f"a{len(made.runs)}:600,bb:300")
            told_at = trio.current_time()
            for number in range(20):
                reply = await made.ask(parts=f"b{number}:600,bb:300")
                self.assertEqual(reply.status, 200)
            self.assertEqual(arrived_after(made, "engine-0", told_at), [])

        forwarding_world.run_in_world(check)

    def test_it_is_known_before_its_stream_ends(self):
        async def check(made):
            engine = made.upstreams["engine-0"]
            engine.faults.add(Fault.SAYS_LEAVING)
            engine.event_s = 0.5
            async with trio.open_nursery() as nursery:
                for number in range(6):
                    nursery.start_soon(made.ask, "/ask/x", b"%d" % number)
                    await trio.sleep(0.02)
                await trio.sleep(0.1)
                told_at = trio.current_time()
                for number in range(10):
                    nursery.start_soon(made.ask, "/ask/x", b"later %d" % number)
            self.assertEqual(arrived_after(made, "engine-0", told_at), [])

        forwarding_world.run_in_world(check)

    def test_the_other_routers_learn_of_it(self):
        async def check(made):
            await trio.sleep(3.0)
            made.upstreams["desk-0"].faults.add(Fault.SAYS_LEAVING)
            while not made.upstreams["desk-0"].arrivals:
                await made.send("GET", "desk", "/look/1", router=0)
            await trio.sleep(1.5)
            told_at = trio.current_time()
            for _ in range(20):
                await made.send("GET", "desk", "/look/1", router=1)
            self.assertEqual(arrived_after(made, "desk-0", told_at), [])

        forwarding_world.run_in_world(check, routers=2)


class PauseTest(unittest.TestCase):
    def test_an_upstream_that_wants_nothing_is_left_alone_for_so_long(self):
        async def check(made):
            desk = made.upstreams["desk-0"]
            desk.retry_after = b"3"
            while not desk.arrivals:
                self.assertEqual((await made.send("GET", "desk", "/look/1")).status, 200)
            told_at = trio.current_time()
            while trio.current_time() < told_at + 2.9:
                self.assertEqual((await made.send("GET", "desk", "/look/1")).status, 200)
                await trio.sleep(0.05)
            self.assertEqual(arrived_after(made, "desk-0", told_at), [])

        forwarding_world.run_in_world(check)

    def test_work_comes_back_one_request_at_a_time(self):
        async def check(made):
            desk = made.upstreams["desk-0"]
            desk.retry_after = b"1"
            while not desk.arrivals:
                await made.send("GET", "desk", "/look/1")
            desk.retry_after = None
            desk.work_s = 0.5
            made.upstreams["desk-1"].work_s = 0.5
            await trio.sleep(1.3)
            back_at = trio.current_time()
            async with trio.open_nursery() as nursery:
                for _ in range(6):
                    nursery.start_soon(made.send, "GET", "desk", "/look/1")
            self.assertEqual(len(arrived_after(made, "desk-0", back_at)), 1)
            async with trio.open_nursery() as nursery:
                for _ in range(6):
                    nursery.start_soon(made.send, "GET", "desk", "/look/1")
            self.assertGreater(len(arrived_after(made, "desk-0", back_at)), 2)

        forwarding_world.run_in_world(check)

    def test_where_all_want_nothing_callers_learn_at_once_when_to_come_back(self):
        async def check(made):
            for name in ("desk-0", "desk-1"):
                made.upstreams[name].retry_after = b"0.8"
            await made.send("POST", "desk", "/order/1", request="q0")
            at = trio.current_time()
            reply = await made.send("POST", "desk", "/order/1", request="q1")
            self.assertLess(trio.current_time() - at, 0.05)
            self.assertEqual(reply.status, 503)
            self.assertGreater(float(reply.headers["retry-after"]), 0.6)
            self.assertLess(float(reply.headers["retry-after"]), 0.9)
            self.assertEqual(made.runs_for("q0") + made.runs_for("q1"), [])

        forwarding_world.run_in_world(check)

    def test_a_value_that_cannot_be_read_still_pauses_for_a_bounded_time(self):
        for value in (b"soon", b"-4", b"Fri, 04 Dec 2026 10:00:00 GMT"):
            with self.subTest(value):

                async def check(made, value=value):
                    desk = made.upstreams["desk-0"]
                    desk.retry_after = value
                    while not desk.arrivals:
                        await made.send("GET", "desk", "/look/1")
                    told_at = trio.current_time()
                    desk.retry_after = None
                    while trio.current_time() < told_at + 0.9:
                        await made.send("GET", "desk", "/look/1")
                        await trio.sleep(0.05)
                    self.assertEqual(arrived_after(made, "desk-0", told_at), [])
                    await trio.sleep(0.5)
                    for _ in range(10):
                        await made.send("GET", "desk", "/look/1")
                    self.assertTrue(arrived_after(made, "desk-0", told_at))

                forwarding_world.run_in_world(check)


if __name__ == "__main__":
    unittest.main()
