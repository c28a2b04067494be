"""Model of an inference engine: continuous batching, a prefix cache and delayed reports.

The model is a state machine whose callers pass the current time, so that the stand-in engine of
the demonstration and the trace replay use the same code. Prefill runs one request at a time, in
order of priority. Decode advances all running requests together and slows down as the batch grows.
"""

import bisect
import collections
import collections.abc
import dataclasses
import enum
import heapq
import math

from cicadapier._internal.models import ids
from cicadapier._internal.standins import keep_model


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Speed, cache size and reporting delays of an engine.

    Attributes:
        prefill_tokens_per_s: Prefill rate.
        decode_step_s: Time between tokens with a batch of at most `full_speed_batch` requests.
        full_speed_batch: Largest batch that decodes at full speed.
        slowdown_per_request: Increase of the decode step for each request above
            `full_speed_batch`, as a fraction of `decode_step_s`.
        max_batch: Maximum number of requests that decode at the same time.
        cache_pieces: Capacity of the prefix cache, in pieces.
        piece_tokens: Number of tokens in a piece.
        import_tokens_per_s: Rate at which pieces are imported from the keep.
        load_lag_s: Age of the load reports.
        event_lag_s: Delay of the cache events.
        event_loss: Fraction of the cache events that are lost.
    """

    prefill_tokens_per_s: float = 10_000.0
    decode_step_s: float = 0.025
    full_speed_batch: int = 24
    slowdown_per_request: float = 0.02
    max_batch: int = 32
    cache_pieces: int = 48
    piece_tokens: int = 2048
    import_tokens_per_s: float = 100_000.0
    load_lag_s: float = 1.0
    event_lag_s: float = 2.0
    event_loss: float = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A request submitted to an engine.

    Attributes:
        request: Request id.
        pieces: Ids of the complete pieces of the prompt.
        total_tokens: Number of tokens in the prompt.
        output_tokens: Number of tokens to generate.
        priority: Requests with a lower value are prefilled first; 0 is interactive.
        import_pieces: Length of the prefix, in pieces, that the keep held on submission.
        may_import: Whether the engine looks up the pieces in the keep when the prefill begins,
            instead of using `import_pieces`.
    """

    request: ids.RequestId
    pieces: tuple[ids.PieceId, ...]
    total_tokens: int
    output_tokens: int
    priority: int = 0
    import_pieces: int = 0
    may_import: bool = False


class CacheEventKind(enum.Enum):
    """Kind of change to the prefix cache."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change to the prefix cache."""

    sequence: int
    kind: CacheEventKind
    pieces: tuple[ids.PieceId, ...]
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class FirstToken:
    """The prefill of a request has ended and its first token is generated.

    Attributes:
        request: Request id.
        cached_pieces: Number of pieces found in the cache.
        imported_pieces: Number of pieces imported from the keep.
        computed_tokens: Number of prompt tokens that were computed.
        at: Time of the first token.
    """

    request: ids.RequestId
    cached_pieces: int
    imported_pieces: int
    computed_tokens: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The last token of a request is generated."""

    request: ids.RequestId
    at: float
    mean_step_s: float


EngineEvent = FirstToken | Finished


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSnapshot:
    """Load of an engine at one point in time."""

    at: float
    queued_tokens: int
    queued_interactive_tokens: int
    running: int


@dataclasses.dataclass(slots=True)
class _Prefill:
    job: Job
    cached_pieces: int
    imported_pieces: int
    computed_tokens: int
    ends_at: float


@dataclasses.dataclass(slots=True)
class _Decode:
    job: Job
    start_step: float
    first_token_at: float


@dataclasses.dataclass(order=True, slots=True)
class _QueuedJob:
    priority: int
    arrival_number: int
    job: Job = dataclasses.field(compare=False)


class EngineModel:
    """State of one engine.

    Attributes:
        incarnation: Identifier of the engine process, which changes with each restart.
        prefilled_tokens: Number of prompt tokens computed since the last restart.
        speed: Factor applied to all rates; 1 is full speed.
    """

    def __init__(
        self,
        spec: EngineSpec,
        incarnation: ids.Incarnation,
        now: float = 0.0,
        keep: keep_model.KeepModel | None = None,
    ) -> None:
        self.spec = spec
        self._keep = keep
        self.incarnation = incarnation
        self.prefilled_tokens = 0
        self.speed = 1.0
        self._now = now
        self._decode_steps = 0.0
        self._submitted_count = 0
        self._queue: list[_QueuedJob] = []
        self._cancelled: set[ids.RequestId] = set()
        self._prefill: _Prefill | None = None
        self._decoding: dict[ids.RequestId, _Decode] = {}
        self._decode_ends: list[tuple[float, ids.RequestId]] = []
        self._cache: collections.OrderedDict[ids.PieceId, None] = collections.OrderedDict()
        self._pin_counts: collections.Counter[ids.PieceId] = collections.Counter()
        self._sequence = 0
        self._events: collections.deque[CacheEvent] = collections.deque(maxlen=100_000)
        self._load_history: collections.deque[LoadSnapshot] = collections.deque()
        self._record_load()

    def submit(self, job: Job, now: float) -> None:
        """Queues a request. `advance` must have been called with `now` before."""
        self._submitted_count += 1
        heapq.heappush(self._queue, _QueuedJob(job.priority, self._submitted_count, job))
        self._start_next_prefill(now)
        self._record_load()

    def cancel(self, request: ids.RequestId, now: float) -> None:
        """Removes a request, whether it is queued, in prefill or decoding.

        `advance` must have been called with `now` before.
        """
        decode = self._decoding.pop(request, None)
        if decode:
            self._pin_counts.subtract(decode.job.pieces)
        elif self._prefill and self._prefill.job.request == request:
            self._pin_counts.subtract(self._prefill.job.pieces)
            self._prefill = None
        elif any(queued.job.request == request for queued in self._queue):
            self._cancelled.add(request)
        self._start_next_prefill(now)
        self._record_load()

    def crash(self, incarnation: ids.Incarnation, now: float) -> None:
        """Restarts the engine with an empty cache and no requests."""
        self.__init__(self.spec, incarnation, now, self._keep)  # type: ignore[misc]

    def flush_cache(self, now: float) -> None:
        """Evicts all pieces that no running request uses, as engines do when weights change.

        `advance` must have been called with `now` before.
        """
        evicted = tuple(piece for piece in self._cache if self._pin_counts[piece] <= 0)
        for piece in evicted:
            del self._cache[piece]
        self._publish(CacheEventKind.EVICTED, evicted, now)

    def next_event_at(self) -> float:
        """Returns the time of the next event, or infinity if none is scheduled."""
        at = self._prefill.ends_at if self._prefill else math.inf
        if self._decode_ends:
            at = min(at, self._now + (self._decode_ends[0][0] - self._decode_steps) * self.step_s())
        return at

    def step_s(self) -> float:
        """Returns the current time between two tokens of a request."""
        excess = max(0, len(self._decoding) - self.spec.full_speed_batch)
        return self.spec.decode_step_s * (1 + excess * self.spec.slowdown_per_request) / self.speed

    def advance(self, now: float) -> list[EngineEvent]:
        """Advances the model to a point in time and returns the events in order."""
        events: list[EngineEvent] = []
        while (at := self.next_event_at()) <= now:
            self._advance_decoding(at)
            if self._prefill and self._prefill.ends_at <= at:
                events.append(self._end_prefill(self._prefill, at))
            else:
                events.extend(self._end_decodes(at))
            self._start_next_prefill(at)
            self._record_load()
        self._advance_decoding(now)
        return events

    def generated_tokens(self, request: ids.RequestId) -> int:
        """Returns how many tokens of a request are generated, or 0 if it is not decoding."""
        decode = self._decoding.get(request)
        if decode is None:
            return 0
        generated = int(self._decode_steps - decode.start_step + 1e-6) + 1
        return min(decode.job.output_tokens, generated)

    def next_token_in_s(self, request: ids.RequestId) -> float:
        """Returns the time until the next token of a decoding request.

        For a request that is not decoding, returns the duration of one decode step.
        """
        decode = self._decoding.get(request)
        if decode is None:
            return self.step_s()
        progress = (self._decode_steps - decode.start_step) % 1.0
        return max(0.001, (1.0 - progress) * self.step_s())

    def has_cached(self, piece: ids.PieceId) -> bool:
        """Returns whether the cache contains a piece."""
        return piece in self._cache

    def cached_prefix(self, pieces: collections.abc.Sequence[ids.PieceId]) -> int:
        """Returns the length of the cached prefix, in pieces."""
        for depth, piece in enumerate(pieces):
            if piece not in self._cache:
                return depth
        return len(pieces)

    def cached_or_queued_prefix(self, pieces: collections.abc.Sequence[ids.PieceId]) -> int:
        """Returns the length of the prefix that is cached once all queued prefills have ended."""
        queued_pieces = {piece for queued in self._queue for piece in queued.job.pieces}
        if self._prefill:
            queued_pieces.update(self._prefill.job.pieces)
        for depth, piece in enumerate(pieces):
            if piece not in self._cache and piece not in queued_pieces:
                return depth
        return len(pieces)

    def exact_queue_wait_s(self, priority: float) -> float:
        """Returns how long a new request of this priority value waits for its prefill.

        The wait is computed from the actual queue instead of a delayed load report. Requests of a
        higher priority value are not counted.
        """
        wait_s = max(0.0, self._prefill.ends_at - self._now) if self._prefill else 0.0
        seen_pieces: set[ids.PieceId] = set()
        for queued in sorted(self._queue):
            if queued.priority <= priority and queued.job.request not in self._cancelled:
                missing = [p for p in queued.job.pieces if p not in self._cache]
                new_count = len([p for p in missing if p not in seen_pieces])
                seen_pieces.update(missing)
                reused_count = len(queued.job.pieces) - new_count
                tokens = max(1, queued.job.total_tokens - reused_count * self.spec.piece_tokens)
                wait_s += tokens / self.spec.prefill_tokens_per_s
        # Each request above the batch limit adds an estimated wait until a request ends.
        excess = max(0, self.in_flight() + 1 - self.spec.max_batch)
        return wait_s + excess * 0.1

    def cache_snapshot(self) -> tuple[int, tuple[ids.PieceId, ...]]:
        """Returns the sequence number of the last event and the cached pieces, oldest first."""
        return self._sequence, tuple(self._cache)

    def events_after(self, sequence: int, until: float) -> list[CacheEvent]:
        """Returns the events after a sequence number that occurred up to a point in time."""
        start = bisect.bisect_right(self._events, sequence, key=lambda event: event.sequence)
        return [
            self._events[i] for i in range(start, len(self._events)) if self._events[i].at <= until
        ]

    def load_at(self, at: float) -> LoadSnapshot:
        """Returns the load at a point in time in the recent past.

        Older snapshots are discarded: a later call with an earlier time returns the oldest load
        that is left.
        """
        while len(self._load_history) > 1 and self._load_history[1].at <= at:
            self._load_history.popleft()
        last = self._load_history[0]
        # Between two snapshots, prefill reduces the queue at a constant rate.
        prefilled = int(max(0.0, at - last.at) * self.spec.prefill_tokens_per_s * self.speed)
        return LoadSnapshot(
            max(at, last.at),
            max(0, last.queued_tokens - prefilled),
            max(0, last.queued_interactive_tokens - prefilled),
            last.running,
        )

    def queued_tokens(self) -> int:
        """Returns the number of prompt tokens that are queued or in prefill."""
        return self._load_history[-1].queued_tokens

    def in_flight(self) -> int:
        """Returns the number of requests that are queued, in prefill or decoding."""
        queued = len(self._queue) - len(self._cancelled)
        return len(self._decoding) + queued + (1 if self._prefill else 0)

    def _advance_decoding(self, now: float) -> None:
        if now > self._now:
            if self._decoding:
                self._decode_steps += (now - self._now) / self.step_s()
            self._now = now

    def _start_next_prefill(self, now: float) -> None:
        while self._prefill is None and self._queue:
            if len(self._decoding) >= self.spec.max_batch:
                return
            job = heapq.heappop(self._queue).job
            if job.request in self._cancelled:
                self._cancelled.discard(job.request)
                continue
            self._prefill = self._begin_prefill(job, now)

    def _begin_prefill(self, job: Job, now: float) -> _Prefill:
        cached_pieces = self.cached_prefix(job.pieces)
        importable_pieces = job.import_pieces
        if self._keep and job.may_import:
            importable_pieces = self._keep.prefix_length(job.pieces)
        imported_pieces = max(0, importable_pieces - cached_pieces)
        for piece in job.pieces[:cached_pieces]:
            self._cache.move_to_end(piece)
        self._pin_counts.update(job.pieces)
        piece_tokens = self.spec.piece_tokens
        computed = max(1, job.total_tokens - (cached_pieces + imported_pieces) * piece_tokens)
        duration_s = computed / self.spec.prefill_tokens_per_s
        duration_s += imported_pieces * piece_tokens / self.spec.import_tokens_per_s
        return _Prefill(
            job, cached_pieces, imported_pieces, computed, now + duration_s / self.speed
        )

    def _end_prefill(self, prefill: _Prefill, at: float) -> FirstToken:
        job = prefill.job
        self._prefill = None
        self.prefilled_tokens += prefill.computed_tokens
        self._store_pieces(job.pieces, at)
        self._decoding[job.request] = _Decode(job, self._decode_steps, at)
        heapq.heappush(self._decode_ends, (self._decode_steps + job.output_tokens - 1, job.request))
        return FirstToken(
            job.request, prefill.cached_pieces, prefill.imported_pieces, prefill.computed_tokens, at
        )

    def _end_decodes(self, at: float) -> list[EngineEvent]:
        ended: list[EngineEvent] = []
        while self._decode_ends and self._decode_ends[0][0] <= self._decode_steps + 1e-6:
            _, request = heapq.heappop(self._decode_ends)
            decode = self._decoding.pop(request, None)
            if decode is None:
                continue
            self._pin_counts.subtract(decode.job.pieces)
            gaps = max(1, decode.job.output_tokens - 1)
            ended.append(Finished(request, at, (at - decode.first_token_at) / gaps))
        return ended

    def _store_pieces(self, pieces: tuple[ids.PieceId, ...], at: float) -> None:
        added = tuple(piece for piece in pieces if piece not in self._cache)
        for piece in pieces:
            self._cache[piece] = None
            self._cache.move_to_end(piece)
        self._publish(CacheEventKind.STORED, added, at)
        self._publish(CacheEventKind.EVICTED, self._evict(), at)

    def _evict(self) -> tuple[ids.PieceId, ...]:
        excess = len(self._cache) - self.spec.cache_pieces
        if excess <= 0:
            return ()
        victims = []
        for piece in self._cache:
            if self._pin_counts[piece] <= 0:
                victims.append(piece)
                if len(victims) == excess:
                    break
        for piece in victims:
            del self._cache[piece]
            del self._pin_counts[piece]
        return tuple(victims)

    def _publish(self, kind: CacheEventKind, pieces: tuple[ids.PieceId, ...], at: float) -> None:
        if pieces:
            self._sequence += 1
            self._events.append(CacheEvent(self._sequence, kind, pieces, at))

    def _record_load(self) -> None:
        total = interactive = 0
        for queued in self._queue:
            if queued.job.request in self._cancelled:
                continue
            tokens = self._uncached_tokens(queued.job)
            total += tokens
            interactive += tokens if queued.job.priority == 0 else 0
        if self._prefill:
            remaining_s = max(0.0, self._prefill.ends_at - self._now)
            remaining_tokens = int(remaining_s * self.spec.prefill_tokens_per_s)
            total += remaining_tokens
            interactive += remaining_tokens
        self._load_history.append(LoadSnapshot(self._now, total, interactive, self.in_flight()))
        while (
            len(self._load_history) > 2
            and self._load_history[1].at <= self._now - 10 * self.spec.load_lag_s
        ):
            self._load_history.popleft()

    def _uncached_tokens(self, job: Job) -> int:
        cached_pieces = self.cached_prefix(job.pieces)
        return max(1, job.total_tokens - cached_pieces * self.spec.piece_tokens)
