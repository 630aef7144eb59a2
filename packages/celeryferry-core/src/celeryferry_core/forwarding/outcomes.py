"""Outcomes of one attempt at an upstream and of a whole request."""

from datetime import timedelta
from enum import StrEnum

import msgspec


class UpstreamResponse(msgspec.Struct, frozen=True, gc=False):
    """A complete response of an upstream.

    :param status: HTTP status code.
    :param headers: end-to-end headers in the order received.
    :param stamp: signature of the response, empty if there is none.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    stamp: str = ""


class RefusalReason(StrEnum):
    """Why an attempt or a request was not run."""

    UPSTREAM_REFUSED = "upstream_refused"
    OTHER_INSTANCE = "other_instance"
    CONNECT_FAILED = "connect_failed"
    NOT_SENT = "not_sent"
    NO_UPSTREAM = "no_upstream"
    NO_CONFIGURATION = "no_configuration"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    CALLER_GONE = "caller_gone"
    STOPPING = "stopping"


class LossReason(StrEnum):
    """Why it is unknown whether an attempt ran."""

    CONNECTION_LOST = "connection_lost"
    BAD_RESPONSE = "bad_response"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"
    NOT_COVERED = "not_covered"


class Succeeded(msgspec.Struct, frozen=True, gc=False):
    """An upstream answered with success."""

    response: UpstreamResponse


class Failed(msgspec.Struct, frozen=True, gc=False):
    """An upstream ran the request and answered with a failure."""

    response: UpstreamResponse


class Refused(msgspec.Struct, frozen=True, gc=False):
    """The attempt was not run and never will be."""

    reason: RefusalReason


class Lost(msgspec.Struct, frozen=True, gc=False):
    """It is unknown whether the attempt ran."""

    reason: LossReason


AttemptOutcome = Succeeded | Failed | Refused | Lost


class Relayed(msgspec.Struct, frozen=True, gc=False):
    """The caller receives the response of one upstream."""

    response: UpstreamResponse


class Merged(msgspec.Struct, frozen=True, gc=False):
    """The caller receives the merged records of several shards.

    :param stamps: signatures of the shards' responses.
    :param missing_count: number of shards that are not covered.
    :param body: records in descending order.
    """

    stamps: tuple[str, ...]
    missing_count: int
    body: bytes


class NotRunResult(msgspec.Struct, frozen=True, gc=False):
    """The request was not run; the caller may retry it.

    With the reason ``CALLER_GONE`` nobody receives the result, and attempts may have
    run.

    :param retry_after: shortest delay before a retry is useful.
    """

    reason: RefusalReason
    retry_after: timedelta


class UnknownResult(msgspec.Struct, frozen=True, gc=False):
    """It is unknown whether the request ran.

    :param reason: why the request has no answer.
    """

    reason: LossReason


RequestResult = Relayed | Merged | NotRunResult | UnknownResult
