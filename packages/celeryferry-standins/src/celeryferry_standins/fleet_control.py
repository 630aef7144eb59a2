"""Control of the running processes of a test fleet."""

from dataclasses import replace
from datetime import timedelta
from typing import Any

import aiohttp
import msgspec

from celeryferry_core.documents import render_document
from celeryferry_core.models.topology import ServiceDocument
from celeryferry_standins.host_list import ListedHost
from celeryferry_standins.plans import DaemonHandle, UpstreamHandle
from celeryferry_standins.processes import wait_until
from celeryferry_standins.upstream.behaviour import Counters

READY_TIMEOUT = timedelta(seconds=20)
FLEET_TOKEN = "test-fleet-token"


class FleetControl:
    """Sends control requests to the stand-ins and daemons of a fleet.

    :ivar daemons: daemons by host id.
    :ivar upstreams: upstreams by name.
    :ivar documents: service documents as last written, by service.
    """

    session: aiohttp.ClientSession

    def __init__(self) -> None:
        self.daemons: dict[str, DaemonHandle] = {}
        self.upstreams: dict[str, UpstreamHandle] = {}
        self.documents: dict[str, ServiceDocument] = {}
        self.configuration_service: dict[str, str] = {}
        self.host_list: dict[str, str] = {}

    @property
    def entry_addresses(self) -> tuple[str, ...]:
        """Addresses of all daemons for callers."""
        return tuple(one.host.callers_address for one in self.daemons.values())

    def list_shards(self, application: str) -> frozenset[str]:
        """List the shards of an application.

        :param application: name of the application.
        :returns: shards as ``service/shard``.
        """
        return frozenset(
            f"{document.service}/{shard.name}"
            for document in self.documents.values()
            for shard in document.shards
            if document.application == application
        )

    async def put_documents(self, documents: list[ServiceDocument]) -> None:
        """Write service documents to the configuration service.

        :param documents: documents to write, with the versions they carry.
        """
        texts = {one.service: render_document(one) for one in documents}
        self.documents.update({one.service: one for one in documents})
        await self.control_configuration(put=texts)

    async def change_services(self, application: str | None, **changes: Any) -> None:
        """Change fields of service documents and raise their versions.

        :param application: application whose services change, None for all.
        :param changes: fields of ``ServiceDocument``.
        """
        changed = [
            replace(one, version=one.version + 1, **changes)
            for one in self.documents.values()
            if application in (None, one.application)
        ]
        await self.put_documents(changed)

    async def publish_hosts(
        self,
        leaving: frozenset[str] = frozenset(),
        removed: frozenset[str] = frozenset(),
        **changes: Any,
    ) -> None:
        """Write the hosts to the host list.

        :param leaving: host ids listed as leaving.
        :param removed: host ids that are not listed.
        :param changes: other fields of the control request, such as ``lag_ms``.
        """
        hosts = [
            ListedHost(
                one.host.host_id,
                one.host.failure_domain,
                one.host.callers_address,
                one.host.peers_address,
                "leaving" if name in leaving else "live",
            )
            for name, one in self.daemons.items()
            if name not in removed
        ]
        await self.control_host_list(hosts=hosts, **changes)

    async def wait_for_coverage(
        self, application: str, timeout: timedelta = READY_TIMEOUT
    ) -> None:
        """Wait until each running daemon has answered a search with full coverage.

        :param application: application to search.
        :param timeout: longest time to wait.
        :raises StartError: a daemon gave no such answer in time.
        """
        body = {"application": application, "query": {"probe": True}}
        incomplete_addresses = {
            one.host.callers_address
            for one in self.daemons.values()
            if one.process is not None and one.process.running
        }

        async def is_complete() -> bool:
            for address in list(incomplete_addresses):
                try:
                    url = f"http://{address}/v1/search"
                    async with self.session.post(url, json=body) as response:
                        answer = await response.json()
                        if response.status == 200 and answer["complete"]:
                            incomplete_addresses.discard(address)
                except (aiohttp.ClientError, TimeoutError):
                    return False
            return not incomplete_addresses

        await wait_until(is_complete, timeout, f"full coverage of {application}")

    async def _post(self, address: str, body: Any, path: str = "/control") -> Any:
        data = msgspec.json.encode(body)
        url = f"http://{address}{path}"
        async with self.session.post(url, data=data) as response:
            content = await response.read()
            if response.status != 200:
                raise ValueError(content.decode())
            return msgspec.json.decode(content)

    async def control_configuration(self, **changes: Any) -> Any:
        """Change the configuration service.

        :param changes: fields of its ``ControlRequest``.
        :returns: its state.
        """
        return await self._post(self.configuration_service["control_address"], changes)

    async def control_host_list(self, **changes: Any) -> Any:
        """Change the host list.

        :param changes: fields of its ``ControlRequest``.
        :returns: its state.
        """
        return await self._post(self.host_list["control_address"], changes)

    async def control_upstream(self, name: str, **changes: Any) -> None:
        """Change the behaviour of an upstream.

        :param name: name of the upstream.
        :param changes: fields of ``Behaviour``, ``add_version``, ``remove_version``.
        """
        address = self.upstreams[name].process_handle.control_address
        await self._post(address, changes, f"/control?upstream={name}")

    async def control_daemon(self, host_id: str, **changes: Any) -> None:
        """Change the network faults of a test daemon.

        :param host_id: host of the daemon.
        :param changes: fields of ``NetworkFaults``, ``add_cut_hosts``.
        """
        await self._post(self.daemons[host_id].control_address, changes)

    async def partition(self, *groups: frozenset[str]) -> None:
        """Block all traffic between groups of hosts; without arguments, restore it.

        :param groups: disjoint groups of host ids.
        """
        for host_id, daemon in self.daemons.items():
            if daemon.process is None or not daemon.process.running:
                continue
            other_groups = [group for group in groups if host_id not in group]
            unreachable = sorted(frozenset().union(*other_groups)) if groups else []
            await self.control_daemon(host_id, cut_hosts=unreachable)

    async def read_counters(self) -> dict[str, Counters]:
        """Read the counters of all upstreams whose processes run.

        :returns: counters by upstream name.
        """
        process_handles = {
            id(one.process_handle): one.process_handle
            for one in self.upstreams.values()
        }
        counters: dict[str, Counters] = {}
        for process_handle in process_handles.values():
            if not process_handle.process.running:
                continue
            url = f"http://{process_handle.control_address}/counters"
            try:
                async with self.session.get(url) as response:
                    body = await response.read()
            except aiohttp.ClientConnectionError:
                # Another scenario may have killed the process after the check.
                if process_handle.process.running:
                    raise
                continue
            counters.update(msgspec.json.decode(body, type=dict[str, Counters]))
        return counters

    async def read_status(self, host_id: str) -> Any:
        """Read the status of a daemon from its operator endpoint.

        :param host_id: host of the daemon.
        :returns: decoded JSON value.
        """
        address = self.daemons[host_id].host.peers_address
        url = f"http://{address}/operator/v1/status"
        headers = {"Authorization": f"Bearer {FLEET_TOKEN}"}
        async with self.session.get(url, headers=headers) as response:
            response.raise_for_status()
            return msgspec.json.decode(await response.read())
