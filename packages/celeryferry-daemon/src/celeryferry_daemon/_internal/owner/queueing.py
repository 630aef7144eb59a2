"""Queue of work for one upstream, and the timers that check it again."""

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from celeryferry_core.durations import ZERO_DURATION
from celeryferry_core.limits import UpstreamLimit
from celeryferry_core.models.outcomes import NotRun
from celeryferry_daemon._internal.owner.recorder import OutcomeRecorder
from celeryferry_daemon._internal.owner.work import Work

# While work is queued, its deadlines are checked at this interval.
CHECK_INTERVAL = timedelta(milliseconds=25)


class WorkQueue:
    """Work that waits until the concurrency limit of its upstream allows the send.

    :param limit: concurrency limit of the upstream.
    :param recorder: records and delivers outcomes.
    :param on_resume: called when requests may be sent to the upstream again, that is,
        at ``resume_at`` of its status.
    :param on_check_due: called ``CHECK_INTERVAL`` after a call of :meth:`schedule`;
        further calls before that do not change the time.
    """

    __slots__ = (
        "_limit",
        "_loop",
        "_on_resume",
        "_on_check_due",
        "_resume_timer",
        "_recorder",
        "_check_timer",
        "_work",
    )

    def __init__(
        self,
        limit: UpstreamLimit,
        recorder: OutcomeRecorder,
        on_resume: Callable[[], None],
        on_check_due: Callable[[], None],
    ) -> None:
        self._limit = limit
        self._recorder = recorder
        self._on_resume = on_resume
        self._on_check_due = on_check_due
        self._work: deque[Work] = deque()
        self._loop = asyncio.get_running_loop()
        self._resume_timer: asyncio.TimerHandle | None = None
        self._check_timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._work)

    def append(self, work: Work) -> None:
        """Add work at the end."""
        self._work.append(work)

    def pop(self) -> Work:
        """Remove and return the first work."""
        return self._work.popleft()

    def remove(self, work: Work) -> None:
        """Remove queued work without delivering an outcome, as after a disconnect."""
        self._work.remove(work)

    def shed(self, now: timedelta, in_flight: int) -> None:
        """Refuse the queued work that cannot finish before its deadline.

        :param now: current monotonic time.
        :param in_flight: number of requests that were sent and have not finished.
        """
        waiting, self._work = self._work, deque()
        for work in waiting:
            refusal = self._limit.check_admission(
                now, in_flight, len(self._work), work.deadline - now
            )
            if refusal is None:
                self._work.append(work)
            else:
                self._recorder.complete(work, refusal)

    def refuse_all(self, refusal: NotRun) -> None:
        """Empty the queue and refuse all work in it with the same reason."""
        waiting, self._work = self._work, deque()
        for work in waiting:
            self._recorder.complete(work, refusal)

    def schedule(self, now: timedelta) -> None:
        """Set the timers that check the queue again.

        :param now: current monotonic time.
        """
        if self._check_timer is None:
            delay = CHECK_INTERVAL.total_seconds()
            self._check_timer = self._loop.call_later(delay, self._run_check)
        pause = self._limit.status.resume_at - now
        if pause > ZERO_DURATION:
            if self._resume_timer is not None:
                self._resume_timer.cancel()
            delay = pause.total_seconds()
            self._resume_timer = self._loop.call_later(delay, self._on_resume)

    def close(self) -> None:
        """Cancel the timers."""
        for handle in (self._resume_timer, self._check_timer):
            if handle is not None:
                handle.cancel()

    def _run_check(self) -> None:
        self._check_timer = None
        self._on_check_due()
