"""Encodes and decodes the platform's HTTP messages of callers and upstreams."""

import re
from collections.abc import Iterable, Mapping
from datetime import timedelta

import msgspec

from celeryferry_core.forwarding.models import Upstream
from celeryferry_core.forwarding.notices import UpstreamNotice
from celeryferry_core.forwarding.outcomes import (
    AttemptOutcome,
    Failed,
    LossReason,
    Lost,
    Merged,
    NotRunResult,
    RefusalReason,
    Refused,
    Relayed,
    RequestResult,
    Succeeded,
    UnknownResult,
    UpstreamResponse,
)
from celeryferry_core.forwarding.processes import (
    Cold,
    OtherInstance,
    Undecided,
    Unstated,
    Warm,
    WarmupStatement,
)
from celeryferry_daemon._internal.forwarding.connection import RawResponse
from celeryferry_daemon._internal.forwarding.messages import (
    CallerRequest,
    CallerResponse,
)

READINESS_PATH = "/readyz"
ENTRY_HOSTS_PATH = "/resolve"
REQUEST_ID_HEADER = "x-request-id"
DEADLINE_MS_HEADER = "x-deadline-ms"
EXPECT_INSTANCE_HEADER = "x-expect-instance"
STAMP_HEADER = "x-server-stamp"
NOT_EXECUTED_HEADER = "x-not-executed"
LOAD_HEADER = "x-server-load"
LEAVING_HEADER = "server-leaving"
INSTANCE_HEADER = "x-instance-id"
WARMUP_HEADER = "x-warmup-ms"
PART_STAMPS_HEADER = "X-Part-Stamps"
MISSING_PARTS_HEADER = "X-Missing-Parts"
RETRY_AFTER_HEADER = "Retry-After"

# Headers that are not passed on: those that apply to one connection only,
# Content-Length, which this host sets itself, and Expect.
_CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
# Headers of a request that this host replaces by its own.
_OVERRIDDEN_HEADERS = frozenset({DEADLINE_MS_HEADER, EXPECT_INSTANCE_HEADER})
_DROPPED_RESPONSE_HEADERS = _CONNECTION_HEADERS | {
    LEAVING_HEADER,
    LOAD_HEADER,
    NOT_EXECUTED_HEADER,
    "date",
    "server",
}
# Statuses from which a caller concludes that its request was not run.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_OTHER_INSTANCE_STATUS = 421
_BAD_GATEWAY_STATUS = 502
_UNAVAILABLE_STATUS = 503
_GATEWAY_TIMEOUT_STATUS = 504
_MILLISECOND = timedelta(milliseconds=1)
_OK_STATUS = 200
# Fractions are accepted. Nine digits are eleven days.
_WARMUP_MS = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
# Ten digits are 115 days.
_DEADLINE_MS = re.compile(r"-?[0-9]{1,10}(?:\.[0-9]{1,10})?")
# Seconds. Longer numbers and dates are not part of the platform's protocol.
_RETRY_AFTER_S = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
_LOAD = re.compile(r"\s*([0-9]{1,6})\s*,\s*([0-9]{1,6})\s*(?:,.*)?")


def read_time_left(headers: Iterable[tuple[str, str]]) -> timedelta | None:
    """Return how long the caller will wait, None if not stated or invalid."""
    for name, value in headers:
        if name.lower() == DEADLINE_MS_HEADER:
            match = _DEADLINE_MS.fullmatch(value.strip())
            return timedelta(milliseconds=float(value)) if match else None
    return None


def read_request_id(headers: Iterable[tuple[str, str]]) -> str:
    """Return the request id that the caller assigned, empty if none."""
    for name, value in headers:
        if name.lower() == REQUEST_ID_HEADER:
            return value
    return ""


def make_payload(
    request: CallerRequest, upstream: Upstream, time_left: timedelta
) -> bytes | None:
    """Return the request as it is sent to an upstream.

    :param time_left: time within which the upstream must answer.
    :returns: encoded head and body, or None if less than 1 ms is left.
    """
    if time_left < _MILLISECOND:
        return None
    connection_options = {
        option.strip().lower()
        for name, value in request.headers
        if name.lower() == "connection"
        for option in value.split(",")
    }
    dropped = _CONNECTION_HEADERS | _OVERRIDDEN_HEADERS | connection_options
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [f"{k}: {v}" for k, v in request.headers if k.lower() not in dropped]
    lines.append(f"X-Deadline-Ms: {int(time_left / _MILLISECOND)}")
    lines.append(f"X-Expect-Instance: {upstream.instance_id}")
    if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(f"Content-Length: {len(request.body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + request.body


def is_matching_response(request: CallerRequest, response: RawResponse) -> bool:
    """Return whether a response answers a request and not an earlier one.

    A response without a request id is assumed to match.

    :param response: response received on the connection of the request.
    """
    echoed = response.get_header(REQUEST_ID_HEADER)
    return echoed is None or not request.request_id or echoed == request.request_id


def classify_response(response: RawResponse) -> AttemptOutcome:
    """Return the attempt outcome that a complete response indicates.

    A successful response must carry a stamp, which is its signature by the upstream,
    and no content encoding.
    """
    status = response.status
    if status == _OTHER_INSTANCE_STATUS:
        return Refused(RefusalReason.OTHER_INSTANCE)
    if response.get_header(NOT_EXECUTED_HEADER) is not None:
        return Refused(RefusalReason.UPSTREAM_REFUSED)
    stamp = response.get_header(STAMP_HEADER) or ""
    headers = tuple(
        (name, value)
        for name, value in response.headers
        if name not in _DROPPED_RESPONSE_HEADERS
    )
    translated = UpstreamResponse(status, headers, response.body, stamp)
    if not 200 <= status < 300:
        return Failed(translated)
    if not stamp or response.get_header("content-encoding") is not None:
        return Lost(LossReason.BAD_RESPONSE)
    return Succeeded(translated)


def read_load(response: RawResponse) -> int | None:
    """Return how many requests run or wait at the upstream.

    :returns: the sum of both, or None if the header is missing or invalid.
    """
    counts = _LOAD.fullmatch(response.get_header(LOAD_HEADER) or "")
    return int(counts[1]) + int(counts[2]) if counts else None


def read_notice(response: RawResponse) -> UpstreamNotice | None:
    """Return what a response says of its upstream, None if nothing.

    A response of another instance at the same address says nothing of the upstream.
    """
    if response.status == _OTHER_INSTANCE_STATUS:
        return None
    is_leaving = response.get_header(LEAVING_HEADER) == "1"
    stated = None
    if response.status == _UNAVAILABLE_STATUS:
        stated = response.get_header(RETRY_AFTER_HEADER.lower())
    if stated is None:
        return UpstreamNotice(is_leaving) if is_leaving else None
    if _RETRY_AFTER_S.fullmatch(stated) is None:
        return UpstreamNotice(is_leaving, is_invalid=True)
    return UpstreamNotice(is_leaving, timedelta(seconds=float(stated)))


def make_health_request(upstream: Upstream, path: str) -> bytes:
    """Return the request that asks an upstream for its health.

    :param path: path of the health check of its service.
    """
    return f"GET {path} HTTP/1.1\r\nHost: {upstream.address}\r\n\r\n".encode()


def read_health(upstream: Upstream, response: RawResponse) -> WarmupStatement:
    """Return what a response to the health check says of the cold start.

    An upstream that is failing or leaving answers 503, and says how long it is cold as
    well. One that is full answers 503 without its id, as to any request.
    """
    instance_id = response.get_header(INSTANCE_HEADER)
    if instance_id not in (None, upstream.instance_id):
        return OtherInstance()
    if response.status == _UNAVAILABLE_STATUS and instance_id is None:
        return Undecided()
    if response.status not in (_OK_STATUS, _UNAVAILABLE_STATUS):
        return Unstated()
    stated = response.get_header(WARMUP_HEADER)
    if stated is None:
        return Warm()
    if _WARMUP_MS.fullmatch(stated) is None:
        return Unstated()
    time_left = timedelta(milliseconds=float(stated))
    return Cold(time_left) if time_left else Warm()


def make_response(result: RequestResult) -> CallerResponse:
    """Return the response to the caller for the result of its request."""
    match result:
        case Relayed(response) if response.status in _NOT_RUN_STATUSES:
            # The upstream ran the request, but the caller would conclude from this
            # status that it was not run.
            return CallerResponse(_BAD_GATEWAY_STATUS)
        case Relayed(response):
            return CallerResponse(response.status, response.headers, response.body)
        case Merged(stamps, missing_count, body):
            headers = (
                (PART_STAMPS_HEADER, ", ".join(stamps)),
                (MISSING_PARTS_HEADER, str(missing_count)),
            )
            return CallerResponse(200, headers, body)
        case NotRunResult(reason=reason, retry_after=retry_after):
            headers = ((RETRY_AFTER_HEADER, f"{retry_after.total_seconds():.3f}"),)
            body = f"not run: {reason.value}\n".encode()
            return CallerResponse(_UNAVAILABLE_STATUS, headers, body)
        case UnknownResult(LossReason.TIMEOUT):
            return CallerResponse(_GATEWAY_TIMEOUT_STATUS, (), b"outcome unknown\n")
        case UnknownResult(reason):
            body = f"outcome unknown: {reason.value}\n".encode()
            return CallerResponse(_BAD_GATEWAY_STATUS, (), body)


def read_caller_domain(query: Mapping[str, str]) -> str:
    """Return the failure domain in a query for entry hosts, empty if none.

    :param query: parameters of the query string.
    """
    return query.get("zone", "")


def make_entry_hosts_response(
    addresses: list[str], validity: timedelta
) -> CallerResponse:
    """Return the response to a query for entry hosts.

    :param addresses: ``callers_address`` of the entry hosts.
    :param validity: how long the caller may keep the addresses.
    """
    body = msgspec.json.encode({"addrs": addresses, "ttl_s": validity.total_seconds()})
    return CallerResponse(200, (("Content-Type", "application/json"),), body)
