"""Messages between the routers that need the quota of accounts and those that issue it.

Load pattern: many accounts in use at once, so one message carries the requests for several.
"""

import dataclasses

from cicadapier._internal.models import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Request for a grant.

    Attributes:
        account: Account whose quota is needed.
        number: Number that the answer repeats; no two requests of a router share one.
        amount: Requests or tokens that are needed.
        least: Smallest amount that is of use.
        demand_per_s: What callers ask of the router, as far as it concerns this issuer.
    """

    account: ids.AccountId
    number: int
    amount: float
    least: float
    demand_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Answer to a request for a grant.

    Attributes:
        account: Account whose quota it is.
        number: Number of the request.
        amount: Requests or tokens that may be sent; 0 if there are none now.
        wait_s: Time until there may be more, to be told to callers.
    """

    account: ids.AccountId
    number: int
    amount: float
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaRequest:
    """Requests for grants of one router to one issuer.

    Attributes:
        sender: Router that sends them.
        reply_to: Its peer address.
        asks: The requests.
    """

    sender: ids.VmId
    reply_to: ids.Address
    asks: tuple[Ask, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaAnswer:
    """Answers of an issuer to one router.

    Attributes:
        issuer: Router that issues the grants.
        grants: The answers.
    """

    issuer: ids.VmId
    grants: tuple[Grant, ...]
