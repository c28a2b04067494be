"""Messages to the traffic service.

Times are on the clock of `trio.current_time()`.
"""

import dataclasses

from cicadapier._internal.decisions import crash_causes
from cicadapier._internal.decisions import health
from cicadapier._internal.decisions import limits
from cicadapier._internal.decisions import load
from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import observations
from cicadapier._internal.decisions import peer_updates
from cicadapier._internal.decisions import poison
from cicadapier._internal.decisions import rollout
from cicadapier._internal.decisions import routing
from cicadapier._internal.decisions.uneven import stated_load
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.services import rejection_messages


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """Requests admission and placement of a request."""

    request_spec: routing.RequestSpec
    reply: "mailbox.Reply[routing.Decision]"


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Requests another placement of a request after a failed attempt.

    Attributes:
        request: Request id.
        reply: Receives the decision.
        continues: Whether the run continues from its backup.
    """

    request: ids.RequestId
    reply: "mailbox.Reply[routing.Decision]"
    continues: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceHedge:
    """Requests a placement for a hedge, because the current attempt makes no progress.

    Attributes:
        request: Request id.
        reply: Receives the placement, or None if no other upstream is available.
    """

    request: ids.RequestId
    reply: "mailbox.Reply[routing.Placed | None]"


@dataclasses.dataclass(frozen=True, slots=True)
class HedgeEnded:
    """A hedge has replaced its attempt or has ended.

    Attributes:
        request: Request id.
        reply: Receives new evidence of a crash, or None.
        former: Outcome of the attempt that the hedge replaced; None if it replaced none.
        outcome: Outcome of a hedge that replaced no attempt; None if it was no longer needed.
    """

    request: ids.RequestId
    reply: "mailbox.Reply[poison.Evidence | None]"
    former: outcomes.AttemptOutcome | None = None
    outcome: outcomes.AttemptOutcome | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FailOver:
    """Requests a failover of a run to its backup, because its upstream is unreachable.

    Attributes:
        request: Request id.
        reply: Receives the failover, or None if the run cannot continue from a backup.
    """

    request: ids.RequestId
    reply: "mailbox.Reply[routing.Failover | None]"


@dataclasses.dataclass(frozen=True, slots=True)
class ReportSilence:
    """The current attempt of a request makes no progress, and the router keeps waiting for it."""

    request: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class FirstTokenReceived:
    """The first token of the answer to a request has arrived."""

    request: ids.RequestId
    first: members.FirstToken


@dataclasses.dataclass(frozen=True, slots=True)
class OutputBegan:
    """An attempt that goes on with the answer to a request has produced output."""

    request: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended; the reply receives new evidence of a crash, or None."""

    request: ids.RequestId
    outcome: outcomes.AttemptOutcome
    reply: "mailbox.Reply[poison.Evidence | None]"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded:
    """A request has ended.

    Attributes:
        request: Request id.
        ran: Whether it used capacity of an upstream.
    """

    request: ids.RequestId
    ran: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A new configuration is in force."""

    cfg: configuration.NumberedConfiguration


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReported:
    """An upstream has answered a load query."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
    incarnation: ids.Incarnation
    leaving: bool
    report: load.Report
    versions: dict[ids.ModelId, str]


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReported:
    """Status that an upstream has reported with an answer to a request.

    Attributes:
        pool: Pool of the upstream.
        upstream: The upstream.
        load: Load of the upstream; None if not reported.
        weights: Model and weights version that it serves; None if not reported.
    """

    pool: ids.PoolId
    upstream: ids.UpstreamId
    load: stated_load.StatedLoad | None
    weights: members.Weights | None


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamPaused:
    """An upstream has asked to receive no requests before `until`."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class LimitChanged:
    """An upstream has set, changed or lifted its rate limit for all routers together.

    Attributes:
        pool: Pool of the upstream.
        upstream: The upstream.
        limited: Whether a limit is in force.
        resume_at: Time from which requests are sent without grants once the limit is lifted.
    """

    pool: ids.PoolId
    upstream: ids.UpstreamId
    limited: bool
    resume_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class GrantsReceived:
    """Grants allow this router to send requests to a rate-limited upstream.

    Attributes:
        pool: Pool of the upstream.
        upstream: The upstream.
        count: Number of requests.
        until: Time at which the grants expire.
    """

    pool: ids.PoolId
    upstream: ids.UpstreamId
    count: int
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class UseGrant:
    """Requests a grant for a control request (a report or a load order).

    Attributes:
        pool: Pool of the upstream.
        upstream: The upstream.
        reply: Receives whether the control request may be sent now.
    """

    pool: ids.PoolId
    upstream: ids.UpstreamId
    reply: "mailbox.Reply[bool]"


@dataclasses.dataclass(frozen=True, slots=True)
class TargetVersionSet:
    """Operators have set the target weights version of a model.

    Attributes:
        model: The model.
        version: The version.
        age_s: Maximum time that may have passed since then.
    """

    model: ids.ModelId
    version: int
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsReported:
    """An upstream serves a weights version.

    The version is reported by the upstream itself or by the router that ordered it to be loaded.
    """

    pool: ids.PoolId
    upstream: ids.UpstreamId
    model: ids.ModelId
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsLoading:
    """An upstream is about to load weights; the information expires at `until`."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class GetEngines:
    """Requests the engines of a pool, as input for a weights roll-out."""

    pool: ids.PoolId
    model: ids.ModelId
    reply: "mailbox.Reply[tuple[rollout.Engine, ...]]"


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeFailed:
    """An upstream did not answer a load query.

    Attributes:
        pool: Pool of the upstream.
        upstream: The upstream.
        certain: Whether no connection could be opened; a lost answer alone proves little.
    """

    pool: ids.PoolId
    upstream: ids.UpstreamId
    certain: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CacheChanged:
    """An upstream has published a cache event.

    Attributes:
        pool: Pool of the upstream.
        upstream: The upstream.
        event: The event.
        reply: Receives False if there is a gap in the events, so that a snapshot is required.
    """

    pool: ids.PoolId
    upstream: ids.UpstreamId
    event: observations.CacheEvent
    reply: "mailbox.Reply[bool]"


@dataclasses.dataclass(frozen=True, slots=True)
class CacheSnapshot:
    """A snapshot of all pieces that an upstream has cached."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
    incarnation: ids.Incarnation
    sequence: int
    pieces: tuple[ids.PieceId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamListed:
    """The platform's list of VMs shows whether an upstream is leaving."""

    pool: ids.PoolId
    upstream: ids.UpstreamId
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PeerTraffic:
    """Another router has sent work to upstreams since its previous update."""

    delta: peer_updates.UpdateDelta


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAccountUse:
    """Use of the accounts through all other routers together.

    Attributes:
        routers: Number of routers, including this one.
        use: Use of each account.
    """

    routers: int
    use: dict[ids.AccountId, limits.RemoteUse]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerCrashes:
    """Another router has sent evidence about requests and parts that may crash upstreams.

    Attributes:
        crashes: Crashes of upstreams.
        sound: Suspects that have produced output since.
    """

    crashes: tuple[poison.Evidence, ...]
    sound: tuple[poison.SoundCause, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RoutersChanged:
    """The set of routers that this one reaches has changed.

    Attributes:
        vm: VM of this router.
        routers: VMs of the others.
    """

    vm: ids.VmId
    routers: frozenset[ids.VmId]


@dataclasses.dataclass(frozen=True, slots=True)
class GetBlockedParts:
    """Requests the verdicts on the prompt parts that are blocked."""

    reply: "mailbox.Reply[list[crash_causes.Verdict]]"


@dataclasses.dataclass(frozen=True, slots=True)
class LiftBlock:
    """An operator lifts the block of a part; the reply receives whether it was blocked."""

    part: ids.PartId
    reply: "mailbox.Reply[bool]"


@dataclasses.dataclass(frozen=True, slots=True)
class PiecesExported:
    """Pieces were exported to the pool's keep, its external KV cache store."""

    pool: ids.PoolId
    pieces: tuple[ids.PieceId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Explain:
    """Requests the choice that would be made for a request, without placing it."""

    request_spec: routing.RequestSpec
    reply: "mailbox.Reply[routing.Explained | None]"


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """The part of an update to the peers that describes this router's traffic.

    Attributes:
        sends: Total work sent to each upstream since this router started.
        placed: Most recent prompts that this router has sent.
        use: Use of the accounts through this router.
        crashes: Evidence against requests and parts that may crash upstreams.
        sound: Suspects that have produced output since.
    """

    sends: tuple[peer_updates.SentWork, ...]
    placed: tuple[peer_updates.PlacedPieces, ...]
    use: dict[ids.AccountId, limits.RemoteUse]
    crashes: tuple[poison.Evidence, ...]
    sound: tuple[poison.SoundCause, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GetDigest:
    """Requests the digest of this router's traffic."""

    reply: "mailbox.Reply[Digest]"


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """Status of one upstream."""

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
    """Status of the router's traffic."""

    active_requests: int
    queued: dict[ids.PoolId, int]
    upstreams: tuple[UpstreamStatus, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GetStatus:
    """Requests the status of the router's traffic."""

    reply: "mailbox.Reply[Status]"


Message = (
    Admit
    | Retry
    | PlaceHedge
    | HedgeEnded
    | FailOver
    | ReportSilence
    | FirstTokenReceived
    | OutputBegan
    | AttemptEnded
    | RequestEnded
    | ConfigurationChanged
    | LoadReported
    | StatusReported
    | TargetVersionSet
    | WeightsReported
    | WeightsLoading
    | UpstreamPaused
    | rejection_messages.BrittleUpstreamRejected
    | rejection_messages.BrittlenessEnded
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
    | RoutersChanged
    | GetBlockedParts
    | LiftBlock
    | PiecesExported
    | Explain
    | GetDigest
    | GetStatus
)
