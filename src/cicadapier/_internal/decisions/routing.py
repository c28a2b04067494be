"""What enters the traffic decisions and what they answer."""

import dataclasses
import math

from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import poison
from cicadapier._internal.decisions import prefix
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A request that enters the router.

    Attributes:
        request: Its id.
        account: Client account.
        pool: Pool that serves it.
        prompt: Its pieces; without any for plain services.
        output_tokens: Bound on the tokens of the answer.
        fingerprint: Identity by which it is held back where it crashes upstreams.
        weights: Weights that its pieces belong to; None where any will do.
        model: Model that it names, where newer weights are preferred to older ones.
        max_wait_s: Longest wait for a slot; None leaves it to the pool.
        default_account: Terms of a caller without account; None where it must have one.
        needs_backup: Whether to have the memory of its run backed up.
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

    @property
    def memory_tokens(self) -> int:
        """Memory that it takes while it runs."""
        return self.prompt.total_tokens + self.output_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """Send the request to the chosen upstream now.

    Attributes:
        request: Its id.
        choice: The upstream and why.
        address: Address of the upstream.
        incarnation: Last known incarnation of the upstream.
        queued_s: Time that the request waited for a slot.
        weights: Weights version that the upstream is believed to serve, where it tells it.
        backup: Upstream that is to back up the run's memory, if any.
        continues: Whether the run goes on from the backup that the upstream holds.
        begin_by: Time until which it may begin on these weights.
        granted: Whether it may be sent to an upstream that limits the requests of all routers.
    """

    request: ids.RequestId
    choice: members.Choice
    address: ids.Address
    incarnation: ids.Incarnation
    queued_s: float
    weights: str | None = None
    backup: ids.UpstreamId | None = None
    continues: bool = False
    begin_by: float = math.inf
    granted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Failover:
    """An attempt has its place, and the one under way may be given up.

    Attributes:
        placed: Where the request goes on.
        crash: New evidence against the request, which the other routers must learn of.
    """

    placed: Placed
    crash: poison.Crash | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """An attempt has given way to another one.

    Attributes:
        reason: Why.
        former: How it ended.
        offset: Tokens that were relayed to the caller.
        placed: Where the request goes on.
    """

    reason: str
    former: outcomes.AttemptOutcome
    offset: int
    placed: Placed


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Refuse the request."""

    request: ids.RequestId
    refusal: outcomes.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Explained:
    """A choice and the estimate for each candidate."""

    choice: members.Choice
    candidates: tuple[members.Estimate, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Export:
    """Have an upstream export pieces to the pool's keep.

    Attributes:
        pool: Pool of the upstream.
        upstream: The upstream, which has the pieces cached.
        pieces: The pieces, outermost first.
    """

    pool: ids.PoolId
    upstream: ids.UpstreamId
    pieces: tuple[ids.PieceId, ...]


Decision = Placed | Refused
