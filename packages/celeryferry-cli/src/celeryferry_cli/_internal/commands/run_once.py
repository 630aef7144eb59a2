"""``celeryferry run-once``."""

import sys
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec
from result import Err, Ok, Result

from celeryferry_cli._internal.client import (
    CallError,
    CallFailure,
    DaemonClient,
    DaemonError,
    call_first_reachable,
    open_client,
)
from celeryferry_cli._internal.commands.entry_hosts import fetch_entry_hosts
from celeryferry_cli._internal.failures import report_failure
from celeryferry_cli._internal.options import (
    parse_hosts,
    parse_json_value,
    parse_positive_int,
    parse_with,
)
from celeryferry_cli._internal.reports import ExitCode, Invocation, Report
from celeryferry_core.models.callers import (
    ErrorType,
    Ran,
    RunOnceAnswer,
    RunOnceRequest,
    TicketAnswer,
    TicketRequest,
)

DEFAULT_DEADLINE_MS = 10_000
TICKET_TIMEOUT = timedelta(seconds=5)
ANSWER_MARGIN = timedelta(seconds=2)
# Largest number of hosts that the tool sends one ticket to.
MAX_ATTEMPTS = 4


@dataclass(slots=True)
class TicketAttempts:
    """Failed attempts to run a request with one ticket.

    :param is_from_earlier_run: True if the ticket comes from an earlier run of the
        tool.
    :param errors: errors of the attempts so far, in order.
    """

    ticket: str
    is_from_earlier_run: bool
    errors: list[CallError] = field(default_factory=list)

    @property
    def may_have_run(self) -> bool:
        """Whether some attempt may have run the request.

        An answer "not run" holds only for its own attempt. An earlier attempt without
        an answer may still be on its way to the process that issued the ticket.
        """
        return self.is_from_earlier_run or any(
            not error.ran_nothing
            if isinstance(error, CallFailure)
            else error.error.ran is not Ran.NO
            for error in self.errors
        )


@parse_with(host=parse_hosts, deadline_ms=parse_positive_int)
def run_once(
    application: str,
    request: str,
    *,
    host: tuple[str, ...],
    service: str | None = None,
    ticket: str | None = None,
    deadline_ms: int = DEFAULT_DEADLINE_MS,
    json: bool = False,
) -> Invocation:
    """Run a non-repeatable request at most once.

    Requests a ticket and runs the request with it. If a host gives no answer, the
    same ticket is sent through another entry host, which never runs the request twice.
    Exit code 0: it ran; 1: it failed, see the text; 4: it may or may not have run.

    :param application: application of the request.
    :param request: JSON value; any other text is sent as a JSON string.
    :param host: ip:port of one or more listeners for callers, separated by commas.
    :param service: service of the request, if the application has several.
    :param ticket: ticket of an earlier attempt; else a new one is requested.
    :param deadline_ms: time limit of each attempt in milliseconds.
    :param json: print JSON instead of text.
    """
    body = parse_json_value(request)

    async def start() -> Report:
        async with open_client() as client:
            ticket_result = await _acquire_ticket(
                client, host, application, service, ticket
            )
            if isinstance(ticket_result, Err):
                return _report_ticket_failure(ticket_result.err_value)
            message = RunOnceRequest(ticket_result.ok_value, body, deadline_ms)
            hosts = await _list_entry_hosts(client, host, application)
            attempts = TicketAttempts(
                message.ticket, is_from_earlier_run=ticket is not None
            )
            return await _try_hosts(client, hosts, message, attempts)

    return Invocation(start, json, interrupted_code=ExitCode.UNKNOWN)


async def _acquire_ticket(
    client: DaemonClient,
    hosts: tuple[str, ...],
    application: str,
    service: str | None,
    ticket: str | None,
) -> Result[str, CallError]:
    if ticket is not None:
        return Ok(ticket)
    message = TicketRequest(application, service)
    result = await call_first_reachable(
        hosts,
        lambda address: client.post(
            address, "/v1/tickets", message, TicketAnswer, TICKET_TIMEOUT
        ),
    )
    if isinstance(result, Err):
        return result
    answer = result.ok_value
    # Printed before the request is sent, so that the user has the ticket even if the
    # tool crashes.
    print(
        f"ticket {answer.ticket}, valid for {answer.expires_in_ms} ms", file=sys.stderr
    )
    return Ok(answer.ticket)


async def _list_entry_hosts(
    client: DaemonClient, hosts: tuple[str, ...], application: str
) -> tuple[str, ...]:
    result = await call_first_reachable(
        hosts, lambda address: fetch_entry_hosts(client, address, application)
    )
    listed_addresses = (
        [host.address for host in result.ok_value.hosts] if result.is_ok() else []
    )
    return tuple(dict.fromkeys([*hosts, *listed_addresses]))[:MAX_ATTEMPTS]


async def _try_hosts(
    client: DaemonClient,
    hosts: tuple[str, ...],
    message: RunOnceRequest,
    attempts: TicketAttempts,
) -> Report:
    timeout = timedelta(milliseconds=message.deadline_ms) + ANSWER_MARGIN
    for address in hosts:
        result = await client.post(
            address, "/v1/run-once", message, RunOnceAnswer, timeout
        )
        match result:
            case Ok(answer):
                return _report_success(answer, attempts)
            case Err(error):
                # _is_final expects only the earlier errors in attempts.
                is_last = _is_final(error, attempts)
                attempts.errors.append(error)
                if is_last:
                    break
    return _report_failed_attempts(attempts)


def _is_final(error: CallError, attempts: TicketAttempts) -> bool:
    match error:
        case DaemonError(error=body):
            is_outcome_known = body.ran is Ran.YES or _expired_before_running(error)
            return is_outcome_known or _is_malformed(error) or not attempts.may_have_run
    return False


def _expired_before_running(error: CallError) -> bool:
    # The issuer never runs an expired ticket, so no attempt can run any more.
    return isinstance(error, DaemonError) and (
        error.error.type is ErrorType.TICKET_EXPIRED and error.error.ran is Ran.NO
    )


def _is_malformed(error: CallError) -> bool:
    # TICKET_UNKNOWN means that the text of the ticket is malformed. All hosts validate
    # it in the same way, so the answer is final.
    return (
        isinstance(error, DaemonError) and error.error.type is ErrorType.TICKET_UNKNOWN
    )


def _report_success(answer: RunOnceAnswer, attempts: TicketAttempts) -> Report:
    lines = [f"attempt through {error}" for error in attempts.errors]
    lines += ["ran: yes", f"result: {bytes(answer.result).decode()}"]
    return Report(ExitCode.OK, tuple(lines), answer)


def _report_ticket_failure(error: CallError) -> Report:
    failure = report_failure(error)
    lines_without_ran = (line for line in failure.lines if not line.startswith("ran: "))
    lines = (*lines_without_ran, "ran: no (no ticket was issued)")
    code = ExitCode.FAILED if failure.code is ExitCode.UNKNOWN else failure.code
    return Report(code, lines, failure.record)


def _report_failed_attempts(attempts: TicketAttempts) -> Report:
    last = attempts.errors[-1]
    lines = [f"attempt through {error}" for error in attempts.errors]
    retry_advice = f"retry with --ticket {attempts.ticket} before the ticket expires"
    if isinstance(last, DaemonError) and last.error.ran is Ran.YES:
        ran, advice = Ran.YES, f"the result is missing; {retry_advice} to get it"
        code = ExitCode.FAILED
    elif _expired_before_running(last):
        ran, advice = Ran.NO, "to run it, request a new ticket"
        code = ExitCode.FAILED
    elif attempts.is_from_earlier_run and _is_malformed(last):
        # --ticket may be mistyped; the request of the intended ticket may have run.
        ran, code = Ran.UNKNOWN, ExitCode.INVALID
        advice = "check the text after --ticket; nothing ran with this text"
    elif attempts.may_have_run:
        ran, code = Ran.UNKNOWN, ExitCode.UNKNOWN
        advice = f"to find out, {retry_advice}; a new ticket may run the request twice"
    else:
        ran, advice = Ran.NO, f"to run it, {retry_advice}, or request a new ticket"
        code = ExitCode.FAILED
        if isinstance(last, DaemonError):
            code = report_failure(last).code
    record = {
        "ticket": attempts.ticket,
        "ran": ran,
        "advice": advice,
        "attempts": [_build_attempt_record(error) for error in attempts.errors],
    }
    return Report(code, (*lines, f"ran: {ran}", advice), record)


def _build_attempt_record(error: CallError) -> dict[str, object]:
    match error:
        case DaemonError(address, body):
            return {"address": address, "error": msgspec.to_builtins(body)}
        case CallFailure(kind, address, detail):
            return {"address": address, "failure": kind, "detail": detail}
