"""Runs forwarding sessions: executes their actions and reports the events to them."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from functools import partial

from celeryferry_core.environment import Clock
from celeryferry_core.forwarding.events import (
    Action,
    AttemptEnded,
    CallerGone,
    CancelAttempt,
    Finish,
    FinishBy,
    SendAttempt,
    SetTimer,
    TimerFired,
)
from celeryferry_core.forwarding.models import Upstream
from celeryferry_core.forwarding.notices import UpstreamNotice
from celeryferry_core.forwarding.outcomes import (
    LossReason,
    Lost,
    RefusalReason,
    Refused,
    RequestResult,
)
from celeryferry_core.forwarding.session import ForwardingSession
from celeryferry_daemon._internal.forwarding.connection import RawResponse
from celeryferry_daemon._internal.forwarding.messages import CallerRequest
from celeryferry_daemon._internal.forwarding.pool import UpstreamPool
from celeryferry_daemon._internal.forwarding.ports import WireFormat


class SessionRunner:
    """Runs one session with its attempts and its timer.

    Attempts that are still open when the result is known continue in the background, so
    that their connections can be reused.

    :param request: request of the caller, sent with every attempt.
    :param wire: encodes requests and decodes responses.
    :param on_notice: called with what an upstream says of itself in an answer, before
        the session learns of the answer.
    """

    __slots__ = (
        "_clock",
        "_loop",
        "_on_notice",
        "_pool",
        "_request",
        "_result",
        "_session",
        "_tasks",
        "_timer",
        "_wire",
    )

    def __init__(
        self,
        session: ForwardingSession,
        request: CallerRequest,
        pool: UpstreamPool,
        wire: WireFormat,
        clock: Clock,
        on_notice: Callable[[Upstream, UpstreamNotice], None],
    ) -> None:
        self._session = session
        self._on_notice = on_notice
        self._request = request
        self._pool = pool
        self._wire = wire
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._tasks: dict[int, asyncio.Task] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._result: asyncio.Future[RequestResult] = self._loop.create_future()

    async def run(self) -> RequestResult:
        """Run the session until its result is known.

        Cancel this call when the caller has closed its connection; it then passes
        ``CallerGone`` to the session.
        """
        try:
            self._execute(self._session.start(self._clock.monotonic()))
            return await self._result
        except asyncio.CancelledError:
            self._execute(self._session.handle(CallerGone(), self._clock.monotonic()))
            raise
        finally:
            if self._timer is not None:
                self._timer.cancel()

    def finish_by(self, at: timedelta) -> None:
        """End the session at a monotonic time at the latest."""
        event = FinishBy(at)
        self._execute(self._session.handle(event, self._clock.monotonic()))

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendAttempt(attempt_id=attempt_id):
                    task = self._loop.create_task(self._run_attempt(action))
                    self._tasks[attempt_id] = task
                    task.add_done_callback(partial(self._end_unstarted, attempt_id))
                case CancelAttempt(attempt_id):
                    task = self._tasks.get(attempt_id)
                    if task is not None:
                        task.cancel()
                case SetTimer(at):
                    self._set_timer(at)
                case Finish(result):
                    if not self._result.done():
                        self._result.set_result(result)

    def _set_timer(self, at: timedelta) -> None:
        if self._timer is not None:
            self._timer.cancel()
        delay = (at - self._clock.monotonic()).total_seconds()
        self._timer = self._loop.call_later(max(0.0, delay), self._handle_timer)

    def _handle_timer(self) -> None:
        self._timer = None
        self._execute(self._session.handle(TimerFired(), self._clock.monotonic()))

    def _end_unstarted(self, attempt_id: int, _task: asyncio.Task) -> None:
        """Report an attempt whose task was cancelled before its coroutine started."""
        if self._tasks.pop(attempt_id, None) is not None:
            event = AttemptEnded(attempt_id, Refused(RefusalReason.NOT_SENT))
            self._execute(self._session.handle(event, self._clock.monotonic()))

    async def _run_attempt(self, action: SendAttempt) -> None:
        event = AttemptEnded(action.attempt_id, Lost(LossReason.CANCELLED))
        try:
            event = await self._exchange(action)
        finally:
            self._tasks.pop(action.attempt_id, None)
            self._execute(self._session.handle(event, self._clock.monotonic()))

    async def _exchange(self, action: SendAttempt) -> AttemptEnded:
        request, upstream = self._request, action.upstream

        def make_payload(now: timedelta) -> bytes | None:
            if not self._session.may_send(action.attempt_id, now):
                return None
            return self._wire.make_payload(request, upstream, action.deadline - now)

        outcome = await self._pool.exchange(
            upstream,
            make_payload,
            lambda response: self._wire.is_matching_response(request, response),
            action.deadline,
            self._session.rule.is_repeatable,
        )
        if not isinstance(outcome, RawResponse):
            return AttemptEnded(action.attempt_id, outcome)
        notice = self._wire.read_notice(outcome)
        if notice is not None:
            self._on_notice(upstream, notice)
        attempt_outcome = self._wire.classify_response(outcome)
        return AttemptEnded(
            action.attempt_id, attempt_outcome, self._wire.read_load(outcome)
        )
