"""A request to an upstream, as it is sent in one attempt."""

import dataclasses

from cicadapier._internal.models import ids
from cicadapier._internal.protocols import answers
from cicadapier._internal.protocols import http_client


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Request to an upstream and the terms of its attempt.

    Attributes:
        request: Request id; an answer that names another one is rejected.
        address: Address of the upstream.
        incarnation: Last known incarnation of the upstream, empty if none is known.
        head: Request line and headers.
        body: Request body.
        connect_timeout_s: Timeout for connecting.
        head_timeout_s: Timeout for the head of the answer.
        answer_format: Format of the answer's headers.
        upstream: Intended upstream, if the request names it.
        weights: Intended weights version, if the request names it.
        new_connection: Whether to use a new connection. Requests that may not be repeated need
            one: if a pooled connection were dead, their outcome would be unknown.
    """

    request: ids.RequestId
    address: ids.Address
    incarnation: ids.Incarnation
    head: http_client.RequestHead
    body: bytes
    connect_timeout_s: float
    head_timeout_s: float
    answer_format: answers.AnswerFormat = answers.NATIVE
    upstream: ids.UpstreamId | None = None
    weights: str | None = None
    new_connection: bool = False
