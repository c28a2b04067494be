"""How many grants a router wants for the limited upstreams of a pool."""

import math

from cicadapier._internal.decisions import observations
from cicadapier._internal.decisions import quotas
from cicadapier._internal.models import ids

MIN_ASKED_PER_S = 0.1  # A pool that is asked for less often wants no grants in advance.


def demands(state: observations.PoolState, now: float) -> dict[ids.UpstreamId, quotas.Demand]:
    """Returns what is wanted for each limited upstream beside what is held."""
    limited = {
        upstream: member
        for upstream, member in state.policy.members.items()
        if member.grants is not None and not member.spec.leaving
    }
    if not limited:
        return {}
    queued = math.ceil(len(state.queue) / len(limited))
    spare = 0 if queued else _spare(state.request_rate.per_s(now))
    found = {}
    for upstream, member in limited.items():
        assert member.grants is not None
        control = int(now < member.control_reserved_until)
        demand = quotas.Demand(control, queued, spare)
        found[upstream] = demand.granted(member.grants.held(now))
    return found


def _spare(asked_per_s: float) -> int:
    """Returns the requests that may come for a pool while a grant can be used."""
    if asked_per_s < MIN_ASKED_PER_S:
        return 0
    return math.ceil(asked_per_s * quotas.GRANT_S)
