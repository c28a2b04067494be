"""HTTP server of a stand-in engine, which runs the engine model in real time."""

import collections.abc
import dataclasses
import hashlib
import http
import random
import re
import urllib.parse

import msgspec
import trio

from cicadapier._internal.decisions import prefix
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import completions
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import headers
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import http_server
from cicadapier._internal.protocols import transport
from cicadapier._internal.standins import engine_model
from cicadapier._internal.standins import engine_text
from cicadapier._internal.standins import faults
from cicadapier._internal.standins import ledger
from cicadapier._internal.standins import upstream_server

BYTES_PER_TOKEN = 4
MAX_IN_FLIGHT = 256
DRIBBLE_INTERVAL_S = 0.3  # between the bytes of a stream while the dribble fault is in force
EVENT_POLL_S = 0.1
MAX_JSON_DEPTH = 64
KEEP_TIMEOUT_S = 1.0
_HEX_SALT = re.compile(r"[0-9a-f]{32}")


@dataclasses.dataclass(slots=True)
class _Generation:
    """State of one answer that is being generated.

    Attributes:
        call: Fields that identify the request in the ledger.
        req: Parsed request.
        job: Request as submitted to the engine model.
        resume_offset: Number of answer tokens that the caller already has.
        answer_tokens: Number of tokens in the whole answer.
        first_token_ready: Set when the prefill has ended.
        result: Outcome of the prefill, None until it has ended.
    """

    call: ledger.Call
    req: completions.ModelRequest
    job: engine_model.Job
    resume_offset: int
    answer_tokens: int
    first_token_ready: trio.Event
    result: engine_model.FirstToken | None = None


class LoadOrder(msgspec.Struct):
    """Body of an order to load weights."""

    model: str
    version: str
    fencing: int


class ExportOrder(msgspec.Struct):
    """Body of an order to export pieces to the keep."""

    keep: str
    pieces: list[str]


class WeightStore:
    """Weight store with a limited bandwidth, from which concurrent loads are slower.

    Attributes:
        active: Number of loads in progress.
        peak_active: Largest number of loads that were in progress at the same time.
    """

    def __init__(self, loads_at_once: int, load_s: float = 0.5) -> None:
        self._loads_at_once = loads_at_once
        self._load_s = load_s
        self.active = 0
        self.peak_active = 0

    async def load(self) -> None:
        """Waits for the duration of one load of weights."""
        self.active += 1
        self.peak_active = max(self.peak_active, self.active)
        try:
            await trio.sleep(self._load_s * max(1.0, self.active / self._loads_at_once) ** 2)
        finally:
            self.active -= 1


class EngineServer(upstream_server.UpstreamServer):
    """A stand-in engine.

    Attributes:
        versions: Version of the loaded weights of each model.
        checks_fencing: Whether it refuses load orders with an outdated fencing token.
        highest_fencing: Highest fencing token of the load orders so far.
        model: Engine model that computes prefill, decode and the cache.
    """

    def __init__(
        self,
        upstream: ids.UpstreamId,
        network: transport.Network,
        active_faults: faults.ActiveFaults,
        call_ledger: ledger.Ledger,
        spec: engine_model.EngineSpec,
        versions: collections.abc.Mapping[str, str],
        weight_store: WeightStore,
        checks_fencing: bool = True,
        seed: int = 0,
    ) -> None:
        super().__init__(upstream, network, active_faults, call_ledger)
        self._spec = spec
        self._restart_versions = dict(versions)
        self.versions = dict(versions)
        self._weight_store = weight_store
        self.checks_fencing = checks_fencing
        self.highest_fencing = 0
        self._rng = random.Random(f"{seed}/{upstream}")
        self._state_changed = trio.Event()
        self.model = engine_model.EngineModel(spec, self.incarnation, trio.current_time())
        self._generations: dict[ids.RequestId, _Generation] = {}

    async def run_clock(self) -> None:
        """Advances the engine model as time passes. It runs concurrently with `run`."""
        while True:
            await self.wait_while_paused()
            self._advance()
            self._state_changed = trio.Event()
            wait_s = min(0.5, self.model.next_event_at() - trio.current_time())
            with trio.move_on_after(max(0.0, wait_s)):
                await self._state_changed.wait()
            await trio.lowlevel.checkpoint()

    def on_crash(self) -> None:
        """See `UpstreamServer.on_crash`."""
        self.versions = dict(self._restart_versions)
        self.model.crash(self.incarnation, trio.current_time())
        self._generations.clear()
        self._state_changed.set()

    async def handle(self, req: http_server.Request, responder: http_server.Responder) -> None:
        """See `http_server.Handler.handle`."""
        await self.wait_while_paused()
        if req.path in (completions.Endpoint.COMPLETIONS.value, completions.Endpoint.CHAT.value):
            await self._generate(req, responder)
        elif req.path == "/load":
            await responder.send_json(self._make_load_report())
        elif req.path == "/cache/snapshot":
            await responder.send_json(self._make_cache_snapshot())
        elif req.path == "/cache/events":
            await self._stream_events(req, responder)
        elif req.path == "/orders/load":
            await self._load_weights(req, responder)
        elif req.path == "/kv/export":
            await self._export_pieces(req, responder)
        else:
            await responder.send_json({"error": {"message": "no such path"}}, 404)

    def _advance(self) -> None:
        now = trio.current_time()
        self.model.speed = 1.0 / self.active_faults.amount(
            faults.FaultKind.SLOW, self.upstream, 1.0
        )
        for event in self.model.advance(now):
            generation = self._generations.get(event.request)
            if generation and isinstance(event, engine_model.FirstToken):
                generation.result = event
                self.record(
                    generation.call,
                    ledger.LedgerEvent.PREFILLED,
                    pieces=[piece.hex() for piece in generation.job.pieces],
                    cached_pieces=event.cached_pieces,
                    imported_pieces=event.imported_pieces,
                )
                generation.first_token_ready.set()

    async def _generate(self, req: http_server.Request, responder: http_server.Responder) -> None:
        call = upstream_server.make_call(req)
        try:
            endpoint = completions.Endpoint(req.path)
            parsed = completions.parse_request(endpoint, req.body, MAX_JSON_DEPTH)
        except completions.InvalidBodyError as exc:
            extra = upstream_server.not_run_headers(call)
            await responder.send_json({"error": {"message": str(exc)}}, 400, extra)
            return
        if parsed.model not in self.versions:
            extra = upstream_server.not_run_headers(call)
            await responder.send_json({"error": {"message": "no such model"}}, 404, extra)
            return
        if self.model.in_flight() >= MAX_IN_FLIGHT:
            await self.refuse_before_running(call, responder, "queue is full")
            return
        generation = await self._begin_generation(call, parsed)
        if self.active_faults.is_poison_prompt(parsed.prompt.decode("utf-8", "replace")):
            self.crash()
        try:
            await self._send_answer(generation, responder)
        finally:
            self._end_generation(generation)

    async def _begin_generation(
        self, call: ledger.Call, req: completions.ModelRequest
    ) -> _Generation:
        salt = str(req.body.get("cache_salt", ""))
        scope_text = f"{req.model}/{self.versions[req.model]}/{salt}".encode()
        scope = ids.PieceId(hashlib.blake2b(scope_text, digest_size=16).digest())
        if _HEX_SALT.fullmatch(salt):
            # A salt from a router is its root id, which already separates accounts and weights.
            # Used as the scope, it yields the same piece ids as the router computes.
            scope = ids.PieceId(bytes.fromhex(salt))
        prompt = prefix.split_prompt(scope, req.prompt, self._spec.piece_tokens, BYTES_PER_TOKEN)
        answer_tokens = req.max_tokens
        if answer_tokens is None:
            answer_tokens = engine_text.DEFAULT_ANSWER_TOKENS
        resume_offset = int(req.body.get("resume_from", 0))
        import_pieces = await self._count_importable(req, prompt.pieces)
        job = engine_model.Job(
            ids.RequestId(call.request_id),
            prompt.pieces,
            prompt.total_tokens + resume_offset,
            max(1, answer_tokens - resume_offset),
            int(req.body.get("priority", 0)),
            import_pieces,
        )
        generation = _Generation(call, req, job, resume_offset, answer_tokens, trio.Event())
        self._generations[job.request] = generation
        self.record(call, ledger.LedgerEvent.STARTED, model=req.model, resumed_from=resume_offset)
        self._advance()
        self.model.submit(job, trio.current_time())
        self._state_changed.set()
        return generation

    def _end_generation(self, generation: _Generation) -> None:
        request = generation.job.request
        if self._generations.get(request) is not generation:
            return
        del self._generations[request]
        self._advance()
        self.model.cancel(request, trio.current_time())
        self.record(generation.call, ledger.LedgerEvent.CANCELLED)
        self._state_changed.set()

    async def _send_answer(self, generation: _Generation, responder: http_server.Responder) -> None:
        await generation.first_token_ready.wait()
        await self.delay_response()
        if generation.req.stream:
            await self._send_stream(generation, responder)
        else:
            await self._send_whole(generation, responder)

    async def _send_stream(self, generation: _Generation, responder: http_server.Responder) -> None:
        head = [
            (headers.CONTENT_TYPE, completions.EVENT_STREAM_TYPE),
            *self._identity_headers(generation),
        ]
        await responder.start(200, head)
        async for start, end in self._token_ranges(generation):
            while self.active_faults.find(faults.FaultKind.DRIBBLE, self.upstream):
                await responder.send_part(b":")
                await trio.sleep(DRIBBLE_INTERVAL_S)
            await responder.send_part(self._encode_chunk(generation, start, end))
        self._record_finished(generation)
        await responder.send_part(completions.DONE_EVENT)
        await responder.finish()

    async def _send_whole(self, generation: _Generation, responder: http_server.Responder) -> None:
        async for _ in self._token_ranges(generation):
            pass
        self._record_finished(generation)
        text = self._answer_text(generation, generation.resume_offset, generation.answer_tokens)
        body = self._make_body(generation, text, "stop", whole=True)
        body["usage"] = self._make_usage(generation, generation.answer_tokens)
        await responder.send_json(body, 200, self._identity_headers(generation))

    async def _token_ranges(
        self, generation: _Generation
    ) -> collections.abc.AsyncIterator[tuple[int, int]]:
        """Yields the ranges of answer tokens as they are generated."""
        sent = generation.resume_offset
        while sent < generation.answer_tokens:
            await self.wait_while_paused()
            self._advance()
            generated = self.model.generated_tokens(generation.job.request)
            # The model removes a request with its last token and then returns 0.
            available = generation.resume_offset + (generated or generation.job.output_tokens)
            if available > sent:
                yield sent, available
                sent = available
            else:
                await trio.sleep(self.model.next_token_in_s(generation.job.request))

    def _record_finished(self, generation: _Generation) -> None:
        result = generation.result
        text = self._answer_text(generation, 0, generation.answer_tokens)
        self.record(
            generation.call,
            ledger.LedgerEvent.FINISHED,
            model=generation.req.model,
            text_sha256=hashlib.sha256(text.encode()).hexdigest(),
            prompt_tokens=generation.job.total_tokens,
            cached_tokens=(result.cached_pieces * self._spec.piece_tokens) if result else 0,
            computed_tokens=result.computed_tokens if result else 0,
        )

    def _identity_headers(self, generation: _Generation) -> http_client.Headers:
        version = self.versions[generation.req.model].encode()
        extra = upstream_server.identity_headers(self, generation.call)
        return [*extra, (headers.WEIGHTS_VERSION, version)]

    def _answer_text(self, generation: _Generation, start: int, end: int) -> str:
        prompt = generation.req.prompt
        if self.has_crossed_answers():
            prompt = b"another request's prompt"
        prompt_digest = engine_text.hash_prompt(prompt)
        return "".join(engine_text.make_token(prompt_digest, i) for i in range(start, end))

    def _encode_chunk(self, generation: _Generation, start: int, end: int) -> bytes:
        is_last = end >= generation.answer_tokens
        text = self._answer_text(generation, start, end)
        body = self._make_body(generation, text, "stop" if is_last else None, whole=False)
        body["token_offset"] = start
        body["token_count"] = end - start
        if is_last or start == generation.resume_offset:
            body["usage"] = self._make_usage(generation, end)
        return completions.encode_event(body)

    def _make_usage(self, generation: _Generation, tokens: int) -> dict[str, object]:
        result = generation.result
        cached = result.cached_pieces + result.imported_pieces if result else 0
        prompt_tokens = generation.job.total_tokens - generation.resume_offset
        return {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": prompt_tokens + tokens,
            "prompt_tokens_details": {"cached_tokens": cached * self._spec.piece_tokens},
        }

    def _make_body(
        self, generation: _Generation, text: str, finish_reason: str | None, *, whole: bool
    ) -> dict[str, object]:
        request_id = generation.call.request_id
        if self.has_crossed_answers():
            request_id = "crossed-" + request_id
        choice: dict[str, object] = {"index": 0, "finish_reason": finish_reason}
        if generation.req.endpoint is completions.Endpoint.CHAT:
            kind = "chat.completion" if whole else "chat.completion.chunk"
            choice["message" if whole else "delta"] = {"role": "assistant", "content": text}
        else:
            kind = "text_completion"
            choice["text"] = text
        return {
            "id": request_id,
            "object": kind,
            "created": 0,
            "model": generation.req.model,
            "choices": [choice],
        }

    def _make_load_report(self) -> dict[str, object]:
        self._advance()
        now = trio.current_time()
        lag_s = self.active_faults.amount(
            faults.FaultKind.LOAD_LAG, self.upstream, self._spec.load_lag_s
        )
        load = self.model.load_at(now - lag_s)
        return {
            "incarnation": self.incarnation,
            "age_s": now - load.at,
            "queued_tokens": load.queued_tokens,
            "queued_interactive_tokens": load.queued_interactive_tokens,
            "running": load.running,
            "leaving": self.is_leaving,
            "models": self.versions,
        }

    def _make_cache_snapshot(self) -> dict[str, object]:
        sequence, pieces = self.model.cache_snapshot()
        return {
            "incarnation": self.incarnation,
            "sequence": sequence,
            "pieces": [piece.hex() for piece in pieces],
        }

    async def _stream_events(
        self, req: http_server.Request, responder: http_server.Responder
    ) -> None:
        query = urllib.parse.parse_qs(req.query)
        after = int(query.get("after", ["0"])[0])
        await responder.start(200, [(headers.CONTENT_TYPE, completions.EVENT_STREAM_TYPE)])
        while True:
            await self.wait_while_paused()
            after = await self._send_events(after, responder)
            await trio.sleep(EVENT_POLL_S)

    async def _send_events(self, after: int, responder: http_server.Responder) -> int:
        now = trio.current_time()
        lag_s = self.active_faults.amount(
            faults.FaultKind.EVENTS_LATE, self.upstream, self._spec.event_lag_s
        )
        loss_rate = self.active_faults.amount(
            faults.FaultKind.EVENTS_LOST, self.upstream, self._spec.event_loss
        )
        for event in self.model.events_after(after, now - lag_s):
            after = event.sequence
            if self._rng.random() < loss_rate:
                continue
            body = {
                "incarnation": self.incarnation,
                "sequence": event.sequence,
                "kind": event.kind.value,
                "age_s": now - event.at,
                "pieces": [piece.hex() for piece in event.pieces],
            }
            await responder.send_part(completions.encode_event(body))
        return after

    async def _load_weights(
        self, req: http_server.Request, responder: http_server.Responder
    ) -> None:
        order = msgspec.json.decode(req.body, type=LoadOrder)
        call = upstream_server.make_call(req)
        if self.checks_fencing and order.fencing < self.highest_fencing:
            status = http.HTTPStatus.PRECONDITION_FAILED
            await responder.send_json({"error": {"message": "old fencing number"}}, status)
            return
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        self.record(call, ledger.LedgerEvent.STARTED, fencing=order.fencing, version=order.version)
        if self.versions.get(order.model) != order.version:
            await self._weight_store.load()
            self.versions[order.model] = order.version
            self._advance()
            self.model.flush_cache(trio.current_time())
            self._restart_versions[order.model] = order.version
        self.record(call, ledger.LedgerEvent.FINISHED, fencing=order.fencing, version=order.version)
        await responder.send_json({"version": order.version}, 200)

    async def _export_pieces(
        self, req: http_server.Request, responder: http_server.Responder
    ) -> None:
        order = msgspec.json.decode(req.body, type=ExportOrder)
        cached = [p for p in order.pieces if self.model.has_cached(ids.PieceId(bytes.fromhex(p)))]
        if cached:
            await self._call_keep(ids.Address(order.keep), "/store", cached)
        await responder.send_json({"exported": len(cached)})

    async def _count_importable(
        self, req: completions.ModelRequest, pieces: tuple[ids.PieceId, ...]
    ) -> int:
        keep = str(req.body.get("kv_import", ""))
        if not keep or not pieces:
            return 0
        return await self._call_keep(ids.Address(keep), "/have", [p.hex() for p in pieces])

    async def _call_keep(self, keep: ids.Address, path: str, pieces: list[str]) -> int:
        try:
            stream = await self._network.connect(keep, KEEP_TIMEOUT_S)
            conn = http_client.ClientConnection(stream, keep)
            try:
                head = http_client.RequestHead("POST", path, [])
                await conn.send(head, msgspec.json.encode({"pieces": pieces}))
                await conn.receive_head(KEEP_TIMEOUT_S)
                body = await conn.receive_body(KEEP_TIMEOUT_S)
                return int(msgspec.json.decode(body)["pieces"])
            finally:
                await conn.close()
        except (exceptions.ProtocolError, msgspec.MsgspecError, KeyError):
            return 0
