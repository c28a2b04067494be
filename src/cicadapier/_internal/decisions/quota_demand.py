"""How many grants a router wants for the limited upstreams of a pool."""

import math

from cicadapier._internal.decisions import observations
from cicadapier._internal.decisions import quotas
from cicadapier._internal.models import ids

MIN_REQUESTS_PER_S = 0.1  # A pool that is asked for less often wants no grants in advance.


def grant_demands(state: observations.PoolState, now: float) -> dict[ids.UpstreamId, quotas.Demand]:
    """Returns what is wanted for each limited upstream beside what is held."""
    limited = {
        upstream: member
        for upstream, member in state.policy.members.items()
        if member.grants is not None and not member.spec.leaving
    }
    if not limited:
        return {}
    queued = math.ceil(len(state.queue) / len(limited))
    prefetch = 0 if queued else _prefetch(state.request_rate.per_s(now))
    found = {}
    for upstream, member in limited.items():
        assert member.grants is not None
        control = int(now < member.control_reserved_until)
        demand = quotas.Demand(control, queued, prefetch)
        found[upstream] = demand.subtract(member.grants.held(now))
    return found


def _prefetch(requests_per_s: float) -> int:
    """Returns the requests that may come for a pool while a grant can be used."""
    if requests_per_s < MIN_REQUESTS_PER_S:
        return 0
    return math.ceil(requests_per_s * quotas.GRANT_LIFETIME_S)
