"""Terms under which the quota of an account is kept, and its split among issuers.

Load pattern: an account sends many times its quota through all routers at once, or through one.
"""

import dataclasses
import math

# An unused grant is lost after this time; the longer one needs an allowance for what is used late.
MIN_GRANT_LIFETIME_S = 0.4
MAX_GRANT_LIFETIME_S = 1.0
SEND_DELAY_S = 0.3  # Usual longest time from the use of a grant until the request is sent.
MAX_ISSUERS = 5  # The loss of one issuer then costs a fifth of the quota.
MIN_REQUESTS_PER_ISSUER = 1.5  # Parts of less than this are mostly too small for any request.
MAX_SAVED_BURSTS = 4.0  # The slack may be many times a small quota.
MAX_SPARE_SHARE = 0.8  # The rest covers issuers that change while not all routers know it.


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """What may run beyond a quota in a window.

    Attributes:
        window_s: Length of the window.
        overage: Share of the quota.
        slack: Additional requests, or tokens if the quota counts tokens.
    """

    window_s: float = 10.0
    overage: float = 0.1
    slack: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """The quota of one account.

    Attributes:
        rate_per_s: Requests or tokens per second.
        burst: Requests or tokens that may run at once.
        unit_cost: Cost of a usual request: 1, or a number of tokens.
        allowance: What may run beyond the quota.
    """

    rate_per_s: float
    burst: float
    unit_cost: float
    allowance: Allowance

    @property
    def window_total(self) -> float:
        """Largest sum of costs in a window, without the overage."""
        return self.rate_per_s * self.allowance.window_s + self.burst

    @property
    def capacity(self) -> float:
        """Level up to which unused quota is saved.

        Grants are used up to their lifetime and sent `SEND_DELAY_S` later than they were issued, so
        a window holds that much more than was issued in it. What the allowance leaves then is added
        to the burst, so that requests within the quota are not refused for the parts that it is
        issued in.
        """
        late = self.rate_per_s * (self.grant_lifetime_s + SEND_DELAY_S)
        most = MAX_SAVED_BURSTS * max(self.burst, self.rate_per_s)
        return max(0.0, min(most, self.burst + self._spare - late))

    @property
    def grant_lifetime_s(self) -> float:
        """Time after which an unused grant is lost."""
        if self.rate_per_s <= 0:
            return MIN_GRANT_LIFETIME_S
        covered_s = self._spare / self.rate_per_s - SEND_DELAY_S
        return min(MAX_GRANT_LIFETIME_S, max(MIN_GRANT_LIFETIME_S, covered_s))

    @property
    def _spare(self) -> float:
        allowance = self.allowance
        return MAX_SPARE_SHARE * (self.window_total * allowance.overage + allowance.slack)

    def issuer_count(self, routers: int) -> int:
        """Returns how many routers issue parts of the quota in a fleet of this size."""
        requests = max(self.burst, self.rate_per_s) / max(1.0, self.unit_cost)
        parts = math.floor(min(requests / MIN_REQUESTS_PER_ISSUER, MAX_ISSUERS))
        return min(routers, max(1, parts))
