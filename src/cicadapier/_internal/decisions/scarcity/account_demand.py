"""Accounts that send far more than their share.

When one account suddenly sends many times its usual, it fills the engines at the expense of all
others. In a general burst all accounts grow alike, and none is to blame. An account is therefore
judged by how much it has grown in comparison with the others together.
"""

import collections.abc
import dataclasses
import math

from cicadapier._internal.models import ids

USUAL_WINDOW_S = 60.0
HEAVY_FACTOR = 2.0
MAX_GROWTH = 1.5  # Of a heavy account; a sudden demand becomes its usual one slowly.
MIN_DEMAND_PER_S = 5.0  # Below this, chance makes demand vary too much to be judged.
SAMPLE_INTERVAL_S = 0.25
_FORGOTTEN_PER_S = 0.01


@dataclasses.dataclass(slots=True)
class _Usual:
    """Mean demand of an account; a recent sample has a greater weight than an old one."""

    per_s: float = 0.0
    weight: float = 0.0

    def add(self, per_s: float, elapsed_s: float) -> None:
        kept = math.exp(-elapsed_s / USUAL_WINDOW_S)
        self.weight = self.weight * kept + 1 - kept
        self.per_s += (1 - kept) / self.weight * (per_s - self.per_s)


class AccountDemand:
    """Current and usual demand of all accounts, over all routers together.

    Attributes:
        routers: Number of routers.
    """

    def __init__(self) -> None:
        self.routers = 1
        self._current: dict[ids.AccountId, float] = {}
        self._usual: dict[ids.AccountId, _Usual] = {}
        self._sampled_at: float | None = None
        self._heavy: frozenset[ids.AccountId] = frozenset()

    def is_due(self, now: float) -> bool:
        """Returns whether `sample` is to be called."""
        return self._sampled_at is None or now - self._sampled_at >= SAMPLE_INTERVAL_S

    def sample(
        self, demand_per_s: collections.abc.Mapping[ids.AccountId, float], now: float
    ) -> None:
        """Records the current demand of each account, in requests per second."""
        elapsed_s = SAMPLE_INTERVAL_S if self._sampled_at is None else now - self._sampled_at
        self._sampled_at = now
        self._current = dict(demand_per_s)
        for account in self._current.keys() | self._usual.keys():
            usual = self._usual.setdefault(account, _Usual())
            per_s = self._current.get(account, 0.0)
            if account in self._heavy:
                per_s = min(per_s, MAX_GROWTH * usual.per_s)
            usual.add(per_s, elapsed_s)
            if usual.per_s < _FORGOTTEN_PER_S and account not in self._current:
                del self._usual[account]
        self._heavy = self._find_heavy()

    def is_heavy(self, account: ids.AccountId) -> bool:
        """Returns whether an account sends far more than its share."""
        return account in self._heavy

    def _find_heavy(self) -> frozenset[ids.AccountId]:
        total = sum(self._current.values())
        usual_total = sum(usual.per_s for usual in self._usual.values())
        equal_share = usual_total / max(1, len(self._usual))
        heavy = set()
        for account, demand in self._current.items():
            usual = self._usual[account].per_s
            share = max(usual, equal_share)
            others_usual = usual_total - usual
            if demand < MIN_DEMAND_PER_S or others_usual <= 0:
                continue
            others_growth = max(1.0, (total - demand) / others_usual)
            if demand > HEAVY_FACTOR * others_growth * share:
                heavy.add(account)
        return frozenset(heavy)
