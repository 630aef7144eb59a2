"""Ownership keys, cells and the owners of both."""

from collections.abc import Iterable

from celeryferry_core.models.topology import Host, Shard
from celeryferry_core.rendezvous import hash_name, rank_hosts

# Groups of an application whose documents name none: few, so that a query over 10 to 15
# shards touches two owners.
DEFAULT_GROUP_COUNT = 2
_DEFAULT_GROUP_NAMES = tuple(map(str, range(DEFAULT_GROUP_COUNT)))
MAX_SINGLE_CELL_HOSTS = 24
TARGET_CELL_HOSTS = 16


def select_group(service: str, shard: Shard) -> str:
    """Return the ownership group of a shard.

    The group depends on the service's own document only. If it depended on the number
    of shards, hosts with different documents could give one upstream two owners.
    Shards of a service share a group unless they name another, since after a
    repartitioning one upstream often serves an old and a new shard.

    :param service: service of the shard.
    :param shard: the shard.
    :returns: name of the group.
    """
    if shard.group is not None:
        return shard.group
    return str(hash_name("shard-group", service) % DEFAULT_GROUP_COUNT)


def format_key(application: str, group: str, failure_domain: str) -> str:
    """Return the ownership key of a shard group in a failure domain.

    :param application: name of the application.
    :param group: name of the group.
    :param failure_domain: failure domain of the upstreams.
    :returns: the key.
    """
    return f"{application}/{group}/{failure_domain}"


def count_cells(host_count: int) -> int:
    """Return the number of cells of a failure domain.

    :param host_count: listed hosts of the failure domain.
    :returns: 1 while the hosts fit into a single cell.
    """
    if host_count <= MAX_SINGLE_CELL_HOSTS:
        return 1
    return round(host_count / TARGET_CELL_HOSTS)


def get_key_domain(key: str) -> str:
    """Return the failure domain of the upstreams of a key.

    :param key: ownership key.
    """
    return key.rsplit("/", 1)[1]


def get_cell_domain(cell: str) -> str:
    """Return the failure domain of the hosts of a cell.

    :param cell: name of the cell.
    """
    return cell.rsplit("/", 1)[0]


def select_host_cell(host: Host, domain_host_count: int) -> str:
    """Return the cell of a host.

    :param host: the host.
    :param domain_host_count: listed hosts of its failure domain.
    :returns: name of the cell.
    """
    number = hash_name("cell", host.host_id) % count_cells(domain_host_count)
    return f"{host.failure_domain}/{number}"


def select_key_cell(key: str, domain_host_count: int) -> str:
    """Return the cell whose hosts may own a key.

    :param key: ownership key.
    :param domain_host_count: listed hosts of the key's failure domain.
    :returns: name of the cell.
    """
    failure_domain = get_key_domain(key)
    number = hash_name("cell", key) % count_cells(domain_host_count)
    return f"{failure_domain}/{number}"


def rank_owners(key: str, host_ids: Iterable[str]) -> tuple[str, ...]:
    """Order the hosts of a cell as owners of a key, best first.

    The first hosts of an application's default groups differ if there are enough
    hosts: otherwise one host often owns all upstreams that a query needs, and sends
    its subqueries one after another. Rank all listed hosts and leave out unusable ones
    afterwards; if unusable hosts were not ranked, the failure of the owner of one
    group could move another group too.

    :param key: ownership key.
    :param host_ids: all listed hosts of the cell.
    :returns: the hosts, the preferred owner first.
    """
    host_ids = tuple(host_ids)
    ranked = rank_hosts(key, host_ids)
    application, group, failure_domain = key.rsplit("/", 2)
    if group not in _DEFAULT_GROUP_NAMES:
        return ranked
    earlier = _DEFAULT_GROUP_NAMES[: _DEFAULT_GROUP_NAMES.index(group)]
    taken = {
        rank_owners(format_key(application, name, failure_domain), host_ids)[0]
        for name in earlier
        if host_ids
    }
    free = tuple(host_id for host_id in ranked if host_id not in taken)
    return free + tuple(host_id for host_id in ranked if host_id in taken)
