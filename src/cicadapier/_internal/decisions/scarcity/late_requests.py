"""Observations of how long requests in progress take to their first event.

In a collapse, late requests bring no first event for long, so a request counts as soon as it is
late.
"""

import collections.abc

from cicadapier._internal.decisions import in_flight
from cicadapier._internal.decisions import observations
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids

Pools = collections.abc.Mapping[ids.PoolId, observations.PoolState]


def record_first_event(pools: Pools, active: in_flight.ActiveRequest, now: float) -> None:
    """Records the delay of the first event of a request, unless it has been recorded."""
    state = pools.get(active.request_spec.pool)
    if (
        state is None
        or state.scarcity is None
        or state.spec.kind is not configuration.PoolKind.MODEL
    ):
        return
    if active.attempt is None or active.is_observed:
        return
    active.is_observed = True
    delay_s = now - active.attempt.started_at
    state.scarcity.record_first_event(active.request_spec, delay_s, now)


def record_late(
    pools: Pools, requests: collections.abc.Iterable[in_flight.ActiveRequest], now: float
) -> None:
    """Records the requests that are late and have no first event yet."""
    for active in requests:
        objective_s = active.request_spec.objective_s
        if objective_s is None or active.attempt is None or active.is_observed:
            continue
        if now - active.attempt.started_at > objective_s:
            record_first_event(pools, active, now)
