"""Configuration service of a router that gets its configuration from the platform and from peers.

Both provide the same numbered documents. The document with the highest number is in force, and the
number in force never decreases.
"""

import collections
import collections.abc
import dataclasses
import random
from typing import Any
from typing import Protocol
import zlib

import msgspec
import structlog
import trio

from cicadapier._internal.decisions import cadence
from cicadapier._internal.decisions import patches
from cicadapier._internal.kernel import service
from cicadapier._internal.models import configuration
from cicadapier._internal.models import configuration_parser
from cicadapier._internal.models import exceptions as model_exceptions
from cicadapier._internal.models import ids
from cicadapier._internal.models import schema
from cicadapier._internal.protocols import partial_json
from cicadapier._internal.services import configuration_source
from cicadapier._internal.services import configuration_store
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import names
from cicadapier._internal.services import platform_service
from cicadapier._internal.services import traffic_messages
from cicadapier._internal.services import traffic_service

# Limit on the decompressed size of an update from a peer.
MAX_UNPACKED_BYTES = 67_108_864
MAX_DELTAS = 64

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A numbered configuration document with the changes that led to it, oldest first."""

    number: ids.ConfigNumber
    content: dict[str, Any]
    history: tuple[patches.Change, ...]


_EMPTY = Document(ids.ConfigNumber(0), {"accounts": {}, "pools": {}}, ())


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """The merge patch from the document of one number to the document of a later number."""

    base: ids.ConfigNumber
    number: ids.ConfigNumber
    patch: Any


class PeersView(Protocol):
    """The part of the peers service that tracks the routers of the fleet."""

    def domain_routers(self) -> frozenset[ids.VmId]:
        """Returns the other reachable routers of this router's failure domain."""

    def drop_unlisted(self, vms: collections.abc.Collection[ids.VmId]) -> None:
        """Drops unreachable routers that the platform does not list."""


class ConfigurationService(configuration_source.ConfigurationSource):
    """Holds the configuration in force and submits patches.

    Attributes:
        document: The configuration in force as a plain document.
        platform_reachable: Whether the platform answered the last poll.
    """

    def __init__(self, vm: ids.VmId, rng: random.Random) -> None:
        super().__init__()
        self._vm = vm
        self.document = _EMPTY
        self.platform_reachable = False
        self._rng = rng
        self._store: configuration_store.ConfigurationStore | None = None
        self._traffic: traffic_service.TrafficService | None = None
        self._parser = configuration_parser.Parser()
        self._deltas: collections.deque[Delta] = collections.deque(maxlen=MAX_DELTAS)
        self._packed_updates: dict[ids.ConfigNumber, bytes] = {}

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        platform: platform_service.PlatformService = kernel.find(names.PLATFORM)
        self._store = configuration_store.ConfigurationStore(platform)
        self._traffic = kernel.find(names.TRAFFIC)
        task_status.started()
        while True:
            if platform.is_configured:
                await self._poll()
            peers: PeersView = kernel.find(names.PEERS)
            period_s = cadence.platform_poll_s(self._vm, peers.domain_routers())
            await trio.sleep(period_s * self._rng.uniform(0.8, 1.2))

    def apply_if_newer(self, document: Document) -> bool:
        """Puts a document in force if it is valid and newer; returns whether it did."""
        if document.number <= self.current.number:
            return False
        try:
            parsed = self._parser.parse(document.content)
        except model_exceptions.InvalidDocumentError as exc:
            _log.error("configuration_invalid", number=document.number, reason=str(exc))
            return False
        self._deltas.append(
            Delta(
                self.document.number,
                document.number,
                patches.difference(self.document.content, document.content),
            )
        )
        self.current = configuration.NumberedConfiguration(document.number, parsed)
        self.document = document
        self._packed_updates.clear()
        assert self._traffic
        self._traffic.mailbox.send(traffic_messages.ConfigurationChanged(self.current))
        self.ready.set()
        configuration_source.log_in_force(self.current)
        return True

    def packed_update(self, since: ids.ConfigNumber) -> tuple[ids.ConfigNumber, bytes] | None:
        """Returns the current number and the update to it, or None if the peer is up to date.

        The update is compressed. It contains the patches since the peer's number if they are still
        available, otherwise the whole document.

        Args:
            since: Number of the peer's configuration.
        """
        if self.current.number <= since:
            return None
        if since not in self._packed_updates:
            history = [schema.to_plain(change) for change in self.document.history]
            body: dict[str, Any] = {"history": history}
            deltas = self._deltas_from(since)
            if deltas is None:
                body["content"] = self.document.content
            else:
                body["base"] = since
                body["patches"] = [delta.patch for delta in deltas]
            self._packed_updates[since] = zlib.compress(msgspec.json.encode(body))
        return self.current.number, self._packed_updates[since]

    def _deltas_from(self, number: ids.ConfigNumber) -> list[Delta] | None:
        deltas = [delta for delta in self._deltas if delta.base >= number]
        return deltas if deltas and deltas[0].base == number and number > 0 else None

    def apply_packed_update(self, number: ids.ConfigNumber, packed: bytes) -> None:
        """Applies a compressed update from a peer.

        Args:
            number: Number of the configuration after the update.
            packed: The update, as returned by `packed_update`.
        """
        try:
            decompressor = zlib.decompressobj()
            body = msgspec.json.decode(decompressor.decompress(packed, MAX_UNPACKED_BYTES))
            history = tuple(configuration_store.parse_change(raw) for raw in body["history"])
            content = body.get("content")
            if content is None:
                if body["base"] != self.document.number:
                    # Another source has changed the document in the meantime. The next gossip round
                    # requests an update from the new number.
                    return
                content = self.document.content
                for patch in body["patches"]:
                    content = patches.merge(content, patch)
            self.apply_if_newer(Document(number, content, history))
        except (zlib.error, *partial_json.DECODING_ERRORS, KeyError, TypeError) as exc:
            _log.error("peer_configuration_unreadable", number=number, reason=repr(exc))

    async def submit(
        self, submission: configuration_store.Submission
    ) -> configuration_store.SubmitResult:
        """Submits a patch; if it is accepted, puts it in force on this router immediately."""
        if self._store is None:
            return configuration_store.OutcomeUnknown("this router is starting")
        result = await self._store.submit(submission)
        if isinstance(result, configuration_store.PatchApplied):
            self._apply_stored(result.stored)
        return result

    async def _poll(self) -> None:
        assert self._store
        try:
            number = await self._store.read_number()
            if number > self.current.number:
                self._apply_stored(await self._store.read())
            self._record_reachability(True)
        except (exceptions.PlatformUnavailableError, exceptions.PlatformRefusedError):
            self._record_reachability(False)

    def _apply_stored(self, stored: configuration_store.StoredConfiguration) -> None:
        self.apply_if_newer(Document(stored.number, stored.document, stored.history))

    def _record_reachability(self, reachable: bool) -> None:
        if reachable != self.platform_reachable:
            _log.info("platform_reachable" if reachable else "platform_unreachable")
        self.platform_reachable = reachable
