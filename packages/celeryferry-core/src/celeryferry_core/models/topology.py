"""Hosts, upstreams, shards and the service document."""

from dataclasses import dataclass, field
from enum import StrEnum


class HostState(StrEnum):
    """State of an entry host as the host list gives it."""

    LIVE = "live"
    LEAVING = "leaving"


class Preference(StrEnum):
    """What a service gives up first when time runs out."""

    COVERAGE = "coverage"
    TIME = "time"


@dataclass(frozen=True, slots=True)
class Host:
    """An entry host that runs one daemon.

    :param host_id: unique name of the host.
    :param failure_domain: failure domain the host is in.
    :param callers_address: ``ip:port`` of its listener for callers.
    :param peers_address: ``ip:port`` of its listener for other daemons.
    :param state: live or leaving.
    """

    host_id: str
    failure_domain: str
    callers_address: str
    peers_address: str
    state: HostState = HostState.LIVE


@dataclass(frozen=True, slots=True)
class Replica:
    """One upstream that serves a shard.

    :param address: ``ip:port`` of the upstream.
    :param failure_domain: failure domain the upstream is in.
    """

    address: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class Shard:
    """A part of a service's records.

    :param name: name of the shard, unique within its service.
    :param replicas: upstreams that hold the shard.
    :param first_snapshot: first index version the shard belongs to.
    :param last_snapshot: last index version it belongs to, None if open.
    :param group: name of its ownership group, None for one derived from its name.
    """

    name: str
    replicas: tuple[Replica, ...]
    first_snapshot: int = 0
    last_snapshot: int | None = None
    group: str | None = None

    def includes(self, snapshot: int) -> bool:
        """Tell whether the shard is part of a snapshot's shard map.

        :param snapshot: index version.
        :returns: True if the shard belongs to that version.
        """
        if snapshot < self.first_snapshot:
            return False
        return self.last_snapshot is None or snapshot <= self.last_snapshot


@dataclass(frozen=True, slots=True, order=True)
class ShardId:
    """Name of a shard within an application.

    :param service: service the shard belongs to.
    :param shard: name of the shard.
    """

    service: str
    shard: str


@dataclass(frozen=True, slots=True)
class UpstreamLimits:
    """What one upstream of a service bears.

    :param slots: requests it works on at once.
    :param connections: connections it accepts.
    :param cold_limit: concurrent requests it bears in cold start.
    :param connect_cost_ms: cost of one new connection in milliseconds.
    """

    slots: int
    connections: int
    cold_limit: int = 1
    connect_cost_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Hedging:
    """Hedging policy of a service.

    :param budget_percent: hedges allowed, in per cent of subqueries.
    :param floor_ms: shortest delay before a hedge in milliseconds.
    """

    budget_percent: float = 5.0
    floor_ms: float = 2.0


@dataclass(frozen=True, slots=True)
class Retries:
    """Retry policy of a service.

    :param budget_percent: retries allowed, in per cent of subqueries.
    """

    budget_percent: float = 10.0


@dataclass(frozen=True, slots=True)
class ServiceDocument:
    """Checked content of one service document.

    :param version: number that operators raise with every change.
    :param application: application the service belongs to.
    :param service: unique name of the service, also the document's name.
    :param team: team that owns the document.
    :param preference: what the service gives up last when time runs out.
    :param repeatable: False if its requests may run at most once.
    :param deadline_ms: longest time a query may take in milliseconds.
    :param answer_within_ms: time after which a service that prefers time
        answers with what it has, in milliseconds.
    :param failure_domains_out: failure domains taken out of service.
    :param upstreams: limits of each upstream.
    :param hedging: hedging policy.
    :param retries: retry policy.
    :param shards: shards of the service.
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
