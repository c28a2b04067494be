"""Errors of attempts at requests."""

from cicadapier._internal.decisions import progress_deadlines
from cicadapier._internal.models import outcomes
from cicadapier._internal.protocols import answers
from cicadapier._internal.services import upstream_call


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


def refused_error(
    call: upstream_call.Call, status: int, facts: answers.AnswerFacts
) -> AttemptFailedError:
    """Returns the error of an attempt that the upstream refused before it ran the request.

    Args:
        call: The request.
        status: Status of the refusal.
        facts: Metadata of the refusal.
    """
    return AttemptFailedError(
        outcomes.RefusedBeforeRunning(
            f"the upstream refused with status {status}",
            other_weights=facts.has_only_other_weights(call.upstream, call.weights),
            expected_weights=call.weights,
            served_weights=facts.weights,
        )
    )
