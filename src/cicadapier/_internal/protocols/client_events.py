"""What a listener does about clients that keep no limits, for metrics and logs."""

import collections.abc
import enum

import structlog
import trio

LOG_INTERVAL_S = 10.0

_log = structlog.get_logger()


class ClientEvent(enum.Enum):
    """A measure against a client that keeps no limits.

    Attributes:
        CONNECTION_REFUSED: A new connection was closed, as there is no room for it.
        CONNECTION_REPLACED: A connection was closed to make room for a new one.
        CONNECTION_ENDED: A connection was closed whose client sends ahead and then neither reads
            nor sends on, while others wait for their turn.
        BODY_REFUSED: A request that was sent ahead was refused while it waited for its turn, as its
            body takes room that others need.
        ANSWER_UNREAD: A connection was closed because its client did not read the answer.
        READING_PAUSED: No more is read from a client that has sent much ahead.
        REQUEST_DELAYED: A request that was sent ahead waits for its turn.
        PEER_CONNECTION_REPLACED: A connection to the peers' listener was closed to make room for a
            new one.
        CONNECTION_FAILED: A connection was closed because of an error of the router.
    """

    CONNECTION_REFUSED = "client_connection_refused"
    CONNECTION_REPLACED = "client_connection_replaced"
    CONNECTION_ENDED = "client_connection_ended"
    BODY_REFUSED = "client_body_refused"
    ANSWER_UNREAD = "client_answer_unread"
    READING_PAUSED = "client_reading_paused"
    REQUEST_DELAYED = "client_request_delayed"
    PEER_CONNECTION_REPLACED = "peer_connection_replaced"
    CONNECTION_FAILED = "client_connection_failed"


class EventSink:
    """Counts the events of a listener and logs each kind at most once in an interval."""

    def __init__(self, count: collections.abc.Callable[[str], None]) -> None:
        """Creates it.

        Args:
            count: Called with the name of each event.
        """
        self._count = count
        self._counts = dict.fromkeys(ClientEvent, 0)
        self._next_log_at = dict.fromkeys(ClientEvent, 0.0)

    def add(self, event: ClientEvent) -> None:
        """Counts an event."""
        self._count(event.value)
        self._counts[event] += 1
        now = trio.current_time()
        if now >= self._next_log_at[event]:
            self._next_log_at[event] = now + LOG_INTERVAL_S
            _log.warning("client_limited", kind=event.value, count=self._counts[event])
