"""Choice of the entry hosts that are named to a caller."""

from collections.abc import Iterable

from celeryferry_core.environment import RandomSource
from celeryferry_core.models.topology import Host, HostState, ServiceDocument
from celeryferry_core.models.views import Membership

MAX_ENTRY_HOSTS = 16


def choose_entry_hosts(
    membership: Membership,
    services: Iterable[ServiceDocument],
    failure_domain: str,
    random: RandomSource,
) -> tuple[Host, ...]:
    """Choose the entry hosts for a caller.

    A cell is a group of hosts that probe one another; the other cells receive summaries
    of it. Hosts of a cell without a recent summary are named only if there are no
    others. They have either stopped or are behind a network partition, while the other
    hosts are known to be reachable.

    :param membership: the hosts known to this host.
    :param services: documents of the caller's application.
    :param failure_domain: failure domain whose hosts come first.
    :param random: source of the random order, which spreads callers over the hosts.
    :returns: at most ``MAX_ENTRY_HOSTS`` live hosts that are not leaving, none in a
        failure domain that a service has taken out.
    """
    out = {name for document in services for name in document.failure_domains_out}
    usable = [
        host
        for host_id, host in sorted(membership.hosts.items())
        if host_id in membership.live
        and host_id not in membership.leaving
        and host.state is HostState.LIVE
        and host.failure_domain not in out
    ]
    usable = [
        candidate
        for candidate in usable
        if candidate.host_id not in membership.hosts_without_summary
    ] or usable
    near = [host for host in usable if host.failure_domain == failure_domain]
    far = [host for host in usable if host.failure_domain != failure_domain]
    ordered = _shuffle(near, random) + _shuffle(far, random)
    return tuple(ordered[:MAX_ENTRY_HOSTS])


def _shuffle(hosts: list[Host], random: RandomSource) -> list[Host]:
    shuffled = list(hosts)
    for last in range(len(shuffled) - 1, 0, -1):
        other = random.randrange(last + 1)
        shuffled[last], shuffled[other] = shuffled[other], shuffled[last]
    return shuffled
