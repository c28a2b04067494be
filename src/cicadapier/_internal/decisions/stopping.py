"""Which requests a router still begins while it stops.

Load pattern: callers go on sending on open connections until the process is gone. A request that
is begun and cannot end in time is cut, and its caller does not know whether it has run; one that is
refused at once goes elsewhere.
"""

import collections
import dataclasses
import math

from cicadapier._internal.models import ids

MAX_ROUTES = 512  # Beyond this number, the route that was used first is forgotten.
MAX_TIMES = 64  # Of each route.
FEW_TIMES = 8
USUAL_SHARE = 0.9  # Share of the requests of a route that take no longer than its usual time.
LONGER_FACTOR = 1.25
FEW_FACTOR = 1.5  # With few times, the longest one is only a hint.
DELIVERY_S = 0.1


class RunTimes:
    """Times that the latest requests of each route have taken, from their arrival to their end."""

    def __init__(self) -> None:
        self._times: dict[ids.RouteId, collections.deque[float]] = {}

    def record(self, route: ids.RouteId, took_s: float) -> None:
        """Records the time that a request has taken."""
        times = self._times.get(route)
        if times is None:
            times = self._times[route] = collections.deque(maxlen=MAX_TIMES)
            while len(self._times) > MAX_ROUTES:
                del self._times[next(iter(self._times))]
        times.append(took_s)

    def needed_s(self, route: ids.RouteId) -> float | None:
        """Returns how long a request has to have to end in time; None if that is not known."""
        times = sorted(self._times.get(route, ()))
        if not times:
            return None
        if len(times) < FEW_TIMES:
            return times[-1] * FEW_FACTOR + DELIVERY_S
        usual = times[math.ceil(USUAL_SHARE * len(times)) - 1]
        return usual * LONGER_FACTOR + DELIVERY_S


@dataclasses.dataclass(frozen=True, slots=True)
class Grace:
    """Time in which a router that stops finishes its requests; infinite unless it is stopping.

    All times are those of trio's clock.

    Attributes:
        unknown_until: Until when it begins requests of routes whose usual time is not known. By
            then, the balancer sends it no more.
        streams_until: Until when it begins streams.
        begins_until: Until when it begins requests at all.
        ends_at: Time by which answers have to be complete.
    """

    unknown_until: float = math.inf
    streams_until: float = math.inf
    begins_until: float = math.inf
    ends_at: float = math.inf

    def may_begin(
        self, needed_s: float | None, is_stream: bool, deadline: float, now: float
    ) -> bool:
        """Returns whether a request may begin now.

        Args:
            needed_s: Time that it needs to end; None if that is not known.
            is_stream: Whether it is a stream.
            deadline: Time until which its caller waits, and its route allows.
            now: Current time.
        """
        if now > (self.streams_until if is_stream else self.begins_until):
            return False
        if deadline <= self.ends_at:
            return True  # The end of the router does not cut it.
        if needed_s is None:
            return now <= self.unknown_until
        return now + needed_s <= self.ends_at
