"""Hosts, upstreams, shards and service documents."""

from dataclasses import dataclass, field
from enum import StrEnum


class HostState(StrEnum):
    """State of an entry host according to the host list."""

    LIVE = "live"
    LEAVING = "leaving"


class Preference(StrEnum):
    """What a service preserves if it cannot answer completely in time."""

    COVERAGE = "coverage"
    TIME = "time"


@dataclass(frozen=True, slots=True)
class Host:
    """An entry host that runs one daemon.

    :param host_id: unique name of the host.
    :param callers_address: ``ip:port`` of its listener for callers.
    :param peers_address: ``ip:port`` of its listener for other daemons.
    """

    host_id: str
    failure_domain: str
    callers_address: str
    peers_address: str
    state: HostState = HostState.LIVE


@dataclass(frozen=True, slots=True)
class Replica:
    """A shard as held by one upstream.

    :param address: ``ip:port`` of the upstream.
    :param failure_domain: failure domain of the upstream.
    """

    address: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class Shard:
    """A subset of a service's records.

    :param name: name of the shard, unique within its service.
    :param replicas: upstreams that hold the shard.
    :param first_snapshot: first index version that the shard belongs to.
    :param last_snapshot: last index version that the shard belongs to, None if there is
        no last one yet.
    :param group: name of the shard's ownership group, None for a group derived from the
        name of the shard.
    """

    name: str
    replicas: tuple[Replica, ...]
    first_snapshot: int = 0
    last_snapshot: int | None = None
    group: str | None = None

    def includes(self, snapshot: int) -> bool:
        """Return whether the shard belongs to an index version."""
        if snapshot < self.first_snapshot:
            return False
        return self.last_snapshot is None or snapshot <= self.last_snapshot


@dataclass(frozen=True, slots=True, order=True)
class ShardId:
    """Identifier of a shard, unique within an application."""

    service: str
    shard: str


@dataclass(frozen=True, slots=True)
class UpstreamLimits:
    """Limits of each upstream of a service.

    :param slots: number of requests that the upstream processes at once.
    :param connections: number of connections that the upstream accepts.
    :param cold_limit: number of concurrent requests that the upstream can process in
        cold start.
    :param connect_cost_ms: cost of one new connection in milliseconds.
    """

    slots: int
    connections: int
    cold_limit: int = 1
    connect_cost_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Hedging:
    """Hedging policy of a service.

    :param budget_percent: maximum number of hedges, as a percentage of the subqueries.
    :param floor_ms: minimum delay before a hedge in milliseconds.
    """

    budget_percent: float = 5.0
    floor_ms: float = 2.0


@dataclass(frozen=True, slots=True)
class Retries:
    """Retry policy of a service.

    :param budget_percent: maximum number of retries, as a percentage of the subqueries.
    """

    budget_percent: float = 10.0


@dataclass(frozen=True, slots=True)
class ServiceDocument:
    """Validated content of one service document.

    :param version: number that operators increase with every change.
    :param application: application that the service belongs to.
    :param service: unique name of the service, also used as the name of the document.
    :param team: team that maintains the document.
    :param preference: what the service preserves if it cannot answer completely in
        time.
    :param repeatable: False if the requests of the service may run at most once.
    :param deadline_ms: maximum time of a query in milliseconds.
    :param answer_within_ms: time in milliseconds after which a service that prefers
        time answers with the shards covered by then.
    :param failure_domains_out: failure domains taken out of service.
    :param upstreams: limits of each upstream.
    """

    version: int
    application: str
    service: str
    team: str
    preference: Preference
    repeatable: bool
    deadline_ms: int
    answer_within_ms: int
    failure_domains_out: tuple[str, ...]
    upstreams: UpstreamLimits
    shards: tuple[Shard, ...]
    hedging: Hedging = field(default_factory=Hedging)
    retries: Retries = field(default_factory=Retries)
