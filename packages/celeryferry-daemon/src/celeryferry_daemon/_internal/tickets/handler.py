"""Runs the requests of tickets at most once, here or at their issuer."""

import asyncio
from datetime import timedelta

import aioprometheus
import msgspec
from aiohttp import web
from reactivex.abc import DisposableBase
from result import Err, Ok, Result

from celeryferry_core.decisions.tickets import TicketForwarded, TicketSettled
from celeryferry_core.environment import Clock, RandomSource
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.callers import (
    ErrorBody,
    ErrorType,
    Ran,
    TicketAnswer,
    TicketRequest,
)
from celeryferry_core.models.messages import RunOnceForward, RunReply
from celeryferry_core.models.outcomes import OutcomeUnknown, RunOutcome, UnknownReason
from celeryferry_core.models.settings import LimitSettings
from celeryferry_core.models.topology import Host
from celeryferry_core.ports import DecisionLog, FreshnessGate, PeerClient
from celeryferry_core.tickets import TicketParts, TicketTable, parse_ticket
from celeryferry_daemon._internal.streams import Streams
from celeryferry_daemon._internal.tickets.executions import TicketExecutions
from celeryferry_daemon._internal.tickets.issuer import TicketIssuer
from celeryferry_daemon._internal.tickets.metrics import TicketMetrics
from celeryferry_daemon._internal.tickets.replies import read_reply
from celeryferry_daemon._internal.tickets.routes import TicketRoutes
from celeryferry_daemon._internal.tickets.runner import (
    ANSWER_MARGIN,
    TicketRunner,
    time_until,
)

EXPIRY_INTERVAL = timedelta(seconds=1)
_ISSUER_GONE = OutcomeUnknown(UnknownReason.ISSUER_GONE)


class TicketHandler:
    """Issues the tickets of this process and runs or forwards their requests.

    :param host: this host.
    :param incarnation: random id of this process.
    :param limits: number and validity of tickets, size of request bodies.
    :param streams: configuration and membership of the daemon.
    :param peers: client for other daemons.
    :param gate: tells whether the configuration is fresh enough to act on.
    :param random: source of random numbers for the order of replicas.
    :param log: receiver of decisions.
    :param registry: registry for metrics.
    :param mechanisms: protections that are active; tests turn off some of them.
    """

    def __init__(
        self,
        host: Host,
        incarnation: str,
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
        self._host = host
        self._streams = streams
        self._peers = peers
        self._clock = clock
        self._log = log
        self._mechanisms = mechanisms
        self._metrics = TicketMetrics(registry)
        self._table = TicketTable(
            limits.tickets, limits.ticket_validity, mechanisms.ticket_memory
        )
        table = self._table
        self._routes = TicketRoutes(self, limits.body_bytes, clock, table.is_unused)
        self._issuer = TicketIssuer(
            host, incarnation, limits, streams, table, gate, clock, log, mechanisms
        )
        self._runner = TicketRunner(
            host, streams, peers, clock, random, log, mechanisms
        )
        self._executions = TicketExecutions(
            self._table, self._runner, gate, clock, log, mechanisms
        )
        self._subscription: DisposableBase | None = None
        self._expiry: asyncio.Task | None = None

    def caller_routes(self) -> list[web.RouteDef]:
        """Return the routes for the caller listener."""
        return self._routes.caller_routes()

    def peer_routes(self) -> list[web.RouteDef]:
        """Return the routes for the peer listener."""
        return self._routes.peer_routes()

    async def start(self) -> None:
        """Subscribe to the membership and start to expire tickets."""
        self._subscription = self._streams.membership.subscribe(
            self._runner.replace_membership
        )
        self._expiry = asyncio.create_task(self._expire())

    async def stop(self) -> None:
        """Wait for the running requests, which end at their deadlines, and stop."""
        await self._executions.stop()
        if self._subscription is not None:
            self._subscription.dispose()
        if self._expiry is not None:
            self._expiry.cancel()
            await asyncio.wait([self._expiry])

    def issue(self, request: TicketRequest) -> Result[TicketAnswer, ErrorBody]:
        """Issue a ticket, or return the error for the caller."""
        return self._issuer.issue(request)

    async def run_once(
        self, ticket_text: str, request: msgspec.Raw, deadline_unix_ms: int
    ) -> Result[RunOutcome, ErrorBody]:
        """Run the request of a ticket, here or at its issuer.

        :param ticket_text: ticket as the caller sent it.
        :param request: JSON value for the upstream.
        :param deadline_unix_ms: absolute deadline in milliseconds of wall-clock time.
        :returns: the outcome, or an error if the text is not a well-formed ticket.
        """
        parsed = parse_ticket(ticket_text)
        if isinstance(parsed, Err):
            message = "The ticket is malformed; use the text of POST /v1/tickets."
            return Err(ErrorBody(ErrorType.TICKET_UNKNOWN, message, Ran.NO))
        parts = parsed.ok_value
        if not self._mechanisms.ticket_origin:
            self._adopt(ticket_text)
        if not self._mechanisms.ticket_origin or self._issuer.is_own(parts):
            outcome = await self._executions.run(ticket_text, request, deadline_unix_ms)
        else:
            outcome = await self._forward(parts, request, deadline_unix_ms)
        self._record_outcome(ticket_text, outcome)
        return Ok(outcome)

    async def run_forwarded(self, message: RunOnceForward) -> RunReply:
        """Run a request that another entry host forwarded; never forward it again.

        :returns: the outcome; unknown if this process did not issue the ticket.
        """
        parsed = parse_ticket(message.ticket)
        outcome: RunOutcome = _ISSUER_GONE
        if isinstance(parsed, Ok) and self._issuer.is_own(parsed.ok_value):
            outcome = await self._executions.run(
                message.ticket, message.request, message.deadline_unix_ms
            )
        self._record_outcome(message.ticket, outcome)
        return RunReply(message.ticket, outcome)

    async def _forward(
        self, parts: TicketParts, request: msgspec.Raw, deadline_unix_ms: int
    ) -> RunOutcome:
        """Forward a request to the process that issued its ticket.

        Any failure leaves the outcome unknown, even if it is certain that this call
        ran nothing: an earlier call may have run the ticket.

        :param parts: parsed ticket.
        :param request: JSON value for the upstream.
        :param deadline_unix_ms: absolute deadline in milliseconds of wall-clock time.
        :returns: the outcome that the issuer states, or unknown.
        """
        issuer = self._streams.membership.value.hosts.get(parts.host_id)
        if issuer is None or parts.host_id == self._host.host_id:
            return _ISSUER_GONE
        ticket_text = parts.to_text()
        self._log.record(TicketForwarded(ticket_text, parts.host_id))
        message = RunOnceForward(ticket_text, request, deadline_unix_ms)
        # The issuer waits two margins past the deadline for the outcome; wait one more
        # here.
        timeout = time_until(deadline_unix_ms, self._clock) + 3 * ANSWER_MARGIN
        reply = await self._peers.forward_run_once(issuer, message, timeout)
        return read_reply(reply, ticket_text, _ISSUER_GONE)

    def _adopt(self, ticket_text: str) -> None:
        """Record a ticket of another process as if issued here; for tests only."""
        active = self._streams.configuration.value.documents.values()
        document = next(iter(active)).document
        ids = document.application, document.service
        self._table.add_foreign(ticket_text, *ids, self._clock.monotonic())

    def _record_outcome(self, ticket_text: str, outcome: RunOutcome) -> None:
        reason = getattr(outcome, "reason", None)
        kind = type(outcome).__struct_config__.tag
        self._log.record(TicketSettled(ticket_text, kind, reason and reason.value))
        self._metrics.count(kind)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL.total_seconds())
            self._table.expire(self._clock.monotonic())
            self._metrics.set_remembered(len(self._table))
