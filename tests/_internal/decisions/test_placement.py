"""Tests of the selection of upstreams, of the hash order and of prefix ids."""

import dataclasses
import unittest

from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import placement
from cicadapier._internal.decisions import prefix
from cicadapier._internal.decisions import rendezvous
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids

INTERACTIVE = configuration.ServiceClass.INTERACTIVE
BATCH = configuration.ServiceClass.BATCH
HERE = ids.FailureDomainId("here")


def chain(name, length):
    return tuple(ids.PieceId(f"{name}-{i}".encode().ljust(16)) for i in range(length))


def request(pieces, kind=INTERACTIVE, **extra):
    prompt = prefix.uniform_prompt(pieces, 2048, len(pieces) * 2048 + 100)
    return members.PlacementRequest(ids.RequestId("r"), prompt, kind, **extra)


def make(count=4, features=None):
    pool = configuration.Pool(
        configuration.PoolKind.MODEL,
        {
            ids.UpstreamId(f"u{i}"): configuration.Upstream(ids.Address(f"h:{i + 1}"), HERE)
            for i in range(count)
        },
    )
    policy = placement.PrefixPlacement(pool, HERE, 0.0, features or placement.Features())
    for upstream in pool.upstreams:
        policy.cache_index.observe_incarnation(upstream, ids.Incarnation("1"))
    return policy


class SourceTest(unittest.TestCase):
    """Missing pieces are imported from the holder that used them most recently.

    The other holders are more likely to have evicted them.
    """

    def setUp(self):
        self.policy = make()
        self.policy.pool = dataclasses.replace(self.policy.pool, import_tokens_per_s=400_000.0)
        self.pieces = chain("p", 3)
        self.policy.cache_index.add_in_flight(ids.UpstreamId("u0"), self.pieces, 0.0)
        self.policy.cache_index.add_in_flight(ids.UpstreamId("u1"), self.pieces, 4.0)

    def _estimate(self, now):
        req = request(self.pieces, model=ids.ModelId("m"))
        return next(e for e in self.policy.estimates(req, now) if e.upstream == "u2")

    def test_most_recent_user_of_the_pieces_is_the_source(self):
        self.assertEqual(self._estimate(5.0).source, "u1")
        self.policy.cache_index.add_in_flight(ids.UpstreamId("u0"), self.pieces, 5.0)
        self.assertEqual(self._estimate(6.0).source, "u0")

    def test_source_is_reliable_only_for_a_short_time(self):
        self.assertEqual(self._estimate(4.0 + members.RELIABLE_SOURCE_S).reliable_source, "u1")
        late = self._estimate(4.1 + members.RELIABLE_SOURCE_S)
        self.assertEqual((late.source, late.reliable_source), ("u1", None))


class PlacementTest(unittest.TestCase):
    def test_routers_without_observations_choose_the_same_upstream(self):
        for number in range(20):
            pieces = chain(f"p{number}", 3)
            choices = {make().choose(request(pieces), 0.0).estimate.upstream for _ in range(3)}
            self.assertEqual(len(choices), 1)

    def test_prefixes_are_distributed_over_all_upstreams(self):
        policy = make()
        chosen = {
            policy.choose(request(chain(f"p{n}", 3)), 0.0).estimate.upstream for n in range(40)
        }
        self.assertEqual(len(chosen), 4)

    def test_upstream_with_cached_prefix_is_chosen_until_its_queue_is_too_long(self):
        policy = make()
        pieces = chain("p", 5)
        first = policy.choose(request(pieces), 0.0).estimate
        policy.record_sent(request(pieces), first, 0.0)
        again = policy.choose(request(pieces), 5.0).estimate
        self.assertEqual((again.upstream, again.cached_pieces), (first.upstream, 5))
        policy.members[first.upstream].load.record_send(10_000_000, INTERACTIVE, 5.0)
        other = policy.choose(request(pieces), 5.0).estimate
        self.assertNotEqual(other.upstream, first.upstream)

    def test_hot_prefix_is_copied_at_a_shorter_queue_than_a_cold_one(self):
        def backlog_until_copied(rate):
            policy = make()
            pieces = chain("p", 3)
            req = request(pieces)
            holder = policy.choose(req, 0.0).estimate
            for number in range(int(rate * 10)):
                policy.piece_rates.count(pieces, number / rate)
            policy.cache_index.add_in_flight(holder.upstream, pieces, 10.0)
            for tokens in range(0, 300_000, 1000):
                policy.members[holder.upstream].load.record_send(1000, INTERACTIVE, 10.0)
                if policy.choose(req, 10.0).estimate.upstream != holder.upstream:
                    return tokens
            return 300_000

        self.assertLess(backlog_until_copied(20.0), backlog_until_copied(0.2) / 2)

    def test_interactive_request_avoids_an_upstream_with_running_batch_work(self):
        policy = make(2)
        pieces = chain("p", 1)
        first = policy.choose(request(pieces), 0.0).estimate.upstream
        policy.members[first].load.record_send(10_000, BATCH, 0.0)
        policy.members[first].load.backlog_tokens(INTERACTIVE, 0.01)
        self.assertNotEqual(policy.choose(request(pieces), 0.01).estimate.upstream, first)

    def test_upstreams_with_other_weights_are_not_chosen(self):
        policy = make(2)
        model = ids.ModelId("m")
        policy.members[ids.UpstreamId("u0")].versions = {model: "1"}
        policy.members[ids.UpstreamId("u1")].versions = {model: "2"}
        for version, expected in (("1", "u0"), ("2", "u1")):
            req = request(chain("p", 2), weights=members.Weights(model, version))
            self.assertEqual(policy.choose(req, 0.0).estimate.upstream, expected)
        req = request(chain("p", 2), weights=members.Weights(model, "3"))
        self.assertIsNone(policy.choose(req, 0.0))

    def test_no_eligible_upstream_means_no_choice(self):
        policy = make(1)
        policy.members[ids.UpstreamId("u0")].eligible = False
        self.assertIsNone(policy.choose(request(chain("p", 2)), 0.0))

    def test_choice_with_pruning_is_within_a_near_tie_of_the_lowest_cost(self):
        policy = make(8)
        for number in range(60):
            req = request(chain(f"p{number % 7}", 4))
            now = number * 0.05
            choice = policy.choose(req, now).estimate
            least = min(e.cost_s for e in policy.estimates(req, now))
            self.assertLessEqual(choice.cost_s, least + placement.NEAR_TIE_S)
            policy.record_sent(req, choice, now)


class RendezvousTest(unittest.TestCase):
    def test_removing_an_upstream_moves_only_the_keys_assigned_to_it(self):
        for size in (8, 200):
            names = [ids.UpstreamId(f"u{i}") for i in range(size)]
            whole = rendezvous.Order(names)
            less = rendezvous.Order(names[1:])
            for number in range(100):
                key = f"k{number}".encode()
                if whole.first(key, 1)[0] != names[0]:
                    self.assertEqual(whole.first(key, 1), less.first(key, 1))


class PrefixTest(unittest.TestCase):
    def _root(self, account="a", version="1"):
        scope = prefix.Scope(ids.AccountId(account), ids.ModelId("m"), "", version)
        return prefix.root_id(b"secret", scope)

    def test_pieces_of_other_accounts_and_weights_differ(self):
        text = b"x" * 64
        roots = [self._root(), self._root("b"), self._root(version="2")]
        firsts = {prefix.split_prompt(root, text, 4, 4).pieces[0] for root in roots}
        self.assertEqual(len(firsts), 3)

    def test_prompts_share_only_the_pieces_of_their_common_prefix(self):
        one = prefix.split_prompt(self._root(), b"a" * 32 + b"b" * 32, 4, 4).pieces
        two = prefix.split_prompt(self._root(), b"a" * 32 + b"c" * 32, 4, 4).pieces
        self.assertEqual(one[:2], two[:2])
        self.assertEqual(set(one[2:]) & set(two[2:]), set())


if __name__ == "__main__":
    unittest.main()
