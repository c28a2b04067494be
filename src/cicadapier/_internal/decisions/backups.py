"""Backups of a run's memory, from which its stream goes on after its engine is lost.

They answer engines that crash, or are cut off, under long streams that must not run twice. The
engine sends the memory of the run to another one as it grows. Only an engine that nobody reaches
any more is given up for its backup: the run may not go on at two engines at once.
"""

import collections.abc
import dataclasses
import hashlib

from cicadapier._internal.decisions import members
from cicadapier._internal.models import ids

# Output tokens for each prompt token from which on a run lasts long enough to pay for its backup.
MIN_OUTPUT_RATIO = 0.1

Members = collections.abc.Mapping[ids.UpstreamId, members.Member]


@dataclasses.dataclass(frozen=True, slots=True)
class Backup:
    """Where the memory of a run is backed up.

    Attributes:
        primary: Upstream that runs the request.
        upstream: Upstream that holds the backup.
        incarnation: Incarnation of that one as it was chosen.
        weights: Weights version of both, which the memory belongs to.
    """

    primary: ids.UpstreamId
    upstream: ids.UpstreamId
    incarnation: ids.Incarnation
    weights: members.Weights


def is_worthwhile(prompt_tokens: int, output_tokens: int) -> bool:
    """Returns whether a run is likely to be worth its backup."""
    return output_tokens >= MIN_OUTPUT_RATIO * prompt_tokens


def choose_backup(
    pool_members: Members,
    primary: ids.UpstreamId,
    model: ids.ModelId,
    router_domain: ids.FailureDomainId,
    request: ids.RequestId,
) -> Backup | None:
    """Returns where to back up a run, or None where nothing fits.

    The backup survives the loss of the primary's failure domain where that is possible, and is
    near this router, which a cut between failure domains then does not part from it. Upstreams
    that are equal for it share the backups of all runs, as one that loads weights drops its own.

    Args:
        pool_members: The upstreams of the pool.
        primary: Upstream that will run the request.
        model: Model that it names.
        router_domain: Failure domain of this router.
        request: The request that runs.
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
        and member.grants is None  # The run could not go on there at once.
        and member.versions.get(model) == version
    ]
    if not candidates:
        return None
    chosen = min(candidates, key=rank)
    weights = members.Weights(model, version)
    return Backup(primary, chosen, pool_members[chosen].spec.incarnation, weights)


def can_continue(pool_members: Members, backup: Backup) -> bool:
    """Returns whether a run may go on from its backup.

    Memory of other weights must not be used, and an engine that loads drops what it holds.
    """
    member = pool_members.get(backup.upstream)
    if member is None or not member.usable or member.spec.incarnation != backup.incarnation:
        return False
    primary = pool_members.get(backup.primary)
    holders = [member] if primary is None else [member, primary]
    weights = backup.weights
    if primary is not None and primary.loading:
        return False
    return all(holder.versions.get(weights.model) == weights.version for holder in holders)
