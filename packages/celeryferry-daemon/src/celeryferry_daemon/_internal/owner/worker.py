"""Worker of one upstream: connections, queue, limit and work in flight."""

import asyncio
from datetime import timedelta

from celeryferry_core.decisions.owner import (
    LimitChanged,
    SurplusCancelled,
    UpstreamAdded,
    UpstreamRemoved,
)
from celeryferry_core.durations import ZERO_DURATION
from celeryferry_core.limits import LimitCause, LimitChange, UpstreamLimit
from celeryferry_core.models.messages import UpstreamObservation
from celeryferry_core.models.outcomes import NotRun, NotRunReason
from celeryferry_daemon._internal.owner.attempts import read_outcome, send_work
from celeryferry_daemon._internal.owner.client import UpstreamClient
from celeryferry_daemon._internal.owner.guard import Assignment, SendGuard, WorkerPorts
from celeryferry_daemon._internal.owner.health import HealthClient, poll_health
from celeryferry_daemon._internal.owner.in_flight import WorkInFlight
from celeryferry_daemon._internal.owner.queueing import WorkQueue
from celeryferry_daemon._internal.owner.recorder import OutcomeRecorder
from celeryferry_daemon._internal.owner.replies import Health, Reply
from celeryferry_daemon._internal.owner.reporting import UpstreamReporter
from celeryferry_daemon._internal.owner.signals import record_attempt
from celeryferry_daemon._internal.owner.work import Work


class UpstreamWorker:
    """Sends work to one upstream within its limit.

    All methods run on the event loop, and there is no suspension point between a check
    and the send that it allows.

    :param address: ``ip:port`` of the upstream.
    :param assignment: ownership key and settings of the upstream.
    :param ports: dependencies that all workers share.
    """

    def __init__(
        self, address: str, assignment: Assignment, ports: WorkerPorts
    ) -> None:
        self.address = address
        self._ports = ports
        self._guard = SendGuard(assignment, ports)
        self._limit = UpstreamLimit(assignment.limits, ports.mechanisms)
        self._client = UpstreamClient(
            address, assignment.limits.connections, ports.mechanisms
        )
        self._health = HealthClient(address)
        self._recorder = OutcomeRecorder(address, ports.log)
        self._queue = WorkQueue(
            self._limit, self._recorder, self.dispatch_queued, self._check_queue
        )
        self._in_flight = WorkInFlight()
        self._reporter = UpstreamReporter(
            address, self._limit, self._queue, self._in_flight, self._recorder, ports
        )
        # A new owner does not know of a drain that the previous owner has seen, so no
        # request is sent before the first health poll has ended. A failed poll, which
        # does not tell of a drain, ends this wait as well.
        self._was_polled = False
        self._loop = asyncio.get_running_loop()
        self._health_task = self._loop.create_task(
            poll_health(address, self._health, ports.clock, self._handle_health)
        )
        ports.log.record(UpstreamAdded(address, assignment.key, self._limit.limit))

    @property
    def key(self) -> str:
        """Ownership key of the upstream."""
        return self._guard.assignment.key

    @property
    def in_flight(self) -> int:
        """Number of requests sent and not finished."""
        return len(self._in_flight)

    @property
    def is_stopped(self) -> bool:
        """Whether the worker accepts no more work."""
        return self._guard.is_stopped

    def assign(self, assignment: Assignment) -> None:
        """Apply a new assignment; a stopped worker resumes.

        A resumed worker starts at the cold limit. Its earlier work that is still in
        flight counts towards the limit.
        """
        previous = self._guard.assignment
        self._guard.assignment = assignment
        if previous.limits != assignment.limits:
            self._client.replace_connections(assignment.limits.connections)
            self._handle_limit_change(self._limit.replace_limits(assignment.limits))
        if self._guard.is_stopped:
            self._guard.is_stopped = False
            self._handle_limit_change(self._limit.reset_to_cold_limit())
            self._ports.log.record(
                UpstreamAdded(self.address, assignment.key, self._limit.limit)
            )
        self.dispatch_queued()

    def submit(self, work: Work) -> None:
        """Send, queue or refuse a request.

        :param work: the request; its outcome is delivered, possibly before this method
            returns.
        """
        now = self._ports.clock.monotonic()
        limit = self._limit
        refusal = self._guard.check(
            now, limit.status.is_draining
        ) or limit.check_admission(
            now, len(self._in_flight), len(self._queue), work.deadline - now
        )
        if refusal is not None:
            self._recorder.complete(work, refusal)
            return
        self._queue.append(work)
        self._start_queued(now)

    def cancel(self, work: Work) -> None:
        """Cancel a request whose requesting host has disconnected.

        A search in flight is cancelled by closing its connection. A run request in
        flight continues.
        """
        if work.is_done:
            return
        if work.task is None:
            self._queue.remove(work)
            work.is_done = True
        elif work.is_search:
            work.task.cancel()

    def dispatch_queued(self) -> None:
        """Send as much queued work as the limit allows, or refuse all of it."""
        if not self._queue:
            return
        now = self._ports.clock.monotonic()
        refusal = self._guard.check(now, self._limit.status.is_draining)
        if refusal is not None:
            self._queue.refuse_all(refusal)
        else:
            self._start_queued(now)

    def _start_queued(self, now: timedelta) -> None:
        """Send as much queued work as the limit allows.

        Call it right after the guard's check has passed.

        The guard checks each request again just before its first byte.

        :param now: current monotonic time.
        """
        while self._queue:
            if not self._was_polled or not self._limit.may_start(
                now, len(self._in_flight)
            ):
                self._queue.schedule(now)
                return
            self._start(self._queue.pop(), now)

    def observe(self) -> UpstreamObservation:
        """Return the current observation of the upstream."""
        return self._reporter.observe(self._guard.assignment.is_leaving)

    def stop(self) -> None:
        """Accept no more work and refuse queued work; work in flight finishes."""
        if self._guard.is_stopped:
            return
        self._guard.is_stopped = True
        self._ports.log.record(
            UpstreamRemoved(
                self.address, self.key, len(self._queue), len(self._in_flight)
            )
        )
        self._queue.refuse_all(self._guard.refuse_not_owner())

    async def wait_idle(self) -> None:
        """Wait until no work is in flight; the deadlines bound the wait."""
        await self._in_flight.wait_idle()

    async def close(self) -> None:
        """Stop, wait for the work in flight and close all connections."""
        self.stop()
        await self.wait_idle()
        self._queue.close()
        self._health_task.cancel()
        await asyncio.wait([self._health_task])
        self._reporter.publish_final()
        await self._health.close()
        await self._client.close()

    def _start(self, work: Work, now: timedelta) -> None:
        """Send a request, unless its deadline or its ticket forbids that.

        The caller has just checked the guard and the limit.

        :param work: the request.
        :param now: current monotonic time.
        """
        time_limits = self._guard.compute_time_limits(work)
        # An idle upstream gets work even if the estimated latency exceeds the remaining
        # time: without answers the estimate would never recover.
        min_time = self._limit.latency if self._in_flight else ZERO_DURATION
        if time_limits.remaining <= ZERO_DURATION or time_limits.remaining < min_time:
            self._recorder.complete(work, NotRun(NotRunReason.DEADLINE))
            return
        if not work.is_search:
            refusal = self._guard.claim_ticket(work, now)
            if refusal is not None:
                self._recorder.complete(work, refusal)
                return
        work.started_at = now
        work.epoch = self._limit.epoch
        attempt = send_work(self._client, work, time_limits, self._check_send)
        self._in_flight.add(work, self._loop.create_task(attempt), self._finish)

    def _check_send(self) -> NotRun | None:
        """Repeat the checks when the connection is open, just before the first byte.

        :returns: the refusal, or None if the request may be sent.
        """
        now = self._ports.clock.monotonic()
        if len(self._in_flight) > self._limit.limit:
            return NotRun(NotRunReason.COLD)
        return self._guard.check(now, self._limit.status.is_draining)

    def _finish(self, work: Work, task: "asyncio.Task[Reply]") -> None:
        """Record the outcome of a finished attempt and send queued work."""
        outcome, reply = read_outcome(task)
        if not work.is_search and isinstance(outcome, NotRun):
            self._ports.sent_tickets.remove(work.request_id)
        now = self._ports.clock.monotonic()
        if reply is not None and reply.index_versions is not None:
            self._reporter.record_versions(reply.index_versions, now)
        self._handle_limit_change(record_attempt(self._limit, work, reply, now))
        self._recorder.complete(work, outcome)
        self.dispatch_queued()

    def _handle_limit_change(self, change: LimitChange | None) -> None:
        """Log a change of the limit, cancel surplus work and refuse work that is late.

        :param change: the change, None if there is none.
        """
        if change is None:
            return
        state = self._limit.status.state
        self._ports.log.record(
            LimitChanged(self.address, change.before, change.after, change.cause, state)
        )
        # A draining upstream finishes its work in flight before it shuts down.
        if change.after < change.before and change.cause is not LimitCause.DRAINING:
            self._cancel_surplus()
        self._queue.shed(self._ports.clock.monotonic(), len(self._in_flight))

    def _cancel_surplus(self) -> None:
        limit = self._limit.limit
        count = self._in_flight.cancel_surplus(limit)
        if count:
            self._ports.log.record(SurplusCancelled(self.address, count, limit))

    def _check_queue(self) -> None:
        self._queue.shed(self._ports.clock.monotonic(), len(self._in_flight))
        self.dispatch_queued()

    def _handle_health(self, health: Health | None, polled_at: timedelta) -> None:
        self._reporter.publish()
        self._was_polled = True
        if health is None:
            self.dispatch_queued()
            return
        now = self._ports.clock.monotonic()
        self._reporter.record_polled_versions(health.index_versions, polled_at, now)
        if health.is_restarted:
            change = self._limit.record_negative_signal(LimitCause.RESTARTED, now)
            self._handle_limit_change(change)
        self._handle_limit_change(
            self._limit.record_health_answer(health.state, polled_at, now)
        )
        self.dispatch_queued()
