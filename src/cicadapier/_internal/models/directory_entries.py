"""Entries of the directory in which upstreams register themselves."""

import dataclasses

from cicadapier._internal.models import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """What an upstream has registered about itself.

    Attributes:
        upstream: Id of the upstream.
        pool: Pool that it belongs to.
        address: Address that it listens on.
        failure_domain: Failure domain that it runs in.
        incarnation: Identity of its process; changes when the upstream restarts under the same id.
        slots: Number of requests that it can run at once.
        leaving: Whether it is leaving and gets no new requests.
        weights: Weights version of each model that it serves.
        software: Version of its software; empty if it does not say.
    """

    upstream: ids.UpstreamId
    pool: ids.PoolId
    address: ids.Address
    failure_domain: ids.FailureDomainId
    incarnation: ids.Incarnation
    slots: int
    leaving: bool
    weights: dict[ids.ModelId, str]
    software: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableEntry:
    """An entry that does not contain a valid registration.

    Attributes:
        name: Name of the entry.
        reason: What is wrong with it.
    """

    name: str
    reason: str


Entry = Registration | UnreadableEntry
