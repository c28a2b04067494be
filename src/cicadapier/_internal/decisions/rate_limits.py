"""Rate limits that upstreams name for all routers together."""

import dataclasses
import math

from cicadapier._internal.models import ids


@dataclasses.dataclass(frozen=True, slots=True)
class NamedLimit:
    """A limit that one start of an upstream has named.

    Attributes:
        incarnation: That start.
        per_s: Requests a second that it takes from all routers together.
        since: Time at which this router first heard of a limit.
    """

    incarnation: ids.Incarnation
    per_s: float
    since: float


def is_readable(per_s: float) -> bool:
    """Returns whether a rate is one that an upstream can mean."""
    return math.isfinite(per_s) and per_s >= 0


class NamedLimits:
    """The limits that are in force, as far as this router has heard of them."""

    def __init__(self) -> None:
        self._limits: dict[ids.UpstreamId, NamedLimit] = {}

    def find(self, upstream: ids.UpstreamId) -> NamedLimit | None:
        """Returns the limit of an upstream, None where it names none."""
        return self._limits.get(upstream)

    def named(
        self, upstream: ids.UpstreamId, incarnation: ids.Incarnation, per_s: float, now: float
    ) -> bool:
        """Takes a limit that an upstream has named; returns whether that is news."""
        known = self._limits.get(upstream)
        if known is not None and known.incarnation == incarnation:
            if known.per_s == per_s:
                return False
            self._limits[upstream] = dataclasses.replace(known, per_s=per_s)
            return True
        self._limits[upstream] = NamedLimit(incarnation, per_s, now)
        return True

    def lifted(self, upstream: ids.UpstreamId) -> bool:
        """Takes it that an upstream names no limit any more; returns whether that is news."""
        return self._limits.pop(upstream, None) is not None
