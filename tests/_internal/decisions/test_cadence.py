"""Control traffic by the size of the fleet, and incremental parsing of the configuration."""

import collections
import unittest

from cicadapier._internal.decisions import cadence
from cicadapier._internal.models import configuration_parser
from cicadapier._internal.models import exceptions
from cicadapier._internal.models import ids


def vm_names(count):
    return [ids.VmId(f"vm-{number}") for number in range(count)]


class CadenceTest(unittest.TestCase):
    def test_only_a_few_routers_of_a_large_domain_poll_the_platform_often(self):
        domain = vm_names(107)
        frequent_readers = [
            vm for vm in domain if cadence.platform_poll_s(vm, domain) == cadence.READER_POLL_S
        ]
        self.assertEqual(len(frequent_readers), cadence.PLATFORM_READERS)

    def test_a_router_without_peers_polls_the_platform_often(self):
        own = ids.VmId("alone")
        self.assertEqual(cadence.platform_poll_s(own, []), cadence.READER_POLL_S)

    def test_each_upstream_of_a_large_pool_has_a_fixed_number_of_watchers(self):
        domain = vm_names(50)
        for number in range(40):
            upstream = ids.UpstreamId(f"u{number}")
            watchers = [vm for vm in domain if cadence.should_watch(vm, domain, upstream, 700)]
            self.assertEqual(len(watchers), cadence.WATCHERS_PER_UPSTREAM)

    def test_all_routers_watch_a_small_pool(self):
        self.assertTrue(cadence.should_watch(ids.VmId("a"), vm_names(9), ids.UpstreamId("u"), 9))

    def test_cache_events_are_followed_only_in_small_pools(self):
        self.assertTrue(cadence.should_follow_cache_events(9))
        self.assertFalse(cadence.should_follow_cache_events(700))

    def test_gossip_rounds_are_the_same_in_every_large_fleet(self):
        self.assertEqual(cadence.gossip_rounds(100), cadence.gossip_rounds(1500))
        self.assertTrue(cadence.gossip_rounds(4).urgent)

    def test_routers_send_to_their_domain_only_in_a_large_fleet(self):
        large = cadence.sparse_gossip_rounds(23)
        self.assertTrue(cadence.sends_to_domain(large, vm_names(7)))
        self.assertFalse(cadence.sends_to_domain(large, vm_names(0)))
        self.assertTrue(cadence.sends_to_domain(large, vm_names(100)))
        self.assertFalse(cadence.sends_to_domain(cadence.sparse_gossip_rounds(4), vm_names(2)))

    def test_message_rate_does_not_grow_with_the_domain(self):
        for count in (1, 7, 8, 15, 16, 17, 40, 100, 1000):
            with self.subTest(count):
                per_s = count / cadence.domain_period_s(vm_names(count))
                self.assertLessEqual(per_s, cadence.DOMAIN_FANOUT / cadence.DOMAIN_ROUND_S)

    def test_rotation_reaches_each_peer_of_a_domain_once(self):
        for count in (1, 7, 8, 15, 16, 17, 40, 100):
            with self.subTest(count):
                domain = sorted(vm_names(count))
                rotation = cadence.DomainRotation()
                rotation.schedule_all(domain)
                reached = []
                rounds = 0
                while rotation.has_pending:
                    reached += rotation.next_batch(domain)
                    rounds += 1
                self.assertEqual(sorted(reached), domain)
                self.assertAlmostEqual(
                    rounds * cadence.DOMAIN_ROUND_S, cadence.domain_period_s(domain)
                )

    def test_updates_during_a_rotation_reach_all_peers_evenly_within_the_fanout(self):
        domain = sorted(vm_names(17))
        rotation = cadence.DomainRotation()
        deliveries = collections.Counter()
        for _ in range(30):
            rotation.schedule_all(domain)
            batch = rotation.next_batch(domain)
            self.assertLessEqual(len(batch), cadence.DOMAIN_FANOUT)
            deliveries.update(batch)
        self.assertLessEqual(max(deliveries.values()) - min(deliveries.values()), 1)

    def test_rotation_over_a_shrunken_domain_selects_each_remaining_peer_once(self):
        domain = sorted(vm_names(20))
        rotation = cadence.DomainRotation()
        rotation.schedule_all(domain)
        rotation.next_batch(domain)
        self.assertEqual(sorted(rotation.next_batch(domain[:3])), domain[:3])
        self.assertFalse(rotation.has_pending)
        self.assertEqual(rotation.next_batch(()), [])


class ParserTest(unittest.TestCase):
    def test_incremental_parsing_equals_full_parsing(self):
        parser = configuration_parser.Parser()
        document = {"accounts": {f"a{n}": {"weight": 1.0 + n} for n in range(20)}, "pools": {}}
        for step in range(10):
            accounts = dict(document["accounts"])
            accounts[f"a{step}"] = {"weight": 50.0 + step}
            accounts.pop(f"a{19 - step}", None)
            document = {**document, "accounts": accounts}
            self.assertEqual(parser.parse(document), configuration_parser.parse(document))

    def test_key_that_duplicates_one_of_an_unchanged_account_is_found(self):
        parser = configuration_parser.Parser()
        digest = "0" * 64
        accounts = {"a": {"key_hashes": [digest]}}
        parser.parse({"accounts": accounts})
        with self.assertRaises(exceptions.InvalidDocumentError):
            parser.parse({"accounts": {**accounts, "b": {"key_hashes": [digest]}}})


if __name__ == "__main__":
    unittest.main()
