"""Measures the overhead of a router: latency added to the first token, processor time per chunk.

Callers, router and upstream run in one thread, so that the cost of waking other cores is not
counted as the router's work. The overhead is the difference between requests through the router
and requests that go directly to the upstream.
"""

import dataclasses
import hashlib
import statistics
import time

import msgspec
import trio

from cicadapier._internal.assembly import router as router_assembly
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import completions
from cicadapier._internal.protocols import headers
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import http_server
from cicadapier._internal.protocols import transport
from cicadapier._internal.services import configuration_service

KEY = "sk-bench"
MODEL = "bench-model"
LOOPBACK = ids.Address("127.0.0.1:0")
TIMEOUT_S = 30.0
SETTLE_S = 1.0  # Time after the configuration is applied until requests are sent.
IDLE_MEASUREMENT_S = 2.0
PROMPT = "a question of ordinary length " * 16


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Size of the measurement.

    Attributes:
        requests: Number of requests that measure the time to the first token, both with and
            without the router.
        streams: Number of concurrent streams that measure the cost of a chunk.
        chunks: Number of chunks in each stream.
        chunk_interval_s: Time between the chunks of a stream.
    """

    requests: int = 300
    streams: int = 16
    chunks: int = 200
    chunk_interval_s: float = 0.025


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Results of the measurement.

    Attributes:
        direct_ms: Median time to the first token without a router.
        routed_ms: Median time to the first token through the router.
        added_ms: Difference of the two medians.
        idle_share: Processor time of an idle router, as a share of a core.
        chunk_us: Processor time that the router uses per relayed chunk.
        chunks: Number of chunks relayed.
    """

    direct_ms: float
    routed_ms: float
    added_ms: float
    idle_share: float
    chunk_us: float
    chunks: int


class Upstream(http_server.Handler):
    """Upstream that sends the first chunk immediately and the others at a fixed interval."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan

    async def handle(self, req: http_server.Request, responder: http_server.Responder) -> None:
        """Answers load reports and cache snapshots, and streams a fixed answer to a completion."""
        request_id = (req.header(headers.REQUEST_ID) or b"").decode()
        if req.path == "/load":
            await responder.send_json({"incarnation": "bench-1"})
            return
        if req.method == "GET":
            await responder.send_json({"incarnation": "bench-1", "sequence": 0, "pieces": []})
            return
        body = msgspec.json.decode(req.body)
        header_fields = [(headers.CONTENT_TYPE, completions.EVENT_STREAM_TYPE)]
        if request_id:
            header_fields.append((headers.REQUEST_ID, request_id.encode()))
        await responder.start(200, header_fields)
        count = int(body["max_tokens"])
        for index in range(count):
            await responder.send_part(_encode_chunk(request_id, index, count))
            if index + 1 < count:
                await trio.sleep(self._plan.chunk_interval_s)
        await responder.send_part(completions.DONE_EVENT)
        await responder.finish()


def _encode_chunk(request_id: str, index: int, count: int) -> bytes:
    finish = "stop" if index + 1 == count else None
    return completions.encode_event(
        {
            "id": request_id,
            "object": "text_completion",
            "created": 0,
            "model": MODEL,
            "choices": [{"index": 0, "text": f"word{index} ", "finish_reason": finish}],
            "token_offset": index,
            "token_count": 1,
        }
    )


async def start_router(nursery: trio.Nursery, upstream: ids.Address) -> router_assembly.Router:
    """Starts a router with one upstream and returns it."""
    listen = settings.Listen(LOOPBACK, LOOPBACK, LOOPBACK)
    cfg = settings.Settings(ids.VmId("bench"), ids.FailureDomainId("here"), listen, drain_s=0.0)
    router = router_assembly.assemble(cfg, router_assembly.production_dependencies(cfg))
    await nursery.start(router.kernel.run)
    router.configuration.apply_if_newer(
        configuration_service.Document(ids.ConfigNumber(1), _make_declaration(upstream), ())
    )
    await trio.sleep(SETTLE_S)
    return router


def _make_declaration(upstream: ids.Address) -> dict[str, object]:
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    limits = {"requests_per_s": 1e6, "tokens_per_s": 1e9, "streams": 10_000}
    return {
        "accounts": {"bench": {"key_hashes": [digest], "limits": limits}},
        "pools": {
            "bench": {
                "kind": "model",
                "models": {MODEL: {}},
                "upstreams": {
                    "bench-1": {
                        "address": upstream,
                        "failure_domain": "here",
                        "max_in_flight": 1000,
                    }
                },
            }
        },
    }


def run(plan: Plan) -> Result:
    """Runs the measurement.

    It streams chunks twice, for `plan.chunks * plan.chunk_interval_s` seconds each time, and takes
    a few more seconds for the rest.
    """
    return trio.run(_run, plan)


async def _run(plan: Plan) -> Result:
    network = transport.TcpNetwork()
    async with trio.open_nursery() as nursery:
        listener = http_server.Listener(network.serve, Upstream(plan), settings.CallerLimits())
        upstream = await nursery.start(listener.run, LOOPBACK)
        direct_us = await _measure_chunk_us(network, upstream, plan)
        router = await start_router(nursery, upstream)
        router_address = router.callers.address
        direct_ms = await _measure_first_token_ms(network, upstream, plan.requests)
        routed_ms = await _measure_first_token_ms(network, router_address, plan.requests)
        idle_share = await _measure_idle_share()
        # The router's background work continues while the streams run and is not a cost of a chunk.
        idle_us = idle_share * plan.chunk_interval_s / plan.streams * 1e6
        chunk_us = await _measure_chunk_us(network, router_address, plan) - direct_us - idle_us
        nursery.cancel_scope.cancel()
    chunks = plan.streams * plan.chunks
    return Result(direct_ms, routed_ms, routed_ms - direct_ms, idle_share, chunk_us, chunks)


async def _measure_first_token_ms(
    network: transport.Network, address: ids.Address, requests: int
) -> float:
    stream = await network.connect(address, TIMEOUT_S)
    conn = http_client.ClientConnection(stream, address)
    samples = []
    for _ in range(requests):
        start = time.perf_counter()
        await send_request(conn, 1)
        await conn.receive_head(TIMEOUT_S)
        await conn.receive_data(TIMEOUT_S)
        samples.append(time.perf_counter() - start)
        while await conn.receive_data(TIMEOUT_S) is not None:
            pass
        conn.make_reusable()
    await conn.close()
    return statistics.median(samples) * 1000


async def send_request(
    conn: http_client.ClientConnection, tokens: int, prompt: str = PROMPT
) -> None:
    """Sends a completion request for a stream of tokens."""
    body = {"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": True}
    header_fields = [
        (headers.AUTHORIZATION, f"Bearer {KEY}".encode()),
        (headers.CONTENT_TYPE, b"application/json"),
    ]
    head = http_client.RequestHead("POST", completions.Endpoint.COMPLETIONS.value, header_fields)
    await conn.send(head, msgspec.json.encode(body))


async def _measure_idle_share() -> float:
    before = time.thread_time()
    await trio.sleep(IDLE_MEASUREMENT_S)
    return (time.thread_time() - before) / IDLE_MEASUREMENT_S


async def _measure_chunk_us(network: transport.Network, address: ids.Address, plan: Plan) -> float:
    """Returns the processor time of all parties together per chunk, in microseconds."""

    async def read_stream() -> None:
        stream = await network.connect(address, TIMEOUT_S)
        conn = http_client.ClientConnection(stream, address)
        await send_request(conn, plan.chunks)
        await conn.receive_head(TIMEOUT_S)
        while await conn.receive_data(TIMEOUT_S) is not None:
            pass
        await conn.close()

    before = time.thread_time()
    async with trio.open_nursery() as nursery:
        for _ in range(plan.streams):
            nursery.start_soon(read_stream)
            await trio.sleep(plan.chunk_interval_s / plan.streams)
    return (time.thread_time() - before) / (plan.streams * plan.chunks) * 1e6
