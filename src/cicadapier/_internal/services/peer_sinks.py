"""Interfaces of the services that exchange messages with other routers."""

from typing import Any
from typing import Protocol

from cicadapier._internal.decisions import rate_limits
from cicadapier._internal.decisions import withdrawals
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.protocols import shared_reads_codec


class QuotaSink(Protocol):
    """Service that requests and issues grants."""

    mailbox: mailbox.Mailbox[Any]


class AccountQuotaSink(Protocol):
    """Service that keeps the quotas of accounts."""

    mailbox: mailbox.Mailbox[Any]


class SharedReadsSink(Protocol):
    """Service that shares the reads of the store."""

    def handle(self, message: shared_reads_codec.Message) -> None:
        """Handles a message of another router."""


class OriginSink(Protocol):
    """Service that knows the origins of streams."""

    mailbox: mailbox.Mailbox[Any]


class RateLimitExchange(Protocol):
    """Rate limits that upstreams have announced."""

    def notices_for_peers(self) -> tuple[rate_limits.LimitNotice, ...]:
        """Returns the limit notices to send to the peers."""

    def notices_in_force(self) -> tuple[rate_limits.LimitNotice, ...]:
        """Returns the notices of all known limits, for a router that has just started."""

    def record_notice(self, notice: rate_limits.LimitNotice, source: str) -> None:
        """Records a limit notice that another router has sent."""


class UpstreamStateSource(Protocol):
    """Service that records what upstreams announce about themselves.

    Attributes:
        limits: Announced rate limits; None if the service does not track any.
    """

    @property
    def limits(self) -> RateLimitExchange | None:
        """See the class docstring."""

    def known_withdrawals(self) -> tuple[withdrawals.Withdrawal, ...]:
        """Returns the upstreams that have announced that they are leaving."""

    def record_withdrawal(self, withdrawal: withdrawals.Withdrawal, source: str) -> None:
        """Records a withdrawal that another router has sent."""
