"""HTTP server through which operators of the demo inject faults and see what upstreams ran."""

import abc
import collections.abc
import http
import math

import msgspec
import trio

from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import http_server
from cicadapier._internal.protocols import transport
from cicadapier._internal.standins import faults

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


class FaultTarget(abc.ABC):
    """Stand-ins that faults can be injected into.

    Attributes:
        active_faults: Faults in force.
    """

    active_faults: faults.ActiveFaults

    @property
    def kinds(self) -> collections.abc.Collection[faults.FaultKind]:
        """Kinds of faults that can be injected."""
        return list(faults.FaultKind)

    @property
    @abc.abstractmethod
    def upstream_names(self) -> list[str]:
        """Names of the upstreams in alphabetical order."""

    @abc.abstractmethod
    def inject(
        self, kind: faults.FaultKind, target: str, seconds: float, amount: float | None
    ) -> None:
        """Injects a fault; see `ActiveFaults.add` for the arguments."""

    @abc.abstractmethod
    def list_runs(self) -> list[object]:
        """Returns what the upstreams ran, as plain data."""


class FaultServer(http_server.Handler):
    """Lists, injects and clears faults, and returns what the upstreams ran."""

    def __init__(self, standins: FaultTarget, network: transport.Network) -> None:
        self._standins = standins
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
            await responder.send_json({"entries": self._standins.list_runs()})
        elif path == PATH and req.method == "GET":
            await responder.send_json(self._describe())
        elif path == PATH and req.method == "POST":
            await self._inject(req, responder)
        elif path == PATH and req.method == "DELETE":
            self._standins.active_faults.clear()
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
            for fault in self._standins.active_faults.active()
        ]
        kinds = {kind.value: faults.KIND_HELP[kind] for kind in self._standins.kinds}
        return {"active": active, "kinds": kinds, "upstreams": self._standins.upstream_names}

    async def _inject(self, req: http_server.Request, responder: http_server.Responder) -> None:
        try:
            body = msgspec.json.decode(req.body, type=FaultBody)
            name = body.kind.replace("_", "-")
            kind = self._find_kind(_KIND_ALIASES.get(name, name))
        except (msgspec.MsgspecError, ValueError) as exc:
            message = f"{exc}; kinds: {', '.join(kind.value for kind in self._standins.kinds)}"
            status = http.HTTPStatus.BAD_REQUEST
            await responder.send_json({"error": {"message": message}}, status)
            return
        self._standins.inject(kind, body.target or faults.ANY, body.seconds, body.amount)
        await responder.send_json({"kind": kind.value, "target": body.target})

    def _find_kind(self, name: str) -> faults.FaultKind:
        kind = faults.FaultKind(name)
        if kind not in self._standins.kinds:
            raise ValueError(f"{name!r} cannot be injected here")
        return kind
