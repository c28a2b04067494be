"""Interface of the services that hold the configuration in force."""

import abc

import structlog
import trio

from cicadapier._internal.kernel import service
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.services import names

_log = structlog.get_logger()


def log_in_force(current: configuration.NumberedConfiguration, **details: str) -> None:
    """Logs that a configuration has come into force, and whether keys are asked for.

    One under which no key is valid, or none is asked for, is a warning.

    Args:
        current: The configuration.
        details: Further fields of the line.
    """
    write = _log.info if current.has_valid_key else _log.warning
    write(
        "configuration_in_force",
        number=current.number,
        keys=current.key_policy.value,
        valid_keys=len(current.accounts_by_key_hash),
        **details,
    )


class ConfigurationSource(service.Service):
    """Holds the configuration in force.

    Attributes:
        current: The configuration in force.
        ready: Set once a configuration is in force.
        is_gossiped: Whether routers send the configuration to each other.
    """

    name = names.CONFIGURATION
    is_gossiped = True

    def __init__(self) -> None:
        self.current = configuration.EMPTY
        self.ready = trio.Event()

    def record_peer_number(self, number: ids.ConfigNumber, source: str) -> None:
        """Records the number of the configuration in force on another router.

        Args:
            number: The number.
            source: The router, for the log.
        """
        return

    @abc.abstractmethod
    def packed_update(self, since: ids.ConfigNumber) -> tuple[ids.ConfigNumber, bytes] | None:
        """Returns the current number and the update to it, or None if there is no update.

        Args:
            since: Number of the peer's configuration.
        """

    @abc.abstractmethod
    def apply_packed_update(self, number: ids.ConfigNumber, packed: bytes) -> None:
        """Applies a compressed update from a peer.

        Args:
            number: Number of the configuration after the update.
            packed: The update, as returned by `packed_update`.
        """
