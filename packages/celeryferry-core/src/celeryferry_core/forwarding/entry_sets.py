"""Entry sets: the hosts that callers of each failure domain are sent to.

With hundreds of hosts, a request every few seconds keeps neither a host's connections
to the upstreams open nor its observations of them current. Callers are therefore sent
to a subset that is the same for all of them (deterministic subsetting): hosts with much
processor time first, near the upstreams, and as many as the load needs.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from datetime import timedelta

from celeryferry_core.forwarding.held_maximum import HeldMaximum
from celeryferry_core.forwarding.hosts import HostInfo
from celeryferry_core.forwarding.registry import UpstreamRegistry
from celeryferry_core.rendezvous import hash_name

# Callers accept no more addresses from one answer.
MAX_ENTRY_HOSTS = 64
# With six hosts a caller still has a usable one in 97 of 100 cases when half of all
# hosts are lost at once.
MIN_ENTRY_HOSTS = 6
# Hosts in other domains than most of the set, so that callers still have an address if
# a whole domain is lost.
MIN_OTHER_DOMAIN_HOSTS = 1
# Mean load per host of all entry sets, as a fraction of the smallest host's processor
# share. Callers choose hosts at random and bursts double the load, so the set grows
# long before its hosts are busy.
TARGET_UTILISATION = 0.2
# A set that has grown for a load stays at that size for this time after it.
SHRINK_DELAY = timedelta(seconds=10)
# Hosts that can't reach each other still share the limits of the upstreams, so the
# number of hosts that share them falls only after this time.
SHARING_HOLD_TIME = timedelta(seconds=30)
# A host is preferred once it has been ready for this time; before, its connections are
# cold and its observations empty.
SETTLING_TIME = timedelta(seconds=2)
# A domain with upstreams for at least this fraction of the services counts as near the
# upstreams. In any other one, most parts of each answer would cross domains, while the
# merged answer is small.
MIN_SERVED_RATIO = 0.5


def find_served_domains(
    services: Collection[str], registry: UpstreamRegistry
) -> frozenset[str]:
    """Return the failure domains with upstreams for most of the services.

    Upstreams that are draining and domains out of service do not count.

    :param services: services of the rules in force.
    :returns: names of domains, empty if there are none.
    """
    counts: dict[str, int] = {}
    for service in services:
        domains = {
            upstream.failure_domain
            for upstream in registry.list_service(service).values()
            if not upstream.is_draining
        }
        for domain in domains - registry.domains_out:
            counts[domain] = counts.get(domain, 0) + 1
    return frozenset(
        domain
        for domain, count in counts.items()
        if count >= MIN_SERVED_RATIO * len(services)
    )


@dataclass(frozen=True, slots=True)
class _Candidate:
    host: HostInfo
    is_settled: bool
    # 0 for the largest hosts, 1 for those of about half their size, and so on.
    size_class: int


class EntrySets:
    """Chooses the entry sets of all failure domains from the hosts of the fleet.

    Hosts with the same table choose the same sets without a message. Arguments named
    ``now`` are monotonic times.

    :ivar sender_ids: ids of the hosts in any entry set and of the others that report a
        load.
    :ivar sharing_count: number of hosts that share the limits of the upstreams.
    """

    __slots__ = (
        "_candidates",
        "_hashes",
        "_live",
        "_held_count",
        "_held_size",
        "_next_change_at",
        "_served_domains",
        "_sets",
        "_settled_at",
        "sender_ids",
        "sharing_count",
        "size",
    )

    def __init__(self) -> None:
        self.sender_ids: frozenset[str] = frozenset()
        self.size = MIN_ENTRY_HOSTS
        self._candidates: list[_Candidate] = []
        self._hashes: dict[tuple[str, str], int] = {}
        self._live: Mapping[str, HostInfo] = {}
        self._next_change_at = timedelta(0)
        self._served_domains: frozenset[str] = frozenset()
        self._sets: dict[str, tuple[HostInfo, ...]] = {}
        self._settled_at: dict[tuple[str, int], timedelta] = {}
        self._held_size = HeldMaximum(SHRINK_DELAY)
        self._held_count = HeldMaximum(SHARING_HOLD_TIME)
        self.sharing_count = 1

    def update(
        self,
        live: Mapping[str, HostInfo],
        served_domains: frozenset[str],
        now: timedelta,
    ) -> None:
        """Choose the sets anew if anything that they depend on has changed.

        :param live: live hosts of the fleet by id; a change needs a new mapping.
        :param served_domains: domains with upstreams for most services.
        """
        is_same = live is self._live and served_domains == self._served_domains
        if is_same and now < self._next_change_at:
            return
        self._live = live
        serving = [host for host in live.values() if host.is_serving]
        self._served_domains = served_domains
        self._candidates = self._rank_sizes(serving, now)
        domains = {host.failure_domain for host in live.values()}
        total_load = sum(host.load for host in live.values())
        self.size = self._held_size.update(self._find_size(domains, total_load), now)
        self._sets = self._choose_all(domains, self.size)
        loaded = {host.host_id for host in live.values() if host.load}
        named = {host.host_id for chosen in self._sets.values() for host in chosen}
        self.sender_ids = frozenset(named | loaded)
        self.sharing_count = self._held_count.update(len(self.sender_ids), now)
        coming = [
            *self._settled_at.values(),
            *self._held_size.list_expiries(),
            *self._held_count.list_expiries(),
        ]
        self._next_change_at = min((at for at in coming if at > now), default=now)

    def choose(self, domain: str) -> tuple[HostInfo, ...]:
        """Return the entry set for the callers of a failure domain.

        :param domain: name of the domain; it may be unknown.
        """
        chosen = self._sets.get(domain)
        return self._choose(domain, self.size) if chosen is None else chosen

    def _rank_sizes(self, serving: list[HostInfo], now: timedelta) -> list[_Candidate]:
        starts = {(host.host_id, host.started_ms) for host in serving}
        self._settled_at = {
            start: self._settled_at.get(start, now + SETTLING_TIME) for start in starts
        }
        largest = max((host.processor_share for host in serving), default=1.0)
        if len(self._hashes) > 2 * len(serving) * max(1, len(self._sets)):
            self._hashes.clear()
        return [
            _Candidate(
                host,
                self._settled_at[host.host_id, host.started_ms] <= now,
                int(math.log2(max(1.0, largest / max(0.01, host.processor_share)))),
            )
            for host in serving
        ]

    def _find_size(self, domains: Collection[str], total_load: float) -> int:
        """Return the smallest size at which the mean load per host is low enough."""
        largest = min(MAX_ENTRY_HOSTS, max(MIN_ENTRY_HOSTS, len(self._candidates)))
        size = MIN_ENTRY_HOSTS
        while size < largest:
            chosen = {
                host.host_id: host
                for hosts in self._choose_all(domains, size).values()
                for host in hosts
            }
            if not chosen:
                return size
            smallest_share = min(host.processor_share for host in chosen.values())
            if total_load / len(chosen) <= TARGET_UTILISATION * smallest_share:
                return size
            size += max(1, size // 4)
        return largest

    def _choose_all(
        self, domains: Collection[str], size: int
    ) -> dict[str, tuple[HostInfo, ...]]:
        return {domain: self._choose(domain, size) for domain in domains}

    def _choose(self, domain: str, size: int) -> tuple[HostInfo, ...]:
        candidates = [
            candidate
            for candidate in self._candidates
            if candidate.host.failure_domain in self._served_domains
        ] or self._candidates
        # The size goes before the domain: on a small host, the processor time of one
        # sharded request exceeds the network time between domains many times over.
        ranked = sorted(
            candidates,
            key=lambda candidate: (
                not candidate.is_settled,
                candidate.size_class,
                candidate.host.failure_domain != domain,
                self._get_hash(domain, candidate.host.host_id),
            ),
        )
        chosen = ranked[:size]
        chosen_domains = {candidate.host.failure_domain for candidate in chosen}
        if len(chosen) == size and len(chosen_domains) == 1:
            others = [
                candidate
                for candidate in ranked
                if candidate.host.failure_domain not in chosen_domains
            ]
            replaced = others[:MIN_OTHER_DOMAIN_HOSTS]
            chosen = chosen[: size - len(replaced)] + replaced
        return tuple(candidate.host for candidate in chosen)

    def _get_hash(self, domain: str, host_id: str) -> int:
        key = (domain, host_id)
        found = self._hashes.get(key)
        if found is None:
            found = self._hashes[key] = hash_name("entry", domain, host_id)
        return found
