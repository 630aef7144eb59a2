"""Asks upstreams whose process is not known, once for all requests that wait."""

import asyncio
from collections.abc import Awaitable, Callable, Collection, Mapping
from datetime import timedelta

from celeryferry_core.environment import Clock
from celeryferry_core.forwarding.models import Upstream
from celeryferry_core.forwarding.processes import (
    ContactTimes,
    DoubtCause,
    Known,
    ProcessIdentity,
    ProcessObservations,
    Unknown,
)
from celeryferry_daemon._internal.forwarding.inquiry import Inquiry, TrustingInquiry

# An upstream answers as soon as it has a free slot.
QUESTION_TIMEOUT = timedelta(seconds=1)
# Time between two questions to an upstream that did not answer.
QUESTION_INTERVAL = timedelta(milliseconds=100)


class ProcessQuestions:
    """Tells whether new connections to upstreams reach the known processes.

    :param ask: opens a connection to an upstream and asks on it; returns whether the
        answer settles the question.
    :ivar inquiry: encodes the questions and receives the answers.
    :ivar is_source_read: returns whether the source of entries would announce a new
        process, given the monotonic time.
    :ivar processes: what is known of the processes of upstreams.
    """

    __slots__ = (
        "_ask",
        "_clock",
        "_next_at",
        "_tasks",
        "inquiry",
        "is_source_read",
        "processes",
    )

    def __init__(
        self, clock: Clock, ask: Callable[[Upstream], Awaitable[bool]]
    ) -> None:
        self._clock = clock
        self._ask = ask
        self._tasks: dict[str, asyncio.Task[bool]] = {}
        self._next_at: dict[str, timedelta] = {}
        self.inquiry: Inquiry = TrustingInquiry()
        self.is_source_read: Callable[[timedelta], bool] = lambda now: True
        self.processes = ProcessObservations()

    def identify(
        self, upstream: Upstream, connections: Collection[ContactTimes]
    ) -> ProcessIdentity:
        """Return whether a new connection to an upstream reaches the known process.

        :param connections: open connections to it.
        """
        now = self._clock.monotonic()
        return self.processes.identify(
            upstream.instance_id,
            connections,
            self.is_source_read(now),
            self.inquiry.is_askable(upstream),
            now,
        )

    def record_doubt(
        self, instance_id: str, since: timedelta, cause: DoubtCause
    ) -> None:
        """Record an event after which another process may have taken the place.

        :param since: latest time at which the known process was certainly there.
        """
        self.processes.record_doubt(instance_id, since, cause, self._clock.monotonic())

    def record_settled(self, instance_id: str) -> None:
        """Record that an upstream has told whether it is cold."""
        self.processes.record_asked(instance_id, self._clock.monotonic())

    def record_source_lost(
        self,
        connections: Mapping[str, Collection[ContactTimes]],
        unnoticed_time: timedelta,
    ) -> None:
        """Record that the source of entries can't be read.

        :param connections: open connections by instance id.
        :param unnoticed_time: time for which the loss may have been unnoticed.
        """
        now = self._clock.monotonic()
        self.processes.record_source_lost(connections, unnoticed_time, now)

    async def settle(self, upstream: Upstream, identity: ProcessIdentity) -> bool:
        """Ask an upstream unless its process is known; calls share one question.

        :returns: whether the process is known now.
        """
        match identity:
            case Known():
                return True
            case Unknown(cause=cause):
                pass
        task = self._tasks.get(upstream.instance_id)
        if task is None:
            if not self._may_ask(upstream):
                return False
            self.inquiry.record_question(upstream, cause)
            task = self._start(upstream)
        # The other requests still need the answer if one of them is cancelled.
        return await asyncio.shield(task)

    def drop_expired(self) -> None:
        """Drop the times before which no further question is allowed."""
        now = self._clock.monotonic()
        self._next_at = {
            instance_id: at for instance_id, at in self._next_at.items() if now < at
        }

    def cancel(self) -> None:
        """End all questions."""
        for task in self._tasks.values():
            task.cancel()

    def _may_ask(self, upstream: Upstream) -> bool:
        next_at = self._next_at.get(upstream.instance_id)
        if next_at is not None and self._clock.monotonic() < next_at:
            return False
        return self.inquiry.may_ask(upstream)

    def _start(self, upstream: Upstream) -> asyncio.Task[bool]:
        instance_id = upstream.instance_id
        task = asyncio.get_running_loop().create_task(self._run(upstream))
        self._tasks[instance_id] = task
        task.add_done_callback(lambda _: self._tasks.pop(instance_id, None))
        return task

    async def _run(self, upstream: Upstream) -> bool:
        is_settled = False
        try:
            async with asyncio.timeout(QUESTION_TIMEOUT.total_seconds()):
                is_settled = await self._ask(upstream)
        except TimeoutError:
            pass
        if not is_settled:
            next_at = self._clock.monotonic() + QUESTION_INTERVAL
            self._next_at[upstream.instance_id] = next_at
        return is_settled
