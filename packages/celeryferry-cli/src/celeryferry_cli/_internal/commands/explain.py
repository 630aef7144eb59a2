"""``celeryferry explain``."""

from datetime import timedelta
from typing import Any
from urllib.parse import urlencode

from result import Err, Ok

from celeryferry_cli._internal.client import call_first_reachable, open_client
from celeryferry_cli._internal.commands.explain_log import explain_request
from celeryferry_cli._internal.failures import (
    load_token,
    report_failure,
    report_usage_error,
)
from celeryferry_cli._internal.options import parse_files, parse_hosts, parse_with
from celeryferry_cli._internal.reports import (
    ExitCode,
    Invocation,
    Report,
)

EXPLAIN_TIMEOUT = timedelta(seconds=5)


@parse_with(host=parse_hosts, log=parse_files)
def explain(
    name: str,
    *,
    host: tuple[str, ...] = (),
    log: tuple[str, ...] = (),
    token_file: str | None = None,
    json: bool = False,
) -> Invocation:
    """Show how a query would be routed now, or what happened to a request, and why.

    :param name: name of an application with --host, id of a request with --log.
    :param host: ip:port of one or more peer listeners, separated by commas; the
        first one that answers is asked.
    :param log: one or more log files of hosts, separated by commas.
    :param token_file: file with the fleet token.
    :param json: print JSON instead of text.
    """
    if bool(host) == bool(log):
        return Invocation(_reject_options, json)
    if log:
        return Invocation(lambda: _explain_from_logs(name, log), json)
    return Invocation(lambda: _explain_routing(name, host, token_file), json)


async def _reject_options() -> Report:
    return report_usage_error(
        "give either --host IP:PORT for an application or --log FILE for a request id"
    )


async def _explain_from_logs(request_id: str, files: tuple[str, ...]) -> Report:
    return explain_request(request_id, files)


async def _explain_routing(
    application: str, hosts: tuple[str, ...], token_file: str | None
) -> Report:
    path = f"/operator/v1/explain?{urlencode({'application': application})}"
    token = load_token(token_file)
    if isinstance(token, Err):
        return token.err_value
    async with open_client(token.ok_value) as client:
        result = await call_first_reachable(
            hosts,
            lambda address: client.get(address, path, dict[str, Any], EXPLAIN_TIMEOUT),
        )
    match result:
        case Ok(answer):
            return Report(ExitCode.OK, tuple(_describe(answer)), answer)
        case Err(error):
            return report_failure(error)


def _describe(answer: dict[str, Any]) -> list[str]:
    shards = answer.get("shards", [])
    snapshot = answer.get("snapshot")
    lines = [
        f"application {answer.get('application')}: "
        f"snapshot {'none known' if snapshot is None else snapshot}, "
        f"{len(shards)} shards"
    ]
    for shard in shards:
        lines.append(
            f"{shard.get('service')}/{shard.get('shard')}: "
            f"chosen {shard.get('chosen') or 'none'} ({shard.get('reason')})"
        )
        lines += [
            _describe_candidate(candidate) for candidate in shard.get("candidates", [])
        ]
    return lines


def _describe_candidate(candidate: dict[str, Any]) -> str:
    versions = ", ".join(map(str, candidate.get("index_versions", []))) or "none known"
    return (
        f"  {candidate.get('upstream')}  {candidate.get('failure_domain')}  "
        f"owner {candidate.get('owner') or 'none'}  "
        f"{candidate.get('state') or 'not observed'}  versions {versions}  "
        f"expected {candidate.get('expected_ms')} ms"
    )
