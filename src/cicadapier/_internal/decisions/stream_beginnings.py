"""At which process each stream of this router began, as far as the directory had said by then.

An upstream may start again under its id and address with other software. A request that reaches it
before this router reads its new entry begins a stream at another version than the router believes.
"""

import collections
import dataclasses

from cicadapier._internal.decisions import stream_origins
from cicadapier._internal.models import ids

MAX_PER_UPSTREAM = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Beginning:
    """Beginning of one stream.

    Attributes:
        at: Time of its first event.
        process: Process that is believed to have begun it.
        origin: Origin of the stream.
    """

    at: float
    process: stream_origins.Process
    origin: stream_origins.Origin


class Beginnings:
    """The recent streams of this router by the upstream that began them."""

    def __init__(self) -> None:
        # The upstream that began a stream last comes last.
        self._by_upstream: collections.OrderedDict[ids.UpstreamId, collections.deque[Beginning]] = (
            collections.OrderedDict()
        )
        self._begun: dict[stream_origins.StreamId, Beginning] = {}  # Oldest first.

    def __contains__(self, stream: stream_origins.StreamId) -> bool:
        """Returns whether a stream has begun at this router lately."""
        return stream in self._begun

    def find(self, stream: stream_origins.StreamId) -> "Beginning | None":
        """Returns when and where a stream of this router began, or None if it did not lately."""
        return self._begun.get(stream)

    def add(
        self,
        origin: stream_origins.Origin,
        upstream: ids.UpstreamId,
        incarnation: ids.Incarnation,
        now: float,
    ) -> None:
        """Records that a stream begins at what is believed to be an incarnation of an upstream."""
        beginning = Beginning(now, stream_origins.Process(upstream, incarnation), origin)
        self._begun[origin.stream] = beginning
        begun = self._by_upstream.setdefault(upstream, collections.deque(maxlen=MAX_PER_UPSTREAM))
        begun.append(beginning)
        self._by_upstream.move_to_end(upstream)
        self._forget(now - stream_origins.STREAM_LIFE_S)

    def _forget(self, until: float) -> None:
        while self._begun and next(iter(self._begun.values())).at < until:
            del self._begun[next(iter(self._begun))]
        while self._by_upstream:
            oldest = next(iter(self._by_upstream))
            if self._by_upstream[oldest][-1].at >= until:
                return
            del self._by_upstream[oldest]

    def doubt_process(
        self, process: stream_origins.Process, alive_until: float
    ) -> list[stream_origins.Origin]:
        """Returns the streams that an unknown process may have begun in place of a known one.

        Args:
            process: The known process.
            alive_until: Time until which it is known to have lived.
        """
        return [
            dataclasses.replace(begun.origin, doubted=True)
            for begun in self._by_upstream.get(process.upstream, ())
            if begun.at > alive_until and begun.process == process
        ]

    def doubt(
        self,
        upstream: ids.UpstreamId,
        incarnation: ids.Incarnation,
        software: str,
        certain_until: float,
    ) -> list[stream_origins.Origin]:
        """Returns the streams that this incarnation may have begun in place of the believed one.

        Args:
            upstream: The upstream.
            incarnation: Its incarnation, as the directory says now.
            software: Version of its software.
            certain_until: Time until which the directory is known to have said what was believed.
        """
        return [
            dataclasses.replace(begun.origin, doubted=True)
            for begun in self._by_upstream.get(upstream, ())
            if begun.at >= certain_until
            and begun.process.incarnation != incarnation
            and begun.origin.software != software
        ]
