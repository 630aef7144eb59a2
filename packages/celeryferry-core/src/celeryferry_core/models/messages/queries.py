"""Messages with subqueries, partial answers and observations of upstreams."""

import msgspec

from celeryferry_core.models import bounds
from celeryferry_core.models.messages.base import Message
from celeryferry_core.models.outcomes import SearchOutcome, UpstreamState


class Subquery(Message, frozen=True):
    """Request for one shard's share of a query.

    :param service: service of the shard.
    :param shard: name of the shard.
    :param upstream: address of the selected replica.
    :param hedge: True for a hedge, False for a first subquery and for a retry.
    """

    service: bounds.ShortText
    shard: bounds.ShortText
    upstream: bounds.ShortText
    hedge: bool = False


class SubqueryBatch(Message, frozen=True):
    """All subqueries of one query for one owner.

    :param application: application that is searched.
    :param snapshot: index version that the query is pinned to.
    :param deadline_unix_ms: deadline as Unix time in milliseconds.
    :param first_flush_ms: time in milliseconds after which the owner sends the outcomes
        that are known by then.
    :param query: the caller's query, any JSON value.
    """

    query_id: bounds.QueryId
    application: bounds.ShortText
    snapshot: int
    deadline_unix_ms: int
    first_flush_ms: bounds.FlushMs
    query: msgspec.Raw
    subqueries: tuple[Subquery, ...]


class UpstreamObservation(Message, frozen=True):
    """State of an upstream as observed by its owner.

    :param address: address of the upstream.
    :param state: state according to the owner.
    :param index_versions: index versions that the upstream holds.
    :param latency_ms: smoothed time of one subquery in milliseconds.
    :param queued: number of subqueries that wait at the owner.
    :param in_flight: number of subqueries that were sent and not yet answered.
    :param limit: current concurrency limit.
    """

    address: str
    state: UpstreamState
    index_versions: tuple[int, ...]
    latency_ms: float
    queued: int
    in_flight: int
    limit: int


class PartialEntry(Message, frozen=True):
    """Outcome of one subquery.

    :param service: service of the shard.
    :param shard: name of the shard.
    :param upstream: address of the replica that the subquery was meant for.
    """

    service: str
    shard: str
    upstream: str
    outcome: SearchOutcome


class PartialAnswer(Message, frozen=True):
    """One line of the answer to a ``SubqueryBatch``.

    :param final: True on the last line.
    :param entries: outcomes that no earlier line contained.
    :param observations: state of the upstreams that the batch names.
    """

    query_id: str
    final: bool
    entries: tuple[PartialEntry, ...]
    observations: tuple[UpstreamObservation, ...] = ()


class ObservationsRequest(Message, frozen=True, omit_defaults=True):
    """Request for the state of the upstreams that a host owns.

    :param application: application that the upstreams belong to.
    :param addresses: addresses of the upstreams; empty for all that the host owns.
    """

    application: bounds.ShortText
    addresses: bounds.ShortTexts = ()


class ObservationsReply(Message, frozen=True):
    """Answer to an ``ObservationsRequest``.

    :param host_id: id of the answering host.
    :param keys: ownership keys of the application that the host holds.
    :param observations: state of each requested upstream that the host owns.
    """

    host_id: str
    keys: tuple[str, ...]
    observations: tuple[UpstreamObservation, ...]
