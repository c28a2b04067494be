"""Backups of a run's memory, from which its stream continues after its engine is lost.

They serve long streams that must not run twice and whose engine crashes or is cut off from the
network. The engine replicates the memory of the run to another engine as it grows. A run fails over
to its backup only when its engine is unreachable: it must not continue on two engines at once.
"""

import collections.abc
import dataclasses
import hashlib

from cicadapier._internal.decisions import members
from cicadapier._internal.models import ids

# Output tokens per prompt token from which on a run lasts long enough to be worth its backup.
MIN_OUTPUT_RATIO = 0.1

Members = collections.abc.Mapping[ids.UpstreamId, members.Member]


@dataclasses.dataclass(frozen=True, slots=True)
class Backup:
    """The location of the backup of a run's memory.

    Attributes:
        primary: Upstream that runs the request.
        upstream: Upstream that holds the backup.
        incarnation: Incarnation of that upstream when it was chosen.
        weights: Weights of both upstreams, to which the memory belongs.
        software: Version of the software of both, which alone can continue the run.
    """

    primary: ids.UpstreamId
    upstream: ids.UpstreamId
    incarnation: ids.Incarnation
    weights: members.Weights
    software: str = ""


def is_worthwhile(prompt_tokens: int, output_tokens: int) -> bool:
    """Returns whether a run is likely to be worth the cost of its backup."""
    return output_tokens >= MIN_OUTPUT_RATIO * prompt_tokens


def choose_backup(
    pool_members: Members,
    primary: ids.UpstreamId,
    model: ids.ModelId,
    router_domain: ids.FailureDomainId,
    request: ids.RequestId,
) -> Backup | None:
    """Returns where to back up a run, or None where no upstream is suitable.

    Where possible, the backup is outside the primary's failure domain, to survive the loss of that
    domain, and inside this router's own, so that a network partition between failure domains does
    not separate the router from it. Backups of different runs are spread over equally suitable
    upstreams, because an upstream that loads weights drops all backups that it holds.

    Args:
        pool_members: The upstreams of the pool.
        primary: Upstream that will run the request.
        model: Model that the request names.
        router_domain: Failure domain of this router.
        request: Id of the request.
    """
    primary_member = pool_members[primary]
    version = primary_member.versions.get(model)
    if version is None:
        return None

    def rank(upstream: ids.UpstreamId) -> tuple[bool, bool, int, bytes]:
        spec = pool_members[upstream].spec
        shares_domain = spec.failure_domain == primary_member.spec.failure_domain
        is_remote = spec.failure_domain != router_domain
        tie_breaker = hashlib.blake2b(f"{request}/{upstream}".encode(), digest_size=8).digest()
        return shares_domain, is_remote, pool_members[upstream].load.running(), tie_breaker

    candidates = [
        upstream
        for upstream, member in pool_members.items()
        if upstream != primary
        and member.usable
        and member.grants is None  # The run would have to wait for a grant there.
        and member.versions.get(model) == version
        and member.spec.software == primary_member.spec.software
    ]
    if not candidates:
        return None
    chosen = min(candidates, key=rank)
    weights = members.Weights(model, version)
    spec = pool_members[chosen].spec
    return Backup(primary, chosen, spec.incarnation, weights, spec.software)


def can_continue(pool_members: Members, backup: Backup) -> bool:
    """Returns whether a run may continue from its backup.

    Memory that belongs to other weights must not be used, and an engine that loads weights drops
    the backups that it holds.
    """
    member = pool_members.get(backup.upstream)
    if member is None or not member.usable or member.spec.incarnation != backup.incarnation:
        return False
    primary = pool_members.get(backup.primary)
    if member.spec.software != backup.software:
        return False
    holders = [member] if primary is None else [member, primary]
    weights = backup.weights
    if primary is not None and primary.loading:
        return False
    return all(holder.versions.get(weights.model) == weights.version for holder in holders)
