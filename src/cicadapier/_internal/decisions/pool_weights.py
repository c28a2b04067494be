"""Comparison of the weights that the upstreams of one pool serve with the target weights."""

from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import observations
from cicadapier._internal.decisions import rollout
from cicadapier._internal.decisions import target_weights
from cicadapier._internal.decisions import weights_versions
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids

# Cost of an answer on outdated weights, expressed as time to first token.
OUTDATED_PENALTY_S = 0.15


def mark_outdated_members(
    state: observations.PoolState,
    targets: target_weights.TargetWeights,
    model: ids.ModelId | None,
    now: float,
) -> None:
    """Marks members whose weights have expired for a request, and penalizes outdated ones.

    Args:
        state: State of the pool.
        targets: Target weights versions.
        model: Requested model; if None, any weights are accepted.
        now: Current time.
    """
    for member in state.policy.members.values():
        status = _version_status(member, targets, model, now)
        member.weights_expired = status is target_weights.VersionStatus.EXPIRED
        outdated = status is target_weights.VersionStatus.OUTDATED
        member.penalty_s = OUTDATED_PENALTY_S if outdated else 0.0


def _version_status(
    member: members.Member,
    targets: target_weights.TargetWeights,
    model: ids.ModelId | None,
    now: float,
) -> target_weights.VersionStatus:
    if model is None:
        return target_weights.VersionStatus.CURRENT
    backlog = member.load.backlog_tokens(configuration.ServiceClass.INTERACTIVE, now)
    wait_s = backlog / member.load.prefill_tokens_per_s
    return targets.status(model, member.versions.get(model), now, wait_s)


def engines(
    state: observations.PoolState,
    targets: target_weights.TargetWeights,
    model: ids.ModelId,
    now: float,
) -> tuple[rollout.Engine, ...]:
    """Returns the engines that are not leaving, as input for a weights roll-out."""
    found = []
    for upstream, member in state.policy.members.items():
        if member.spec.leaving:
            continue
        version = member.versions.get(model, "")
        number = weights_versions.number_of(version)
        running = member.load.running()
        remaining_s = targets.remaining_s(model, version, now)
        found.append(
            rollout.Engine(upstream, member.spec.incarnation, number, running, remaining_s)
        )
    return tuple(found)
