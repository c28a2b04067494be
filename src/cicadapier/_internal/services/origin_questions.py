"""What a router waits for as it asks others where a stream began."""

import trio

from cicadapier._internal.decisions import stream_origins
from cicadapier._internal.models import ids
from cicadapier._internal.services import directory_service
from cicadapier._internal.services import watched_configuration


class Question:
    """A question that waits for answers.

    Attributes:
        asked: Number of routers that were asked.
        origin: The origin, once a router has named it.
        seen: What the routers that answered have seen.
        is_replaced: Whether a router knows that the process of the question has been replaced.
    """

    def __init__(self, stream: stream_origins.StreamId, asked: int) -> None:
        self._stream = stream
        self.origin: stream_origins.Origin | None = None
        self.seen: dict[ids.VmId, stream_origins.SeenVersions] = {}
        self.asked = asked
        self.is_replaced = False
        self._settled = trio.Event()

    @property
    def missing(self) -> int:
        """Number of routers that have not answered."""
        return self.asked - len(self.seen)

    @property
    def is_answered(self) -> bool:
        """Whether no further answer would change anything."""
        return self.origin is not None or self.is_replaced

    def add(self, answer: stream_origins.OriginAnswer) -> None:
        """Adds an answer, unless it is a late one to another question."""
        if answer.origin is not None and answer.origin.stream != self._stream:
            return
        self.seen[answer.sender] = answer.seen
        self.origin = self.origin or answer.origin
        self.is_replaced = self.is_replaced or answer.is_replaced
        if self.is_answered or not self.missing:
            self._settled.set()

    async def wait(self) -> None:
        """Waits until the origin is known or all routers have answered."""
        await self._settled.wait()


class Confirmation:
    """Whether the store has answered this router since a stream was taken up.

    Attributes:
        has_directory: Whether all upstreams up to then are known.
        has_routes: Whether all routes up to then are known.
    """

    def __init__(
        self,
        directory: directory_service.DirectoryService,
        configuration: watched_configuration.WatchedConfiguration,
    ) -> None:
        self._directory = directory
        self._configuration = configuration
        self.has_directory = False
        self.has_routes = False

    @property
    def is_complete(self) -> bool:
        """Whether all software versions at which streams can have begun are known."""
        return self.has_directory and self.has_routes

    async def ask(self, timeout_s: float) -> None:
        """Asks the store for all upstreams, and for the routes that say which serve streams."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._confirm_directory, timeout_s)
            nursery.start_soon(self._confirm_routes, timeout_s)

    async def _confirm_directory(self, timeout_s: float) -> None:
        self.has_directory = await self._directory.confirm(timeout_s)

    async def _confirm_routes(self, timeout_s: float) -> None:
        self.has_routes = await self._configuration.confirm(timeout_s)
