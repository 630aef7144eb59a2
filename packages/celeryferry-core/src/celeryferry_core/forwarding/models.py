"""Forwarding rules, upstreams and the configuration of forwarding."""

from collections.abc import Mapping
from datetime import timedelta

import msgspec


class Sharded(msgspec.Struct, frozen=True, gc=False):
    """Target of requests that go to one upstream of every shard.

    :param services: one service per shard.
    :param top_count: maximum number of records in a merged answer.
    :param min_covered_ratio: smallest fraction of the shards that an answer must cover.
    """

    services: tuple[str, ...]
    top_count: int
    min_covered_ratio: float


class WeightedService(msgspec.Struct, frozen=True, gc=False):
    """A service and its share of the requests.

    :param weight: share relative to the other weights of the target.
    """

    service: str
    weight: float


class Weighted(msgspec.Struct, frozen=True, gc=False):
    """Target of requests that go to one upstream of one service.

    :param parts: services with their weights, at least one.
    """

    parts: tuple[WeightedService, ...]


class ForwardingRule(msgspec.Struct, frozen=True, gc=False):
    """How requests with one host name and path prefix are forwarded.

    :param name: unique name of the rule.
    :param host_name: value of the ``Host`` header that the rule applies to.
    :param path_prefix: prefix of the paths that the rule applies to.
    :param target: services that the requests go to.
    :param is_repeatable: False if a request may run at most once.
    :param max_attempts: number of upstreams per shard that may run one request.
    :param timeout: longest time that a caller is kept waiting.
    :param target_latency: time within which an answer is fully useful to the caller.
    :param priority: rank among the rules; 0 is the most urgent.
    """

    name: str
    host_name: str
    path_prefix: str
    target: Sharded | Weighted
    is_repeatable: bool
    max_attempts: int
    timeout: timedelta
    target_latency: timedelta
    priority: int = 0


class ServiceBounds(msgspec.Struct, frozen=True, gc=False):
    """Limits of each upstream of one service.

    :param max_connections: connections that one upstream accepts from all hosts.
    :param cold_requests_per_s: requests per second that a cold upstream can process.
    :param cold_time: time for which an upstream is cold after its start.
    :param health_path: path at which an upstream tells whether it is cold, empty if
        there is none.
    """

    max_connections: int
    cold_requests_per_s: float
    cold_time: timedelta = timedelta(0)
    health_path: str = ""


class CallerBounds(msgspec.Struct, frozen=True, gc=False):
    """Limits on the requests and connections of callers.

    :param header_bytes: maximum size of a request head.
    :param body_bytes: maximum size of a request body.
    :param head_time: time within which a request head must be complete.
    :param idle_time: time after which an idle connection is closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    head_time: timedelta = timedelta(seconds=10)
    idle_time: timedelta = timedelta(seconds=60)


class ForwardingConfiguration(msgspec.Struct, frozen=True, gc=False):
    """One version of the operators' configuration.

    :param version: number that increases with every change.
    :param services: limits of upstreams, by service.
    :param callers: limits on callers.
    """

    version: int
    rules: tuple[ForwardingRule, ...]
    services: Mapping[str, ServiceBounds] = msgspec.field(default_factory=dict)
    callers: CallerBounds = CallerBounds()


class Upstream(msgspec.Struct, frozen=True, gc=False):
    """One instance (process) of an upstream as listed by service discovery.

    :param instance_id: id of the instance.
    :param service: service that the upstream belongs to.
    :param address: ``ip:port``.
    :param slots: number of requests that the upstream processes at once.
    :param is_draining: whether the upstream has asked to receive no more work.
    :param cold_for: time for which the upstream stays cold, counted from the time at
        which it is listed.
    :param started_ms: Unix time of its start in milliseconds, 0 if unknown.
    :param sequence: number of its statement, counted by the process itself.
    """

    instance_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool = False
    cold_for: timedelta = timedelta(0)
    started_ms: int = 0
    sequence: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Sorts the statements of one instance by age, the latest last."""
        return (self.started_ms, self.sequence)
