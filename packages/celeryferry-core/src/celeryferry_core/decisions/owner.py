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
    """A batch was taken over.

    :param query_id: id of the query.
    :param snapshot: index version it is pinned to.
    :param sent: subqueries sent at once.
    :param queued: subqueries that wait for the limit.
    :param refused: subqueries refused, each of which has its own line.
    """

    SENTENCE: ClassVar[str] = "batch admitted"

    query_id: str
    snapshot: int
    sent: int
    queued: int
    refused: int


@dataclass(frozen=True, slots=True)
class RunAdmitted(_OwnerDecision):
    """A non-repeatable request was taken over.

    :param ticket: ticket of the request.
    :param upstream: address of the upstream.
    """

    SENTENCE: ClassVar[str] = "run request admitted"

    ticket: str
    upstream: str


@dataclass(frozen=True, slots=True)
class WorkRefused(_OwnerDecision):
    """A request was not run.

    :param request_id: query id or ticket.
    :param upstream: address of the upstream.
    :param reason: why it was not run.
    :param holder: owner named to the sender, if the reason is ``not_owner``.
    :param retry_after_ms: earliest useful retry in milliseconds.
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

    :param before: limit before.
    :param after: limit after.
    :param cause: what caused it.
    :param state: state after the change.
    """

    SENTENCE: ClassVar[str] = "limit changed"

    before: int
    after: int
    cause: LimitCause
    state: UpstreamState


@dataclass(frozen=True, slots=True)
class SurplusCancelled(_UpstreamDecision):
    """Work in flight was cancelled because the limit dropped.

    :param cancelled: number of cancelled subqueries.
    :param limit: limit after the drop.
    """

    SENTENCE: ClassVar[str] = "surplus work cancelled"

    cancelled: int
    limit: int


@dataclass(frozen=True, slots=True)
class UpstreamAdded(_UpstreamDecision):
    """This host became the owner of an upstream.

    :param key: ownership key.
    :param limit: concurrency limit it starts with.
    """

    SENTENCE: ClassVar[str] = "upstream added"

    key: str
    limit: int


@dataclass(frozen=True, slots=True)
class UpstreamRemoved(_UpstreamDecision):
    """This host stopped work on an upstream.

    :param key: ownership key.
    :param queued: requests that were waiting and are refused.
    :param in_flight: requests that finish first.
    """

    SENTENCE: ClassVar[str] = "upstream removed"

    key: str
    queued: int
    in_flight: int
