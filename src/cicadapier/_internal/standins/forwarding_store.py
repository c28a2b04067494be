"""Stand-in of the object store of the users' platform, with its failures."""

import collections
import dataclasses
import enum
import http
from typing import Any

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.platform import server_formats
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import http_server
from cicadapier._internal.protocols import store_format
from cicadapier._internal.protocols import transport

PAGE_ITEMS = 50
ANSWER_S = 0.004
SLOW_ANSWER_S = 0.2
STALE_S = 3.0
LATE_WRITE_S = 2.0
TIMELY_EVERY = 3  # Of the writes, where most are late.
_WATCH_POLL_S = 0.05  # Changes are noticed at once, faults within this time.
_LIMITS = settings.CallerLimits(body_bytes=4_194_304, idle_timeout_s=3600.0)


class StoreFault(enum.Enum):
    """What the store does wrong."""

    SILENT = "silent"
    REFUSES = "refuses"
    BUSY = "busy"
    LOSES_ANSWERS = "loses_answers"
    WRITES_LATE = "writes_late"
    MOST_WRITES_LATE = "most_writes_late"
    SLOW = "slow"
    STALE = "stale"
    STALE_FORGETS = "stale_forgets"


@dataclasses.dataclass(frozen=True, slots=True)
class _Event:
    revision: int
    kind: str
    change: store_format.Change
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """Calls that the store takes in a second from all callers together; others get 429."""

    writes: int = 400
    reads: int = 2000


class StoreDoor(http_server.Handler):
    """The store as one caller meets it.

    Attributes:
        faults: What the store does wrong to this caller alone.
    """

    def __init__(self, store: "ForwardingStore") -> None:
        self.faults: set[StoreFault] = set()
        self._store = store

    async def handle(self, req: http_server.Request, responder: http_server.Responder) -> None:
        """See `http_server.Handler.handle`."""
        await self._store.answer(req, responder, self.faults)


class ForwardingStore:
    """The store.

    Attributes:
        faults: What it does wrong now to all callers.
        rates: Calls that it takes in a second.
        calls: Calls by method.
        reads: Reads, watches among them, by kind, that must be fresh.
        stale_reads: Those that may be old.
        turned_away: Calls that came too fast.
        revision: Revision of the newest change.
    """

    def __init__(self, network: transport.Network) -> None:
        self.faults: set[StoreFault] = set()
        self.rates = Rates()
        self.calls: collections.Counter[str] = collections.Counter()
        self.reads: collections.Counter[str] = collections.Counter()
        self.stale_reads: collections.Counter[str] = collections.Counter()
        self.turned_away = 0
        self.revision = 1
        self._network = network
        self._objects: dict[tuple[str, str], store_format.StoredObject] = {}
        self._events: list[_Event] = []
        self._oldest = 1
        self._writes = 0
        self._recent: dict[bool, collections.deque[float]] = {
            writes: collections.deque() for writes in (False, True)
        }
        self._changed = trio.Event()
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status: "trio.TaskStatus[None]" = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until it is cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def open_door(self, address: ids.Address) -> tuple[StoreDoor, ids.Address]:
        """Serves one caller; returns the door and its address."""
        assert self._nursery
        door = StoreDoor(self)
        listener = http_server.Listener(self._network.serve, door, _LIMITS)
        bound: ids.Address = await self._nursery.start(listener.run, address)
        return door, bound

    def find(self, kind: str, name: str) -> store_format.StoredObject | None:
        """Returns an object."""
        return self._objects.get((kind, name))

    def names(self, kind: str) -> list[str]:
        """Returns the names of a kind's objects."""
        return sorted(name for found, name in self._objects if found == kind)

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object, as operators and upstreams do."""
        known = self._objects.get((kind, name))
        if known is not None and known.spec == spec:
            return
        self.revision += 1
        item = store_format.StoredObject(name, str(self.revision), spec)
        self._objects[kind, name] = item
        self._record(kind, item, deleted=False)

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        item = self._objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            gone = dataclasses.replace(item, version=str(self.revision))
            self._record(kind, gone, deleted=True)

    def forget_history(self) -> None:
        """Drops all changes, so that watches from before are told to list again."""
        self._events.clear()
        self._oldest = self.revision
        self._notify()

    async def answer(
        self,
        req: http_server.Request,
        responder: http_server.Responder,
        own_faults: set[StoreFault],
    ) -> None:
        """Answers a call.

        Args:
            req: The call.
            responder: Where the answer goes.
            own_faults: What goes wrong for this caller alone.
        """
        slow = StoreFault.SLOW in self.faults | own_faults
        await trio.sleep(SLOW_ANSWER_S if slow else ANSWER_S)
        self.calls[req.method] += 1
        await self._misbehave(responder, own_faults)
        if responder.started:
            return
        asked = server_formats.read_store_request(req)
        if not asked.allow_stale and self._is_too_fast(req.method != "GET"):
            self.turned_away += 1
            await responder.send_json({}, http.HTTPStatus.TOO_MANY_REQUESTS)
            return
        if req.method == "GET":
            (self.stale_reads if asked.allow_stale else self.reads)[asked.kind] += 1
            await self._read(asked, responder, own_faults)
            return
        if self._is_late():
            assert self._nursery
            self._nursery.start_soon(self._write_late, req.method, asked)
            await trio.sleep_forever()
        status, body = self._write(req.method, asked)
        if StoreFault.LOSES_ANSWERS in self.faults:
            await trio.sleep_forever()
        await responder.send_json(body, status)

    def _is_late(self) -> bool:
        """Returns whether this write is done late and not answered."""
        if StoreFault.MOST_WRITES_LATE in self.faults:
            self._writes += 1
            return self._writes % TIMELY_EVERY != 0
        return StoreFault.WRITES_LATE in self.faults

    def _is_too_fast(self, writes: bool) -> bool:
        """Counts a call; returns whether it is over the rate."""
        now = trio.current_time()
        recent = self._recent[writes]
        while recent and recent[0] <= now - 1.0:
            recent.popleft()
        if len(recent) >= (self.rates.writes if writes else self.rates.reads):
            return True
        recent.append(now)
        return False

    async def _misbehave(
        self, responder: http_server.Responder, own_faults: set[StoreFault]
    ) -> None:
        found = self.faults | own_faults
        if StoreFault.SILENT in found:
            await trio.sleep_forever()
        if StoreFault.REFUSES in found:
            raise exceptions.ConnectionLostError("reset")
        if StoreFault.BUSY in found:
            await responder.send_json({}, http.HTTPStatus.TOO_MANY_REQUESTS)

    async def _read(
        self,
        asked: server_formats.StoreRequest,
        responder: http_server.Responder,
        own_faults: set[StoreFault],
    ) -> None:
        if asked.from_revision is not None:
            await self._watch(asked, responder, own_faults)
            return
        if asked.name:
            found = self._objects.get((asked.kind, asked.name))
            status = http.HTTPStatus.OK if found else http.HTTPStatus.NOT_FOUND
            await responder.send_json(server_formats.encode_object(found) if found else {}, status)
            return
        names = [name for name in self.names(asked.kind) if name > asked.after]
        items = [self._objects[asked.kind, name] for name in names[:PAGE_ITEMS]]
        more = len(names) > PAGE_ITEMS
        await responder.send_json(server_formats.encode_page(items, self.revision, more))

    async def _watch(
        self,
        asked: server_formats.StoreRequest,
        responder: http_server.Responder,
        own_faults: set[StoreFault],
    ) -> None:
        assert asked.from_revision is not None
        deadline = trio.current_time() + asked.wait_s
        while True:
            forgets = asked.allow_stale and StoreFault.STALE_FORGETS in self.faults
            if forgets or asked.from_revision < self._oldest:
                await responder.send_json({}, http.HTTPStatus.GONE)
                return
            await self._misbehave(responder, own_faults)
            if responder.started:
                return
            shown = self._shown_revision(asked.allow_stale)
            found = [
                event.change
                for event in self._events
                if event.kind == asked.kind and asked.from_revision < event.revision <= shown
            ]
            if found or trio.current_time() >= deadline:
                await responder.send_json(server_formats.encode_changes(found, shown))
                return
            with trio.move_on_after(_WATCH_POLL_S):
                await self._changed.wait()

    def _shown_revision(self, stale: bool) -> int:
        if not stale or StoreFault.STALE not in self.faults:
            return self.revision
        until = trio.current_time() - STALE_S
        return max((e.revision for e in self._events if e.at <= until), default=self._oldest)

    async def _write_late(self, method: str, asked: server_formats.StoreRequest) -> None:
        await trio.sleep(LATE_WRITE_S)
        self._write(method, asked)

    def _write(self, method: str, asked: server_formats.StoreRequest) -> tuple[int, Any]:
        known = self._objects.get((asked.kind, asked.name))
        if method == "POST":
            if known is not None:
                return http.HTTPStatus.CONFLICT, server_formats.encode_object(known)
            self.put(asked.kind, asked.name, asked.spec)
        elif known is None:
            return http.HTTPStatus.NOT_FOUND, {}
        elif asked.expected_revision is not None and asked.expected_revision != int(known.version):
            return http.HTTPStatus.CONFLICT, server_formats.encode_object(known)
        elif method == "DELETE":
            self.remove(asked.kind, asked.name)
            return http.HTTPStatus.OK, {}
        else:
            self.put(asked.kind, asked.name, asked.spec)
        return http.HTTPStatus.OK, server_formats.encode_object(
            self._objects[asked.kind, asked.name]
        )

    def _record(self, kind: str, item: store_format.StoredObject, deleted: bool) -> None:
        change = store_format.Change(item, deleted)
        self._events.append(_Event(self.revision, kind, change, trio.current_time()))
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
