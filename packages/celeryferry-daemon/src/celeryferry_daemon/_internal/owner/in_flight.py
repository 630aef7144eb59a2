"""Requests sent to one upstream and not finished."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from functools import partial

from celeryferry_core.durations import ZERO_DURATION
from celeryferry_core.surplus import choose_surplus
from celeryferry_daemon._internal.owner.replies import Reply
from celeryferry_daemon._internal.owner.work import Work


class WorkInFlight:
    """Work in flight, in the order in which it was sent."""

    __slots__ = ("_work",)

    def __init__(self) -> None:
        self._work: dict[Work, None] = {}

    def __len__(self) -> int:
        return len(self._work)

    def add(
        self,
        work: Work,
        task: "asyncio.Task[Reply]",
        on_finished: Callable[[Work, "asyncio.Task[Reply]"], None],
    ) -> None:
        """Add a request.

        :param work: the request.
        :param task: its attempt.
        :param on_finished: called once the attempt has ended and the request is no
            longer in flight, also if the attempt was cancelled before its first step.
        """
        work.task = task
        self._work[work] = None
        task.add_done_callback(partial(self._remove, work, on_finished))

    def _remove(
        self,
        work: Work,
        on_finished: Callable[[Work, "asyncio.Task[Reply]"], None],
        task: "asyncio.Task[Reply]",
    ) -> None:
        del self._work[work]
        on_finished(work, task)

    def oldest_age(self, now: timedelta) -> timedelta:
        """Return the age of the oldest request, zero without any.

        An upstream that has turned slow has not finished the work that would show it.

        :param now: present monotonic time.
        """
        oldest = next(iter(self._work), None)
        return ZERO_DURATION if oldest is None else now - oldest.started_at

    def cancel_surplus(self, limit: int) -> int:
        """Cancel the latest searches beyond a limit.

        :param limit: concurrency limit.
        :returns: number of requests cancelled.
        """
        sent = tuple(self._work)
        surplus = choose_surplus((work.is_search for work in sent), limit)
        for position in surplus:
            sent[position].task.cancel()
        return len(surplus)

    async def wait_idle(self) -> None:
        """Wait for all requests, which have deadlines."""
        while self._work:
            await asyncio.wait([work.task for work in self._work])
