"""Objects that the routers share in the platform's store.

They are the routers' entries, the order leases and the record of software versions.
"""

import math
import random
from typing import Any

import msgspec
import structlog
import trio

from cicadapier._internal.decisions import version_record
from cicadapier._internal.kernel import service
from cicadapier._internal.models import addresses
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.models import store_versions
from cicadapier._internal.protocols import store_format
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import names
from cicadapier._internal.services import peers_service
from cicadapier._internal.services import platform_service
from cicadapier._internal.services import version_record_objects
from cicadapier._internal.services import watching

KIND = "cicadapier-routers"
ROUTER_PREFIX = "router-"
# Stale answers do no harm, nor does a list that is older than what is known. A lease is written on
# condition of its version, and a write that fails this condition gets the current object in reply.
# All other objects are hints.
WATCH_OPTIONS = watching.WatchOptions(
    wait_s=2.5, allow_stale=True, list_within_s=0.8, reader_wait_s=1.0
)
REGISTER_RETRY_S = 0.5
# Longest random pause before a router writes its entry again that a restored store has lost.
REGISTER_AGAIN_WITHIN_S = 2.0
# Time in which the entries of other routers, which a restored store has lost, are written again.
LOST_ENTRIES_KEPT_S = 5.0
ENTRY_EXPIRES_AFTER_S = 60.0
SWEEP_INTERVAL_S = 10.0

_log = structlog.get_logger()


class RouterEntry(msgspec.Struct, frozen=True):
    """Entry of a router in the store."""

    vm: str
    address: str
    generation: int


class ClusterService(service.Service, watching.WatchHandler):
    """Registers this router and keeps a copy of the objects that the routers share.

    Attributes:
        changed_event: Set at the next change, and then replaced by a new event.
    """

    name = names.CLUSTER

    def __init__(
        self,
        cfg: settings.Settings,
        generation: int,
        clock: watching.Clock,
        rng: random.Random,
    ) -> None:
        self._vm = cfg.vm
        self._generation = generation
        self._clock = clock
        self._rng = rng
        self._objects: dict[str, store_format.StoredObject] = {}
        # Entries of routers that were known before the store was restored.
        self._former_entries: dict[str, store_format.StoredObject] = {}
        self._former_until = -math.inf
        self._is_registered = self._is_draining = False
        self._listed = trio.Event()
        self._entry_lost = trio.Event()
        self._seen_at: dict[str, float] = {}
        self._addresses: dict[ids.VmId, ids.Address] = {}
        self._platform: platform_service.PlatformService | None = None
        self._peers: peers_service.PeersService | None = None
        self.changed_event = trio.Event()

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._platform = kernel.find(names.PLATFORM)
        self._peers = kernel.find(names.PEERS)
        watch = watching.Watch(self.platform, KIND, WATCH_OPTIONS, self, self._clock, self._rng)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch.run)
            nursery.start_soon(self._register)
            nursery.start_soon(self._sweep)
            task_status.started()

    @property
    def platform(self) -> platform_service.PlatformService:
        """Client of the platform's store."""
        assert self._platform
        return self._platform

    def find(self, name: str) -> store_format.StoredObject | None:
        """Returns the last known state of a shared object, or None if there is no such object."""
        return self._objects.get(name)

    def routers(self) -> list[ids.VmId]:
        """Returns all registered routers and this one."""
        registered = {
            ids.VmId(name.removeprefix(ROUTER_PREFIX))
            for name in self._known_objects()
            if name.startswith(ROUTER_PREFIX)
        }
        return sorted(registered | {self._vm})

    def _known_objects(self) -> dict[str, store_format.StoredObject]:
        """Returns the objects, with the entries of routers that a restored store may have lost."""
        if self._clock() < self._former_until:
            return {**self._former_entries, **self._objects}
        return self._objects

    def addresses(self) -> dict[ids.VmId, ids.Address]:
        """Returns the peer addresses of all registered routers; empty until they are known.

        Each change creates a new mapping. All routers that can reach the store get the same
        addresses, even if they cannot reach each other.
        """
        return self._addresses

    def put(self, item: store_format.StoredObject) -> None:
        """Records an object that this router has just written or read."""
        current = self._objects.get(item.name)
        if current is None or current.version.precedes(item.version):
            self._objects[item.name] = item
            self._seen_at[item.name] = self._clock()
            self._notify()

    def begin_epoch(self, change: store_versions.EpochChange) -> None:
        """See `watching.WatchHandler.begin_epoch`."""
        entries = {n: item for n, item in self._objects.items() if n.startswith(ROUTER_PREFIX)}
        self._former_entries = {**self._former_entries, **entries}
        self._former_until = self._clock() + LOST_ENTRIES_KEPT_S

    def handle_listing(self, objects: tuple[store_format.StoredObject, ...]) -> None:
        """See `watching.WatchHandler.handle_listing`."""
        self._objects = {item.name: item for item in objects}
        self._seen_at = {item.name: self._seen_at.get(item.name, self._clock()) for item in objects}
        if self._is_registered and not self._is_draining and not self._has_own_entry():
            self._entry_lost.set()
        self._listed.set()
        self._notify()

    def handle_change(self, change: store_format.Change) -> None:
        """See `watching.WatchHandler.handle_change`."""
        if not change.deleted:
            self.put(change.object)
            return
        current = self._objects.get(change.object.name)
        if current and not change.object.version.precedes(current.version):
            del self._objects[current.name]
            self._notify()

    async def drain(self) -> None:
        """Removes this router's entry, so that other routers stop relying on this router."""
        self._is_draining = True
        current = self._objects.get(f"{ROUTER_PREFIX}{self._vm}")
        entry = _read_entry(current.spec) if current else None
        if current is None or (entry and entry.generation != self._generation):
            return
        try:
            await self.platform.delete(KIND, current)
        except exceptions.ServiceError as exc:
            _log.info("router_entry_not_removed", reason=str(exc))

    def _notify(self) -> None:
        self.changed_event.set()
        self.changed_event = trio.Event()
        if not self._listed.is_set():
            return  # This router's own entry alone would make it the only one.
        entries = [_read_entry(item.spec) for item in self._known_objects().values()]
        found = {
            ids.VmId(entry.vm): ids.Address(entry.address)
            for entry in entries
            if entry and addresses.is_address(entry.address)
        }
        if found != self._addresses:
            self._addresses = found
        if self._peers:
            others = [a for vm, a in self._addresses.items() if vm != self._vm]
            self._peers.set_seeds(others)

    def _has_own_entry(self) -> bool:
        """Returns whether the store shows an entry of this router, or of its successor."""
        current = self._objects.get(f"{ROUTER_PREFIX}{self._vm}")
        entry = _read_entry(current.spec) if current else None
        return entry is not None and entry.generation >= self._generation

    async def _register(self) -> None:
        """Writes this router's entry, and again each time that the store has lost it."""
        await self._begin_version_record()
        while True:
            await self._register_once()
            self._is_registered = True
            await self._entry_lost.wait()
            self._entry_lost = trio.Event()
            _log.info("router_entry_lost", vm=self._vm)
            await trio.sleep(self._rng.uniform(0.0, REGISTER_AGAIN_WITHIN_S))

    async def _begin_version_record(self) -> None:
        """Creates the record of software versions if no router can have begun a stream before.

        All routers that run have an entry, and this router writes its own one only later.
        """
        await self._listed.wait()
        while not self._objects and not self._is_draining:
            record = version_record.VersionRecord(frozenset(), self.platform.epoch)
            spec = version_record_objects.encode(record)
            try:
                written = await self.platform.create(KIND, version_record_objects.NAME, spec)
            except exceptions.ServiceError as exc:
                _log.info("version_record_not_created", reason=str(exc))
                await trio.sleep(REGISTER_RETRY_S * self._rng.uniform(0.5, 1.5))
                continue
            if written.object is not None:
                self.put(written.object)
            return

    async def _register_once(self) -> None:
        assert self._peers
        name = f"{ROUTER_PREFIX}{self._vm}"
        entry = RouterEntry(self._vm, self._peers.address, self._generation)
        spec = msgspec.to_builtins(entry)
        while not self._is_draining:
            try:
                if await self._write_entry(name, spec):
                    _log.info("router_registered", vm=self._vm, address=entry.address)
                    return
            except exceptions.ServiceError as exc:
                _log.info("router_not_registered", reason=str(exc))
            await trio.sleep(REGISTER_RETRY_S * self._rng.uniform(0.5, 1.5))

    async def _write_entry(self, name: str, spec: Any) -> bool:
        written = await self.platform.create(KIND, name, spec)
        if isinstance(written, platform_service.NotWritten):
            # The entry exists: an earlier process on this VM wrote it, or an unanswered write of
            # this process took effect.
            current = written.object or await self.platform.get(KIND, name)
            if current is None:
                return False
            if current.spec == spec:
                self.put(current)
                return True
            written = await self.platform.replace(KIND, current, spec)
        if isinstance(written, platform_service.NotWritten):
            return False
        self.put(written.object)
        return True

    async def _sweep(self) -> None:
        """Removes the entries of routers that have been unreachable for a long time."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_S * self._rng.uniform(0.5, 1.5))
            self._drop_former_entries()
            for item in list(self._objects.values()):
                if self._is_expired(item):
                    try:
                        await self.platform.delete(KIND, item)
                    except exceptions.ServiceError as exc:
                        _log.info("router_entry_not_removed", entry=item.name, reason=str(exc))

    def _drop_former_entries(self) -> None:
        if self._former_entries and self._clock() >= self._former_until:
            self._former_entries = {}
            self._notify()

    def _is_expired(self, item: store_format.StoredObject) -> bool:
        entry = _read_entry(item.spec)
        if entry is None or self._peers is None or entry.vm == self._vm:
            return False
        if self._clock() - self._seen_at.get(item.name, self._clock()) < ENTRY_EXPIRES_AFTER_S:
            return False
        reachable = self._peers.members.reachable(trio.current_time())
        return entry.vm not in {heartbeat.vm for heartbeat in reachable}


def _read_entry(spec: object) -> RouterEntry | None:
    try:
        return msgspec.convert(spec, RouterEntry)
    except msgspec.ValidationError:
        return None
