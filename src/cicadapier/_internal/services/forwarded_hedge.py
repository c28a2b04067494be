"""Receives as much of a hedge's answer as is needed before it may replace a silent attempt.

The silent attempt cannot be taken up again once it is replaced, and the head of an answer does not
show that anything follows it.
"""

from cicadapier._internal.models import outcomes
from cicadapier._internal.protocols import event_stream
from cicadapier._internal.protocols import forwarding
from cicadapier._internal.services import attempt_errors
from cicadapier._internal.services import attempts
from cicadapier._internal.services import forwarded_progress


async def receive_event(
    attempt: attempts.Attempt,
    progress: forwarded_progress.AnswerProgress,
    wire_format: forwarding.ForwardingFormat,
    timeout_s: float,
) -> None:
    """Receives the first event of a stream, or its end if no event is left.

    Args:
        attempt: The hedge, after the head of its answer.
        progress: Progress of the stream that it continues.
        wire_format: Format of the stream.
        timeout_s: Timeout for the event.

    Raises:
        AttemptFailedError: The answer does not continue the stream.
    """
    splitter = event_stream.Splitter()
    events: list[event_stream.Event] = []

    def has_event(part: bytes) -> bool:
        events.extend(splitter.feed(part))
        return bool(events) or splitter.is_overlong

    await attempt.receive_ahead(has_event, timeout_s, progress.relayed_events)
    continues = progress.is_continuation(events[0], wire_format) if events else not splitter.rest
    if not continues:
        reason = "the answer does not continue the stream"
        raise attempt_errors.AttemptFailedError(
            outcomes.Broken(reason, progress.relayed_events, crashed=False)
        )


async def receive_whole(
    attempt: attempts.Attempt, progress: forwarded_progress.AnswerProgress, timeout_s: float
) -> None:
    """Receives an answer that is no stream to its end.

    Args:
        attempt: The hedge, after the head of its answer.
        progress: Progress of the answer.
        timeout_s: Timeout for the whole body.

    Raises:
        AttemptFailedError: The answer was interrupted or is too large.
    """
    await attempt.receive_ahead(lambda part: False, timeout_s, progress.relayed_events)
