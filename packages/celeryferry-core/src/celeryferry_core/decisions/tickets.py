"""Decisions about tickets."""

from dataclasses import dataclass
from typing import ClassVar

from celeryferry_core.decisions.base import Decision
from celeryferry_core.models.callers import ErrorType


@dataclass(frozen=True, slots=True)
class _TicketDecision(Decision):
    PREFIX: ClassVar[str] = "ticket:"


@dataclass(frozen=True, slots=True)
class _IssuedTicketDecision(_TicketDecision):
    """Base of decisions about a ticket that was issued."""

    ticket: str


@dataclass(frozen=True, slots=True)
class TicketIssued(_IssuedTicketDecision):
    """A ticket was issued."""

    SENTENCE: ClassVar[str] = "ticket issued"

    application: str
    service: str


@dataclass(frozen=True, slots=True)
class TicketRefused(_TicketDecision):
    """No ticket was issued.

    :param error: type of the error that the caller received.
    """

    SENTENCE: ClassVar[str] = "ticket refused"

    application: str
    error: ErrorType


@dataclass(frozen=True, slots=True)
class TicketForwarded(_IssuedTicketDecision):
    """A request was forwarded to the process that issued its ticket.

    :param host_id: host of that process.
    """

    SENTENCE: ClassVar[str] = "request forwarded to the issuer"

    host_id: str


@dataclass(frozen=True, slots=True)
class TicketSent(_IssuedTicketDecision):
    """A request was sent to the owner of a replica.

    :param upstream: address of the replica.
    :param host_id: owner of the replica.
    """

    SENTENCE: ClassVar[str] = "request sent to the owner"

    upstream: str
    host_id: str


@dataclass(frozen=True, slots=True)
class TicketJoined(_IssuedTicketDecision):
    """A request waits for an execution of the same ticket that is already running."""

    SENTENCE: ClassVar[str] = "request joined the running execution"

    ticket: str


@dataclass(frozen=True, slots=True)
class TicketSettled(_IssuedTicketDecision):
    """The outcome of a request to run a ticket is known.

    :param outcome: kind of the outcome.
    :param reason: reason of the outcome, None if answered.
    """

    SENTENCE: ClassVar[str] = "request settled"

    outcome: str
    reason: str | None
