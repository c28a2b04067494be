"""What stays the same over all attempts at one forwarded request."""

import collections.abc
import dataclasses

from cicadapier._internal.decisions import routing
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import forwarding
from cicadapier._internal.services import directory_service
from cicadapier._internal.services import request_context
from cicadapier._internal.services import watched_configuration


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """What a configuration allows a request.

    Attributes:
        cfg: The configuration.
        route_id: Route that fits.
        route: Its declaration.
        account: Client account, None on a public route.
    """

    cfg: configuration.NumberedConfiguration
    route_id: ids.RouteId
    route: configuration.Route
    account: ids.AccountId | None


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What stays the same over all attempts at a request.

    Attributes:
        forwarded: The request.
        admission: What the configuration allowed as it came.
        pool: Pool that serves it.
        entry: What the traffic decisions know of it.
        cache_scope: Scope in which the parts of its prompt are shared, empty without any.
        deadline: Time of trio's clock at which it must be answered.
        attributes: Attributes of its measurements.
    """

    forwarded: forwarding.ForwardedRequest
    admission: Admission
    pool: ids.PoolId
    entry: routing.Entry
    cache_scope: str
    deadline: float
    attributes: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """What every exchange uses.

    Attributes:
        services: Services of request handlers.
        wire_format: Spelling of requests and answers.
        directory: The upstreams that exist.
        configuration: The configuration in force.
        admit: Returns what it allows a request, or refuses it.
    """

    services: request_context.Services
    wire_format: forwarding.ForwardFormat
    directory: directory_service.DirectoryService
    configuration: watched_configuration.WatchedConfiguration
    admit: collections.abc.Callable[[forwarding.ForwardedRequest], Admission]
