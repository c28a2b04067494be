"""Errors of attempts at requests."""

from cicadapier._internal.decisions import progress_deadlines
from cicadapier._internal.models import outcomes


class AttemptFailedError(Exception):
    """The attempt ended before its answer was complete.

    Attributes:
        outcome: Outcome of the attempt.
    """

    def __init__(self, outcome: outcomes.AttemptOutcome) -> None:
        super().__init__(getattr(outcome, "reason", ""))
        self.outcome = outcome


def too_large_error(offset: int) -> AttemptFailedError:
    """Returns the error of an attempt whose answer exceeds the bound.

    Args:
        offset: Tokens that were relayed to the caller.
    """
    reason = f"the answer exceeds {progress_deadlines.MAX_ANSWER_BYTES} bytes"
    return AttemptFailedError(outcomes.Broken(reason, offset, crashed=False))
