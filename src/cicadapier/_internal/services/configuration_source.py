"""What every holder of the configuration in force offers to the other services."""

import abc

import trio

from cicadapier._internal.kernel import service
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.services import names


class ConfigurationSource(service.Service):
    """Holds the configuration in force.

    Attributes:
        current: The configuration in force.
        ready: Set once any configuration is known.
        is_gossiped: Whether routers pass the configuration on to each other.
    """

    name = names.CONFIGURATION
    is_gossiped = True

    def __init__(self) -> None:
        self.current = configuration.EMPTY
        self.ready = trio.Event()

    @abc.abstractmethod
    def packed_update(self, since: ids.ConfigNumber) -> tuple[ids.ConfigNumber, bytes] | None:
        """Returns what leads a peer from its number to the present one, None where nothing does."""

    @abc.abstractmethod
    def apply_packed_update(self, number: ids.ConfigNumber, packed: bytes) -> None:
        """Takes from a peer what leads to a number."""
