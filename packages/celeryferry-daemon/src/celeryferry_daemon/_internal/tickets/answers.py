"""Answers to callers for the outcomes of run-once requests."""

from celeryferry_core.models.callers import ErrorBody, ErrorType, Ran, RunOnceAnswer
from celeryferry_core.models.outcomes import (
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    RunAnswered,
    RunOutcome,
    UnknownReason,
)

_NOT_RUN_TYPES = {
    NotRunReason.TICKET_EXPIRED: ErrorType.TICKET_EXPIRED,
    NotRunReason.STALE_CONFIGURATION: ErrorType.STALE_CONFIGURATION,
    NotRunReason.OVERLOADED: ErrorType.OVERLOADED,
    NotRunReason.STARTING: ErrorType.STARTING,
}


def to_answer(ticket: str, outcome: RunOutcome) -> RunOnceAnswer | ErrorBody:
    """Convert the outcome of a run-once request to the caller's answer or error."""
    match outcome:
        case RunAnswered(result):
            return RunOnceAnswer(ticket, result)
        case NotRun(reason=NotRunReason.TICKET_EXPIRED):
            return ErrorBody(
                ErrorType.TICKET_EXPIRED,
                "The ticket expired before its request was run; request a new ticket.",
                Ran.NO,
            )
        case NotRun():
            return ErrorBody(
                _NOT_RUN_TYPES.get(outcome.reason, ErrorType.NOT_RUN),
                f"The request was not run ({outcome.reason.value}); "
                "retry with the same ticket.",
                Ran.NO,
                outcome.retry_after_ms,
            )
        case OutcomeUnknown(UnknownReason.TICKET_EXPIRED):
            return ErrorBody(
                ErrorType.TICKET_EXPIRED,
                "The ticket has expired and its request may have run; "
                "find out whether it did before requesting a new ticket.",
                Ran.UNKNOWN,
            )
        case OutcomeUnknown(reason):
            return ErrorBody(
                ErrorType.OUTCOME_UNKNOWN,
                f"The request may have run ({reason.value}); "
                "find out whether it did before requesting a new ticket.",
                Ran.UNKNOWN,
            )
