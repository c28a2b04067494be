"""Quotas of limited upstreams, over fleets of several sizes."""

import collections
import math
import random
import unittest

from cicadapier._internal.decisions import quotas
from cicadapier._internal.models import ids

DESK = ids.UpstreamId("desk")
WINDOW_S = 4.0
STEP_S = 0.01
DELAY_S = 0.002
PATIENCE_S = 0.3
ALLOWED_SHARE = 1.5
ALLOWED_SLACK = 5


def vms(count):
    return [ids.VmId(f"vm-{number}") for number in range(count)]


class Fleet:
    """Routers before one limited upstream, which all of them want; messages take a moment."""

    def __init__(self, routers, per_s, demand_per_s, loss=0.0, seed=0):
        self.names = vms(routers)
        self.per_s = per_s
        self.demand_per_s = demand_per_s
        self.loss = loss
        self.rng = random.Random(seed)
        self.now = 0.0
        self.sent = []
        self.by_router = collections.Counter()
        self.views = dict.fromkeys(self.names, self.names)
        self.cut = set()
        self._issuers = {name: quotas.Issuer() for name in self.names}
        self._grants = {name: quotas.HeldGrants() for name in self.names}
        self._queued = collections.defaultdict(collections.deque)
        self._requesters = {name: quotas.GrantRequester(name) for name in self.names}
        self._messages = []
        self._known_issuers = {}
        self._awake = set()
        self.asks = 0

    def run(self, for_s):
        until = self.now + for_s
        while self.now < until:
            self.now += STEP_S
            self._deliver()
            arrivals = self.demand_per_s * STEP_S
            while self.rng.random() < arrivals:
                arrivals -= 1
                name = self.rng.choice(self.names)
                self._queued[name].append(self.now + PATIENCE_S)
                self._awake.add(name)
            for name in sorted(self._awake):
                self._live(name)

    def _live(self, name):
        while self._queued[name] and self._queued[name][0] < self.now:
            self._queued[name].popleft()
        while self._queued[name] and self._grants[name].use(self.now):
            self._queued[name].popleft()
            self.sent.append(self.now)
            self.by_router[name] += 1
        self._ask(name)
        for issued in self._issuers[name].issue(self.now):
            self._post(name, issued.vm, ("grant", issued.count, name))
        if not self._queued[name] and not self._issuers[name].upstreams():
            self._awake.discard(name)

    def _ask(self, name):
        demand = quotas.Demand(waiting=len(self._queued[name]))
        chosen = self._chosen(name)
        every_s = quotas.refresh_interval_s(len(self.names))
        for issuer, part in (
            self._requesters[name].due_requests(chosen, demand, self.now, every_s).items()
        ):
            self.asks += 1
            self._post(name, issuer, ("ask", name, part))

    def _chosen(self, name):
        view = self.views[name]
        if id(view) not in self._known_issuers:
            count = quotas.issuer_count(self.per_s)
            self._known_issuers[id(view)] = quotas.rank_issuers(DESK, view)[:count]
        return self._known_issuers[id(view)]

    def _post(self, sender, receiver, message):
        if sender != receiver and (sender in self.cut) != (receiver in self.cut):
            return
        if sender == receiver or self.rng.random() >= self.loss:
            self._messages.append((self.now + DELAY_S, receiver, message))

    def _deliver(self):
        if not self._messages:
            return
        due = [item for item in self._messages if item[0] <= self.now]
        self._messages = [item for item in self._messages if item[0] > self.now]
        for _, receiver, message in due:
            self._awake.add(receiver)
            if message[0] == "grant":
                self._grants[receiver].add(message[1], self.now + quotas.GRANT_LIFETIME_S)
                self._requesters[receiver].record_grant(message[2], message[1])
                continue
            chosen = self._chosen(receiver)
            if receiver not in chosen:
                continue
            lifetime_s = quotas.refresh_interval_s(len(self.names)) * quotas.EXPIRY_REFRESHES
            part = self.per_s / len(chosen)
            self._issuers[receiver].set_demand(
                message[1], DESK, message[2], part, self.now, lifetime_s
            )

    def sent_after(self, after):
        return sum(1 for at in self.sent if at >= after)

    def most_in_a_window(self, after=0.0):
        found = sorted(at for at in self.sent if at >= after)
        return max((sum(1 for at in found if s <= at < s + WINDOW_S) for s in found), default=0)


class FleetTest(unittest.TestCase):
    def assert_kept(self, fleet):
        allowed = ALLOWED_SHARE * fleet.per_s * WINDOW_S + ALLOWED_SLACK
        self.assertLessEqual(fleet.most_in_a_window(), allowed)

    def test_the_limit_is_kept_and_used_in_fleets_of_any_size(self):
        for routers in (1, 4, 16, 77, 300):
            for per_s in (1.1, 2.0, 12.0):
                with self.subTest(routers=routers, per_s=per_s):
                    fleet = Fleet(routers, per_s, demand_per_s=3 * per_s)
                    fleet.run(20.0)
                    self.assert_kept(fleet)
                    self.assertGreaterEqual(fleet.sent_after(3.0), 0.75 * per_s * 17.0)

    def test_the_limit_is_kept_where_messages_are_lost(self):
        for routers in (4, 77):
            with self.subTest(routers):
                fleet = Fleet(routers, 2.0, demand_per_s=8.0, loss=0.05)
                fleet.run(20.0)
                self.assert_kept(fleet)
                self.assertGreaterEqual(fleet.sent_after(3.0), 0.6 * 2.0 * 17.0)

    def test_no_router_starves_while_all_want_more_than_there_is(self):
        fleet = Fleet(16, 8.0, demand_per_s=64.0)
        fleet.run(40.0)
        counts = [fleet.by_router[name] for name in fleet.names]
        self.assertGreaterEqual(min(counts), 0.5 * sum(counts) / len(counts))

    def test_a_domain_that_is_cut_off_sends_nothing_beyond_the_sum(self):
        for seed in range(4):
            with self.subTest(seed):
                fleet = Fleet(12, 2.0, demand_per_s=12.0, seed=seed)
                fleet.run(6.0)
                fleet.cut = set(fleet.names[seed::3])
                fleet.run(10.0)
                fleet.cut = set()
                fleet.run(6.0)
                self.assert_kept(fleet)

    def test_the_limit_is_kept_while_routers_see_different_fleets(self):
        fleet = Fleet(40, 2.0, demand_per_s=12.0)
        few = fleet.names[:30]
        fleet.views = dict.fromkeys(fleet.names, few)
        fleet.run(6.0)
        for name in fleet.names[::2]:
            fleet.views[name] = fleet.names
        fleet.run(2.0)
        fleet.views = dict.fromkeys(fleet.names, fleet.names)
        fleet.run(6.0)
        self.assert_kept(fleet)

    def test_what_an_issuer_is_asked_does_not_grow_with_the_fleet(self):
        asks = {}
        for routers in (100, 300):
            fleet = Fleet(routers, 2.0, demand_per_s=30.0)
            fleet.run(20.0)
            asks[routers] = fleet.asks / quotas.MAX_ISSUERS / 20.0
        self.assertLessEqual(asks[300], asks[100] * 1.5)


class IssuerTest(unittest.TestCase):
    def test_control_goes_first_and_spare_last(self):
        issuer = quotas.Issuer()
        a, b, c = vms(3)
        issuer.set_demand(a, DESK, quotas.Demand(prefetch=1), 1.0, 0.0, 10.0)
        issuer.set_demand(b, DESK, quotas.Demand(waiting=1), 1.0, 0.0, 10.0)
        issuer.set_demand(c, DESK, quotas.Demand(control=1), 1.0, 0.0, 10.0)
        order = []
        for step in range(1, 40):
            order.extend(issued.vm for issued in issuer.issue(step / 10))
        self.assertEqual(order, [c, b, a])

    def test_nothing_is_issued_at_once_as_another_may_have_issued_until_now(self):
        issuer = quotas.Issuer()
        issuer.set_demand(vms(1)[0], DESK, quotas.Demand(waiting=9), 2.0, 0.0, 10.0)
        self.assertEqual(issuer.issue(0.0), [])
        self.assertAlmostEqual(issuer.next_due_at(0.0), 0.5)
        self.assertEqual([issued.count for issued in issuer.issue(0.5)], [1])

    def test_a_router_that_asks_no_more_gets_nothing(self):
        issuer = quotas.Issuer()
        a, b = vms(2)
        issuer.set_demand(a, DESK, quotas.Demand(waiting=5), 1.0, 0.0, 2.0)
        issuer.set_demand(b, DESK, quotas.Demand(waiting=5), 1.0, 0.0, 2.0)
        issuer.set_demand(b, DESK, quotas.Demand(), 1.0, 0.5, 2.0)
        self.assertEqual([issued.vm for issued in issuer.issue(1.0)], [a])
        self.assertEqual(issuer.issue(5.0), [])
        self.assertEqual(issuer.next_due_at(5.0), math.inf)

    def test_a_rate_that_falls_holds_from_that_moment(self):
        issuer = quotas.Issuer()
        name = vms(1)[0]
        issuer.set_demand(name, DESK, quotas.Demand(waiting=50), 40.0, 0.0, 9.0)
        self.assertEqual(sum(issued.count for issued in issuer.issue(0.25)), 10)
        issuer.set_demand(name, DESK, quotas.Demand(waiting=50), 1.0, 0.25, 9.0)
        self.assertEqual(sum(issued.count for issued in issuer.issue(1.25)), 1)


class GrantsTest(unittest.TestCase):
    def test_a_grant_is_used_once_and_in_time(self):
        grants = quotas.HeldGrants()
        grants.add(2, 1.0)
        grants.add(1, 2.0)
        self.assertTrue(grants.use(0.5))
        self.assertEqual(grants.held(0.9), 2)
        self.assertEqual(grants.held(1.0), 1)
        self.assertTrue(grants.use(1.5))
        self.assertFalse(grants.use(1.5))


class IssuersTest(unittest.TestCase):
    def test_all_routers_name_the_same_few_and_one_more_router_changes_few(self):
        fleet = vms(77)
        shuffled = random.Random(1).sample(fleet, len(fleet))
        changed = 0
        for number in range(200):
            upstream = ids.UpstreamId(f"u{number}")
            chosen = quotas.rank_issuers(upstream, fleet)
            self.assertEqual(chosen, quotas.rank_issuers(upstream, shuffled))
            self.assertEqual(len(set(chosen)), quotas.MAX_ISSUERS)
            changed += chosen != quotas.rank_issuers(upstream, [*fleet, ids.VmId("new")])
        self.assertLess(changed, 200 * 2 * quotas.MAX_ISSUERS / 78 + 10)


if __name__ == "__main__":
    unittest.main()
