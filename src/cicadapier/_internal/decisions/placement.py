"""Choice of the upstream for a model request.

The estimate of the time to first token is queue ahead + prefill of the uncached pieces + network
distance. The least cost wins; near-ties go to the first upstream in the order of the prefix's
level, so that routers choose alike without talking.
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
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids

NEAR_TIE_S = 0.003
RING_CANDIDATES = 16
IMPORT_SPEEDUP = 10.0
COPY_LIFETIME_S = 10.0
_LARGE_BATCH_REQUESTS = 24
_LARGE_BATCH_DELAY_S = 0.02
_FULL_BATCH_DELAY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Features:
    """Parts of placement that can be switched off for comparison.

    Attributes:
        cache_index: Use what is believed to be cached.
        load: Use reports and sends to estimate queues.
        levels: Hash at the level whose subtree fits one upstream; else at the first piece.
        in_flight: Count prefixes that are being computed as cached.
        keep: Import from the keep where that beats recomputing.
        separation: Keep interactive and batch requests apart where that costs little.
        keep_first_use: Export pieces as soon as they are computed; else at their second use.
        piece_rates: Let pieces that are asked for often be copied at a lower cost.
        recompute_weight: Weight of the prefill of pieces in the cost, beside its own time, for
            the work that it takes from other requests.
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
    """Placement by estimated time to first token.

    Attributes:
        cache_index: What is believed to be cached on each upstream.
        exported: Pieces believed to be in the keep, oldest first.
        piece_rates: How often each piece is asked for.
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

    def dropped(self, upstream: ids.UpstreamId) -> None:
        """See `members.Policy.dropped`."""
        self.cache_index.forget(upstream)

    def started(self, upstream: ids.UpstreamId, incarnation: ids.Incarnation) -> None:
        """See `members.Policy.started`."""
        if incarnation:
            self.cache_index.observe_incarnation(upstream, incarnation)

    def reloaded(self, upstream: ids.UpstreamId) -> None:
        """See `members.Policy.reloaded`."""
        self.cache_index.forget(upstream)
        self.started(upstream, self.members[upstream].spec.incarnation)

    def sent(self, req: members.PlacementRequest, choice: members.Estimate, now: float) -> None:
        """See `members.Policy.sent`."""
        super().sent(req, choice, now)
        self.piece_rates.count(req.prompt.pieces, now)
        if self._features.in_flight:
            self.cache_index.add_in_flight(choice.upstream, req.prompt.pieces, now)

    def choose(self, req: members.PlacementRequest, now: float) -> members.Choice | None:
        """See `members.Policy.choose`."""
        view = self._view(req, now)
        limit_s = math.inf
        costs: dict[ids.UpstreamId, float] = {}
        for upstream in self._by_cached_prefix(view):
            member = self.members.get(upstream)
            if member is None or not member.usable or upstream in req.exclude:
                continue
            if not member.serves(req.weights):
                continue
            # Queues and distance only add to the cost, and the candidates that follow have no more
            # of the prefix cached: what is too dear without them needs no estimate.
            if view.least_cost_s(upstream) > limit_s:
                break
            idle_s = view.idle_cost_s(upstream, member)
            cost_s = idle_s + self._queue_cost_s(view, upstream, member)
            costs[upstream] = cost_s
            limit_s = min(limit_s, cost_s + NEAR_TIE_S)
        if not costs:
            return None
        # The order is that of the prefix, so the first near-tie is the same on every router.
        near = [upstream for upstream, cost_s in costs.items() if cost_s <= limit_s]
        chosen = near[0] if len(near) == 1 else min(near, key=view.order.index)
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

    def first_token(
        self,
        choice: members.Estimate,
        prompt: prefix.Prompt,
        first: members.FirstToken,
        now: float,
    ) -> tuple[ids.PieceId, ...]:
        """See `members.Policy.first_token`."""
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
        """Returns the pieces to export, now that an engine has them.

        Pieces that were found cached are in use again, so they are hot. The others have just been
        computed, and computing them again would cost more than the export.
        """
        if not self._features.keep or self.pool.keep is None:
            return ()
        candidates = prompt.pieces if self._features.keep_first_use else prompt.pieces[:found]
        return tuple(piece for piece in candidates if piece not in self.exported)

    def affinity_key(self, prompt: prefix.Prompt) -> bytes:
        """Returns the piece at whose level the prompt is hashed.

        A piece that several upstreams hold is one that a single upstream cannot serve, so the
        key is the first piece on the way down that at most one upstream holds.
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
        self, prompt: prefix.Prompt, cached: collections.abc.Mapping[ids.UpstreamId, int]
    ) -> list[ids.UpstreamId]:
        key = self.affinity_key(prompt)
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
        return placement_view.View(
            req,
            now,
            cached,
            self._candidate_order(req.prompt, cached),
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
        """Returns who holds most of the prompt, for each weights version that is served."""
        found: dict[str | None, placement_view.Source] = {}
        if self.pool.import_tokens_per_s <= 0 or req.model is None:
            return found
        for upstream, depth in cached.items():
            member = self.members.get(upstream)
            if member is None or not member.eligible or member.loading:
                continue
            version = member.versions.get(req.model)
            known = found.get(version)
            if known is None or depth > known.depth:
                found[version] = placement_view.Source(depth, [upstream])
            elif depth == known.depth:
                known.holders.append(upstream)
        return found

    def _costs(self, prompt: prefix.Prompt, now: float, importable: int) -> placement_view.Costs:
        return placement_view.Costs(
            self._prefill_s(prompt, importable), self._interference_s(prompt, importable, now)
        )

    def _import_s(self, tokens: int) -> float:
        """Returns the time to import a piece."""
        pool = self.pool
        return tokens / (pool.import_tokens_per_s or pool.prefill_tokens_per_s * IMPORT_SPEEDUP)

    def _by_cached_prefix(self, view: placement_view.View) -> list[ids.UpstreamId]:
        """Returns the candidates with those first that have most of the prefix cached."""
        if not view.cached:
            return view.order
        return sorted(view.order, key=lambda upstream: -view.cached.get(upstream, 0))

    def _prefill_s(self, prompt: prefix.Prompt, importable: int) -> list[float]:
        """Returns the time to compute or import the rest, by the number of cached pieces."""
        rate = self.pool.prefill_tokens_per_s
        rest_s = prompt.uncached_tokens(len(prompt.pieces)) / rate
        prefill_s = [rest_s] * (len(prompt.pieces) + 1)
        for depth in range(len(prompt.pieces) - 1, -1, -1):
            size = prompt.sizes[depth]
            cost_s = self._import_s(size) if depth < importable else size / rate
            prefill_s[depth] = prefill_s[depth + 1] + cost_s
        return prefill_s

    def _interference_s(self, prompt: prefix.Prompt, importable: int, now: float) -> list[float]:
        """Returns what computing the pieces from each depth on costs other requests.

        A piece that is asked for often soon pays for one more copy; one that is asked for by this
        conversation alone never does.
        """
        weight = self._features.recompute_weight
        interference_s = [0.0] * (len(prompt.pieces) + 1)
        for depth in range(len(prompt.pieces) - 1, -1, -1):
            piece = prompt.pieces[depth]
            size = prompt.sizes[depth]
            rate = self.piece_rates.per_s(piece, now) if self._features.piece_rates else 0.0
            expected_uses = rate * COPY_LIFETIME_S / (1 + self.cache_index.holder_count(piece))
            compute_s = size / self.pool.prefill_tokens_per_s
            cost_s = self._import_s(size) if depth < importable else compute_s
            interference_s[depth] = interference_s[depth + 1] + weight * cost_s / (
                1 + expected_uses
            )
        return interference_s

    def _queue_cost_s(
        self, view: placement_view.View, upstream: ids.UpstreamId, member: members.Member
    ) -> float:
        """Returns what the work that an upstream has already adds to the cost."""
        cost_s = self._queue_s(view, member) if self._features.load else 0.0
        if view.interactive or not self._features.separation:
            return cost_s
        # Interactive requests that arrive meanwhile wait for half of the prefill on average.
        prefill_s = view.prefill_s(upstream, member)
        return cost_s + member.load.interactive_rate(view.now) * prefill_s * prefill_s / 2

    def _queue_s(self, view: placement_view.View, member: members.Member) -> float:
        load = member.load
        backlog = load.backlog_tokens(view.req.service_class, view.now)
        queue_s = backlog / (view.prefill_tokens_per_s * min(1.0, member.spec.weight))
        if load.running() > _LARGE_BATCH_REQUESTS or load.running() >= member.spec.max_in_flight:
            queue_s += _batch_delay_s(member)
        if view.interactive and self._features.separation:
            queue_s += load.batch_risk_s(view.now)
        return queue_s

    def _estimate(
        self, view: placement_view.View, upstream: ids.UpstreamId, member: members.Member
    ) -> members.Estimate:
        cached = view.cached.get(upstream, 0)
        importable = view.importable_pieces(upstream, member)
        source, idle_s = self._choose_source(view, upstream, member, importable)
        return members.Estimate(
            upstream,
            cached,
            max(0, importable - cached),
            self._queue_s(view, member) if self._features.load else 0.0,
            view.prefill_s(upstream, member) / min(1.0, member.spec.weight),
            member.distance_s,
            view.idle_cost_s(upstream, member) + self._queue_cost_s(view, upstream, member),
            source,
            idle_s,
        )

    def _choose_source(
        self,
        view: placement_view.View,
        upstream: ids.UpstreamId,
        member: members.Member,
        importable: int,
    ) -> tuple[ids.UpstreamId | None, float]:
        """Returns where missing pieces come from, and for how long they have not been used there.

        The holder that used them last is the least likely to have evicted them.
        """
        found = view.sources(upstream, member, self.members)
        if not found:
            return None, math.inf
        piece = view.req.prompt.pieces[importable - 1]
        idle = {holder: self.cache_index.idle_s(holder, piece, view.now) for holder in found}
        best = min(found, key=lambda holder: (idle[holder], holder))
        return best, idle[best]


class PlainPlacement(members.Policy):
    """Placement for plain services: fewest requests in flight, nearest first."""

    def choose(self, req: members.PlacementRequest, now: float) -> members.Choice | None:
        """See `members.Policy.choose`."""
        found = self.estimates(req, now)
        if not found:
            return None
        chosen = min(found, key=lambda estimate: estimate.cost_s)
        return members.Choice(chosen, "fewest requests in flight")

    def estimates(self, req: members.PlacementRequest, now: float) -> list[members.Estimate]:
        """See `members.Policy.estimates`."""
        found = []
        for upstream in self.order.first(req.request.encode(), len(self.members)):
            member = self.members[upstream]
            if member.usable and upstream not in req.exclude:
                distance_s = member.distance_s
                cost_s = member.load.running() / member.spec.weight + distance_s
                found.append(members.Estimate(upstream, 0, 0, 0.0, 0.0, distance_s, cost_s))
        return found


def make_policy(
    pool: configuration.Pool, failure_domain: ids.FailureDomainId, now: float
) -> members.Policy:
    """Returns the policy that serves a pool."""
    if pool.kind is configuration.PoolKind.MODEL:
        return PrefixPlacement(pool, failure_domain, now)
    return PlainPlacement(pool, failure_domain, now)


def _batch_delay_s(member: members.Member) -> float:
    running = member.load.running()
    delay_s = max(0, running - _LARGE_BATCH_REQUESTS) * _LARGE_BATCH_DELAY_S
    if running >= member.spec.max_in_flight:
        # A full batch admits the next request only when one of its own has finished.
        delay_s += (running - member.spec.max_in_flight + 1) * _FULL_BATCH_DELAY_S
    return delay_s


def _reason(chosen: members.Estimate, least_cost_s: float) -> str:
    if chosen.cost_s > least_cost_s:
        return "first in prefix order among near-ties"
    if chosen.cached_pieces:
        return "least estimate, prefix cached"
    return "least estimate"
