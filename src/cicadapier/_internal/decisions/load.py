"""Load of one upstream, estimated from delayed reports and the requests that were sent since."""

import collections
import dataclasses
import math

from cicadapier._internal.decisions import engine_memory
from cicadapier._internal.decisions import limits
from cicadapier._internal.models import configuration

SEND_HISTORY_S = 10.0  # Sent requests are kept this long, to be replayed after a delayed report.
RATE_WINDOW_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Load report of an upstream.

    Attributes:
        measured_at: Time of the measurement on the router's clock, in seconds.
        queued_tokens: Tokens waiting for prefill, in all service classes.
        queued_interactive_tokens: Tokens of interactive requests waiting for prefill.
        running: Number of requests that have started and not finished.
    """

    measured_at: float
    queued_tokens: float
    queued_interactive_tokens: float
    running: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Send:
    at: float
    tokens: float
    interactive: bool


class _PrefillQueue:
    """Prefill queue of an engine, which runs one request at a time and interactive requests first.

    A batch request that has started is not interrupted, so interactive requests wait until it ends.
    """

    def __init__(self, at: float) -> None:
        self.at = at
        self.started = 0.0
        self.interactive = 0.0
        self.batch: collections.deque[float] = collections.deque()
        self.batch_total = 0.0

    def add(self, send: _Send) -> None:
        if send.interactive:
            self.interactive += send.tokens
        else:
            self.batch.append(send.tokens)
            self.batch_total += send.tokens

    def drain(self, tokens: float) -> None:
        while tokens > 0:
            if self.started > 0:
                done = min(tokens, self.started)
                self.started -= done
            elif self.interactive > 0:
                done = min(tokens, self.interactive)
                self.interactive -= done
            elif self.batch:
                self.started = self.batch.popleft()
                self.batch_total = max(0.0, self.batch_total - self.started)
                done = 0.0
            else:
                return
            tokens -= done

    def ahead_of(self, service_class: configuration.ServiceClass) -> float:
        ahead = self.started + self.interactive
        if service_class is configuration.ServiceClass.BATCH:
            ahead += self.batch_total
        return ahead


class _PeerSends:
    """Requests of other routers that are expected to be running, among those that peers reported.

    Peers do not report when a request ends, so the weight of each request decays exponentially with
    the mean duration of a request.
    """

    def __init__(self) -> None:
        self._weight = 0.0
        self._at = 0.0
        self._mean_duration_s = engine_memory.INITIAL_DURATION_S

    def add(self, now: float) -> None:
        self._weight = self.running(now, self._mean_duration_s) + 1.0

    def clear(self) -> None:
        self._weight = 0.0

    def running(self, now: float, mean_duration_s: float) -> float:
        """Returns the expected number of running requests.

        Args:
            now: Current time.
            mean_duration_s: Mean duration of a request.
        """
        self._mean_duration_s = mean_duration_s
        if now > self._at:
            self._weight *= math.exp((self._at - now) / mean_duration_s)
            self._at = now
        return self._weight


class UpstreamLoad:
    """Load of one upstream, with its backlog as a queue that drains at the prefill rate."""

    def __init__(self, prefill_tokens_per_s: float, now: float) -> None:
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.in_flight = 0
        self._slowness = 1.0
        self._reported_running = 0
        self._running_change = 0
        self._has_report = False
        self._observed_at = now
        self._observed_remote = 0
        self._remote_requests = 0
        self._peer_sends = _PeerSends()
        self._prefill_queue = _PrefillQueue(now)
        self._sends: collections.deque[_Send] = collections.deque()
        self._batch_squares = limits.DecayingRate(RATE_WINDOW_S)
        self._interactive_requests = limits.DecayingRate(RATE_WINDOW_S)

    def backlog_tokens(self, service_class: configuration.ServiceClass, now: float) -> float:
        """Returns the tokens that a new request of a service class would wait for."""
        self._drain(now)
        return self._prefill_queue.ahead_of(service_class)

    def expected_batch_wait_s(self, now: float) -> float:
        """Returns the expected wait behind batch requests that this router does not know of yet.

        This is the mean residual service time of the batch traffic at the upstream, by the
        Pollaczek-Khinchine formula.
        """
        return self._batch_squares.per_s(now) / 2 / self.prefill_tokens_per_s**2

    def interactive_per_s(self, now: float) -> float:
        """Returns the rate of interactive requests at the upstream, per second."""
        return self._interactive_requests.per_s(now)

    def set_slowness(self, slowness: float, now: float) -> None:
        """Sets how long prefill takes from now on; 1.0 as usual."""
        self._drain(now)
        self._slowness = slowness

    def running(self) -> int:
        """Returns the estimated number of running requests, from all routers."""
        if not self._has_report:
            return self.in_flight + self._remote_requests
        return max(self.in_flight, self._reported_running + self._running_change)

    def remote_requests(self) -> int:
        """Returns the estimated number of running requests from other routers."""
        return max(0, self.running() - self.in_flight)

    def record_send(
        self, tokens: float, service_class: configuration.ServiceClass, now: float
    ) -> None:
        """Records a request that this router or a peer has sent."""
        self._drain(now)
        interactive = service_class is configuration.ServiceClass.INTERACTIVE
        send = _Send(now, tokens, interactive)
        self._prefill_queue.add(send)
        self._sends.append(send)
        self._running_change += 1
        if interactive:
            self._interactive_requests.add(1.0, now)
        else:
            self._batch_squares.add(tokens * tokens, now)
        while self._sends and self._sends[0].at < now - SEND_HISTORY_S:
            self._sends.popleft()

    def record_peer_send(
        self, tokens: float, service_class: configuration.ServiceClass, now: float
    ) -> None:
        """Records a request that a peer has sent."""
        self.record_send(tokens, service_class, now)
        self._peer_sends.add(now)
        self._remote_requests += 1

    def record_end(self) -> None:
        """Records the end of a request that this router has sent."""
        self.in_flight = max(0, self.in_flight - 1)
        self._running_change = max(-self._reported_running, self._running_change - 1)

    def apply_report(self, report: Report, now: float) -> None:
        """Replaces the state by a report and replays the requests sent after its measurement."""
        queue = _PrefillQueue(report.measured_at)
        # The report does not say which request has started. Its remaining tokens, which interactive
        # requests must wait for, are counted among the interactive tokens.
        queue.interactive = report.queued_interactive_tokens
        batch_tokens = report.queued_tokens - report.queued_interactive_tokens
        if batch_tokens > 0:
            queue.add(_Send(report.measured_at, batch_tokens, interactive=False))
        self._prefill_queue = queue
        self._has_report = True
        self._reported_running = report.running
        self._running_change = 0
        for send in self._sends:
            if send.at > report.measured_at:
                self._drain(send.at)
                queue.add(send)
                self._running_change += 1
        self._drain(now)

    def update_running(self, running: int, now: float) -> None:
        """Takes over the number of running requests, of all routers, that a response reports."""
        self._observed_remote = max(0, running - self.in_flight)
        self._observed_at = now
        self._peer_sends.clear()
        self._remote_requests = self._observed_remote

    def decay_remote_requests(
        self,
        now: float,
        turnover_s: float,
        mean_duration_s: float,
        mean_remote_requests: float = 0.0,
    ) -> None:
        """Reduces the reported number of remote requests by those that have probably ended.

        The reduction begins after half of `turnover_s`. Responses arrive only while this router
        sends requests, and peers do not report when a request ends. Without this decay, an upstream
        that was full at its last response would get no more requests and so never report again. An
        upstream that sends load reports is not affected.

        Args:
            now: Current time.
            turnover_s: Time after which all reported requests have ended.
            mean_duration_s: Mean duration of a request.
            mean_remote_requests: Number of remote requests that replaces the reported one in time.
        """
        ended_share = (now - self._observed_at) / turnover_s
        left_share = min(1.0, max(0.0, 2 - 2 * ended_share))
        peer_running = self._peer_sends.running(now, mean_duration_s)
        unobserved = max(mean_remote_requests * (1 - left_share), peer_running)
        self._remote_requests = round(self._observed_remote * left_share + unobserved)

    def _drain(self, now: float) -> None:
        if now > self._prefill_queue.at:
            tokens_per_s = self.prefill_tokens_per_s / self._slowness
            self._prefill_queue.drain((now - self._prefill_queue.at) * tokens_per_s)
            self._prefill_queue.at = now
