"""Subqueries, partial answers and observations of upstreams."""

import msgspec

from celeryferry_core.models import bounds
from celeryferry_core.models.messages.base import Message
from celeryferry_core.models.outcomes import SearchOutcome, UpstreamState


class Subquery(Message, frozen=True):
    """One shard's part of a query.

    :param service: service of the shard.
    :param shard: name of the shard.
    :param upstream: address of the chosen replica.
    :param hedge: True if another replica was already asked.
    """

    service: bounds.Name
    shard: bounds.Name
    upstream: bounds.Name
    hedge: bool = False


class SubqueryBatch(Message, frozen=True):
    """All subqueries of one query to one owner.

    :param query_id: id of the query.
    :param application: application searched.
    :param snapshot: index version that the query is pinned to.
    :param deadline_unix_ms: absolute deadline in milliseconds of wall-clock time.
    :param first_flush_ms: time after which the owner sends what has finished.
    :param query: the caller's query, any JSON value.
    :param subqueries: parts of the query.
    """

    query_id: bounds.QueryId
    application: bounds.Name
    snapshot: int
    deadline_unix_ms: int
    first_flush_ms: bounds.FlushMs
    query: msgspec.Raw
    subqueries: tuple[Subquery, ...]


class UpstreamObservation(Message, frozen=True):
    """What an owner knows about an upstream.

    :param address: address of the upstream.
    :param state: state as the owner sees it.
    :param index_versions: index versions it holds.
    :param latency_ms: smoothed time of one subquery in milliseconds.
    :param queued: subqueries waiting at the owner.
    :param in_flight: subqueries sent and not yet answered.
    :param limit: present concurrency limit.
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
    :param upstream: replica that was asked.
    :param outcome: what happened.
    """

    service: str
    shard: str
    upstream: str
    outcome: SearchOutcome


class PartialAnswer(Message, frozen=True):
    """One line of the answer to a batch.

    :param query_id: id of the query.
    :param final: True on the last line.
    :param entries: outcomes not sent before.
    :param observations: state of the upstreams that the batch named.
    """

    query_id: str
    final: bool
    entries: tuple[PartialEntry, ...]
    observations: tuple[UpstreamObservation, ...] = ()


class ObservationsRequest(Message, frozen=True, omit_defaults=True):
    """Asks an owner for the state of its upstreams.

    :param application: application of interest.
    :param addresses: upstreams of interest; empty for all that the host owns.
    """

    application: bounds.Name
    addresses: bounds.Names = ()


class ObservationsReply(Message, frozen=True):
    """State of the upstreams that a host owns.

    :param host_id: answering host.
    :param keys: ownership keys of the application that it holds.
    :param observations: state of each owned upstream that was asked for.
    """

    host_id: str
    keys: tuple[str, ...]
    observations: tuple[UpstreamObservation, ...]
