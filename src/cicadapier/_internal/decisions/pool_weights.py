"""Weights that the upstreams of one pool serve, compared with those that were named."""

from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import named_weights
from cicadapier._internal.decisions import observations
from cicadapier._internal.decisions import rollout
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids

OUTDATED_PENALTY_S = 0.15  # What an answer on older weights loses, in time to first token.


def compare(
    state: observations.PoolState,
    named: named_weights.NamedWeights,
    model: ids.ModelId | None,
    now: float,
) -> None:
    """Bars members whose weights are too old for a request, and makes merely older ones dearer.

    Args:
        state: The pool.
        named: Weights that were named.
        model: Model that the request names; without any, all weights will do.
        now: Present time.
    """
    for member in state.policy.members.values():
        standing = _standing(member, named, model, now)
        member.barred = standing is named_weights.Standing.BARRED
        outdated = standing is named_weights.Standing.OUTDATED
        member.penalty_s = OUTDATED_PENALTY_S if outdated else 0.0


def _standing(
    member: members.Member,
    named: named_weights.NamedWeights,
    model: ids.ModelId | None,
    now: float,
) -> named_weights.Standing:
    if model is None:
        return named_weights.Standing.CURRENT
    backlog = member.load.backlog_tokens(configuration.ServiceClass.INTERACTIVE, now)
    wait_s = backlog / member.load.prefill_tokens_per_s
    return named.standing(model, member.versions.get(model), now, wait_s)


def engines(
    state: observations.PoolState,
    named: named_weights.NamedWeights,
    model: ids.ModelId,
    now: float,
) -> tuple[rollout.Engine, ...]:
    """Returns the engines that are not leaving, as a router that orders sees them."""
    found = []
    for upstream, member in state.policy.members.items():
        if member.spec.leaving:
            continue
        version = member.versions.get(model, "")
        number = int(version) if version.isdigit() else None
        running = member.load.running()
        left_s = named.time_left_s(model, version, now)
        found.append(rollout.Engine(upstream, member.spec.incarnation, number, running, left_s))
    return tuple(found)
