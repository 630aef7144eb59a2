"""State of the whole fleet as the operator interface of each host gives it."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from result import Result

from celeryferry_cli._internal.client import CallError, DaemonClient
from celeryferry_core.models.status import DaemonStatus
from celeryferry_core.models.views import DocumentVersion
from celeryferry_core.versions import supersedes

STATUS_PATH = "/operator/v1/status"
TIMEOUT = timedelta(seconds=5)
# Bounds open connections of the tool on a large fleet.
MAX_CONCURRENT_CALLS = 64


@dataclass(frozen=True, slots=True)
class Laggard:
    """A host whose version of a document is behind the newest one in the fleet.

    :param host_id: the host.
    :param name: name of the document.
    :param has: version on the host, None if it lacks the document.
    :param newest: version that must be active on every host.
    """

    host_id: str
    name: str
    has: DocumentVersion | None
    newest: DocumentVersion


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """State of the fleet.

    :param hosts: answers, sorted by host id.
    :param unreachable: hosts that gave no answer, with the reason.
    """

    hosts: tuple[DaemonStatus, ...]
    unreachable: dict[str, str]

    def find_addresses(self) -> dict[str, str]:
        """Return the peer listeners of the listed hosts.

        :returns: addresses by host id.
        """
        return {
            listed.host_id: listed.peers_address
            for host in self.hosts
            for listed in host.hosts
        }

    def newest_documents(self) -> dict[str, DocumentVersion]:
        """Return the version of each document that must be active on every host.

        :returns: versions by name.
        """
        newest: dict[str, DocumentVersion] = {}
        for host in self.hosts:
            for name, found in _versions_of(host).items():
                if name not in newest or supersedes(found, newest[name]):
                    newest[name] = found
        return dict(sorted(newest.items()))

    def find_laggards(self) -> tuple[Laggard, ...]:
        """Find the hosts that have an older version or lack a document.

        :returns: one entry for each host and document.
        """
        newest = self.newest_documents()
        laggards = []
        for host in self.hosts:
            has = _versions_of(host)
            laggards += [
                Laggard(host.host_id, name, has.get(name), version)
                for name, version in newest.items()
                if has.get(name) != version
            ]
        return tuple(laggards)


def _versions_of(host: DaemonStatus) -> dict[str, DocumentVersion]:
    return {
        one.name: DocumentVersion(one.version, one.revision) for one in host.documents
    }


async def collect_status(client: DaemonClient, addresses: Iterable[str]) -> FleetStatus:
    """Ask the given daemons, and then every host that they list.

    :param client: client with the fleet token.
    :param addresses: peer listeners to begin with.
    :returns: state of the fleet.
    """
    known: dict[str, Result[DaemonStatus, CallError]] = {}
    names: dict[str, str] = {}
    waiting = set(addresses)
    gate = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
    # The second round asks the listed hosts; hosts that only those list are left out.
    for _ in range(2):
        results = await asyncio.gather(
            *(_fetch(client, address, gate) for address in sorted(waiting))
        )
        known.update(zip(sorted(waiting), results, strict=True))
        for result in results:
            for host in result.ok_value.hosts if result.is_ok() else ():
                names[host.peers_address] = host.host_id
        waiting = {address for address in names if address} - known.keys()
    return _summarize(known, names)


async def _fetch(
    client: DaemonClient, address: str, gate: asyncio.Semaphore
) -> Result[DaemonStatus, CallError]:
    async with gate:
        return await client.get(address, STATUS_PATH, DaemonStatus, TIMEOUT)


def _summarize(
    known: dict[str, Result[DaemonStatus, CallError]], names: dict[str, str]
) -> FleetStatus:
    answered = [result.ok_value for result in known.values() if result.is_ok()]
    unreachable = {
        names.get(address, address): str(result.err_value)
        for address, result in known.items()
        if result.is_err()
    }
    by_id = {host.host_id: host for host in answered}
    return FleetStatus(
        tuple(sorted(by_id.values(), key=lambda host: host.host_id)), unreachable
    )
