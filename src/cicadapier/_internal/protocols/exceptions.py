"""Errors of the wire protocols."""

import enum


class ProtocolError(Exception):
    """Base class of the errors of this package."""


class ConnectError(ProtocolError):
    """No connection could be established, so nothing was sent."""


class ConnectRefusedError(ConnectError):
    """The connection was refused because nothing listens at the address."""


class LinksInDoubtError(ConnectError):
    """The connection failed as connections to other addresses do, so the own links may be lost."""


class ConnectionLostError(ProtocolError):
    """The peer closed or reset the connection."""


class SilentConnectionError(ProtocolError):
    """The peer made no progress before the deadline."""


class MalformedMessageError(ProtocolError):
    """The peer violated the protocol."""


class BadRequestKind(enum.Enum):
    """Reasons why a caller's request is rejected."""

    MALFORMED = "malformed"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_LARGE = "body_too_large"
    SLOW = "slow"
    NO_ROOM = "no_room"


class BadRequestError(ProtocolError):
    """A caller's request is malformed or exceeds a limit.

    Attributes:
        kind: Reason why it is rejected.
    """

    def __init__(self, kind: BadRequestKind, message: str) -> None:
        super().__init__(message)
        self.kind = kind
