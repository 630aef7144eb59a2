"""``celeryferry drain``."""

from datetime import timedelta
from typing import Any

from result import Err, Ok

from celeryferry_cli._internal.client import open_client
from celeryferry_cli._internal.failures import (
    load_token,
    report_failure,
    report_usage_error,
)
from celeryferry_cli._internal.options import parse_hosts, parse_with
from celeryferry_cli._internal.reports import (
    ExitCode,
    Invocation,
    Report,
)

DRAIN_TIMEOUT = timedelta(seconds=5)


@parse_with(host=parse_hosts)
def drain(
    *, host: tuple[str, ...], token_file: str | None = None, json: bool = False
) -> Invocation:
    """Begin the planned stop of one host; no request is interrupted.

    The host announces that it is leaving, hands over its keys, finishes its requests
    and exits with code 0. This command returns once the stop has begun.

    :param host: ip:port of the peer listener of the host to stop.
    :param token_file: file with the fleet token.
    :param json: print JSON instead of text.
    """

    async def start() -> Report:
        if len(host) != 1:
            return report_usage_error("--host must name exactly one host to stop")
        token = load_token(token_file)
        if isinstance(token, Err):
            return token.err_value
        async with open_client(token.ok_value) as client:
            result = await client.post(
                host[0], "/operator/v1/drain", {}, dict[str, Any], DRAIN_TIMEOUT
            )
        match result:
            case Ok(answer):
                line = (
                    f"{host[0]}: planned stop begun; the daemon exits when it is idle"
                )
                return Report(ExitCode.OK, (line,), answer)
            case Err(error):
                return report_failure(error)

    return Invocation(start, json)
