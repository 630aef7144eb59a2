"""``celeryferry search``."""

from datetime import timedelta

from result import Err, Ok

from celeryferry_cli._internal.client import call_first_reachable, open_client
from celeryferry_cli._internal.failures import report_failure
from celeryferry_cli._internal.options import (
    parse_hosts,
    parse_json_value,
    parse_positive_int,
    parse_with,
)
from celeryferry_cli._internal.reports import ExitCode, Invocation, Report
from celeryferry_core.models.callers import SearchAnswer, SearchRequest

MAX_DEADLINE = timedelta(seconds=60)
# Time after the deadline that the client still waits for the entry host's answer.
ANSWER_MARGIN = timedelta(seconds=2)


@parse_with(host=parse_hosts, deadline_ms=parse_positive_int, limit=parse_positive_int)
def search(
    application: str,
    query: str,
    *,
    host: tuple[str, ...],
    deadline_ms: int | None = None,
    limit: int | None = None,
    json: bool = False,
) -> Invocation:
    """Search all shards of an application and show which shards the answer covers.

    Exit code 0: every shard is covered; 3: some shards are missing from the answer.

    :param application: name of the application to search.
    :param query: JSON value; any other text is sent as a JSON string.
    :param host: ip:port of one or more listeners for callers, separated by commas;
        the next one is tried if a host gives no answer.
    :param deadline_ms: time limit in milliseconds; else the one in the documents.
    :param limit: maximum number of hits; else all.
    :param json: print JSON instead of text.
    """
    request = SearchRequest(application, parse_json_value(query), deadline_ms, limit)

    async def start() -> Report:
        timeout = _compute_timeout(deadline_ms)
        async with open_client() as client:
            result = await call_first_reachable(
                host,
                lambda address: client.post(
                    address, "/v1/search", request, SearchAnswer, timeout
                ),
            )
        match result:
            case Ok(answer):
                code = ExitCode.OK if answer.complete else ExitCode.INCOMPLETE
                return Report(code, _describe(answer), answer)
            case Err(error):
                return report_failure(error)

    return Invocation(start, json)


def _compute_timeout(deadline_ms: int | None) -> timedelta:
    if deadline_ms is None:
        return MAX_DEADLINE + ANSWER_MARGIN
    return timedelta(milliseconds=deadline_ms) + ANSWER_MARGIN


def _describe(answer: SearchAnswer) -> tuple[str, ...]:
    lines = [
        f"{hit.score:g}  {hit.id}  {bytes(hit.record).decode()}" for hit in answer.hits
    ]
    total = len(answer.covered) + len(answer.not_covered)
    lines += [
        f"{len(answer.hits)} hits from snapshot {answer.snapshot} "
        f"in {answer.elapsed_ms:.1f} ms (query {answer.query_id})",
        f"coverage: {len(answer.covered)} of {total} shards",
    ]
    lines += [
        f"  not covered: {shard.service}/{shard.shard}: {shard.reason}"
        for shard in answer.not_covered
    ]
    return tuple(lines)
