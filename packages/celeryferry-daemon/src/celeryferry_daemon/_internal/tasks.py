"""Set of background tasks that are cancelled together."""

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta

import logbook

_logger = logbook.Logger("celeryferry")


RESTART_DELAY = timedelta(milliseconds=500)


async def _run_with_restarts(run: Callable[[], Coroutine], name: str) -> None:
    while True:
        try:
            await run()
            return
        except Exception:
            _logger.exception("task {} failed; restarting it", name)
            await asyncio.sleep(RESTART_DELAY.total_seconds())


class TaskSet:
    """Holds references to running tasks and logs their failures."""

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def spawn(self, work: Coroutine, name: str) -> asyncio.Task:
        """Start a task; if it fails, the failure is logged.

        :param work: coroutine to run.
        :param name: name of the task in the log.
        """
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)
        return task

    def spawn_restarting(self, run: Callable[[], Coroutine], name: str) -> asyncio.Task:
        """Start a task that is restarted after ``RESTART_DELAY`` if it fails.

        :param run: returns the coroutine to run; called for each start.
        :param name: name of the task in the log.
        """
        return self.spawn(_run_with_restarts(run, name), name)

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _handle_task_end(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _logger.error("task {} failed: {!r}", task.get_name(), task.exception())
