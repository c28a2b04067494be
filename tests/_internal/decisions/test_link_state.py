"""Links of a router to upstreams are lost and regained by evidence."""

import unittest

from cicadapier._internal.decisions import link_state

A, B, C = ("10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80")
Change = link_state.LinkChange


class LinkStateTest(unittest.TestCase):
    def setUp(self):
        self.state = link_state.LinkState()

    def test_links_are_direct_at_first(self):
        self.assertTrue(self.state.is_direct(A))
        self.assertIsNone(self.state.next_probe(0.0))

    def test_link_is_lost_once_a_peer_reaches_what_this_router_does_not(self):
        self.state.record_direct(B, 0.9)
        self.assertIs(self.state.record_peer_only(A, True, 1.0), Change.LINK_LOST)
        self.assertFalse(self.state.is_direct(A))
        self.assertTrue(self.state.is_direct(B))

    def test_single_slow_connection_is_no_lost_link(self):
        self.assertIsNone(self.state.record_peer_only(A, False, 1.0))
        self.assertTrue(self.state.is_direct(A))
        self.state.record_direct(A, 1.1)
        self.assertIsNone(self.state.record_peer_only(A, False, 1.2))
        self.assertIs(self.state.record_peer_only(A, False, 1.3), Change.LINK_LOST)

    def test_two_lost_links_without_a_direct_connection_since_are_all_links(self):
        self.state.record_direct(C, 0.9)
        self.state.record_peer_only(A, True, 1.0)
        self.assertIs(self.state.record_peer_only(B, True, 1.1), Change.ALL_LOST)
        self.assertFalse(self.state.is_direct(C))

    def test_direct_connection_meanwhile_shows_that_only_some_links_are_lost(self):
        self.state.record_peer_only(A, True, 1.0)
        self.state.record_direct(C, 1.05)
        self.assertIs(self.state.record_peer_only(B, True, 1.1), Change.LINK_LOST)
        self.assertTrue(self.state.is_direct(C))
        self.assertFalse(self.state.all_lost)

    def _lose_all(self, now):
        self.state.record_peer_only(A, True, now)
        self.state.record_peer_only(B, True, now)
        self.assertTrue(self.state.all_lost)

    def test_all_links_are_regained_after_direct_connections_to_two_upstreams(self):
        self._lose_all(1.0)
        self.assertIs(self.state.record_direct(A, 5.0), Change.LINK_REGAINED)
        self.assertFalse(self.state.is_direct(C))
        self.assertIs(self.state.record_direct(B, 5.3), Change.ALL_REGAINED)
        for address in (A, B, C):
            self.assertTrue(self.state.is_direct(address))

    def test_lost_links_are_probed_in_turn(self):
        self._lose_all(1.0)
        self.assertEqual([self.state.next_probe(t) for t in (2.0, 2.3, 2.6)], [A, B, A])

    def test_link_that_is_lost_again_at_once_needs_more_and_more_probes(self):
        self.state.record_direct(C, 0.0)
        needed = []
        now = 1.0
        for _ in range(5):
            self.state.record_direct(C, now)
            self.state.record_peer_only(A, True, now)
            count = 0
            while not self.state.is_direct(A):
                now += 0.25
                count += 1
                self.state.record_direct(A, now)
            needed.append(count)
            now += 0.5
        self.assertEqual(needed, [1, 2, 4, 8, 8])

    def test_failed_probe_begins_the_count_anew(self):
        self.state.record_direct(C, 0.5)
        self.state.record_peer_only(A, True, 1.0)
        self.state.record_direct(A, 1.5)
        self.state.record_direct(C, 1.6)
        self.state.record_peer_only(A, True, 1.7)
        self.state.record_direct(A, 2.0)
        self.state.record_failed_probe(A)
        self.state.record_direct(A, 2.5)
        self.assertFalse(self.state.is_direct(A))
        self.state.record_direct(A, 2.75)
        self.assertTrue(self.state.is_direct(A))

    def test_loss_of_all_links_ends_with_the_upstreams_that_it_was_seen_at(self):
        self._lose_all(1.0)
        self.assertIsNone(self.state.retain([A, B, C], 2.0))
        self.assertIs(self.state.retain([C], 3.0), Change.ALL_REGAINED)
        self.assertIsNone(self.state.retain([C], 4.0))

    def test_links_to_upstreams_that_have_left_are_forgotten(self):
        self._lose_all(1.0)
        self.state.retain([C], 2.0)
        self.assertIsNone(self.state.next_probe(2.0))
        self.assertTrue(self.state.is_direct(C))


if __name__ == "__main__":
    unittest.main()
