"""Sends data to a client, which may stop reading."""

import math

import trio

from cicadapier._internal.decisions.clients import connection_room
from cicadapier._internal.decisions.clients import unread_answer
from cicadapier._internal.protocols import client_events
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import transport

CHUNK_BYTES = 65_536


class ClientOutput:
    """The sending side of a client's connection.

    Attributes:
        stream: The stream on which it sends.
        events: Counts clients that stop reading.
        unread_timeout_s: Time after which a client that has received nothing has stopped reading.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        conn: connection_room.OpenConnection,
        events: client_events.EventSink,
    ) -> None:
        self.stream = stream
        self.events = events
        self._conn = conn
        self.unread_timeout_s = math.inf

    async def write(self, data: bytes) -> None:
        """Sends data.

        Raises:
            ConnectionLostError: The client closed the connection or stopped reading. The connection
                is of no further use.
        """
        if len(data) <= CHUNK_BYTES:
            await self._write_chunk(data)
            return
        view = memoryview(data)
        for start in range(0, len(data), CHUNK_BYTES):
            await self._write_chunk(view[start : start + CHUNK_BYTES])

    async def _write_chunk(self, data: bytes | memoryview) -> None:
        now = trio.current_time()
        self._conn.waiting_since = now
        self._conn.is_sending = True
        try:
            if isinstance(self.stream, trio.SocketStream):
                await self._send(self.stream, memoryview(data))
            else:
                with trio.fail_at(now + self.unread_timeout_s):
                    await self.stream.send_all(data)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise exceptions.ConnectionLostError("the caller closed the connection") from exc
        except trio.TooSlowError as exc:
            self.events.add(client_events.ClientEvent.ANSWER_UNREAD)
            # What the kernel holds for the client would outlive the connection otherwise.
            transport.reset_on_close(self.stream)
            raise exceptions.ConnectionLostError("the caller does not read the answer") from exc
        finally:
            self._conn.waiting_since = math.inf
            self._conn.is_sending = False

    async def _send(self, stream: trio.SocketStream, data: memoryview) -> None:
        """Sends data as long as the client receives any.

        The kernel takes further data only once much of the earlier has been received, so that a
        slow reader is told from one that has stopped by what is left to receive.

        Raises:
            TooSlowError: The client has received nothing for `unread_timeout_s`.
        """
        unread = unread_answer.UnreadAnswer()
        while data:
            with trio.move_on_after(unread.check_interval_s(self.unread_timeout_s)):
                data = data[await stream.socket.send(data) :]
                unread.record_progress()
                continue
            if unread.has_stopped(transport.unreceived_bytes(stream)):
                raise trio.TooSlowError
