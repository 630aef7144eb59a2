"""Lookup of the host that owns a key, as seen by a host that sends work to it."""

from datetime import timedelta

from celeryferry_core.models.topology import Host, HostState
from celeryferry_core.models.views import Membership
from celeryferry_core.placement import (
    get_key_domain,
    rank_owners,
    select_host_cell,
    select_key_cell,
)

# How long a host is skipped after a failed call, or after it refused all work.
UNUSABLE_PERIOD = timedelta(seconds=2)
# How long the owner named in a redirect is preferred over the ranking.
REDIRECT_VALIDITY = timedelta(seconds=2)


class OwnerDirectory:
    """Finds the owner of a key, taking failed calls and redirects into account."""

    __slots__ = ("_membership", "_ranked_hosts", "_redirects", "_unusable_until")

    def __init__(self) -> None:
        self._membership = Membership()
        self._ranked_hosts: dict[str, tuple[str, ...]] = {}
        self._unusable_until: dict[str, timedelta] = {}
        self._redirects: dict[str, tuple[str, timedelta]] = {}

    def replace_membership(self, membership: Membership) -> None:
        """Use a new view of the hosts."""
        self._membership = membership
        self._ranked_hosts.clear()

    def mark_unusable(self, host_id: str, now: timedelta) -> None:
        """For ``UNUSABLE_PERIOD``, skip a host that failed or refused all work."""
        self._unusable_until[host_id] = now + UNUSABLE_PERIOD

    def record_redirect(self, key: str, host_id: str, now: timedelta) -> None:
        """Record the owner of a key that another host named.

        :param host_id: the named owner.
        :param now: present monotonic time; the redirect is used for
            ``REDIRECT_VALIDITY`` from then on.
        """
        self._redirects[key] = (host_id, now + REDIRECT_VALIDITY)

    def find_owner(self, key: str, now: timedelta) -> Host | None:
        """Return the host that most likely owns a key.

        A valid redirect takes precedence over the ranking.

        :returns: the host, or None if no host of the cell is usable.
        """
        redirect = self._redirects.get(key)
        if redirect is not None:
            host_id, valid_until = redirect
            if now < valid_until and self._is_usable(host_id, now):
                return self._membership.hosts[host_id]
            del self._redirects[key]
        for host_id in self._rank(key):
            if self._is_usable(host_id, now):
                return self._membership.hosts[host_id]
        return None

    def _is_usable(self, host_id: str, now: timedelta) -> bool:
        membership = self._membership
        if host_id not in membership.hosts or host_id in membership.leaving:
            return False
        if membership.hosts[host_id].state is HostState.LEAVING:
            return False
        if host_id not in membership.live:
            return False
        unusable_until = self._unusable_until.get(host_id)
        return unusable_until is None or now >= unusable_until

    def _rank(self, key: str) -> tuple[str, ...]:
        ranked = self._ranked_hosts.get(key)
        if ranked is None:
            failure_domain = get_key_domain(key)
            hosts = self._membership.hosts.values()
            in_domain = [
                host for host in hosts if host.failure_domain == failure_domain
            ]
            cell = select_key_cell(key, len(in_domain))
            ranked = rank_owners(
                key,
                (
                    host.host_id
                    for host in in_domain
                    if select_host_cell(host, len(in_domain)) == cell
                ),
            )
            self._ranked_hosts[key] = ranked
        return ranked
