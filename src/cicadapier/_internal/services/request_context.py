"""What every request handler shares: the services it talks to and how it ends."""

import collections.abc
import dataclasses

import msgspec
import trio

from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import poison
from cicadapier._internal.decisions import retries
from cicadapier._internal.decisions import traffic
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.kernel import service
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import headers
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import http_server
from cicadapier._internal.services import claims_service
from cicadapier._internal.services import connections_service
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import names
from cicadapier._internal.services import peers_service
from cicadapier._internal.services import telemetry_service
from cicadapier._internal.services import traffic_messages
from cicadapier._internal.services import traffic_service
from cicadapier._internal.services import upstreams_service


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """One caller's request.

    Attributes:
        request: Its id.
        account: Client account.
        spec: Declaration of the account.
        cfg: Configuration in force as it arrived.
        entered_at: Time of trio's clock.
        attributes: Attributes of its measurements.
    """

    request: ids.RequestId
    account: ids.AccountId
    spec: configuration.Account
    cfg: configuration.NumberedConfiguration
    entered_at: float
    attributes: dict[str, str]


class Services:
    """The services that request handlers use."""

    def __init__(self, kernel: service.Kernel, cfg: settings.Settings) -> None:
        self.settings = cfg
        self.budget = retries.RetryBudget(trio.current_time())
        self.connections: connections_service.ConnectionsService = kernel.find(names.CONNECTIONS)
        self.traffic: traffic_service.TrafficService = kernel.find(names.TRAFFIC)
        self.telemetry: telemetry_service.TelemetryService = kernel.find(names.TELEMETRY)
        self.claims: claims_service.ClaimsService = kernel.find(names.CLAIMS)
        self.upstreams: upstreams_service.UpstreamsService = kernel.find(names.UPSTREAMS)
        self.peers: peers_service.PeersService = kernel.find(names.PEERS)

    async def enter(self, entry: traffic.Entry) -> traffic.Placed:
        """Admits and places a request.

        Raises:
            RefusedError: It is refused; nothing was sent.
        """
        self.budget.request_seen()
        reply: mailbox.Reply[traffic.Decision] = mailbox.Reply()
        self.traffic.mailbox.send(traffic_messages.Enter(entry, reply))
        return _placed(await reply.get())

    async def again(self, request: ids.RequestId) -> traffic.Placed | outcomes.Refusal:
        """Places a request anew; the refusal is for the caller to judge."""
        reply: mailbox.Reply[traffic.Decision] = mailbox.Reply()
        self.traffic.mailbox.send(traffic_messages.Again(request, reply))
        decision = await reply.get()
        return decision.refusal if isinstance(decision, traffic.Refused) else decision

    async def attempt_ended(self, request: ids.RequestId, outcome: outcomes.AttemptOutcome) -> None:
        """Reports an attempt; new evidence of a crash reaches the peers before this returns."""
        reply: mailbox.Reply[poison.Crash | None] = mailbox.Reply()
        self.traffic.mailbox.send(traffic_messages.AttemptEnded(request, outcome, reply))
        crash = await reply.get()
        if crash:
            # The caller's repeat may reach another router as soon as it has our answer.
            await self.peers.announce_crash(crash)

    def first_token(self, request: ids.RequestId, first: members.FirstToken) -> None:
        """Reports the first token of an answer."""
        self.traffic.mailbox.offer(traffic_messages.FirstToken(request, first))

    def leave(self, request: ids.RequestId, ran: bool) -> None:
        """Reports the end of a request."""
        self.traffic.mailbox.offer(traffic_messages.Leave(request, ran))


def _placed(decision: traffic.Decision) -> traffic.Placed:
    if isinstance(decision, traffic.Refused):
        raise exceptions.RefusedError(decision.refusal)
    return decision


def refusal_body(refusal: outcomes.Refusal) -> dict[str, object]:
    """Returns the JSON value of a refusal."""
    return {
        "error": {
            "message": refusal.message,
            "type": refusal.type,
            "code": refusal.code.value,
            "outcome": refusal.effect.value,
        }
    }


async def send_refusal(
    responder: http_server.Responder, request: ids.RequestId, refusal: outcomes.Refusal
) -> None:
    """Answers with a refusal."""
    extra = [(headers.REQUEST_ID, request.encode())]
    if refusal.retry_after_s is not None:
        seconds = max(1, min(3600, -int(-refusal.retry_after_s // 1)))
        extra.append((headers.RETRY_AFTER, str(seconds).encode()))
    await responder.send_json(refusal_body(refusal), refusal.status, extra)


def refusal_event(refusal: outcomes.Refusal) -> bytes:
    """Returns a refusal as a server-sent event, for an answer that has begun."""
    return b"data: " + msgspec.json.encode(refusal_body(refusal)) + b"\n\n"


def end_to_end(
    raw: collections.abc.Iterable[tuple[bytes, bytes]], drop: frozenset[bytes] = frozenset()
) -> http_client.Headers:
    """Returns the headers that are not for one connection alone."""
    found = list(raw)
    named: set[bytes] = set()
    for key, value in found:
        if key == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    return [
        (key, value)
        for key, value in found
        if key not in headers.HOP_BY_HOP and key not in named and key not in drop
    ]
