"""Load of one upstream, from late reports and from what routers have sent since."""

import collections
import dataclasses

from cicadapier._internal.models import configuration

SEND_LOG_S = 10.0
_RATE_SMOOTHING = 0.1
_MIN_SAMPLE_TOKENS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Load that an upstream reports.

    Attributes:
        measured_at: Time of the measurement on the router's clock, in seconds.
        queued_tokens: Tokens waiting for prefill, all classes.
        queued_interactive_tokens: Tokens waiting for prefill of interactive requests.
        running: Requests that have started and not finished.
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


class UpstreamLoad:
    """Backlog of one upstream, as a queue that drains at the prefill rate."""

    def __init__(self, prefill_tokens_per_s: float, now: float) -> None:
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.in_flight = 0
        self._reported_running = 0
        self._running_since_report = 0
        self._at = now
        self._total = 0.0
        self._interactive = 0.0
        self._sends: collections.deque[_Send] = collections.deque()

    def backlog_tokens(self, service_class: configuration.ServiceClass, now: float) -> float:
        """Returns the tokens that a request of a class would wait for."""
        self._drain(now)
        if service_class is configuration.ServiceClass.INTERACTIVE:
            return self._interactive
        return self._total

    def running(self) -> int:
        """Returns the requests believed to run there, from all routers."""
        return max(self.in_flight, self._reported_running + self._running_since_report)

    def sent(self, tokens: float, service_class: configuration.ServiceClass, now: float) -> None:
        """Records a request that this router or a peer has sent."""
        self._drain(now)
        interactive = service_class is configuration.ServiceClass.INTERACTIVE
        self._apply(_Send(now, tokens, interactive))
        self._sends.append(_Send(now, tokens, interactive))
        self._running_since_report += 1
        while self._sends and self._sends[0].at < now - SEND_LOG_S:
            self._sends.popleft()

    def ended(self) -> None:
        """Records the end of a request that this router had sent."""
        self.in_flight = max(0, self.in_flight - 1)
        self._running_since_report = max(-self._reported_running, self._running_since_report - 1)

    def reported(self, report: Report, now: float) -> None:
        """Starts again from a report and replays the sends that it cannot include."""
        self._at = report.measured_at
        self._total = report.queued_tokens
        self._interactive = report.queued_interactive_tokens
        self._reported_running = report.running
        self._running_since_report = 0
        for send in self._sends:
            if send.at > report.measured_at:
                self._drain(send.at)
                self._apply(send)
                self._running_since_report += 1
        self._drain(now)

    def prefilled(self, tokens: int, elapsed_s: float) -> None:
        """Learns the prefill rate from a request that waited for nothing else."""
        if tokens < _MIN_SAMPLE_TOKENS or elapsed_s <= 0:
            return
        sample = tokens / elapsed_s
        if sample > self.prefill_tokens_per_s:
            # Waiting only lowers a sample: a faster one is certain, a slower one is not.
            self.prefill_tokens_per_s = sample
        else:
            change = sample - self.prefill_tokens_per_s
            self.prefill_tokens_per_s += _RATE_SMOOTHING * change

    def _apply(self, send: _Send) -> None:
        self._total += send.tokens
        if send.interactive:
            self._interactive += send.tokens

    def _drain(self, now: float) -> None:
        if now <= self._at:
            return
        drained = (now - self._at) * self.prefill_tokens_per_s
        self._at = now
        self._total = max(0.0, self._total - drained)
        self._interactive = max(0.0, self._interactive - drained)
