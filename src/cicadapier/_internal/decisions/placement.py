"""Selection of the upstream for a request.

For model requests, the cost of an upstream is its estimated time to first token (queueing time +
prefill of the uncached pieces + network distance) plus what the prefill costs other requests. The
upstream with the least cost is chosen. Near-ties go to the upstream that comes first in the
rendezvous order of the prompt's affinity key, so that routers choose the same upstream without
coordination.
"""

import collections.abc
import dataclasses
import functools
import math

from cicadapier._internal.decisions import cache_index
from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import piece_rates
from cicadapier._internal.decisions import placement_view
from cicadapier._internal.decisions import prefix
from cicadapier._internal.decisions import rendezvous
from cicadapier._internal.decisions.uneven import plain_choice
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids

# Candidates whose cost exceeds the least by no more than this count as equal.
NEAR_TIE_S = 0.003
# In a large pool, at most this many upstreams with the longest cached prefix are candidates, and
# this many from the hash ring.
RING_CANDIDATES = 16
# Assumed ratio of import rate to prefill rate, for pools that declare no import rate.
IMPORT_SPEEDUP = 10.0
# Time over which the expected uses of one more copy of a piece are counted.
COPY_LIFETIME_S = 10.0
# Each running request beyond this number adds a delay to the next request.
_LARGE_BATCH_REQUESTS = 24
_LARGE_BATCH_DELAY_S = 0.02
_COUNTED_REQUESTS = 4
_FULL_BATCH_DELAY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Features:
    """Switches for parts of the placement policy, so that experiments can compare them.

    Attributes:
        cache_index: Use the index of cached pieces.
        load: Estimate queueing times from load reports and sent requests.
        levels: Use the first piece that at most one upstream holds as the affinity key; otherwise
            use the first piece of the prompt.
        in_flight: Count the pieces of sent prompts as cached before the first token arrives.
        keep: Export pieces to the pool's keep (its external KV store) and import them from there.
        keep_first_use: Export pieces as soon as they are computed; otherwise at their second use.
        separation: Keep interactive and batch requests on separate upstreams where that costs
            little, by adding the delay that they cause each other to the cost.
        piece_rates: Reduce the interference cost of pieces that are requested often, so that more
            upstreams get a copy of them.
        recompute_weight: Weight of the interference cost, which stands for the time that a
            prefill takes from other requests on the same upstream.
    """

    cache_index: bool = True
    load: bool = True
    levels: bool = True
    in_flight: bool = True
    keep: bool = True
    keep_first_use: bool = True
    separation: bool = True
    piece_rates: bool = True
    recompute_weight: float = 10.0


class PrefixPlacement(members.Policy):
    """Placement of model requests by estimated time to first token.

    Attributes:
        cache_index: Index of the pieces that are probably cached on each upstream.
        exported: Pieces that are probably in the pool's keep, least recently exported first.
        piece_rates: Request rate of each piece.
    """

    def __init__(
        self,
        pool: configuration.Pool,
        failure_domain: ids.FailureDomainId,
        now: float,
        features: Features = Features(),
    ) -> None:
        self.cache_index = cache_index.CacheIndex()
        self.exported = cache_index.ExportedPieces()
        self.piece_rates = piece_rates.PieceRates()
        self._features = features
        super().__init__(pool, failure_domain, now)

    def upstream_removed(self, upstream: ids.UpstreamId) -> None:
        """See `members.Policy.upstream_removed`."""
        self.cache_index.forget(upstream)

    def upstream_started(self, upstream: ids.UpstreamId, incarnation: ids.Incarnation) -> None:
        """See `members.Policy.upstream_started`."""
        if incarnation:
            self.cache_index.observe_incarnation(upstream, incarnation)

    def weights_reloaded(self, upstream: ids.UpstreamId) -> None:
        """See `members.Policy.weights_reloaded`."""
        self.cache_index.forget(upstream)
        self.upstream_started(upstream, self.members[upstream].spec.incarnation)

    def record_sent(
        self, req: members.PlacementRequest, choice: members.Estimate, now: float
    ) -> None:
        """See `members.Policy.record_sent`."""
        super().record_sent(req, choice, now)
        self.piece_rates.count(req.prompt.pieces, now)
        if self._features.in_flight:
            self.cache_index.add_in_flight(choice.upstream, req.prompt.pieces, now)

    def choose(self, req: members.PlacementRequest, now: float) -> members.Choice | None:
        """See `members.Policy.choose`."""
        view = self._view(req, now)
        limit_s = math.inf
        costs: dict[ids.UpstreamId, float] = {}
        least_slowness = self.slowness.least_relative()
        for upstream in self._by_cached_prefix(view):
            member = self.members.get(upstream)
            if member is None or not member.usable or upstream in req.exclude:
                continue
            if not member.serves(req.weights):
                continue
            # Queues and distance only add to this lower bound, and no later candidate has a longer
            # cached prefix. Once the bound exceeds the limit, no further estimate is needed.
            if view.least_cost_s(upstream, least_slowness) > limit_s:
                break
            slowness = self._slowness(view, upstream)
            idle_cost_s = view.idle_cost_s(upstream, member, slowness)
            cost_s = idle_cost_s + self._queue_cost_s(view, upstream, member, slowness)
            costs[upstream] = cost_s
            limit_s = min(limit_s, cost_s + NEAR_TIE_S)
        if not costs:
            return None
        # Every router derives the same order from the same affinity key, so the first near-tie is
        # the same on every router.
        near_ties = [upstream for upstream, cost_s in costs.items() if cost_s <= limit_s]
        chosen = near_ties[0] if len(near_ties) == 1 else min(near_ties, key=view.order.index)
        estimate = self._estimate(view, chosen, self.members[chosen])
        return members.Choice(estimate, _reason(estimate, limit_s - NEAR_TIE_S))

    def estimates(self, req: members.PlacementRequest, now: float) -> list[members.Estimate]:
        """See `members.Policy.estimates`."""
        view = self._view(req, now)
        return [
            self._estimate(view, upstream, self.members[upstream])
            for upstream in view.order
            if self.members[upstream].usable and upstream not in req.exclude
        ]

    def record_first_token(
        self,
        choice: members.Estimate,
        prompt: prefix.Prompt,
        first: members.FirstToken,
        now: float,
    ) -> tuple[ids.PieceId, ...]:
        """See `members.Policy.record_first_token`."""
        found = prompt.pieces_within(first.cached_tokens)
        expected = choice.cached_pieces + choice.imported_pieces
        if choice.imported_pieces and found < expected:
            self.exported.remove(prompt.pieces[found:expected])
        self.cache_index.apply_answer(
            choice.upstream, first.incarnation, prompt.pieces, choice.cached_pieces, found, now
        )
        pieces = self._pieces_to_export(prompt, found)
        self.exported.add(pieces)
        return pieces

    def _pieces_to_export(self, prompt: prefix.Prompt, found: int) -> tuple[ids.PieceId, ...]:
        """Returns the pieces to export after the first token, when the engine has all of them.

        The first `found` pieces were cached, so they are being reused. The others were just
        computed, and computing them again would cost more than the export.
        """
        if not self._features.keep or self.pool.keep is None:
            return ()
        candidates = prompt.pieces if self._features.keep_first_use else prompt.pieces[:found]
        return tuple(piece for piece in candidates if piece not in self.exported)

    def affinity_key(self, prompt: prefix.Prompt) -> bytes:
        """Returns the piece that is hashed to order the candidates for a prompt.

        If several upstreams hold a piece, its requests are too many for one upstream. The key is
        therefore the first piece that at most one upstream holds, or else the last piece.
        """
        if not prompt.pieces:
            return b""
        if not self._features.levels:
            return prompt.pieces[0]
        for piece in prompt.pieces:
            if self.cache_index.holder_count(piece) <= 1:
                return piece
        return prompt.pieces[-1]

    def _candidate_order(
        self, key: bytes, cached: collections.abc.Mapping[ids.UpstreamId, int]
    ) -> list[ids.UpstreamId]:
        if len(self.members) <= rendezvous.MAX_SCORED:
            return self.order.first(key, rendezvous.MAX_SCORED)
        deepest = sorted(cached, key=lambda u: (-cached[u], u))[:RING_CANDIDATES]
        return list(dict.fromkeys([*deepest, *self.order.first(key, RING_CANDIDATES)]))

    def _exported_prefix_length(self, prompt: prefix.Prompt) -> int:
        if not self._features.keep or self.pool.keep is None:
            return 0
        return self.exported.prefix_length(prompt.pieces)

    def _view(self, req: members.PlacementRequest, now: float) -> placement_view.View:
        cached: dict[ids.UpstreamId, int] = {}
        if self._features.cache_index:
            cached = self.cache_index.cached_pieces(req.prompt.pieces, now)
        key = self.affinity_key(req.prompt)
        return placement_view.View(
            req,
            now,
            cached,
            key,
            self._candidate_order(key, cached),
            self._exported_prefix_length(req.prompt),
            self._import_sources(req, cached),
            functools.partial(self._costs, req.prompt, now),
            self.pool.prefill_tokens_per_s,
        )

    def _import_sources(
        self,
        req: members.PlacementRequest,
        cached: collections.abc.Mapping[ids.UpstreamId, int],
    ) -> "dict[str | None, placement_view.Source]":
        """Returns the holders of the longest cached prefix for each served weights version."""
        sources: dict[str | None, placement_view.Source] = {}
        if self.pool.import_tokens_per_s <= 0 or req.model is None:
            return sources
        for upstream, depth in cached.items():
            member = self.members.get(upstream)
            if member is None or not member.eligible or member.loading:
                continue
            version = member.versions.get(req.model)
            source = sources.get(version)
            if source is None or depth > source.depth:
                sources[version] = placement_view.Source(depth, [upstream])
            elif depth == source.depth:
                source.holders.append(upstream)
        return sources

    def _costs(self, prompt: prefix.Prompt, now: float, importable: int) -> placement_view.Costs:
        return placement_view.Costs(
            self._prefill_s(prompt, importable), self._interference_s(prompt, importable, now)
        )

    def _import_s(self, tokens: int) -> float:
        """Returns the time to import a number of tokens."""
        pool = self.pool
        return tokens / (pool.import_tokens_per_s or pool.prefill_tokens_per_s * IMPORT_SPEEDUP)

    def _by_cached_prefix(self, view: placement_view.View) -> list[ids.UpstreamId]:
        """Returns the candidates, those with the longest cached prefix first."""
        if not view.cached:
            return view.order
        return sorted(view.order, key=lambda upstream: -view.cached.get(upstream, 0))

    def _prefill_s(self, prompt: prefix.Prompt, importable: int) -> list[float]:
        """Returns the time to compute or import the rest of a prompt.

        Returns:
            The time for each number of cached pieces, from 0 to all pieces.
        """
        tokens_per_s = self.pool.prefill_tokens_per_s
        rest_s = prompt.uncached_tokens(len(prompt.pieces)) / tokens_per_s
        prefill_s = [rest_s] * (len(prompt.pieces) + 1)
        for depth in range(len(prompt.pieces) - 1, -1, -1):
            size = prompt.sizes[depth]
            cost_s = self._import_s(size) if depth < importable else size / tokens_per_s
            prefill_s[depth] = prefill_s[depth + 1] + cost_s
        return prefill_s

    def _interference_s(self, prompt: prefix.Prompt, importable: int, now: float) -> list[float]:
        """Returns what computing or importing the rest of a prompt costs other requests.

        A frequently requested piece costs less, because later requests soon reuse the new copy. A
        piece that only one conversation requests gains nothing from another copy.

        Returns:
            The cost for each number of cached pieces, from 0 to all pieces.
        """
        weight = self._features.recompute_weight
        interference_s = [0.0] * (len(prompt.pieces) + 1)
        for depth in range(len(prompt.pieces) - 1, -1, -1):
            piece = prompt.pieces[depth]
            size = prompt.sizes[depth]
            uses_per_s = self.piece_rates.per_s(piece, now) if self._features.piece_rates else 0.0
            reuses = uses_per_s * COPY_LIFETIME_S / (1 + self.cache_index.holder_count(piece))
            compute_s = size / self.pool.prefill_tokens_per_s
            cost_s = self._import_s(size) if depth < importable else compute_s
            interference_s[depth] = interference_s[depth + 1] + weight * cost_s / (1 + reuses)
        return interference_s

    def _slowness(self, view: placement_view.View, upstream: ids.UpstreamId) -> float:
        return self.slowness.for_prompt(upstream, view.key, len(self.members), view.now)

    def _queue_cost_s(
        self,
        view: placement_view.View,
        upstream: ids.UpstreamId,
        member: members.Member,
        slowness: float,
    ) -> float:
        """Returns the cost caused by the work that an upstream already has."""
        cost_s = self._queue_s(view, member) * slowness if self._features.load else 0.0
        if view.interactive or not self._features.separation:
            return cost_s
        # Interactive requests that arrive during the prefill wait for half of it on average.
        prefill_s = view.prefill_s(upstream, member) * slowness
        return cost_s + member.load.interactive_per_s(view.now) * prefill_s * prefill_s / 2

    def _queue_s(self, view: placement_view.View, member: members.Member) -> float:
        load = member.load
        backlog = load.backlog_tokens(view.req.service_class, view.now)
        queue_s = backlog / (view.prefill_tokens_per_s * min(1.0, member.spec.weight))
        if self.slowness.is_stated:
            queue_s += _shared_steps_delay_s(member)
        if load.running() > _LARGE_BATCH_REQUESTS or load.running() >= member.spec.max_in_flight:
            queue_s += _batch_delay_s(member)
        if view.interactive and self._features.separation:
            queue_s += load.expected_batch_wait_s(view.now)
        return queue_s

    def _estimate(
        self, view: placement_view.View, upstream: ids.UpstreamId, member: members.Member
    ) -> members.Estimate:
        cached = view.cached.get(upstream, 0)
        importable = view.importable_pieces(upstream, member)
        slowness = self._slowness(view, upstream)
        source, idle_s = self._choose_source(view, upstream, member, importable)
        return members.Estimate(
            upstream,
            cached,
            max(0, importable - cached),
            self._queue_s(view, member) * slowness if self._features.load else 0.0,
            view.prefill_s(upstream, member) * slowness / min(1.0, member.spec.weight),
            member.distance_s,
            view.idle_cost_s(upstream, member, slowness)
            + self._queue_cost_s(view, upstream, member, slowness),
            source,
            idle_s,
            self.slowness.slowness(upstream, view.now),
        )

    def _choose_source(
        self,
        view: placement_view.View,
        upstream: ids.UpstreamId,
        member: members.Member,
        importable: int,
    ) -> tuple[ids.UpstreamId | None, float]:
        """Returns the upstream to import missing pieces from, and how long they were idle there.

        The holder that used the pieces most recently is the least likely to have evicted them.
        """
        holders = view.sources(upstream, member, self.members)
        if not holders:
            return None, math.inf
        piece = view.req.prompt.pieces[importable - 1]
        idle_s = {holder: self.cache_index.idle_s(holder, piece, view.now) for holder in holders}
        best = min(holders, key=lambda holder: (idle_s[holder], holder))
        return best, idle_s[best]


class PlainPlacement(members.Policy):
    """Placement for plain services: fewest requests in flight by weight, plus network distance.

    Where upstreams state how long work takes there, the time that the requests take counts instead
    of their number (`plain_choice`).
    """

    def choose(self, req: members.PlacementRequest, now: float) -> members.Choice | None:
        """See `members.Policy.choose`."""
        estimates = self.estimates(req, now)
        if not estimates:
            return None
        if self.slowness.is_stated:
            return self._choose_by_time(req, {e.upstream: e for e in estimates}, now)
        chosen = min(estimates, key=lambda estimate: estimate.cost_s)
        return members.Choice(chosen, "fewest requests in flight")

    def estimates(self, req: members.PlacementRequest, now: float) -> list[members.Estimate]:
        """See `members.Policy.estimates`."""
        estimates = []
        for upstream in self.order.first(req.request.encode(), len(self.members)):
            member = self.members[upstream]
            if member.usable and upstream not in req.exclude:
                distance_s = member.distance_s
                slowness = self.slowness.slowness(upstream, now)
                cost_s = member.load.running() * slowness / member.spec.weight + distance_s
                estimates.append(
                    members.Estimate(
                        upstream, 0, 0, 0.0, 0.0, distance_s, cost_s, slowness=slowness
                    )
                )
        return estimates

    def _choose_by_time(
        self,
        req: members.PlacementRequest,
        estimates: collections.abc.Mapping[ids.UpstreamId, members.Estimate],
        now: float,
    ) -> members.Choice:
        candidates = [
            plain_choice.Candidate(
                upstream,
                member.load.running(),
                member.spec.weight,
                self.slowness.slowness(upstream, now),
                member.distance_s,
            )
            for upstream, member in self.members.items()
            if upstream in estimates
        ]
        chosen = plain_choice.choose(candidates, self.slowness.usual(), req.request)
        return members.Choice(estimates[chosen.upstream], "least expected time of two")


def make_policy(
    pool: configuration.Pool, failure_domain: ids.FailureDomainId, now: float
) -> members.Policy:
    """Returns the placement policy for a pool."""
    if pool.kind is configuration.PoolKind.MODEL:
        return PrefixPlacement(pool, failure_domain, now)
    return PlainPlacement(pool, failure_domain, now)


def _shared_steps_delay_s(member: members.Member) -> float:
    """Returns the delay by the steps of the requests that run, up to a large batch.

    It is counted in coarse steps, so that routers that know slightly different numbers of requests
    still agree on the upstream for a prompt.
    """
    running = min(member.load.running(), _LARGE_BATCH_REQUESTS)
    return running // _COUNTED_REQUESTS * _COUNTED_REQUESTS * _LARGE_BATCH_DELAY_S


def _batch_delay_s(member: members.Member) -> float:
    running = member.load.running()
    delay_s = max(0, running - _LARGE_BATCH_REQUESTS) * _LARGE_BATCH_DELAY_S
    if running >= member.spec.max_in_flight:
        # A full batch admits the next request only when a running one has finished.
        delay_s += (running - member.spec.max_in_flight + 1) * _FULL_BATCH_DELAY_S
    return delay_s


def _reason(chosen: members.Estimate, least_cost_s: float) -> str:
    if chosen.cost_s > least_cost_s:
        return "first in prefix order among near-ties"
    if chosen.cached_pieces:
        return "least estimate, prefix cached"
    return "least estimate"
