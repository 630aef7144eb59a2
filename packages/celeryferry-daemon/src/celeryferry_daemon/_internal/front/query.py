"""Runs the batches, the timer and the refresh of one search session."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import aclosing
from datetime import timedelta

from celeryferry_core.environment import Clock
from celeryferry_core.exceptions import PeerFailure, PeerFailureKind
from celeryferry_core.models.callers import ErrorBody, SearchAnswer, SearchRequest
from celeryferry_core.plans import ApplicationPlan
from celeryferry_core.ports import DecisionLog, PeerClient
from celeryferry_core.search import SearchSession
from celeryferry_core.search_events import (
    Action,
    BatchFailed,
    CallerGone,
    CancelBatch,
    Event,
    Finish,
    ObservationsRefreshed,
    PartialReceived,
    PlanReplaced,
    Record,
    RefreshObservations,
    SendBatch,
    SessionRequest,
    SetTimer,
    TimerFired,
)

# Key of the refresh task in ``QueryRun._tasks``; ids of batches start at 1.
_REFRESH_TASK_ID = 0


def make_session_request(
    search: SearchRequest,
    query_id: str,
    started: timedelta,
    deadline: timedelta,
    clock: Clock,
) -> SessionRequest:
    """Return the request for a session.

    :param search: request of the caller.
    :param query_id: id of the query.
    :param started: monotonic time at which the search arrived.
    :param deadline: monotonic time at which the session must have ended.
    :param clock: converts the deadline to wall-clock time.
    """
    wall_deadline = clock.wall() + (deadline - clock.monotonic())
    return SessionRequest(
        query_id=query_id,
        query=search.query,
        limit=search.limit,
        started=started,
        deadline=deadline,
        deadline_unix_ms=int(wall_deadline.timestamp() * 1000),
    )


def choose_duration(search: SearchRequest, plan: ApplicationPlan) -> timedelta:
    """Return the shorter of the deadlines of the caller and of the documents.

    :param search: request of the caller.
    :param plan: plan of the application.
    """
    deadline_ms = min(search.deadline_ms or plan.deadline_ms, plan.deadline_ms)
    return timedelta(milliseconds=deadline_ms)


class QueryRun:
    """Executes the actions of a session and passes events to it.

    Events are passed directly in the event loop, without a queue, because the session
    does no I/O and never waits.

    :param session: session to run.
    :param peers: client for other daemons.
    :param clock: source of time.
    :param log: receives decisions.
    :param refresh: refreshes the observations of the application.
    """

    __slots__ = (
        "_clock",
        "_finishing_tasks",
        "_log",
        "_outcome",
        "_peers",
        "_refresh",
        "_session",
        "_tasks",
        "_timer",
    )

    def __init__(
        self,
        session: SearchSession,
        peers: PeerClient,
        clock: Clock,
        log: DecisionLog,
        refresh: Callable[[], Awaitable[None]],
    ) -> None:
        self._session = session
        self._peers = peers
        self._clock = clock
        self._log = log
        self._refresh = refresh
        self._tasks: dict[int, asyncio.Task[None]] = {}
        # Tasks that were reading the end of their stream when they were added; finished
        # ones stay. The references keep them alive, because asyncio holds only weak
        # ones. None is added if the task of a batch was already removed.
        self._finishing_tasks: set[asyncio.Task[None] | None] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._outcome: asyncio.Future[SearchAnswer | ErrorBody | None]
        self._outcome = asyncio.get_running_loop().create_future()

    async def run(self) -> SearchAnswer | ErrorBody | None:
        """Run the session to its end.

        :returns: the answer or the error, None if the caller disconnected.
        """
        try:
            self._execute(self._session.start(self._clock.monotonic()))
            return await self._outcome
        finally:
            self.abandon()
            self._cancel_tasks()

    def replace_plan(self, plan: ApplicationPlan) -> None:
        """Use a new plan for hedges and retries after the configuration changed.

        :param plan: new plan of the application.
        """
        self._handle_event(PlanReplaced(plan))

    def abandon(self) -> None:
        """Cancel the query and its batches, as if the caller had disconnected.

        This has no effect on a query that has ended.
        """
        self._handle_event(CallerGone())
        if not self._outcome.done():
            self._outcome.set_result(None)

    def _handle_event(self, event: Event) -> None:
        try:
            self._execute(self._session.handle(event, self._clock.monotonic()))
        except Exception as error:
            self._set_exception(error)

    def _set_exception(self, error: Exception) -> None:
        if not self._outcome.done():
            self._outcome.set_exception(error)

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Record(decision):
                    self._log.record(decision)
                case SendBatch(batch_id=batch_id):
                    self._tasks[batch_id] = asyncio.create_task(
                        self._send_batch(action)
                    )
                case CancelBatch(batch_id):
                    task = self._tasks.pop(batch_id, None)
                    # A task must not cancel itself. If the action results from a line
                    # that the task has read, the task ends by itself, because
                    # _read_answers no longer finds its batch id in _tasks.
                    if task is not None and task is not asyncio.current_task():
                        task.cancel()
                case SetTimer(at):
                    self._set_timer(at)
                case RefreshObservations():
                    self._tasks[_REFRESH_TASK_ID] = asyncio.create_task(
                        self._refresh_once()
                    )
                case Finish(outcome):
                    if not self._outcome.done():
                        self._outcome.set_result(outcome)

    def _set_timer(self, at: timedelta) -> None:
        if self._timer is not None:
            self._timer.cancel()
        delay_s = max(0.0, (at - self._clock.monotonic()).total_seconds())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._handle_event, TimerFired())

    async def _refresh_once(self) -> None:
        await self._refresh()
        self._handle_event(ObservationsRefreshed())

    async def _send_batch(self, action: SendBatch) -> None:
        failure = PeerFailure(
            PeerFailureKind.BAD_ANSWER,
            action.host.host_id,
            "the stream ended without its final line",
        )
        try:
            failure = await self._read_answers(action) or failure
        except Exception as error:
            self._set_exception(error)
            return
        # The session ignores the failure if it has received the final line.
        self._handle_event(BatchFailed(action.batch_id, failure))
        self._tasks.pop(action.batch_id, None)

    async def _read_answers(self, action: SendBatch) -> PeerFailure | None:
        batch_id = action.batch_id
        lines = self._peers.send_subqueries(action.host, action.batch, action.timeout)
        async with aclosing(lines):
            async for line in lines:
                if line.is_err():
                    return line.unwrap_err()
                answer = line.unwrap()
                if answer.final:
                    # The task reads on to the end of the stream, so that the connection
                    # can be reused. Once removed from the tasks, it is not cancelled
                    # when the query ends.
                    self._finishing_tasks.add(self._tasks.pop(batch_id, None))
                self._handle_event(PartialReceived(batch_id, answer))
                if not answer.final and batch_id not in self._tasks:
                    return None
        return None

    def _cancel_tasks(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()
