"""Tells other routers where streams began, and whether that is confirmed."""

import collections.abc
import dataclasses

import trio

from cicadapier._internal.decisions import stream_beginnings
from cicadapier._internal.decisions import stream_origins
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import origin_codec
from cicadapier._internal.services import directory_service
from cicadapier._internal.services import origin_routers
from cicadapier._internal.services import peers_service


@dataclasses.dataclass(frozen=True, slots=True)
class TellOrigins:
    """The holders of some streams are to be told their origins."""

    origins: list[stream_origins.Origin]


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryAnswered:
    """The directory has answered, so that streams told as unconfirmed may be confirmed."""


class OriginTeller:
    """Tells the holders of streams their origins.

    While the directory does not answer, an origin is told with the process that is believed to have
    begun the stream, and once more when the directory has confirmed it.
    """

    def __init__(
        self,
        origins: stream_origins.Origins,
        beginnings: stream_beginnings.Beginnings,
        is_directory_current: collections.abc.Callable[[], bool],
    ) -> None:
        """Creates the teller.

        Args:
            origins: Known origins.
            beginnings: Streams that this router began.
            is_directory_current: Returns whether the directory answers this router.
        """
        self._origins = origins
        self._beginnings = beginnings
        self._is_directory_current = is_directory_current
        # Streams that run and were not told; oldest first.
        self._untold: dict[stream_origins.StreamId, stream_origins.Origin] = {}
        # Streams told as unconfirmed, with the times at which they began; oldest first.
        self._told_unconfirmed: dict[stream_origins.StreamId, float] = {}

    def start(
        self,
        directory: directory_service.DirectoryService,
        peers: peers_service.PeersService,
        routers: origin_routers.OriginRouters,
    ) -> None:
        """Sets the services, before anything is told."""
        self._directory = directory
        self._peers = peers
        self._routers = routers

    @property
    def has_unconfirmed(self) -> bool:
        """Whether origins were told that the directory has not confirmed."""
        return bool(self._told_unconfirmed)

    def postpone(self, origin: stream_origins.Origin) -> None:
        """Records a stream that need not be told at once."""
        self._untold[origin.stream] = origin
        if len(self._untold) > stream_origins.MAX_ORIGINS:
            del self._untold[next(iter(self._untold))]

    def record_end(self, stream: stream_origins.StreamId) -> None:
        """Records that a stream was relayed to its end, so that nobody takes it up."""
        self._untold.pop(stream, None)

    def take_untold(self) -> list[stream_origins.Origin]:
        """Returns the streams that were postponed and still run, and forgets them."""
        untold = list(self._untold.values())
        self._untold.clear()
        return untold

    async def tell(self, origins: list[stream_origins.Origin]) -> None:
        """Tells the holders of each stream its origin."""
        by_address: dict[ids.Address, list[stream_origins.Origin]] = {}
        for origin in map(self._mark_unconfirmed, origins):
            for address in self._routers.choose_holders(origin.stream).values():
                by_address.setdefault(address, []).append(origin)
        for address, told in by_address.items():
            for start in range(0, len(told), origin_codec.MAX_ORIGINS):
                notice = stream_origins.OriginNotice(
                    tuple(told[start : start + origin_codec.MAX_ORIGINS])
                )
                await self._peers.send_datagram([address], notice)

    async def tell_confirmed(self) -> None:
        """Tells origins again that were told as unconfirmed and that the directory confirms."""
        known_up_to = self._directory.known_up_to
        confirmed = [
            stream for stream, begun_at in self._told_unconfirmed.items() if begun_at <= known_up_to
        ]
        now = trio.current_time()
        found = []
        for stream in confirmed:
            del self._told_unconfirmed[stream]
            origin = self._origins.find(stream, now)
            if origin is not None:
                found.append(origin)
        await self.tell(found)

    def _mark_unconfirmed(self, origin: stream_origins.Origin) -> stream_origins.Origin:
        """Returns an origin as it is told, with its process if the directory is silent.

        The upstream may have started again with other software before the stream began there.
        """
        begun = self._beginnings.find(origin.stream)
        if begun is None or begun.at <= self._directory.known_up_to:
            return origin
        if self._is_directory_current():
            return origin
        self._told_unconfirmed[origin.stream] = begun.at
        if len(self._told_unconfirmed) > stream_origins.MAX_ORIGINS:
            del self._told_unconfirmed[next(iter(self._told_unconfirmed))]
        return dataclasses.replace(origin, unconfirmed=begun.process)
