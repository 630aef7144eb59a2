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

STANDARD_OUTPUT = 1
FLUSH_INTERVAL = timedelta(milliseconds=50)
# Lines kept while standard output takes none.
MAX_WAITING_LINES = 2_000
# Lines a second about single requests, and how many may come at once. Others are
# counted in the next line that is written.
REQUEST_LINES_PER_S = 100.0
REQUEST_LINES_BURST = 200.0

_ENCODER = msgspec.json.Encoder()


class LogLines:
    """Writes log lines without blocking.

    :param clock: source of time.
    :param descriptor: file descriptor to write to.
    :ivar dropped_count: lines dropped because the output takes none.
    :ivar suppressed_count: lines about requests left out because of their rate.
    """

    __slots__ = (
        "_clock",
        "_descriptor",
        "_partial",
        "_refilled_at",
        "_timer",
        "_tokens",
        "_waiting",
        "dropped_count",
        "suppressed_count",
        "unreported_count",
    )

    def __init__(self, clock: Clock, descriptor: int = STANDARD_OUTPUT) -> None:
        self._clock = clock
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._partial = b""
        self._timer: asyncio.TimerHandle | None = None
        self._tokens = REQUEST_LINES_BURST
        self._refilled_at = clock.monotonic()
        self.dropped_count = 0
        self.suppressed_count = 0
        self.unreported_count = 0

    def open(self) -> None:
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
        self._add(_ENCODER.encode(line) + b"\n")

    def write_request(self, event: str, is_urgent: bool, **fields: Any) -> None:
        """Write a line about one request, unless there are too many.

        :param event: what happened.
        :param is_urgent: a failure; half of the rate is kept for these.
        :param fields: inputs and outcome.
        """
        now = self._clock.monotonic()
        elapsed_s = (now - self._refilled_at).total_seconds()
        self._refilled_at = now
        refilled = self._tokens + elapsed_s * REQUEST_LINES_PER_S
        self._tokens = min(REQUEST_LINES_BURST, refilled)
        if self._tokens < (1 if is_urgent else REQUEST_LINES_BURST / 2):
            self.suppressed_count += 1
            self.unreported_count += 1
            return
        self._tokens -= 1
        self.write(event, **fields)

    def flush(self) -> None:
        """Write what the output takes without blocking."""
        self._timer = None
        if not self._partial:
            # Lines stay in the bounded queue until the earlier ones are written.
            self._partial = b"".join(self._waiting)
            self._waiting.clear()
        try:
            written = os.write(self._descriptor, self._partial)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads the log any more; requests go on.
            self.dropped_count += self._partial.count(b"\n")
            written = len(self._partial)
        self._partial = self._partial[written:]
        if self._partial or self._waiting:
            self._schedule()

    def _add(self, line: bytes) -> None:
        if len(self._waiting) >= MAX_WAITING_LINES:
            self.dropped_count += 1
            self.unreported_count += 1
            return
        self._waiting.append(line)
        self._schedule()

    def _schedule(self) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Before and after the event loop runs, lines are written with the next.
            return
        self._timer = loop.call_later(FLUSH_INTERVAL.total_seconds(), self.flush)
