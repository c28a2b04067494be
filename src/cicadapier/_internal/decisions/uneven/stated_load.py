"""Load that an upstream states with an answer to a request.

Load pattern: upstreams of one service state different figures, and some state what cannot be true.
"""

import dataclasses

from cicadapier._internal.models import ids

MAX_LOGGED_UPSTREAMS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class StatedLoad:
    """Load that an upstream states with an answer.

    Attributes:
        requests: Number of requests running and waiting there; None if unknown.
        slowness: How long work takes there; 1.0 as usual, 2.0 twice as long; None if unknown.
        is_odd: Whether a figure was missing or could not be true.
        quoted: Beginning of an odd statement.
    """

    requests: int | None = None
    slowness: float | None = None
    is_odd: bool = False
    quoted: str = ""


class OddStatements:
    """Upstreams whose odd statements were logged, up to `MAX_LOGGED_UPSTREAMS`."""

    def __init__(self) -> None:
        self._logged: set[ids.UpstreamId] = set()

    def is_new(self, upstream: ids.UpstreamId) -> bool:
        """Returns whether an odd statement of an upstream is to be logged, which is then done."""
        if upstream in self._logged or len(self._logged) >= MAX_LOGGED_UPSTREAMS:
            return False
        self._logged.add(upstream)
        return True

    def retain(self, upstreams: set[ids.UpstreamId]) -> None:
        """Drops all upstreams except the given ones."""
        self._logged &= upstreams
