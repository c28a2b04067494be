"""Stand-in for the object store of the users' platform, which can inject faults."""

import collections
import dataclasses
import enum
import http
from typing import Any

import msgspec
import trio

from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.models import store_versions
from cicadapier._internal.platform import server_formats
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import http_server
from cicadapier._internal.protocols import store_format
from cicadapier._internal.protocols import transport
from cicadapier._internal.standins import store_history

PAGE_ITEMS = 50
ANSWER_DELAY_S = 0.004
SLOW_ANSWER_DELAY_S = 0.2
STALENESS_S = 3.0
LATE_WRITE_DELAY_S = 2.0
REPEATED_WRITE_DELAY_S = 1.0  # Until operators and upstreams repeat writes that a restore lost.
ON_TIME_WRITE_INTERVAL = 3  # With MOST_WRITES_LATE, only every n-th write is on time.
_WATCH_POLL_S = 0.05  # Watches return changes at once; new faults affect them after this time.
_CALLER_LIMITS = settings.CallerLimits(body_bytes=4_194_304, idle_timeout_s=3600.0)


class StoreFault(enum.Enum):
    """Faults of the store.

    Attributes:
        SILENT: Calls are never answered.
        REFUSES: Connections are closed without an answer.
        BUSY: Calls are answered with status 429.
        LOSES_ANSWERS: Writes take effect, but are never answered.
        WRITES_LATE: Writes take effect late and are never answered.
        MOST_WRITES_LATE: Most writes take effect late and are never answered.
        SLOW: Answers are slow.
        STALE: Watches that allow stale data return changes with a delay.
        STALE_FORGETS: Watches that allow stale data get status 410, as if the history were gone.
    """

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
class Rates:
    """Calls per second that the store accepts from all callers together; others get status 429."""

    writes: int = 400
    reads: int = 2000


class StoreEndpoint(http_server.Handler):
    """Endpoint of the store for a single caller.

    Attributes:
        faults: Faults that affect this caller only. Of these, `SILENT`, `REFUSES`, `BUSY` and
            `SLOW` have an effect.
    """

    def __init__(self, store: "ForwardingStore") -> None:
        self.faults: set[StoreFault] = set()
        self._store = store

    async def handle(self, req: http_server.Request, responder: http_server.Responder) -> None:
        """See `http_server.Handler.handle`."""
        await self._store.answer(req, responder, self.faults)


class ForwardingStore:
    """The object store.

    Attributes:
        faults: Faults that affect all callers.
        rates: Calls per second that the store accepts.
        calls: Number of calls by method.
        reads: Number of reads that do not allow stale data, including watches, by kind.
        stale_reads: Number of reads that allow stale data, including watches, by kind.
        throttled_calls: Number of calls rejected because they exceeded the rates.
        revision: Revision of the latest change.
        epoch: Epoch that the answers name; None if they name none. It rises with each restore.
    """

    def __init__(self, network: transport.Network) -> None:
        self.faults: set[StoreFault] = set()
        self.rates = Rates()
        self.calls: collections.Counter[str] = collections.Counter()
        self.reads: collections.Counter[str] = collections.Counter()
        self.stale_reads: collections.Counter[str] = collections.Counter()
        self.throttled_calls = 0
        self.revision = 1
        self.epoch: ids.StoreEpoch | None = None
        self._network = network
        self._objects: dict[tuple[str, str], store_format.StoredObject] = {}
        self._changes: list[store_history.RecordedChange] = []
        self._history = store_history.StoreHistory()
        self._oldest_revision = 1
        self._write_count = 0
        self._recent_calls: dict[bool, collections.deque[float]] = {
            is_write: collections.deque() for is_write in (False, True)
        }
        self._changed = trio.Event()
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status: "trio.TaskStatus[None]" = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until it is cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def open_endpoint(self, address: ids.Address) -> tuple[StoreEndpoint, ids.Address]:
        """Starts an endpoint for one caller; returns the endpoint and its address."""
        assert self._nursery
        endpoint = StoreEndpoint(self)
        listener = http_server.Listener(self._network.serve, endpoint, _CALLER_LIMITS)
        bound_address: ids.Address = await self._nursery.start(listener.run, address)
        return endpoint, bound_address

    def find(self, kind: str, name: str) -> store_format.StoredObject | None:
        """Returns an object, or None if it does not exist."""
        return self._objects.get((kind, name))

    def names(self, kind: str) -> list[str]:
        """Returns the names of the objects of a kind, sorted."""
        return sorted(name for object_kind, name in self._objects if object_kind == kind)

    def put(self, kind: str, name: str, spec: Any, by_router: bool = False) -> None:
        """Writes an object unconditionally, as operators and upstreams do.

        A write that does not change the object has no effect.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            spec: New content.
            by_router: Whether a router writes it, so that nobody repeats the write after a restore.
        """
        current = self._objects.get((kind, name))
        if current is not None and current.spec == spec:
            return
        self.revision += 1
        item = store_format.StoredObject(name, self._version(), spec)
        self._objects[kind, name] = item
        self._record(kind, item, deleted=False, by_router=by_router)

    def put_raw(self, kind: str, name: str, content: bytes) -> None:
        """Writes an object whose content is sent as these bytes, which may be no valid JSON."""
        self.put(kind, name, msgspec.Raw(content))

    def put_raw_object(self, kind: str, name: str, encoded: bytes) -> None:
        """Writes an object that is sent as these bytes, in place of its metadata and content."""
        self.put(kind, name, server_formats.RawObject(encoded))

    def remove(self, kind: str, name: str, by_router: bool = False) -> None:
        """Deletes an object if it exists."""
        item = self._objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            deleted_item = dataclasses.replace(item, version=self._version())
            self._record(kind, deleted_item, deleted=True, by_router=by_router)

    def _version(self) -> store_versions.StoreVersion:
        """Returns the version of the latest change."""
        return store_versions.StoreVersion(self.epoch, str(self.revision))

    async def restore(
        self, away_s: float, age_s: float, repeat_after_s: float = REPEATED_WRITE_DELAY_S
    ) -> None:
        """Makes the store unavailable for a while and restores it from an older copy.

        What routers wrote since the copy is lost; operators and upstreams repeat their writes.

        Args:
            away_s: Time for which connections are closed without an answer.
            age_s: Age of the copy when the store goes away.
            repeat_after_s: Time from the return of the store until the writes are repeated; 0 to
                repeat them before any call is answered.
        """
        assert self._nursery
        copied_at = trio.current_time() - age_s
        if away_s:
            self.faults.add(StoreFault.REFUSES)
            await trio.sleep(away_s)
            self.faults.discard(StoreFault.REFUSES)
        lost = self._history.changes_since(copied_at)
        self._objects = self._history.objects_at(copied_at)
        self.revision = self._history.revision_at(copied_at)
        self._changes = [change for change in self._changes if change.revision <= self.revision]
        self._history.forget_since(copied_at)
        self.epoch = ids.StoreEpoch((self.epoch or 0) + 1)
        self._notify()
        if repeat_after_s:
            self._nursery.start_soon(self._repeat_writes_later, lost, repeat_after_s)
        else:
            self._repeat_writes(lost)

    async def _repeat_writes_later(
        self, lost: list[store_history.RecordedChange], delay_s: float
    ) -> None:
        await trio.sleep(delay_s)
        self._repeat_writes(lost)

    def _repeat_writes(self, lost: list[store_history.RecordedChange]) -> None:
        """Repeats writes, except those of objects that have been written again since."""
        written = {(c.kind, c.change.object.name) for c in self._changes if self._is_current(c)}
        for recorded in lost:
            item = recorded.change.object
            if recorded.by_router or (recorded.kind, item.name) in written:
                continue
            if recorded.change.deleted:
                self.remove(recorded.kind, item.name)
            else:
                self.put(recorded.kind, item.name, item.spec)

    def _is_current(self, recorded: store_history.RecordedChange) -> bool:
        """Returns whether a change was made in the epoch of the store that runs now."""
        return recorded.change.object.version.epoch == self.epoch

    def drop_history(self) -> None:
        """Drops all recorded changes, so that watches from earlier revisions must list again."""
        self._changes.clear()
        self._oldest_revision = self.revision
        self._notify()

    async def answer(
        self,
        req: http_server.Request,
        responder: http_server.Responder,
        endpoint_faults: set[StoreFault],
    ) -> None:
        """Answers a call.

        Args:
            req: The call.
            responder: Sends the answer.
            endpoint_faults: Faults of the endpoint that received the call.
        """
        is_slow = StoreFault.SLOW in self.faults | endpoint_faults
        await trio.sleep(SLOW_ANSWER_DELAY_S if is_slow else ANSWER_DELAY_S)
        self.calls[req.method] += 1
        await self._apply_faults(responder, endpoint_faults)
        if responder.started:
            return
        store_req = server_formats.read_store_request(req)
        if not store_req.allow_stale and self._is_over_rate(req.method != "GET"):
            self.throttled_calls += 1
            await self._send(responder, {}, http.HTTPStatus.TOO_MANY_REQUESTS)
            return
        if req.method == "GET":
            (self.stale_reads if store_req.allow_stale else self.reads)[store_req.kind] += 1
            await self._read(store_req, responder, endpoint_faults)
            return
        if self._is_write_delayed():
            assert self._nursery
            self._nursery.start_soon(self._write_late, req.method, store_req)
            await trio.sleep_forever()
        status, body = self._write(req.method, store_req)
        if StoreFault.LOSES_ANSWERS in self.faults:
            await trio.sleep_forever()
        await self._send(responder, body, status)

    def _is_write_delayed(self) -> bool:
        """Returns whether a write takes effect late and is not answered; counts the write."""
        if StoreFault.MOST_WRITES_LATE in self.faults:
            self._write_count += 1
            return self._write_count % ON_TIME_WRITE_INTERVAL != 0
        return StoreFault.WRITES_LATE in self.faults

    def _is_over_rate(self, is_write: bool) -> bool:
        """Counts a call; returns whether it exceeds the rate of its kind.

        Args:
            is_write: Whether the call is a write. Reads and writes have separate rates.
        """
        now = trio.current_time()
        recent_calls = self._recent_calls[is_write]
        while recent_calls and recent_calls[0] <= now - 1.0:
            recent_calls.popleft()
        if len(recent_calls) >= (self.rates.writes if is_write else self.rates.reads):
            return True
        recent_calls.append(now)
        return False

    async def _apply_faults(
        self, responder: http_server.Responder, endpoint_faults: set[StoreFault]
    ) -> None:
        active_faults = self.faults | endpoint_faults
        if StoreFault.SILENT in active_faults:
            await trio.sleep_forever()
        if StoreFault.REFUSES in active_faults:
            raise exceptions.ConnectionLostError("reset")
        if StoreFault.BUSY in active_faults:
            await self._send(responder, {}, http.HTTPStatus.TOO_MANY_REQUESTS)

    async def _read(
        self,
        store_req: server_formats.StoreRequest,
        responder: http_server.Responder,
        endpoint_faults: set[StoreFault],
    ) -> None:
        if store_req.from_revision is not None:
            await self._watch(store_req, responder, endpoint_faults)
            return
        if store_req.name:
            found = self._objects.get((store_req.kind, store_req.name))
            status = http.HTTPStatus.OK if found else http.HTTPStatus.NOT_FOUND
            body = server_formats.encode_object(found) if found else {}
            await self._send(responder, body, status)
            return
        names = [name for name in self.names(store_req.kind) if name > store_req.after]
        items = [self._objects[store_req.kind, name] for name in names[:PAGE_ITEMS]]
        is_truncated = len(names) > PAGE_ITEMS
        body = server_formats.encode_page(items, self.revision, is_truncated)
        await self._send(responder, body)

    async def _watch(
        self,
        store_req: server_formats.StoreRequest,
        responder: http_server.Responder,
        endpoint_faults: set[StoreFault],
    ) -> None:
        assert store_req.from_revision is not None
        deadline = trio.current_time() + store_req.wait_s
        while True:
            history_dropped = store_req.allow_stale and StoreFault.STALE_FORGETS in self.faults
            has_history = self._oldest_revision <= store_req.from_revision <= self.revision
            if history_dropped or not has_history:
                await self._send(responder, {}, http.HTTPStatus.GONE)
                return
            await self._apply_faults(responder, endpoint_faults)
            if responder.started:
                return
            visible_revision = self._visible_revision(store_req.allow_stale)
            changes = [
                recorded.change
                for recorded in self._changes
                if recorded.kind == store_req.kind
                and store_req.from_revision < recorded.revision <= visible_revision
            ]
            if changes or trio.current_time() >= deadline:
                body = server_formats.encode_changes(changes, visible_revision)
                await self._send(responder, body)
                return
            with trio.move_on_after(_WATCH_POLL_S):
                await self._changed.wait()

    def _visible_revision(self, allow_stale: bool) -> int:
        if not allow_stale or StoreFault.STALE not in self.faults:
            return self.revision
        latest_at = trio.current_time() - STALENESS_S
        return max(
            (c.revision for c in self._changes if c.at <= latest_at), default=self._oldest_revision
        )

    async def _write_late(self, method: str, store_req: server_formats.StoreRequest) -> None:
        await trio.sleep(LATE_WRITE_DELAY_S)
        self._write(method, store_req)

    def _write(self, method: str, store_req: server_formats.StoreRequest) -> tuple[int, Any]:
        current = self._objects.get((store_req.kind, store_req.name))
        if method == "POST":
            if current is not None:
                return http.HTTPStatus.CONFLICT, server_formats.encode_object(current)
            self.put(store_req.kind, store_req.name, store_req.spec, by_router=True)
        elif current is None:
            return http.HTTPStatus.NOT_FOUND, {}
        elif store_req.expected_revision is not None and store_req.expected_revision != int(
            current.version.revision
        ):
            return http.HTTPStatus.CONFLICT, server_formats.encode_object(current)
        elif method == "DELETE":
            self.remove(store_req.kind, store_req.name, by_router=True)
            return http.HTTPStatus.OK, {}
        else:
            self.put(store_req.kind, store_req.name, store_req.spec, by_router=True)
        return http.HTTPStatus.OK, server_formats.encode_object(
            self._objects[store_req.kind, store_req.name]
        )

    def _record(
        self, kind: str, item: store_format.StoredObject, deleted: bool, by_router: bool
    ) -> None:
        change = store_format.Change(item, deleted)
        recorded = store_history.RecordedChange(
            self.revision, kind, change, trio.current_time(), by_router
        )
        self._changes.append(recorded)
        self._history.record(recorded)
        self._notify()

    async def _send(
        self, responder: http_server.Responder, body: Any, status: int = http.HTTPStatus.OK
    ) -> None:
        epoch_headers = server_formats.make_epoch_headers(self.epoch)
        await responder.send_json(body, status, epoch_headers)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
