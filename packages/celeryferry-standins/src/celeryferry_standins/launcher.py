"""Starts a fleet of processes for tests and the demo, and stops it."""

import shutil
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from celeryferry_core.models.settings import DaemonSettings
from celeryferry_core.models.topology import Host, Replica
from celeryferry_standins.documents import render_settings
from celeryferry_standins.fleet_control import FLEET_TOKEN, READY_TIMEOUT, FleetControl
from celeryferry_standins.journals import Journals
from celeryferry_standins.plans import (
    DaemonHandle,
    FleetPlan,
    UpstreamHandle,
    UpstreamPlan,
    UpstreamProcessHandle,
    find_free_addresses,
)
from celeryferry_standins.processes import (
    ManagedProcess,
    StartError,
    run_all,
    wait_until,
)
from celeryferry_standins.upstream.behaviour import (
    ProcessReady,
    ProcessSpec,
    UpstreamSpec,
)

CALL_TIMEOUT_S = 5.0
START_ATTEMPTS = 3
ADDRESSES_PER_DAEMON = 3
ADDRESS_IN_USE_TEXT = "address already in use"


class Fleet(FleetControl):
    """A fleet of daemons with its stand-ins; an asynchronous context manager.

    :param plan: services, daemons and upstreams to start.
    :ivar directory: temporary directory with settings and logs.
    """

    def __init__(self, plan: FleetPlan):
        super().__init__()
        self.plan = plan
        self.directory = Path()
        self.processes: dict[str, ManagedProcess] = {}
        self._journals = Journals(self.directory)
        self._ready_file_count = 0

    async def __aenter__(self) -> "Fleet":
        self.directory = Path(tempfile.mkdtemp(prefix="celeryferry-"))
        self._journals = Journals(self.directory)
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        self.session = aiohttp.ClientSession(timeout=timeout)
        try:
            await self._start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Kill every process that the fleet started and remove its files."""
        for process in self.processes.values():
            process.kill()
        await self.session.close()
        shutil.rmtree(self.directory, ignore_errors=True)

    async def _start(self) -> None:
        (self.directory / "token").write_text(FLEET_TOKEN)
        services, hosts, _ = await run_all(
            (
                self._start_service("configuration_service"),
                self._start_service("host_list"),
                self._start_upstreams(),
            )
        )
        self.configuration_service, self.host_list = services, hosts
        await self._write_documents()
        self._assign_daemon_addresses()
        await self.publish_hosts(lag_ms=self.plan.host_list_lag_ms)
        await run_all(self.start_daemon(name) for name in self.daemons)

    def _launch(self, name: str, module: str, arguments: list[str]) -> ManagedProcess:
        log_file = self.directory / f"{name.replace('/', '_')}.log"
        process = ManagedProcess(name, module, arguments, log_file)
        self.processes[f"{name}#{process.pid}"] = process
        return process

    async def _launch_standin(
        self, name: str, module: str, arguments: list[str]
    ) -> tuple[ManagedProcess, bytes]:
        self._ready_file_count += 1
        ready_file = self.directory / f"ready-{self._ready_file_count}.json"
        arguments = [*arguments, "--ready", str(ready_file)]
        process = self._launch(name, f"celeryferry_standins.{module}", arguments)
        return process, await process.wait_for_file(ready_file, READY_TIMEOUT)

    async def _start_service(self, module: str) -> dict[str, str]:
        _, ready = await self._launch_standin(module, module, [])
        return msgspec.json.decode(ready, type=dict[str, str])

    async def _start_upstreams(self) -> None:
        groups: dict[str, list[UpstreamPlan]] = {}
        for upstream in self.plan.list_upstreams():
            has_own_process = upstream.name in self.plan.isolated_upstreams
            group = (
                upstream.name
                if has_own_process
                else f"upstreams-{upstream.failure_domain}"
            )
            groups.setdefault(group, []).append(upstream)
        await run_all(self._start_upstream_process(*one) for one in groups.items())

    async def _start_upstream_process(
        self, name: str, upstreams: list[UpstreamPlan]
    ) -> None:
        specs = [
            UpstreamSpec(one.name, behaviour=self.plan.make_behaviour(one))
            for one in upstreams
        ]
        spec_file = self.directory / f"{name.replace('/', '_')}.json"
        spec = ProcessSpec(specs, journal=str(self._journals.run_file))
        if self.plan.journals_searches:
            spec.search_journal = str(self._journals.search_file)
        spec_file.write_bytes(msgspec.json.encode(spec))
        ready, process_handle = await self._run_upstream_process(name, spec_file)
        for one in upstreams:
            address = ready.addresses[one.name]
            self.upstreams[one.name] = UpstreamHandle(one, address, process_handle)

    async def _run_upstream_process(
        self, name: str, spec_file: Path
    ) -> tuple[ProcessReady, UpstreamProcessHandle]:
        arguments = ["--spec", str(spec_file)]
        process, content = await self._launch_standin(name, "upstream", arguments)
        ready = msgspec.json.decode(content, type=ProcessReady)
        address = ready.control_address
        return ready, UpstreamProcessHandle(name, process, spec_file, address)

    async def restart_upstream(self, name: str, **changes: Any) -> None:
        """Restart the killed process of an upstream on the same addresses.

        :param name: name of an upstream of the process.
        :param changes: fields of ``Behaviour`` that differ after the restart.
        """
        process_handle = self.upstreams[name].process_handle
        handles = [
            one
            for one in self.upstreams.values()
            if one.process_handle is process_handle
        ]
        spec = msgspec.json.decode(
            process_handle.spec_file.read_bytes(), type=ProcessSpec
        )
        addresses = {one.plan.name: one.address for one in handles}
        for one in spec.upstreams:
            one.address = addresses[one.name]
            one.behaviour = msgspec.structs.replace(one.behaviour, **changes)
        process_handle.spec_file.write_bytes(msgspec.json.encode(spec))
        _, restarted_handle = await self._run_upstream_process(
            process_handle.name, process_handle.spec_file
        )
        for one in handles:
            one.process_handle = restarted_handle

    async def _write_documents(self) -> None:
        for service in self.plan.services:
            replicas: dict[str, tuple[Replica, ...]] = {}
            for shard in service.shard_names:
                replicas[shard] = tuple(
                    Replica(one.address, one.plan.failure_domain)
                    for one in self.upstreams.values()
                    if one.plan.service is service and one.plan.shard == shard
                )
            self.documents[service.service] = service.to_document(1, replicas)
        await self.put_documents(list(self.documents.values()))

    def _assign_daemon_addresses(self) -> None:
        names = [
            (f"{domain}-{number + 1}", domain)
            for domain in self.plan.failure_domains
            for number in range(self.plan.daemons_per_domain)
        ]
        addresses = find_free_addresses(ADDRESSES_PER_DAEMON * len(names))
        for index, (host_id, domain) in enumerate(names):
            first = index * ADDRESSES_PER_DAEMON
            callers, peers, control = addresses[first : first + ADDRESSES_PER_DAEMON]
            host = Host(host_id, domain, callers, peers)
            settings_file = self.directory / f"{host_id}.toml"
            self.daemons[host_id] = DaemonHandle(host, settings_file, control)

    def _write_settings(self, daemon: DaemonHandle) -> None:
        settings = DaemonSettings(
            host=daemon.host,
            fleet_token=FLEET_TOKEN,
            configuration_service=self.configuration_service["address"],
            host_list=self.host_list["address"],
            limits=self.plan.limits,
            log_level=self.plan.log_level,
        )
        token_file = str(self.directory / "token")
        daemon.settings_file.write_text(render_settings(settings, token_file))

    async def start_daemon(self, host_id: str) -> None:
        """Start or restart a daemon as a new process and wait until it is ready.

        :param host_id: host of the daemon.
        :raises StartError: it ended or did not become ready in time.
        :raises ValueError: its previous process still runs.
        """
        daemon = self.daemons[host_id]
        if daemon.process is not None and daemon.process.running:
            raise ValueError(f"{host_id} still runs; kill it or wait for its end")
        for attempt in range(START_ATTEMPTS):
            self._run_daemon(daemon)
            try:
                await self._wait_for_daemon(daemon)
                return
            except StartError:
                assert daemon.process is not None
                is_address_in_use = (
                    ADDRESS_IN_USE_TEXT in daemon.process.read_log().lower()
                )
                daemon.process.kill()
                if not is_address_in_use or attempt == START_ATTEMPTS - 1:
                    raise
            daemon.set_addresses(find_free_addresses(ADDRESSES_PER_DAEMON))
            await self.publish_hosts()

    def _run_daemon(self, daemon: DaemonHandle) -> None:
        daemon.start_count += 1
        self._write_settings(daemon)
        arguments = ["--settings", str(daemon.settings_file)]
        module = self.plan.daemon_module
        if self.plan.uses_test_daemon:
            module = "celeryferry_standins.faulty_daemon"
            without = ",".join(self.plan.without)
            arguments += ["--control", daemon.control_address, "--without", without]
        name = f"{daemon.host.host_id}.{daemon.start_count}"
        daemon.process = self._launch(name, module, arguments)

    async def _wait_for_daemon(self, daemon: DaemonHandle) -> None:
        process = daemon.process
        assert process is not None
        application = self.plan.services[0].application
        query = f"application={application}"
        url = f"http://{daemon.host.callers_address}/v1/entry-hosts?{query}"

        async def is_ready() -> bool:
            if not process.running:
                text = process.read_log_tail()
                raise StartError(f"{process.name} ended {process.exit_code}: {text}")
            try:
                async with self.session.get(url) as response:
                    return response.status == 200
            except (aiohttp.ClientError, TimeoutError):
                return False

        await wait_until(is_ready, READY_TIMEOUT, f"{process.name} ready")

    def count_runs(self) -> Counter[str]:
        """Count executions of non-repeatable requests, also those on killed upstreams.

        :returns: executions by ticket.
        """
        return self._journals.count_runs()

    def count_searches(self) -> Counter[str]:
        """Count executions of searches, also those on killed upstreams.

        :returns: executions by query id; empty unless the plan journals searches.
        """
        return self._journals.count_searches()

    def kill_upstream(self, name: str) -> None:
        """Kill the process of an upstream.

        :param name: name of an upstream that shares its process with no other.
        """
        self.upstreams[name].process_handle.process.kill()

    def kill_daemon(self, host_id: str) -> None:
        """Kill the daemon of a host; it must have been started."""
        process = self.daemons[host_id].process
        assert process is not None
        process.kill()
