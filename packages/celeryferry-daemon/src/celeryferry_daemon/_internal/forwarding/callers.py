"""Handles requests of callers."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from aiohttp import web
from multidict import CIMultiDict
from result import Err, Ok, Result

from celeryferry_core.admission import Admission
from celeryferry_core.environment import Clock, RandomSource
from celeryferry_core.forwarding.models import CallerBounds, Upstream
from celeryferry_core.forwarding.notices import UpstreamNotice
from celeryferry_core.forwarding.outcomes import (
    Merged,
    NotRunResult,
    RefusalReason,
    Relayed,
    RequestResult,
)
from celeryferry_core.forwarding.rules import pick_services
from celeryferry_core.forwarding.session import ForwardingSession
from celeryferry_daemon._internal.forwarding.draining import DrainSchedule
from celeryferry_daemon._internal.forwarding.library_messages import shorten_text
from celeryferry_daemon._internal.forwarding.log_lines import LogWriter
from celeryferry_daemon._internal.forwarding.messages import (
    CallerRequest,
    CallerResponse,
)
from celeryferry_daemon._internal.forwarding.metrics import RequestMetrics
from celeryferry_daemon._internal.forwarding.pool import UpstreamPool
from celeryferry_daemon._internal.forwarding.ports import WireFormat
from celeryferry_daemon._internal.forwarding.requests import (
    STATUS_CODES,
    Rejection,
    decode_headers,
    read_bounded_body,
)
from celeryferry_daemon._internal.forwarding.runner import SessionRunner
from celeryferry_daemon._internal.forwarding.state import HostState

# Limit on concurrent requests of one host. Each needs about 30 KB and some connections.
MAX_RUNNING_REQUESTS = 400
# Applies to requests that do not state how long the caller will wait.
DEFAULT_REQUEST_TIMEOUT = timedelta(seconds=30)
# A starting host receives its configuration soon, so callers may retry early.
UNCONFIGURED_RETRY_AFTER = timedelta(milliseconds=200)
# The other hosts serve while this one stops, so callers may retry almost at once. The
# delay is drawn up to this time, since many callers may be refused together.
MAX_STOPPING_RETRY_AFTER = timedelta(milliseconds=50)
ONE_MS = timedelta(milliseconds=1)


class CallersHandler:
    """Answers requests of callers by running a forwarding session for each.

    :param state: configuration and upstreams in force.
    :param wire: decodes requests and encodes responses.
    :param log: receives one line per request, within its rate limit.
    :ivar running_count: number of requests without a result.
    """

    __slots__ = (
        "_admission",
        "_body_timeouts",
        "_clock",
        "_drain_schedule",
        "_log",
        "_metrics",
        "_pool",
        "_random",
        "_runners",
        "_state",
        "_wire",
        "running_count",
    )

    def __init__(
        self,
        state: HostState,
        pool: UpstreamPool,
        wire: WireFormat,
        clock: Clock,
        random: RandomSource,
        log: LogWriter,
        metrics: RequestMetrics,
    ) -> None:
        self._state = state
        self._pool = pool
        self._wire = wire
        self._clock = clock
        self._random = random
        self._log = log
        self._metrics = metrics
        self._admission = Admission(MAX_RUNNING_REQUESTS)
        self._drain_schedule: DrainSchedule | None = None
        self._runners: set[SessionRunner] = set()
        self._body_timeouts: set[asyncio.Timeout] = set()
        self.running_count = 0

    def begin_drain(self, schedule: DrainSchedule) -> None:
        """Prepare for the end of the process.

        From now on, requests that can't be answered in time are refused, and the
        running ones end in time, also those whose body is still arriving.
        """
        self._drain_schedule = schedule
        for runner in self._runners:
            runner.finish_by(schedule.answers_due_at)
        left = (schedule.answers_due_at - self._clock.monotonic()).total_seconds()
        latest = asyncio.get_running_loop().time() + left
        for timeout in self._body_timeouts:
            if not timeout.expired():
                timeout.reschedule(min(latest, timeout.when()))

    async def handle(
        self, request: web.BaseRequest, read_bounds: Callable[[], CallerBounds]
    ) -> web.StreamResponse:
        """Answer one request.

        :param request: the request. aiohttp cancels this call if the caller closes its
            connection.
        :param read_bounds: returns the limits on the size of head and body.
        """
        started = self._clock.monotonic()
        self.running_count += 1
        try:
            return await self._answer(request, read_bounds, started)
        finally:
            self.running_count -= 1

    async def _answer(
        self,
        request: web.BaseRequest,
        read_bounds: Callable[[], CallerBounds],
        started: timedelta,
    ) -> web.StreamResponse:
        configuration = self._state.configuration
        if configuration is None:
            refusal = NotRunResult(
                RefusalReason.NO_CONFIGURATION, UNCONFIGURED_RETRY_AFTER
            )
            return self._respond(self._wire.make_response(refusal))
        headers = decode_headers(request)
        request_id = self._wire.read_request_id(headers)
        target = request.raw_path
        rule = self._state.rules.find(request.headers.get("Host", ""), target)
        if rule is None:
            return self._reject(request, request_id, Rejection.NO_RULE)
        time_left = self._wire.read_time_left(headers)
        if time_left is None:
            time_left = DEFAULT_REQUEST_TIMEOUT
        match await self._read_body(request, read_bounds, time_left):
            case Err(rejection):
                return self._reject(request, request_id, rejection)
            case Ok(body):
                caller_request = CallerRequest(
                    request_id, request.method, target, headers, body
                )
        services = pick_services(rule, self._random)
        session = ForwardingSession(
            rule, services, started, time_left, self._state.session_context
        )
        if self._may_run(session, started + time_left):
            result = await self._run(session, caller_request)
        else:
            delay = MAX_STOPPING_RETRY_AFTER * self._random.random()
            result = NotRunResult(RefusalReason.STOPPING, delay)
        self._record_result(
            session, caller_request, result, started, configuration.version
        )
        return self._respond(self._wire.make_response(result))

    async def _read_body(
        self,
        request: web.BaseRequest,
        read_bounds: Callable[[], CallerBounds],
        time_left: timedelta,
    ) -> Result[bytes, Rejection]:
        if self._drain_schedule is not None:
            due_in = self._drain_schedule.answers_due_at - self._clock.monotonic()
            time_left = max(timedelta(0), min(time_left, due_in))
        timeout = asyncio.timeout(time_left.total_seconds())
        self._body_timeouts.add(timeout)
        try:
            return await read_bounded_body(request, read_bounds, timeout)
        finally:
            self._body_timeouts.discard(timeout)

    def _may_run(self, session: ForwardingSession, deadline: timedelta) -> bool:
        """Return whether a request can be answered before this host exits.

        :param deadline: monotonic time until which the caller waits.
        """
        if self._drain_schedule is None:
            return True
        now = self._clock.monotonic()
        return self._drain_schedule.may_run(session.rule, deadline - now, now)

    def record_unreadable(self, status: int, reason: str) -> None:
        """Record a request that was refused because it can't be read.

        :param status: status of the response.
        :param reason: what is wrong.
        """
        rejection = Rejection.MALFORMED
        if status == STATUS_CODES[Rejection.HEAD_TOO_LARGE]:
            rejection = Rejection.HEAD_TOO_LARGE
        self._metrics.count_rejected(rejection)
        self._log.write_request(
            "request_rejected",
            True,
            outcome=f"rejected_{rejection.value}",
            reason=shorten_text(reason),
        )

    def _reject(
        self, request: web.BaseRequest, request_id: str, rejection: Rejection
    ) -> web.StreamResponse:
        self._metrics.count_rejected(rejection)
        self._log.write_request(
            "request_rejected",
            True,
            request_id=request_id,
            outcome=f"rejected_{rejection.value}",
            host=request.host,
            target=request.raw_path,
            configuration_version=self._state.configuration.version,
        )
        response = self._respond(CallerResponse(STATUS_CODES[rejection]))
        if rejection is Rejection.MALFORMED:
            # Nobody knows where the next request begins.
            response.force_close()
        return response

    async def _run(
        self, session: ForwardingSession, request: CallerRequest
    ) -> RequestResult:
        rule_name = session.rule.name
        refusal = self._admission.admit(rule_name)
        if refusal is not None:
            retry_after = timedelta(milliseconds=refusal.retry_after_ms)
            return NotRunResult(RefusalReason.OVERLOADED, retry_after)
        started = self._clock.monotonic()
        runner = SessionRunner(
            session,
            request,
            self._pool,
            self._wire,
            self._clock,
            self._record_notice,
        )
        if self._drain_schedule is not None:
            runner.finish_by(self._drain_schedule.answers_due_at)
        self._runners.add(runner)
        try:
            return await runner.run()
        except asyncio.CancelledError:
            self._metrics.count_abandoned(rule_name)
            self._log_caller_gone(session, request)
            raise
        finally:
            self._runners.discard(runner)
            self._admission.finish(
                rule_name, (self._clock.monotonic() - started) / ONE_MS
            )

    def _record_notice(self, upstream: Upstream, notice: UpstreamNotice) -> None:
        self._state.record_notice(upstream, notice, self._clock.monotonic())

    def _log_caller_gone(
        self, session: ForwardingSession, request: CallerRequest
    ) -> None:
        now = self._clock.monotonic()
        self._log.write_request(
            "caller_gone",
            False,
            request_id=request.request_id,
            rule=session.rule.name,
            attempts=[attempt.describe(now) for attempt in session.attempts],
        )

    def _record_result(
        self,
        session: ForwardingSession,
        request: CallerRequest,
        result: RequestResult,
        started: timedelta,
        version: int,
    ) -> None:
        now = self._clock.monotonic()
        elapsed = now - started
        outcome = describe_result(result)
        self._metrics.count_result(session.rule.name, outcome, elapsed)
        is_failure = not isinstance(result, Relayed | Merged)
        self._log.write_request(
            "request_answered",
            is_failure,
            request_id=request.request_id,
            rule=session.rule.name,
            configuration_version=version,
            upstreams_revision=self._state.registry.position.revision,
            upstreams_era=self._state.registry.position.era,
            outcome=outcome,
            elapsed_ms=round(elapsed / ONE_MS, 1),
            attempts=[attempt.describe(now) for attempt in session.attempts],
        )

    def _respond(self, caller_response: CallerResponse) -> web.Response:
        return web.Response(
            status=caller_response.status,
            headers=CIMultiDict(caller_response.headers),
            body=caller_response.body,
        )


def describe_result(result: RequestResult) -> str:
    """Return the result as one word, for the log and the metrics."""
    match result:
        case Relayed(response):
            return "complete" if response.status < 300 else f"status_{response.status}"
        case Merged(missing_count=0):
            return "complete"
        case Merged():
            return "partly_covered"
        case NotRunResult(reason):
            return f"not_run_{reason.value}"
        case unknown:
            return f"unknown_{unknown.reason.value}"
