"""Tests of quotas for rate-limited upstreams, in simulated fleets of several sizes."""

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
MAX_WAIT_S = 0.3
ALLOWED_FACTOR = 1.5
ALLOWED_SLACK = 5


def vms(count):
    return [ids.VmId(f"vm-{number}") for number in range(count)]


class Fleet:
    """Simulation of routers that send requests to one limited upstream, with message delays."""

    def __init__(self, routers, per_s, demand_per_s, loss=0.0, seed=0):
        self.names = vms(routers)
        self.per_s = per_s
        self.demand_per_s = demand_per_s
        self.loss = loss
        self.rng = random.Random(seed)
        self.now = 0.0
        self.sent = []
        self.sent_by_router = collections.Counter()
        self.views = dict.fromkeys(self.names, self.names)
        self.partitioned = set()
        self._issuers = {name: quotas.Issuer() for name in self.names}
        self._grants = {name: quotas.HeldGrants() for name in self.names}
        self._queued = collections.defaultdict(collections.deque)
        self._requesters = {name: quotas.GrantRequester(name) for name in self.names}
        self._messages = []
        self._known_issuers = {}
        self._active = set()
        self.request_count = 0

    def run(self, for_s):
        until = self.now + for_s
        while self.now < until:
            self.now += STEP_S
            self._deliver()
            arrivals = self.demand_per_s * STEP_S
            while self.rng.random() < arrivals:
                arrivals -= 1
                name = self.rng.choice(self.names)
                self._queued[name].append(self.now + MAX_WAIT_S)
                self._active.add(name)
            for name in sorted(self._active):
                self._step(name)

    def _step(self, name):
        while self._queued[name] and self._queued[name][0] < self.now:
            self._queued[name].popleft()
        while self._queued[name] and self._grants[name].use(self.now):
            self._queued[name].popleft()
            self.sent.append(self.now)
            self.sent_by_router[name] += 1
        self._request_grants(name)
        for issued in self._issuers[name].issue(self.now):
            self._send(name, issued.vm, ("grant", issued.count, name))
        if not self._queued[name] and not self._issuers[name].upstreams():
            self._active.discard(name)

    def _request_grants(self, name):
        demand = quotas.Demand(waiting=len(self._queued[name]))
        issuers = self._current_issuers(name)
        interval_s = quotas.refresh_interval_s(len(self.names))
        for issuer, part in (
            self._requesters[name].due_requests(issuers, demand, self.now, interval_s).items()
        ):
            self.request_count += 1
            self._send(name, issuer, ("request", name, part))

    def _current_issuers(self, name):
        view = self.views[name]
        if id(view) not in self._known_issuers:
            count = quotas.issuer_count(self.per_s)
            self._known_issuers[id(view)] = quotas.rank_issuers(DESK, view)[:count]
        return self._known_issuers[id(view)]

    def _send(self, sender, receiver, message):
        if sender != receiver and (sender in self.partitioned) != (receiver in self.partitioned):
            return
        if sender == receiver or self.rng.random() >= self.loss:
            self._messages.append((self.now + DELAY_S, receiver, message))

    def _deliver(self):
        if not self._messages:
            return
        due = [item for item in self._messages if item[0] <= self.now]
        self._messages = [item for item in self._messages if item[0] > self.now]
        for _, receiver, message in due:
            self._active.add(receiver)
            if message[0] == "grant":
                self._grants[receiver].add(message[1], self.now + quotas.GRANT_LIFETIME_S)
                self._requesters[receiver].record_grant(message[2], message[1])
                continue
            issuers = self._current_issuers(receiver)
            if receiver not in issuers:
                continue
            lifetime_s = quotas.refresh_interval_s(len(self.names)) * quotas.EXPIRY_REFRESHES
            part = self.per_s / len(issuers)
            self._issuers[receiver].set_demand(
                message[1], DESK, message[2], part, self.now, lifetime_s
            )

    def sent_after(self, after):
        return sum(1 for at in self.sent if at >= after)

    def max_in_window(self, after=0.0):
        times = sorted(at for at in self.sent if at >= after)
        return max((sum(1 for at in times if s <= at < s + WINDOW_S) for s in times), default=0)


class FleetTest(unittest.TestCase):
    def assert_within_limit(self, fleet):
        allowed = ALLOWED_FACTOR * fleet.per_s * WINDOW_S + ALLOWED_SLACK
        self.assertLessEqual(fleet.max_in_window(), allowed)

    def test_limit_is_kept_and_used_in_fleets_of_any_size(self):
        for routers in (1, 4, 16, 77, 300):
            for per_s in (1.1, 2.0, 12.0):
                with self.subTest(routers=routers, per_s=per_s):
                    fleet = Fleet(routers, per_s, demand_per_s=3 * per_s)
                    fleet.run(20.0)
                    self.assert_within_limit(fleet)
                    self.assertGreaterEqual(fleet.sent_after(3.0), 0.75 * per_s * 17.0)

    def test_limit_is_kept_when_messages_are_lost(self):
        for routers in (4, 77):
            with self.subTest(routers):
                fleet = Fleet(routers, 2.0, demand_per_s=8.0, loss=0.05)
                fleet.run(20.0)
                self.assert_within_limit(fleet)
                self.assertGreaterEqual(fleet.sent_after(3.0), 0.6 * 2.0 * 17.0)

    def test_no_router_starves_when_demand_exceeds_the_limit(self):
        fleet = Fleet(16, 8.0, demand_per_s=64.0)
        fleet.run(40.0)
        counts = [fleet.sent_by_router[name] for name in fleet.names]
        self.assertGreaterEqual(min(counts), 0.5 * sum(counts) / len(counts))

    def test_limit_is_kept_during_and_after_a_network_partition(self):
        for seed in range(4):
            with self.subTest(seed):
                fleet = Fleet(12, 2.0, demand_per_s=12.0, seed=seed)
                fleet.run(6.0)
                fleet.partitioned = set(fleet.names[seed::3])
                fleet.run(10.0)
                fleet.partitioned = set()
                fleet.run(6.0)
                self.assert_within_limit(fleet)

    def test_limit_is_kept_while_routers_have_different_views_of_the_fleet(self):
        fleet = Fleet(40, 2.0, demand_per_s=12.0)
        old_view = fleet.names[:30]
        fleet.views = dict.fromkeys(fleet.names, old_view)
        fleet.run(6.0)
        for name in fleet.names[::2]:
            fleet.views[name] = fleet.names
        fleet.run(2.0)
        fleet.views = dict.fromkeys(fleet.names, fleet.names)
        fleet.run(6.0)
        self.assert_within_limit(fleet)

    def test_request_rate_at_an_issuer_does_not_grow_with_the_fleet(self):
        requests_per_s = {}
        for routers in (100, 300):
            fleet = Fleet(routers, 2.0, demand_per_s=30.0)
            fleet.run(20.0)
            requests_per_s[routers] = fleet.request_count / quotas.MAX_ISSUERS / 20.0
        self.assertLessEqual(requests_per_s[300], requests_per_s[100] * 1.5)


class IssuerTest(unittest.TestCase):
    def test_control_grants_are_issued_first_and_prefetched_grants_last(self):
        issuer = quotas.Issuer()
        a, b, c = vms(3)
        issuer.set_demand(a, DESK, quotas.Demand(prefetch=1), 1.0, 0.0, 10.0)
        issuer.set_demand(b, DESK, quotas.Demand(waiting=1), 1.0, 0.0, 10.0)
        issuer.set_demand(c, DESK, quotas.Demand(control=1), 1.0, 0.0, 10.0)
        order = []
        for step in range(1, 40):
            order.extend(issued.vm for issued in issuer.issue(step / 10))
        self.assertEqual(order, [c, b, a])

    def test_new_issuer_starts_empty_because_another_may_have_just_issued(self):
        issuer = quotas.Issuer()
        issuer.set_demand(vms(1)[0], DESK, quotas.Demand(waiting=9), 2.0, 0.0, 10.0)
        self.assertEqual(issuer.issue(0.0), [])
        self.assertAlmostEqual(issuer.next_due_at(0.0), 0.5)
        self.assertEqual([issued.count for issued in issuer.issue(0.5)], [1])

    def test_withdrawn_or_expired_demand_gets_no_grants(self):
        issuer = quotas.Issuer()
        a, b = vms(2)
        issuer.set_demand(a, DESK, quotas.Demand(waiting=5), 1.0, 0.0, 2.0)
        issuer.set_demand(b, DESK, quotas.Demand(waiting=5), 1.0, 0.0, 2.0)
        issuer.set_demand(b, DESK, quotas.Demand(), 1.0, 0.5, 2.0)
        self.assertEqual([issued.vm for issued in issuer.issue(1.0)], [a])
        self.assertEqual(issuer.issue(5.0), [])
        self.assertEqual(issuer.next_due_at(5.0), math.inf)

    def test_lower_rate_applies_immediately(self):
        issuer = quotas.Issuer()
        name = vms(1)[0]
        issuer.set_demand(name, DESK, quotas.Demand(waiting=50), 40.0, 0.0, 9.0)
        self.assertEqual(sum(issued.count for issued in issuer.issue(0.25)), 10)
        issuer.set_demand(name, DESK, quotas.Demand(waiting=50), 1.0, 0.25, 9.0)
        self.assertEqual(sum(issued.count for issued in issuer.issue(1.25)), 1)


class GrantsTest(unittest.TestCase):
    def test_grant_is_used_once_and_before_it_expires(self):
        grants = quotas.HeldGrants()
        grants.add(2, 1.0)
        grants.add(1, 2.0)
        self.assertTrue(grants.use(0.5))
        self.assertEqual(grants.held(0.9), 2)
        self.assertEqual(grants.held(1.0), 1)
        self.assertTrue(grants.use(1.5))
        self.assertFalse(grants.use(1.5))


class RankIssuersTest(unittest.TestCase):
    def test_ranking_ignores_router_order_and_is_stable_when_a_router_joins(self):
        fleet = vms(77)
        shuffled = random.Random(1).sample(fleet, len(fleet))
        changed = 0
        for number in range(200):
            upstream = ids.UpstreamId(f"u{number}")
            issuers = quotas.rank_issuers(upstream, fleet)
            self.assertEqual(issuers, quotas.rank_issuers(upstream, shuffled))
            self.assertEqual(len(set(issuers)), quotas.MAX_ISSUERS)
            changed += issuers != quotas.rank_issuers(upstream, [*fleet, ids.VmId("new")])
        self.assertLess(changed, 200 * 2 * quotas.MAX_ISSUERS / 78 + 10)


if __name__ == "__main__":
    unittest.main()
