"""Messages about requests that upstreams have rejected."""

import dataclasses

from cicadapier._internal.models import ids


@dataclasses.dataclass(frozen=True, slots=True)
class BrittleUpstreamRejected:
    """An upstream that falls over when it rejects too many requests has rejected one.

    Attributes:
        pool: Pool of the upstream.
        upstream: The upstream.
        interval_s: Time after which one more request is tried than those that are there.
    """

    pool: ids.PoolId
    upstream: ids.UpstreamId
    interval_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class BrittlenessEnded:
    """An upstream does not fall over any more when it rejects requests."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
