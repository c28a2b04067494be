"""Effects of the end of an attempt on what is known of its upstream."""

from cicadapier._internal.decisions import in_flight
from cicadapier._internal.decisions import observations
from cicadapier._internal.decisions import placement
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes


def release_capacity(
    state: observations.PoolState,
    active: in_flight.ActiveRequest,
    attempt: in_flight.Attempt,
    now: float,
) -> None:
    """Releases the capacity that an attempt takes on its upstream."""
    duration_s = now - attempt.started_at
    state.policy.record_finished(
        attempt.estimate.upstream, active.request_spec.memory_tokens, duration_s
    )


def correct_weights(
    state: observations.PoolState,
    active: in_flight.ActiveRequest,
    attempt: in_flight.Attempt,
    refusal: outcomes.RefusedBeforeRunning,
) -> None:
    """Records the weights of an upstream that refused a request because they are too old.

    The request was sent because the upstream was believed to serve newer weights, so this is no
    outdated report.
    """
    upstream = attempt.estimate.upstream
    member = state.policy.members.get(upstream)
    model = active.request_spec.model
    if member is None or model is None or member.spec.incarnation != attempt.incarnation:
        return
    served = refusal.served_weights
    if served is None or member.versions.get(model) != refusal.expected_weights:
        return
    member.versions[model] = served
    state.policy.weights_reloaded(upstream)


def forget_pieces(
    state: observations.PoolState, active: in_flight.ActiveRequest, upstream: ids.UpstreamId
) -> None:
    """Removes the pieces that an attempt was expected to add to its upstream's cache."""
    if isinstance(state.policy, placement.PrefixPlacement):
        state.policy.cache_index.remove_in_flight(upstream, active.request_spec.prompt.pieces)
