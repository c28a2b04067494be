"""Leases with fencing tokens, stored as platform objects.

The holder measures the lease from just before it sent the write that took effect, stops using it
well before it expires and checks it again just before each order. A new holder first waits for the
longest time that an order may be in flight, because some engines ignore the fencing token.
"""

import dataclasses
import itertools
import math

from cicadapier._internal.models import ids

UNKNOWN_HOST = ids.Host("")
LEASE_DURATION_S = 10.0
RENEW_AFTER_S = 3.0
SAFETY_MARGIN_S = 4.0
MAX_ORDER_S = 3.0
# An engine that is silent for that long may read an order then, and goes on.
MAX_ENGINE_SILENCE_S = 1.5
MIN_WRITE_TIMEOUT_S = 0.15
MAX_WRITE_TIMEOUT_S = 0.8
WRITE_TIMEOUT_FACTOR = 4.0  # Timeout of a write as a multiple of the last response time.
WRITE_TIMEOUT_GROWTH = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Timing of a lease, in seconds.

    Attributes:
        valid_s: Time for which a holder may send orders, counted from just before its last write.
        expires_after_s: Time without a change after which other routers may take the lease.
        renew_after_s: Time after which the holder renews the lease.
        takeover_wait_s: Time that a new holder waits for orders of its predecessor in flight.
        quiet_s: Minimum time between the last order of one holder and the first of the next.
        reacquires_at_once: Whether a restarted router may take a lease that its VM holds without
            waiting for it to expire.
        delivery_s: Time at the end of `valid_s` in which a holder sends no orders, because they may
            arrive late.
    """

    valid_s: float = LEASE_DURATION_S - SAFETY_MARGIN_S
    expires_after_s: float = LEASE_DURATION_S
    renew_after_s: float = RENEW_AFTER_S
    takeover_wait_s: float = MAX_ORDER_S
    quiet_s: float = 0.0
    reacquires_at_once: bool = False
    delivery_s: float = 0.0


DEFAULT_TIMING = LeaseTiming()


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseObject:
    """A lease as stored on the platform.

    Attributes:
        holder: VM that holds the lease.
        nonce: Identity of the holder's process.
        fencing: Fencing token, which grows with each change of holder.
        renewals: Number of the attempt among all writes of the holder's process. It tells two
            attempts apart that write the same otherwise.
        note: Data that the holder publishes to the other routers.
        active: Whether the holder may send orders. A new holder may have to wait first.
        released: Whether the holder has released the lease and sends no more orders.
        quiet_s: Remaining quiet time, counted from the write: until it is over, the orders of
            earlier holders are too recent for a new holder to send its own.
        own_quiet_s: The quiet time that remains for the VM of the holder itself after a release.
        host: Host of the holder. A VM and its replacement may run at once under one name.
        hand_overs: Number of holders in a row that could not use the lease and released it.
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
    host: ids.Host = UNKNOWN_HOST
    hand_overs: int = 0


@dataclasses.dataclass(slots=True)
class _ObservedLease:
    """The lease last seen in the store and the local time at which it was first seen."""

    lease: LeaseObject
    changed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmedWrite:
    """A write of this router that took effect.

    Attributes:
        lease: The lease that was written.
        is_new: Whether this router did not hold the lease before.
        age_s: Time since just before the write was sent, in seconds.
    """

    lease: LeaseObject
    is_new: bool
    age_s: float


class WriteTimeout:
    """Adaptive timeout for lease writes, after which a write is retried.

    The timeout follows the response time of the store: if responses are lost, the write can be
    retried several times before the lease expires, and a slow store gets enough time to respond.

    Attributes:
        timeout_s: Current timeout, in seconds.
    """

    def __init__(self) -> None:
        self.timeout_s = MAX_WRITE_TIMEOUT_S

    def record_answer(self, took_s: float) -> None:
        """Records the time after which a write was answered or seen through the watch."""
        timeout_s = took_s * WRITE_TIMEOUT_FACTOR
        self.timeout_s = min(MAX_WRITE_TIMEOUT_S, max(MIN_WRITE_TIMEOUT_S, timeout_s))

    def record_timeout(self) -> None:
        """Records that a write was neither answered nor seen through the watch in time."""
        self.timeout_s = min(MAX_WRITE_TIMEOUT_S, self.timeout_s * WRITE_TIMEOUT_GROWTH)


class Lease:
    """One router's view of one lease.

    The class decides which objects to write; the caller reads and writes the store and reports
    what happened.
    """

    def __init__(
        self,
        vm: ids.VmId,
        nonce: str,
        timing: LeaseTiming = DEFAULT_TIMING,
        host: ids.Host = UNKNOWN_HOST,
    ) -> None:
        self._vm = vm
        self._host = host
        self._nonce = nonce
        self._timing = timing
        self._observed: _ObservedLease | None = None
        self._held: LeaseObject | None = None
        self._attempts = 0
        self._unconfirmed: dict[int, float] = {}  # Time of each attempt, by its number.
        self._requested_at = 0.0
        self._usable_from = 0.0
        self._last_order_at = -math.inf
        self._order_numbers = itertools.count()
        # Time until which each order without an answer may still be read, by its number.
        self._unanswered_orders: dict[int, float] = {}
        self._has_ordered = False  # Since it took the lease.
        # Until then, the orders of other holders that this router has seen are too recent.
        self._quiet_until = 0.0
        # The same if there is no lease: another router may have held one that the platform lost.
        self._quiet_until_if_absent = 0.0
        self._highest_fencing = 0

    def begin_anew(self, fencing_floor: int, now: float) -> None:
        """Forgets the lease, because the platform may have lost it or changes of it.

        Args:
            fencing_floor: Number below all fencing tokens to come.
            now: Current time.
        """
        self._observed = None
        self._held = None
        self._unconfirmed.clear()
        self._highest_fencing = max(self._highest_fencing, fencing_floor)
        self._quiet_until_if_absent = now + self._longest_quiet_s

    def observe(self, lease: LeaseObject | None, now: float) -> ConfirmedWrite | None:
        """Records the lease that the platform shows, or None if there is none.

        Returns:
            The write of this router that took effect, if the lease shows one that was not
            confirmed before.
        """
        if lease is None:
            self._observe_absence(now)
            return None
        is_own = lease.nonce == self._nonce
        requested_at = self._unconfirmed.get(lease.renewals) if is_own else None
        previous = self._observed
        if previous is None or previous.lease != lease:
            self._record_change(lease, is_own, now)
        if requested_at is not None:
            return self._confirm(lease, requested_at, now, previous is not None)
        if self._held and (not is_own or lease.fencing != self._held.fencing):
            self._held = None
        return None

    def _record_change(self, lease: LeaseObject, is_own: bool, now: float) -> None:
        if not is_own:
            self._update_quiet_until(lease, now)
            if self._is_of_this_vm(lease):
                # An earlier process on this VM, which may have sent an order just before it ended.
                self._last_order_at = now
        elif self._observed is None:
            # This router took the lease as there was none.
            self._quiet_until = max(self._quiet_until, self._quiet_until_if_absent)
        if lease.fencing < self._highest_fencing:
            # The platform shows an earlier state of the lease.
            self._quiet_until = max(self._quiet_until, now + self._longest_quiet_s)
        self._highest_fencing = max(self._highest_fencing, lease.fencing)
        # Clocks differ between VMs, so an observer measures the expiry on its own clock, from the
        # last change that it has seen.
        self._observed = _ObservedLease(lease, now)
        # Attempts that were based on the lease before this change can no longer take effect.
        self._unconfirmed.clear()

    def _observe_absence(self, now: float) -> None:
        if self._observed is not None:
            # Its holder may still use a lease that somebody removed.
            self.begin_anew(self._highest_fencing, now)

    def _confirm(
        self, lease: LeaseObject, requested_at: float, now: float, has_predecessor: bool
    ) -> ConfirmedWrite:
        is_new = self._held is None
        if is_new:
            self._has_ordered = False
            self._usable_from = self._first_order_at(now) if has_predecessor else self._quiet_until
        self._held = None if lease.released else lease
        self._requested_at = requested_at
        return ConfirmedWrite(lease, is_new, now - requested_at)

    def _update_quiet_until(self, lease: LeaseObject, now: float) -> None:
        """Updates the time until which this router must not send orders."""
        previous = self._observed.lease if self._observed else None
        # No holder has to state a longer time; a longer one would end all orders.
        quiet_s = min(lease.quiet_s, self._longest_quiet_s)
        own_quiet_s = min(lease.own_quiet_s, self._longest_quiet_s)
        if lease.released and self._is_of_this_vm(lease):
            self._quiet_until = max(self._quiet_until, now + own_quiet_s)
        elif lease.released and previous and previous.fencing == lease.fencing:
            # The holder confirms with the release that it has sent its last order, so only the
            # quiet time that it states remains.
            self._quiet_until = now + quiet_s
        elif not lease.active:
            self._quiet_until = max(self._quiet_until, now + quiet_s)
        elif not self._is_of_this_vm(lease):
            self._quiet_until = now + self._longest_quiet_s

    def _is_of_this_vm(self, lease: LeaseObject) -> bool:
        return (lease.holder, lease.host) == (self._vm, self._host)

    def propose(self, now: float, note: str = "", active: bool = True) -> LeaseObject | None:
        """Returns the object to write to take or renew the lease, or None if no write is due.

        Args:
            now: Current time.
            note: Data to publish to the other routers. A changed note causes a renewal.
            active: Whether orders are to be sent under the lease once the quiet time is over.
        """
        current = self._observed.lease if self._observed else None
        active = active and self._remaining_quiet_s(now) <= 0.0
        if current is None:
            return self._propose_take(now, note, active)
        is_latest = current.fencing >= self._highest_fencing
        if current.nonce == self._nonce and is_latest and not current.released:
            renewed_recently = now - self._requested_at < self._timing.renew_after_s
            is_unchanged = (note, active) == (current.note, current.active)
            if self._held and renewed_recently and is_unchanged:
                return None
            # If this router does not hold the lease by its own records, an earlier write took
            # effect without an answer.
            return dataclasses.replace(
                current,
                renewals=self._next_attempt(),
                note=note,
                active=active,
                quiet_s=self._remaining_quiet_s(now),
                hand_overs=0 if self._has_ordered else current.hand_overs,
            )
        reacquires = self._timing.reacquires_at_once and self._is_of_this_vm(current)
        is_expired = (
            self._observed and now - self._observed.changed_at >= self._timing.expires_after_s
        )
        if reacquires or current.released or is_expired:
            return self._propose_take(now, note, active)
        return None

    def _propose_take(self, now: float, note: str, active: bool) -> LeaseObject:
        return LeaseObject(
            self._vm,
            self._nonce,
            self._highest_fencing + 1,
            self._next_attempt(),
            note,
            active,
            quiet_s=self._remaining_quiet_s(now),
            host=self._host,
            hand_overs=self.hand_overs,
        )

    def propose_release(self, now: float) -> LeaseObject | None:
        """Returns the object to write to release the lease, or None if it is not held.

        The quiet time begins once an engine that is silent has read the orders without an answer.
        """
        if self._held is None:
            return None
        own_quiet_s = 0.0 if self._held.active else self._held.quiet_s
        quiet_s = self._held.quiet_s
        if self._held.active:
            quiet_s = max([now, *self._unanswered_orders.values()]) + self._timing.quiet_s - now
        return dataclasses.replace(
            self._held,
            renewals=self._next_attempt(),
            note="",
            active=False,
            released=True,
            quiet_s=quiet_s,
            own_quiet_s=own_quiet_s,
        )

    def propose_hand_over(self, now: float) -> LeaseObject | None:
        """Returns the object that releases a lease that this router cannot use, or None.

        The next holder waits only for the orders that this router has sent, if any.
        """
        release = self.propose_release(now)
        if release is None:
            return None
        quiet_s = release.quiet_s
        if self._held is not None and self._held.active:
            quiet_s = max(0.0, self._last_order_until() + self._timing.quiet_s - now)
        before = 0 if self._has_ordered else release.hand_overs
        return dataclasses.replace(release, quiet_s=quiet_s, hand_overs=before + 1)

    @property
    def _longest_quiet_s(self) -> float:
        """Quiet time after a lease whose holder may have written it just now."""
        timing = self._timing
        return timing.valid_s + max(timing.quiet_s, timing.takeover_wait_s)

    def _remaining_quiet_s(self, now: float) -> float:
        until = self._quiet_until
        if self._observed is None:
            until = max(until, self._quiet_until_if_absent)
        return max(0.0, until - now)

    def _next_attempt(self) -> int:
        self._attempts += 1
        return self._attempts

    def begin_write(self, proposal: LeaseObject, now: float) -> None:
        """Records that a proposal is about to be sent to the platform.

        Its outcome is known once `observe` gets a lease that differs from the one that the proposal
        was based on.
        """
        # An attempt that is older than the lease's validity is worth nothing once confirmed.
        oldest = now - self._timing.valid_s
        self._unconfirmed = {
            attempt: sent_at for attempt, sent_at in self._unconfirmed.items() if sent_at > oldest
        }
        self._unconfirmed[proposal.renewals] = now
        if proposal.released:
            # A release may take effect without an answer.
            self._held = None

    def record_refused(self, proposal: LeaseObject) -> None:
        """Records that the platform refused a proposal."""
        self._unconfirmed.pop(proposal.renewals, None)
        self._held = None

    def is_unconfirmed(self, proposal: LeaseObject) -> bool:
        """Returns whether it is not known whether a proposal took effect."""
        return proposal.renewals in self._unconfirmed

    @property
    def has_unconfirmed(self) -> bool:
        """Whether it is not known whether some recent proposal took effect."""
        return bool(self._unconfirmed)

    @property
    def is_holder(self) -> bool:
        """Whether this router holds the lease, by its latest information."""
        return self._held is not None

    def fencing_token(self, now: float) -> int | None:
        """Returns the fencing token if an order may be sent now, else None."""
        if self._held is None or not self._held.active or now < self._usable_from:
            return None
        if now >= self._requested_at + self._timing.valid_s - self._timing.delivery_s:
            return None
        return self._held.fencing

    def record_order(self, now: float) -> int:
        """Records that an order is about to be sent; returns its number."""
        number = next(self._order_numbers)
        self._unanswered_orders = {
            order: until for order, until in self._unanswered_orders.items() if until > now
        }
        self._unanswered_orders[number] = now + MAX_ENGINE_SILENCE_S
        self._last_order_at = now
        self._has_ordered = True
        return number

    def record_order_answer(self, number: int, now: float) -> None:
        """Records that an order was answered, so that it is not read later."""
        self._unanswered_orders.pop(number, None)
        self._last_order_at = max(self._last_order_at, now)

    def _last_order_until(self) -> float:
        """Returns the time until which an order of this router may be read."""
        answered_until = self._last_order_at + self._timing.delivery_s
        return max([answered_until, *self._unanswered_orders.values()])

    @property
    def hand_overs(self) -> int:
        """Number of holders in a row that could not use the lease and released it."""
        return self._observed.lease.hand_overs if self._observed else 0

    @property
    def changed_at(self) -> float:
        """Time of the last change that this router has seen; minus infinity without one."""
        return self._observed.changed_at if self._observed else -math.inf

    @property
    def unread_until(self) -> float:
        """Time until which an order of the holder may be too recent, if it is read late.

        A holder that is gone may have left its last order unread in an engine that is silent. That
        concerns the engines that it was updating, so others need not wait for so long. Minus
        infinity if the last lease was released, is this VM's own or was not in use.
        """
        if self._observed is None:
            return -math.inf
        lease = self._observed.lease
        if lease.released or not lease.active or self._is_of_this_vm(lease):
            return -math.inf
        last_order_at = self._observed.changed_at + self._timing.valid_s - self._timing.delivery_s
        return last_order_at + MAX_ENGINE_SILENCE_S + self._timing.quiet_s

    @property
    def is_released(self) -> bool:
        """Whether its last holder has released it, and has said how recent its orders are."""
        return self._observed is not None and self._observed.lease.released

    @property
    def last_holder(self) -> ids.VmId | None:
        """VM that holds or last held the lease, or None if there is no lease yet."""
        return self._observed.lease.holder if self._observed else None

    def _first_order_at(self, now: float) -> float:
        """Returns when a router that takes the lease from another may send its first order."""
        return max(now + self._timing.takeover_wait_s, self._quiet_until)
