"""Keeps the record of software versions in the store, and reads it for routers that start."""

import collections.abc
import random

import structlog
import trio

from cicadapier._internal.decisions import stream_origins
from cicadapier._internal.decisions import version_record
from cicadapier._internal.kernel import events
from cicadapier._internal.models import ids
from cicadapier._internal.services import cluster_service
from cicadapier._internal.services import directory_service
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import platform_service
from cicadapier._internal.services import version_record_objects

CHECK_INTERVAL_S = 1.0
# Pause between the writes of two routers, so that mostly the first one writes.
RANK_PAUSE_S = 0.3
LAST_PAUSE_S = 2.0  # Longest random pause of the routers that come after all ranks.
CONFIRM_TIMEOUT_S = 0.5

_log = structlog.get_logger()


class VersionRecorder:
    """Keeps the record up to date with what this router has seen."""

    def __init__(
        self,
        vm: ids.VmId,
        see: collections.abc.Callable[[], stream_origins.SeenVersions],
        rng: random.Random,
    ) -> None:
        """Creates the recorder.

        Args:
            vm: VM of this router.
            see: Returns what this router has seen.
            rng: Source of random pauses.
        """
        self._vm = vm
        self._see = see
        self._rng = rng
        self._changed = trio.Event()

    def record_change(self) -> None:
        """Records that other versions were seen, so that the record may need a change."""
        self._changed.set()

    async def run(
        self,
        platform: platform_service.PlatformService,
        cluster: cluster_service.ClusterService,
        directory: directory_service.DirectoryService,
    ) -> None:
        """Updates the record whenever it differs from what was seen."""
        self._platform = platform
        self._cluster = cluster
        self._directory = directory
        while True:
            self._changed = trio.Event()
            await self._update()
            with trio.move_on_after(CHECK_INTERVAL_S):
                await events.wait_for_any(self._changed, cluster.changed_event)

    async def read(self) -> version_record.VersionRecord | None:
        """Returns the record as it stands in the store; None if that is not known, or not sound."""
        try:
            item = await self._platform.get(cluster_service.KIND, version_record_objects.NAME)
        except exceptions.ServiceError as exc:
            _log.info("version_record_not_read", reason=str(exc))
            return None
        if item is None:
            return None
        self._cluster.put(item)
        return version_record_objects.decode_sound(item)

    async def _update(self) -> None:
        if self._choose_update() is None:
            return
        await trio.sleep(self._pause_s())
        update = self._choose_update()  # Another router may have written it meanwhile.
        if update is not None and not update.versions >= self._known_versions():
            # A version that is removed may have come back.
            if not await self._directory.confirm(CONFIRM_TIMEOUT_S):
                return
            update = self._choose_update()
        if update is not None:
            await self._write(update)

    def _pause_s(self) -> float:
        rank = version_record.rank(self._vm, self._cluster.routers())
        pause_s = rank * RANK_PAUSE_S
        if rank == version_record.MAX_RANK:
            pause_s += self._rng.uniform(0.0, LAST_PAUSE_S)
        return pause_s

    def _known(self) -> version_record.VersionRecord | None:
        item = self._cluster.find(version_record_objects.NAME)
        return version_record_objects.decode_sound(item) if item is not None else None

    def _known_versions(self) -> frozenset[str]:
        known = self._known()
        return known.versions if known is not None else frozenset()

    def _choose_update(self) -> version_record.VersionRecord | None:
        return version_record.choose_update(self._known(), self._see(), self._platform.epoch)

    async def _write(self, update: version_record.VersionRecord) -> None:
        kind, name = cluster_service.KIND, version_record_objects.NAME
        old = self._cluster.find(name)
        try:
            if old is None:
                written = await self._platform.create(
                    kind, name, version_record_objects.encode(update)
                )
            else:
                written = await self._platform.replace(
                    kind, old, version_record_objects.encode(update)
                )
        except exceptions.ServiceError as exc:
            _log.info("version_record_not_written", reason=str(exc))
            return
        if written.object is not None:  # If another router was faster, that is its record.
            self._cluster.put(written.object)
        if isinstance(written, platform_service.Written):
            _log.info("version_record_written", versions=sorted(update.versions))
