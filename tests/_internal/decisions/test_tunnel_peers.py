"""Routers without links choose the peers that connect for them."""

import collections
import random
import unittest

from cicadapier._internal.decisions import membership
from cicadapier._internal.decisions import tunnel_peers

UPSTREAM = "10.9.0.1:80"


def _heartbeat(index, domain="near", **options):
    options = {"tunnel_port": 7000, **options}
    return membership.Heartbeat(f"vm-{index}", f"10.0.0.{index}:6000", domain, 1, 1, **options)


class PeerChoiceTest(unittest.TestCase):
    def setUp(self):
        self.choice = tunnel_peers.PeerChoice("near", random.Random(0))

    def _vms(self, heartbeats, now=0.0):
        return [peer.vm for peer in self.choice.choose(heartbeats, UPSTREAM, now)]

    def test_peer_is_reached_at_its_host_and_tunnel_port(self):
        peers = self.choice.choose([_heartbeat(1)], UPSTREAM, 0.0)
        self.assertEqual(peers, [tunnel_peers.TunnelPeer("vm-1", "10.0.0.1:7000")])

    def test_peers_that_cannot_carry_are_left_out(self):
        heartbeats = [
            _heartbeat(1, leaving=True),
            _heartbeat(2, links_lost=True),
            _heartbeat(3, tunnel_port=0),
            _heartbeat(4),
        ]
        self.assertEqual(self._vms(heartbeats), ["vm-4"])

    def test_peers_of_the_own_failure_domain_come_first(self):
        heartbeats = [_heartbeat(i, "far") for i in range(5)] + [_heartbeat(9)]
        for _ in range(20):
            self.assertEqual(self._vms(heartbeats)[0], "vm-9")

    def test_load_is_spread_over_all_peers(self):
        heartbeats = [_heartbeat(i) for i in range(6)]
        first = collections.Counter(self._vms(heartbeats)[0] for _ in range(600))
        self.assertEqual(len(first), 6)
        self.assertLess(max(first.values()), 150)

    def test_peer_that_did_not_reach_the_upstream_is_left_out_for_a_while(self):
        heartbeats = [_heartbeat(1), _heartbeat(2)]
        self.choice.record_failure("vm-1", UPSTREAM, 1.0)
        self.assertEqual(self._vms(heartbeats, 1.5), ["vm-2"])
        self.assertEqual(len(self.choice.choose(heartbeats, "10.9.0.2:80", 1.5)), 2)
        self.assertEqual(len(self._vms(heartbeats, 1.0 + tunnel_peers.AVOIDED_S)), 2)

    def test_peers_that_have_failed_come_last_for_all_upstreams(self):
        heartbeats = [_heartbeat(i) for i in range(8)] + [_heartbeat(9, "far")]
        for index in range(7):
            self.choice.record_failure(f"vm-{index}", "10.9.0.2:80", 1.0)
        for _ in range(20):
            self.assertEqual(self._vms(heartbeats, 2.0)[:2], ["vm-7", "vm-9"])
        self.choice.record_success("vm-3")
        self.assertEqual(set(self._vms(heartbeats, 2.0)[:2]), {"vm-3", "vm-7"})

    def test_peers_that_have_failed_are_as_good_as_others_after_a_while(self):
        heartbeats = [_heartbeat(1), _heartbeat(2)]
        self.choice.record_failure("vm-1", "10.9.0.2:80", 1.0)
        later = 1.0 + tunnel_peers.DOUBTED_S
        self.assertIn("vm-1", {self._vms(heartbeats, later)[0] for _ in range(20)})


if __name__ == "__main__":
    unittest.main()
