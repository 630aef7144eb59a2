"""Reports on failed calls and wrong usage."""

from pathlib import Path

from result import Err, Ok, Result

from celeryferry_cli._internal.client import CallError, CallFailure, DaemonError
from celeryferry_cli._internal.reports import ExitCode, Report
from celeryferry_core.models.callers import ErrorType, Ran
from celeryferry_core.settings import read_token

_INVALID_INPUT_TYPES = (ErrorType.BAD_REQUEST, ErrorType.TOO_LARGE)


def report_failure(error: CallError) -> Report:
    """Build the report on a failed call that can safely be repeated.

    :param error: failure of the call, or error that the daemon answered with.
    """
    match error:
        case DaemonError(address, body):
            return Report(
                _choose_exit_code(error), _describe_error(error), {"error": body}
            )
        case CallFailure(kind, address, detail):
            record = {"failure": kind, "address": address, "detail": detail}
            return Report(ExitCode.FAILED, (str(error),), {"error": record})


def load_token(token_file: str | None) -> Result[str, Report]:
    """Read the fleet token for an operator command.

    :param token_file: path given on the command line, None if there was none.
    :returns: the token, or a report with exit code 2 if the file is missing or
        invalid.
    """
    if token_file is None:
        return Err(report_usage_error("operator commands need --token-file FILE"))
    match read_token(Path(token_file)):
        case Ok(token):
            return Ok(token)
        case Err(error):
            return Err(report_usage_error(str(error)))


def report_usage_error(message: str) -> Report:
    """Build the report on wrong usage, with exit code 2.

    :param message: what is wrong and what to do.
    """
    return Report(ExitCode.INVALID, (message,), {"error": {"message": message}})


def _choose_exit_code(error: DaemonError) -> ExitCode:
    if error.error.type in _INVALID_INPUT_TYPES:
        return ExitCode.INVALID
    if error.error.ran is Ran.UNKNOWN:
        return ExitCode.UNKNOWN
    return ExitCode.FAILED


def _describe_error(daemon_error: DaemonError) -> tuple[str, ...]:
    error = daemon_error.error
    lines = [str(daemon_error), f"ran: {error.ran}"]
    if error.retry_after_ms:
        lines.append(f"retry after: {error.retry_after_ms} ms")
    if error.query_id:
        lines.append(f"query id: {error.query_id}")
    return tuple(lines)
