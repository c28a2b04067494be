"""Computes how many grants a router needs for the rate-limited upstreams of a pool."""

import math

from cicadapier._internal.decisions import observations
from cicadapier._internal.decisions import quotas
from cicadapier._internal.models import ids

MIN_REQUESTS_PER_S = 0.1  # Below this request rate, no grants are prefetched for a pool.


def grant_demands(state: observations.PoolState, now: float) -> dict[ids.UpstreamId, quotas.Demand]:
    """Returns the demand for each limited upstream in addition to the grants that are held."""
    limited = {
        upstream: member
        for upstream, member in state.policy.members.items()
        if member.grants is not None and not member.spec.leaving
    }
    if not limited:
        return {}
    queued = math.ceil(len(state.queue) / len(limited))
    prefetch = 0 if queued else _prefetch(state.request_rate.per_s(now))
    demands = {}
    for upstream, member in limited.items():
        assert member.grants is not None
        control = int(now < member.control_reserved_until)
        demand = quotas.Demand(control, queued, prefetch)
        demands[upstream] = demand.subtract(member.grants.held(now))
    return demands


def _prefetch(requests_per_s: float) -> int:
    """Returns the number of requests expected for a pool within the lifetime of a grant."""
    if requests_per_s < MIN_REQUESTS_PER_S:
        return 0
    return math.ceil(requests_per_s * quotas.GRANT_LIFETIME_S)
