"""Client of the platform's object store."""

import dataclasses
import http
import random
from typing import Any

import msgspec
import structlog
import trio

from cicadapier._internal.decisions import progress_deadlines
from cicadapier._internal.kernel import service
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.models import store_versions
from cicadapier._internal.protocols import exceptions as protocol_exceptions
from cicadapier._internal.protocols import headers
from cicadapier._internal.protocols import held_bytes
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import partial_json
from cicadapier._internal.protocols import store_format
from cicadapier._internal.protocols import transport
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import names
from cicadapier._internal.services import read_exchange
from cicadapier._internal.services import store_epochs
from cicadapier._internal.services import telemetry_service

MAX_IDLE_CONNECTIONS = 8
MAX_IDLE_S = 4.0
MAX_HELD_ANSWER_BYTES = 16_777_216  # Answers that are being received, all together.
# A watch without an answer this long after the end of its wait is considered lost.
WATCH_TIMEOUT_MARGIN_S = 0.5
MIN_WATCH_TIMEOUT_S = 1.0  # Applies to a watch with a very short wait.
_REFUSALS = (http.HTTPStatus.TOO_MANY_REQUESTS, http.HTTPStatus.SERVICE_UNAVAILABLE)
_EXPECTED_ERRORS = (http.HTTPStatus.NOT_FOUND, http.HTTPStatus.CONFLICT)

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """A write that took effect."""

    object: store_format.StoredObject


@dataclasses.dataclass(frozen=True, slots=True)
class NotWritten:
    """A conditional write that found another version or an existing object of the same name.

    Attributes:
        object: The object found, or None if the answer does not contain it.
    """

    object: store_format.StoredObject | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All objects of one kind and the version from which to watch their changes."""

    objects: tuple[store_format.StoredObject, ...]
    version: store_versions.StoreVersion


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """Answer to a call.

    Attributes:
        status: HTTP status.
        epoch: Epoch of the store in which it was given; None if the store names no epochs.
        content: Body, or its parsed JSON.
        is_doubtful: Whether it may be an earlier refusal that was repeated on the connection.
    """

    status: int
    epoch: ids.StoreEpoch | None
    content: Any
    is_doubtful: bool = False


class _EpochMetric(store_epochs.EpochListener):
    """Shows the epoch among the metrics."""

    def __init__(self, telemetry: telemetry_service.TelemetryService) -> None:
        self._telemetry = telemetry

    def handle_epoch(self, change: store_versions.EpochChange) -> None:
        """See `store_epochs.EpochListener.handle_epoch`."""
        self._telemetry.record_store_epoch(change.epoch)


class PlatformService(service.Service):
    """Calls the platform over a small pool of persistent connections.

    Each call runs in the task of its caller and has a connection to itself while it lasts, so a
    waiting watch does not delay other calls.

    Attributes:
        epochs: The epoch of the store, and who is told of a new one.
        exchange: Shares what watches read with other routers; None if each reads for itself.
    """

    name = names.PLATFORM

    def __init__(
        self,
        cfg: settings.Platform,
        network: transport.Network,
        rng: random.Random,
        wire_format: store_format.StoreFormat,
        exchange: read_exchange.ReadExchange | None = None,
    ) -> None:
        self._cfg = cfg
        self._network = network
        self._rng = rng
        self._format = wire_format
        self._idle: list[http_client.ClientConnection] = []
        self._watch_scopes: set[trio.CancelScope] = set()
        self._telemetry: telemetry_service.TelemetryService | None = None
        self.exchange = exchange
        self.epochs = store_epochs.StoreEpochs()
        self._held_answers = held_bytes.HeldBytes[None](MAX_HELD_ANSWER_BYTES)

    @property
    def is_configured(self) -> bool:
        """Whether the settings contain an address of the platform."""
        return bool(self._cfg.addresses)

    @property
    def epoch(self) -> ids.StoreEpoch | None:
        """Latest epoch that the store has named; None if it has named none."""
        return self.epochs.current

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._telemetry = kernel.find(names.TELEMETRY)
        self.epochs.add_listener(_EpochMetric(self._telemetry))
        task_status.started()
        await trio.sleep_forever()

    async def get(self, kind: str, name: str) -> store_format.StoredObject | None:
        """Returns an object, or None if it does not exist.

        Raises:
            PlatformUnavailableError: No answer.
            PlatformRefusedError: Any other status.
        """
        self._count(kind, "get")
        answer = await self._call(self._format.get(kind, name))
        return self._read_object(answer) if answer.status == http.HTTPStatus.OK else None

    async def list_all(self, kind: str) -> Listing:
        """Returns all objects of a kind; a concurrent change may appear only in the later pages.

        Raises:
            PlatformUnavailableError: No answer.
            EpochEndedError: The store has begun a new epoch between two pages.
            PlatformRefusedError: Any other status.
        """
        objects: list[store_format.StoredObject] = []
        version: store_versions.StoreVersion | None = None
        next_name = ""
        while True:
            self._count(kind, "list")
            call = self._format.list_page(kind, next_name)
            page = self._read_page(await self._call(call, store_format.PAGE_LEVELS))
            _log_unnamed(kind, page.unnamed)
            objects.extend(page.objects)
            # A watch from the version of the first page delivers all changes since then again.
            version = version or page.version
            if page.version.epoch != version.epoch:
                raise exceptions.EpochEndedError(kind)
            next_name = page.continue_after
            if not next_name:
                return Listing(tuple(objects), version)

    async def watch(
        self,
        kind: str,
        version: store_versions.StoreVersion,
        wait_s: float,
        allow_stale: bool = False,
    ) -> store_format.Changes:
        """Waits for changes of the objects of a kind.

        Args:
            kind: The kind.
            version: Version after which changes are returned.
            wait_s: Longest wait.
            allow_stale: Whether the answer may be seconds old if this is cheaper for the platform.

        Raises:
            PlatformUnavailableError: No answer.
            HistoryGoneError: The platform no longer has the changes since that version.
            EpochEndedError: The store has begun a new epoch, in which that version says nothing.
            PlatformRefusedError: Any other status.
        """
        if version.epoch != self.epoch:
            raise exceptions.EpochEndedError(kind)
        self._count(kind, "watch_stale" if allow_stale else "watch")
        call = self._format.watch(kind, version, wait_s, allow_stale)
        timeout_s = max(MIN_WATCH_TIMEOUT_S, wait_s + WATCH_TIMEOUT_MARGIN_S)
        with trio.CancelScope() as scope:
            self._watch_scopes.add(scope)
            try:
                answer = await self._send_call(call, timeout_s)
            finally:
                self._watch_scopes.discard(scope)
        if scope.cancelled_caught:
            raise exceptions.PlatformUnavailableError(
                "cancelled because another call was not answered"
            )
        if answer.epoch != version.epoch:
            raise exceptions.EpochEndedError(kind)
        if answer.status == http.HTTPStatus.GONE:
            raise exceptions.HistoryGoneError(kind)
        if answer.status != http.HTTPStatus.OK:
            raise exceptions.PlatformRefusedError(answer.status, "watch refused")
        try:
            changes = self._format.read_changes(answer.content, version)
        except _DECODING_ERRORS as exc:
            raise exceptions.UnreadableAnswerError(f"unreadable answer: {exc!r}") from exc
        _log_unnamed(kind, changes.unnamed)
        return changes

    async def create(self, kind: str, name: str, spec: object) -> Written | NotWritten:
        """Creates an object unless the name is taken.

        Raises:
            PlatformUnavailableError: No answer; the object may have been created.
            PlatformRefusedError: Refused without effect.
        """
        self._count(kind, "create")
        return self._write_result(await self._call(self._format.create(kind, name, spec)))

    async def replace(
        self, kind: str, old: store_format.StoredObject, spec: object
    ) -> Written | NotWritten:
        """Replaces an object if it still has the version of `old`.

        Nothing is written if `old` is of a former epoch: its revision may name another content.

        Raises:
            PlatformUnavailableError: No answer; the object may have been replaced.
            PlatformRefusedError: Refused without effect.
        """
        if self._is_of_former_epoch(kind, old):
            return NotWritten()
        self._count(kind, "replace")
        return self._write_result(await self._call(self._format.replace(kind, old, spec)))

    async def delete(self, kind: str, old: store_format.StoredObject) -> bool:
        """Deletes an object if it still has the version of `old`.

        Nothing is deleted if `old` is of a former epoch: its revision may name another content.

        Returns:
            Whether the object no longer exists.

        Raises:
            PlatformUnavailableError: No answer; the object may have been deleted.
            PlatformRefusedError: Refused without effect.
        """
        if self._is_of_former_epoch(kind, old):
            return False
        self._count(kind, "delete")
        answer = await self._call(self._format.delete(kind, old))
        return answer.status in (http.HTTPStatus.OK, http.HTTPStatus.NOT_FOUND)

    def _count(self, kind: str, call: str) -> None:
        if self._telemetry:
            self._telemetry.count_store_call(kind, call)

    def _is_of_former_epoch(self, kind: str, old: store_format.StoredObject) -> bool:
        if old.version.epoch == self.epoch:
            return False
        _log.info(
            "store_write_dropped",
            kind=kind,
            entry=old.name,
            version=old.version.revision,
            epoch=old.version.epoch,
            current=self.epoch,
        )
        return True

    async def _call(
        self, call: store_format.Call, levels: int = store_format.OBJECT_LEVELS
    ) -> _Answer:
        """Returns the answer to a call with its JSON parsed.

        Args:
            call: The call.
            levels: Levels of the answer whose items are read separately.
        """
        answer = await self._send_call(call, self._cfg.timeout_s)
        decoded = partial_json.decode(answer.content, levels) if answer.content else {}
        if answer.status >= 400 and answer.status not in _EXPECTED_ERRORS:
            message = str(decoded.get("message", "")) if isinstance(decoded, dict) else ""
            raise exceptions.PlatformRefusedError(answer.status, message)
        return dataclasses.replace(answer, content=decoded)

    async def _send_call(self, call: store_format.Call, timeout_s: float) -> _Answer:
        body = b"" if call.body is None else msgspec.json.encode(call.body)
        head = http_client.RequestHead(call.method, call.target, self._headers(bool(body)))
        try:
            with trio.fail_after(timeout_s):
                answer = await self._exchange(head, body, timeout_s)
        except protocol_exceptions.ProtocolError as exc:
            raise exceptions.PlatformUnavailableError(str(exc) or type(exc).__name__) from exc
        except trio.TooSlowError as exc:
            self._cancel_watches()
            message = f"no answer within {timeout_s} s"
            raise exceptions.PlatformUnavailableError(message) from exc
        if answer.status >= 500:
            # An error from a gateway does not show whether the write took effect.
            raise exceptions.PlatformUnavailableError(f"status {answer.status}")
        if answer.is_doubtful and call.method != "GET":
            # The call itself may take effect.
            message = f"status {answer.status} on a connection that was used before"
            raise exceptions.PlatformUnavailableError(message)
        return answer

    async def _exchange(
        self, head: http_client.RequestHead, body: bytes, timeout_s: float
    ) -> _Answer:
        conn = await self._take_idle() or await self._connect()
        known_epoch = self.epoch
        is_reusable = is_doubtful = False
        held = None
        try:
            await conn.send(head, body)
            answer = await conn.receive_head(timeout_s)
            held = self._held_answers.open(None, answer.content_length)
            max_bytes = progress_deadlines.MAX_ANSWER_BYTES
            content = await conn.receive_body(timeout_s, max_bytes, held)
            # The answers of the store name no call.
            is_doubtful = conn.is_reused and answer.status in _REFUSALS
            is_reusable = conn.make_reusable()
            epoch = self.epochs.record(self._format.read_epoch(answer), known_epoch)
            return _Answer(answer.status, epoch, content, is_doubtful)
        finally:
            if held:
                held.release()
            if is_reusable and not is_doubtful and len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append(conn)
            else:
                await conn.close()
                if not is_reusable:
                    await self._close_idle()

    async def _connect(self) -> http_client.ClientConnection:
        if not self._cfg.addresses:
            raise protocol_exceptions.ConnectError("no platform address is configured")
        address = self._rng.choice(self._cfg.addresses)
        stream = await self._network.connect(address, self._cfg.timeout_s)
        return http_client.ClientConnection(stream, address)

    async def _take_idle(self) -> http_client.ClientConnection | None:
        while self._idle:
            conn = self._idle.pop()
            if not conn.is_stale and trio.current_time() - conn.idle_since < MAX_IDLE_S:
                return conn
            await conn.close()
        return None

    async def _close_idle(self) -> None:
        # The idle connections may have failed together with the one that has just failed.
        idle, self._idle = self._idle, []
        for conn in idle:
            await conn.close()

    def _cancel_watches(self) -> None:
        # Connections usually fail together, and a watch would notice only after its long wait.
        for scope in self._watch_scopes:
            scope.cancel()

    def _headers(self, has_body: bool) -> http_client.Headers:
        fields = []
        if has_body:
            fields.append((headers.CONTENT_TYPE, b"application/json"))
        if self._cfg.token:
            fields.append((headers.AUTHORIZATION, b"Bearer " + self._cfg.token.encode()))
        return fields

    def _read_object(self, answer: _Answer) -> store_format.StoredObject:
        try:
            return self._format.read_object(answer.content, answer.epoch)
        except _DECODING_ERRORS as exc:
            raise exceptions.UnreadableAnswerError(f"unreadable answer: {exc!r}") from exc

    def _read_page(self, answer: _Answer) -> store_format.Page:
        try:
            return self._format.read_page(answer.content, answer.epoch)
        except _DECODING_ERRORS as exc:
            raise exceptions.UnreadableAnswerError(f"unreadable answer: {exc!r}") from exc

    def _write_result(self, answer: _Answer) -> Written | NotWritten:
        if answer.status in (http.HTTPStatus.OK, http.HTTPStatus.CREATED):
            return Written(self._read_object(answer))
        if answer.status != http.HTTPStatus.CONFLICT:
            return NotWritten()
        try:
            return NotWritten(self._format.read_object(answer.content, answer.epoch))
        except _DECODING_ERRORS:
            return NotWritten()


_DECODING_ERRORS = (msgspec.MsgspecError, KeyError, TypeError, AttributeError, ValueError)


def _log_unnamed(kind: str, count: int) -> None:
    if count:
        _log.warning("store_objects_unreadable", kind=kind, count=count)
