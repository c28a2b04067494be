"""Leases with fencing numbers, held as platform objects.

The holder counts its time from before it asked, stops well before the lease ends and checks again
just before each order. A new holder waits out the longest order that may still be in flight,
because some engines ignore the fencing number.
"""

import dataclasses

from cicadapier._internal.models import ids

LEASE_DURATION_S = 10.0
RENEW_AFTER_S = 3.0
SAFETY_MARGIN_S = 4.0
MAX_ORDER_S = 3.0
MIN_WRITE_TIMEOUT_S = 0.15
MAX_WRITE_TIMEOUT_S = 0.8
WRITE_TIMEOUT_FACTOR = 4.0  # Wait for an answer, in times of the last one.
WRITE_TIMEOUT_GROWTH = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Times of a lease, in seconds.

    Attributes:
        valid_s: Time for which a holder may give orders after it asked.
        expires_after_s: Time without a change after which others may take the lease.
        renew_after_s: Time after which the holder renews it.
        takeover_wait_s: Time that a new holder waits for orders still in flight.
        quiet_s: Least time between the last order of one holder and the first of the next.
        reacquires_at_once: Whether a router that has started again may take its VM's lease at once.
    """

    valid_s: float = LEASE_DURATION_S - SAFETY_MARGIN_S
    expires_after_s: float = LEASE_DURATION_S
    renew_after_s: float = RENEW_AFTER_S
    takeover_wait_s: float = MAX_ORDER_S
    quiet_s: float = 0.0
    reacquires_at_once: bool = False


DEFAULT_TIMING = LeaseTiming()


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseObject:
    """A lease as the platform holds it.

    Attributes:
        holder: VM that holds it.
        nonce: Identity of the holder's process.
        fencing: Number that grows with each change of holder.
        renewals: Number that grows with each renewal.
        note: What the holder tells the other routers with it.
        active: Whether the holder may give orders under it; at first it may have to wait.
        released: Whether the holder has given it up and sends no more orders.
        quiet_s: Time from the write on in which orders of earlier holders are still too near.
        own_quiet_s: The same for the holder's VM itself, where it has been given up.
    """

    holder: ids.VmId
    nonce: str
    fencing: int
    renewals: int
    note: str = ""
    active: bool = True
    released: bool = False
    quiet_s: float = 0.0
    own_quiet_s: float = 0.0


@dataclasses.dataclass(slots=True)
class _ObservedLease:
    lease: LeaseObject
    changed_at: float


class WriteTimeout:
    """How long to wait for the answer to a write of a lease before it is written again.

    A store that loses answers is asked again several times before the lease ends; one that is slow
    gets the time that it takes.

    Attributes:
        timeout_s: Longest wait, in seconds.
    """

    def __init__(self) -> None:
        self.timeout_s = MAX_WRITE_TIMEOUT_S

    def record_answer(self, took_s: float) -> None:
        """Records that a write was answered, or shown by the watch, in so many seconds."""
        timeout_s = took_s * WRITE_TIMEOUT_FACTOR
        self.timeout_s = min(MAX_WRITE_TIMEOUT_S, max(MIN_WRITE_TIMEOUT_S, timeout_s))

    def record_timeout(self) -> None:
        """Records that a write was neither answered nor shown within the limit."""
        self.timeout_s = min(MAX_WRITE_TIMEOUT_S, self.timeout_s * WRITE_TIMEOUT_GROWTH)


class Lease:
    """One router's view of one lease."""

    def __init__(self, vm: ids.VmId, nonce: str, timing: LeaseTiming = DEFAULT_TIMING) -> None:
        self._vm = vm
        self._nonce = nonce
        self._timing = timing
        self._observed: _ObservedLease | None = None
        self._held: LeaseObject | None = None
        self._requested_at = 0.0
        self._usable_from = 0.0
        self._quiet_until = 0.0

    def observe(self, lease: LeaseObject | None, now: float) -> None:
        """Takes over what the platform shows."""
        if lease is None:
            self._observed = None
            return
        if self._observed is None or self._observed.lease != lease:
            self._update_quiet_until(lease, now)
            # Clocks differ, so a lease ends by the observer's clock, from the last change on.
            self._observed = _ObservedLease(lease, now)
        if self._held and (lease.nonce, lease.fencing) != (self._nonce, self._held.fencing):
            self._held = None

    def _update_quiet_until(self, lease: LeaseObject, now: float) -> None:
        """Works out until when the orders of others are too near for one of this router."""
        previous = self._observed.lease if self._observed else None
        if lease.released and lease.holder == self._vm:
            self._quiet_until = max(self._quiet_until, now + lease.own_quiet_s)
        elif lease.released and previous and previous.fencing == lease.fencing:
            # The holder itself says that its last order is behind it.
            self._quiet_until = now + lease.quiet_s
        elif not lease.active:
            self._quiet_until = max(self._quiet_until, now + lease.quiet_s)
        elif lease.holder != self._vm:
            self._quiet_until = now + self._timing.valid_s + self._timing.quiet_s

    def propose(self, now: float, note: str = "", active: bool = True) -> LeaseObject | None:
        """Returns the object to write in order to take or renew the lease, or None.

        Args:
            now: Present time.
            note: What to tell the other routers with it; a new note is a reason to renew.
            active: Whether orders are to be given under it, as far as it may be used yet.
        """
        current = self._observed.lease if self._observed else None
        active = active and now >= self._quiet_until
        if current is None:
            return LeaseObject(self._vm, self._nonce, 1, 0, note, active)
        if current.nonce == self._nonce and not current.released:
            renewed_recently = now - self._requested_at < self._timing.renew_after_s
            is_unchanged = (note, active) == (current.note, current.active)
            if self._held and renewed_recently and is_unchanged:
                return None
            # Without being held, a write that was not answered has taken effect.
            return dataclasses.replace(
                current,
                renewals=current.renewals + 1,
                note=note,
                active=active,
                quiet_s=self._remaining_quiet_s(now),
            )
        reacquires = self._timing.reacquires_at_once and current.holder == self._vm
        is_expired = (
            self._observed and now - self._observed.changed_at >= self._timing.expires_after_s
        )
        if reacquires or current.released or is_expired:
            quiet_s = self._remaining_quiet_s(now)
            return LeaseObject(
                self._vm, self._nonce, current.fencing + 1, 0, note, active, False, quiet_s
            )
        return None

    def propose_release(self) -> LeaseObject | None:
        """Returns the object to write in order to give the lease up, None where it is not held."""
        if self._held is None:
            return None
        own_quiet_s = 0.0 if self._held.active else self._held.quiet_s
        quiet_s = self._timing.quiet_s if self._held.active else self._held.quiet_s
        return dataclasses.replace(
            self._held,
            renewals=self._held.renewals + 1,
            note="",
            active=False,
            released=True,
            quiet_s=quiet_s,
            own_quiet_s=own_quiet_s,
        )

    def _remaining_quiet_s(self, now: float) -> float:
        return max(0.0, self._quiet_until - now)

    def record_written(self, lease: LeaseObject, requested_at: float, now: float) -> None:
        """Records that the platform accepted a proposal.

        Args:
            lease: The proposal.
            requested_at: Time just before the write was sent.
            now: Present time.
        """
        if self._held is None:
            self._usable_from = self._first_order_at(now)
        self._held = None if lease.released else lease
        self._requested_at = requested_at
        self._observed = _ObservedLease(lease, now)

    def record_refused(self) -> None:
        """Records that a proposal was refused."""
        self._held = None

    @property
    def is_holder(self) -> bool:
        """Whether this router holds the lease, as far as it knows."""
        return self._held is not None

    def fencing_token(self, now: float) -> int | None:
        """Returns the fencing number where an order may be sent now, else None."""
        if self._held is None or not self._held.active or now < self._usable_from:
            return None
        if now >= self._requested_at + self._timing.valid_s:
            return None
        return self._held.fencing

    @property
    def last_holder(self) -> ids.VmId | None:
        """VM that holds or last held the lease, None where it is new."""
        return self._observed.lease.holder if self._observed else None

    def _first_order_at(self, now: float) -> float:
        """Returns when a holder that has just taken the lease may give its first order."""
        if self._observed is None:
            return now
        return max(now + self._timing.takeover_wait_s, self._quiet_until)
