"""Messages of the interface for callers, encoded as JSON."""

from enum import StrEnum

import msgspec

from celeryferry_core.models.outcomes import CoverageReason


class _Request(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of messages from callers; unknown fields are an error."""


class _Answer(msgspec.Struct, frozen=True):
    """Base of messages to callers; later versions may add fields."""


class Ran(StrEnum):
    """Whether a failed request ran."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class ErrorType(StrEnum):
    """Types of errors that callers receive."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_APPLICATION = "unknown_application"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    TICKET_EXPIRED = "ticket_expired"
    TICKET_UNKNOWN = "ticket_unknown"
    OVERLOADED = "overloaded"
    NO_COVERAGE = "no_coverage"
    STALE_CONFIGURATION = "stale_configuration"
    STARTING = "starting"
    OUTCOME_UNKNOWN = "outcome_unknown"
    NOT_RUN = "not_run"
    INTERNAL = "internal"


class SearchRequest(_Request, frozen=True):
    """A search over all shards of an application.

    :param query: any JSON value, passed to the upstreams unchanged.
    :param deadline_ms: maximum time in milliseconds; None uses the deadline of the
        service documents.
    :param limit: maximum number of hits; None returns all.
    """

    application: str
    query: msgspec.Raw
    deadline_ms: int | None = None
    limit: int | None = None


class Hit(_Answer, frozen=True):
    """A matching record.

    :param score: score of the record; higher is better.
    :param record: the record, any JSON value.
    """

    id: str
    score: float
    record: msgspec.Raw = msgspec.Raw(b"null")


class CoveredShard(_Answer, frozen=True):
    """A shard whose hits are included in the answer."""

    service: str
    shard: str


class MissingShard(_Answer, frozen=True):
    """A shard whose hits are missing from the answer."""

    service: str
    shard: str
    reason: CoverageReason


class SearchAnswer(_Answer, frozen=True):
    """Answer to a search.

    :param application: application that was searched.
    :param snapshot: index version that all hits were read from.
    :param hits: hits in the order of descending score.
    :param covered: shards whose hits are included.
    :param not_covered: shards whose hits are missing, with reasons.
    :param complete: True if no shard is missing.
    :param elapsed_ms: time spent in the entry host in milliseconds.
    """

    query_id: str
    application: str
    snapshot: int
    hits: tuple[Hit, ...]
    covered: tuple[CoveredShard, ...]
    not_covered: tuple[MissingShard, ...]
    complete: bool
    elapsed_ms: float


class EntryHost(_Answer, frozen=True):
    """An entry host that a caller may use.

    :param address: ``ip:port`` of its listener for callers.
    """

    address: str
    failure_domain: str


class EntryHostsAnswer(_Answer, frozen=True):
    """Entry hosts that a caller may use, preferred ones first.

    :param valid_for_ms: time for which the caller may cache the answer, in
        milliseconds.
    """

    hosts: tuple[EntryHost, ...]
    valid_for_ms: int


class TicketRequest(_Request, frozen=True):
    """Request for a ticket for one non-repeatable request.

    :param service: service that runs the request; may be omitted if the application has
        only one.
    """

    application: str
    service: str | None = None


class TicketAnswer(_Answer, frozen=True):
    """A ticket for one non-repeatable request.

    :param expires_in_ms: time in milliseconds until the ticket expires.
    """

    ticket: str
    expires_in_ms: int


class RunOnceRequest(_Request, frozen=True):
    """Call that runs the non-repeatable request of a ticket at most once.

    :param ticket: ticket from ``POST /v1/tickets``.
    :param request: any JSON value, passed to the upstream unchanged.
    :param deadline_ms: maximum time in milliseconds.
    """

    ticket: str
    request: msgspec.Raw
    deadline_ms: int = 10_000


class RunOnceAnswer(_Answer, frozen=True):
    """Result of a non-repeatable request.

    :param result: JSON value from the upstream.
    :param ran: always ``yes``.
    """

    ticket: str
    result: msgspec.Raw
    ran: Ran = Ran.YES


class ErrorBody(_Answer, frozen=True):
    """Description of an error.

    :param message: what happened and what the caller can do.
    :param ran: whether the request ran.
    :param retry_after_ms: shortest delay before a useful retry in milliseconds, 0 if
        unknown.
    :param query_id: id of the query, None if none was assigned.
    """

    type: ErrorType
    message: str
    ran: Ran
    retry_after_ms: int = 0
    query_id: str | None = None


class ErrorAnswer(_Answer, frozen=True):
    """Error message to a caller."""

    error: ErrorBody
