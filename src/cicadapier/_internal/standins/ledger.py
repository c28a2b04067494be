"""Record of what each upstream truly ran, the oracle of once-only and whole answers."""

import dataclasses
import enum
import hashlib

from cicadapier._internal.models import ids


class LedgerEvent(enum.Enum):
    """What happened to a request on an upstream."""

    STARTED = "started"
    PREFILLED = "prefilled"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    CRASHED = "crashed"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One line of the ledger.

    Attributes:
        seq: Position in the ledger, from 1.
        at: Time on the stand-ins' clock, in seconds.
        upstream: Upstream that ran the request.
        incarnation: Its incarnation.
        request_id: Id that the router gave the request.
        event: What happened.
        method: HTTP method.
        path: HTTP target.
        body_sha256: Digest of the request's body.
        idempotency_key: The caller's key, empty without.
        detail: Tokens found cached, text digest and the like.
    """

    seq: int
    at: float
    upstream: ids.UpstreamId
    incarnation: ids.Incarnation
    request_id: str
    event: LedgerEvent
    method: str
    path: str
    body_sha256: str
    idempotency_key: str
    detail: dict[str, object]


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """What identifies a request in the ledger."""

    request_id: str
    method: str
    path: str
    body: bytes
    idempotency_key: str = ""


class Ledger:
    """Entries in the order in which they happened."""

    def __init__(self) -> None:
        self.entries: list[Entry] = []

    def record(
        self,
        upstream: ids.UpstreamId,
        incarnation: ids.Incarnation,
        call: Call,
        event: LedgerEvent,
        at: float,
        **detail: object,
    ) -> None:
        """Appends an entry."""
        digest = hashlib.sha256(call.body).hexdigest()
        self.entries.append(
            Entry(
                len(self.entries) + 1,
                at,
                upstream,
                incarnation,
                call.request_id,
                event,
                call.method,
                call.path,
                digest,
                call.idempotency_key,
                detail,
            )
        )

    def count_starts(self, body: bytes) -> int:
        """Returns how many times a request with this body was started."""
        digest = hashlib.sha256(body).hexdigest()
        return sum(
            1 for e in self.entries if e.body_sha256 == digest and e.event is LedgerEvent.STARTED
        )
