"""Holds the events of a stream that its caller has not read yet."""

import collections.abc

import trio

from cicadapier._internal.decisions.slow_readers import held_answers
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import http_server
from cicadapier._internal.services.slow_readers import slow_readers
from cicadapier._internal.services.slow_readers import stream_output

CHUNK_BYTES = 65_536  # Written at a time of what is held.
RETRY_INTERVAL_S = 1.0  # After which an answer that may hold no more asks again.


class HeldOutput(stream_output.StreamOutput, slow_readers.Reader):
    """Writes what the caller's connection takes at once, and holds the rest within bounds.

    The relay writes only while nothing is held, and otherwise a task of the request does.
    """

    def __init__(
        self,
        readers: slow_readers.SlowReaders,
        responder: http_server.Responder,
        on_lost: collections.abc.Callable[[], None],
    ) -> None:
        """Creates it.

        Args:
            readers: All callers for whom bytes are held.
            responder: Sends the answer.
            on_lost: Called if the caller can get no more.
        """
        self._readers = readers
        self._responder = responder
        self._on_lost = on_lost
        self._answer = held_answers.HeldAnswer()
        self._buffer = bytearray()
        self._writer_scope = trio.CancelScope()
        self._written = trio.Event()
        self._failure: exceptions.ConnectionLostError | None = None
        self._was_slow = False
        self._must_end = False

    async def start(self, status: int, headers: http_client.Headers, data: bytes) -> None:
        """See `stream_output.StreamOutput.start`."""
        await self._write_or_hold(self._responder.encode_start(status, headers, data))

    async def send(self, data: bytes) -> None:
        """See `stream_output.StreamOutput.send`."""
        await self._write_or_hold(self._responder.encode_part(data))

    async def end(self) -> None:
        """See `stream_output.StreamOutput.end`."""
        if self._was_slow:
            # The upstream must not wait for the caller.
            self._must_end = True
        else:
            await self._responder.finish()

    async def deliver(self) -> None:
        """See `stream_output.StreamOutput.deliver`."""
        while self._answer.size:
            await self._written.wait()
        self.check()
        if self._must_end:
            self._must_end = False
            await self._responder.finish()

    def check(self) -> None:
        """See `stream_output.StreamOutput.check`."""
        if self._failure:
            raise self._failure

    def close(self) -> None:
        """See `stream_output.StreamOutput.close`."""
        if self._answer.size:
            self._readers.count(slow_readers.ReaderEvent.BROKEN_OFF)
        self._drop()

    def cut(self) -> None:
        """See `slow_readers.Reader.cut`."""
        self._fail(exceptions.ConnectionLostError("too much is held for callers that read slowly"))
        self._drop()

    async def _write_or_hold(self, data: bytes) -> None:
        """Passes data to the caller's connection, or holds what that does not take."""
        while True:
            self.check()
            if not self._answer.size:
                data = data[self._responder.write_now(data) :]
                if not data:
                    return
                self._was_slow = True
            if self._readers.hold(self, self._answer, len(data)):
                self._hold(data)
                return
            self.check()
            if not self._answer.size:
                await self._responder.write(data)
                return
            with trio.move_on_after(RETRY_INTERVAL_S):
                await self._written.wait()

    def _hold(self, data: bytes) -> None:
        is_writing = len(data) < self._answer.size
        self._buffer += data
        if not is_writing:
            self._writer_scope = trio.CancelScope()
            self._responder.start_task(self._write_held)

    async def _write_held(self) -> None:
        """Writes what is held, until nothing is."""
        with self._writer_scope:
            try:
                while self._buffer:
                    await self._write_chunk()
            except exceptions.ConnectionLostError as exc:
                self._readers.count(slow_readers.ReaderEvent.LOST)
                self._fail(exc)
                self._drop()

    async def _write_chunk(self) -> None:
        chunk = bytes(self._buffer[:CHUNK_BYTES])
        del self._buffer[:CHUNK_BYTES]
        await self._responder.write(chunk)
        self._readers.release(self._answer, len(chunk))
        self._notify()

    def _fail(self, exc: exceptions.ConnectionLostError) -> None:
        self._failure = exc
        self._on_lost()

    def _drop(self) -> None:
        self._readers.drop(self._answer)
        self._buffer.clear()
        self._writer_scope.cancel()
        self._notify()

    def _notify(self) -> None:
        """Wakes up who waits for the caller."""
        self._written.set()
        self._written = trio.Event()
