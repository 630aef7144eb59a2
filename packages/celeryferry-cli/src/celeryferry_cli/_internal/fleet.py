"""State of the whole fleet, collected from the operator interface of each host."""

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
# Limits the connections that the tool has open at once on a large fleet.
MAX_CONCURRENT_CALLS = 64


@dataclass(frozen=True, slots=True)
class OutdatedDocument:
    """A document that is missing on a host or older there than elsewhere in the fleet.

    :param has: version that is active on the host, None if it lacks the document.
    :param newest: newest version in the fleet, which should be active on every host.
    """

    host_id: str
    name: str
    has: DocumentVersion | None
    newest: DocumentVersion


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """State of the fleet.

    :param hosts: statuses of the hosts that answered, sorted by host id.
    :param unreachable: reasons of the failed calls, by host id, or by address if no
        host lists that address.
    """

    hosts: tuple[DaemonStatus, ...]
    unreachable: dict[str, str]

    def get_peer_addresses(self) -> dict[str, str]:
        """Return the addresses of the peer listeners of all listed hosts.

        :returns: ``ip:port`` by host id.
        """
        return {
            listed.host_id: listed.peers_address
            for host in self.hosts
            for listed in host.hosts
        }

    def find_newest_versions(self) -> dict[str, DocumentVersion]:
        """Return the newest version of each document in the fleet.

        :returns: versions by document name, sorted by name.
        """
        newest: dict[str, DocumentVersion] = {}
        for host in self.hosts:
            for name, version in _get_versions(host).items():
                if name not in newest or supersedes(version, newest[name]):
                    newest[name] = version
        return dict(sorted(newest.items()))

    def find_outdated_documents(self) -> tuple[OutdatedDocument, ...]:
        """Find the documents that are missing or older on some host.

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
    """Fetch the status of the given daemons, and then of every host that they list.

    :param client: client with the fleet token.
    :param addresses: ``ip:port`` of the peer listeners to ask first.
    """
    results_by_address: dict[str, Result[DaemonStatus, CallError]] = {}
    host_ids: dict[str, str] = {}
    pending = set(addresses)
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
    # The second round asks the hosts that the first round listed. Hosts that only the
    # second round lists are not asked.
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
