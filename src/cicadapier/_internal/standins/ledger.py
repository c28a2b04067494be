"""Ledger of the requests that each stand-in upstream ran.

Tests use it as the oracle for at-most-once execution and for complete answers.
"""

import dataclasses
import enum
import hashlib

from cicadapier._internal.models import ids


class LedgerEvent(enum.Enum):
    """Step in the execution of a request on an upstream."""

    STARTED = "started"
    PREFILLED = "prefilled"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    CRASHED = "crashed"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the ledger.

    Attributes:
        seq: Position in the ledger, starting at 1.
        at: Time in seconds on the clock of the stand-ins, `trio.current_time`.
        upstream: Upstream that ran the request.
        incarnation: Incarnation of the upstream.
        request_id: Id that the router assigned to the request.
        event: Step of the execution.
        method: HTTP method.
        path: HTTP request target, with the query.
        body_sha256: SHA-256 digest of the request body, in hexadecimal.
        idempotency_key: Idempotency key from the caller, empty if there is none.
        detail: Further fields of the event, such as the number of cached tokens or the digest of
            the answer.
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
    """Fields that identify a request in the ledger."""

    request_id: str
    method: str
    path: str
    body: bytes
    idempotency_key: str = ""


class Ledger:
    """Entries in the order in which the steps occurred."""

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
        """Appends an entry for a step of a request."""
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
        """Returns how many times an upstream started a request with this body."""
        digest = hashlib.sha256(body).hexdigest()
        return sum(
            1 for e in self.entries if e.body_sha256 == digest and e.event is LedgerEvent.STARTED
        )
