"""Structured logs in eliot JSON lines; each component writes short messages with a fixed prefix.

Lines pass through a bounded buffer and never block the process: if the reader is slow or has
closed, lines are dropped, counted and reported.
"""

import asyncio
import atexit
import os
import select
import sys
from collections import deque
from typing import Any

import orjson
from eliot import add_destinations, add_global_fields, log_message

BUFFER_BYTES = 512 * 1024
"""Limit on the buffered lines that are not written yet; further lines are dropped."""
FLUSH_DELAY_S = 0.02
"""Lines are buffered for this time, so that they are written in one system call."""
RETRY_DELAY_S = 0.2
CHUNK_BYTES = select.PIPE_BUF
"""Bytes that a pipe accepts without blocking once it polls as writable (POSIX)."""


class PartLog:
    """Writes the log lines of one component.

    Prompt text and callers' tokens must never be passed as fields.

    Attributes:
        prefix: fixed name at the start of each message, such as ``membership``.

    """

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix

    def say(self, text: str, **fields: Any) -> None:
        """Write one line with a message and structured fields."""
        log_message(message_type=f"bendshed:{self.prefix}", text=f"{self.prefix}: {text}", **fields)


class BoundedLineWriter:
    """Buffers lines for one file descriptor and writes without blocking.

    Invariant: no call waits for the reader; at most ``BUFFER_BYTES`` are buffered.

    Attributes:
        num_dropped: number of lines dropped since start.

    """

    def __init__(self, descriptor: int) -> None:
        self.num_dropped = 0
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._num_bytes = 0
        self._num_unreported = 0
        self._unwritten = b""
        self._is_closed = False
        self._flush_timer: asyncio.TimerHandle | None = None
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def __call__(self, message: dict[str, Any]) -> None:
        """Buffer one message; called by eliot, for which this is a destination."""
        line = orjson.dumps(message, default=str) + b"\n"
        if self._is_closed or self._num_bytes + len(line) > BUFFER_BYTES:
            self.num_dropped += 1
            self._num_unreported += 1
            return
        self._lines.append(line)
        self._num_bytes += len(line)
        self._schedule(FLUSH_DELAY_S)

    def _schedule(self, delay_s: float) -> None:
        if self._flush_timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._flush_timer = loop.call_later(delay_s, self.flush)

    def flush(self) -> None:
        """Write as much as is possible without blocking."""
        self._flush_timer = None
        while self._lines or self._unwritten:
            if not self._unwritten:
                self._unwritten = self._next_batch()
            if not self._write_chunk():
                break
        if (self._lines or self._unwritten) and not self._is_closed:
            self._retry_later()
        elif self._num_unreported and not self._is_closed:
            self._report_dropped()

    def _retry_later(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self._flush_timer = loop.call_later(RETRY_DELAY_S, self.flush)

    def _next_batch(self) -> bytes:
        batch = bytearray(self._lines.popleft())
        while self._lines and len(batch) + len(self._lines[0]) <= CHUNK_BYTES:
            batch += self._lines.popleft()
        return bytes(batch)

    def _write_chunk(self) -> bool:
        """Write a chunk; return ``False`` if the descriptor is not writable or is closed."""
        if not self._poll.poll(0):
            return False
        try:
            written = os.write(self._descriptor, self._unwritten[:CHUNK_BYTES])
        except OSError:
            self._close()
            return False
        self._unwritten = self._unwritten[written:]
        self._num_bytes -= written
        return True

    def _close(self) -> None:
        """Drop the buffered and all further lines, because the reader has closed."""
        self._is_closed = True
        self.num_dropped += len(self._lines) + self._unwritten.count(b"\n")
        self._lines.clear()
        self._unwritten = b""
        self._num_bytes = 0

    def _report_dropped(self) -> None:
        dropped, self._num_unreported = self._num_unreported, 0
        PartLog("logs").say(
            "lines dropped: reader too slow", dropped=dropped, in_all=self.num_dropped
        )


def log_to(descriptor: int) -> BoundedLineWriter:
    """Write the process's log to a file descriptor, one JSON object per line."""
    writer = BoundedLineWriter(descriptor)
    add_destinations(writer)
    atexit.register(writer.flush)
    return writer


def log_to_stderr() -> None:
    """Write the process's log to standard error."""
    log_to(sys.stderr.fileno())


def name_process(name: str, incarnation_id: str) -> None:
    """Add the process's name and its incarnation id (field ``life``) to every line."""
    add_global_fields(process=name, life=incarnation_id)
