"""Stand-in for the platform: an object API in the format of the Kubernetes API."""

import collections
import http
from typing import Any
import urllib.parse

import msgspec
import trio

from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import http_server
from cicadapier._internal.protocols import transport
from cicadapier._internal.standins import faults
from cicadapier._internal.standins import object_store

ROOT = "/apis/cicadapier.io/v1/"
VM_PLURAL = "vms"
_CALLER_LIMITS = settings.CallerLimits(body_bytes=4_194_304, idle_timeout_s=3600.0)
_OUTAGE_POLL_S = 0.05
_WATCH_POLL_S = 0.05
_MAX_WATCH_S = 300.0
_LOST_ANSWER_DELAY_S = 60.0  # Until the connection of a lost answer is closed.
VM_LIST_LAG_S = 1.0  # Lists of VMs show the state of this time ago.


class PlatformServer(http_server.Handler):
    """HTTP server of the stand-in platform.

    Attributes:
        store: Objects of the platform.
        calls: Number of processed calls by method; a watch counts as one.
    """

    def __init__(self, network: transport.Network, active_faults: faults.ActiveFaults) -> None:
        self.store = object_store.ObjectStore()
        self.calls: collections.Counter[str] = collections.Counter()
        self._network = network
        self._active_faults = active_faults

    async def run(
        self,
        address: ids.Address,
        task_status: "trio.TaskStatus[ids.Address]" = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until it is cancelled; reports the address it listens on."""
        await http_server.Listener(self._network.serve, self, _CALLER_LIMITS).run(
            address, task_status
        )

    async def handle(self, req: http_server.Request, responder: http_server.Responder) -> None:
        """See `http_server.Handler.handle`."""
        while self._active_faults.find(faults.FaultKind.PLATFORM_OUTAGE):
            await trio.sleep(_OUTAGE_POLL_S)
        delay_s = self._active_faults.amount(faults.FaultKind.PLATFORM_SLOW, faults.ANY, 0.0)
        await trio.sleep(delay_s)
        self.calls[req.method] += 1
        if not req.path.startswith(ROOT):
            await _send_error(responder, http.HTTPStatus.NOT_FOUND, "NotFound", "no such path")
            return
        plural, _, name = req.path[len(ROOT) :].partition("/")
        if req.method == "GET":
            await self._read(req, plural, name, responder)
        else:
            await self._write(req, plural, name, responder)

    async def _read(
        self,
        req: http_server.Request,
        plural: str,
        name: str,
        responder: http_server.Responder,
    ) -> None:
        query = dict(urllib.parse.parse_qsl(req.query))
        if query.get("watch") in ("1", "true"):
            await self._watch(plural, query, responder)
        elif name:
            await _send_result(responder, self.store.get(plural, name))
        else:
            before = None
            if plural == VM_PLURAL:
                before = trio.current_time() - VM_LIST_LAG_S
            items = self.store.list_all(plural, before)
            version = str(self.store.version)
            body = {"kind": "List", "metadata": {"resourceVersion": version}, "items": items}
            await responder.send_json(body)

    async def _watch(
        self, plural: str, query: dict[str, str], responder: http_server.Responder
    ) -> None:
        version = int(query.get("resourceVersion", "0"))
        if isinstance(self.store.changes_after(plural, version), object_store.Expired):
            await _send_error(
                responder, http.HTTPStatus.GONE, "Expired", "too old resource version"
            )
            return
        duration_s = min(float(query.get("timeoutSeconds", "60")), _MAX_WATCH_S)
        deadline = trio.current_time() + duration_s
        await responder.start(200, [(b"content-type", b"application/json")])
        while trio.current_time() < deadline:
            changes = self.store.changes_after(plural, version)
            if isinstance(changes, object_store.Expired):
                break
            outage = self._active_faults.find(faults.FaultKind.PLATFORM_OUTAGE)
            for change in [] if outage else changes:
                version = change.version
                line = msgspec.json.encode({"type": change.type.value, "object": change.object})
                await responder.send_part(line + b"\n")
            await trio.sleep(_WATCH_POLL_S)
        await responder.finish()

    async def _write(
        self,
        req: http_server.Request,
        plural: str,
        name: str,
        responder: http_server.Responder,
    ) -> None:
        try:
            value: Any = msgspec.json.decode(req.body) if req.body else {}
        except msgspec.MsgspecError as exc:
            await _send_error(responder, http.HTTPStatus.BAD_REQUEST, "BadRequest", str(exc))
            return
        if len(req.body) > object_store.MAX_VALUE_BYTES:
            status = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            await _send_error(responder, status, "RequestEntityTooLarge", "over one megabyte")
            return
        result = self._apply(req.method, plural, name, value)
        if result is None:
            status = http.HTTPStatus.METHOD_NOT_ALLOWED
            await _send_error(responder, status, "MethodNotAllowed", req.method)
            return
        if self._active_faults.find(faults.FaultKind.PLATFORM_ANSWER_LOST):
            await trio.sleep(_LOST_ANSWER_DELAY_S)
            raise exceptions.ConnectionLostError("answer lost")
        await _send_result(responder, result, created=req.method == "POST")

    def _apply(
        self, method: str, plural: str, name: str, value: Any
    ) -> object_store.Stored | object_store.Conflict | object_store.Missing | None:
        now = trio.current_time()
        if method == "POST" and not name:
            return self.store.create(plural, value, now)
        if method == "PUT" and name:
            return self.store.replace(plural, name, value, now)
        if method == "DELETE" and name:
            expected_version = value.get("preconditions", {}).get("resourceVersion")
            return self.store.delete(plural, name, expected_version, now)
        return None


async def _send_result(
    responder: http_server.Responder,
    result: object_store.Stored | object_store.Conflict | object_store.Missing,
    created: bool = False,
) -> None:
    if isinstance(result, object_store.Stored):
        status = http.HTTPStatus.CREATED if created else http.HTTPStatus.OK
        await responder.send_json(result.object, status)
    elif isinstance(result, object_store.Conflict):
        reason = "AlreadyExists" if created else "Conflict"
        await _send_error(responder, http.HTTPStatus.CONFLICT, reason, result.message)
    else:
        await _send_error(responder, http.HTTPStatus.NOT_FOUND, "NotFound", "no such object")


async def _send_error(
    responder: http_server.Responder, status: http.HTTPStatus, reason: str, message: str
) -> None:
    body = {
        "kind": "Status",
        "status": "Failure",
        "reason": reason,
        "message": message,
        "code": int(status),
    }
    await responder.send_json(body, status)
