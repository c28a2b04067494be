"""Data that all attempts at one forwarded request share."""

import collections.abc
import dataclasses

from cicadapier._internal.decisions import event_numbering
from cicadapier._internal.decisions import routing
from cicadapier._internal.decisions import stream_origins
from cicadapier._internal.decisions.scarcity import urgency as urgencies
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import forwarding
from cicadapier._internal.services import directory_service
from cicadapier._internal.services import origins_service
from cicadapier._internal.services import request_context
from cicadapier._internal.services import watched_configuration
from cicadapier._internal.services.account_quotas import request_quota
from cicadapier._internal.services.slow_readers import stream_output


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """The result of checking a request against a configuration.

    Attributes:
        cfg: The configuration.
        route_id: Id of the route that matches the request.
        route: Declaration of that route.
        account: Client account; None on a public route.
    """

    cfg: configuration.NumberedConfiguration
    route_id: ids.RouteId
    route: configuration.Route
    account: ids.AccountId | None


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Data of one request that does not change between its attempts.

    Attributes:
        forwarded: The request as its caller sent it.
        admission: Result of its check against the configuration when it arrived.
        pool: Pool that serves it.
        request_spec: Its description for the traffic decisions.
        cache_scope: Scope in which cached parts of its prompt are shared; empty if it has no
            prompt.
        stream: Identity of its stream; the stream that it takes up, if it does.
        deadline: Time of trio's clock by which it must be answered.
        attributes: Attributes of its metrics.
        quota: Quota of its account; None if the account has none.
        urgency: Urgency that upstreams are told; None where requests are not ordered by it.
    """

    forwarded: forwarding.ForwardedRequest
    admission: Admission
    pool: ids.PoolId
    request_spec: routing.RequestSpec
    cache_scope: str
    stream: stream_origins.StreamId
    deadline: float
    attributes: dict[str, str]
    quota: request_quota.RequestQuota | None = None
    urgency: urgencies.Urgency | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Objects that all exchanges share.

    Attributes:
        services: Services that request handlers use.
        wire_format: Format of requests and answers.
        directory: Registered upstreams.
        configuration: Holder of the current configuration.
        origins: Knows which software version began which stream.
        admit: Checks a request against the current configuration; raises `RefusedError` if the
            request is not allowed.
        require_time: Raises `RefusedError` if this router stops before a request would end that is
            sent now.
        record_time: Records the time that a request has taken that was answered.
        make_output: Creates the sending side of a stream.
        numbering: How upstreams number the events of streams.
    """

    services: request_context.Services
    wire_format: forwarding.ForwardingFormat
    directory: directory_service.DirectoryService
    configuration: watched_configuration.WatchedConfiguration
    origins: origins_service.OriginsService
    admit: collections.abc.Callable[[forwarding.ForwardedRequest], Admission]
    require_time: collections.abc.Callable[[Plan], None]
    record_time: collections.abc.Callable[[ids.RouteId, float], None]
    make_output: stream_output.MakeOutput
    numbering: event_numbering.EventNumbering
