"""Decides which links a host keeps to other hosts and what it reports on them.

The decisions have no I/O: events come in as method calls, actions are returned. Links
are connections that deliver messages in order until they are closed.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from celeryferry_core.environment import RandomSource
from celeryferry_core.forwarding.cold_senders import HOST_MEMORY
from celeryferry_core.forwarding.fleet_actions import (
    Action,
    AskSeeds,
    CloseLink,
    OpenLink,
    SendUpdate,
)
from celeryferry_core.forwarding.hosts import (
    SILENCE_LIMITS,
    VIEW_RETENTION,
    HostInfo,
    HostsUpdate,
    HostTable,
    LinkRole,
    RelaysUpdate,
    Scope,
)
from celeryferry_core.forwarding.relays import RELAY_COUNT, rank_relays

# A longer gap between two checks is a pause of this process. The other hosts only seem
# silent then.
OWN_PAUSE_THRESHOLD = timedelta(seconds=1)
# Time for which a host that announced itself, or was named by a seed, is a candidate
# without being reported by a link.
ANNOUNCEMENT_LIFETIME = timedelta(seconds=3)
# Time before a connection that failed is tried again.
UNREACHABLE_TIME = timedelta(seconds=2)
# The relay whose domain comes first by name connects; the other one does so only if
# there is no link after this time, for it may not be known there.
ACCEPT_TIME = timedelta(seconds=1)
# Intervals between questions to seeds: of a host without any link (short, since all
# hosts may have just started, the seeds last), of a relay that has just started, and of
# a relay later, which joins the parts of a fleet again after a partition.
ALONE_INTERVAL = timedelta(milliseconds=100)
NEW_RELAY_INTERVAL = timedelta(seconds=1)
RELAY_INTERVAL = timedelta(seconds=10)
NEW_RELAY_TIME = timedelta(seconds=5)
# Interval between the messages by which a former relay sends its members away.
REDIRECT_INTERVAL = timedelta(milliseconds=500)
# Time for which a seed must be live in the table of a host to count as found. Longer
# than other hosts report one that they have lost: until its silence is noticed, and
# then for the time for which they keep its reports.
FINDING_TIME = max(SILENCE_LIMITS.values()) + VIEW_RETENTION + timedelta(seconds=0.5)
# Time after the start from which a host without any link relays for itself.
SETTLING_TIME = timedelta(milliseconds=500)


@dataclass(slots=True)
class _Link:
    role: LinkRole
    peer: HostInfo
    is_initiator: bool


class FleetMember:
    """Part of one host in the network of links between the hosts.

    Arguments named ``now`` are monotonic times.

    :param table: hosts known to this host.
    :param seeds: addresses of some hosts of the fleet, possibly stale.
    :param started_at: monotonic time of the start.
    :ivar is_relay: whether this host relays for others, by the latest check.
    :ivar rank: position of this host among the candidates for relays of its domain, 0
        for the best, by the latest check.
    :ivar candidate_count: number of these candidates.
    """

    __slots__ = (
        "_announced",
        "_asked_at",
        "_checked_at",
        "_found_seeds",
        "_seeds_live_since",
        "_links",
        "_opening",
        "_published",
        "_random",
        "_redirected_at",
        "_relay_since",
        "_unreachable_until",
        "_wanted_since",
        "candidate_count",
        "is_relay",
        "rank",
        "seeds",
        "started_at",
        "table",
    )

    def __init__(
        self,
        table: HostTable,
        seeds: tuple[str, ...],
        random: RandomSource,
        started_at: timedelta,
    ) -> None:
        self.table = table
        self.seeds = seeds
        self.started_at = started_at
        self.is_relay = False
        self.rank = 0
        self.candidate_count = 1
        self._random = random
        self._links: dict[int, _Link] = {}
        self._opening: dict[str, LinkRole] = {}
        self._announced: dict[str, tuple[HostInfo, timedelta]] = {}
        self._unreachable_until: dict[str, timedelta] = {}
        self._wanted_since: dict[str, timedelta] = {}
        self._published: dict[Scope, dict[str, HostInfo]] = {
            scope: {} for scope in Scope
        }
        self._checked_at = started_at
        self._found_seeds: set[str] = set()
        self._seeds_live_since: dict[str, timedelta] = {}
        self._asked_at: timedelta | None = None
        self._redirected_at: timedelta | None = None
        self._relay_since: timedelta | None = None

    def is_joined(self, now: timedelta) -> bool:
        """Return whether this host is known to be in contact with the whole fleet.

        A host that has just started knows of no other part of the fleet, so it must
        have found each seed once. After that, and after the time for which hosts
        remember each other, it needs a link, if the settings name other hosts.
        """
        seeds = {seed for seed in self.seeds if seed != self.table.own.peers_address}
        live = {host.peers_address for host in self.table.live.values()}
        self._seeds_live_since = {
            seed: self._seeds_live_since.get(seed, now) for seed in seeds & live
        }
        self._found_seeds |= {
            seed
            for seed, since in self._seeds_live_since.items()
            if now - since >= FINDING_TIME
        }
        is_new = now - self.started_at < HOST_MEMORY
        if is_new and not seeds <= self._found_seeds:
            return False
        return bool(self._links) or not seeds

    def list_links(self, *roles: LinkRole) -> tuple[int, ...]:
        """Return the ids of the open links with one of these roles."""
        return tuple(
            link_id for link_id, link in self._links.items() if link.role in roles
        )

    def get_role(self, link_id: int) -> LinkRole | None:
        """Return the role of a link, None if it is not open."""
        link = self._links.get(link_id)
        return None if link is None else link.role

    def replace_own(self, own: HostInfo) -> list[Action]:
        """Replace the statement of this host and report it to its relays."""
        self.table.replace_own(own)
        link_ids = self.list_links(LinkRole.TO_RELAY)
        if not link_ids:
            return []
        return [SendUpdate(link_ids, HostsUpdate(Scope.DOMAIN, False, (own,)))]

    def announce(self, hosts: Iterable[HostInfo], now: timedelta) -> None:
        """Record hosts that announced themselves or were named by a seed."""
        for host in hosts:
            if host.host_id != self.table.own.host_id:
                self._announced[host.host_id] = (host, now)

    def list_known_relays(
        self, domain: str, wants_all: bool, now: timedelta
    ) -> list[HostInfo]:
        """Return the relays that this host would choose, for a host that asks.

        :param domain: failure domain of the host that asks.
        :param wants_all: whether to return the relays of all domains.
        """
        candidates = self._list_candidates(now)
        domains = {domain}
        if wants_all:
            domains |= {host.failure_domain for host in candidates}
        return [
            host
            for each in sorted(domains)
            for host in rank_relays(candidates, each, RELAY_COUNT)
        ]

    def handle_opened(
        self,
        link_id: int,
        role: LinkRole,
        peer: HostInfo,
        is_initiator: bool,
        now: timedelta,
    ) -> list[Action]:
        """Add a link whose other end has stated who it is.

        :param role: role of the link at this host.
        :param is_initiator: whether this host has connected.
        """
        self._opening.pop(peer.host_id, None)
        self._links[link_id] = _Link(role, peer, is_initiator)
        self.table.open(link_id, role, peer, now)
        match role:
            case LinkRole.TO_RELAY:
                own = HostsUpdate(Scope.DOMAIN, False, (self.table.own,))
                return [SendUpdate((link_id,), own)]
            case LinkRole.FROM_MEMBER:
                scopes = tuple(Scope)
            case LinkRole.BETWEEN_DOMAINS:
                scopes = (Scope.DOMAIN,)
        return [
            SendUpdate(
                (link_id,),
                HostsUpdate(scope, True, tuple(self._published[scope].values())),
            )
            for scope in scopes
        ]

    def handle_open_failed(self, host_id: str, now: timedelta) -> None:
        """Record that a host could not be connected."""
        self._opening.pop(host_id, None)
        self._unreachable_until[host_id] = now + UNREACHABLE_TIME

    def handle_closed(self, link_id: int, now: timedelta) -> None:
        """Remove a link that has ended."""
        self._links.pop(link_id, None)
        self.table.close(link_id, now)

    def check(self, now: timedelta) -> list[Action]:
        """Close silent links, choose the relays and connect to them."""
        pause = now - self._checked_at
        self._checked_at = now
        if pause > OWN_PAUSE_THRESHOLD:
            self.table.shift_times(pause)
        actions: list[Action] = []
        for link_id in self.table.list_silent(now):
            self.handle_closed(link_id, now)
            actions.append(CloseLink(link_id, "silent"))
        self.table.refresh(now)
        self._expire(now)
        actions += self._adjust_links(now)
        actions += self._ask_seeds(now)
        return actions

    def publish(self, now: timedelta) -> list[Action]:
        """Report what has changed since the latest call."""
        self.table.refresh(now)
        receivers = {
            Scope.DOMAIN: self.list_links(
                LinkRole.FROM_MEMBER, LinkRole.BETWEEN_DOMAINS
            ),
            Scope.OTHERS: self.list_links(LinkRole.FROM_MEMBER),
        }
        current = {
            Scope.DOMAIN: self.table.get_direct(),
            Scope.OTHERS: self.table.get_others(),
        }
        actions: list[Action] = []
        for scope, link_ids in receivers.items():
            before, hosts = self._published[scope], current[scope]
            if before == hosts:
                continue
            self._published[scope] = hosts
            changed = tuple(
                host for host in hosts.values() if before.get(host.host_id) != host
            )
            gone = tuple(host_id for host_id in before if host_id not in hosts)
            if link_ids:
                update = HostsUpdate(scope, False, changed, gone)
                actions.append(SendUpdate(link_ids, update))
        return actions

    def _list_candidates(self, now: timedelta) -> list[HostInfo]:
        """Return the hosts that can be connected, this one included."""
        candidates = {
            host_id: host for host_id, (host, _) in self._announced.items()
        } | dict(self.table.live)
        return [
            host
            for host_id, host in candidates.items()
            if self._unreachable_until.get(host_id, now) <= now
        ]

    def _expire(self, now: timedelta) -> None:
        for host_id, (_, at) in list(self._announced.items()):
            if now - at > ANNOUNCEMENT_LIFETIME:
                del self._announced[host_id]
        for host_id, until in list(self._unreachable_until.items()):
            if until <= now:
                del self._unreachable_until[host_id]

    def _adjust_links(self, now: timedelta) -> list[Action]:
        own = self.table.own
        candidates = self._list_candidates(now)
        # All candidates of the domain, for the rank of this host.
        local = rank_relays(candidates, own.failure_domain, len(candidates))
        local_ids = [host.host_id for host in local]
        self.candidate_count = len(local_ids)
        self.rank = (
            local_ids.index(own.host_id) if own.host_id in local_ids else len(local_ids)
        )
        has_members = bool(self.list_links(LinkRole.FROM_MEMBER))
        is_settled = bool(self._links) or now - self.started_at >= SETTLING_TIME
        self.is_relay = has_members or (is_settled and self.rank < RELAY_COUNT)
        if not self.is_relay:
            self._relay_since = None
        elif self._relay_since is None:
            self._relay_since = now
        wanted = {
            host.host_id: OpenLink(host, LinkRole.TO_RELAY)
            for host in local[:RELAY_COUNT]
            if host.host_id != own.host_id
        }
        if self.is_relay:
            wanted |= self._list_wanted_remote(candidates, now)
        linked = {link.peer.host_id for link in self._links.values()}
        to_relay = {
            link.peer.host_id
            for link in self._links.values()
            if link.role is LinkRole.TO_RELAY
        }
        actions: list[Action] = []
        for host_id, action in wanted.items():
            present = to_relay if action.role is LinkRole.TO_RELAY else linked
            if host_id in present or host_id in self._opening:
                continue
            self._opening[host_id] = action.role
            actions.append(action)
        actions += self._close_surplus(wanted, now)
        actions += self._redirect_members(local[:RELAY_COUNT], now)
        return actions

    def _redirect_members(self, relays: list[HostInfo], now: timedelta) -> list[Action]:
        """Name the relays to the members of this host if it is not one of them.

        Members know of other hosts only what their relays report, so those of a former
        relay would not learn of the better ones.
        """
        members = self.list_links(LinkRole.FROM_MEMBER)
        is_recent = (
            self._redirected_at is not None
            and now - self._redirected_at < REDIRECT_INTERVAL
        )
        if not members or self.rank < RELAY_COUNT or is_recent:
            return []
        self._redirected_at = now
        return [SendUpdate(members, RelaysUpdate(tuple(relays)))]

    def _list_wanted_remote(
        self, candidates: list[HostInfo], now: timedelta
    ) -> dict[str, OpenLink]:
        own_domain = self.table.own.failure_domain
        domains = {host.failure_domain for host in candidates} - {own_domain}
        wanted = {
            host.host_id: host
            for domain in sorted(domains)
            for host in rank_relays(candidates, domain, RELAY_COUNT)
        }
        self._wanted_since = {
            host_id: self._wanted_since.get(host_id, now) for host_id in wanted
        }
        return {
            host_id: OpenLink(host, LinkRole.BETWEEN_DOMAINS)
            for host_id, host in wanted.items()
            if own_domain < host.failure_domain
            or now - self._wanted_since[host_id] >= ACCEPT_TIME
        }

    def _close_surplus(
        self, wanted: dict[str, OpenLink], now: timedelta
    ) -> list[Action]:
        """Close links to former relays, once the links to the new ones are open."""
        if self._opening:
            return []
        actions: list[Action] = []
        for link_id, link in list(self._links.items()):
            is_wanted = link.peer.host_id in wanted or (
                link.role is LinkRole.BETWEEN_DOMAINS
                and link.peer.host_id in self._wanted_since
                and self.is_relay
            )
            if link.is_initiator and not is_wanted:
                self.handle_closed(link_id, now)
                actions.append(CloseLink(link_id, "surplus"))
        return actions

    def _ask_seeds(self, now: timedelta) -> list[Action]:
        own_address = self.table.own.peers_address
        seeds = [address for address in self.seeds if address != own_address]
        is_alone = not self._links and not self._opening
        if is_alone:
            interval = ALONE_INTERVAL
        elif self._relay_since is None:
            return []
        elif now - self._relay_since < NEW_RELAY_TIME:
            interval = NEW_RELAY_INTERVAL
        else:
            interval = RELAY_INTERVAL
        if not seeds or (
            self._asked_at is not None and now - self._asked_at < interval
        ):
            return []
        if is_alone and self._asked_at is None:
            self._asked_at = now
            return [AskSeeds(tuple(seeds), False)]
        self._asked_at = now
        return [AskSeeds((seeds[self._random.randrange(len(seeds))],), True)]
