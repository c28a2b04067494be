"""Example requests that demonstrate the routers."""

import dataclasses
import http

import msgspec
import trio

from cicadapier._internal.protocols import completions
from cicadapier._internal.protocols import headers
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import transport
from cicadapier._internal.standins import world

TIMEOUT_S = 30.0
_STYLE_SHEET = "Set verse flush left; keep the poet's line breaks; no widows. " * 600
_MANUSCRIPT = "The tide recites its one long line and breaks it on the stones. " * 400


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Result of one request, as the strings of a table row.

    Attributes:
        request: Description of the request.
        upstream: Upstream that answered.
        reason: Reason for the choice of the upstream.
        cached: Number of cached prompt tokens.
        prompt: Number of prompt tokens.
        first_token: Time to the first token, or to the end of a plain service's response.
        outcome: `complete`, or the HTTP status.
    """

    request: str
    upstream: str
    reason: str
    cached: str
    prompt: str
    first_token: str
    outcome: str


async def send_all(world_: world.World, network: transport.Network) -> list[Result]:
    """Sends prompts with shared prefixes through the routers in turn, then one order."""
    credentials = world.account_credentials(world_.plan)[0]
    deployment = world_.plan.deployment
    routers = list(world_.routers.values())
    results = []
    prompts = [
        ("style sheet + manuscript + question 1", _MANUSCRIPT + "Is the third break sound?"),
        ("same prefix, question 2", _MANUSCRIPT + "Is the last line too long?"),
        ("same style sheet, other text", "A short new poem." + " Is it finished?"),
        ("same prefix, question 3", _MANUSCRIPT + "Which stanza should open?"),
    ]
    for index, (label, suffix) in enumerate(prompts):
        address = routers[index % len(routers)].router.callers.address
        stream = await network.connect(address, TIMEOUT_S)
        conn = http_client.ClientConnection(stream, address)
        body = {
            "model": deployment.model,
            "prompt": _STYLE_SHEET + suffix,
            "stream": True,
            "max_tokens": 16,
        }
        results.append(await _send_completion(conn, credentials.key, label, body))
    address = routers[0].router.callers.address
    conn = http_client.ClientConnection(await network.connect(address, TIMEOUT_S), address)
    target = f"/services/{deployment.service_pool}{deployment.non_repeatable_path}"
    results.append(await _send_order(conn, credentials.key, target))
    return results


def _make_head(
    method: str, target: str, key: str, extra: http_client.Headers
) -> http_client.RequestHead:
    auth = (headers.AUTHORIZATION, f"Bearer {key}".encode())
    return http_client.RequestHead(
        method, target, [auth, (headers.CONTENT_TYPE, b"application/json"), *extra]
    )


def _header_text(head: http_client.ResponseHead, name: bytes) -> str:
    return (head.header(name) or b"-").decode("latin-1")


async def _send_completion(
    conn: http_client.ClientConnection, key: str, label: str, body: dict[str, object]
) -> Result:
    started_at = trio.current_time()
    head = _make_head("POST", completions.Endpoint.COMPLETIONS.value, key, [])
    await conn.send(head, msgspec.json.encode(body))
    response = await conn.receive_head(TIMEOUT_S)
    first_token_s = trio.current_time() - started_at
    splitter = completions.EventSplitter()
    events: list[bytes] = []
    while (part := await conn.receive_data(TIMEOUT_S)) is not None:
        events.extend(splitter.feed(part))
    await conn.close()
    complete = bool(events) and events[-1] == completions.DONE_EVENT
    usage = completions.read_chunk(events[0]).usage if complete else None
    details = usage.prompt_tokens_details if usage else None
    return Result(
        label,
        _header_text(response, b"x-cicadapier-upstream"),
        _header_text(response, b"x-cicadapier-reason"),
        str(details.cached_tokens if details else "-"),
        str(usage.prompt_tokens if usage else "-"),
        f"{first_token_s * 1000:.0f} ms",
        "complete" if complete else f"status {response.status}",
    )


async def _send_order(conn: http_client.ClientConnection, key: str, target: str) -> Result:
    started_at = trio.current_time()
    extra = [(headers.IDEMPOTENCY_KEY, b"tour-order-1")]
    await conn.send(
        _make_head("POST", target, key, extra), b'{"title": "Tidal Lines", "copies": 2}'
    )
    response = await conn.receive_head(TIMEOUT_S)
    await conn.receive_body(TIMEOUT_S)
    took_s = trio.current_time() - started_at
    await conn.close()
    succeeded = response.status == http.HTTPStatus.OK
    return Result(
        "print order (once only)",
        _header_text(response, b"x-cicadapier-upstream"),
        "fewest requests in flight",
        "-",
        "-",
        f"{took_s * 1000:.0f} ms",
        "complete" if succeeded else f"status {response.status}",
    )
