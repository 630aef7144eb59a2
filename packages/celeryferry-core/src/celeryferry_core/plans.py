"""Shards and routes of an application, derived from its documents."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.outcomes import CoverageReason
from celeryferry_core.models.topology import (
    Preference,
    ServiceDocument,
    Shard,
    ShardId,
)
from celeryferry_core.placement import format_key, select_group


@dataclass(frozen=True, slots=True)
class Route:
    """A replica that may be asked.

    :param key: ownership key that covers it.
    """

    address: str
    failure_domain: str
    key: str


@dataclass(frozen=True, slots=True)
class PlannedShard:
    """A shard with the parts of its routing that are the same for all queries.

    :param shard: the shard as the document defines it.
    :param document: document of the shard's service.
    :param routes: replicas that the configuration and the host list allow.
    :param addresses: addresses of the routes.
    :param excluded_reason: reason to report if there are no routes.
    :param wait: longest time that a query waits for the shard.
    """

    shard_id: ShardId
    shard: Shard
    document: ServiceDocument
    routes: tuple[Route, ...]
    addresses: tuple[str, ...]
    excluded_reason: CoverageReason
    wait: timedelta


@dataclass(frozen=True, slots=True)
class ApplicationPlan:
    """Shards and routes of an application, valid until the configuration changes.

    :param shards: shards of the repeatable services of the application.
    :param keys: ownership keys of all routes.
    :param deadline_ms: shortest deadline of the documents in milliseconds.
    :param hedge_floor_ms: lower bound of the hedge delay in milliseconds, the highest
        of the documents.
    :param shard_addresses: shards with their addresses, as ``choose_index_version``
        expects them.
    :param addresses: addresses of all routes.
    :param addresses_by_key: addresses of the routes by ownership key.
    """

    application: str
    shards: tuple[PlannedShard, ...]
    keys: tuple[str, ...]
    deadline_ms: int
    hedge_floor_ms: float
    shard_addresses: tuple[tuple[Shard, tuple[str, ...]], ...] = field(repr=False)
    addresses: frozenset[str] = field(repr=False)
    addresses_by_key: Mapping[str, frozenset[str]] = field(repr=False)


def build_plan(
    application: str,
    services: tuple[ServiceDocument, ...],
    leaving_upstreams: frozenset[str],
    mechanisms: Mechanisms,
) -> ApplicationPlan:
    """Derive the routes of an application from its documents.

    :param services: all documents of the application, at least one.
    :param leaving_upstreams: addresses of upstreams that must get no new work.
    :returns: the plan; it has no shards if no service is repeatable.
    """
    if not mechanisms.drain_check:
        leaving_upstreams = frozenset()
    shards = tuple(
        _plan_shard(document, shard, leaving_upstreams, mechanisms)
        for document in services
        if document.repeatable
        for shard in document.shards
    )
    addresses_by_key: dict[str, set[str]] = {}
    for shard in shards:
        for route in shard.routes:
            addresses_by_key.setdefault(route.key, set()).add(route.address)
    return ApplicationPlan(
        application=application,
        shards=shards,
        keys=tuple(sorted(addresses_by_key)),
        deadline_ms=min(document.deadline_ms for document in services),
        hedge_floor_ms=max(document.hedging.floor_ms for document in services),
        shard_addresses=tuple((shard.shard, shard.addresses) for shard in shards),
        addresses=frozenset().union(*addresses_by_key.values()),
        addresses_by_key={
            key: frozenset(addresses) for key, addresses in addresses_by_key.items()
        },
    )


def _plan_shard(
    document: ServiceDocument,
    shard: Shard,
    leaving_upstreams: frozenset[str],
    mechanisms: Mechanisms,
) -> PlannedShard:
    shard_id = ShardId(document.service, shard.name)
    group = select_group(document.service, shard)
    out = document.failure_domains_out if mechanisms.domain_out else ()
    in_service = [
        replica for replica in shard.replicas if replica.failure_domain not in out
    ]
    routes = tuple(
        Route(
            replica.address,
            replica.failure_domain,
            format_key(document.application, group, replica.failure_domain),
        )
        for replica in in_service
        if replica.address not in leaving_upstreams
    )
    reason = CoverageReason.NO_REPLICA
    if shard.replicas and not in_service:
        reason = CoverageReason.FAILURE_DOMAIN_OUT
    addresses = tuple(route.address for route in routes)
    wait = _compute_wait(document)
    return PlannedShard(shard_id, shard, document, routes, addresses, reason, wait)


def _compute_wait(document: ServiceDocument) -> timedelta:
    wait_ms = document.deadline_ms
    if document.preference is Preference.TIME:
        wait_ms = min(wait_ms, document.answer_within_ms)
    return timedelta(milliseconds=wait_ms)
