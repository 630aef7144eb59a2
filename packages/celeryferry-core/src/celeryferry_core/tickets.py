"""Tickets of non-repeatable requests: text, states, expiry and bound."""

import re
from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from result import Err, Ok, Result

from celeryferry_core.models.outcomes import (
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    RunOutcome,
    UnknownReason,
)

TICKET_RANDOM_BYTES = 16
MAX_TICKET_CHARACTERS = 256
# Neither the incarnation nor the random part contains a dot, so a host id may.
_TICKET = re.compile(
    r"(?P<host_id>[A-Za-z0-9._-]{1,128})\.(?P<incarnation>[A-Za-z0-9_-]{1,64})"
    r"\.(?P<secret>[A-Za-z0-9_-]{22})",
    re.ASCII,
)


@dataclass(frozen=True, slots=True)
class TicketParts:
    """Parts of a ticket.

    :param host_id: host of the process that issued it.
    :param incarnation: random id of that process.
    :param secret: random part, 16 bytes in URL-safe base64.
    """

    host_id: str
    incarnation: str
    secret: str

    def to_text(self) -> str:
        """Return the text that callers receive."""
        return f"{self.host_id}.{self.incarnation}.{self.secret}"


@dataclass(frozen=True, slots=True)
class MalformedTicket:
    """Text that no process of any fleet issues as a ticket."""


@dataclass(frozen=True, slots=True)
class TicketTableFull:
    """The table holds as many tickets as it may.

    :param retry_after: time until the oldest ticket expires.
    """

    retry_after: timedelta


def parse_ticket(text: str) -> Result[TicketParts, MalformedTicket]:
    """Take a ticket apart.

    :param text: ticket as a caller sent it.
    :returns: its parts, or an error for any other text.
    """
    match = _TICKET.fullmatch(text) if len(text) <= MAX_TICKET_CHARACTERS else None
    return Ok(TicketParts(**match.groupdict())) if match else Err(MalformedTicket())


class TicketState(StrEnum):
    """State of a ticket."""

    ISSUED = "issued"
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class Ticket:
    """A ticket that this process issued.

    :param text: the ticket.
    :param application: application of the request.
    :param service: service of the request.
    :param expires_at: monotonic time of its expiry.
    :param state: present state.
    :param outcome: outcome of the latest execution, None before the first.
    """

    text: str
    application: str
    service: str
    expires_at: timedelta
    state: TicketState = TicketState.ISSUED
    outcome: RunOutcome | None = None


@dataclass(frozen=True, slots=True)
class Start:
    """The caller of ``begin`` runs the request and reports with ``finish``.

    :param ticket: the ticket, now running.
    """

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class Join:
    """The request is running; wait for its outcome."""


@dataclass(frozen=True, slots=True)
class Finished:
    """The outcome is settled.

    :param outcome: remembered outcome.
    """

    outcome: RunOutcome


BeginResult = Start | Join | Finished

_NEVER_RUN = Finished(NotRun(NotRunReason.TICKET_EXPIRED))
_PERHAPS_RUN = Finished(OutcomeUnknown(UnknownReason.TICKET_EXPIRED))


class TicketTable:
    """Tickets that this process issued.

    A ticket goes from issued to running, and from there to answered, unknown, or
    back to issued if nothing was run. Expired tickets are reduced to the fact whether
    they may have run.

    :param capacity: largest number of tickets, and of expired ones remembered.
    :param validity: life of a ticket.
    :param remembers: False lets a ticket run again after it was sent, for tests.
    """

    __slots__ = ("_capacity", "_expired", "_remembers", "_tickets", "_validity")

    def __init__(
        self, capacity: int, validity: timedelta, remembers: bool = True
    ) -> None:
        self._capacity = capacity
        self._validity = validity
        self._remembers = remembers
        self._tickets: OrderedDict[str, Ticket] = OrderedDict()
        self._expired: OrderedDict[str, Finished] = OrderedDict()

    def __len__(self) -> int:
        return len(self._tickets)

    def issue(
        self, text: str, application: str, service: str, now: timedelta
    ) -> Result[Ticket, TicketTableFull]:
        """Add a ticket.

        :param text: new ticket text.
        :param application: application of the request.
        :param service: service of the request.
        :param now: present monotonic time.
        :returns: the ticket, or an error if the table is full.
        """
        self.expire(now)
        if len(self._tickets) >= self._capacity:
            oldest = next(iter(self._tickets.values()))
            return Err(TicketTableFull(max(timedelta(0), oldest.expires_at - now)))
        ticket = Ticket(text, application, service, now + self._validity)
        self._tickets[text] = ticket
        return Ok(ticket)

    def begin(self, text: str, now: timedelta) -> BeginResult:
        """Decide what a request to run a ticket leads to.

        :param text: ticket that names this process.
        :param now: present monotonic time.
        :returns: what to do. A ticket that is not in the table, because it is too old
            or was never issued, may have run.
        """
        ticket = self._tickets.get(text)
        if ticket is None:
            return self._expired.get(text, _PERHAPS_RUN)
        if ticket.state is TicketState.RUNNING and self._remembers:
            return Join()
        if now >= ticket.expires_at:
            return _NEVER_RUN if ticket.state is TicketState.ISSUED else _PERHAPS_RUN
        if ticket.state is TicketState.ISSUED or not self._remembers:
            ticket.state = TicketState.RUNNING
            return Start(ticket)
        return Finished(ticket.outcome)

    def is_unused(self, text: str) -> bool:
        """Tell whether a ticket has certainly not run.

        :param text: the ticket.
        :returns: True if it is in the table, and neither running nor run.
        """
        ticket = self._tickets.get(text)
        return ticket is not None and ticket.state is TicketState.ISSUED

    def add_foreign(
        self, text: str, application: str, service: str, now: timedelta
    ) -> None:
        """Add a ticket that another process issued; for tests without the origin rule.

        :param text: ticket text.
        :param application: application of the request.
        :param service: service of the request.
        :param now: present monotonic time.
        """
        if text not in self._tickets:
            expires_at = now + self._validity
            self._tickets[text] = Ticket(text, application, service, expires_at)

    def finish(self, ticket: Ticket, outcome: RunOutcome) -> None:
        """Store the outcome of an execution.

        :param ticket: ticket from :class:`Start`.
        :param outcome: what happened; ``NotRun`` makes the ticket usable again.
        """
        ticket.outcome = outcome
        match outcome:
            case NotRun():
                ticket.state = TicketState.ISSUED
            case OutcomeUnknown():
                ticket.state = TicketState.UNKNOWN
            case _:
                ticket.state = TicketState.ANSWERED

    def expire(self, now: timedelta) -> int:
        """Drop expired tickets, except running ones.

        All tickets live equally long, so the table is in order of expiry.

        :param now: present monotonic time.
        :returns: number of tickets dropped.
        """
        dropped = []
        for ticket in self._tickets.values():
            if now < ticket.expires_at:
                break
            if ticket.state is not TicketState.RUNNING:
                dropped.append(ticket)
        for ticket in dropped:
            del self._tickets[ticket.text]
            never_run = ticket.state is TicketState.ISSUED
            self._expired[ticket.text] = _NEVER_RUN if never_run else _PERHAPS_RUN
        while len(self._expired) > self._capacity:
            self._expired.popitem(last=False)
        return len(dropped)


class SentTickets:
    """Tickets that an owner sent lately, so that none is sent twice.

    :param capacity: largest number of tickets remembered.
    :param validity: time for which a ticket is remembered.
    """

    __slots__ = ("_capacity", "_sent", "validity")

    def __init__(self, capacity: int, validity: timedelta) -> None:
        self._capacity = capacity
        self.validity = validity
        self._sent: OrderedDict[str, timedelta] = OrderedDict()

    def __contains__(self, ticket: str) -> bool:
        return ticket in self._sent

    def is_full(self, now: timedelta) -> bool:
        """Drop old tickets and tell whether there is no room for another.

        :param now: present monotonic time.
        :returns: True if a new ticket must be refused rather than forgotten early.
        """
        while self._sent and next(iter(self._sent.values())) <= now:
            self._sent.popitem(last=False)
        return len(self._sent) >= self._capacity

    def add(self, ticket: str, now: timedelta) -> None:
        """Remember a ticket that is about to be sent.

        :param ticket: the ticket.
        :param now: present monotonic time.
        """
        self._sent[ticket] = now + self.validity

    def remove(self, ticket: str) -> None:
        """Forget a ticket whose request was certainly not run.

        :param ticket: the ticket.
        """
        self._sent.pop(ticket, None)
