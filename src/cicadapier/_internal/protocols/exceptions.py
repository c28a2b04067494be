"""Errors of the protocol glue."""

import enum


class ProtocolError(Exception):
    """Base class of the protocols' errors."""


class ConnectError(ProtocolError):
    """No connection could be made, so nothing was sent."""


class ConnectRefusedError(ConnectError):
    """The address answered that nothing listens there."""


class ConnectionLostError(ProtocolError):
    """The other end closed or reset the connection."""


class SilentConnectionError(ProtocolError):
    """The other end made no progress before the deadline."""


class MalformedMessageError(ProtocolError):
    """The other end broke the protocol."""


class BadRequestKind(enum.Enum):
    """Rules that a caller's request can break."""

    MALFORMED = "malformed"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_LARGE = "body_too_large"
    SLOW = "slow"


class BadRequestError(ProtocolError):
    """A caller's request breaks a rule or a bound.

    Attributes:
        kind: Which rule it breaks.
    """

    def __init__(self, kind: BadRequestKind, message: str) -> None:
        super().__init__(message)
        self.kind = kind
