"""Choice of the relays of a failure domain."""

import heapq
from collections.abc import Iterable
from functools import lru_cache

from celeryferry_core.forwarding.hosts import HostInfo
from celeryferry_core.rendezvous import hash_name

# Relays of each failure domain. With two, the loss of one interrupts nothing.
RELAY_COUNT = 2


def rank_relays(hosts: Iterable[HostInfo], domain: str, count: int) -> list[HostInfo]:
    """Return the hosts of a failure domain that are best suited as relays.

    Hosts with more processor time come first, and of equal ones those with the lower
    hash, so that hosts with the same knowledge agree without a message. Hosts that are
    stopping are excluded.

    :param count: maximum number of hosts.
    :returns: hosts, the best first.
    """
    candidates = (
        host for host in hosts if host.failure_domain == domain and not host.is_leaving
    )
    return heapq.nsmallest(count, candidates, key=_get_rank)


def _get_rank(host: HostInfo) -> tuple[float, int, str]:
    return (-host.processor_share, _hash_id(host.host_id), host.host_id)


@lru_cache(maxsize=4096)
def _hash_id(host_id: str) -> int:
    return hash_name("relay", host_id)
