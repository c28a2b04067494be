"""Limits on the open streams of client accounts, and rates that several decisions share.

Each router enforces its share of an account's limit. The share is proportional to the demand that
the routers report to each other; a router that receives no reports falls back to an equal share.
Limits on the rates of accounts are kept by `account_quotas`.
"""

import dataclasses
import math

from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids

BURST_S = 1.0
DEMAND_WINDOW_S = 2.0
MIN_AGE_S = 0.25
_MIN_SHARE = 0.02  # As a fraction of the equal share.


class TokenBucket:
    """Token bucket whose rate may change at any time."""

    def __init__(self, rate_per_s: float, now: float, burst_s: float = BURST_S) -> None:
        """Creates a full bucket; its capacity is the tokens of `burst_s`, but at least 1."""
        self._rate = rate_per_s
        self._burst_s = burst_s
        self._level = self._capacity()
        self._updated_at = now

    def empty(self) -> None:
        """Removes all tokens; a debt remains."""
        self._level = min(0.0, self._level)

    def set_rate(self, rate_per_s: float, now: float) -> None:
        """Changes the refill rate from now on."""
        self._refill(now)
        self._rate = rate_per_s
        self._level = min(self._level, self._capacity())

    def wait_s(self, cost: float, now: float) -> float:
        """Returns the time until `cost` can be taken, 0 if it can be taken now.

        A cost above the capacity can be taken once the bucket is full, and leaves a debt.
        """
        self._refill(now)
        missing = min(cost, self._capacity()) - self._level
        if missing <= 1e-9:
            return 0.0
        return missing / self._rate if self._rate > 0 else math.inf

    def take(self, cost: float) -> None:
        """Takes `cost` tokens, which may leave a debt."""
        self._level -= cost

    def _capacity(self) -> float:
        return max(1.0, self._rate * self._burst_s)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(self._updated_at, now)
        self._level = min(self._capacity(), self._level + elapsed * self._rate)


class DecayingRate:
    """Rate of events, as an exponentially decaying average."""

    def __init__(self, window_s: float = DEMAND_WINDOW_S) -> None:
        self._window_s = window_s
        self._weight = 0.0
        self._updated_at = -math.inf
        self._first_at = math.inf

    def add(self, amount: float, now: float) -> None:
        """Records an event with a weight of `amount`."""
        self._weight = self._decayed(now) + amount
        self._updated_at = now
        self._first_at = min(self._first_at, now)

    def per_s(self, now: float) -> float:
        """Returns the current rate per second."""
        return self._decayed(now) / self._window_s

    def unbiased_per_s(self, now: float) -> float:
        """Returns the rate corrected for the bias of a window that is not full yet."""
        age_s = max(MIN_AGE_S, now - self._first_at)
        if age_s > 5 * self._window_s:
            return self.per_s(now)
        return self.per_s(now) / (1.0 - math.exp(-age_s / self._window_s))

    def _decayed(self, now: float) -> float:
        if self._weight == 0.0:
            return 0.0
        return self._weight * math.exp(-(now - self._updated_at) / self._window_s)


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteUse:
    """Use of an account by other routers.

    Attributes:
        demand_per_s: Requests per second that they receive.
        streams: Requests that they are running.
    """

    demand_per_s: float = 0.0
    streams: int = 0


@dataclasses.dataclass(slots=True)
class _AccountState:
    demand: DecayingRate = dataclasses.field(default_factory=DecayingRate)
    streams: int = 0
    remote: RemoteUse = RemoteUse()


@dataclasses.dataclass(frozen=True, slots=True)
class Permitted:
    """The request is within the limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Exceeded:
    """The request exceeds a limit.

    Attributes:
        limit: Name of the limit.
        retry_after_s: Time until the request would be within the limit.
    """

    limit: str
    retry_after_s: float


STREAM_RETRY_S = 1.0


class AccountLimits:
    """This router's shares of the limits of all accounts on open streams."""

    def __init__(self) -> None:
        self._states: dict[ids.AccountId, _AccountState] = {}
        self._routers = 1

    def set_routers(self, count: int) -> None:
        """Sets the number of routers, including unreachable ones."""
        self._routers = max(1, count)

    def set_remote_use(self, use: dict[ids.AccountId, RemoteUse]) -> None:
        """Replaces the total use that all other routers report, by account."""
        for account, state in self._states.items():
            state.remote = use.get(account, RemoteUse())

    @property
    def routers(self) -> int:
        """Number of routers, including unreachable ones."""
        return self._routers

    def fleet_demand(self, now: float) -> dict[ids.AccountId, float]:
        """Returns the requests per second of each account that all routers receive together."""
        return {
            account: state.demand.per_s(now) + state.remote.demand_per_s
            for account, state in self._states.items()
        }

    def local_use(self, now: float) -> dict[ids.AccountId, RemoteUse]:
        """Returns this router's own use of each active account."""
        return {
            account: RemoteUse(state.demand.per_s(now), state.streams)
            for account, state in self._states.items()
            if state.streams or state.demand.per_s(now) > 0.01
        }

    def admit(
        self, account: ids.AccountId, spec: configuration.Account, now: float
    ) -> Permitted | Exceeded:
        """Counts a request as open, or returns the limit of its account that it exceeds."""
        state = self._states.setdefault(account, _AccountState())
        state.demand.add(1.0, now)
        share = self._share(state, now)
        if state.streams + 1 > self._stream_limit(state, spec, share):
            return Exceeded("streams", STREAM_RETRY_S)
        state.streams += 1
        return Permitted()

    def release(self, account: ids.AccountId) -> None:
        """Records the end of an admitted request."""
        state = self._states.get(account)
        if state:
            state.streams = max(0, state.streams - 1)

    def _share(self, state: _AccountState, now: float) -> float:
        equal_share = 1.0 / self._routers
        local_per_s = state.demand.per_s(now)
        if state.remote.demand_per_s <= 0:
            # A network partition may hide the use of other routers; only an equal share is safe.
            return equal_share
        demand_share = local_per_s / (local_per_s + state.remote.demand_per_s)
        return max(_MIN_SHARE * equal_share, demand_share)

    def _stream_limit(self, state: _AccountState, spec: configuration.Account, share: float) -> int:
        limit = spec.limits.streams
        if state.remote.streams or state.remote.demand_per_s > 0:
            unused = limit - state.remote.streams
            return max(1, min(unused, math.ceil(limit * share)))
        return max(1, math.ceil(limit * share))
