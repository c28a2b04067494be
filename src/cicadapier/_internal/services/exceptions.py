"""Errors of the services."""

from cicadapier._internal.models import outcomes


class ServiceError(Exception):
    """Base class of the services' errors."""


class PlatformUnavailableError(ServiceError):
    """The platform gave no answer; a write may have taken effect."""


class PlatformRefusedError(ServiceError):
    """The platform refused a call, which had no effect.

    Attributes:
        status: HTTP status of the refusal.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(f"the platform answered {status}: {message}")
        self.status = status


class HistoryGoneError(ServiceError):
    """The platform no longer knows the changes that a watch asked for; the list must be read."""


class RefusedError(ServiceError):
    """A request ends in a refusal.

    Attributes:
        refusal: What the caller is told.
    """

    def __init__(self, refusal: outcomes.Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal
