"""Placement policies that replays compare with each other."""

import dataclasses
import enum
import math
import random

from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import placement
from cicadapier._internal.decisions import prefix
from cicadapier._internal.decisions import traffic
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.standins import engine_model
from cicadapier._internal.standins import keep_model


class PolicyName(enum.Enum):
    """Policies that a replay can use.

    `OURS` is the router's own policy, and the values that begin with `ours-` are variants of it.
    """

    OURS = "ours"
    CLAIRVOYANT = "clairvoyant"
    RANDOM = "random"
    ROUND_ROBIN = "round-robin"
    LEAST_LOADED = "least-loaded"
    PREFIX_HASH = "prefix-hash"
    NO_CACHE_INDEX = "ours-without-belief"
    NO_LOAD = "ours-without-load"
    NO_LEVELS = "ours-without-levels"
    NO_IN_FLIGHT = "ours-without-in-flight"
    NO_KEEP = "ours-without-keep"
    NO_PEERS = "ours-without-peers"
    KEEP_SECOND_USE = "ours-keep-at-second-use"
    GREEDY = "ours-greedy"
    NO_PIECE_RATES = "ours-without-hotness"
    NO_SEPARATION = "ours-without-separation"


@dataclasses.dataclass(frozen=True, slots=True)
class TrueState:
    """Exact state of the engines and the keep, which only the clairvoyant policy uses."""

    engines: dict[ids.UpstreamId, engine_model.EngineModel]
    keep: keep_model.KeepModel


# Features of the variants of the router's own policy. NO_PEERS has none here: it only disables the
# gossip between the routers, which the replay does.
FEATURES_BY_POLICY = {
    PolicyName.NO_CACHE_INDEX: placement.Features(cache_index=False),
    PolicyName.NO_LOAD: placement.Features(load=False),
    PolicyName.NO_LEVELS: placement.Features(levels=False),
    PolicyName.NO_IN_FLIGHT: placement.Features(in_flight=False),
    PolicyName.NO_KEEP: placement.Features(keep=False),
    PolicyName.KEEP_SECOND_USE: placement.Features(keep_first_use=False),
    PolicyName.NO_PIECE_RATES: placement.Features(piece_rates=False),
    PolicyName.NO_SEPARATION: placement.Features(separation=False),
    PolicyName.GREEDY: placement.Features(recompute_weight=0.0),
}


# Weight of the prefill time in the cost of the clairvoyant policy.
RECOMPUTE_WEIGHT = 2.0
# With these policies the engines do not import pieces from the keep.
POLICIES_WITHOUT_KEEP = frozenset(
    (
        PolicyName.NO_KEEP,
        PolicyName.RANDOM,
        PolicyName.ROUND_ROBIN,
        PolicyName.LEAST_LOADED,
        PolicyName.PREFIX_HASH,
    )
)


class BaselinePolicy(members.Policy):
    """Base of the simple policies, whose choices have an empty estimate."""

    def _make_choice(self, upstream: ids.UpstreamId, reason: str) -> members.Choice:
        estimate = members.Estimate(upstream, 0, 0, 0.0, 0.0, 0.0, 0.0)
        return members.Choice(estimate, reason)


class RandomPolicy(BaselinePolicy):
    """Chooses a random upstream."""

    def __init__(
        self, pool: configuration.Pool, failure_domain: ids.FailureDomainId, now: float, seed: int
    ) -> None:
        super().__init__(pool, failure_domain, now)
        self._rng = random.Random(seed)

    def choose(self, req: members.PlacementRequest, now: float) -> members.Choice | None:
        """See `members.Policy.choose`."""
        usable = self.usable(req.exclude)
        return self._make_choice(self._rng.choice(usable), "random") if usable else None


class RoundRobinPolicy(BaselinePolicy):
    """Chooses the upstreams in turn."""

    def __init__(
        self, pool: configuration.Pool, failure_domain: ids.FailureDomainId, now: float, seed: int
    ) -> None:
        super().__init__(pool, failure_domain, now)
        self._turn = seed

    def choose(self, req: members.PlacementRequest, now: float) -> members.Choice | None:
        """See `members.Policy.choose`."""
        usable = self.usable(req.exclude)
        if not usable:
            return None
        self._turn += 1
        return self._make_choice(usable[self._turn % len(usable)], "turn")


class LeastLoadedPolicy(BaselinePolicy):
    """Chooses the upstream with the least work by its load report and this router's own sends."""

    def choose(self, req: members.PlacementRequest, now: float) -> members.Choice | None:
        """See `members.Policy.choose`."""
        usable = self.usable(req.exclude)
        if not usable:
            return None
        batch = configuration.ServiceClass.BATCH

        def load_key(upstream: ids.UpstreamId) -> tuple[float, int]:
            load = self.members[upstream].load
            return load.backlog_tokens(batch, now), load.running()

        return self._make_choice(min(usable, key=load_key), "least loaded")


class PrefixHashPolicy(BaselinePolicy):
    """Chooses the first upstream in the rendezvous order of the prompt's first piece."""

    def choose(self, req: members.PlacementRequest, now: float) -> members.Choice | None:
        """See `members.Policy.choose`."""
        usable = set(self.usable(req.exclude))
        key = req.prompt.pieces[0] if req.prompt.pieces else req.request.encode()
        for upstream in self.order.first(key, len(self.members)):
            if upstream in usable:
                return self._make_choice(upstream, "hash")
        return None


class ClairvoyantPolicy(members.Policy):
    """Chooses by the exact current state of all caches and queues.

    It runs in a single router and serves as the bound that other policies are compared with.
    """

    def __init__(
        self,
        pool: configuration.Pool,
        failure_domain: ids.FailureDomainId,
        now: float,
        true_state: TrueState,
    ) -> None:
        self._engines = true_state.engines
        self._keep = true_state.keep
        super().__init__(pool, failure_domain, now)

    def choose(self, req: members.PlacementRequest, now: float) -> members.Choice | None:
        """See `members.Policy.choose`."""
        kept_pieces = self._keep.prefix_length(req.prompt.pieces)
        estimates = [self._estimate(u, req, kept_pieces) for u in self.usable(req.exclude)]
        if not estimates:
            return None
        chosen = min(estimates, key=lambda estimate: estimate.cost_s)
        return members.Choice(chosen, "exact")

    def record_first_token(
        self,
        choice: members.Estimate,
        prompt: prefix.Prompt,
        first: members.FirstToken,
        now: float,
    ) -> tuple[ids.PieceId, ...]:
        """See `members.Policy.record_first_token`."""
        return prompt.pieces[self._keep.prefix_length(prompt.pieces) :]

    def _estimate(
        self, upstream: ids.UpstreamId, req: members.PlacementRequest, kept_pieces: int
    ) -> members.Estimate:
        engine = self._engines[upstream]
        rate = engine.spec.prefill_tokens_per_s
        interactive = req.service_class is configuration.ServiceClass.INTERACTIVE
        queue_s = engine.exact_queue_wait_s(0 if interactive else math.inf)
        cached = engine.cached_or_queued_prefix(req.prompt.pieces)
        imported = max(0, kept_pieces - cached)
        computed = req.prompt.uncached_tokens(cached + imported)
        imported_tokens = sum(req.prompt.sizes[cached : cached + imported])
        import_s = imported_tokens / engine.spec.import_tokens_per_s
        prefill_s = computed / rate + import_s
        cost_s = queue_s + RECOMPUTE_WEIGHT * prefill_s
        return members.Estimate(upstream, cached, imported, queue_s, prefill_s, 0.0, cost_s)


def make_factory(name: PolicyName, seed: int, true_state: TrueState) -> traffic.PolicyFactory:
    """Returns a factory that makes the named policy for each model pool.

    Pools of other kinds get `placement.PlainPlacement`.

    Args:
        name: Name of the policy.
        seed: Seed of the random policy and starting position of the round-robin policy.
        true_state: Exact state of the engines and the keep, for the clairvoyant policy.
    """

    def make_policy(
        pool: configuration.Pool, failure_domain: ids.FailureDomainId, now: float
    ) -> members.Policy:
        if pool.kind is not configuration.PoolKind.MODEL:
            return placement.PlainPlacement(pool, failure_domain, now)
        if name is PolicyName.RANDOM:
            return RandomPolicy(pool, failure_domain, now, seed)
        if name is PolicyName.ROUND_ROBIN:
            return RoundRobinPolicy(pool, failure_domain, now, seed)
        if name is PolicyName.LEAST_LOADED:
            return LeastLoadedPolicy(pool, failure_domain, now)
        if name is PolicyName.PREFIX_HASH:
            return PrefixHashPolicy(pool, failure_domain, now)
        if name is PolicyName.CLAIRVOYANT:
            return ClairvoyantPolicy(pool, failure_domain, now, true_state)
        features = FEATURES_BY_POLICY.get(name, placement.Features())
        return placement.PrefixPlacement(pool, failure_domain, now, features)

    return make_policy
