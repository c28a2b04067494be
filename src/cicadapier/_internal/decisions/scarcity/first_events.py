"""Share of the requests that begin, from how late first events have been.

Engines may have memory for prompts that they cannot prefill in time, because caches were lost, many
prompts are new, or engines load weights. Every further prompt then makes all of them late. A part
of the requests is refused at once, so that the others are answered in time; the least urgent kind
gives way first.
"""

import dataclasses
import math

from cicadapier._internal.decisions.scarcity import urgency as urgencies

WINDOW_S = 1.0  # Age at which an observation has lost most of its weight.
# Of the objective; a mean delay above it makes many first events late.
TARGET_SHARE = 0.5
MAX_SAMPLE_SHARE = 2.0  # Of the objective; a few silent engines must not look like a crowd.
MIN_BEGIN_SHARE = 0.3  # Of the requests of any urgency.


@dataclasses.dataclass(slots=True)
class _Delay:
    """Decaying mean of the time to the first event, as a share of the objective."""

    total: float = 0.0
    weight: float = 0.0
    at: float = -math.inf

    def add(self, share: float, now: float) -> None:
        kept = self._kept(now)
        self.total = self.total * kept + share
        self.weight = self.weight * kept + 1.0
        self.at = now

    def value(self, now: float) -> float:
        """Returns the mean, which falls towards 0 while nothing is observed."""
        kept = self._kept(now)
        # One sample of zero keeps a few late answers from deciding alone.
        return self.total * kept / (self.weight * kept + 1.0)

    def _kept(self, now: float) -> float:
        return math.exp((self.at - now) / WINDOW_S)


class FirstEvents:
    """Share of the requests of each urgency that begin."""

    def __init__(self) -> None:
        self._delays: dict[int, _Delay] = {}
        self._credits: dict[int, float] = {}

    def record(
        self, urgency: urgencies.Urgency, delay_s: float, objective_s: float, now: float
    ) -> None:
        """Records the time to the first event of a request, or its age if it has none yet."""
        share = min(MAX_SAMPLE_SHARE, delay_s / objective_s)
        self._delays.setdefault(urgency, _Delay()).add(share, now)

    def begin_share(self, urgency: urgencies.Urgency, now: float) -> float:
        """Returns the share of the requests of an urgency that begin now."""
        can_give_way = any(
            other > urgency
            and now - delay.at < WINDOW_S
            and self._own_share(other, now) > MIN_BEGIN_SHARE
            for other, delay in self._delays.items()
        )
        return 1.0 if can_give_way else self._own_share(urgency, now)

    def may_begin(self, urgency: urgencies.Urgency, now: float) -> bool:
        """Returns whether the next request of an urgency begins; call it once for each request."""
        credit = self._credits.get(urgency, 1.0) + self.begin_share(urgency, now)
        begins = credit >= 1.0
        self._credits[urgency] = min(1.0, credit - 1.0 if begins else credit)
        return begins

    def _own_share(self, urgency: int, now: float) -> float:
        """Returns the share by the delays of this urgency and of the more urgent ones."""
        delays = [delay.value(now) for other, delay in self._delays.items() if other <= urgency]
        worst = max(delays, default=0.0)
        if worst <= TARGET_SHARE:
            return 1.0
        return max(MIN_BEGIN_SHARE, (TARGET_SHARE / worst) ** 2)
