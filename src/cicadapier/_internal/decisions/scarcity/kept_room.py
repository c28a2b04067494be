"""Memory of the engines that is kept for more urgent requests.

While long prompts fill every engine, a short urgent request that arrives finds no room, however
little it needs, until a long one ends. Room is kept for the urgent requests that will arrive before
running ones end; those that run already are in the engine's load.
"""

from cicadapier._internal.decisions import engine_memory
from cicadapier._internal.decisions import limits
from cicadapier._internal.decisions.scarcity import urgency as urgencies

RATE_WINDOW_S = 5.0
FREEING_S = 0.2  # About the time in which the end of running requests frees room for the next.
MAX_KEPT_SHARE = 0.5  # Of the memory for running requests; the rest is open to all.


class _Arrivals:
    """Recent requests of one urgency."""

    def __init__(self) -> None:
        self.requests = limits.DecayingRate(RATE_WINDOW_S)
        self.tokens = limits.DecayingRate(RATE_WINDOW_S)

    def mean_tokens(self, now: float) -> float:
        requests_per_s = self.requests.per_s(now)
        return self.tokens.per_s(now) / requests_per_s if requests_per_s > 0 else 0.0


class KeptRoom:
    """Memory that each engine keeps for urgent requests, from their recent rate."""

    def __init__(self) -> None:
        self._arrivals: dict[int, _Arrivals] = {}

    def record_arrival(self, urgency: urgencies.Urgency, tokens: int, now: float) -> None:
        """Records a request and the memory that it needs."""
        arrivals = self._arrivals.setdefault(urgency, _Arrivals())
        arrivals.requests.add(1.0, now)
        arrivals.tokens.add(tokens, now)

    def tokens(
        self,
        urgency: urgencies.Urgency,
        request_tokens: int,
        capacity_tokens: int,
        routers_per_engine: float,
        now: float,
    ) -> int:
        """Returns the memory of one engine that a request has to leave free.

        Args:
            urgency: Urgency of the request.
            request_tokens: Memory that the request needs. It leaves room only for requests that are
                not larger, since what it takes is of little use to those.
            capacity_tokens: Memory of the engine, 0 if unknown.
            routers_per_engine: Number of routers, which have the same load as this one, for each
                engine.
            now: Current time.
        """
        rate = sum(
            arrivals.tokens.unbiased_per_s(now)
            for other, arrivals in self._arrivals.items()
            if other < urgency and arrivals.mean_tokens(now) <= request_tokens
        )
        needed = rate * FREEING_S * routers_per_engine
        bound = MAX_KEPT_SHARE * engine_memory.RUNNING_SHARE * capacity_tokens
        return int(min(needed, bound))
