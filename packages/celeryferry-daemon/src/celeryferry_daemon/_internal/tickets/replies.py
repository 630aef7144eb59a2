"""Outcome of a run request from the reply or failure of a call to another daemon."""

from result import Err, Ok, Result

from celeryferry_core.exceptions import PeerFailure, PeerFailureKind
from celeryferry_core.models.messages import RunReply
from celeryferry_core.models.outcomes import (
    OutcomeUnknown,
    RunOutcome,
    UnknownReason,
)

_UNKNOWN_REASONS = {
    PeerFailureKind.CONNECTION_LOST: UnknownReason.CONNECTION_LOST,
    PeerFailureKind.TIMEOUT: UnknownReason.TIMEOUT,
    PeerFailureKind.BAD_ANSWER: UnknownReason.BAD_ANSWER,
}


def read_reply(
    reply: Result[RunReply, PeerFailure], ticket: str, if_nothing_ran: RunOutcome
) -> RunOutcome:
    """Return the outcome of a call that asked another daemon to run a ticket.

    :param reply: reply or failure of the call.
    :param ticket: ticket that was sent; a reply that names another one is a bad answer.
    :param if_nothing_ran: outcome if it is certain that the call ran nothing.
    :returns: the stated outcome, ``if_nothing_ran``, or unknown.
    """
    match reply:
        case Ok(RunReply(replied_ticket, outcome)) if replied_ticket == ticket:
            return outcome
        case Err(failure) if failure.did_not_run:
            return if_nothing_ran
        case Err(failure):
            return OutcomeUnknown(_UNKNOWN_REASONS[failure.kind])
    return OutcomeUnknown(UnknownReason.BAD_ANSWER)
