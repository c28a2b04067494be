"""Inputs and results of the traffic decisions."""

import dataclasses
import math

from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import poison
from cicadapier._internal.decisions import prefix
from cicadapier._internal.decisions.scarcity import urgency as urgencies
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSpec:
    """A request that is submitted for admission.

    Attributes:
        request: Its id.
        account: Client account.
        pool: Pool that serves the request.
        prompt: Its prompt, split into pieces; without pieces for plain services.
        output_tokens: Maximum number of tokens of the answer.
        fingerprint: Identity by which it is blocked if it crashes upstreams.
        weights: Weights that its pieces belong to; None where any weights are accepted.
        model: Model that it names, if newer weights are to be preferred to older ones.
        max_wait_s: Maximum time in the queue; None for the default of its pool.
        default_account: Settings for a caller without an account; None where it must have one.
        needs_backup: Whether the memory of its run is to be backed up.
        parts: Shared parts of its prompt, by which it is blocked if one of them crashes upstreams.
        software: Version of the software that began the stream that it resumes; None where any
            version may answer.
        urgency: Its urgency, which orders requests while the engines have no room for all.
        objective_s: Time to the first event after which its answer is late; None for no limit.
        return_within_s: Time within which its caller may come back after a refusal; None if the
            caller does not say.
    """

    request: ids.RequestId
    account: ids.AccountId
    pool: ids.PoolId
    prompt: prefix.Prompt
    output_tokens: int
    fingerprint: ids.Fingerprint
    weights: members.Weights | None = None
    model: ids.ModelId | None = None
    max_wait_s: float | None = None
    default_account: configuration.Account | None = None
    needs_backup: bool = False
    parts: tuple[ids.PartId, ...] = ()
    software: str | None = None
    urgency: urgencies.Urgency = urgencies.MOST_URGENT
    objective_s: float | None = None
    return_within_s: float | None = None

    @property
    def subject(self) -> poison.Subject:
        """The request as the poison detector knows it."""
        return poison.Subject(self.fingerprint, self.parts)

    @property
    def memory_tokens(self) -> int:
        """Memory that the request takes while it runs."""
        return self.prompt.total_tokens + self.output_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """The request is to be sent to the chosen upstream now.

    Attributes:
        request: Its id.
        choice: The upstream and the reason for its choice.
        address: Address of the upstream.
        incarnation: Last known incarnation of the upstream.
        queued_s: Time that the request waited for a slot.
        weights: Weights version that the upstream reported last, if it reports any.
        backup: Upstream that is to back up the run's memory, if any.
        continues: Whether the run continues from the backup that the upstream holds.
        start_deadline: Time until which the request may begin on these weights.
        granted: Whether the request may be sent to an upstream that limits the requests of all
            routers together.
        software: Version of the upstream's software; empty if it is unknown.
    """

    request: ids.RequestId
    choice: members.Choice
    address: ids.Address
    incarnation: ids.Incarnation
    queued_s: float
    weights: str | None = None
    backup: ids.UpstreamId | None = None
    continues: bool = False
    start_deadline: float = math.inf
    granted: bool = False
    software: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Failover:
    """A run continues from its backup, and its former attempt may be given up.

    Attributes:
        placed: Placement of the run at its backup.
        crash: New evidence against the request, which must be sent to the other routers, or None.
    """

    placed: Placed
    crash: poison.Evidence | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """An attempt was replaced by another one.

    Attributes:
        reason: Reason of the replacement.
        former: Outcome of the replaced attempt.
        offset: Tokens of the answer that were relayed to the caller.
        placed: Placement of the attempt that replaces it.
    """

    reason: str
    former: outcomes.AttemptOutcome
    offset: int
    placed: Placed


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request is refused."""

    request: ids.RequestId
    refusal: outcomes.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Explained:
    """The upstream that would be chosen, and the estimate for each candidate.

    Attributes:
        choice: The choice.
        candidates: Estimate for each candidate.
        blocked: Why the request would be refused all the same; empty if it would run.
    """

    choice: members.Choice
    candidates: tuple[members.Estimate, ...]
    blocked: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Export:
    """An upstream is to export cached pieces to the pool's keep, its external KV cache store.

    Attributes:
        pool: Pool of the upstream.
        upstream: The upstream, which has the pieces cached.
        pieces: The pieces to export, from the start of the prompt.
    """

    pool: ids.PoolId
    upstream: ids.UpstreamId
    pieces: tuple[ids.PieceId, ...]


Decision = Placed | Refused
