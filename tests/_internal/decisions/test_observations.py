"""Tests of the cache index as it is updated from observations of upstreams."""

import unittest

from cicadapier._internal.decisions import load
from cicadapier._internal.decisions import observations
from cicadapier._internal.decisions import traffic
from cicadapier._internal.models import configuration
from cicadapier._internal.models import configuration_parser
from cicadapier._internal.models import ids

POOL = ids.PoolId("models")
ONE = ids.UpstreamId("one")
PIECES = (ids.PieceId(b"a" * 16), ids.PieceId(b"b" * 16))


def make_traffic(upstreams: int = 2) -> traffic.Traffic:
    names = ["one", "two", "three", "four"][:upstreams]
    content = configuration_parser.parse(
        {
            "accounts": {"caller": {}},
            "pools": {
                "models": {
                    "kind": "model",
                    "models": {"m": {}},
                    "upstreams": {
                        name: {"address": f"127.0.0.1:{i + 1}", "failure_domain": "here"}
                        for i, name in enumerate(names)
                    },
                }
            },
        }
    )
    made = traffic.Traffic(ids.FailureDomainId("here"))
    made.configure(configuration.NumberedConfiguration(ids.ConfigNumber(1), content), 0.0)
    return made


def report_load(made: traffic.Traffic, incarnation: str = "one-1", now: float = 0.0) -> None:
    made.observations.record_load_report(
        POOL, ONE, ids.Incarnation(incarnation), False, load.Report(now, 0, 0, 0), now
    )


class CacheIndexTest(unittest.TestCase):
    def setUp(self):
        self.traffic = make_traffic()
        report_load(self.traffic)
        self.cache_index = self.traffic.pools[POOL].policy.cache_index

    def test_prompt_sent_by_a_peer_is_indexed_before_any_cache_event(self):
        self.traffic.observations.record_peer_prompt(POOL, ONE, PIECES, 1.0)
        self.assertEqual(self.cache_index.cached_pieces(PIECES, 1.0), {ONE: 2})

    def test_new_incarnation_clears_the_index(self):
        self.traffic.observations.record_peer_prompt(POOL, ONE, PIECES, 1.0)
        report_load(self.traffic, "one-2", 2.0)
        self.assertEqual(self.cache_index.cached_pieces(PIECES, 2.0), {})

    def test_late_event_of_an_earlier_incarnation_is_ignored(self):
        report_load(self.traffic, "one-2", 2.0)
        event = observations.CacheEvent(ids.Incarnation("one-1"), 1, True, PIECES, 3.0)
        self.traffic.observations.apply_cache_event(POOL, ONE, event, 3.0)
        self.assertEqual(self.cache_index.cached_pieces(PIECES, 3.0), {})

    def test_event_gap_requires_a_snapshot_and_shortens_retention(self):
        incarnation = ids.Incarnation("one-1")
        first = observations.CacheEvent(incarnation, 1, True, PIECES, 0.0)
        third = observations.CacheEvent(incarnation, 3, True, (), 0.0)
        self.assertTrue(self.traffic.observations.apply_cache_event(POOL, ONE, first, 1.0))
        self.assertFalse(self.traffic.observations.apply_cache_event(POOL, ONE, third, 1.0))
        self.assertEqual(self.cache_index.cached_pieces(PIECES, 20.0), {})
        self.traffic.observations.apply_cache_snapshot(POOL, ONE, incarnation, 3, PIECES, 20.0)
        self.assertEqual(self.cache_index.cached_pieces(PIECES, 20.0), {ONE: 2})

    def test_eviction_older_than_the_last_use_is_ignored(self):
        incarnation = ids.Incarnation("one-1")
        self.traffic.observations.record_peer_prompt(POOL, ONE, PIECES, 5.0)
        evicted = observations.CacheEvent(incarnation, 1, False, PIECES, 2.0)
        self.traffic.observations.apply_cache_event(POOL, ONE, evicted, 6.0)
        self.assertEqual(self.cache_index.cached_pieces(PIECES, 6.0), {ONE: 2})
        self.traffic.observations.apply_cache_event(
            POOL, ONE, observations.CacheEvent(incarnation, 2, False, PIECES, 0.0), 6.0
        )
        self.assertEqual(self.cache_index.cached_pieces(PIECES, 6.0), {})


if __name__ == "__main__":
    unittest.main()
