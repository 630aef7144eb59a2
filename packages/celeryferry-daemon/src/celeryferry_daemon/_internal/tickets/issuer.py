"""Issuing of tickets."""

import secrets

from result import Err, Ok, Result

from celeryferry_core.decisions.tickets import TicketIssued, TicketRefused
from celeryferry_core.durations import to_milliseconds
from celeryferry_core.environment import Clock
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.callers import (
    ErrorBody,
    ErrorType,
    Ran,
    TicketAnswer,
    TicketRequest,
)
from celeryferry_core.models.settings import LimitSettings
from celeryferry_core.models.topology import Host
from celeryferry_core.ports import DecisionLog, FreshnessGate
from celeryferry_core.tickets import (
    TICKET_RANDOM_BYTES,
    Ticket,
    TicketParts,
    TicketTable,
)
from celeryferry_daemon._internal.gate import may_start_work
from celeryferry_daemon._internal.streams import Streams


class TicketIssuer:
    """Issues the tickets of this process.

    :param host: this host.
    :param incarnation: random id of this process.
    :param limits: validity of tickets and of entry-host answers.
    :param streams: configuration and membership of the daemon.
    :param table: stores the tickets.
    :param gate: tells whether the configuration is fresh enough to act on.
    :param log: receiver of decisions.
    :param mechanisms: protections that are active; tests turn off some of them.
    """

    def __init__(
        self,
        host: Host,
        incarnation: str,
        limits: LimitSettings,
        streams: Streams,
        table: TicketTable,
        gate: FreshnessGate,
        clock: Clock,
        log: DecisionLog,
        mechanisms: Mechanisms,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._limits = limits
        self._streams = streams
        self._table = table
        self._gate = gate
        self._clock = clock
        self._log = log
        self._mechanisms = mechanisms

    def issue(self, request: TicketRequest) -> Result[TicketAnswer, ErrorBody]:
        """Issue a ticket or return the error for the caller; either is logged."""
        match self._issue(request):
            case Ok(ticket):
                fields = ticket.text, ticket.application, ticket.service
                self._log.record(TicketIssued(*fields))
                return Ok(TicketAnswer(ticket.text, self._compute_validity_ms()))
            case Err(error):
                self._log.record(TicketRefused(request.application, error.type))
                return Err(error)

    def is_own(self, parts: TicketParts) -> bool:
        """Return whether this process issued a ticket.

        A ticket of an earlier process on this host has another incarnation.

        :param parts: parsed ticket.
        """
        own = self._host.host_id, self._incarnation
        return (parts.host_id, parts.incarnation) == own

    def _compute_validity_ms(self) -> int:
        """Return the validity of a new ticket, shorter if this host is leaving.

        A leaving host keeps serving only for as long as callers may cache an entry-host
        answer, and its tickets cannot be run after it has stopped.
        """
        limits = self._limits
        is_leaving = self._host.host_id in self._streams.membership.value.leaving
        bound = limits.entry_hosts_valid_ms if is_leaving else limits.ticket_valid_ms
        return min(limits.ticket_valid_ms, bound)

    def _issue(self, request: TicketRequest) -> Result[Ticket, ErrorBody]:
        if not may_start_work(self._gate, self._mechanisms):
            message = "The configuration may be out of date; use another entry host."
            return Err(ErrorBody(ErrorType.STALE_CONFIGURATION, message, Ran.NO))
        service = self._choose_service(request)
        if isinstance(service, Err):
            return service
        parts = TicketParts(
            self._host.host_id,
            self._incarnation,
            secrets.token_urlsafe(TICKET_RANDOM_BYTES),
        )
        now = self._clock.monotonic()
        issued = self._table.issue(
            parts.to_text(), request.application, service.ok_value, now
        )
        if isinstance(issued, Ok):
            return issued
        message = "Too many tickets are open; retry later or use another entry host."
        retry_after_ms = to_milliseconds(issued.err_value.retry_after)
        return Err(ErrorBody(ErrorType.OVERLOADED, message, Ran.NO, retry_after_ms))

    def _choose_service(self, request: TicketRequest) -> Result[str, ErrorBody]:
        services = self._streams.configuration.value.list_services(request.application)
        names = [document.service for document in services]
        if not names:
            message = (
                f"There is no application {request.application!r}; check its name."
            )
            return Err(ErrorBody(ErrorType.UNKNOWN_APPLICATION, message, Ran.NO))
        if request.service in names:
            return Ok(request.service)
        if request.service is not None:
            message = f"The application has no service {request.service!r}."
            return Err(ErrorBody(ErrorType.NOT_FOUND, message, Ran.NO))
        if len(names) == 1:
            return Ok(names[0])
        message = "The application has several services; name one in 'service'."
        return Err(ErrorBody(ErrorType.BAD_REQUEST, message, Ran.NO))
