"""Entries of the directory in which upstreams register themselves."""

import dataclasses

from cicadapier._internal.models import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """What an upstream says of itself.

    Attributes:
        upstream: Its id.
        pool: Pool that it belongs to.
        address: Where it listens.
        failure_domain: Failure domain that it runs in.
        incarnation: Its start; the same id may start again.
        slots: Requests that it runs at once.
        leaving: Whether it is being withdrawn.
        weights: Weights version of each model that it serves.
    """

    upstream: ids.UpstreamId
    pool: ids.PoolId
    address: ids.Address
    failure_domain: ids.FailureDomainId
    incarnation: ids.Incarnation
    slots: int
    leaving: bool
    weights: dict[ids.ModelId, str]


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableEntry:
    """An entry that names no upstream to use.

    Attributes:
        name: Its name.
        reason: What is wrong with it.
    """

    name: str
    reason: str


Entry = Registration | UnreadableEntry
