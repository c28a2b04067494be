"""Which answers may hold further bytes for their callers, and which callers are cut.

Load pattern: a crowd of callers reads its streams slowly, or stops reading, beside callers that
read at once. The sum of what is held stays bounded. Beyond the bound, the answer that holds the
most is cut, so that few callers lose their answers; one that is read at once never is.
"""

import dataclasses
import math

MIN_CUT_AGE_S = 1.0  # Time for which an answer holds bytes before it may be cut.


@dataclasses.dataclass(eq=False, slots=True)
class HeldAnswer:
    """What is held of one answer.

    Attributes:
        size: Number of bytes that are held.
        held_since: Time since when there are any; infinite if there are none.
    """

    size: int = 0
    held_since: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Whether an answer may hold further bytes.

    Attributes:
        may_hold: Whether it may; otherwise its upstream has to wait.
        cut: Answers that are cut to make room, maybe the one that asked.
    """

    may_hold: bool
    cut: tuple[HeldAnswer, ...] = ()


class HeldAnswers:
    """The answers of a process that hold bytes.

    Attributes:
        total: Number of bytes that they hold together.
    """

    def __init__(self, answer_bytes: int, total_bytes: int) -> None:
        """Creates it.

        Args:
            answer_bytes: Number of bytes that one answer may hold. An answer that holds nothing may
                hold a larger part.
            total_bytes: Number of bytes that all answers may hold.
        """
        self._answer_bytes = answer_bytes
        self._total_bytes = total_bytes
        self._answers: dict[HeldAnswer, None] = {}
        self.total = 0

    def hold(self, answer: HeldAnswer, size: int, now: float) -> Verdict:
        """Decides whether an answer may hold further bytes, and records them if it may."""
        if answer.size and answer.size + size > self._answer_bytes:
            return Verdict(may_hold=False)
        cut = self._find_cuts(self.total + size - self._total_bytes, now)
        if cut is None:
            return Verdict(may_hold=False)
        for other in cut:
            self.drop(other)
        if answer in cut:
            return Verdict(may_hold=False, cut=cut)
        if not answer.size:
            answer.held_since = now
        self._answers[answer] = None
        answer.size += size
        self.total += size
        return Verdict(may_hold=True, cut=cut)

    def release(self, answer: HeldAnswer, size: int) -> None:
        """Records that the caller's connection has taken bytes of an answer."""
        if answer not in self._answers:
            return
        if size >= answer.size:
            self.drop(answer)
            return
        answer.size -= size
        self.total -= size

    def drop(self, answer: HeldAnswer) -> None:
        """Records that an answer holds nothing any more."""
        if answer in self._answers:
            del self._answers[answer]
            self.total -= answer.size
            answer.size = 0
            answer.held_since = math.inf

    def _find_cuts(self, excess: int, now: float) -> tuple[HeldAnswer, ...] | None:
        """Returns the largest answers whose bytes make up for an excess; None if too few do."""
        if excess <= 0:
            return ()
        cut = []
        held_before = now - MIN_CUT_AGE_S
        slow = [answer for answer in self._answers if answer.held_since <= held_before]
        for answer in sorted(slow, key=lambda item: item.size, reverse=True):
            cut.append(answer)
            excess -= answer.size
            if excess <= 0:
                return tuple(cut)
        return None
