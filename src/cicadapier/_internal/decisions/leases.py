"""Leases with fencing numbers, held as platform objects.

The holder counts its time from before it asked, stops well before the lease ends and checks again
just before each order. A new holder waits out the longest order that may still be in flight,
because some engines ignore the fencing number.
"""

import dataclasses

from cicadapier._internal.models import ids

LEASE_S = 10.0
RENEW_AFTER_S = 3.0
SAFETY_MARGIN_S = 4.0
LONGEST_ORDER_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseObject:
    """A lease as the platform holds it.

    Attributes:
        holder: VM that holds it.
        nonce: Identity of the holder's process.
        fencing: Number that grows with each change of holder.
        renewals: Number that grows with each renewal.
    """

    holder: ids.VmId
    nonce: str
    fencing: int
    renewals: int


@dataclasses.dataclass(slots=True)
class _Observed:
    lease: LeaseObject
    since: float


class Lease:
    """One router's view of one lease."""

    def __init__(self, vm: ids.VmId, nonce: str) -> None:
        self._vm = vm
        self._nonce = nonce
        self._observed: _Observed | None = None
        self._held: LeaseObject | None = None
        self._asked_at = 0.0
        self._usable_from = 0.0

    def observed(self, lease: LeaseObject | None, now: float) -> None:
        """Takes over what the platform shows."""
        if lease is None:
            self._observed = None
            return
        if self._observed is None or self._observed.lease != lease:
            # Clocks differ, so a lease ends by the observer's clock, from the last change on.
            self._observed = _Observed(lease, now)
        if self._held and (lease.nonce, lease.fencing) != (self._nonce, self._held.fencing):
            self._held = None

    def proposal(self, now: float) -> LeaseObject | None:
        """Returns the object to write in order to take or renew the lease, or None."""
        current = self._observed.lease if self._observed else None
        if current is None:
            return LeaseObject(self._vm, self._nonce, 1, 0)
        if self._held and current.nonce == self._nonce:
            if now - self._asked_at < RENEW_AFTER_S:
                return None
            return dataclasses.replace(current, renewals=current.renewals + 1)
        if self._observed and now - self._observed.since >= LEASE_S:
            return LeaseObject(self._vm, self._nonce, current.fencing + 1, 0)
        return None

    def written(self, lease: LeaseObject, asked_at: float, now: float) -> None:
        """Records that the platform accepted a proposal.

        Args:
            lease: The proposal.
            asked_at: Time just before the write was sent.
            now: Present time.
        """
        taken_over = self._held is None
        had_holder = self._observed is not None
        self._held = lease
        self._asked_at = asked_at
        self._observed = _Observed(lease, now)
        if taken_over:
            self._usable_from = now + (LONGEST_ORDER_S if had_holder else 0.0)

    def lost(self) -> None:
        """Records that a proposal was refused."""
        self._held = None

    def fencing_number(self, now: float) -> int | None:
        """Returns the fencing number where an order may be sent now, else None."""
        if self._held is None or now < self._usable_from:
            return None
        if now >= self._asked_at + LEASE_S - SAFETY_MARGIN_S:
            return None
        return self._held.fencing
