"""Tickets of non-repeatable requests: format, states, expiry and bounded storage."""

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
# Neither the incarnation nor the random part contains a dot, so a host id may contain
# dots.
_TICKET = re.compile(
    r"(?P<host_id>[A-Za-z0-9._-]{1,128})\.(?P<incarnation>[A-Za-z0-9_-]{1,64})"
    r"\.(?P<secret>[A-Za-z0-9_-]{22})",
    re.ASCII,
)


@dataclass(frozen=True, slots=True)
class TicketParts:
    """Parts of the text of a ticket.

    :param host_id: host of the process that issued it.
    :param incarnation: random id of that process.
    :param secret: random part, 16 bytes in URL-safe base64.
    """

    host_id: str
    incarnation: str
    secret: str

    def to_text(self) -> str:
        """Return the ticket as callers receive it."""
        return f"{self.host_id}.{self.incarnation}.{self.secret}"


@dataclass(frozen=True, slots=True)
class MalformedTicket:
    """Error for a text that does not have the format of a ticket."""


@dataclass(frozen=True, slots=True)
class TicketTableFull:
    """Error for a ticket table that has reached its capacity.

    :param retry_after: time until the oldest ticket expires.
    """

    retry_after: timedelta


def parse_ticket(text: str) -> Result[TicketParts, MalformedTicket]:
    """Parse a ticket as a caller sent it.

    :returns: its parts, or an error if the text is not a ticket.
    """
    match = _TICKET.fullmatch(text) if len(text) <= MAX_TICKET_CHARACTERS else None
    return Ok(TicketParts(**match.groupdict())) if match else Err(MalformedTicket())


class TicketState(StrEnum):
    """State of a ticket; see ``TicketTable`` for the transitions."""

    ISSUED = "issued"
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class Ticket:
    """A ticket that this process issued.

    :param text: the ticket.
    :param expires_at: monotonic time of its expiry.
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
    """The caller of ``begin`` must run the request and then call ``finish``.

    :param ticket: the ticket, now in the state running.
    """

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class Join:
    """The request is already running; the caller waits for its outcome."""


@dataclass(frozen=True, slots=True)
class Finished:
    """The outcome of the request is final; it can be ``OutcomeUnknown``."""

    outcome: RunOutcome


BeginResult = Start | Join | Finished

_NEVER_RUN = Finished(NotRun(NotRunReason.TICKET_EXPIRED))
_MAY_HAVE_RUN = Finished(OutcomeUnknown(UnknownReason.TICKET_EXPIRED))


class TicketTable:
    """Tickets that this process issued.

    A ticket goes from issued to running, and from there to answered, unknown, or
    back to issued if nothing was run. Of an expired ticket, only whether it may have
    run is kept.

    :param capacity: largest number of tickets; as many expired tickets are kept in
        addition.
    :param validity: time from issue to expiry of a ticket.
    :param prevents_rerun: False lets a ticket run again after it was sent, for tests.
    """

    __slots__ = ("_capacity", "_expired", "_prevents_rerun", "_tickets", "_validity")

    def __init__(
        self, capacity: int, validity: timedelta, prevents_rerun: bool = True
    ) -> None:
        self._capacity = capacity
        self._validity = validity
        self._prevents_rerun = prevents_rerun
        self._tickets: OrderedDict[str, Ticket] = OrderedDict()
        self._expired: OrderedDict[str, Finished] = OrderedDict()

    def __len__(self) -> int:
        return len(self._tickets)

    def issue(
        self, text: str, application: str, service: str, now: timedelta
    ) -> Result[Ticket, TicketTableFull]:
        """Add a new ticket after dropping the expired ones.

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
        """Decide what to do with a request to run a ticket.

        A ticket that is not in the table, because it is too old or was never issued, is
        reported as one that may have run.

        :param text: ticket that names this process.
        """
        ticket = self._tickets.get(text)
        if ticket is None:
            return self._expired.get(text, _MAY_HAVE_RUN)
        if ticket.state is TicketState.RUNNING and self._prevents_rerun:
            return Join()
        if now >= ticket.expires_at:
            return _NEVER_RUN if ticket.state is TicketState.ISSUED else _MAY_HAVE_RUN
        if ticket.state is TicketState.ISSUED or not self._prevents_rerun:
            ticket.state = TicketState.RUNNING
            return Start(ticket)
        return Finished(ticket.outcome)

    def is_unused(self, text: str) -> bool:
        """Return whether a ticket is in the table and has certainly not run."""
        ticket = self._tickets.get(text)
        return ticket is not None and ticket.state is TicketState.ISSUED

    def add_foreign(
        self, text: str, application: str, service: str, now: timedelta
    ) -> None:
        """Add a ticket that another process issued.

        Only for tests that turn off ``Mechanisms.ticket_origin``.
        """
        if text not in self._tickets:
            expires_at = now + self._validity
            self._tickets[text] = Ticket(text, application, service, expires_at)

    def finish(self, ticket: Ticket, outcome: RunOutcome) -> None:
        """Record the outcome of an execution.

        :param ticket: ticket from :class:`Start`.
        :param outcome: the outcome; after ``NotRun`` the ticket can be run again.
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

        All tickets have the same validity, so the table is ordered by expiry.

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
            has_never_run = ticket.state is TicketState.ISSUED
            self._expired[ticket.text] = _NEVER_RUN if has_never_run else _MAY_HAVE_RUN
        while len(self._expired) > self._capacity:
            self._expired.popitem(last=False)
        return len(dropped)


class SentTickets:
    """Tickets whose request an owner sent to an upstream recently.

    They are kept so that no request is sent twice.

    :param capacity: largest number of tickets kept.
    :param validity: time for which a ticket is kept.
    """

    __slots__ = ("_capacity", "_sent", "validity")

    def __init__(self, capacity: int, validity: timedelta) -> None:
        self._capacity = capacity
        self.validity = validity
        self._sent: OrderedDict[str, timedelta] = OrderedDict()

    def __contains__(self, ticket: str) -> bool:
        return ticket in self._sent

    def is_full(self, now: timedelta) -> bool:
        """Drop expired tickets and return whether there is no room for another.

        If it is full, a new ticket must be refused: no ticket may be dropped early.
        """
        while self._sent and next(iter(self._sent.values())) <= now:
            self._sent.popitem(last=False)
        return len(self._sent) >= self._capacity

    def add(self, ticket: str, now: timedelta) -> None:
        """Add a ticket that is about to be sent."""
        self._sent[ticket] = now + self.validity

    def remove(self, ticket: str) -> None:
        """Remove a ticket whose request was certainly not run."""
        self._sent.pop(ticket, None)
