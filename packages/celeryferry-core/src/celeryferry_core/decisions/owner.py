"""Decisions of the owner role."""

from dataclasses import dataclass
from typing import ClassVar

from celeryferry_core.decisions.base import Decision
from celeryferry_core.limits import LimitCause
from celeryferry_core.models.outcomes import NotRunReason, UpstreamState


@dataclass(frozen=True, slots=True)
class _OwnerDecision(Decision):
    PREFIX: ClassVar[str] = "owner:"


@dataclass(frozen=True, slots=True)
class _UpstreamDecision(_OwnerDecision):
    """Base of decisions about one owned upstream.

    :param upstream: address of the upstream.
    """

    upstream: str


@dataclass(frozen=True, slots=True)
class BatchAdmitted(_OwnerDecision):
    """A batch of subqueries was accepted.

    :param snapshot: index version it is pinned to.
    :param sent: number of subqueries sent immediately.
    :param queued: number of subqueries that wait for the concurrency limit.
    :param refused: number of subqueries refused; each has a log line of its own.
    """

    SENTENCE: ClassVar[str] = "batch admitted"

    query_id: str
    snapshot: int
    sent: int
    queued: int
    refused: int


@dataclass(frozen=True, slots=True)
class RunAdmitted(_OwnerDecision):
    """A non-repeatable request was accepted."""

    SENTENCE: ClassVar[str] = "run request admitted"

    ticket: str
    upstream: str


@dataclass(frozen=True, slots=True)
class WorkRefused(_OwnerDecision):
    """A request was not run.

    :param request_id: query id or ticket.
    :param upstream: address of the upstream.
    :param holder: owner reported to the sender if the reason is ``not_owner``.
    :param retry_after_ms: time after which a retry makes sense.
    """

    SENTENCE: ClassVar[str] = "request not run"

    request_id: str
    upstream: str
    reason: NotRunReason
    holder: str | None
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class LimitChanged(_UpstreamDecision):
    """The concurrency limit or the state of an upstream changed.

    :param before: limit before the change.
    :param after: limit after the change.
    :param state: state after the change.
    """

    SENTENCE: ClassVar[str] = "limit changed"

    before: int
    after: int
    cause: LimitCause
    state: UpstreamState


@dataclass(frozen=True, slots=True)
class SurplusCancelled(_UpstreamDecision):
    """Subqueries in flight were cancelled because the limit was lowered.

    :param cancelled: number of cancelled subqueries.
    :param limit: limit after the change.
    """

    SENTENCE: ClassVar[str] = "surplus work cancelled"

    cancelled: int
    limit: int


@dataclass(frozen=True, slots=True)
class UpstreamAdded(_UpstreamDecision):
    """This host became the owner of an upstream.

    :param key: ownership key of the upstream.
    :param limit: initial concurrency limit.
    """

    SENTENCE: ClassVar[str] = "upstream added"

    key: str
    limit: int


@dataclass(frozen=True, slots=True)
class UpstreamRemoved(_UpstreamDecision):
    """This host stopped work on an upstream.

    :param key: ownership key of the upstream.
    :param queued: number of queued requests, which are refused.
    :param in_flight: number of requests in flight, which complete first.
    """

    SENTENCE: ClassVar[str] = "upstream removed"

    key: str
    queued: int
    in_flight: int
