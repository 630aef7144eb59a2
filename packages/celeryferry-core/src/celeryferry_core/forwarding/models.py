"""Rules, upstreams and the configuration of forwarding."""

from collections.abc import Mapping
from datetime import timedelta

import msgspec


class Sharded(msgspec.Struct, frozen=True, gc=False):
    """Target of requests that go to one upstream of every shard.

    :param services: one service a shard.
    :param top_count: largest number of records in a merged answer.
    :param min_covered_ratio: smallest part of the shards that makes an answer.
    """

    services: tuple[str, ...]
    top_count: int
    min_covered_ratio: float


class WeightedService(msgspec.Struct, frozen=True, gc=False):
    """A service and its part of the requests.

    :param service: name of the service.
    :param weight: part relative to the other weights of the target.
    """

    service: str
    weight: float


class Weighted(msgspec.Struct, frozen=True, gc=False):
    """Target of requests that go to one upstream of one service.

    :param parts: services with their weights, at least one.
    """

    parts: tuple[WeightedService, ...]


class ForwardingRule(msgspec.Struct, frozen=True, gc=False):
    """What happens to the requests of one host name and path prefix.

    :param name: unique name of the rule.
    :param host_name: value of the ``Host`` header that it applies to.
    :param path_prefix: beginning of the paths that it applies to.
    :param target: where its requests go.
    :param is_repeatable: False if a request may run at most once.
    :param max_attempts: upstreams that one request may be sent to, for each shard.
    :param timeout: longest time that a caller is kept waiting.
    :param target_latency: time within which an answer is of full use to its caller.
    :param priority: rank among the rules, 0 is the most urgent.
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
    """What the upstreams of one service bear.

    :param max_connections: connections that one upstream accepts from all hosts.
    :param cold_requests_per_s: requests a second that a cold upstream bears.
    """

    max_connections: int
    cold_requests_per_s: float


class CallerBounds(msgspec.Struct, frozen=True, gc=False):
    """What callers may send.

    :param header_bytes: largest size of a request head.
    :param body_bytes: largest size of a request body.
    :param head_time: time for a complete request head.
    :param idle_time: time after which an idle connection is closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    head_time: timedelta = timedelta(seconds=10)
    idle_time: timedelta = timedelta(seconds=60)


class ForwardingConfiguration(msgspec.Struct, frozen=True, gc=False):
    """One version of the operators' configuration.

    :param version: number that rises with every change.
    :param rules: forwarding rules.
    :param services: bounds by service.
    :param callers: bounds of callers.
    """

    version: int
    rules: tuple[ForwardingRule, ...]
    services: Mapping[str, ServiceBounds] = msgspec.field(default_factory=dict)
    callers: CallerBounds = CallerBounds()


class Upstream(msgspec.Struct, frozen=True, gc=False):
    """One incarnation of an upstream as service discovery lists it.

    :param instance_id: id of the incarnation.
    :param service: service that it belongs to.
    :param address: ``ip:port``.
    :param failure_domain: failure domain that it is in.
    :param slots: requests that it works on at once.
    :param is_draining: whether it asked for no more work.
    :param cold_for: time that it stays cold, counted from the listing.
    :param started_ms: Unix time of its start in milliseconds, 0 if unknown.
    """

    instance_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool = False
    cold_for: timedelta = timedelta(0)
    started_ms: int = 0
