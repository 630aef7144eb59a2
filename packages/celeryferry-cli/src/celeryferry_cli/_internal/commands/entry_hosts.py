"""``celeryferry entry-hosts``."""

from datetime import timedelta
from urllib.parse import urlencode

from result import Err, Ok, Result

from celeryferry_cli._internal.client import (
    CallError,
    DaemonClient,
    call_first_reachable,
    open_client,
)
from celeryferry_cli._internal.failures import report_failure
from celeryferry_cli._internal.options import parse_hosts, parse_with
from celeryferry_cli._internal.reports import ExitCode, Invocation, Report
from celeryferry_core.models.callers import EntryHostsAnswer

ENTRY_HOSTS_TIMEOUT = timedelta(seconds=5)


@parse_with(host=parse_hosts)
def entry_hosts(
    application: str,
    *,
    host: tuple[str, ...],
    failure_domain: str | None = None,
    json: bool = False,
) -> Invocation:
    """Show the entry hosts that a caller may connect to, preferred ones first.

    :param application: name of the application that the caller uses.
    :param host: ip:port of one or more listeners for callers, separated by commas.
    :param failure_domain: failure domain of the caller.
    :param json: print JSON instead of text.
    """

    async def start() -> Report:
        async with open_client() as client:
            result = await call_first_reachable(
                host,
                lambda address: fetch_entry_hosts(
                    client, address, application, failure_domain
                ),
            )
        match result:
            case Ok(answer):
                return Report(ExitCode.OK, _describe(answer), answer)
            case Err(error):
                return report_failure(error)

    return Invocation(start, json)


async def fetch_entry_hosts(
    client: DaemonClient,
    address: str,
    application: str,
    failure_domain: str | None = None,
) -> Result[EntryHostsAnswer, CallError]:
    """Ask a daemon for the entry hosts of an application.

    :param client: client without a token.
    :param address: ``ip:port`` of the daemon's listener for callers.
    :param failure_domain: failure domain of the caller, None if unknown.
    """
    parameters = {"application": application}
    if failure_domain is not None:
        parameters["failure_domain"] = failure_domain
    path = f"/v1/entry-hosts?{urlencode(parameters)}"
    return await client.get(address, path, EntryHostsAnswer, ENTRY_HOSTS_TIMEOUT)


def _describe(answer: EntryHostsAnswer) -> tuple[str, ...]:
    lines = [f"{host.address}  {host.failure_domain}" for host in answer.hosts]
    return (*lines, f"{len(lines)} entry hosts, valid for {answer.valid_for_ms} ms")
