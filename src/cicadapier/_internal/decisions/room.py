"""How much more an engine bears, by its memory.

It answers loads under which the memory of an engine ends before its slots: a request that waits
inside an engine is in nobody's order, holds up the prompts of the others there and is preempted
by turns, so that even a load that fits is not served in time once such a crowd has formed. What
does not fit stays with the router, which orders it, and refuses in time what cannot be served.
"""

import math

# Share of an engine's memory that running requests may take; the rest keeps shared prefixes.
RUNNING_SHARE = 0.75
FIRST_STAY_S = 0.1
MIN_STAY_S = 0.001
MIN_ALL_ENDED_S = 0.3
MAX_ALL_ENDED_S = 3.0
_STAYS = 3
_MEAN_WEIGHT = 0.05  # Of one more request in the mean.
_TOLD_WEIGHT = 0.1


class TypicalRequest:
    """What the requests for a pool take on average.

    Attributes:
        memory_tokens: Tokens of prompt and answer together, 0 before the first request.
        stay_s: Time for which one runs or waits at an upstream.
    """

    def __init__(self) -> None:
        self.memory_tokens = 0.0
        self.stay_s = FIRST_STAY_S
        self._ended = 0
        self._others = 0.0
        self._told_at = -math.inf

    def sent(self, tokens: int) -> None:
        """Counts a request that is sent."""
        if self.memory_tokens == 0.0:
            self.memory_tokens = float(tokens)
        self.memory_tokens += _MEAN_WEIGHT * (tokens - self.memory_tokens)

    def ended(self, stayed_s: float) -> None:
        """Counts the end of a request."""
        self._ended += 1
        weight = max(_MEAN_WEIGHT, 1 / self._ended)
        self.stay_s = max(MIN_STAY_S, self.stay_s + weight * (stayed_s - self.stay_s))

    def told(self, others: int, now: float) -> None:
        """Counts requests of other routers that an upstream tells of."""
        self._others += _TOLD_WEIGHT * (others - self._others)
        self._told_at = now

    def others(self, now: float) -> float:
        """Returns how many requests of other routers an upstream has on average.

        In a large fleet a router hears of few upstreams in the time of one request, and of each
        by chance. It falls while nothing is heard, since a router that takes every upstream for
        full sends nothing and so hears nothing.
        """
        return self._others * math.exp2((self._told_at - now) / self.all_ended_s)

    @property
    def all_ended_s(self) -> float:
        """Time after which the requests that run at some moment have ended."""
        return min(MAX_ALL_ENDED_S, max(MIN_ALL_ENDED_S, _STAYS * self.stay_s))


class MemoryRoom:
    """Memory of one engine, as far as requests that run there are known."""

    def __init__(self) -> None:
        self._own_tokens = 0

    def sent(self, tokens: int) -> None:
        """Counts a request of this router that runs there from now on."""
        self._own_tokens += tokens

    def ended(self, tokens: int) -> None:
        """Counts the end of a request of this router."""
        self._own_tokens = max(0, self._own_tokens - tokens)

    def fits(self, tokens: int, capacity_tokens: int, others: int, mean_tokens: float) -> bool:
        """Returns whether one more request fits.

        An engine that runs nothing takes any request.

        Args:
            tokens: Memory that it takes.
            capacity_tokens: Memory of the engine, 0 where it is unknown.
            others: Requests of other routers that run there.
            mean_tokens: Memory that such a request takes on average.
        """
        taken = self._own_tokens + others * mean_tokens
        if capacity_tokens == 0 or taken == 0:
            return True
        return taken + tokens <= RUNNING_SHARE * capacity_tokens
