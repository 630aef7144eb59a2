"""Requests that were sent to one upstream and have not finished."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from functools import partial

from celeryferry_core.durations import ZERO_DURATION
from celeryferry_core.surplus import choose_surplus
from celeryferry_daemon._internal.owner.replies import Reply
from celeryferry_daemon._internal.owner.work import Work


class WorkInFlight:
    """Work in flight at one upstream, in the order in which it was sent."""

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
        """Add a request that has just been sent.

        :param task: attempt that sends the request.
        :param on_finished: called once the attempt has ended and the request is no
            longer in flight, even if the attempt was cancelled before its first step.
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
        """Return the age of the oldest request, zero if none is in flight.

        The latencies of finished requests do not show yet that an upstream has turned
        slow, because its slow requests are still in flight.

        :param now: current monotonic time.
        """
        oldest = next(iter(self._work), None)
        return ZERO_DURATION if oldest is None else now - oldest.started_at

    def cancel_surplus(self, limit: int) -> int:
        """Cancel the most recent searches in excess of a concurrency limit.

        Run requests are not cancelled.

        :returns: number of requests cancelled.
        """
        sent = tuple(self._work)
        surplus = choose_surplus((work.is_search for work in sent), limit)
        for position in surplus:
            sent[position].task.cancel()
        return len(surplus)

    async def wait_idle(self) -> None:
        """Wait until no request is in flight; the deadlines bound the wait."""
        while self._work:
            await asyncio.wait([work.task for work in self._work])
