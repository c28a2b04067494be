"""Configures structured logging: JSON lines, limited in rate and written without blocking."""

import collections
import collections.abc
import logging
import os
import sys
import time
from typing import Any

import msgspec
import structlog

from cicadapier._internal.models import settings

MAX_LINES_PER_S = 180
# Further lines per second, which only warnings and errors may use.
URGENT_RESERVE_LINES_PER_S = 15
MAX_BUFFERED_BYTES = 1_048_576
WRITE_CHUNK_BYTES = 65_536

_LEVELS = {
    settings.LogLevel.DEBUG: logging.DEBUG,
    settings.LogLevel.INFO: logging.INFO,
    settings.LogLevel.WARNING: logging.WARNING,
    settings.LogLevel.ERROR: logging.ERROR,
}


class LineWriter:
    """Writes lines to a non-blocking file descriptor, at a limited rate.

    Lines over the limit per second are dropped, and so are lines that do not fit into the buffer
    because the reader is slow. The number of dropped lines is logged in the next second.

    Args:
        fd: File descriptor, which should be non-blocking.
        clock: Monotonic clock in seconds.
    """

    def __init__(self, fd: int, clock: collections.abc.Callable[[], float]) -> None:
        self._fd = fd
        self._clock = clock
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._current_second = 0
        self._lines_this_second = 0
        self._dropped_lines = 0

    def add(self, line: str, urgent: bool) -> None:
        """Adds a line to the buffer, or drops it.

        Args:
            line: Line without its line break.
            urgent: Whether the line may use the reserve for warnings and errors.
        """
        self._update_current_second()
        limit = MAX_LINES_PER_S + (URGENT_RESERVE_LINES_PER_S if urgent else 0)
        encoded = line.encode() + b"\n"
        if (
            self._lines_this_second >= limit
            or self._buffered_bytes + len(encoded) > MAX_BUFFERED_BYTES
        ):
            self._dropped_lines += 1
            return
        self._lines_this_second += 1
        self._append(encoded)

    def flush(self) -> None:
        """Writes as many buffered lines as the file descriptor accepts without blocking."""
        self._update_current_second()
        while self._lines:
            data = self._take_chunk()
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has closed its end, so the buffered lines are discarded.
                self._lines.clear()
                self._buffered_bytes = 0
                return
            if written < len(data):
                self._lines.appendleft(data[written:])
                self._buffered_bytes += len(data) - written
                return

    def _take_chunk(self) -> bytes:
        lines = []
        chunk_bytes = 0
        while self._lines and chunk_bytes < WRITE_CHUNK_BYTES:
            encoded = self._lines.popleft()
            lines.append(encoded)
            chunk_bytes += len(encoded)
        self._buffered_bytes -= chunk_bytes
        return b"".join(lines)

    def _append(self, encoded: bytes) -> None:
        self._lines.append(encoded)
        self._buffered_bytes += len(encoded)

    def _update_current_second(self) -> None:
        current_second = int(self._clock())
        if current_second == self._current_second:
            return
        self._current_second = current_second
        self._lines_this_second = 0
        if self._dropped_lines:
            line = {"event": "log_lines_dropped", "level": "warning", "count": self._dropped_lines}
            self._dropped_lines = 0
            self._append(msgspec.json.encode(line) + b"\n")


class _LineLogger:
    """Logger that structlog calls with each rendered line."""

    def __init__(self, writer: LineWriter) -> None:
        self._writer = writer

    def _add(self, line: str) -> None:
        self._writer.add(line, urgent=False)

    def _add_urgent(self, line: str) -> None:
        self._writer.add(line, urgent=True)
        self._writer.flush()

    msg = debug = info = _add
    warning = warn = error = exception = critical = fatal = failure = _add_urgent


def configure_stdout(level: settings.LogLevel) -> LineWriter:
    """Logs JSON lines of at least the given severity to standard output.

    Writes do not block, except to a terminal.

    Returns:
        The writer, whose `flush` must be called periodically and before the process exits.
    """
    fd = sys.stdout.fileno()
    if not os.isatty(fd):
        os.set_blocking(fd, False)
    writer = LineWriter(fd, time.monotonic)
    _configure_structlog(level, lambda *_: _LineLogger(writer))
    return writer


def configure_stderr(level: settings.LogLevel) -> None:
    """Logs JSON lines to standard error, for commands that print results to standard output."""
    _configure_structlog(level, structlog.PrintLoggerFactory(sys.stderr))


def _configure_structlog(
    level: settings.LogLevel, factory: collections.abc.Callable[..., Any]
) -> None:
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=_encode),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(_LEVELS[level]),
        logger_factory=factory,
        cache_logger_on_first_use=False,
    )


def _encode(value: object, **_: object) -> str:
    return msgspec.json.encode(value, enc_hook=str).decode()
