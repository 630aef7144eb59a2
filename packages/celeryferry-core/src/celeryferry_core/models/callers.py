"""Messages of the callers' interface; JSON on the wire."""

from enum import StrEnum

import msgspec

from celeryferry_core.models.outcomes import CoverageReason


class _Request(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of what callers send; unknown fields are an error."""


class _Answer(msgspec.Struct, frozen=True):
    """Base of what callers receive; later versions may add fields."""


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

    :param application: application to search.
    :param query: any JSON value, passed to the upstreams as it is.
    :param deadline_ms: longest time in milliseconds; None takes the documents' value.
    :param limit: largest number of hits; None returns all.
    """

    application: str
    query: msgspec.Raw
    deadline_ms: int | None = None
    limit: int | None = None


class Hit(_Answer, frozen=True):
    """One record that matches.

    :param id: id of the record.
    :param score: rank of the record, higher is better.
    :param record: the record, any JSON value.
    """

    id: str
    score: float
    record: msgspec.Raw = msgspec.Raw(b"null")


class CoveredShard(_Answer, frozen=True):
    """A shard whose answer is in the result.

    :param service: service of the shard.
    :param shard: name of the shard.
    """

    service: str
    shard: str


class MissingShard(_Answer, frozen=True):
    """A shard whose answer is not in the result.

    :param service: service of the shard.
    :param shard: name of the shard.
    :param reason: why it is missing.
    """

    service: str
    shard: str
    reason: CoverageReason


class SearchAnswer(_Answer, frozen=True):
    """Answer to a search.

    :param query_id: id of the query.
    :param application: application searched.
    :param snapshot: index version that all hits were read from.
    :param hits: hits, best first.
    :param covered: shards that the hits cover.
    :param not_covered: shards that are missing, with reasons.
    :param complete: True if no shard is missing.
    :param elapsed_ms: time in the entry host in milliseconds.
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
    :param failure_domain: its failure domain.
    """

    address: str
    failure_domain: str


class EntryHostsAnswer(_Answer, frozen=True):
    """Entry hosts that a caller may use, preferred ones first.

    :param hosts: the entry hosts.
    :param valid_for_ms: how long the caller may keep the answer, in milliseconds.
    """

    hosts: tuple[EntryHost, ...]
    valid_for_ms: int


class TicketRequest(_Request, frozen=True):
    """Asks for a ticket for one non-repeatable request.

    :param application: application of the request.
    :param service: service of the request; may be left out if there is only one.
    """

    application: str
    service: str | None = None


class TicketAnswer(_Answer, frozen=True):
    """A ticket for one non-repeatable request.

    :param ticket: the ticket.
    :param expires_in_ms: time until it expires in milliseconds.
    """

    ticket: str
    expires_in_ms: int


class RunOnceRequest(_Request, frozen=True):
    """Runs the request of a ticket at most once.

    :param ticket: ticket from ``POST /v1/tickets``.
    :param request: any JSON value, passed to the upstream as it is.
    :param deadline_ms: longest time in milliseconds.
    """

    ticket: str
    request: msgspec.Raw
    deadline_ms: int = 10_000


class RunOnceAnswer(_Answer, frozen=True):
    """Result of a non-repeatable request.

    :param ticket: the ticket.
    :param result: JSON value from the upstream.
    :param ran: always ``yes``.
    """

    ticket: str
    result: msgspec.Raw
    ran: Ran = Ran.YES


class ErrorBody(_Answer, frozen=True):
    """Content of an error.

    :param type: type of the error.
    :param message: what happened and what to do.
    :param ran: whether the request ran.
    :param retry_after_ms: earliest useful retry in milliseconds, 0 if not known.
    :param query_id: id of the query, None if it got none.
    """

    type: ErrorType
    message: str
    ran: Ran
    retry_after_ms: int = 0
    query_id: str | None = None


class ErrorAnswer(_Answer, frozen=True):
    """Error as callers receive it.

    :param error: content.
    """

    error: ErrorBody
