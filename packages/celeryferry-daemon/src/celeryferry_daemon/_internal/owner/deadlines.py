"""Deadlines of the requests to one upstream, with one timer for all of them."""

import asyncio


class Deadlines:
    """Cancels tasks when their deadlines pass.

    ``asyncio.timeout`` sets and cancels a timer for each request, which took 7 % of the
    processor time of a request. Here one timer serves all requests. It stays set when
    a request ends, and is set to the next deadline when it fires.
    """

    __slots__ = ("_end_times", "_loop", "_timer")

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._end_times: dict[asyncio.Task, float] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(self, task: asyncio.Task, seconds: float) -> None:
        """Cancel a task after a time, unless it is removed before.

        :param task: running task.
        :param seconds: time until the cancellation.
        """
        end = self._loop.time() + seconds
        self._end_times[task] = end
        if self._timer is None or end < self._timer.when():
            self._set_timer(end)

    def remove(self, task: asyncio.Task) -> bool:
        """Remove a task.

        :returns: False if the task is unknown, which means that its deadline passed
            and it was cancelled, or that it was removed before.
        """
        return self._end_times.pop(task, None) is not None

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _set_timer(self, end: float) -> None:
        self.close()
        self._timer = self._loop.call_at(end, self._cancel_expired)

    def _cancel_expired(self) -> None:
        self._timer = None
        now = self._loop.time()
        for task, end in list(self._end_times.items()):
            if end <= now:
                del self._end_times[task]
                task.cancel()
        if self._end_times:
            self._set_timer(min(self._end_times.values()))
