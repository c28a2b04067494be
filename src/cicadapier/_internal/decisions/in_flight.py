"""Requests that a router has admitted, and their attempts."""

import dataclasses

from cicadapier._internal.decisions import backups
from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import routing
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt that is in progress.

    Attributes:
        estimate: The chosen upstream and the estimates for it.
        incarnation: Incarnation of the upstream that was known at placement.
        started_at: Time of its placement.
        silence_counted: Whether its silence was recorded as a failure of its upstream.
        software: Version of the upstream's software.
    """

    estimate: members.Estimate
    incarnation: ids.Incarnation
    started_at: float
    silence_counted: bool = False
    software: str = ""


@dataclasses.dataclass(slots=True)
class ActiveRequest:
    """A request that has been admitted and has not ended.

    Attributes:
        request_spec: The request as it was submitted.
        account: Configuration of its account.
        admitted_at: Time of its admission.
        attempt: Its current attempt; None between attempts.
        hedge: Second attempt beside a silent current one, which it replaces once it is answered.
        backup: Location of the backup of its run, if any.
        failed_upstreams: Upstreams at which attempts have failed.
        is_trial: Whether it tries a blocked part of its prompt.
        software: Version of the software that began the answer, at which alone it can go on; None
            until it has begun.
        is_observed: Whether the delay of its first event has been recorded.
    """

    request_spec: routing.RequestSpec
    account: configuration.Account
    admitted_at: float
    attempt: Attempt | None = None
    hedge: Attempt | None = None
    backup: backups.Backup | None = None
    failed_upstreams: set[ids.UpstreamId] = dataclasses.field(default_factory=set)
    is_trial: bool = False
    software: str | None = None
    is_observed: bool = False

    @property
    def attempts(self) -> list[Attempt]:
        """The attempts that are in progress."""
        return [attempt for attempt in (self.attempt, self.hedge) if attempt]

    def record_output(self, attempt: Attempt) -> None:
        """Records that an attempt has produced output."""
        if self.software is None:
            self.software = attempt.software

    def placement_request(
        self, exclude: frozenset[ids.UpstreamId] = frozenset()
    ) -> members.PlacementRequest:
        """Returns the request in the form that the placement policy takes."""
        request_spec = self.request_spec
        return members.PlacementRequest(
            request_spec.request,
            request_spec.prompt,
            self.account.service_class,
            exclude,
            request_spec.weights,
            request_spec.model,
            request_spec.memory_tokens,
        )
