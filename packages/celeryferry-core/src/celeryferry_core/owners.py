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

UNREACHABLE_PERIOD = timedelta(seconds=2)
REDIRECT_VALIDITY = timedelta(seconds=2)


class OwnerDirectory:
    """Finds the owner of a key and learns from failed calls and redirects."""

    __slots__ = ("_membership", "_ranked", "_redirects", "_suspects")

    def __init__(self) -> None:
        self._membership = Membership()
        self._ranked: dict[str, tuple[str, ...]] = {}
        self._suspects: dict[str, timedelta] = {}
        self._redirects: dict[str, tuple[str, timedelta]] = {}

    def replace_membership(self, membership: Membership) -> None:
        """Take over a new view of the hosts.

        :param membership: the new view.
        """
        self._membership = membership
        self._ranked.clear()

    def mark_unreachable(self, host_id: str, now: timedelta) -> None:
        """Leave out a host for ``UNREACHABLE_PERIOD``.

        :param host_id: host that could not be reached.
        :param now: present monotonic time.
        """
        self._suspects[host_id] = now + UNREACHABLE_PERIOD

    def record_redirect(self, key: str, host_id: str, now: timedelta) -> None:
        """Remember the owner that another host named.

        :param key: ownership key.
        :param host_id: named owner.
        :param now: present monotonic time.
        """
        self._redirects[key] = (host_id, now + REDIRECT_VALIDITY)

    def find_owner(self, key: str, now: timedelta) -> Host | None:
        """Return the host that most likely owns a key.

        :param key: ownership key.
        :param now: present monotonic time.
        :returns: the host, or None if no host of the cell can be asked.
        """
        redirect = self._redirects.get(key)
        if redirect is not None:
            host_id, until = redirect
            if now < until and self._is_usable(host_id, now):
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
        suspect_until = self._suspects.get(host_id)
        return suspect_until is None or now >= suspect_until

    def _rank(self, key: str) -> tuple[str, ...]:
        ranked = self._ranked.get(key)
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
            self._ranked[key] = ranked
        return ranked
