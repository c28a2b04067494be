"""Progress of the answer to a forwarded request, over all its attempts."""

import trio

from cicadapier._internal.decisions import event_numbering
from cicadapier._internal.decisions import routing
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import event_stream
from cicadapier._internal.protocols import forwarding


class AnswerProgress:
    """Progress of an answer.

    Attributes:
        placed: Placement of the current attempt; None before the first.
        last_event_number: Number of the last event that was taken in, and that the caller has or
            will get; None before the first.
        relayed_events: Number of events that were taken in, whether or not they are held still.
        attempt_events: Number of them that the current attempt has received.
        weights_changed: Whether an event announced other weights.
        software: Version of the software whose events the stream holds; None before the first.
        begins_stream: Whether the caller holds no event of the stream from an earlier request.
        last_progress_at: Time of trio's clock of the last progress of the current attempt.
        peer: Peer through which the last attempt was connected; None if it was direct.
    """

    def __init__(
        self,
        numbering: event_numbering.EventNumbering,
        resume_after: int | None,
        software: str | None = None,
    ) -> None:
        """Creates it.

        Args:
            numbering: How upstreams number events.
            resume_after: Number of the last event that the caller has of an earlier request.
            software: Version of the software whose events the stream holds already.
        """
        self._numbering = numbering
        self.placed: routing.Placed | None = None
        self.last_event_number = resume_after
        self.relayed_events = 0
        self.attempt_events = 0
        self.weights_changed = False
        self.software = software
        self.begins_stream = software is None
        self.last_progress_at = trio.current_time()
        self.peer: ids.VmId | None = None

    @property
    def usable_backup(self) -> ids.UpstreamId | None:
        """Upstream from whose backup the run may continue, if any.

        A run that has not produced an event is not continued, because it may have caused the crash
        of its upstream. Nor is a run whose weights have changed, because its backup then matches no
        weights version.
        """
        if self.placed is None or not self.relayed_events or self.weights_changed:
            return None
        return self.placed.backup

    def begin_attempt(self, placed: routing.Placed) -> None:
        """Records the start of an attempt."""
        self.placed = placed
        self.attempt_events = 0
        self.record_progress()

    def can_continue_at(self, placed: routing.Placed) -> bool:
        """Returns whether an upstream may add to the stream, as far as its software goes."""
        return self.software is None or placed.software == self.software

    def record_progress(self) -> None:
        """Records progress of the current attempt."""
        self.last_progress_at = trio.current_time()

    def is_next(self, event: event_stream.Event, wire_format: forwarding.ForwardingFormat) -> bool:
        """Returns whether an event is well-formed and continues the stream in its connection."""
        if not self.attempt_events:
            return self.is_continuation(event, wire_format)
        number = _read_number(event, wire_format)
        return number is not None and self._is_higher(number)

    def is_continuation(
        self, event: event_stream.Event, wire_format: forwarding.ForwardingFormat
    ) -> bool:
        """Returns whether the first event of another attempt is well-formed and goes on."""
        number = _read_number(event, wire_format)
        if number is None:
            return False
        last = self.last_event_number
        if last is None or (self.begins_stream and not self.relayed_events):
            return self._is_higher(number)
        return self._numbering.may_follow(self.software, last, number)

    def _is_higher(self, number: int) -> bool:
        return self.last_event_number is None or number > self.last_event_number

    def _record_step(self, event: event_stream.Event) -> None:
        """Records the step to an event from the one before it in the same connection."""
        if not self.attempt_events or self.placed is None:
            return
        assert event.number is not None and self.last_event_number is not None
        self._numbering.record_step(self.placed.software, event.number - self.last_event_number)

    def take_in_order(
        self, events: list[event_stream.Event], wire_format: forwarding.ForwardingFormat
    ) -> list[event_stream.Event]:
        """Counts and returns the events before the first one that is malformed or out of order."""
        accepted = []
        for event in events:
            if not self.is_next(event, wire_format):
                break
            self._record_step(event)
            self.last_event_number = event.number
            self.relayed_events += 1
            self.attempt_events += 1
            weights = wire_format.read_event_weights(event.raw)
            self.weights_changed = self.weights_changed or weights is not None
            accepted.append(event)
        if accepted and self.software is None and self.placed is not None:
            self.software = self.placed.software
        return accepted


def _read_number(event: event_stream.Event, wire_format: forwarding.ForwardingFormat) -> int | None:
    """Returns the number of an event; None if the event is malformed or has none."""
    if event.number is None or not event.is_well_formed(wire_format.event_fields):
        return None
    return event.number
