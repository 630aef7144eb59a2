"""Structured log on standard output, one JSON object a line.

The log never blocks a request: lines wait in a bounded buffer, standard output is
written without blocking, and lines that do not fit are counted and dropped.
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
# Lines kept while standard output takes none.
MAX_QUEUED_LINES = 2_000
# Lines a second about single requests, and how many may come at once. Others are
# counted in the next line that is written.
REQUEST_LINES_PER_S = 100.0
REQUEST_LINES_BURST = 200.0

_ENCODER = msgspec.json.Encoder()


class LogWriter:
    """Writes log lines without blocking.

    :param clock: source of time.
    :param descriptor: file descriptor to write to.
    :ivar dropped_count: lines dropped because the output takes none.
    :ivar suppressed_count: lines about requests left out because of their rate.
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
        """Make the output non-blocking."""
        os.set_blocking(self._descriptor, False)

    def write(self, event: str, **fields: Any) -> None:
        """Write a line about a change of what the process believes.

        :param event: what happened, in a few words joined by underscores.
        :param fields: inputs and outcome.
        """
        line: dict[str, Any] = {"time": self._clock.wall().isoformat(), "event": event}
        if self.unreported_count:
            line["lines_left_out"] = self.unreported_count
            self.unreported_count = 0
        line.update(fields)
        self._enqueue(_ENCODER.encode(line) + b"\n")

    def write_request(self, event: str, is_failure: bool, **fields: Any) -> None:
        """Write a line about one request, unless there are too many.

        :param event: what happened.
        :param is_failure: a failure; half of the rate is kept for these.
        :param fields: inputs and outcome.
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
        """Write what the output takes without blocking."""
        self._flush_timer = None
        if not self._write_buffer:
            # Lines stay in the bounded queue until the earlier ones are written.
            self._write_buffer = b"".join(self._queue)
            self._queue.clear()
        try:
            written = os.write(self._descriptor, self._write_buffer)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads the log any more; requests go on.
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
            # Before and after the event loop runs, lines are written with the next.
            return
        self._flush_timer = loop.call_later(FLUSH_INTERVAL.total_seconds(), self.flush)
