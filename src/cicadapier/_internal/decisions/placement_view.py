"""Inputs of one placement decision that all candidates share."""

import collections.abc
import dataclasses

from cicadapier._internal.decisions import members
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids


@dataclasses.dataclass(slots=True)
class Source:
    """Upstreams with the longest cached prefix among those with the same weights version.

    Attributes:
        depth: Number of pieces of the prefix.
        holders: Upstreams that hold all of them.
    """

    depth: int
    holders: list[ids.UpstreamId]


@dataclasses.dataclass(frozen=True, slots=True)
class Costs:
    """Costs of the uncached pieces, indexed by the number of pieces that a candidate has cached.

    Attributes:
        prefill_s: Time to compute or import them.
        interference_s: Cost to other requests of computing or importing them.
    """

    prefill_s: list[float]
    interference_s: list[float]


class View:
    """Inputs of one placement decision that all candidates share.

    Attributes:
        req: The request to place.
        interactive: Whether the request is of the interactive class.
        now: Present time.
        cached: Number of leading pieces probably cached on each upstream that has any.
        key: Affinity key of the prompt.
        order: Candidates in rendezvous order; in a large pool, those with the longest cached
            prefix come first.
        prefill_tokens_per_s: Prefill rate of an upstream of the pool.
    """

    def __init__(
        self,
        req: members.PlacementRequest,
        now: float,
        cached: dict[ids.UpstreamId, int],
        key: bytes,
        order: list[ids.UpstreamId],
        exported: int,
        sources: dict[str | None, Source],
        costs: collections.abc.Callable[[int], Costs],
        prefill_tokens_per_s: float,
    ) -> None:
        self.req = req
        self.interactive = req.service_class is configuration.ServiceClass.INTERACTIVE
        self.now = now
        self.cached = cached
        self.key = key
        self.order = order
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self._exported = exported
        self._sources = sources
        self._make_costs = costs
        self._costs: dict[int, Costs] = {}
        depths = [source.depth for source in sources.values()]
        self._max_importable = max([exported, *depths])

    def importable_pieces(self, upstream: ids.UpstreamId, member: members.Member) -> int:
        """Returns the length of the longest prefix that a candidate could import.

        The pieces that the candidate has cached itself are included.
        """
        source = self._source(upstream, member)
        return max(self._exported, source.depth if source else 0)

    def sources(
        self,
        upstream: ids.UpstreamId,
        member: members.Member,
        others: collections.abc.Mapping[ids.UpstreamId, members.Member],
    ) -> list[ids.UpstreamId]:
        """Returns the upstreams that a candidate may import from.

        If any of them are in the candidate's own failure domain, only those are returned.
        """
        source = self._source(upstream, member)
        if source is None or source.depth < self._exported:
            return []
        if source.depth <= self.cached.get(upstream, 0):
            return []
        domain = member.spec.failure_domain
        nearby = [u for u in source.holders if others[u].spec.failure_domain == domain]
        return nearby or source.holders

    def prefill_s(self, upstream: ids.UpstreamId, member: members.Member) -> float:
        """Returns the time in which a candidate computes or imports the uncached pieces."""
        costs = self._costs_for(self.importable_pieces(upstream, member))
        return costs.prefill_s[self.cached.get(upstream, 0)]

    def least_cost_s(self, upstream: ids.UpstreamId, least_slowness: float) -> float:
        """Returns a lower bound on the cost of a candidate, from its cached prefix alone.

        Args:
            upstream: The candidate.
            least_slowness: Lower bound of the relative slowness of all candidates, at most 1.0.
        """
        cached = self.cached.get(upstream, 0)
        costs = self._costs_for(self._max_importable)
        return costs.prefill_s[cached] * least_slowness + costs.interference_s[cached]

    def idle_cost_s(
        self, upstream: ids.UpstreamId, member: members.Member, slowness: float
    ) -> float:
        """Returns the cost of a candidate if it had no other work.

        The cost to other requests is that at an upstream of usual speed: it stands for the worth of
        the cached pieces, which does not change with the moments of a machine.

        Args:
            upstream: The candidate.
            member: Its state.
            slowness: How many times as long as usual work takes there.
        """
        cached = self.cached.get(upstream, 0)
        share = min(1.0, member.spec.weight)
        costs = self._costs_for(self.importable_pieces(upstream, member))
        work_s = costs.prefill_s[cached] * slowness / share + costs.interference_s[cached]
        return work_s + member.distance_s + member.penalty_s

    def _source(self, upstream: ids.UpstreamId, member: members.Member) -> Source | None:
        if self.req.model is None:
            return None
        return self._sources.get(member.versions.get(self.req.model))

    def _costs_for(self, importable: int) -> Costs:
        found = self._costs.get(importable)
        if found is None:
            found = self._make_costs(importable)
            self._costs[importable] = found
        return found
