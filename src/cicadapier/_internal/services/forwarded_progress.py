"""How far the answer to a forwarded request has come, over all attempts."""

import trio

from cicadapier._internal.decisions import routing
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import event_stream
from cicadapier._internal.protocols import forwarding


class Progress:
    """How far an answer has come.

    Attributes:
        placed: Where its present attempt is, None before the first.
        last_event: Number of the last event that its caller has, None before any.
        relayed: Events that were relayed.
        weights_changed: Whether an event told of other weights.
        moved_at: Time of trio's clock at which the present attempt last showed progress.
    """

    def __init__(self, resume_after: int | None) -> None:
        self.placed: routing.Placed | None = None
        self.last_event = resume_after
        self.relayed = 0
        self.weights_changed = False
        self.moved_at = trio.current_time()

    @property
    def backup(self) -> ids.UpstreamId | None:
        """Upstream from whose backup the run may go on, if any.

        A run without an event may be what made its upstream crash, and one whose weights have
        changed has a backup that no weights fit.
        """
        if self.placed is None or not self.relayed or self.weights_changed:
            return None
        return self.placed.backup

    def begin(self, placed: routing.Placed) -> None:
        """Notes that an attempt begins."""
        self.placed = placed
        self.moved()

    def moved(self) -> None:
        """Notes progress of the present attempt."""
        self.moved_at = trio.current_time()

    def in_order(
        self, events: list[event_stream.Event], wire_format: forwarding.ForwardFormat
    ) -> list[event_stream.Event]:
        """Returns the events up to the first that does not follow, and counts them as relayed."""
        good = []
        for event in events:
            if event.number is None:
                break
            if self.last_event is not None and event.number != self.last_event + 1:
                break
            self.last_event = event.number
            self.relayed += 1
            told = wire_format.event_weights(event.raw)
            self.weights_changed = self.weights_changed or told is not None
            good.append(event)
        return good
