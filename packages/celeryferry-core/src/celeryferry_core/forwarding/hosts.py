"""Hosts of the fleet, as the relays of each failure domain report them.

Every host keeps a link to the relays of its failure domain, and the relays of different
domains keep links to each other. A relay reports the hosts whose links it holds, and
passes on what the relays of other domains report. Nothing is passed on more than once,
so a host that is gone can't be kept alive by two relays that repeat each other.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from typing import Annotated

import msgspec

_UnsignedInteger = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_NonNegative = Annotated[float, msgspec.Meta(ge=0, le=1e6)]

# A closed link's reports stay in force for this time, in which the next relay is
# connected. Without them, a host that has lost its relays would consider itself the
# only host of the fleet and would use the limits of the whole fleet alone.
VIEW_RETENTION = timedelta(seconds=3)


class HostInfo(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """What a host states about itself. It is sent as a JSON array to save bytes.

    :param host_id: unique name of the host.
    :param failure_domain: failure domain of the host.
    :param callers_address: ``ip:port`` of the listener for callers.
    :param peers_address: ``ip:port`` of the listener for other hosts.
    :param started_ms: Unix time of the process start in milliseconds; a later start
        replaces an earlier one.
    :param sequence: increased with every change of the other fields.
    :param processor_share: processor time that the process may use, in seconds of an
        ordinary core per second.
    :param load: processor time that its requests need, in the same unit.
    :param is_ready: whether the host serves callers.
    :param is_leaving: whether the host is stopping.
    :param restarted: instance ids of upstreams that it has seen return after they had
        refused connections, each with the milliseconds for which it was still cold when
        this was first stated.
    :param leaving: instance ids of upstreams that leave, each with the time of its
        start in Unix milliseconds.
    """

    host_id: str
    failure_domain: str
    callers_address: str
    peers_address: str
    started_ms: _UnsignedInteger
    sequence: _UnsignedInteger = 0
    processor_share: _NonNegative = 1.0
    load: _NonNegative = 0.0
    is_ready: bool = False
    is_leaving: bool = False
    restarted: tuple[tuple[str, _UnsignedInteger], ...] = ()
    leaving: tuple[tuple[str, int], ...] = ()

    @property
    def is_serving(self) -> bool:
        """Whether callers may be sent to the host."""
        return self.is_ready and not self.is_leaving

    @property
    def recency(self) -> tuple[int, int]:
        """Sorts the statements of one host by age, the latest last."""
        return (self.started_ms, self.sequence)


class Scope(StrEnum):
    """Which hosts a report is about: the sender's failure domain, or all others."""

    DOMAIN = "domain"
    OTHERS = "others"


class LinkRole(StrEnum):
    """What a link is for, as seen from this host."""

    TO_RELAY = "to_relay"
    FROM_MEMBER = "from_member"
    BETWEEN_DOMAINS = "between_domains"


# Time without any message after which a link counts as lost. A relay sends to its
# members every 500 ms; all other messages are sent at least once a second.
SILENCE_LIMITS: Mapping[LinkRole, timedelta] = {
    LinkRole.TO_RELAY: timedelta(milliseconds=1500),
    LinkRole.FROM_MEMBER: timedelta(milliseconds=2500),
    LinkRole.BETWEEN_DOMAINS: timedelta(milliseconds=2500),
}


class HostsUpdate(msgspec.Struct, frozen=True, gc=False, tag="hosts"):
    """Hosts that a link's sender reports.

    :param is_whole: whether the report replaces all earlier ones of its scope.
    :param hosts: hosts that are new or have changed.
    :param gone: ids of hosts that are no longer reported.
    """

    scope: Scope
    is_whole: bool
    hosts: tuple[HostInfo, ...]
    gone: tuple[str, ...] = ()


class RelaysUpdate(msgspec.Struct, frozen=True, gc=False, tag="relays"):
    """Relays that a former relay names to its members, so that they connect there.

    :param hosts: relays of the domain, the best first.
    """

    hosts: tuple[HostInfo, ...]


@dataclass(slots=True)
class _View:
    role: LinkRole
    peer: HostInfo
    heard_at: timedelta
    closed_at: timedelta | None = None
    hosts: dict[Scope, dict[str, HostInfo]] = field(
        default_factory=lambda: {scope: {} for scope in Scope}
    )


class HostTable:
    """Hosts of the fleet as known to this host.

    Arguments named ``now`` are monotonic times.

    :param own: statement of this host.
    :ivar live: the hosts known to be live by the latest ``refresh``, by id.
    """

    __slots__ = ("_gone", "_is_changed", "_retained", "_views", "live", "own")

    def __init__(self, own: HostInfo) -> None:
        self.own = own
        self.live: Mapping[str, HostInfo] = {own.host_id: own}
        self._views: dict[int, _View] = {}
        self._retained: list[_View] = []
        self._gone: dict[str, tuple[tuple[int, int], timedelta]] = {}
        self._is_changed = False

    def replace_own(self, own: HostInfo) -> None:
        """Replace the statement of this host."""
        self.own = own
        self._is_changed = True

    def open(
        self, link_id: int, role: LinkRole, peer: HostInfo, now: timedelta
    ) -> None:
        """Add a link.

        :param peer: host at the other end.
        """
        view = _View(role, peer, now)
        if role is not LinkRole.FROM_MEMBER:
            view.hosts[Scope.DOMAIN][peer.host_id] = peer
        self._views[link_id] = view
        self._is_changed = True

    def close(self, link_id: int, now: timedelta) -> None:
        """Remove a link; what it has reported stays in force for ``VIEW_RETENTION``.

        The host at its other end is no longer live by this link.
        """
        view = self._views.pop(link_id, None)
        if view is None:
            return
        self._is_changed = True
        self._gone[view.peer.host_id] = (view.peer.recency, now)
        if view.role is not LinkRole.FROM_MEMBER:
            view.closed_at = now
            self._retained.append(view)

    def record_heard(self, link_id: int, now: timedelta) -> None:
        """Record that a message of any kind has arrived on a link."""
        view = self._views.get(link_id)
        if view is not None:
            view.heard_at = now

    def apply(self, link_id: int, update: HostsUpdate, now: timedelta) -> None:
        """Apply a report received on a link."""
        view = self._views.get(link_id)
        if view is None:
            return
        if view.role is LinkRole.FROM_MEMBER:
            # A member reports only itself.
            for info in update.hosts:
                if info.host_id == view.peer.host_id:
                    view.peer = info
            self._is_changed = True
            return
        hosts = view.hosts[update.scope]
        if update.is_whole:
            hosts.clear()
        for info in update.hosts:
            hosts[info.host_id] = info
            if info.host_id == view.peer.host_id:
                view.peer = info
        for host_id in update.gone:
            info = hosts.pop(host_id, None)
            if info is not None:
                self._gone[host_id] = (info.recency, now)
        self._is_changed = True

    def list_silent(self, now: timedelta) -> list[int]:
        """Return the ids of the links that were silent for longer than their limit."""
        return [
            link_id
            for link_id, view in self._views.items()
            if now - view.heard_at > SILENCE_LIMITS[view.role]
        ]

    def shift_times(self, pause: timedelta) -> None:
        """Exclude a pause of this process from the silence of its links.

        Messages that arrived during the pause have not been read yet.
        """
        for view in self._views.values():
            view.heard_at += pause
        for view in self._retained:
            view.closed_at += pause

    def get_direct(self) -> dict[str, HostInfo]:
        """Return this host and the hosts whose member links it holds, by id."""
        direct = {self.own.host_id: self.own}
        for view in self._views.values():
            if view.role is LinkRole.FROM_MEMBER:
                _merge(direct, (view.peer,))
        return direct

    def get_others(self) -> dict[str, HostInfo]:
        """Return the hosts that relays of other domains report to this host, by id."""
        others: dict[str, HostInfo] = {}
        for view in self._views.values():
            if view.role is LinkRole.BETWEEN_DOMAINS:
                _merge(others, view.hosts[Scope.DOMAIN].values())
        for view in self._retained:
            if view.role is LinkRole.BETWEEN_DOMAINS:
                _merge(others, self._list_retained(view, Scope.DOMAIN))
        return others

    def refresh(self, now: timedelta) -> bool:
        """Compute the live hosts anew if any link or report has changed.

        :returns: True if the live hosts or their statements have changed.
        """
        expired = [v for v in self._retained if now - v.closed_at > VIEW_RETENTION]
        if expired:
            self._retained = [v for v in self._retained if v not in expired]
            self._is_changed = True
        for host_id, (_, at) in list(self._gone.items()):
            if now - at > VIEW_RETENTION:
                del self._gone[host_id]
        if not self._is_changed:
            return False
        self._is_changed = False
        live = self.get_direct()
        _merge(live, self.get_others().values())
        for view in self._views.values():
            if view.role is LinkRole.TO_RELAY:
                for scope in Scope:
                    _merge(live, view.hosts[scope].values())
        for view in self._retained:
            if view.role is LinkRole.TO_RELAY:
                for scope in Scope:
                    _merge(live, self._list_retained(view, scope))
        live[self.own.host_id] = self.own
        has_changed = live != self.live
        self.live = live
        return has_changed

    def _list_retained(self, view: _View, scope: Scope) -> list[HostInfo]:
        """Return what a closed link reported, without hosts that are gone since."""
        return [
            info
            for info in view.hosts[scope].values()
            if info.host_id not in self._gone
            or info.recency > self._gone[info.host_id][0]
        ]


def _merge(hosts: dict[str, HostInfo], infos: Iterable[HostInfo]) -> None:
    """Add hosts; of two statements of one host the later one stays."""
    for info in infos:
        known = hosts.get(info.host_id)
        if known is None or info.recency > known.recency:
            hosts[info.host_id] = info
