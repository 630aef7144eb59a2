"""Decisions of the front role."""

from dataclasses import dataclass
from typing import ClassVar

from celeryferry_core.decisions.base import Decision


@dataclass(frozen=True, slots=True)
class _FrontDecision(Decision):
    """Base of decisions about a query."""

    PREFIX: ClassVar[str] = "front:"

    query_id: str


@dataclass(frozen=True, slots=True)
class QueryPlanned(_FrontDecision):
    """A query was pinned to an index version.

    :param application: application searched.
    :param snapshot: pinned index version, None if none is known.
    :param shard_count: number of shards of the index version.
    :param available_count: number of shards with a live replica that holds that index
        version.
    :param deadline_ms: time limit of the query in milliseconds.
    :param hedge_delay_ms: time before pending subqueries are hedged, in milliseconds.
    """

    SENTENCE: ClassVar[str] = "query planned"

    application: str
    snapshot: int | None
    shard_count: int
    available_count: int
    deadline_ms: float
    hedge_delay_ms: float


@dataclass(frozen=True, slots=True)
class _ShardDecision(_FrontDecision):
    """Base of decisions about one shard of a query.

    :param service: service of the shard.
    :param shard: name of the shard.
    :param upstream: address of the replica, None if there is none.
    :param host_id: owner of the replica, None if there is none.
    :param reason: why the decision was made.
    """

    service: str
    shard: str
    upstream: str | None
    host_id: str | None
    reason: str


@dataclass(frozen=True, slots=True)
class _ReplicaDecision(_ShardDecision):
    """Base of decisions that choose a replica.

    :param candidates: addresses that the configuration and the host list allow.
    """

    candidates: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ShardRouted(_ReplicaDecision):
    """A replica was chosen for a shard, or none was found; ``reason`` says why."""

    SENTENCE: ClassVar[str] = "shard routed"


@dataclass(frozen=True, slots=True)
class ShardHedged(_ReplicaDecision):
    """A pending shard was hedged on another replica, or was not hedged.

    ``reason`` says why.
    """

    SENTENCE: ClassVar[str] = "shard hedged"


@dataclass(frozen=True, slots=True)
class ShardRetried(_ReplicaDecision):
    """A failed shard was retried on another replica, or was not retried.

    ``reason`` says why.

    :param cause: outcome of the previous subquery.
    """

    SENTENCE: ClassVar[str] = "shard retried"

    cause: str


@dataclass(frozen=True, slots=True)
class ShardRedirected(_ShardDecision):
    """An owner refused a shard and named another host, which is asked next."""

    SENTENCE: ClassVar[str] = "shard redirected"


@dataclass(frozen=True, slots=True)
class EntryDropped(_ShardDecision):
    """An entry of a partial answer did not match the query and was dropped."""

    SENTENCE: ClassVar[str] = "entry dropped"


@dataclass(frozen=True, slots=True)
class QueryReplanned(_FrontDecision):
    """A query was moved to a newer index version.

    :param old_snapshot: index version that an upstream no longer holds.
    :param snapshot: new index version.
    :param dropped_count: number of answers from the old index version that were
        dropped.
    """

    SENTENCE: ClassVar[str] = "query re-planned"

    old_snapshot: int
    snapshot: int
    dropped_count: int


@dataclass(frozen=True, slots=True)
class QueryCovered(_FrontDecision):
    """A query ended.

    :param snapshot: index version of the answer, None if none is known.
    :param covered_count: number of shards in the answer.
    :param missing: missing shards as ``service/shard:reason``.
    :param elapsed_ms: time that the query spent in this host, in milliseconds.
    """

    SENTENCE: ClassVar[str] = "query covered"

    snapshot: int | None
    covered_count: int
    missing: tuple[str, ...]
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class QueryRefused(_FrontDecision):
    """A query was refused before anything was sent.

    :param application: application searched.
    :param reason: type of the error.
    :param retry_after_ms: time before a retry is useful, in milliseconds.
    """

    SENTENCE: ClassVar[str] = "query refused"

    application: str
    reason: str
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class QueryAbandoned(_FrontDecision):
    """The caller disconnected; the query and its batches were cancelled.

    :param pending_count: number of shards that were still pending.
    """

    SENTENCE: ClassVar[str] = "query abandoned"

    pending_count: int
