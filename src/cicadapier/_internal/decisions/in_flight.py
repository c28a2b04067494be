"""Requests that have entered a router, and their attempts."""

import dataclasses

from cicadapier._internal.decisions import backups
from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import routing
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt that is under way.

    Attributes:
        estimate: Where it is.
        incarnation: Incarnation that was known of that upstream.
        started_at: When it was placed.
        silence_counted: Whether its silence was counted against its upstream.
    """

    estimate: members.Estimate
    incarnation: ids.Incarnation
    started_at: float
    silence_counted: bool = False


@dataclasses.dataclass(slots=True)
class ActiveRequest:
    """A request that has entered.

    Attributes:
        entry: What entered.
        account: Declaration of its account.
        admitted_at: When it entered.
        attempt: Its present attempt, None between attempts.
        relief: Attempt that takes over from a silent one once it is answered.
        backup: Where its run is backed up.
        failed_upstreams: Upstreams at which attempts have failed.
    """

    entry: routing.Entry
    account: configuration.Account
    admitted_at: float
    attempt: Attempt | None = None
    hedge: Attempt | None = None
    backup: backups.Backup | None = None
    failed_upstreams: set[ids.UpstreamId] = dataclasses.field(default_factory=set)

    @property
    def attempts(self) -> list[Attempt]:
        """The attempts that are under way."""
        return [attempt for attempt in (self.attempt, self.hedge) if attempt]

    def placement_request(
        self, exclude: frozenset[ids.UpstreamId] = frozenset()
    ) -> members.PlacementRequest:
        """Returns what the placement policy is asked."""
        entry = self.entry
        return members.PlacementRequest(
            entry.request,
            entry.prompt,
            self.account.service_class,
            exclude,
            entry.weights,
            entry.model,
            entry.memory_tokens,
        )
