"""Control traffic by the size of the fleet."""

import collections
import unittest

from cicadapier._internal.decisions import cadence
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids


def names(count):
    return [ids.VmId(f"vm-{number}") for number in range(count)]


class CadenceTest(unittest.TestCase):
    def test_few_of_a_large_domain_read_the_platform_often(self):
        domain = names(107)
        often = [
            vm for vm in domain if cadence.platform_poll_s(vm, domain) == cadence.READER_POLL_S
        ]
        self.assertEqual(len(often), cadence.PLATFORM_READERS)

    def test_a_router_without_peers_reads_for_itself(self):
        own = ids.VmId("alone")
        self.assertEqual(cadence.platform_poll_s(own, []), cadence.READER_POLL_S)

    def test_each_upstream_of_a_large_pool_has_its_watchers(self):
        domain = names(50)
        for number in range(40):
            upstream = ids.UpstreamId(f"u{number}")
            watching = [vm for vm in domain if cadence.should_watch(vm, domain, upstream, 700)]
            self.assertEqual(len(watching), cadence.WATCHERS_PER_UPSTREAM)

    def test_small_pool_is_watched_by_all(self):
        self.assertTrue(cadence.should_watch(ids.VmId("a"), names(9), ids.UpstreamId("u"), 9))

    def test_cache_events_are_followed_in_small_pools_alone(self):
        self.assertTrue(cadence.should_follow_cache_events(9))
        self.assertFalse(cadence.should_follow_cache_events(700))

    def test_rounds_cost_the_same_in_any_large_fleet(self):
        self.assertEqual(cadence.gossip_rounds(100), cadence.gossip_rounds(1500))
        self.assertTrue(cadence.gossip_rounds(4).urgent)

    def test_few_routers_of_a_domain_tell_each_other_in_a_large_fleet(self):
        large = cadence.sparse_gossip_rounds(23)
        self.assertTrue(cadence.sends_to_domain(large, names(7)))
        self.assertFalse(cadence.sends_to_domain(large, names(0)))
        self.assertTrue(cadence.sends_to_domain(large, names(100)))
        self.assertFalse(cadence.sends_to_domain(cadence.sparse_gossip_rounds(4), names(2)))

    def test_routers_of_a_domain_tell_no_more_where_they_are_more(self):
        for count in (1, 7, 8, 15, 16, 17, 40, 100, 1000):
            with self.subTest(count):
                per_s = count / cadence.domain_period_s(names(count))
                self.assertLessEqual(per_s, cadence.DOMAIN_FANOUT / cadence.DOMAIN_ROUND_S)

    def test_a_domain_of_any_size_is_told_whole_and_by_turns(self):
        for count in (1, 7, 8, 15, 16, 17, 40, 100):
            with self.subTest(count):
                domain = sorted(names(count))
                rotation = cadence.DomainRotation()
                rotation.schedule_all(domain)
                told = []
                rounds = 0
                while rotation.has_pending:
                    told += rotation.next_batch(domain)
                    rounds += 1
                self.assertEqual(sorted(told), domain)
                self.assertAlmostEqual(
                    rounds * cadence.DOMAIN_ROUND_S, cadence.domain_period_s(domain)
                )

    def test_news_during_a_turn_reach_all_without_more_messages_a_second(self):
        domain = sorted(names(17))
        rotation = cadence.DomainRotation()
        told = collections.Counter()
        for _ in range(30):
            rotation.schedule_all(domain)
            found = rotation.next_batch(domain)
            self.assertLessEqual(len(found), cadence.DOMAIN_FANOUT)
            told.update(found)
        self.assertLessEqual(max(told.values()) - min(told.values()), 1)

    def test_a_domain_that_shrinks_during_a_turn_is_told_no_more_than_it_is(self):
        domain = sorted(names(20))
        rotation = cadence.DomainRotation()
        rotation.schedule_all(domain)
        rotation.next_batch(domain)
        self.assertEqual(sorted(rotation.next_batch(domain[:3])), domain[:3])
        self.assertFalse(rotation.has_pending)
        self.assertEqual(rotation.next_batch(()), [])


class ParserTest(unittest.TestCase):
    def test_parsing_step_by_step_equals_parsing_anew(self):
        parser = configuration.Parser()
        document = {"accounts": {f"a{n}": {"weight": 1.0 + n} for n in range(20)}, "pools": {}}
        for step in range(10):
            accounts = dict(document["accounts"])
            accounts[f"a{step}"] = {"weight": 50.0 + step}
            accounts.pop(f"a{19 - step}", None)
            document = {**document, "accounts": accounts}
            self.assertEqual(parser.parse(document), configuration.parse(document))

    def test_duplicate_key_beside_a_known_account_is_found(self):
        parser = configuration.Parser()
        digest = "0" * 64
        accounts = {"a": {"key_hashes": [digest]}}
        parser.parse({"accounts": accounts})
        with self.assertRaises(configuration.exceptions.InvalidDocumentError):
            parser.parse({"accounts": {**accounts, "b": {"key_hashes": [digest]}}})


if __name__ == "__main__":
    unittest.main()
