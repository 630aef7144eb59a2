"""Fetches observations of the upstreams of an application from their owners."""

import asyncio
from collections.abc import Collection
from datetime import timedelta

from celeryferry_core.environment import Clock
from celeryferry_core.exceptions import PeerFailureKind
from celeryferry_core.models.bounds import MAX_ITEMS
from celeryferry_core.models.messages import ObservationsRequest
from celeryferry_core.models.topology import Host
from celeryferry_core.placement import get_key_domain, select_host_cell, select_key_cell
from celeryferry_core.plans import ApplicationPlan
from celeryferry_core.ports import PeerClient
from celeryferry_core.routing import Router
from celeryferry_daemon._internal.front.applications import Applications

REFRESH_TIMEOUT = timedelta(milliseconds=400)

_HOST_UNREACHABLE = (PeerFailureKind.NOT_SENT, PeerFailureKind.CONNECTION_LOST)


class ObservationFetcher:
    """Requests observations from owners, and from other hosts if an owner is not known.

    :param applications: provide the current view of the hosts.
    :param router: records observations and owners.
    :param peers: client for other daemons.
    :param clock: source of time.
    """

    __slots__ = ("_applications", "_clock", "_peers", "_router")

    def __init__(
        self,
        applications: Applications,
        router: Router,
        peers: PeerClient,
        clock: Clock,
    ) -> None:
        self._applications = applications
        self._router = router
        self._peers = peers
        self._clock = clock

    async def fetch(self, plan: ApplicationPlan, wanted: frozenset[str] | None) -> None:
        """Fetch and record observations.

        If the likely owner of a key does not hold it, the other hosts that may hold it
        are asked next.

        :param plan: plan of the application.
        :param wanted: addresses of the upstreams to observe, None for all.
        """
        keys = [
            key
            for key, addresses in plan.addresses_by_key.items()
            if wanted is None or not wanted.isdisjoint(addresses)
        ]
        owners = self._group_by_owner(keys)
        requests = [
            (owner, _list_wanted(plan, owned, wanted))
            for owner, owned in owners.values()
        ]
        held = await self._ask(plan, requests)
        missing = [key for key in keys if key not in held]
        if missing:
            addresses = _list_wanted(plan, missing, wanted)
            others = self._list_other_candidates(missing, owners.keys())
            await self._ask(plan, [(host, addresses) for host in others])

    def _group_by_owner(self, keys: list[str]) -> dict[str, tuple[Host, list[str]]]:
        """Return the likely owners by host id, each with its keys.

        :param keys: ownership keys; those without an owner are left out.
        """
        now = self._clock.monotonic()
        owners: dict[str, tuple[Host, list[str]]] = {}
        for key in keys:
            owner = self._router.directory.find_owner(key, now)
            if owner is not None:
                owners.setdefault(owner.host_id, (owner, []))[1].append(key)
        return owners

    def _list_other_candidates(
        self, keys: list[str], asked: Collection[str]
    ) -> list[Host]:
        """Return the live hosts that may hold keys and have not been asked.

        :param keys: ownership keys that none of the asked hosts holds.
        :param asked: ids of the hosts that have been asked.
        """
        membership = self._applications.membership
        hosts = membership.hosts.values()
        others: dict[str, Host] = {}
        for key in keys:
            domain = get_key_domain(key)
            in_domain = [host for host in hosts if host.failure_domain == domain]
            cell = select_key_cell(key, len(in_domain))
            for host in in_domain:
                is_live = host.host_id in membership.live
                if host.host_id in asked or not is_live:
                    continue
                if select_host_cell(host, len(in_domain)) == cell:
                    others[host.host_id] = host
        return list(others.values())

    async def _ask(
        self, plan: ApplicationPlan, requests: list[tuple[Host, tuple[str, ...]]]
    ) -> set[str]:
        """Request observations from several hosts concurrently and record them.

        :param plan: plan of the application.
        :param requests: hosts, each with the addresses to request; an empty tuple
            requests all.
        :returns: ownership keys that the hosts hold.
        """
        calls = (self._ask_host(plan, host, addresses) for host, addresses in requests)
        held = await asyncio.gather(*calls)
        return {key for keys in held for key in keys}

    async def _ask_host(
        self, plan: ApplicationPlan, host: Host, addresses: tuple[str, ...]
    ) -> tuple[str, ...]:
        request = ObservationsRequest(plan.application, addresses)
        result = await self._peers.fetch_observations(host, request, REFRESH_TIMEOUT)
        if result.is_err():
            if result.unwrap_err().kind in _HOST_UNREACHABLE:
                now = self._clock.monotonic()
                self._router.directory.mark_unusable(host.host_id, now)
            return ()
        reply = result.unwrap()
        for observation in reply.observations:
            if observation.address in plan.addresses:
                self._router.catalog.record(observation)
        self._record_owner(plan, host, reply.keys)
        return reply.keys

    def _record_owner(
        self, plan: ApplicationPlan, host: Host, keys: tuple[str, ...]
    ) -> None:
        now = self._clock.monotonic()
        directory = self._router.directory
        for key in set(keys).intersection(plan.keys):
            owner = directory.find_owner(key, now)
            if owner is None or owner.host_id != host.host_id:
                directory.record_redirect(key, host.host_id, now)


def _list_wanted(
    plan: ApplicationPlan, keys: list[str], wanted: frozenset[str] | None
) -> tuple[str, ...]:
    """Return the addresses to name in a request for observations.

    :param plan: plan of the application.
    :param keys: ownership keys that the receiver may hold.
    :param wanted: addresses of the upstreams to observe, None for all.
    :returns: addresses; empty, which requests all upstreams, if all are wanted or more
        than ``MAX_ITEMS`` would be named.
    """
    if wanted is None or wanted == plan.addresses:
        return ()
    addresses = frozenset().union(
        *(plan.addresses_by_key[key] & wanted for key in keys)
    )
    return tuple(addresses) if len(addresses) <= MAX_ITEMS else ()
