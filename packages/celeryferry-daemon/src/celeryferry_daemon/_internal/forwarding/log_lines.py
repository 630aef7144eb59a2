"""Structured log on standard output, one JSON object per line.

Writing a line never blocks a request. Lines are queued up to a limit and written to
non-blocking standard output. Lines that do not fit in the queue are counted and
dropped.
"""

import asyncio
import os
from collections import deque
from datetime import timedelta
from typing import Any

import msgspec

from celeryferry_core.environment import Clock

STDOUT_DESCRIPTOR = 1
FLUSH_INTERVAL = timedelta(milliseconds=50)
# Lines queued while standard output can't be written. Further lines are dropped.
MAX_QUEUED_LINES = 2_000
# Rate limit (token bucket) on lines about single requests: lines per second, and the
# size of a burst. The next line that is written reports how many were left out.
REQUEST_LINES_PER_S = 100.0
REQUEST_LINES_BURST = 200.0

_ENCODER = msgspec.json.Encoder()


class LogWriter:
    """Writes log lines without blocking.

    :param descriptor: file descriptor to write to.
    :ivar dropped_count: lines dropped because the queue was full or the output closed.
    :ivar suppressed_count: lines about requests left out by the rate limit.
    :ivar unreported_count: lines that the rate limit or the full queue left out since a
        line last stated their number. That line may itself be dropped. Lines dropped
        because the output closed are not counted here.
    """

    __slots__ = (
        "_clock",
        "_descriptor",
        "_write_buffer",
        "_refilled_at",
        "_flush_timer",
        "_tokens",
        "_queue",
        "dropped_count",
        "suppressed_count",
        "unreported_count",
    )

    def __init__(self, clock: Clock, descriptor: int = STDOUT_DESCRIPTOR) -> None:
        self._clock = clock
        self._descriptor = descriptor
        self._queue: deque[bytes] = deque()
        self._write_buffer = b""
        self._flush_timer: asyncio.TimerHandle | None = None
        self._tokens = REQUEST_LINES_BURST
        self._refilled_at = clock.monotonic()
        self.dropped_count = 0
        self.suppressed_count = 0
        self.unreported_count = 0

    def make_non_blocking(self) -> None:
        """Make the output descriptor non-blocking."""
        os.set_blocking(self._descriptor, False)

    def write(self, event: str, **fields: Any) -> None:
        """Queue a line.

        :param event: name of the event, words joined by underscores.
        :param fields: values that msgspec can encode as JSON.
        """
        line: dict[str, Any] = {"time": self._clock.wall().isoformat(), "event": event}
        if self.unreported_count:
            line["lines_left_out"] = self.unreported_count
            self.unreported_count = 0
        line.update(fields)
        self._enqueue(_ENCODER.encode(line) + b"\n")

    def write_request(self, event: str, is_failure: bool, **fields: Any) -> None:
        """Queue a line about one request, unless the rate limit is exceeded.

        :param event: name of the event, words joined by underscores.
        :param is_failure: whether the line reports a failure. Half of the burst is
            reserved for failures.
        :param fields: values that msgspec can encode as JSON.
        """
        now = self._clock.monotonic()
        elapsed_s = (now - self._refilled_at).total_seconds()
        self._refilled_at = now
        refilled = self._tokens + elapsed_s * REQUEST_LINES_PER_S
        self._tokens = min(REQUEST_LINES_BURST, refilled)
        if self._tokens < (1 if is_failure else REQUEST_LINES_BURST / 2):
            self.suppressed_count += 1
            self.unreported_count += 1
            return
        self._tokens -= 1
        self.write(event, **fields)

    def flush(self) -> None:
        """Write as many bytes of the queued lines as the output accepts at once."""
        self._flush_timer = None
        if not self._write_buffer:
            # New lines stay in the queue until the buffer is written completely, so
            # MAX_QUEUED_LINES bounds the memory of both.
            self._write_buffer = b"".join(self._queue)
            self._queue.clear()
        try:
            written = os.write(self._descriptor, self._write_buffer)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader of the log is gone. Drop the lines; requests continue.
            self.dropped_count += self._write_buffer.count(b"\n")
            written = len(self._write_buffer)
        self._write_buffer = self._write_buffer[written:]
        if self._write_buffer or self._queue:
            self._schedule_flush()

    def _enqueue(self, line: bytes) -> None:
        if len(self._queue) >= MAX_QUEUED_LINES:
            self.dropped_count += 1
            self.unreported_count += 1
            return
        self._queue.append(line)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if self._flush_timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Without a running event loop the line is written by the next flush.
            return
        self._flush_timer = loop.call_later(FLUSH_INTERVAL.total_seconds(), self.flush)
