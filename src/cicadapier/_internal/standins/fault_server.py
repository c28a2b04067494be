"""HTTP server through which operators of the demo inject faults and read the ledger."""

import http
import math
from typing import TYPE_CHECKING

import msgspec
import trio

from cicadapier._internal.models import ids
from cicadapier._internal.models import schema
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import http_server
from cicadapier._internal.protocols import transport
from cicadapier._internal.standins import faults

if TYPE_CHECKING:
    from cicadapier._internal.standins import world

PATH = "/faults"
_KIND_ALIASES = {"engine-crash": "crash", "silent-connections": "silent", "engine-pause": "pause"}


class FaultBody(msgspec.Struct):
    """Body of a request that injects a fault.

    Attributes:
        kind: Value or alias of a `FaultKind`; underscores are accepted for hyphens.
        target: Affected upstream, failure domain or text, depending on the kind; `*` for all.
        seconds: Duration.
        amount: Strength in the unit of the kind; None for the default of the kind.
    """

    kind: str
    target: str = faults.ANY
    seconds: float = math.inf
    amount: float | None = None


class FaultServer(http_server.Handler):
    """Lists, injects and clears faults, and returns the entries of the ledger."""

    def __init__(self, standins: "world.World", network: transport.Network) -> None:
        self._world = standins
        self._network = network

    async def run(
        self,
        address: ids.Address,
        task_status: "trio.TaskStatus[ids.Address]" = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until it is cancelled; reports the address it listens on."""
        listener = http_server.Listener(self._network.serve, self, settings.CallerLimits())
        await listener.run(address, task_status)

    async def handle(self, req: http_server.Request, responder: http_server.Responder) -> None:
        """See `http_server.Handler.handle`."""
        path = req.path.rstrip("/")
        if path == f"{PATH}/ledger" and req.method == "GET":
            entries = [schema.to_plain(entry) for entry in self._world.ledger.entries]
            await responder.send_json({"entries": entries})
        elif path == PATH and req.method == "GET":
            await responder.send_json(self._describe())
        elif path == PATH and req.method == "POST":
            await self._inject(req, responder)
        elif path == PATH and req.method == "DELETE":
            self._world.active_faults.clear()
            await responder.send_json({"cleared": True})
        else:
            await responder.send_json({"error": {"message": "no such path"}}, 404)

    def _describe(self) -> dict[str, object]:
        now = trio.current_time()
        active = [
            {
                "kind": fault.kind.value,
                "target": fault.target,
                "amount": fault.amount,
                "seconds_left": None if math.isinf(fault.until) else fault.until - now,
            }
            for fault in self._world.active_faults.active()
        ]
        kinds = {kind.value: text for kind, text in faults.KIND_HELP.items()}
        return {"active": active, "kinds": kinds, "upstreams": sorted(self._world.upstreams)}

    async def _inject(self, req: http_server.Request, responder: http_server.Responder) -> None:
        try:
            body = msgspec.json.decode(req.body, type=FaultBody)
            name = body.kind.replace("_", "-")
            kind = faults.FaultKind(_KIND_ALIASES.get(name, name))
        except (msgspec.MsgspecError, ValueError) as exc:
            message = f"{exc}; kinds: {', '.join(k.value for k in faults.FaultKind)}"
            status = http.HTTPStatus.BAD_REQUEST
            await responder.send_json({"error": {"message": message}}, status)
            return
        self._world.inject(kind, body.target or faults.ANY, body.seconds, body.amount)
        await responder.send_json({"kind": kind.value, "target": body.target})
