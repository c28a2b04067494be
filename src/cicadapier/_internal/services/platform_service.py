"""Client of the platform's object API."""

import collections.abc
import dataclasses
import http
import random
from typing import Any

import msgspec
import trio

from cicadapier._internal.kernel import service
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import exceptions as protocol_exceptions
from cicadapier._internal.protocols import headers
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import transport
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import names

ROOT = "/apis/cicadapier.io/v1"
MAX_IDLE = 8
MAX_ANSWER_BYTES = 16_777_216
_NEUTRAL = (http.HTTPStatus.NOT_FOUND, http.HTTPStatus.CONFLICT, http.HTTPStatus.GONE)


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformObject:
    """An object of the platform.

    Attributes:
        name: Its name.
        version: Resource version, empty for a new object.
        spec: Its content.
    """

    name: str
    version: str
    spec: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """A write took effect."""

    object: PlatformObject


@dataclasses.dataclass(frozen=True, slots=True)
class NotWritten:
    """A conditional write met another version or an object of the same name."""


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Objects of one plural and the version of the list."""

    objects: tuple[PlatformObject, ...]
    version: str


class PlatformService(service.Service):
    """Calls the platform over a few kept connections.

    Each call runs in the task of its caller and owns one connection for as long as it lasts.
    """

    name = names.PLATFORM

    def __init__(
        self, cfg: settings.Platform, network: transport.Network, rng: random.Random
    ) -> None:
        self._cfg = cfg
        self._network = network
        self._rng = rng
        self._idle: list[tuple[ids.Address, http_client.ClientConnection]] = []

    @property
    def configured(self) -> bool:
        """Whether the settings name any address of the platform."""
        return bool(self._cfg.addresses)

    async def run(self, kernel: service.Kernel, started: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        started.started()
        await trio.sleep_forever()

    async def get(self, plural: str, name: str) -> PlatformObject | None:
        """Returns an object, or None where there is none.

        Raises:
            PlatformUnavailableError: No answer.
            PlatformRefusedError: Any other status.
        """
        status, body = await self._call("GET", f"{plural}/{name}", None)
        return _read_object(body) if status == http.HTTPStatus.OK else None

    async def list_all(self, plural: str) -> Listing:
        """Returns all objects of a plural.

        Raises:
            PlatformUnavailableError: No answer.
            PlatformRefusedError: Any other status.
        """
        _, body = await self._call("GET", plural, None)
        objects = tuple(_read_object(item) for item in body.get("items", []))
        return Listing(objects, str(body.get("metadata", {}).get("resourceVersion", "0")))

    async def create(self, plural: str, name: str, spec: object) -> Written | NotWritten:
        """Creates an object unless the name is taken.

        Raises:
            PlatformUnavailableError: No answer; the object may have been created.
            PlatformRefusedError: Refused without effect.
        """
        value = {"metadata": {"name": name}, "spec": spec}
        return _write_result(*await self._call("POST", plural, value))

    async def replace(self, plural: str, old: PlatformObject, spec: object) -> Written | NotWritten:
        """Replaces an object on condition that its version is still that of `old`.

        Raises:
            PlatformUnavailableError: No answer; the object may have been replaced.
            PlatformRefusedError: Refused without effect.
        """
        value = {"metadata": {"name": old.name, "resourceVersion": old.version}, "spec": spec}
        return _write_result(*await self._call("PUT", f"{plural}/{old.name}", value))

    async def delete(self, plural: str, old: PlatformObject) -> bool:
        """Deletes an object on condition of its version; returns whether it is gone.

        Raises:
            PlatformUnavailableError: No answer; the object may have been deleted.
            PlatformRefusedError: Refused without effect.
        """
        value = {"preconditions": {"resourceVersion": old.version}}
        status, _ = await self._call("DELETE", f"{plural}/{old.name}", value)
        return status in (http.HTTPStatus.OK, http.HTTPStatus.NOT_FOUND)

    async def watch(
        self, plural: str, version: str, timeout_s: float
    ) -> collections.abc.AsyncIterator[PlatformObject]:
        """Yields objects of a plural as they change, until the watch ends.

        Raises:
            PlatformUnavailableError: The watch broke.
            PlatformRefusedError: The version is too old, or any other status.
        """
        target = f"{ROOT}/{plural}?watch=1&resourceVersion={version}&timeoutSeconds={timeout_s:.0f}"
        conn = await self._open()
        try:
            await conn.send(http_client.RequestHead("GET", target, self._headers()), b"")
            head = await conn.receive_head(self._cfg.timeout_s)
            if head.status != http.HTTPStatus.OK:
                raise exceptions.PlatformRefusedError(head.status, "watch refused")
            rest = b""
            while (part := await conn.receive_data(timeout_s + self._cfg.timeout_s)) is not None:
                *lines, rest = (rest + part).split(b"\n")
                for line in lines:
                    yield _read_object(msgspec.json.decode(line)["object"])
        except (protocol_exceptions.ProtocolError, msgspec.MsgspecError, KeyError) as exc:
            raise exceptions.PlatformUnavailableError(str(exc)) from exc
        finally:
            await conn.close()

    async def _call(self, method: str, path: str, value: object) -> tuple[int, Any]:
        body = b"" if value is None else msgspec.json.encode(value)
        head = http_client.RequestHead(method, f"{ROOT}/{path}", self._headers())
        try:
            with trio.fail_after(self._cfg.timeout_s):
                status, answer = await self._exchange(head, body)
                decoded = msgspec.json.decode(answer) if answer else {}
        except (protocol_exceptions.ProtocolError, msgspec.MsgspecError) as exc:
            raise exceptions.PlatformUnavailableError(str(exc) or type(exc).__name__) from exc
        except trio.TooSlowError as exc:
            message = f"no answer within {self._cfg.timeout_s} s"
            raise exceptions.PlatformUnavailableError(message) from exc
        if status >= 500:
            # A gateway's error does not tell whether the write behind it took effect.
            raise exceptions.PlatformUnavailableError(f"status {status}")
        if status >= 400 and status not in _NEUTRAL:
            raise exceptions.PlatformRefusedError(status, str(decoded.get("message", "")))
        return status, decoded

    async def _exchange(self, head: http_client.RequestHead, body: bytes) -> tuple[int, bytes]:
        address, conn = self._take_idle() or (None, None)
        if conn is None:
            conn = await self._open()
        done = False
        try:
            await conn.send(head, body)
            answer = await conn.receive_head(self._cfg.timeout_s)
            content = await conn.receive_body(self._cfg.timeout_s, MAX_ANSWER_BYTES)
            done = conn.make_reusable()
            return answer.status, content
        finally:
            if done and len(self._idle) < MAX_IDLE:
                self._idle.append((address or self._cfg.addresses[0], conn))
            else:
                await conn.close()
                if not done:
                    await self._close_idle()

    async def _open(self) -> http_client.ClientConnection:
        if not self._cfg.addresses:
            raise protocol_exceptions.ConnectError("no platform address is configured")
        address = self._rng.choice(self._cfg.addresses)
        stream = await self._network.connect(address, self._cfg.timeout_s)
        return http_client.ClientConnection(stream, address)

    def _take_idle(self) -> tuple[ids.Address, http_client.ClientConnection] | None:
        return self._idle.pop() if self._idle else None

    async def _close_idle(self) -> None:
        # The failed connection's siblings may have gone silent with it.
        idle, self._idle = self._idle, []
        for _, conn in idle:
            await conn.close()

    def _headers(self) -> http_client.Headers:
        found = [(headers.CONTENT_TYPE, b"application/json")]
        if self._cfg.token:
            found.append((headers.AUTHORIZATION, b"Bearer " + self._cfg.token.encode()))
        return found


def _read_object(body: Any) -> PlatformObject:
    metadata = body.get("metadata", {})
    return PlatformObject(
        str(metadata.get("name", "")),
        str(metadata.get("resourceVersion", "")),
        body.get("spec", {}),
    )


def _write_result(status: int, body: Any) -> Written | NotWritten:
    if status in (http.HTTPStatus.OK, http.HTTPStatus.CREATED):
        return Written(_read_object(body))
    return NotWritten()
