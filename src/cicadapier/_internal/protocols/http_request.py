"""A request as a listener hands it to its handler."""

import dataclasses

from cicadapier._internal.protocols import http_client


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A complete request; header names are in lower case.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers of the request.
        body: Complete body.
        began_at: Time on trio's clock when its first bytes were received.
    """

    method: str
    target: str
    headers: http_client.Headers
    body: bytes
    began_at: float = 0.0

    @property
    def path(self) -> str:
        """Path of the target."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """Query of the target; empty if there is none."""
        return self.target.partition("?")[2]

    def header(self, name: bytes) -> bytes | None:
        """Returns the value of the first header with a name given in lower case, or None."""
        return http_client.find_header(self.headers, name)
