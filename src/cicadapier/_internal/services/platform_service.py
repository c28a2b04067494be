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
from cicadapier._internal.protocols import exceptions as protocol_exceptions
from cicadapier._internal.protocols import headers
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import partial_json
from cicadapier._internal.protocols import store_format
from cicadapier._internal.protocols import transport
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import names

MAX_IDLE_CONNECTIONS = 8
MAX_IDLE_S = 4.0
# A watch without an answer this long after the end of its wait is considered lost.
WATCH_TIMEOUT_MARGIN_S = 0.5
MIN_WATCH_TIMEOUT_S = 1.0  # Applies to a watch with a very short wait.
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
    version: str


class PlatformService(service.Service):
    """Calls the platform over a small pool of persistent connections.

    Each call runs in the task of its caller and has a connection to itself while it lasts, so a
    waiting watch does not delay other calls.

    Attributes:
        epoch: Latest epoch that the store has named; None if it has named none.
    """

    name = names.PLATFORM

    def __init__(
        self,
        cfg: settings.Platform,
        network: transport.Network,
        rng: random.Random,
        wire_format: store_format.StoreFormat,
    ) -> None:
        self._cfg = cfg
        self._network = network
        self._rng = rng
        self._format = wire_format
        self._idle: list[http_client.ClientConnection] = []
        self._watch_scopes: set[trio.CancelScope] = set()
        self.epoch: ids.StoreEpoch | None = None
        self._has_logged_fallen_epoch = False

    @property
    def is_configured(self) -> bool:
        """Whether the settings contain an address of the platform."""
        return bool(self._cfg.addresses)

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        task_status.started()
        await trio.sleep_forever()

    async def get(self, kind: str, name: str) -> store_format.StoredObject | None:
        """Returns an object, or None if it does not exist.

        Raises:
            PlatformUnavailableError: No answer.
            PlatformRefusedError: Any other status.
        """
        status, body = await self._call(self._format.get(kind, name))
        return self._read_object(body) if status == http.HTTPStatus.OK else None

    async def list_all(self, kind: str) -> Listing:
        """Returns all objects of a kind; a concurrent change may appear only in the later pages.

        Raises:
            PlatformUnavailableError: No answer.
            PlatformRefusedError: Any other status.
        """
        objects: list[store_format.StoredObject] = []
        version = ""
        next_name = ""
        while True:
            call = self._format.list_page(kind, next_name)
            _, body = await self._call(call, store_format.PAGE_LEVELS)
            page = self._read_page(body)
            _log_unnamed(kind, page.unnamed)
            objects.extend(page.objects)
            # A watch from the version of the first page delivers all changes since then again.
            version = version or page.version
            next_name = page.continue_after
            if not next_name:
                return Listing(tuple(objects), version)

    async def watch(
        self, kind: str, version: str, wait_s: float, allow_stale: bool = False
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
            PlatformRefusedError: Any other status.
        """
        call = self._format.watch(kind, version, wait_s, allow_stale)
        timeout_s = max(MIN_WATCH_TIMEOUT_S, wait_s + WATCH_TIMEOUT_MARGIN_S)
        with trio.CancelScope() as scope:
            self._watch_scopes.add(scope)
            try:
                status, answer = await self._send_call(call, timeout_s)
            finally:
                self._watch_scopes.discard(scope)
        if scope.cancelled_caught:
            raise exceptions.PlatformUnavailableError(
                "cancelled because another call was not answered"
            )
        if status == http.HTTPStatus.GONE:
            raise exceptions.HistoryGoneError(kind)
        if status != http.HTTPStatus.OK:
            raise exceptions.PlatformRefusedError(status, "watch refused")
        try:
            changes = self._format.read_changes(answer, version)
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
        return self._write_result(*await self._call(self._format.create(kind, name, spec)))

    async def replace(
        self, kind: str, old: store_format.StoredObject, spec: object
    ) -> Written | NotWritten:
        """Replaces an object if it still has the version of `old`.

        Raises:
            PlatformUnavailableError: No answer; the object may have been replaced.
            PlatformRefusedError: Refused without effect.
        """
        return self._write_result(*await self._call(self._format.replace(kind, old, spec)))

    async def delete(self, kind: str, old: store_format.StoredObject) -> bool:
        """Deletes an object if it still has the version of `old`.

        Returns:
            Whether the object no longer exists.

        Raises:
            PlatformUnavailableError: No answer; the object may have been deleted.
            PlatformRefusedError: Refused without effect.
        """
        status, _ = await self._call(self._format.delete(kind, old))
        return status in (http.HTTPStatus.OK, http.HTTPStatus.NOT_FOUND)

    async def _call(
        self, call: store_format.Call, levels: int = store_format.OBJECT_LEVELS
    ) -> tuple[int, Any]:
        """Returns the status and the parsed JSON of the answer to a call.

        Args:
            call: The call.
            levels: Levels of the answer whose items are read separately.
        """
        status, answer = await self._send_call(call, self._cfg.timeout_s)
        decoded = partial_json.decode(answer, levels) if answer else {}
        if status >= 400 and status not in _EXPECTED_ERRORS:
            message = str(decoded.get("message", "")) if isinstance(decoded, dict) else ""
            raise exceptions.PlatformRefusedError(status, message)
        return status, decoded

    async def _send_call(self, call: store_format.Call, timeout_s: float) -> tuple[int, bytes]:
        body = b"" if call.body is None else msgspec.json.encode(call.body)
        head = http_client.RequestHead(call.method, call.target, self._headers(bool(body)))
        try:
            with trio.fail_after(timeout_s):
                status, answer = await self._exchange(head, body, timeout_s)
        except protocol_exceptions.ProtocolError as exc:
            raise exceptions.PlatformUnavailableError(str(exc) or type(exc).__name__) from exc
        except trio.TooSlowError as exc:
            self._cancel_watches()
            message = f"no answer within {timeout_s} s"
            raise exceptions.PlatformUnavailableError(message) from exc
        if status >= 500:
            # An error from a gateway does not show whether the write took effect.
            raise exceptions.PlatformUnavailableError(f"status {status}")
        return status, answer

    async def _exchange(
        self, head: http_client.RequestHead, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        conn = await self._take_idle() or await self._connect()
        known_epoch = self.epoch
        is_reusable = False
        try:
            await conn.send(head, body)
            answer = await conn.receive_head(timeout_s)
            content = await conn.receive_body(timeout_s, progress_deadlines.MAX_ANSWER_BYTES)
            is_reusable = conn.make_reusable()
            self._record_epoch(self._format.read_epoch(answer), known_epoch)
            return answer.status, content
        finally:
            if is_reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append(conn)
            else:
                await conn.close()
                if not is_reusable:
                    await self._close_idle()

    def _record_epoch(
        self, epoch: ids.StoreEpoch | None, known_epoch: ids.StoreEpoch | None
    ) -> None:
        """Records the epoch that an answer names.

        Args:
            epoch: The epoch; None if the answer names none.
            known_epoch: Latest epoch that was known when the call was sent.

        Raises:
            PlatformUnavailableError: The store has begun another epoch since it answered.
        """
        if epoch is None or epoch == self.epoch:
            return
        if self.epoch is None or epoch > self.epoch:
            _log.info("store_epoch_changed", epoch=epoch, before=self.epoch)
            self.epoch = epoch
        elif known_epoch != self.epoch:
            raise exceptions.PlatformUnavailableError(
                f"the answer is from the former epoch {epoch}"
            )
        elif not self._has_logged_fallen_epoch:
            _log.info("store_epoch_fallen", epoch=epoch, known=self.epoch)
            self._has_logged_fallen_epoch = True

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

    def _read_object(self, body: Any) -> store_format.StoredObject:
        try:
            return self._format.read_object(body)
        except _DECODING_ERRORS as exc:
            raise exceptions.UnreadableAnswerError(f"unreadable answer: {exc!r}") from exc

    def _read_page(self, body: Any) -> store_format.Page:
        try:
            return self._format.read_page(body)
        except _DECODING_ERRORS as exc:
            raise exceptions.UnreadableAnswerError(f"unreadable answer: {exc!r}") from exc

    def _write_result(self, status: int, body: Any) -> Written | NotWritten:
        if status in (http.HTTPStatus.OK, http.HTTPStatus.CREATED):
            return Written(self._read_object(body))
        if status != http.HTTPStatus.CONFLICT:
            return NotWritten()
        try:
            return NotWritten(self._format.read_object(body))
        except _DECODING_ERRORS:
            return NotWritten()


_DECODING_ERRORS = (msgspec.MsgspecError, KeyError, TypeError, AttributeError, ValueError)


def _log_unnamed(kind: str, count: int) -> None:
    if count:
        _log.warning("store_objects_unreadable", kind=kind, count=count)
