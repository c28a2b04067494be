"""The callers of a router for whom bytes are held."""

import abc
import enum

import structlog
import trio

from cicadapier._internal.decisions.slow_readers import held_answers
from cicadapier._internal.models import settings
from cicadapier._internal.services import telemetry_service

LOG_INTERVAL_S = 10.0

_log = structlog.get_logger()


class ReaderEvent(enum.Enum):
    """What happened to an answer of which bytes were held.

    Attributes:
        WAITED: Its upstream had to wait for the caller, as a bound was reached.
        CUT: It was cut, as it held the most when all answers together held too much.
        LOST: Its caller stopped reading, or its connection broke.
        BROKEN_OFF: It ended incomplete for another reason; its caller may have left.
    """

    WAITED = "slow_reader_waited"
    CUT = "slow_reader_cut"
    LOST = "slow_reader_lost"
    BROKEN_OFF = "slow_reader_broken_off"


class Reader(abc.ABC):
    """A caller for whom bytes may be held."""

    @abc.abstractmethod
    def cut(self) -> None:
        """Ends its answer, which is incomplete."""


class SlowReaders:
    """All callers of a router for whom bytes are held."""

    def __init__(
        self, cfg: settings.SlowReaders, telemetry: telemetry_service.TelemetryService
    ) -> None:
        self._telemetry = telemetry
        self._held = held_answers.HeldAnswers(cfg.answer_bytes, cfg.total_bytes)
        self._readers: dict[held_answers.HeldAnswer, Reader] = {}
        self._cuts = 0
        self._next_log_at = 0.0

    def hold(self, reader: Reader, answer: held_answers.HeldAnswer, size: int) -> bool:
        """Returns whether further bytes may be held for a caller; may cut callers to make room.

        Args:
            reader: The caller.
            answer: What is held for it.
            size: Number of further bytes.
        """
        verdict = self._held.hold(answer, size, trio.current_time())
        for other in verdict.cut:
            self._cut(other)
        if verdict.may_hold:
            self._readers[answer] = reader
        elif answer not in verdict.cut:
            self.count(ReaderEvent.WAITED)
        self._record_total()
        return verdict.may_hold

    def release(self, answer: held_answers.HeldAnswer, size: int) -> None:
        """Records that the caller's connection has taken bytes of an answer."""
        self._held.release(answer, size)
        if not answer.size:
            self._readers.pop(answer, None)
        self._record_total()

    def drop(self, answer: held_answers.HeldAnswer) -> None:
        """Records that nothing is held of an answer any more."""
        if self._readers.pop(answer, None):
            self._held.drop(answer)
            self._record_total()

    def count(self, event: ReaderEvent) -> None:
        """Counts an event."""
        self._telemetry.count_event(event.value)

    def _cut(self, answer: held_answers.HeldAnswer) -> None:
        self.count(ReaderEvent.CUT)
        self._cuts += 1
        now = trio.current_time()
        if now >= self._next_log_at:
            self._next_log_at = now + LOG_INTERVAL_S
            _log.warning("slow_reader_cut", count=self._cuts, held_bytes=self._held.total)
        self._readers.pop(answer).cut()

    def _record_total(self) -> None:
        self._telemetry.record_held_for_readers(self._held.total)
