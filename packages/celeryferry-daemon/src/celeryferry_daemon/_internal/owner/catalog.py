"""Catalog of the replicas that each ownership key covers."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from celeryferry_core.models.topology import ServiceDocument, UpstreamLimits
from celeryferry_core.models.views import ConfigurationView
from celeryferry_core.placement import (
    format_key,
    select_group,
)


@dataclass(frozen=True, slots=True)
class CatalogEntry:
    """Data of a replica that an owner needs.

    :param key: ownership key.
    :param limits: limits of the upstream from the service document.
    :param is_domain_out: whether its failure domain is out of service.
    """

    key: str
    limits: UpstreamLimits
    is_domain_out: bool


@dataclass(frozen=True, slots=True)
class Catalog:
    """All replicas of the active documents.

    :param replicas: entries by application, service, shard and address.
    :param by_key: entries of each ownership key by address.
    """

    replicas: Mapping[tuple[str, str, str, str], CatalogEntry] = field(
        default_factory=dict
    )
    by_key: Mapping[str, Mapping[str, CatalogEntry]] = field(default_factory=dict)


def build_catalog(view: ConfigurationView) -> Catalog:
    """Build the catalog of the replicas in all active documents."""
    replicas: dict[tuple[str, str, str, str], CatalogEntry] = {}
    by_key: dict[str, dict[str, CatalogEntry]] = {}
    for application in {a.document.application for a in view.documents.values()}:
        services = view.list_services(application)
        for document in services:
            for replica_key, entry in _list_entries(document):
                replicas[replica_key] = entry
                by_key.setdefault(entry.key, {})[replica_key[3]] = entry
    return Catalog(replicas, by_key)


def _list_entries(
    document: ServiceDocument,
) -> Iterator[tuple[tuple[str, str, str, str], CatalogEntry]]:
    for shard in document.shards:
        group = select_group(document.service, shard)
        for replica in shard.replicas:
            domain = replica.failure_domain
            entry = CatalogEntry(
                key=format_key(document.application, group, domain),
                limits=document.upstreams,
                is_domain_out=domain in document.failure_domains_out,
            )
            replica_key = (
                document.application,
                document.service,
                shard.name,
                replica.address,
            )
            yield replica_key, entry
