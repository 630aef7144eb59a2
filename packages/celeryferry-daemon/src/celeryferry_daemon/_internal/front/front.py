"""The front role: endpoint ``POST /v1/search``."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta

import aioprometheus
import logbook
from aiohttp import web

from celeryferry_core.admission import Admission
from celeryferry_core.decisions.front import QueryRefused
from celeryferry_core.environment import Clock, RandomSource
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.callers import (
    ErrorBody,
    ErrorType,
    Ran,
    SearchAnswer,
    SearchRequest,
)
from celeryferry_core.models.settings import LimitSettings
from celeryferry_core.models.topology import Host
from celeryferry_core.plans import ApplicationPlan
from celeryferry_core.ports import DecisionLog, FreshnessGate, PeerClient
from celeryferry_core.routing import Router
from celeryferry_core.search import SearchSession
from celeryferry_core.search_events import SessionRequest
from celeryferry_core.search_state import to_ms
from celeryferry_daemon._internal.callers_http import (
    decode_body,
    error_response,
    json_response,
)
from celeryferry_daemon._internal.front.applications import (
    Applications,
    ApplicationState,
)
from celeryferry_daemon._internal.front.checks import check_search, make_overload_error
from celeryferry_daemon._internal.front.explain import (
    ApplicationExplanation,
    explain_plan,
)
from celeryferry_daemon._internal.front.metrics import FrontMetrics
from celeryferry_daemon._internal.front.query import (
    QueryRun,
    choose_duration,
    make_session_request,
)
from celeryferry_daemon._internal.front.refresher import Refresher
from celeryferry_daemon._internal.gate import may_start_work
from celeryferry_daemon._internal.streams import Streams

# Interval at which the connections of running queries are checked for disconnects.
CALLER_CHECK_INTERVAL = timedelta(milliseconds=50)
QUERY_ID_BITS = 64

_LOGGER = logbook.Logger("celeryferry")


@dataclass(frozen=True, slots=True)
class _RunningQuery:
    application: str
    request: web.Request
    query_run: QueryRun


class Front:
    """Receives the queries of callers and answers them through the owners.

    :param host: this host.
    :param limits: limits on requests and on the number of running queries.
    :param streams: streams of the daemon.
    :param peers: client for other daemons.
    :param gate: decides whether the configuration is fresh enough for new work.
    :param clock: source of time.
    :param random: source of random numbers.
    :param log: receives decisions.
    :param registry: registry that the metrics are added to.
    :param mechanisms: switches for tests.
    """

    __slots__ = (
        "_admission",
        "_applications",
        "_caller_check_task",
        "_clock",
        "_gate",
        "_idle",
        "_limits",
        "_log",
        "_mechanisms",
        "_metrics",
        "_peers",
        "_query_count",
        "_query_prefix",
        "_refresher",
        "_router",
        "_running_queries",
    )

    def __init__(
        self,
        host: Host,
        limits: LimitSettings,
        streams: Streams,
        peers: PeerClient,
        gate: FreshnessGate,
        clock: Clock,
        random: RandomSource,
        log: DecisionLog,
        registry: aioprometheus.Registry,
        mechanisms: Mechanisms,
    ) -> None:
        self._limits = limits
        self._peers = peers
        self._gate = gate
        self._clock = clock
        self._log = log
        self._mechanisms = mechanisms
        self._metrics = FrontMetrics(registry)
        self._router = Router(host.failure_domain, random)
        self._applications = Applications(
            streams, self._router, mechanisms, self._replace_plans
        )
        self._refresher = Refresher(self._applications, self._router, peers, clock)
        self._admission = Admission(limits.waiting_requests)
        self._running_queries: dict[str, _RunningQuery] = {}
        self._caller_check_task: asyncio.Task[None] | None = None
        self._idle = asyncio.Event()
        self._idle.set()
        self._query_count = 0
        # Random, so that a restarted process does not reuse the query ids of the
        # previous one.
        self._query_prefix = f"{host.host_id}-{random.randrange(2**QUERY_ID_BITS):016x}"

    def caller_routes(self) -> list[web.RouteDef]:
        """Return the routes for the caller listener."""
        return [web.post("/v1/search", self._handle_search)]

    async def start(self) -> None:
        """Subscribe to the streams and start the periodic tasks."""
        self._applications.subscribe()
        self._refresher.start()
        self._caller_check_task = asyncio.create_task(self._check_callers())

    async def stop(self) -> None:
        """Wait for the running queries, then stop the periodic tasks."""
        await self._idle.wait()
        if self._caller_check_task is not None:
            self._caller_check_task.cancel()
            await asyncio.gather(self._caller_check_task, return_exceptions=True)
        await self._refresher.stop()
        self._applications.unsubscribe()

    def explain(self, application: str) -> ApplicationExplanation | None:
        """Return how a query on an application would be routed now.

        :param application: name of the application.
        :returns: candidates, owners and choice for every shard; None if no document
            names the application.
        """
        plan = self._applications.get_plan(application)
        if plan is None:
            return None
        return explain_plan(plan, self._router, self._clock)

    async def _check_callers(self) -> None:
        while True:
            await asyncio.sleep(CALLER_CHECK_INTERVAL.total_seconds())
            for running in list(self._running_queries.values()):
                transport = running.request.transport
                if transport is None or transport.is_closing():
                    running.query_run.abandon()

    def _replace_plans(self) -> None:
        for running in list(self._running_queries.values()):
            plan = self._applications.get_plan(running.application)
            if plan is not None:
                running.query_run.replace_plan(plan)

    async def _handle_search(self, request: web.Request) -> web.Response:
        started = self._clock.monotonic()
        decoded = await decode_body(request, SearchRequest, self._limits.body_bytes)
        if decoded.is_err():
            outcome: SearchAnswer | ErrorBody | None = decoded.unwrap_err()
        else:
            outcome = await self._search_safely(request, decoded.unwrap(), started)
        match outcome:
            case SearchAnswer():
                self._metrics.count_answer(outcome)
                return json_response(outcome)
            case None:
                text = "the caller closed the connection; the query was cancelled"
                return error_response(ErrorBody(ErrorType.INTERNAL, text, Ran.UNKNOWN))
        self._metrics.count_refusal(outcome)
        return error_response(outcome)

    async def _search_safely(
        self, request: web.Request, search: SearchRequest, started: timedelta
    ) -> SearchAnswer | ErrorBody | None:
        try:
            return await self._search(request, search, started)
        except Exception:
            _LOGGER.exception("front: query failed because of an internal error")
            text = "internal error, see the log of this host; retry the query"
            return ErrorBody(ErrorType.INTERNAL, text, Ran.UNKNOWN)

    async def _search(
        self, request: web.Request, search: SearchRequest, started: timedelta
    ) -> SearchAnswer | ErrorBody | None:
        self._query_count += 1
        query_id = f"{self._query_prefix}-{self._query_count}"
        refusal = self._check_search(search)
        if refusal is not None:
            return self._refuse(query_id, search.application, refusal)
        refusal = self._admit(search.application)
        if refusal is not None:
            return self._refuse(query_id, search.application, refusal)
        self._idle.clear()
        try:
            return await self._run(request, search, query_id, started)
        finally:
            self._running_queries.pop(query_id, None)
            elapsed_ms = to_ms(self._clock.monotonic() - started)
            self._admission.finish(search.application, elapsed_ms)
            if not self._admission.total:
                self._idle.set()

    def _check_search(self, search: SearchRequest) -> ErrorBody | None:
        may_act = may_start_work(self._gate, self._mechanisms)
        plan = self._applications.get_plan(search.application)
        return check_search(search, plan, may_act)

    def _admit(self, application: str) -> ErrorBody | None:
        refusal = self._admission.admit(application, self._mechanisms.admission)
        return None if refusal is None else make_overload_error(refusal)

    def _refuse(self, query_id: str, application: str, error: ErrorBody) -> ErrorBody:
        decision = QueryRefused(
            query_id, application, error.type.value, error.retry_after_ms
        )
        self._log.record(decision)
        return ErrorBody(
            error.type, error.message, error.ran, error.retry_after_ms, query_id
        )

    async def _run(
        self,
        request: web.Request,
        search: SearchRequest,
        query_id: str,
        started: timedelta,
    ) -> SearchAnswer | ErrorBody | None:
        application = search.application
        state = self._applications.get_state(application)
        state.queried_at = started
        plan = self._applications.get_plan(application)
        if plan is None:
            return self._check_search(search)
        duration = choose_duration(search, plan)
        await self._refresher.ensure_fresh(state, plan, duration / 2)
        # The documents may have changed while observations were fetched.
        refusal = self._check_search(search)
        plan = self._applications.get_plan(application)
        if refusal is not None or plan is None:
            return refusal
        query = make_session_request(
            search, query_id, started, started + duration, self._clock
        )
        return await self._run_session(request, query, plan, state)

    async def _run_session(
        self,
        request: web.Request,
        query: SessionRequest,
        plan: ApplicationPlan,
        state: ApplicationState,
    ) -> SearchAnswer | ErrorBody | None:
        session = SearchSession(
            query, plan, self._router, state.budgets, self._mechanisms
        )

        async def refresh() -> None:
            remaining = query.deadline - self._clock.monotonic()
            await self._refresher.refresh(state, remaining / 2)

        query_run = QueryRun(session, self._peers, self._clock, self._log, refresh)
        self._running_queries[query.query_id] = _RunningQuery(
            state.name, request, query_run
        )
        outcome = await query_run.run()
        self._metrics.set_extra_work(state.name, state.budgets)
        return outcome
