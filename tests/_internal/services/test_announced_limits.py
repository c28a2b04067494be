"""Rate limits that upstreams announce in their answers for all routers together."""

import dataclasses
import unittest

from structlog import testing
import trio

from cicadapier._internal.decisions import health
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.models import ids
from cicadapier._internal.services import traffic_messages
from cicadapier._internal.standins import forwarding_upstream
from tests import forwarding_world

Fault = forwarding_upstream.UpstreamFault

WINDOW_S = 4.0
PROPAGATION_S = 3.0  # Time after which all routers together have to keep an announced limit.
MAX_RATIO = 1.5  # Permitted ratio of the requests within a window to the limit.
SLACK_REQUESTS = 5


def max_in_window(times, after):
    """Returns the largest number of times in a window of `WINDOW_S` that starts after a time."""
    late = sorted(time for time in times if time >= after)
    return max((sum(1 for t in late if s <= t < s + WINDOW_S) for s in late), default=0)


async def send_at_rate(world, router, per_s, duration_s, kind="look"):
    """Sends requests to one router at a constant rate; returns the replies."""
    replies = []

    async def send_one(number):
        if kind == "ask":
            parts = f"{router}{number % 5}:600,{router}x{number}:200"
            replies.append(await world.ask(parts=parts, router=router))
        else:
            replies.append(await world.send("GET", "desk", f"/look/{number}", router=router))

    async with trio.open_nursery() as nursery:
        for number in range(int(per_s * duration_s)):
            nursery.start_soon(send_one, number)
            await trio.sleep(1 / per_s)
    return replies


async def send_from_all_routers(world, per_s, duration_s, kind="look"):
    """Sends requests to each router at a constant rate; returns the replies."""
    replies = []

    async def send_to_router(router):
        replies.extend(await send_at_rate(world, router, per_s, duration_s, kind))

    async with trio.open_nursery() as nursery:
        for router in world.routers:
            nursery.start_soon(send_to_router, router)
    return replies


def lines_of_event(lines, name):
    """Returns the log lines of one event."""
    return [line for line in lines if line["event"] == name]


class LogAndMetricsTest(unittest.TestCase):
    def test_a_limit_that_is_announced_changed_or_lifted_is_logged(self):
        async def check(world):
            desk = world.upstreams["desk-0"]
            for limit in (b"4", b"4", b"2.5", b"soon", b"soon", None, None):
                desk.rate_limit = limit
                await trio.sleep(1.0)
                await world.send("GET", "desk", "/look/1")

        with testing.capture_logs() as lines:
            forwarding_world.run_in_world(check, desks=1)
        rates = [line["per_s"] for line in lines_of_event(lines, "rate_limit_named")]
        self.assertEqual(rates, [4.0, 2.5])
        self.assertEqual(len(lines_of_event(lines, "rate_limit_unreadable")), 1)
        self.assertEqual(len(lines_of_event(lines, "rate_limit_lifted")), 1)

    def test_sends_to_a_limited_upstream_are_counted_by_kind(self):
        async def check(world):
            world.upstreams["desk-0"].rate_limit = b"50"
            for _ in range(4):
                await world.send("GET", "desk", "/look/1")
            shown = world.routers[0].kernel.find("telemetry").exposition().decode()
            counted = [line for line in shown.splitlines() if "limited_sends_total{" in line]
            self.assertEqual(len(counted), 1)
            self.assertIn('kind="attempt"', counted[0])
            self.assertIn('upstream="desk-0"', counted[0])
            self.assertTrue(counted[0].endswith(" 3.0"))

        forwarding_world.run_in_world(check, desks=1)


class SharedLimitTest(unittest.TestCase):
    def assert_limit_kept(self, upstream, per_s, announced_at):
        """Asserts that all routers together keep the limit that an upstream has announced."""
        allowed = MAX_RATIO * per_s * WINDOW_S + SLACK_REQUESTS
        self.assertLessEqual(
            max_in_window(upstream.call_times, announced_at + PROPAGATION_S), allowed
        )

    def test_all_routers_together_keep_the_limit_of_an_upstream(self):
        async def check(world):
            await trio.sleep(3.0)
            desk = world.upstreams["desk-0"]
            desk.rate_limit = b"2"
            announced_at = trio.current_time()
            replies = await send_from_all_routers(world, per_s=10, duration_s=12)
            self.assert_limit_kept(desk, 2, announced_at)
            self.assertEqual({reply.status for reply in replies}, {200})

        forwarding_world.run_in_world(check, routers=4)

    def test_the_limit_of_an_engine_is_kept_while_weights_are_loaded(self):
        async def check(world):
            await trio.sleep(3.0)
            engine = world.upstreams["engine-0"]
            engine.rate_limit = b"1.1"
            announced_at = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_from_all_routers, world, 10, 12, "ask")
                await trio.sleep(4.0)
                for version in (2, 3, 4):
                    world.set_target_weights(version)
                    await trio.sleep(2.0)
            self.assert_limit_kept(engine, 1.1, announced_at)

        forwarding_world.run_in_world(check, routers=4)

    def test_a_restarted_router_keeps_the_limit_from_its_first_answer_on(self):
        async def check(world):
            await trio.sleep(3.0)
            desk = world.upstreams["desk-0"]
            desk.rate_limit = b"2"
            announced_at = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_at_rate, world, 0, 5, 12)
                nursery.start_soon(send_at_rate, world, 1, 5, 12)
                await trio.sleep(5.0)
                world.stop("vm-2")
                await trio.sleep(0.5)
                await world.start_router(2)
                await trio.sleep(0.5)
                nursery.start_soon(send_at_rate, world, 2, 5, 6)
            self.assert_limit_kept(desk, 2, announced_at)

        forwarding_world.run_in_world(check, routers=3)

    def test_partitioned_routers_keep_the_limit_together(self):
        async def check(world):
            await trio.sleep(3.0)
            desk = world.upstreams["desk-0"]
            desk.rate_limit = b"2"
            announced_at = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_from_all_routers, world, 5, 12)
                await trio.sleep(4.0)
                world.partition_peers()
            self.assert_limit_kept(desk, 2, announced_at)

        forwarding_world.run_in_world(check, routers=4)

    def test_two_dozen_routers_keep_the_limit_and_use_it(self):
        async def check(world):
            await trio.sleep(3.0)
            desk = world.upstreams["desk-0"]
            desk.rate_limit = b"3"
            announced_at = trio.current_time()
            await send_from_all_routers(world, per_s=1, duration_s=12)
            self.assert_limit_kept(desk, 3, announced_at)
            sent = sum(1 for at in desk.call_times if at >= announced_at + PROPAGATION_S)
            self.assertGreaterEqual(sent, 0.5 * 3 * 9)

        forwarding_world.run_in_world(check, routers=24, desks=1)


class AllUpstreamsLimitedTest(unittest.TestCase):
    """All upstreams of a service have announced a limit."""

    def test_callers_get_the_sum_of_the_limits_and_the_others_are_refused_at_once(self):
        async def check(world):
            await trio.sleep(3.0)
            for name in ("desk-0", "desk-1"):
                world.upstreams[name].rate_limit = b"4"
            announced_at = trio.current_time()
            replies = await send_from_all_routers(world, per_s=10, duration_s=10)
            for name in ("desk-0", "desk-1"):
                times = world.upstreams[name].call_times
                allowed = MAX_RATIO * 4 * WINDOW_S + SLACK_REQUESTS
                self.assertLessEqual(max_in_window(times, announced_at + PROPAGATION_S), allowed)
            served = [reply for reply in replies if reply.status == 200]
            self.assertGreaterEqual(len(served), 0.6 * 8 * 10)
            refused = [reply for reply in replies if reply.status != 200]
            self.assertEqual({reply.status for reply in refused}, {503})
            for reply in refused:
                self.assertGreater(float(reply.headers["retry-after"]), 0.0)
            # No request waits for a grant for longer than half of the objective of 0.4 s.
            self.assertLess(max(reply.took_s for reply in refused), 0.25)

        forwarding_world.run_in_world(check, routers=2)

    def test_no_account_is_starved(self):
        async def check(world):
            await trio.sleep(3.0)
            for name in ("desk-0", "desk-1"):
                world.upstreams[name].rate_limit = b"4"
            counts = {"key-1": 0, "key-3": 0}

            async def send_one(key):
                reply = await world.send("GET", "desk", "/look/1", key=key)
                counts[key] += reply.status == 200

            async with trio.open_nursery() as nursery:
                for number in range(300):
                    # One account sends nine times as many requests as the other one.
                    nursery.start_soon(send_one, "key-3" if number % 10 == 0 else "key-1")
                    await trio.sleep(0.04)
            self.assertGreaterEqual(counts["key-3"], 0.4 * 30)

        forwarding_world.run_in_world(check)


class LiftedLimitTest(unittest.TestCase):
    def check_resumption(self, limit, resume_s):
        """Announces and lifts a limit; checks that all routers resume within a time, spread out."""

        async def check(world):
            await trio.sleep(3.0)
            desk = world.upstreams["desk-0"]
            desk.work_s = 0.1
            world.upstreams["desk-1"].work_s = 0.1
            desk.rate_limit = limit
            await send_from_all_routers(world, per_s=5, duration_s=6)
            desk.rate_limit = None
            lifted_at = trio.current_time()
            await send_from_all_routers(world, per_s=5, duration_s=resume_s)
            # All routers have resumed sending to the upstream, and not all at the same time.
            late = [at for at in desk.call_times if at > lifted_at]
            self.assertGreater(len(late), 20)
            first = late[0]
            for tenth in range(int(resume_s * 10)):
                start = first + tenth / 10
                self.assertLessEqual(sum(1 for at in late if start <= at < start + 0.1), 8)

        forwarding_world.run_in_world(check, routers=4)

    def test_an_answer_without_a_limit_lifts_the_limit(self):
        self.check_resumption(b"2", 5)

    def test_an_upstream_with_a_limit_of_zero_is_probed_until_it_lifts_the_limit(self):
        self.check_resumption(b"0", 9)

    def test_a_limit_does_not_apply_to_the_next_incarnation(self):
        async def check(world):
            desk = world.upstreams["desk-0"]
            desk.rate_limit = b"0"
            await send_from_all_routers(world, per_s=10, duration_s=2)
            desk.rate_limit = None
            entry = dataclasses.replace(desk.entry, incarnation=ids.Incarnation("desk-0@2"))
            world.register(entry)
            await trio.sleep(1.0)
            restarted_at = trio.current_time()
            await send_from_all_routers(world, per_s=10, duration_s=2)
            self.assertGreater(sum(1 for at in desk.call_times if at > restarted_at), 5)

        forwarding_world.run_in_world(check)

    def test_answers_without_proof_lift_no_limit(self):
        async def check(world):
            await trio.sleep(3.0)
            desk = world.upstreams["desk-0"]
            desk.rate_limit = b"2"
            await send_from_all_routers(world, per_s=5, duration_s=5)
            desk.rate_limit = None
            desk.faults.add(Fault.UNPROVED)
            faulty_at = trio.current_time()
            await send_from_all_routers(world, per_s=5, duration_s=6)
            allowed = MAX_RATIO * 2 * WINDOW_S + SLACK_REQUESTS
            self.assertLessEqual(max_in_window(desk.call_times, faulty_at), allowed)

        forwarding_world.run_in_world(check, routers=2)


class FirstAnnouncementTest(unittest.TestCase):
    def test_requests_placed_before_the_announcement_are_held_back(self):
        async def check(world):
            desk = world.upstreams["desk-0"]
            desk.rate_limit = b"1"
            for name in ("desk-0", "desk-1"):
                world.upstreams[name].work_s = 0.2
            replies = []

            async def send_one():
                replies.append(await world.send("GET", "desk", "/look/1"))

            async with trio.open_nursery() as nursery:
                for _ in range(40):
                    nursery.start_soon(send_one)
            announced_at = min(at for at in desk.call_times) + 0.2
            self.assertLessEqual(sum(1 for at in desk.call_times if at > announced_at + 0.5), 2)
            self.assertLessEqual({reply.status for reply in replies}, {200, 503})

        forwarding_world.run_in_world(check)

    def test_a_limit_announced_in_a_rejection_applies(self):
        async def check(world):
            await trio.sleep(3.0)
            desk = world.upstreams["desk-0"]
            desk.rate_limit = b"1"
            desk.faults.add(Fault.SHEDS)
            announced_at = trio.current_time()
            replies = await send_from_all_routers(world, per_s=5, duration_s=8)
            late = [at for at in desk.call_times if at > announced_at + 0.5]
            self.assertLessEqual(
                max_in_window(late, announced_at), MAX_RATIO * WINDOW_S + SLACK_REQUESTS
            )
            self.assertEqual({reply.status for reply in replies}, {200})

        forwarding_world.run_in_world(check, routers=2)

    def test_peers_receive_the_limit_before_their_first_request(self):
        async def check(world):
            await trio.sleep(3.0)
            desk = world.upstreams["desk-0"]
            desk.rate_limit = b"0"
            while not desk.arrivals:
                await world.send("GET", "desk", "/look/1", router=0)
            await trio.sleep(1.5)
            shared_at = trio.current_time()
            for _ in range(20):
                await world.send("GET", "desk", "/look/1", router=1)
            self.assertLessEqual(sum(1 for at in desk.call_times if at > shared_at), 1)

        forwarding_world.run_in_world(check, routers=2)

    def test_a_limited_engine_holds_no_backups_and_remains_active(self):
        async def check(world):
            await trio.sleep(3.0)
            engine = world.upstreams["engine-0"]
            engine.rate_limit = b"0"
            await send_from_all_routers(world, per_s=10, duration_s=4, kind="ask")
            limited_at = trio.current_time()
            for number in range(20):
                await world.ask("/long/x", b"%d" % number, output_tokens=500)
            backups = [run.headers.get("x-kv-backup") for run in world.runs if run.at > limited_at]
            self.assertTrue(any(backups))
            self.assertNotIn(engine.entry.address, backups)
            reply = mailbox.Reply()
            world.routers[0].kernel.find("traffic").mailbox.send(traffic_messages.GetStatus(reply))
            states = {item.upstream: item.state for item in (await reply.get()).upstreams}
            self.assertEqual(states["engine-0"], health.UpstreamState.ACTIVE)

        forwarding_world.run_in_world(check)


class OtherGuaranteesTest(unittest.TestCase):
    """Guarantees that also apply to upstreams with a limit."""

    def test_calls_that_must_not_be_repeated_run_once_or_are_refused_as_not_run(self):
        async def check(world):
            await trio.sleep(3.0)
            for name in ("desk-0", "desk-1"):
                world.upstreams[name].rate_limit = b"3"
            replies = {}

            async def send_one(request, router):
                replies[request] = await world.send(
                    "POST", "desk", "/order/1", request=request, router=router
                )

            async with trio.open_nursery() as nursery:
                for number in range(160):
                    nursery.start_soon(send_one, f"q{number}", number % 2)
                    await trio.sleep(0.05)
            await trio.sleep(5.0)
            statuses = {reply.status for reply in replies.values()}
            self.assertEqual(statuses, {200, 503})
            for request, reply in replies.items():
                self.assertEqual(len(world.runs_for(request)), int(reply.status == 200))

        forwarding_world.run_in_world(check, routers=2)

    def test_runs_that_lose_their_engine_do_not_exceed_the_limit_of_another(self):
        async def check(world):
            await trio.sleep(3.0)
            for name in ("engine-0", "engine-1"):
                world.upstreams[name].event_interval_s = 0.5

            async def send_one(number):
                await world.ask("/long/x", b"%d" % number, output_tokens=500)

            async with trio.open_nursery() as nursery:
                for number in range(12):
                    nursery.start_soon(send_one, number)
                await trio.sleep(0.3)
                limited = world.upstreams["engine-1"]
                limited.rate_limit = b"0"
                await world.ask(parts="told:10,it:5")
                await world.ask(parts="told:10,more:5")
                self.assertTrue(any(run.headers.get("x-kv-backup") for run in world.runs))
                await trio.sleep(0.6)
                lost_at = trio.current_time()
                world.stop("engine-0")
            late = [at for at in limited.call_times if at > lost_at]
            self.assertLessEqual(max_in_window(late, lost_at), 2)

        forwarding_world.run_in_world(check, engines=2)

    def test_a_shared_prompt_moves_to_one_other_engine(self):
        async def check(world):
            await trio.sleep(3.0)
            for number in range(6):
                await world.ask(parts=f"shared:4000,x{number}:20")
            original = world.runs[-1].upstream
            world.upstreams[original].rate_limit = b"0"
            await world.ask(parts="shared:4000,told:20")
            limited_at = trio.current_time()
            for number in range(12):
                await world.ask(parts=f"shared:4000,y{number}:20")
                await trio.sleep(0.1)
            used = {run.upstream for run in world.runs if run.at > limited_at}
            self.assertEqual(len(used - {original}), 1)

        forwarding_world.run_in_world(check)


if __name__ == "__main__":
    unittest.main()
