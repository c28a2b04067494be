"""How far the answer to a forwarded request has come, over all attempts."""

import trio

from cicadapier._internal.decisions import routing
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import event_stream
from cicadapier._internal.protocols import forwarding


class AnswerProgress:
    """How far an answer has come.

    Attributes:
        placed: Where its present attempt is, None before the first.
        last_event_number: Number of the last event that its caller has, None before any.
        relayed_events: Events that were relayed.
        weights_changed: Whether an event told of other weights.
        last_progress_at: Time of trio's clock at which the present attempt last showed progress.
    """

    def __init__(self, resume_after: int | None) -> None:
        self.placed: routing.Placed | None = None
        self.last_event_number = resume_after
        self.relayed_events = 0
        self.weights_changed = False
        self.last_progress_at = trio.current_time()

    @property
    def usable_backup(self) -> ids.UpstreamId | None:
        """Upstream from whose backup the run may go on, if any.

        A run without an event may be what made its upstream crash, and one whose weights have
        changed has a backup that no weights fit.
        """
        if self.placed is None or not self.relayed_events or self.weights_changed:
            return None
        return self.placed.backup

    def begin_attempt(self, placed: routing.Placed) -> None:
        """Notes that an attempt begins."""
        self.placed = placed
        self.record_progress()

    def record_progress(self) -> None:
        """Notes progress of the present attempt."""
        self.last_progress_at = trio.current_time()

    def take_in_order(
        self, events: list[event_stream.Event], wire_format: forwarding.ForwardFormat
    ) -> list[event_stream.Event]:
        """Returns the events up to the first that does not follow, and counts them as relayed."""
        accepted = []
        for event in events:
            if event.number is None:
                break
            if self.last_event_number is not None and event.number != self.last_event_number + 1:
                break
            self.last_event_number = event.number
            self.relayed_events += 1
            weights = wire_format.event_weights(event.raw)
            self.weights_changed = self.weights_changed or weights is not None
            accepted.append(event)
        return accepted
