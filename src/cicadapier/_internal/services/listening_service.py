"""Base class of the services that listen for HTTP requests."""

import trio

from cicadapier._internal.kernel import random_tokens
from cicadapier._internal.kernel import service
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import http_server
from cicadapier._internal.protocols import transport
from cicadapier._internal.services import telemetry_service


class ListeningService(service.Service, http_server.Handler):
    """Answers HTTP requests on one address.

    Attributes:
        address: Address that it listens on; has the bound port once the service has started.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        address: ids.Address,
        network: transport.Network,
        token_source: random_tokens.TokenSource,
    ) -> None:
        self.address = address
        self._settings = cfg
        self._network = network
        self._tokens = token_source
        self._telemetry: telemetry_service.TelemetryService | None = None

    @property
    def listen_address(self) -> ids.Address | None:
        """See `service.Service.listen_address`."""
        return self.address

    def caller_limits(self) -> settings.CallerLimits:
        """Returns the current limits for callers."""
        return self._settings.caller_limits

    def count_client_event(self, kind: str) -> None:
        """See `http_server.Handler.count_client_event`."""
        if self._telemetry:
            self._telemetry.count_event(kind)

    async def listen(self, nursery: trio.Nursery) -> None:
        """Starts to accept connections in the nursery and returns once the address is bound."""
        listener = http_server.Listener(self._network.serve, self, self.caller_limits)
        self.address = await nursery.start(listener.run, self.address)
