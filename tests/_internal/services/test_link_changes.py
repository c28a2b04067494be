"""Links that come and go while routers, peers and upstreams change, and calm days."""

import collections
import itertools
import unittest

import structlog.testing
import trio

from cicadapier._internal.decisions import membership
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import peer_codec
from cicadapier._internal.services import connections_service
from cicadapier._internal.services import links_service
from cicadapier._internal.services import names
from cicadapier._internal.standins import router_links
from tests import forwarding_world
from tests._internal.services import test_poison_parts
from tests._internal.services import test_routers_without_links

Fault = router_links.LinkFault
KINDS = test_routers_without_links.KINDS
ROUTERS = 4
MANY_ROUTERS = 24
ONE_WAY = (router_links.Direction.TO_UPSTREAM, router_links.Direction.FROM_UPSTREAM)
MIN_SHARE = 2 / 3
SERVED_SHARE = 0.95
INTERVAL_S = 0.25
CONTACT_S = 3.0
CHANGES = [change.value for change in links_service.link_state.LinkChange]
MAX_CONNECT_DELAY_S = 0.01
MAX_REFUSAL_S = 0.6
CALLER_TIME_S = 3.0


class _Day:
    """Requests of all kinds to some routers, and what became of them."""

    def __init__(self, world):
        self.world = world
        self._numbers = itertools.count()
        self._tries = []

    async def ask(self, duration_s, routers=range(ROUTERS), interval_s=INTERVAL_S):
        """Sends a request to each router at an interval."""
        async with trio.open_nursery() as nursery:
            for _ in range(round(duration_s / interval_s)):
                for router in routers:
                    nursery.start_soon(self._ask_once, next(self._numbers), router)
                await trio.sleep(interval_s)

    async def _ask_once(self, number, router):
        kind = KINDS[(number + number // len(KINDS)) % len(KINDS)]
        sent_at = trio.current_time()
        send = test_routers_without_links.send
        reply = await send(self.world, kind, router, request=f"{kind}-{number}")
        is_whole = test_routers_without_links.is_whole(reply, kind)
        self._tries.append((sent_at, router, is_whole))

    def share(self, routers, since=0.0):
        """Returns the share of first tries since a time that were served at some routers."""
        served = [ok for at, router, ok in self._tries if router in routers and at >= since]
        return sum(served) / len(served)

    def orders_that_ran_twice(self):
        """Returns the requests that must run once and ran more often."""
        runs = collections.Counter(run.request for run in self.world.runs)
        return [name for name, count in runs.items() if count > 1 and name.startswith("order")]


def _run_day(test, routers=ROUTERS):
    """Runs a test in a world; returns the logs."""
    with structlog.testing.capture_logs() as logs:

        async def check(world):
            await test(world, _Day(world))

        forwarding_world.run_in_world(check, routers=routers)
    return logs


class ChangesTest(unittest.TestCase):
    def check_logs(self, logs):
        self.assertEqual([log for log in logs if log["log_level"] in ("error", "critical")], [])

    def test_links_that_come_and_go(self):
        cuts = 16
        for fault in Fault:
            with self.subTest(fault):

                async def flap(world, fault=fault):
                    for _ in range(cuts):
                        world.cut_links(0, fault)
                        await trio.sleep(0.3)
                        world.heal_links(0)
                        await trio.sleep(0.3)

                async def check(world, day, flap=flap):
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(flap, world)
                        nursery.start_soon(day.ask, 10.0, [1, 2, 3])
                        await day.ask(10.0, [0], INTERVAL_S / 4)
                    self.assertGreaterEqual(day.share([0]), SERVED_SHARE)
                    self.assertGreaterEqual(day.share([1, 2, 3]), SERVED_SHARE)
                    self.assertEqual(day.orders_that_ran_twice(), [])

                logs = _run_day(check)
                self.check_logs(logs)
                changes = [log for log in logs if log["event"] in CHANGES]
                self.assertLessEqual(len(changes), 2 * cuts)

    def test_links_that_are_cut_in_one_direction(self):
        for direction in ONE_WAY:
            with self.subTest(direction):

                async def check(world, day, direction=direction):
                    await day.ask(1.0)
                    addresses = world.upstream_addresses()
                    world.links[0].cut(Fault.HANG, addresses, direction=direction)
                    cut_at = trio.current_time()
                    await day.ask(7.0)
                    self.assertGreater(day.share([0], cut_at + CONTACT_S), SERVED_SHARE)
                    self.assertGreater(day.share([1, 2, 3]), SERVED_SHARE)
                    self.assertEqual(day.orders_that_ran_twice(), [])

                self.check_logs(_run_day(check))

    def test_other_half_is_cut_as_the_first_heals(self):
        for fault in Fault:
            with self.subTest(fault):

                async def check(world, day, fault=fault):
                    for router in (0, 1):
                        world.cut_links(router, fault)
                    await day.ask(3.0)
                    for router in (0, 1):
                        world.heal_links(router)
                    for router in (2, 3):
                        world.cut_links(router, fault)
                    changed_at = trio.current_time()
                    await day.ask(CONTACT_S + 2.0)
                    self.assertGreater(day.share([0, 1], changed_at), SERVED_SHARE)
                    self.assertGreater(day.share([2, 3], changed_at + CONTACT_S), SERVED_SHARE)
                    self.assertEqual(day.orders_that_ran_twice(), [])

                self.check_logs(_run_day(check))

    def check_refusals(self, fault, limit_s):
        """Checks what callers get while no router reaches an upstream."""

        async def check(world, day):
            await trio.sleep(5.0)  # No idle connections.
            for router in (0, 1):
                world.cut_links(router, fault)
            for number, kind in enumerate([*KINDS, *KINDS]):
                send = test_routers_without_links.send
                reply = await send(world, kind, number % 2, request=f"cut-{number}")
                self.assertEqual(reply.status, 503)
                self.assertLess(reply.took_s, limit_s)
            await trio.sleep(3.0)
            self.assertEqual([r for r in world.runs if r.request.startswith("cut")], [])
            for router in (0, 1):
                world.heal_links(router)
            await trio.sleep(CONTACT_S)
            await day.ask(2.0, range(2))
            self.assertGreater(day.share([0, 1]), SERVED_SHARE)

        self.check_logs(_run_day(check, routers=2))

    def test_requests_are_refused_truthfully_while_all_routers_are_cut(self):
        self.check_refusals(Fault.RESET, MAX_REFUSAL_S)
        self.check_refusals(Fault.REFUSE_NEW, MAX_REFUSAL_S)
        self.check_refusals(Fault.HANG, CALLER_TIME_S)

    def test_requests_are_refused_early_while_connections_of_all_routers_hang(self):
        self.check_refusals(Fault.HANG, MAX_REFUSAL_S)

    def test_upstreams_are_not_shut_out_for_links_that_all_routers_had_lost(self):
        for fault in (Fault.RESET, Fault.REFUSE_NEW):
            with self.subTest(fault):

                async def check(world, day, fault=fault):
                    await trio.sleep(5.0)  # No idle connections.
                    for router in (0, 1):
                        world.cut_links(router, fault)
                    await day.ask(5.0, range(2))
                    for router in (0, 1):
                        world.heal_links(router)
                    healed_at = trio.current_time()
                    await day.ask(1.0, range(2))
                    self.assertEqual(day.share([0, 1], healed_at), 1.0)

                self.check_logs(_run_day(check, routers=2))

    def test_carrying_routers_are_restarted_one_after_the_other(self):
        for fault, is_graceful in ((Fault.HANG, False), (Fault.RESET, True)):
            with self.subTest(fault=fault, is_graceful=is_graceful):

                async def check(world, day, fault=fault, is_graceful=is_graceful):
                    world.cut_links(0, fault)
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(_restart_others, world, is_graceful)
                        await day.ask(9.0 if not is_graceful else 18.0, [0])
                    self.assertGreater(day.share([0]), SERVED_SHARE if is_graceful else MIN_SHARE)
                    self.assertEqual(day.orders_that_ran_twice(), [])

                self.check_logs(_run_day(check))

    def check_many_routers(
        self,
        cut,
        fault,
        upstreams=None,
        direction=router_links.Direction.BOTH,
        contact_s=CONTACT_S / 2,
    ):
        """Checks a fleet in which the links of some routers are cut, and returns who carries.

        Args:
            cut: The routers whose links are cut.
            fault: The fault of the cut.
            upstreams: Names of the upstreams whose links are cut; None for all.
            direction: Direction that is cut.
            contact_s: Time after which they are served through others.
        """
        others = [router for router in range(MANY_ROUTERS) if router not in cut]
        carried = collections.Counter()

        async def check(world, day):
            for router in others:
                _count_tunnels(world, router, carried)
            for router in cut:
                world.cut_links(router, fault, upstreams, direction)
            await day.ask(contact_s, range(MANY_ROUTERS))
            contact_at = trio.current_time()
            await day.ask(1.5, range(MANY_ROUTERS))
            self.assertGreater(day.share(cut, contact_at), SERVED_SHARE)
            self.assertGreater(day.share(others), SERVED_SHARE)
            self.assertEqual(day.orders_that_ran_twice(), [])

        self.check_logs(_run_day(check, routers=MANY_ROUTERS))
        return carried

    def test_many_routers_of_which_a_third_is_cut(self):
        for fault in Fault:
            with self.subTest(fault):
                carried = self.check_many_routers(range(0, MANY_ROUTERS, 3), fault)
                self.assertGreaterEqual(len(carried), 12)
                self.assertLess(max(carried.values()), sum(carried.values()) / 4)

    def test_many_routers_of_which_one_is_cut(self):
        for fault in Fault:
            with self.subTest(fault):
                self.check_many_routers([5], fault)

    def test_many_routers_of_which_most_are_cut(self):
        for fault in Fault:
            with self.subTest(fault):
                self.check_many_routers(range(4, MANY_ROUTERS), fault, contact_s=CONTACT_S)

    def test_many_routers_of_which_a_third_is_cut_from_some_upstreams(self):
        for fault in Fault:
            with self.subTest(fault):
                cut = range(0, MANY_ROUTERS, 3)
                self.check_many_routers(cut, fault, ["engine-0", "desk-0"])

    def test_many_routers_of_which_a_third_is_cut_in_one_direction(self):
        for direction in ONE_WAY:
            with self.subTest(direction):
                cut = range(0, MANY_ROUTERS, 3)
                self.check_many_routers(cut, Fault.HANG, direction=direction)


async def _restart_others(world, is_graceful):
    for index in range(1, ROUTERS):
        await trio.sleep(1.0)
        if is_graceful:
            world.routers[index].kernel.stop()
            await trio.sleep(4.0)
        world.stop(f"vm-{index}")
        await trio.sleep(0.5)
        await world.start_router(index)
        await trio.sleep(1.0)


def _count_tunnels(world, router, counts):
    """Counts the tunnels that a router carries."""
    service = world.routers[router].kernel.find(names.TUNNELS)
    carry = service._carry

    async def count(stream, upstream):
        counts[router] += 1
        await carry(stream, upstream)

    service._carry = count


class CalmTest(unittest.TestCase):
    def test_no_connection_is_opened_through_a_peer_or_to_look_at_a_link(self):
        carried = collections.Counter()
        opened = []
        asked = []

        async def check(world, day):
            for router in range(ROUTERS):
                _count_tunnels(world, router, carried)
                _record_connections(world, router, opened, asked)
            await day.ask(20.0)
            self.assertEqual(day.share(range(ROUTERS)), 1.0)

        logs = _run_day(check)
        self.assertEqual([log for log in logs if log["event"] in CHANGES], [])
        self.assertEqual(sum(carried.values()), 0)
        self.assertEqual(len(opened), len(asked))

    def test_heartbeat_grows_by_two_fields(self):
        def size(**options):
            heartbeat = membership.Heartbeat(
                ids.VmId("vm-1"), ids.Address("1"), ids.FailureDomainId("here"), 1, 1, **options
            )
            digest = peer_codec.Digest(ids.VmId("vm-1"), 1, ids.ConfigNumber(1), (heartbeat,))
            return len(peer_codec.encode_digest(digest).SerializeToString())

        self.assertEqual(size(tunnel_port=65_535) - size(), 4)
        self.assertEqual(size(links_lost=True) - size(), 2)

    def test_crashed_upstreams_cost_few_questions_and_no_time(self):
        delays = []
        asked = []

        async def check(world, day):
            await day.ask(1.0)
            for router in range(ROUTERS):
                _record_refusals(world, router, delays, asked)
            for name in ("desk-0", "engine-0"):
                world.crash(name)
            await day.ask(4.0)
            self.assertEqual(day.share(range(ROUTERS)), 1.0)

        logs = _run_day(check)
        self.assertEqual([log for log in logs if log["event"] in CHANGES], [])
        self.assertGreater(len(delays), 1)
        self.assertLess(max(delays), MAX_CONNECT_DELAY_S)
        # Two upstreams are down for two seconds, each of four routers asks three peers at most.
        self.assertLessEqual(len(asked), 2 * 2 * ROUTERS * 3)


def _record_connections(world, router, opened, asked):
    """Records the connections of a router to upstreams, and those that its requests asked for."""
    links = world.links[router]
    connections = world.routers[router].kernel.find(names.CONNECTIONS)._links
    connect = links.connect

    async def record(address, timeout_s):
        if address in world.upstream_addresses():
            opened.append(address)
        return await connect(address, timeout_s)

    def make_counter(function):
        async def count(address, timeout_s):
            asked.append(address)
            return await function(address, timeout_s)

        return count

    links.connect = record
    connections.connect = make_counter(connections.connect)
    # Calls within the links themselves are not asked for by requests.
    wrapper = connections_service.DirectLinks(connections)
    wrapper.connect_direct = make_counter(connections.connect_direct)
    wrapper.suits = connections.suits
    world.routers[router].kernel.find(names.CONNECTIONS)._links = wrapper


def _record_refusals(world, router, delays, asked):
    """Records the time of connections that failed, and the tunnels that were asked for."""
    links = world.routers[router].kernel.find(names.LINKS)
    connect = links.connect
    open_tunnel = links._open_tunnel

    async def record(address, timeout_s):
        started_at = trio.current_time()
        try:
            return await connect(address, timeout_s)
        except links_service.exceptions.ConnectRefusedError:
            delays.append(trio.current_time() - started_at)
            raise

    async def count(race, peer, timeout_s):
        asked.append(peer)
        return await open_tunnel(race, peer, timeout_s)

    links.connect = record
    links._open_tunnel = count


class PoisonBehindPeersTest(unittest.TestCase):
    def test_requests_that_crash_engines_are_recognised_by_routers_without_links(self):
        async def check(world):
            for router in range(ROUTERS - 1):
                world.cut_links(router, Fault.RESET)
            day = test_poison_parts._Day(world)
            await day.play()
            self.assertLessEqual(len(world.crashes), 6)
            late = day.late_arrivals()
            self.assertLessEqual(len(late), test_poison_parts.MAX_LATE_ARRIVALS)

        forwarding_world.run_in_world(check, routers=ROUTERS)


if __name__ == "__main__":
    unittest.main()
