"""Lets requests that were sent ahead wait until they may be at work."""

import collections.abc
import math

import trio

from cicadapier._internal.decisions.clients import connection_room
from cicadapier._internal.decisions.clients import pace
from cicadapier._internal.decisions.clients import turns
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import client_events

AHEAD_BURST = 64  # Requests sent ahead that begin without a pace.
_CHECK_INTERVAL_S = 1.0


class RequestTurns:
    """The turns of all connections of a listener."""

    def __init__(
        self,
        events: client_events.EventSink,
        max_connections: collections.abc.Callable[[], int],
        end_unresponsive: collections.abc.Callable[[], None],
    ) -> None:
        """Creates it.

        Args:
            events: Counts requests that wait.
            max_connections: Returns how many connections may be open.
            end_unresponsive: Ends the connections that have turns and whose clients neither read
                nor send.
        """
        self._events = events
        self._max_connections = max_connections
        self._end_unresponsive = end_unresponsive
        self._turns = turns.Turns()
        self._pace = pace.Pace(AHEAD_BURST)
        self._next_check_at = -math.inf
        self._begun: dict[turns.Turn, trio.Event] = {}

    def open(self, conn: connection_room.OpenConnection) -> "ConnectionTurn":
        """Returns the turn of a new connection, which has none yet."""
        return ConnectionTurn(self, conn)

    async def take(
        self, conn: connection_room.OpenConnection, limits: settings.CallerLimits
    ) -> turns.Turn:
        """Waits until a request may be at work; returns its turn."""
        turn = self._turns.open(conn.has_paused, conn.begun_ahead)
        self._begun[turn] = trio.Event()
        try:
            self._begin_waiting(limits)
            if not turn.is_at_work:
                self._note_delay(conn)
                await self._wait_to_begin(turn)
            begins_at = self._pace.reserve(trio.current_time(), limits.ahead_requests_per_s)
            if begins_at > trio.current_time():
                self._note_delay(conn)
                await trio.sleep_until(begins_at)
        except BaseException:
            self.release(turn, limits)
            raise
        finally:
            conn.is_delayed = False
        conn.begun_ahead += 1
        return turn

    def release(self, turn: turns.Turn, limits: settings.CallerLimits) -> None:
        """Records that a request is answered or given up."""
        self._begun.pop(turn, None)
        self._turns.close(turn)
        self._begin_waiting(limits)

    def _note_delay(self, conn: connection_room.OpenConnection) -> None:
        if not conn.is_delayed:
            self._events.add(client_events.ClientEvent.REQUEST_DELAYED)
        conn.is_delayed = True

    async def _wait_to_begin(self, turn: turns.Turn) -> None:
        while not turn.is_at_work:
            with trio.move_on_after(_CHECK_INTERVAL_S):
                await self._begun[turn].wait()
                return
            self._check_turns()

    def _check_turns(self) -> None:
        now = trio.current_time()
        if now >= self._next_check_at:
            self._next_check_at = now + _CHECK_INTERVAL_S
            self._end_unresponsive()

    def _begin_waiting(self, limits: settings.CallerLimits) -> None:
        # Half of the connections stay free for clients that do not send ahead.
        limit = min(limits.ahead_requests, max(1, self._max_connections() // 2))
        while turn := self._turns.begin_next(limit):
            self._begun[turn].set()


class ConnectionTurn:
    """The turn of the request that is handled on one connection."""

    def __init__(self, request_turns: RequestTurns, conn: connection_room.OpenConnection) -> None:
        self._request_turns = request_turns
        self._conn = conn
        self._taken: tuple[turns.Turn, settings.CallerLimits] | None = None

    async def take(self, limits: settings.CallerLimits) -> None:
        """Waits until a request that was sent ahead may be at work, unless it has a turn."""
        if self._taken is None:
            self._taken = await self._request_turns.take(self._conn, limits), limits
            self._conn.has_turn = True

    def release(self) -> None:
        """Records that the request is answered or given up; may be called twice."""
        if self._taken is not None:
            self._request_turns.release(*self._taken)
            self._taken = None
            self._conn.has_turn = False

    def note_pause(self) -> None:
        """Records that the client has sent nothing beyond the request that was answered."""
        self._conn.has_paused = True
        self._conn.begun_ahead = 0
