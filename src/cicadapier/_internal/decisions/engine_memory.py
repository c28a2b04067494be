"""Admission control by engine memory.

Under some loads an engine runs out of memory before it runs out of slots. A request that then waits
inside the engine is in no fair queue, delays the prompts of other requests there and is preempted
again and again. Once many such requests have piled up, even a load that fits is not served in time.
Requests that do not fit therefore wait in the router, which queues them fairly and refuses in time
those that it cannot serve.
"""

import math

# Share of an engine's memory that running requests may use; the rest caches shared prefixes.
RUNNING_SHARE = 0.75
INITIAL_DURATION_S = 0.1  # Assumed mean before the first request has ended.
MIN_DURATION_S = 0.001
MIN_TURNOVER_S = 0.3
MAX_TURNOVER_S = 3.0
_TURNOVER_FACTOR = 3  # Mean durations after which practically all requests have ended.
_MEAN_WEIGHT = 0.05  # Weight of a new sample in the averages of own requests.
_DOUBTED_REQUESTS = 8  # An average over this many requests counts half.
_REMOTE_WEIGHT = 0.1  # Weight of a new sample in the average of other routers' requests.


class RequestAverages:
    """Averages over the requests for a pool.

    Attributes:
        mean_memory_tokens: Tokens of prompt and answer together, 0 before the first request.
        mean_duration_s: Time that a request runs or waits at an upstream.
    """

    def __init__(self) -> None:
        self.mean_memory_tokens = 0.0
        self.mean_duration_s = INITIAL_DURATION_S
        self._ended = 0
        self._token_seconds = 0.0
        self._seconds = 0.0
        self._remote_requests = 0.0
        self._observed_at = -math.inf

    def record_start(self, tokens: int) -> None:
        """Records the memory of a request that is sent."""
        if self.mean_memory_tokens == 0.0:
            self.mean_memory_tokens = float(tokens)
        self.mean_memory_tokens += _MEAN_WEIGHT * (tokens - self.mean_memory_tokens)

    def record_end(self, duration_s: float, tokens: int = 0) -> None:
        """Records the duration of a request that has ended, and the memory that it used."""
        self._ended += 1
        weight = max(_MEAN_WEIGHT, 1 / self._ended)
        self.mean_duration_s = max(
            MIN_DURATION_S, self.mean_duration_s + weight * (duration_s - self.mean_duration_s)
        )
        self._token_seconds += weight * (tokens * duration_s - self._token_seconds)
        self._seconds += weight * (duration_s - self._seconds)

    @property
    def mean_running_tokens(self) -> float:
        """Memory of a request that runs at any moment, on average.

        Small requests with long answers are fewer among those that start than among those that run.
        """
        if self._seconds <= 0.0:
            return self.mean_memory_tokens
        return self._token_seconds / self._seconds

    @property
    def cautious_running_tokens(self) -> float:
        """`mean_running_tokens`, less what a few requests cannot show.

        In a large fleet a router sees few requests. If its first ones are large, it would take
        engines for full that are not, and refuse requests for which there is room.
        """
        return self.mean_running_tokens * self._ended / (self._ended + _DOUBTED_REQUESTS)

    def observe_remote_requests(self, count: int, now: float) -> None:
        """Records how many requests of other routers an upstream has reported."""
        self._remote_requests += _REMOTE_WEIGHT * (count - self._remote_requests)
        self._observed_at = now

    def remote_requests(self, now: float) -> float:
        """Returns how many requests of other routers run at an upstream on average.

        In a large fleet, a router gets responses from only a few, random upstreams within the
        duration of one request. The average decays while no upstream reports, because a router
        that considers every upstream full sends no requests and therefore gets no reports.
        """
        return self._remote_requests * math.exp2((self._observed_at - now) / self.turnover_s)

    @property
    def turnover_s(self) -> float:
        """Time after which the requests that run at any moment have ended."""
        return min(MAX_TURNOVER_S, max(MIN_TURNOVER_S, _TURNOVER_FACTOR * self.mean_duration_s))


class EngineMemory:
    """Memory of one engine that is used by the requests known to run there."""

    def __init__(self) -> None:
        self._own_tokens = 0

    def add(self, tokens: int) -> None:
        """Adds a request of this router that starts to run there."""
        self._own_tokens += tokens

    def remove(self, tokens: int) -> None:
        """Removes a request of this router that has ended."""
        self._own_tokens = max(0, self._own_tokens - tokens)

    def fits(
        self, tokens: int, capacity_tokens: int, remote_requests: int, mean_tokens: float
    ) -> bool:
        """Returns whether one more request fits.

        An idle engine accepts any request, whatever its size.

        Args:
            tokens: Memory that the request needs.
            capacity_tokens: Memory of the engine, 0 if unknown.
            remote_requests: Number of requests of other routers that run there.
            mean_tokens: Memory that a request of another router uses on average.
        """
        taken = self._own_tokens + remote_requests * mean_tokens
        if capacity_tokens == 0 or taken == 0:
            return True
        return taken + tokens <= RUNNING_SHARE * capacity_tokens
