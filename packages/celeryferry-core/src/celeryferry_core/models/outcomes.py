"""Outcomes of subqueries and non-repeatable requests, with their reasons."""

from enum import StrEnum

import msgspec


class UpstreamState(StrEnum):
    """State of an upstream as its owner sees it."""

    READY = "ready"
    COLD = "cold"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"


class NotRunReason(StrEnum):
    """Why a request was not run."""

    NOT_OWNER = "not_owner"
    NO_OWNER = "no_owner"
    COLD = "cold"
    DRAINING = "draining"
    SHEDDING = "shedding"
    DEADLINE = "deadline"
    VERSION_GONE = "version_gone"
    FAILURE_DOMAIN_OUT = "failure_domain_out"
    STALE_CONFIGURATION = "stale_configuration"
    OVERLOADED = "overloaded"
    UNREACHABLE = "unreachable"
    STARTING = "starting"
    LEAVING = "leaving"
    UNKNOWN_SHARD = "unknown_shard"
    TICKET_EXPIRED = "ticket_expired"


class UnknownReason(StrEnum):
    """Why the outcome of a request is unknown."""

    CONNECTION_LOST = "connection_lost"
    TIMEOUT = "timeout"
    BAD_ANSWER = "bad_answer"
    CANCELLED = "cancelled"
    ISSUER_GONE = "issuer_gone"
    TICKET_EXPIRED = "ticket_expired"
    ALREADY_SENT = "already_sent"


class CoverageReason(StrEnum):
    """Why a shard is missing from an answer."""

    NO_OWNER = "no_owner"
    NO_REPLICA = "no_replica"
    NO_SNAPSHOT = "no_snapshot"
    VERSION_GONE = "version_gone"
    TIMEOUT = "timeout"
    OUTCOME_UNKNOWN = "outcome_unknown"
    NOT_RUN = "not_run"
    FAILURE_DOMAIN_OUT = "failure_domain_out"


class Answered(msgspec.Struct, frozen=True, tag="answered", forbid_unknown_fields=True):
    """The upstream ran the request and answered.

    :param index_version: index version that the answer was read from.
    :param hits: JSON array of hits as the upstream sent it; it is forwarded without
        being decoded.
    """

    index_version: int
    hits: msgspec.Raw


class RunAnswered(
    msgspec.Struct, frozen=True, tag="run_answered", forbid_unknown_fields=True
):
    """The upstream ran a non-repeatable request and answered.

    :param result: JSON value as the upstream sent it.
    """

    result: msgspec.Raw


class NotRun(msgspec.Struct, frozen=True, tag="not_run", forbid_unknown_fields=True):
    """The request was not run.

    :param holder: host id of the owner, if the reason is ``not_owner``.
    :param index_versions: index versions that the upstream holds, if the reason is
        ``version_gone``.
    :param retry_after_ms: shortest delay before a useful retry in milliseconds, 0 if
        unknown.
    """

    reason: NotRunReason
    holder: str | None = None
    index_versions: tuple[int, ...] = ()
    retry_after_ms: int = 0


class OutcomeUnknown(
    msgspec.Struct, frozen=True, tag="outcome_unknown", forbid_unknown_fields=True
):
    """It is unknown whether the request ran."""

    reason: UnknownReason


SearchOutcome = Answered | NotRun | OutcomeUnknown
RunOutcome = RunAnswered | NotRun | OutcomeUnknown
