"""``celeryferry explain``."""

from datetime import timedelta
from typing import Any
from urllib.parse import urlencode

from result import Err, Ok

from celeryferry_cli._internal.client import open_client, try_each
from celeryferry_cli._internal.failures import load_token, report_failure
from celeryferry_cli._internal.options import parse_hosts, parse_with
from celeryferry_cli._internal.reports import (
    ExitCode,
    Invocation,
    Report,
)

TIMEOUT = timedelta(seconds=5)


@parse_with(host=parse_hosts)
def explain(
    application: str,
    *,
    host: tuple[str, ...],
    token_file: str | None = None,
    json: bool = False,
) -> Invocation:
    """Show how a host would route a query of an application now, and why.

    :param application: name of the application.
    :param host: ip:port of one or more peer listeners, separated by commas; the
        first one that answers is asked.
    :param token_file: file with the fleet token.
    :param json: print JSON instead of text.
    """
    path = f"/operator/v1/explain?{urlencode({'application': application})}"

    async def start() -> Report:
        token = load_token(token_file)
        if isinstance(token, Err):
            return token.err_value
        async with open_client(token.ok_value) as client:
            result = await try_each(
                host,
                lambda address: client.get(address, path, dict[str, Any], TIMEOUT),
            )
        match result:
            case Ok(answer):
                return Report(ExitCode.OK, tuple(_describe(answer)), answer)
            case Err(error):
                return report_failure(error)

    return Invocation(start, json)


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
        lines += [_describe_candidate(one) for one in shard.get("candidates", [])]
    return lines


def _describe_candidate(candidate: dict[str, Any]) -> str:
    versions = ", ".join(map(str, candidate.get("index_versions", []))) or "none known"
    return (
        f"  {candidate.get('upstream')}  {candidate.get('failure_domain')}  "
        f"owner {candidate.get('owner') or 'none'}  "
        f"{candidate.get('state') or 'not observed'}  versions {versions}  "
        f"expected {candidate.get('expected_ms')} ms"
    )
