"""Metrics of one router, exported with OpenTelemetry."""

import dataclasses
import enum

from opentelemetry import metrics
from opentelemetry.exporter import prometheus
from opentelemetry.exporter.otlp.proto.http import metric_exporter
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources
from opentelemetry.sdk.metrics import export
from opentelemetry.sdk.metrics import view
import prometheus_client
import trio

from cicadapier._internal.decisions import series
from cicadapier._internal.kernel import service
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.services import names

PUSH_INTERVAL_MS = 10_000
_LATENCY_BUCKETS_S = (
    0.005, 0.01, 0.02, 0.025, 0.03, 0.04, 0.05, 0.075, 0.1, 0.15, 0.2, 0.25, 0.34, 0.5, 0.75,
    1.0, 1.5, 2.5, 5.0, 10.0, 30.0,
)  # fmt: skip
_TOKEN_BUCKETS = (0, 64, 256, 1024, 2048, 4096, 8192, 16_384, 32_768, 65_536, 131_072)


class Histogram(enum.Enum):
    """Histograms by client account and service class."""

    FIRST_TOKEN = "cicadapier_time_to_first_token"
    BETWEEN_TOKENS = "cicadapier_time_between_tokens"
    QUEUE_WAIT = "cicadapier_queue_wait"
    CACHED_TOKENS = "cicadapier_tokens_cached"
    RECOMPUTED_TOKENS = "cicadapier_tokens_recomputed"


_TOKEN_HISTOGRAMS = (Histogram.CACHED_TOKENS, Histogram.RECOMPUTED_TOKENS)


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """Client account and service class that a measurement belongs to."""

    account: ids.AccountId
    service_class: configuration.ServiceClass


class TelemetryService(service.Service):
    """Records metrics. Its methods are safe to call from any task."""

    name = names.TELEMETRY

    def __init__(self, vm: ids.VmId, otlp_endpoint: str = "") -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._labels = series.AccountLabels()
        self._attributes: dict[Caller, dict[str, str]] = {}
        readers: list[export.MetricReader] = [
            prometheus.PrometheusMetricReader(disable_target_info=True, registry=self._registry)
        ]
        if otlp_endpoint:
            exporter = metric_exporter.OTLPMetricExporter(endpoint=otlp_endpoint)
            readers.append(export.PeriodicExportingMetricReader(exporter, PUSH_INTERVAL_MS))
        self._provider = sdk_metrics.MeterProvider(
            readers,
            resource=resources.Resource({"service.name": "cicadapier", "host.id": vm}),
            views=_views(),
            shutdown_on_exit=False,
        )
        meter = self._provider.get_meter("cicadapier")
        self._histograms = {member: _make_histogram(meter, member) for member in Histogram}
        self._outcomes = meter.create_counter("cicadapier_requests")
        self._refusals = meter.create_counter("cicadapier_refusals")
        self._retries = meter.create_counter("cicadapier_retries")
        self._events = meter.create_counter("cicadapier_events")
        self._tunnel_bytes = meter.create_counter("cicadapier_tunnel_bytes", unit="By")
        self._limited_sends = meter.create_counter("cicadapier_limited_sends")
        self._quota_units = meter.create_counter("cicadapier_account_quota_units")
        self._silent_issuers = meter.create_counter("cicadapier_account_quota_silent_issuers")
        self._quota_held = meter.create_gauge("cicadapier_account_quota_held")
        self._urgency_events = meter.create_counter("cicadapier_urgency_events")
        self._waiting = meter.create_gauge("cicadapier_waiting_requests")
        self._slowness = meter.create_gauge("cicadapier_upstream_slowness")
        self._uneven_sends = meter.create_counter("cicadapier_uneven_sends")
        self._store_epoch = meter.create_gauge("cicadapier_store_epoch")
        self._keys_required = meter.create_gauge("cicadapier_keys_required")
        self._valid_keys = meter.create_gauge("cicadapier_valid_keys")
        self._store_calls = meter.create_counter("cicadapier_store_calls")
        self._connections = meter.create_counter("cicadapier_upstream_connections")
        self._shared_reads = meter.create_counter("cicadapier_shared_reads")
        self._held_for_readers = meter.create_gauge("cicadapier_held_for_slow_readers", unit="By")
        self._shared_read_age = meter.create_gauge("cicadapier_shared_read_age", unit="s")

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        task_status.started()
        try:
            await trio.sleep_forever()
        finally:
            self._provider.shutdown()

    def attributes(self, caller: Caller) -> dict[str, str]:
        """Returns the attributes of a caller's measurements."""
        label = self._labels.label(caller.account)
        key = Caller(label, caller.service_class)
        found = self._attributes.get(key)
        if found is None:
            found = {"account": label, "class": caller.service_class.value}
            self._attributes[key] = found
        return found

    def record(self, histogram: Histogram, value: float, attributes: dict[str, str]) -> None:
        """Records a measurement."""
        self._histograms[histogram].record(value, attributes)

    def count_request(self, outcome: str, attributes: dict[str, str]) -> None:
        """Counts a request by its outcome."""
        self._outcomes.add(1, {**attributes, "outcome": outcome})

    def count_refusal(self, code: str) -> None:
        """Counts a refusal by its reason."""
        self._refusals.add(1, {"code": code})

    def count_retry(self, reason: str) -> None:
        """Counts a retry by its reason."""
        self._retries.add(1, {"reason": reason})

    def count_event(self, kind: str) -> None:
        """Counts an internal event."""
        self._events.add(1, {"kind": kind})

    def count_tunnel_bytes(self, size: int) -> None:
        """Counts bytes that were carried for another router."""
        self._tunnel_bytes.add(size)

    def count_limited_send(self, upstream: ids.UpstreamId, kind: str) -> None:
        """Counts a request to an upstream that announces a rate limit, by its kind."""
        self._limited_sends.add(1, {"upstream": upstream, "kind": kind})

    def account_label(self, account: ids.AccountId) -> ids.AccountId:
        """Returns the label of an account; one label stands for all but the largest accounts."""
        return self._labels.label(account)

    def count_quota(self, label: ids.AccountId, outcome: str, units: float) -> None:
        """Counts requests or tokens of an account with a quota, by outcome."""
        self._quota_units.add(units, {"account": label, "outcome": outcome})

    def count_silent_issuer(self, issuer: ids.VmId) -> None:
        """Counts a request for quota that its issuer did not answer in time."""
        self._silent_issuers.add(1, {"issuer": issuer})

    def record_quota_held(self, label: ids.AccountId, units: float) -> None:
        """Records the requests or tokens that this router holds of an account's quota."""
        self._quota_held.set(units, {"account": label})

    def count_urgency_events(self, urgency: int, event: str, count: int) -> None:
        """Counts what happened to requests of an urgency while they were admitted."""
        self._urgency_events.add(count, {"urgency": urgency, "event": event})

    def record_waiting(self, urgency: int, count: int) -> None:
        """Records how many requests of an urgency are waiting."""
        self._waiting.set(count, {"urgency": urgency})

    def record_slowness(self, upstream: ids.UpstreamId, slowness: float) -> None:
        """Records how long work takes at an upstream; 1.0 as usual."""
        self._slowness.set(slowness, {"upstream": upstream})

    def count_uneven_send(self, upstream: str) -> None:
        """Counts a request to an upstream of a pool that states how long work takes."""
        self._uneven_sends.add(1, {"upstream": upstream})

    def record_store_epoch(self, epoch: ids.StoreEpoch) -> None:
        """Records the epoch of the store."""
        self._store_epoch.set(epoch)

    def record_keys(self, policy: configuration.KeyPolicy, valid: int) -> None:
        """Records whether requests have to carry a key, and how many keys are valid."""
        self._keys_required.set(policy is configuration.KeyPolicy.REQUIRED)
        self._valid_keys.set(valid)

    def count_store_call(self, kind: str, call: str) -> None:
        """Counts a call to the platform's store.

        Args:
            kind: Kind of the objects.
            call: `list`, `get`, `watch`, `watch_stale`, `create`, `replace` or `delete`.
        """
        self._store_calls.add(1, {"kind": kind, "call": call})

    def count_shared_read(self, kind: str, result: str) -> None:
        """Counts a report of a reader of the store, by the kind and what was made of it."""
        self._shared_reads.add(1, {"kind": kind, "result": result})

    def record_shared_read_age(self, kind: str, age_s: float) -> None:
        """Records the age of the last report of a reader that was believed."""
        self._shared_read_age.set(age_s, {"kind": kind})

    def count_connection(self, reason: str) -> None:
        """Counts a connection to an upstream that was taken for a request, by where it is from.

        Args:
            reason: `reused`, or why it was opened: `none_idle`, `idle_too_long`, `closed_by_peer`
                or `asked_new`.
        """
        self._connections.add(1, {"reason": reason})

    def record_held_for_readers(self, size: int) -> None:
        """Records how many bytes are held for callers that read slowly."""
        self._held_for_readers.set(size)

    def exposition(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)


def _make_histogram(meter: metrics.Meter, member: Histogram) -> metrics.Histogram:
    unit = "{token}" if member in _TOKEN_HISTOGRAMS else "s"
    return meter.create_histogram(member.value, unit=unit)


def _views() -> list[view.View]:
    views = []
    for member in Histogram:
        bounds = _TOKEN_BUCKETS if member in _TOKEN_HISTOGRAMS else _LATENCY_BUCKETS_S
        aggregation = view.ExplicitBucketHistogramAggregation(bounds)
        views.append(view.View(instrument_name=member.value, aggregation=aggregation))
    return views
