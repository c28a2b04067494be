"""How much more an engine bears, by its memory.

It answers loads under which the memory of an engine ends before its slots: a request that waits
inside an engine is in nobody's order, holds up the prompts of the others there and is preempted
by turns, so that even a load that fits is not served in time once such a crowd has formed. What
does not fit stays with the router, which orders it, and refuses in time what cannot be served.
"""

import math

# Share of an engine's memory that running requests may take; the rest keeps shared prefixes.
RUNNING_SHARE = 0.75
INITIAL_DURATION_S = 0.1
MIN_DURATION_S = 0.001
MIN_TURNOVER_S = 0.3
MAX_TURNOVER_S = 3.0
_TURNOVER_FACTOR = 3
_MEAN_WEIGHT = 0.05  # Of one more request in the mean.
_REMOTE_WEIGHT = 0.1


class RequestAverages:
    """What the requests for a pool take on average.

    Attributes:
        mean_memory_tokens: Tokens of prompt and answer together, 0 before the first request.
        mean_duration_s: Time for which one runs or waits at an upstream.
    """

    def __init__(self) -> None:
        self.mean_memory_tokens = 0.0
        self.mean_duration_s = INITIAL_DURATION_S
        self._ended = 0
        self._remote_requests = 0.0
        self._observed_at = -math.inf

    def record_start(self, tokens: int) -> None:
        """Counts a request that is sent."""
        if self.mean_memory_tokens == 0.0:
            self.mean_memory_tokens = float(tokens)
        self.mean_memory_tokens += _MEAN_WEIGHT * (tokens - self.mean_memory_tokens)

    def record_end(self, duration_s: float) -> None:
        """Counts the end of a request."""
        self._ended += 1
        weight = max(_MEAN_WEIGHT, 1 / self._ended)
        self.mean_duration_s = max(
            MIN_DURATION_S, self.mean_duration_s + weight * (duration_s - self.mean_duration_s)
        )

    def observe_remote_requests(self, count: int, now: float) -> None:
        """Counts requests of other routers that an upstream tells of."""
        self._remote_requests += _REMOTE_WEIGHT * (count - self._remote_requests)
        self._observed_at = now

    def remote_requests(self, now: float) -> float:
        """Returns how many requests of other routers an upstream has on average.

        In a large fleet a router hears of few upstreams in the time of one request, and of each
        by chance. It falls while nothing is heard, since a router that takes every upstream for
        full sends nothing and so hears nothing.
        """
        return self._remote_requests * math.exp2((self._observed_at - now) / self.turnover_s)

    @property
    def turnover_s(self) -> float:
        """Time after which the requests that run at some moment have ended."""
        return min(MAX_TURNOVER_S, max(MIN_TURNOVER_S, _TURNOVER_FACTOR * self.mean_duration_s))


class EngineMemory:
    """Memory of one engine, as far as requests that run there are known."""

    def __init__(self) -> None:
        self._own_tokens = 0

    def add(self, tokens: int) -> None:
        """Counts a request of this router that runs there from now on."""
        self._own_tokens += tokens

    def remove(self, tokens: int) -> None:
        """Counts the end of a request of this router."""
        self._own_tokens = max(0, self._own_tokens - tokens)

    def fits(
        self, tokens: int, capacity_tokens: int, remote_requests: int, mean_tokens: float
    ) -> bool:
        """Returns whether one more request fits.

        An engine that runs nothing takes any request.

        Args:
            tokens: Memory that it takes.
            capacity_tokens: Memory of the engine, 0 where it is unknown.
            remote_requests: Requests of other routers that run there.
            mean_tokens: Memory that such a request takes on average.
        """
        taken = self._own_tokens + remote_requests * mean_tokens
        if capacity_tokens == 0 or taken == 0:
            return True
        return taken + tokens <= RUNNING_SHARE * capacity_tokens
