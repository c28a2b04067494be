"""Messages to the traffic service."""

import dataclasses

from cicadapier._internal.decisions import health
from cicadapier._internal.decisions import limits
from cicadapier._internal.decisions import load
from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import observations
from cicadapier._internal.decisions import peer_updates
from cicadapier._internal.decisions import poison
from cicadapier._internal.decisions import rollout
from cicadapier._internal.decisions import routing
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """Admits and places a request."""

    entry: routing.Entry
    reply: "mailbox.Reply[routing.Decision]"


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Places a request anew after a failed attempt.

    Attributes:
        request: Its id.
        reply: Gets the decision.
        continues: Whether its run goes on from its backup.
    """

    request: ids.RequestId
    reply: "mailbox.Reply[routing.Decision]"
    continues: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceHedge:
    """Asks where an attempt can take over from the present one, which is silent.

    Attributes:
        request: Its id.
        reply: Gets the place, None where there is no other.
    """

    request: ids.RequestId
    reply: "mailbox.Reply[routing.Placed | None]"


@dataclasses.dataclass(frozen=True, slots=True)
class HedgeEnded:
    """A hedge replaced its attempt or ended; the reply carries new evidence of a crash.

    Attributes:
        request: Its id.
        reply: Gets the evidence, if any.
        former: How the attempt ended from which it took over, None where it did not.
        outcome: How the hedge ended otherwise, None where it was not needed any more.
    """

    request: ids.RequestId
    reply: "mailbox.Reply[poison.Crash | None]"
    former: outcomes.AttemptOutcome | None = None
    outcome: outcomes.AttemptOutcome | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FailOver:
    """Has a run go on from its backup, as its upstream cannot be reached.

    Attributes:
        request: Its id.
        reply: Gets the place, None where it cannot go on.
    """

    request: ids.RequestId
    reply: "mailbox.Reply[routing.Failover | None]"


@dataclasses.dataclass(frozen=True, slots=True)
class ReportSilence:
    """The present attempt at a request shows no progress, and is waited for."""

    request: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class FirstTokenReceived:
    """The answer to a request has begun."""

    request: ids.RequestId
    first: members.FirstToken


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended; the reply carries new evidence of a crash, if any."""

    request: ids.RequestId
    outcome: outcomes.AttemptOutcome
    reply: "mailbox.Reply[poison.Crash | None]"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded:
    """A request has ended."""

    request: ids.RequestId
    ran: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A new configuration is in force."""

    cfg: configuration.NumberedConfiguration


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReported:
    """An upstream has told its load, its incarnation and whether it is leaving."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
    incarnation: ids.Incarnation
    leaving: bool
    report: load.Report
    versions: dict[ids.ModelId, str]


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReported:
    """What an upstream has told of itself with an answer.

    Attributes:
        pool: Its pool.
        upstream: The upstream.
        running: Requests that it has, None where it did not say.
        weights: Model and weights version that it serves, None where it did not say.
    """

    pool: ids.PoolId
    upstream: ids.UpstreamId
    running: int | None
    weights: members.Weights | None


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamPaused:
    """An upstream gets no requests until a time of trio's clock, as it has asked."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class LimitChanged:
    """An upstream limits the requests of all routers, or does so no more.

    Attributes:
        pool: Its pool.
        upstream: The upstream.
        limited: Whether it does.
        resume_at: Time of trio's clock from which on it is sent to without grants.
    """

    pool: ids.PoolId
    upstream: ids.UpstreamId
    limited: bool
    resume_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class GrantsReceived:
    """Requests that this router may send to a limited upstream.

    Attributes:
        pool: Its pool.
        upstream: The upstream.
        count: Number of requests.
        until: Time of trio's clock until which they may be sent.
    """

    pool: ids.PoolId
    upstream: ids.UpstreamId
    count: int
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class UseGrant:
    """Asks whether a report or an order may be sent to an upstream now."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
    reply: "mailbox.Reply[bool]"


@dataclasses.dataclass(frozen=True, slots=True)
class TargetVersionSet:
    """Operators have named a weights version.

    Attributes:
        model: The model.
        version: The version.
        age_s: Time that may have passed since.
    """

    model: ids.ModelId
    version: int
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsReported:
    """An upstream serves a weights version, by its own word or that of who ordered it."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
    model: ids.ModelId
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsLoading:
    """An upstream is about to load weights; to be believed until a time."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class GetEngines:
    """Asks for the engines of a pool as a router that orders sees them."""

    pool: ids.PoolId
    model: ids.ModelId
    reply: "mailbox.Reply[tuple[rollout.Engine, ...]]"


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeFailed:
    """An upstream did not answer a load query."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
    certain: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CacheChanged:
    """A cache event of an upstream; the reply tells whether its sequence is without a gap."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
    event: observations.CacheEvent
    reply: "mailbox.Reply[bool]"


@dataclasses.dataclass(frozen=True, slots=True)
class CacheSnapshot:
    """All that an upstream has cached."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
    incarnation: ids.Incarnation
    sequence: int
    pieces: tuple[ids.PieceId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamListed:
    """The platform's list says whether an upstream is leaving."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PeerTraffic:
    """What another router has sent to upstreams since its last message."""

    delta: peer_updates.UpdateDelta


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAccountUse:
    """Use of accounts by all other routers, and their number with this one."""

    routers: int
    use: dict[ids.AccountId, limits.RemoteUse]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerCrashes:
    """Evidence against requests from another router."""

    crashes: tuple[poison.Crash, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PiecesExported:
    """Pieces were exported to the pool's keep."""

    pool: ids.PoolId
    pieces: tuple[ids.PieceId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Explain:
    """Asks for the choice that would be made for a request."""

    entry: routing.Entry
    reply: "mailbox.Reply[routing.Explained | None]"


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """What the peers are told of this router's traffic."""

    sends: tuple[peer_updates.SentWork, ...]
    placed: tuple[peer_updates.PlacedPieces, ...]
    use: dict[ids.AccountId, limits.RemoteUse]
    crashes: tuple[poison.Crash, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GetDigest:
    """Asks for a digest; its sends are counted from this router's start."""

    reply: "mailbox.Reply[Digest]"


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """State of one upstream."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
    address: ids.Address
    failure_domain: ids.FailureDomainId
    state: health.UpstreamState
    incarnation: ids.Incarnation
    running: int
    backlog_tokens: float
    cached_pieces: int


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """State of the router's traffic."""

    active_requests: int
    queued: dict[ids.PoolId, int]
    upstreams: tuple[UpstreamStatus, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GetStatus:
    """Asks for the state of the router's traffic."""

    reply: "mailbox.Reply[Status]"


Message = (
    Admit
    | Retry
    | PlaceHedge
    | HedgeEnded
    | FailOver
    | ReportSilence
    | FirstTokenReceived
    | AttemptEnded
    | RequestEnded
    | ConfigurationChanged
    | LoadReported
    | StatusReported
    | TargetVersionSet
    | WeightsReported
    | WeightsLoading
    | UpstreamPaused
    | LimitChanged
    | GrantsReceived
    | UseGrant
    | GetEngines
    | ProbeFailed
    | CacheChanged
    | CacheSnapshot
    | UpstreamListed
    | PeerTraffic
    | PeerAccountUse
    | PeerCrashes
    | PiecesExported
    | Explain
    | GetDigest
    | GetStatus
)
