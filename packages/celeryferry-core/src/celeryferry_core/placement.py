"""Placement of work: ownership keys, cells and the ranking of owners."""

from collections.abc import Iterable

from celeryferry_core.models.topology import Host, Shard
from celeryferry_core.rendezvous import hash_name, rank_hosts

# Number of groups of an application whose documents do not name groups. It is small,
# so that a query over 10 to 15 shards involves only two owners.
DEFAULT_GROUP_COUNT = 2
_DEFAULT_GROUP_NAMES = tuple(map(str, range(DEFAULT_GROUP_COUNT)))
# A failure domain with more listed hosts is split into cells of about
# ``TARGET_CELL_HOSTS`` hosts.
MAX_SINGLE_CELL_HOSTS = 24
TARGET_CELL_HOSTS = 16


def select_group(service: str, shard: Shard) -> str:
    """Return the name of the ownership group of a shard.

    The group depends only on the name of the service and on the group that its document
    may name for the shard. If it depended on the number of shards, hosts with different
    versions of the document could assign two owners to one upstream. The shards of a
    service share a group unless the document names another one, because after
    repartitioning one upstream often serves both an old and a new shard.
    """
    if shard.group is not None:
        return shard.group
    return str(hash_name("shard-group", service) % DEFAULT_GROUP_COUNT)


def format_key(application: str, group: str, failure_domain: str) -> str:
    """Return the ownership key of a shard group in a failure domain.

    :param failure_domain: failure domain of the upstreams. The hosts of the same domain
        can own the key (see ``select_key_cell``).
    """
    return f"{application}/{group}/{failure_domain}"


def count_cells(host_count: int) -> int:
    """Return the number of cells of a failure domain.

    :param host_count: number of its listed hosts.
    :returns: 1 while the hosts fit into a single cell.
    """
    if host_count <= MAX_SINGLE_CELL_HOSTS:
        return 1
    return round(host_count / TARGET_CELL_HOSTS)


def get_key_domain(key: str) -> str:
    """Return the failure domain of the upstreams of an ownership key."""
    return key.rsplit("/", 1)[1]


def get_cell_domain(cell: str) -> str:
    """Return the failure domain of the hosts of a cell, given the cell's name."""
    return cell.rsplit("/", 1)[0]


def select_host_cell(host: Host, domain_host_count: int) -> str:
    """Return the name of the cell of a host.

    :param domain_host_count: number of listed hosts in its failure domain.
    """
    number = hash_name("cell", host.host_id) % count_cells(domain_host_count)
    return f"{host.failure_domain}/{number}"


def select_key_cell(key: str, domain_host_count: int) -> str:
    """Return the name of the cell whose hosts may own a key.

    :param domain_host_count: number of listed hosts in the key's failure domain.
    """
    failure_domain = get_key_domain(key)
    number = hash_name("cell", key) % count_cells(domain_host_count)
    return f"{failure_domain}/{number}"


def rank_owners(key: str, host_ids: Iterable[str]) -> tuple[str, ...]:
    """Rank the hosts of a cell as owners of a key, preferred owner first.

    The preferred owners of the default groups of an application differ if there are
    enough hosts. If they did not, one host would often own all upstreams that a
    query needs, and would send its subqueries one after another.

    Callers rank all listed hosts and skip unusable ones afterwards. If unusable hosts
    were not ranked, the failure of the owner of one group could move another group too.

    :param host_ids: all listed hosts of the cell.
    """
    host_ids = tuple(host_ids)
    ranked = rank_hosts(key, host_ids)
    application, group, failure_domain = key.rsplit("/", 2)
    if group not in _DEFAULT_GROUP_NAMES:
        return ranked
    earlier_groups = _DEFAULT_GROUP_NAMES[: _DEFAULT_GROUP_NAMES.index(group)]
    assigned = {
        rank_owners(format_key(application, earlier_group, failure_domain), host_ids)[0]
        for earlier_group in earlier_groups
        if host_ids
    }
    unassigned = tuple(host_id for host_id in ranked if host_id not in assigned)
    return unassigned + tuple(host_id for host_id in ranked if host_id in assigned)
