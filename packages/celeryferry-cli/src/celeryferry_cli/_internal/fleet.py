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
STATUS_TIMEOUT = timedelta(seconds=5)
# Bounds open connections of the tool on a large fleet.
MAX_CONCURRENT_CALLS = 64


@dataclass(frozen=True, slots=True)
class OutdatedDocument:
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

    def get_peer_addresses(self) -> dict[str, str]:
        """Return the peer listeners of the listed hosts.

        :returns: addresses by host id.
        """
        return {
            listed.host_id: listed.peers_address
            for host in self.hosts
            for listed in host.hosts
        }

    def find_newest_versions(self) -> dict[str, DocumentVersion]:
        """Return the version of each document that must be active on every host.

        :returns: versions by name.
        """
        newest: dict[str, DocumentVersion] = {}
        for host in self.hosts:
            for name, version in _get_versions(host).items():
                if name not in newest or supersedes(version, newest[name]):
                    newest[name] = version
        return dict(sorted(newest.items()))

    def find_outdated_documents(self) -> tuple[OutdatedDocument, ...]:
        """Find the hosts that have an older version or lack a document.

        :returns: one entry for each host and document.
        """
        newest = self.find_newest_versions()
        outdated = []
        for host in self.hosts:
            versions = _get_versions(host)
            outdated += [
                OutdatedDocument(host.host_id, name, versions.get(name), version)
                for name, version in newest.items()
                if versions.get(name) != version
            ]
        return tuple(outdated)


def _get_versions(host: DaemonStatus) -> dict[str, DocumentVersion]:
    return {
        document.name: DocumentVersion(document.version, document.revision)
        for document in host.documents
    }


async def collect_status(client: DaemonClient, addresses: Iterable[str]) -> FleetStatus:
    """Ask the given daemons, and then every host that they list.

    :param client: client with the fleet token.
    :param addresses: peer listeners to begin with.
    :returns: state of the fleet.
    """
    results_by_address: dict[str, Result[DaemonStatus, CallError]] = {}
    host_ids: dict[str, str] = {}
    pending = set(addresses)
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
    # The second round asks the listed hosts; hosts that only those list are left out.
    for _ in range(2):
        results = await asyncio.gather(
            *(_fetch_status(client, address, semaphore) for address in sorted(pending))
        )
        results_by_address.update(zip(sorted(pending), results, strict=True))
        for result in results:
            for host in result.ok_value.hosts if result.is_ok() else ():
                host_ids[host.peers_address] = host.host_id
        pending = {
            address for address in host_ids if address
        } - results_by_address.keys()
    return _summarize(results_by_address, host_ids)


async def _fetch_status(
    client: DaemonClient, address: str, semaphore: asyncio.Semaphore
) -> Result[DaemonStatus, CallError]:
    async with semaphore:
        return await client.get(address, STATUS_PATH, DaemonStatus, STATUS_TIMEOUT)


def _summarize(
    results_by_address: dict[str, Result[DaemonStatus, CallError]],
    host_ids: dict[str, str],
) -> FleetStatus:
    answered = [
        result.ok_value for result in results_by_address.values() if result.is_ok()
    ]
    unreachable = {
        host_ids.get(address, address): str(result.err_value)
        for address, result in results_by_address.items()
        if result.is_err()
    }
    by_id = {host.host_id: host for host in answered}
    return FleetStatus(
        tuple(sorted(by_id.values(), key=lambda host: host.host_id)), unreachable
    )
