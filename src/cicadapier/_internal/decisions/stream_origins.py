"""Which software version began each stream, for callers who take a stream up at any router.

Load pattern: routers and upstreams fail while upstreams of two software versions serve one pool,
and many callers take their streams up at once, at other routers. Upstreams do not check whether
they can go on with a stream, so a stream whose version is not known for certain is not continued.
"""

import collections
import collections.abc
import dataclasses
import hashlib
import math

from cicadapier._internal.models import ids

# Longest time from the start of a stream until its caller has taken it up for the last time.
STREAM_LIFE_S = 30.0
# The same, in times that its route or its caller allows for one answer.
STREAM_LIFE_ANSWERS = 2.0
MAX_ORIGINS = 16_384
MAX_UNCONFIRMED_S = 5.0  # The directory answers more often while it can be reached.
MAX_VERSIONS = 64  # Versions that are remembered.
# Routers that are told of each stream: in the whole fleet, and among those that the router reaches
# in its failure domain, which may be cut off from the rest.
HOLDERS = 2
DOMAIN_HOLDERS = 1
# Routers that are asked: more, as routers may disagree on which routers there are.
ASKED = 4
DOMAIN_ASKED = 2


@dataclasses.dataclass(frozen=True, slots=True)
class StreamId:
    """Identity of a stream.

    Attributes:
        account: Account of the caller, empty on public routes. Callers choose the ids of their
            requests, so equal ids of different accounts name different streams.
        request: Id of the request that brought its first event.
    """

    account: str
    request: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """One process of an upstream; a later process of the same upstream may run other software."""

    upstream: ids.UpstreamId
    incarnation: ids.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Where a stream began.

    Attributes:
        stream: The stream.
        pool: Pool of the upstream that began it.
        software: Version of that upstream's software.
        doubted: Whether another version may have begun the stream after all.
        unconfirmed: Process that is believed to have begun the stream, if the directory has not
            answered the router that began it since; None if the directory has.
    """

    stream: StreamId
    pool: ids.PoolId
    software: str
    doubted: bool = False
    unconfirmed: Process | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SeenVersions:
    """What a router can vouch for: the software versions in the pools that serve streams.

    A router that has just started knows nothing of the upstreams that left before.

    Attributes:
        versions: Those that it has seen within `STREAM_LIFE_S`.
        observed_s: For how long it has seen all changes of them, up to the directory's last answer;
            0 if the directory has not answered it lately.
    """

    versions: frozenset[str]
    observed_s: float

    @property
    def covers_all_streams(self) -> bool:
        """Whether all streams that may still be taken up began while the router saw the pools."""
        return self.observed_s >= STREAM_LIFE_S

    def sole_version(self, life_s: float = STREAM_LIFE_S) -> str | None:
        """Returns the version at which all streams began; None if that is not certain.

        Args:
            life_s: Longest time since the streams in question began.
        """
        if len(self.versions) != 1 or self.observed_s < life_s:
            return None
        return next(iter(self.versions))

    def unconfirmed(self) -> "SeenVersions":
        """Returns what is certain if versions may have come since the directory answered."""
        return SeenVersions(self.versions, 0.0)

    def joined(self, others: collections.abc.Iterable["SeenVersions"]) -> "SeenVersions":
        """Returns what several routers can vouch for together, all up to the same time."""
        seen = [self, *others]
        versions = frozenset[str]().union(*(one.versions for one in seen))
        return SeenVersions(versions, max(one.observed_s for one in seen))


def stream_life_s(timeout_s: float, time_left_s: float | None) -> float:
    """Returns the longest time since the beginning of a stream that its caller resumes.

    Args:
        timeout_s: Time that its route allows for one answer.
        time_left_s: Time that its caller allows for this answer; None if it does not say.
    """
    answer_s = max(timeout_s, time_left_s or 0.0)
    return min(STREAM_LIFE_S, STREAM_LIFE_ANSWERS * answer_s)


class Origins:
    """Origins of recent streams that this router began or was told of."""

    def __init__(self) -> None:
        self._origins: collections.OrderedDict[StreamId, tuple[Origin, float]] = (
            collections.OrderedDict()
        )

    def add(self, origin: Origin, now: float) -> None:
        """Adds an origin; the first one stays, unless it is doubted or confirmed now."""
        known = self.find(origin.stream, now)
        if known is not None and not origin.doubted and not _confirms(origin, known):
            return
        self._origins[origin.stream] = (origin, now)
        self._origins.move_to_end(origin.stream)
        if len(self._origins) > MAX_ORIGINS:
            self._origins.popitem(last=False)

    def find(self, stream: StreamId, now: float) -> Origin | None:
        """Returns the origin of a stream, or None if it is not known."""
        while self._origins:
            oldest, (_, added_at) = next(iter(self._origins.items()))
            if now - added_at < 2 * STREAM_LIFE_S:
                break
            del self._origins[oldest]
        found = self._origins.get(stream)
        return found[0] if found else None

    def recent(self, now: float) -> list[Origin]:
        """Returns the origins of the streams that may still be taken up."""
        return [
            origin for origin, added_at in self._origins.values() if now - added_at < STREAM_LIFE_S
        ]


def _confirms(origin: Origin, known: Origin) -> bool:
    return known.unconfirmed is not None and origin.unconfirmed is None and not known.doubted


class VersionHistory:
    """Software versions that streams may have begun at.

    They are those of all pools that serve streams, as a route may move from one pool to another
    while its streams run.
    """

    def __init__(self) -> None:
        self._current: frozenset[str] = frozenset()
        self._last_seen: dict[str, float] = {}
        self._observed_since: float | None = None
        self._confirmed_at = -math.inf

    def is_registered(self, version: str) -> bool:
        """Returns whether a version is registered, as the directory last said."""
        return version in self._current

    def confirm(self, now: float) -> None:
        """Records that the directory has answered, so that the registered versions are current."""
        self._confirmed_at = now

    def is_current(self, now: float) -> bool:
        """Returns whether the directory has answered lately."""
        return now - self._confirmed_at < MAX_UNCONFIRMED_S

    def begin_anew(self) -> None:
        """Records that versions may have come and gone without being seen."""
        self._observed_since = None

    def observe(
        self, versions: frozenset[str], now: float, passed: frozenset[str] = frozenset()
    ) -> bool:
        """Records the registered versions; returns whether they begin to differ.

        Args:
            versions: Those that are registered now.
            now: Current time.
            passed: Those that were registered at some time since the last call.
        """
        had_several = len(self.seen(now).versions) > 1
        self._last_seen.update(dict.fromkeys(self._current | versions | passed, now))
        if versions and self._observed_since is None:
            self._observed_since = now
        self._current = versions
        newest = sorted(self._last_seen.items(), key=lambda item: item[1], reverse=True)
        self._last_seen = {
            version: at for version, at in newest[:MAX_VERSIONS] if now - at < STREAM_LIFE_S
        }
        return not had_several and len(self.seen(now).versions) > 1

    @property
    def is_observing(self) -> bool:
        """Whether changes are seen from now on."""
        return self._observed_since is not None

    def adopt(self, recorded: frozenset[str], now: float) -> bool:
        """Adopts what the routers' record says of the time before this observation.

        A record of several versions adds nothing: of an unknown stream, it names no version.

        Args:
            recorded: All versions at which streams may have begun before, as read since this
                observation began.
            now: Current time.

        Returns:
            Whether it was adopted.
        """
        if self._observed_since is None or len(recorded | self.seen(now).versions) > 1:
            return False
        self._last_seen.update(dict.fromkeys(recorded, now))
        self._observed_since = min(self._observed_since, now - STREAM_LIFE_S)
        return True

    def extend(self, peer: SeenVersions, asked_at: float, now: float) -> None:
        """Extends the observation by that of a router that has seen the same version alone.

        Args:
            peer: What the router can vouch for.
            asked_at: Time at which it was asked.
            now: Time of its answer.
        """
        if self._observed_since is None or self._observed_since > asked_at:
            return  # Nobody may have seen what happened between the two observations.
        if len(peer.versions) == 1 and peer.versions == self.seen(now).versions:
            self._observed_since = min(self._observed_since, now - peer.observed_s)

    def seen(self, now: float) -> SeenVersions:
        """Returns the versions that streams may have begun at, as the directory last said.

        Others may have come since then. Before a stream is continued on these grounds, the
        directory must have answered a query that was sent after the stream was taken up.
        """
        recent = {version for version, at in self._last_seen.items() if now - at < STREAM_LIFE_S}
        observed_s = 0.0
        if self.is_current(now) and self._observed_since is not None:
            observed_s = now - self._observed_since
        return SeenVersions(self._current | recent, observed_s)


class FirstNumbers:
    """Numbers of the first events of streams, by the software version that began them.

    No standard says where numbers begin, so a caller that names event 0 holds it, or no event.
    """

    def __init__(self) -> None:
        self._lowest: collections.OrderedDict[str, int] = collections.OrderedDict()

    def record(self, software: str, number: int) -> None:
        """Records the number of the first event of a stream."""
        self._lowest[software] = min(number, self._lowest.get(software, number))
        self._lowest.move_to_end(software)
        if len(self._lowest) > MAX_VERSIONS:
            self._lowest.popitem(last=False)

    def may_contain(self, number: int, versions: frozenset[str]) -> bool:
        """Returns whether an event of a number may be part of a stream.

        Args:
            number: Number of the event.
            versions: Versions that may have begun the stream.
        """
        if not versions:
            return True
        return any(self._lowest.get(version, 0) <= number for version in versions)


def first_by_hash(
    stream: StreamId, vms: collections.abc.Iterable[ids.VmId], count: int
) -> list[ids.VmId]:
    """Returns the routers that come first for a stream by rendezvous hashing."""
    key = f"{stream.account}/{stream.request}/"
    return sorted(vms, key=lambda vm: _rank(key, vm), reverse=True)[:count]


def _rank(key: str, vm: ids.VmId) -> bytes:
    return hashlib.blake2b((key + vm).encode(), digest_size=8).digest()


@dataclasses.dataclass(frozen=True, slots=True)
class OriginNotice:
    """Message to other routers: the origins of streams."""

    origins: tuple[Origin, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OriginQuery:
    """Question of a router for the origin of a stream.

    Attributes:
        number: Number by which the answer is matched with the question.
        reply_to: Address of the router that asks.
        stream: The stream.
        wants_seen: Whether the router that is asked shall have the directory confirm what it has
            seen, unless it knows the origin.
        process: Process at which the router that asks would go on with the stream, if the store
            does not answer it; None otherwise.
    """

    number: int
    reply_to: ids.Address
    stream: StreamId
    wants_seen: bool
    process: Process | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OriginAnswer:
    """Answer of a router.

    Attributes:
        number: Number of the question.
        sender: The router.
        origin: The origin, if the router knows it.
        seen: Versions that it has seen; `observed_s` is 0 unless the directory has answered it
            since it was asked.
        is_replaced: Whether the directory, which has answered the router lately, does not list the
            process of the question.
    """

    number: int
    sender: ids.VmId
    origin: Origin | None
    seen: SeenVersions
    is_replaced: bool = False


Message = OriginNotice | OriginQuery | OriginAnswer
