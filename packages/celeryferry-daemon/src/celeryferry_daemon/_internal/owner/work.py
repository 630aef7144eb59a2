"""Requests that an owner sends to its upstreams."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta

from celeryferry_core.durations import MILLISECOND
from celeryferry_core.models.outcomes import RunOutcome, SearchOutcome

SEARCH = "search"
RUN = "run"


@dataclass(slots=True, eq=False)
class Work:
    """One request to one upstream.

    :param path: ``SEARCH`` or ``RUN``.
    :param trace_id: query id or ticket, for the log.
    :param request_id: id sent to the upstream.
    :param body: JSON body for the upstream.
    :param shard: requested shard.
    :param index_version: requested index version, 0 for a run request.
    :param deadline_unix_ms: absolute deadline in milliseconds of wall-clock time.
    :param deadline: the same deadline in monotonic time.
    :param deliver: receives the outcome, exactly once.
    :ivar task: task of the attempt, None while the request is queued.
    :ivar started_at: monotonic time of the send.
    :ivar epoch: ``epoch`` of the limit at the time of the send. If the limit was reset
        after that, a success does not raise it.
    :ivar is_done: whether the outcome was delivered.
    """

    path: str
    trace_id: str
    request_id: str
    body: bytes
    shard: str
    index_version: int
    deadline_unix_ms: int
    deadline: timedelta
    deliver: Callable[[SearchOutcome | RunOutcome], None]
    task: asyncio.Task | None = None
    started_at: timedelta = timedelta(0)
    epoch: int = 0
    is_done: bool = False

    @property
    def is_search(self) -> bool:
        """Whether this is a search, which may be cancelled after it was sent.

        A run request may not, and needs a ticket.
        """
        return self.path is SEARCH


def to_monotonic(unix_ms: int, now: timedelta, wall: datetime) -> timedelta:
    """Convert a wall-clock deadline to monotonic time.

    :param unix_ms: milliseconds of wall-clock time.
    :param now: monotonic time. It must be read before ``wall``, so that a pause between
        the two reads makes the result earlier.
    :param wall: wall-clock time.
    """
    return now + (unix_ms - wall.timestamp() * 1000) * MILLISECOND
