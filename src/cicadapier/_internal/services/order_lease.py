"""Lease that allows one router at a time to send load orders to the engines of a pool.

The lease is an object in the store. In its note, the holder announces to the other routers which
engines are about to load and which have loaded.
"""

import collections.abc
import dataclasses

import msgspec
import structlog
import trio

from cicadapier._internal.decisions import lease_candidacy
from cicadapier._internal.decisions import leases
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import partial_json
from cicadapier._internal.protocols import store_format
from cicadapier._internal.services import cluster_service
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import lease_objects
from cicadapier._internal.services import platform_service
from cicadapier._internal.services import watching

NAME_PREFIX = "orders-"
TOKENS_PER_EPOCH = 1_000_000
MAX_RELEASE_TRIES = 3

_log = structlog.get_logger()


class Note(msgspec.Struct):
    """Note that the holder publishes to the other routers with its lease.

    Attributes:
        model: The model.
        loading: Engines that are loading or about to load.
        loaded: Weights version of engines that have loaded recently.
    """

    model: str = ""
    loading: list[str] = []
    loaded: dict[str, str] = {}


class OrderLease:
    """Reads and writes the lease of one pool in the store.

    In each epoch of the store, the lease is another object: neither a lease that the store has
    restored nor a write that was meant for the former epoch counts.

    Attributes:
        pool: The pool.
    """

    def __init__(
        self,
        pool: ids.PoolId,
        lease: leases.Lease,
        nonce: str,
        cluster: cluster_service.ClusterService,
        clock: watching.Clock,
    ) -> None:
        self.pool = pool
        self._lease = lease
        self._epoch: ids.StoreEpoch | None = None
        self._nonce = nonce
        self._cluster = cluster
        self._clock = clock
        self._observed_object: store_format.StoredObject | None = None
        self._note_text = ""
        self._shown_holder: tuple[ids.VmId, int] | None = None
        self._write_timeout = leases.WriteTimeout()

    @property
    def is_holder(self) -> bool:
        """Whether this router holds the lease, by its latest information."""
        return self._lease.is_holder

    @property
    def unread_until(self) -> float:
        """See `leases.Lease.unread_until`."""
        return self._lease.unread_until

    @property
    def last_holder(self) -> ids.VmId | None:
        """See `leases.Lease.last_holder`."""
        return self._lease.last_holder

    @property
    def is_released(self) -> bool:
        """See `leases.Lease.is_released`."""
        return self._lease.is_released

    def vacancy(self, outdated_since: float) -> lease_candidacy.Vacancy:
        """Returns what this router knows of the lease, which it does not hold.

        Args:
            outdated_since: Time since which some engine of the pool is outdated.
        """
        lease = self._lease
        return lease_candidacy.Vacancy(
            self.pool, outdated_since, lease.last_holder, lease.hand_overs, lease.changed_at
        )

    @property
    def note(self) -> Note:
        """The note that was last read or written."""
        return _read_note(self._note_text)

    def fencing_token(self) -> int | None:
        """Returns the fencing token if an order may be sent now, else None."""
        self._follow_epoch()
        return self._lease.fencing_token(self._clock())

    def record_order(self) -> int:
        """Records that an order is about to be sent; returns its number."""
        return self._lease.record_order(self._clock())

    def record_order_answer(self, number: int) -> None:
        """Records that an order was answered."""
        self._lease.record_order_answer(number, self._clock())

    def _follow_epoch(self) -> None:
        """Gives up a lease of a former epoch."""
        epoch = self._cluster.platform.epoch
        if epoch is None or epoch == self._epoch:
            return
        _log.info(
            "lease_epoch_begun", pool=self.pool, epoch=epoch, was_holder=self._lease.is_holder
        )
        self._epoch = epoch
        # An epoch may be 0, and tokens of a lease without an epoch count from 1.
        self._lease.begin_anew((epoch + 1) * TOKENS_PER_EPOCH, self._clock())
        self._observe_stored("watch")

    def observe(self) -> Note | None:
        """Processes the lease in the store; returns a new note of another router, if any."""
        lease = self._observe_stored("watch")
        if lease is None or lease.note == self._note_text:
            return None
        self._note_text = lease.note
        return None if lease.nonce == self._nonce else _read_note(lease.note)

    def _observe_stored(self, source: str) -> leases.LeaseObject | None:
        """Observes the lease as the cluster service knows it; returns it.

        Args:
            source: What brought the last news of it, for the log.
        """
        self._follow_epoch()
        stored = self._cluster.find(self._name)
        lease = lease_objects.read_lease(stored)
        self._log_holder_change(lease, stored)
        self._observed_object = stored
        confirmed = self._lease.observe(lease, self._clock())
        if confirmed:
            self._log_confirmed(confirmed, source)
            self._note_text = confirmed.lease.note
        return lease

    def _log_holder_change(
        self, lease: leases.LeaseObject | None, stored: store_format.StoredObject | None
    ) -> None:
        """Logs that the store shows another holder or fencing token than before."""
        shown = (lease.holder, lease.fencing) if lease else None
        if shown == self._shown_holder:
            return
        _log.info(
            "lease_holder_changed",
            pool=self.pool,
            holder=lease.holder if lease else None,
            fencing=lease.fencing if lease else None,
            before=self._shown_holder,
            version=stored.version.revision if stored else None,
            was_own=self._lease.is_holder,
        )
        self._shown_holder = shown

    def _log_confirmed(self, confirmed: leases.ConfirmedWrite, source: str) -> None:
        lease = confirmed.lease
        if lease.released or confirmed.is_new:
            event = _change_event(lease)
            quiet_s = round(lease.quiet_s, 2)
            _log.info(event, pool=self.pool, fencing=lease.fencing, quiet_s=quiet_s)
        _log.info(
            "lease_write_confirmed",
            pool=self.pool,
            fencing=lease.fencing,
            attempt=lease.renewals,
            source=source,
            age_s=round(confirmed.age_s, 3),
        )

    async def acquire_or_renew(self, note: Note) -> bool:
        """Takes or renews the lease if a write is due; returns False if its outcome is unknown."""
        self._follow_epoch()
        text = msgspec.json.encode(note).decode()
        proposal = self._lease.propose(self._clock(), text)
        return proposal is None or await self._try_write(proposal)

    async def release(self) -> None:
        """Releases the lease, so that other routers need not wait for it to expire."""
        await self._write_release(lambda: self._lease.propose_release(self._clock()))

    async def hand_over(self) -> None:
        """Releases the lease because this router cannot use it."""
        await self._write_release(lambda: self._lease.propose_hand_over(self._clock()))

    async def _write_release(
        self, propose: collections.abc.Callable[[], leases.LeaseObject | None]
    ) -> None:
        for _ in range(MAX_RELEASE_TRIES):
            self._observe_stored("watch")
            # A renewal that is still under way may take effect first, so that a release is refused.
            proposal = propose()
            if proposal is None:
                return
            await self._try_write(proposal)

    @property
    def _name(self) -> str:
        suffix = "" if self._epoch is None else f".{self._epoch}"
        return f"{NAME_PREFIX}{self.pool}{suffix}"

    async def _try_write(self, proposal: leases.LeaseObject) -> bool:
        try:
            await self._write(proposal)
        except exceptions.ServiceError as exc:
            _log.info("lease_write_unanswered", pool=self.pool, reason=str(exc))
            await self._read_back()
            return not self._lease.has_unconfirmed
        return True

    async def _read_back(self) -> None:
        """Reads back whether an unanswered write took effect, because the watch may lag."""
        with trio.move_on_after(self._write_timeout.timeout_s):
            try:
                stored = await self._cluster.platform.get(cluster_service.KIND, self._name)
            except exceptions.ServiceError as exc:
                _log.info("lease_not_read", pool=self.pool, reason=str(exc))
                return
            if stored:
                self._cluster.put(stored)
                self._observe_stored("read")

    async def _write(self, proposal: leases.LeaseObject) -> None:
        # The proposal follows from this object. The store may show another one by now.
        stored = self._observed_object
        self._lease.begin_write(proposal, self._clock())
        written = await self._send_or_observe(self._name, stored, proposal)
        if written is None:
            return
        if isinstance(written, platform_service.NotWritten):
            self._lease.record_refused(proposal)
            version = stored.version.revision if stored else None
            _log.info("lease_refused", pool=self.pool, fencing=proposal.fencing, written_on=version)
        if written.object:
            self._cluster.put(written.object)
            self._observe_stored("answer")

    async def _send_or_observe(
        self, name: str, stored: store_format.StoredObject | None, proposal: leases.LeaseObject
    ) -> platform_service.Written | platform_service.NotWritten | None:
        """Returns the answer to a write, or None if the watch shows its result first.

        Raises:
            ServiceError: The write failed, or there was neither an answer nor a result in time.
        """
        answers: list[platform_service.Written | platform_service.NotWritten] = []
        failures: list[exceptions.ServiceError] = []

        async def send() -> None:
            try:
                answers.append(await self._send(name, stored, proposal))
            except exceptions.ServiceError as exc:
                failures.append(exc)
            nursery.cancel_scope.cancel()

        timeout_s = self._write_timeout.timeout_s
        sent_at = self._clock()
        with trio.move_on_after(timeout_s) as timeout:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                while self._lease.is_unconfirmed(proposal):
                    await self._cluster.changed_event.wait()
                    self._observe_stored("watch")
                nursery.cancel_scope.cancel()
        if timeout.cancelled_caught:
            self._write_timeout.record_timeout()
            raise exceptions.PlatformUnavailableError(f"no answer within {timeout_s:.2f} s")
        if failures:
            raise failures[0]
        self._write_timeout.record_answer(self._clock() - sent_at)
        return answers[0] if answers else None

    async def _send(
        self, name: str, stored: store_format.StoredObject | None, proposal: leases.LeaseObject
    ) -> platform_service.Written | platform_service.NotWritten:
        spec = dataclasses.asdict(proposal)
        platform = self._cluster.platform
        if stored is None:
            return await platform.create(cluster_service.KIND, name, spec)
        return await platform.replace(cluster_service.KIND, stored, spec)


def _change_event(lease: leases.LeaseObject) -> str:
    """Returns the log event for a lease that was taken or released."""
    if not lease.released:
        return "lease_taken"
    return "lease_handed_over" if lease.hand_overs else "lease_released"


def _read_note(raw: str) -> Note:
    try:
        return msgspec.json.decode(raw, type=Note) if raw else Note()
    except partial_json.DECODING_ERRORS as exc:
        _log.info("lease_note_unreadable", reason=str(exc))
        return Note()
