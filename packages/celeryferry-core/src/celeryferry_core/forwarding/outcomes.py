"""Outcomes of one attempt at an upstream and of a whole request."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """A complete response of an upstream.

    :param status: HTTP status.
    :param headers: end-to-end headers in order.
    :param body: whole body.
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


class LossReason(StrEnum):
    """Why it is unknown whether an attempt ran."""

    CONNECTION_LOST = "connection_lost"
    BAD_RESPONSE = "bad_response"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"
    NOT_COVERED = "not_covered"


@dataclass(frozen=True, slots=True)
class Succeeded:
    """An upstream answered with success.

    :param response: the response.
    """

    response: UpstreamResponse


@dataclass(frozen=True, slots=True)
class Failed:
    """An upstream ran the request and answered with a failure.

    :param response: the response.
    """

    response: UpstreamResponse


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was not run and never will be.

    :param reason: why.
    """

    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class Lost:
    """It is unknown whether the request ran.

    :param reason: why.
    """

    reason: LossReason


AttemptOutcome = Succeeded | Failed | Refused | Lost


@dataclass(frozen=True, slots=True)
class Relayed:
    """The caller gets the response of one upstream.

    :param response: the response.
    """

    response: UpstreamResponse


@dataclass(frozen=True, slots=True)
class Merged:
    """The caller gets the merged records of several shards.

    :param stamps: signatures of the parts.
    :param missing_count: shards that are not covered.
    :param body: records in falling order.
    """

    stamps: tuple[str, ...]
    missing_count: int
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRunResult:
    """The request was not run; the caller may come back.

    :param reason: why.
    :param retry_after: time after which it is worth coming back.
    """

    reason: RefusalReason
    retry_after: timedelta


@dataclass(frozen=True, slots=True)
class UnknownResult:
    """It is unknown whether the request ran.

    :param reason: why there is no answer.
    """

    reason: LossReason


RequestResult = Relayed | Merged | NotRunResult | UnknownResult
