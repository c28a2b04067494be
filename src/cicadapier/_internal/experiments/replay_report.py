"""Measurements of a replay."""

import collections.abc
import dataclasses
import math

from cicadapier._internal.experiments import traces
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.standins import deployments
from cicadapier._internal.standins import engine_model


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """Measurements of one request.

    Attributes:
        at: Arrival time, in seconds from the start of the trace.
        account: Client account.
        service_class: Latency class.
        router: Index of the router that it arrived at.
        total_tokens: Number of prompt tokens.
        upstream: Upstream of the last attempt.
        first_token_s: Time from arrival to the first token; None without one.
        mean_step_s: Mean time between tokens; None until it finishes.
        reused_tokens: Prompt tokens that the last attempt found in the cache or imported.
        computed_tokens: Prompt tokens that all attempts have prefilled.
        wasted_tokens: Prefilled tokens of pieces that had been computed before.
        refusal: Code of the refusal, "lost" if a router has lost the request, or None.
        ended_at: Time of the last token or of the refusal; None while it runs.
        retries: Number of failed attempts.
    """

    at: float
    account: ids.AccountId
    service_class: configuration.ServiceClass
    router: int
    total_tokens: int
    upstream: ids.UpstreamId | None = None
    first_token_s: float | None = None
    mean_step_s: float | None = None
    reused_tokens: int = 0
    computed_tokens: int = 0
    wasted_tokens: int = 0
    refusal: str | None = None
    ended_at: float | None = None
    retries: int = 0

    def record_refusal(self, refusal: outcomes.Refusal | None, now: float) -> None:
        """Records a refusal, or the loss of the request if there is no refusal."""
        self.refusal = refusal.code.value if refusal else "lost"
        self.ended_at = now

    def record_finish(self, at: float, mean_step_s: float) -> None:
        """Records the last token."""
        self.ended_at = at
        self.mean_step_s = mean_step_s


@dataclasses.dataclass(frozen=True, slots=True)
class TimeWindow:
    """Part of a trace, in seconds from its start; the end is excluded."""

    start: float = 0.0
    end: float = math.inf


WHOLE_TRACE = TimeWindow()


class Report:
    """Records of the requests of one replay, and statistics of them.

    Attributes:
        policy: Name of the policy.
        seed: Seed of the replay.
        records: Record of each request, in order of arrival.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        spec: engine_model.EngineSpec,
        policy: str,
        seed: int,
    ) -> None:
        self.policy = policy
        self.seed = seed
        self.records: list[RequestRecord] = []
        self._deployment = deployment
        self._spec = spec
        self._computed_before: set[ids.PieceId] = set()
        self._prefilled = 0
        self._duration_s = 0.0

    def record_arrival(self, req: traces.TraceRequest, router: int) -> RequestRecord:
        """Adds a request and returns its record."""
        record = RequestRecord(req.at, req.account, req.service_class, router, req.total_tokens)
        self.records.append(record)
        return record

    def record_first_token(
        self,
        record: RequestRecord,
        req: traces.TraceRequest,
        event: engine_model.FirstToken,
        now: float,
    ) -> None:
        """Records the first token of an attempt and the tokens that were computed for it."""
        if record.first_token_s is None:
            record.first_token_s = now - record.at
        piece_tokens = self._spec.piece_tokens
        reused = event.cached_pieces + event.imported_pieces
        computed = req.pieces[reused:]
        record.reused_tokens = reused * piece_tokens
        record.computed_tokens += event.computed_tokens
        record.wasted_tokens += piece_tokens * sum(
            1 for p in computed if p in self._computed_before
        )
        self._computed_before.update(computed)

    def record_crash(self, engine: engine_model.EngineModel) -> None:
        """Adds the prefilled tokens of an engine before a crash resets its count."""
        self._prefilled += engine.prefilled_tokens

    def close(
        self,
        duration_s: float,
        engines: collections.abc.Mapping[ids.UpstreamId, engine_model.EngineModel],
    ) -> None:
        """Ends the measurement.

        Args:
            duration_s: Duration of the trace.
            engines: Model of each engine.
        """
        self._duration_s = duration_s
        self._prefilled += sum(engine.prefilled_tokens for engine in engines.values())

    def select(
        self,
        service_class: configuration.ServiceClass | None = None,
        window: TimeWindow = WHOLE_TRACE,
        account: ids.AccountId | None = None,
    ) -> list[RequestRecord]:
        """Returns the records that match a service class, a time window and an account.

        A service class or an account of None matches all.
        """
        return [
            record
            for record in self.records
            if window.start <= record.at < window.end
            and (service_class is None or record.service_class is service_class)
            and (account is None or record.account == account)
        ]

    def hit_rate(self, window: TimeWindow = WHOLE_TRACE) -> float:
        """Returns the share of prompt tokens that were reused."""
        answered = [r for r in self.select(window=window) if r.first_token_s is not None]
        total = sum(record.total_tokens for record in answered)
        return sum(record.reused_tokens for record in answered) / max(1, total)

    def wasted_share(self) -> float:
        """Returns the share of prefilled tokens that had been computed before."""
        computed = sum(record.computed_tokens for record in self.records)
        return sum(record.wasted_tokens for record in self.records) / max(1, computed)

    def utilization(self) -> float:
        """Returns the share of the engines' prefill capacity that was used."""
        capacity = self._deployment.engines * self._spec.prefill_tokens_per_s * self._duration_s
        return self._prefilled / max(1.0, capacity)

    def first_token_s(
        self,
        share: float,
        service_class: configuration.ServiceClass | None = None,
        window: TimeWindow = WHOLE_TRACE,
    ) -> float:
        """Returns a quantile of the time to first token.

        Args:
            share: Which quantile, from 0 to 1.
            service_class: Service class to select; None for all.
            window: Time window of the arrivals to select.
        """
        chosen = self.select(service_class, window)
        return quantile([r.first_token_s for r in chosen if r.first_token_s is not None], share)

    def step_s(self, share: float) -> float:
        """Returns a quantile of the mean time between tokens."""
        return quantile([r.mean_step_s for r in self.records if r.mean_step_s is not None], share)

    def refusals(self, window: TimeWindow = WHOLE_TRACE) -> int:
        """Returns the number of refused and lost requests."""
        return sum(1 for record in self.select(window=window) if record.refusal)

    def unfinished(self) -> int:
        """Returns the number of requests that have neither finished nor been refused."""
        return sum(1 for record in self.records if record.ended_at is None)

    def summary(self) -> dict[str, object]:
        """Returns the statistics of the whole trace."""
        interactive = configuration.ServiceClass.INTERACTIVE
        batch = configuration.ServiceClass.BATCH
        return {
            "policy": self.policy,
            "seed": self.seed,
            "requests": len(self.records),
            "hit_rate": self.hit_rate(),
            "wasted": self.wasted_share(),
            "utilization": self.utilization(),
            "interactive_p50_s": self.first_token_s(0.5, interactive),
            "interactive_p95_s": self.first_token_s(0.95, interactive),
            "interactive_p99_s": self.first_token_s(0.99, interactive),
            "batch_p50_s": self.first_token_s(0.5, batch),
            "batch_p95_s": self.first_token_s(0.95, batch),
            "batch_p99_s": self.first_token_s(0.99, batch),
            "step_p95_s": self.step_s(0.95),
            "refusals": self.refusals(),
            "unfinished": self.unfinished(),
        }


def quantile(values: list[float], share: float) -> float:
    """Returns a quantile by the nearest-rank method, or NaN if there are no values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, max(0, math.ceil(share * len(ordered)) - 1))]
