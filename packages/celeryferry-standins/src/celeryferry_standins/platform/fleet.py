"""A small fleet on the platform: store, upstreams, and daemons as processes."""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from pathlib import Path
from types import MappingProxyType

import msgspec

from celeryferry_standins.platform.store import PlatformStore
from celeryferry_standins.platform.upstream import PlatformUpstream
from celeryferry_standins.ports import reserve_port
from celeryferry_standins.processes import ManagedProcess

ZONES = ("za", "zb", "zc")
STOP_TIME = timedelta(seconds=2)
_LISTENER_NAMES = ("http", "readiness", "admin", "directory")


class PlatformHost:
    """One host of the fleet, which runs one daemon.

    :param name: name of the host.
    :param zone: failure domain that it is in.
    :ivar addresses: ``ip:port`` by listener.
    :ivar process: the running process.
    """

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self._reserved_sockets = [reserve_port() for _ in _LISTENER_NAMES]
        self.addresses = {
            listener: f"127.0.0.1:{reserved.getsockname()[1]}"
            for listener, reserved in zip(
                _LISTENER_NAMES, self._reserved_sockets, strict=True
            )
        }
        self.process: ManagedProcess | None = None

    def start(
        self,
        folder: Path,
        settings: dict[str, object],
        environment: Mapping[str, str] = MappingProxyType({}),
    ) -> None:
        """Start the process.

        :param folder: receives its settings file and its log.
        :param settings: settings that all hosts share.
        :param environment: further environment variables.
        """
        path = self.write_settings(folder, settings)
        self.process = ManagedProcess(
            self.name,
            "celeryferry_daemon.platform",
            [],
            folder / f"{self.name}.log",
            {"CELERYFERRY_BOOT": str(path), **environment},
        )

    def write_settings(
        self, folder: Path, settings: dict[str, object], is_cut_off: bool = False
    ) -> Path:
        """Write the settings file of this host.

        :param folder: receives the file.
        :param settings: settings that all hosts share.
        :param is_cut_off: whether the second half of the file is missing.
        :returns: path of the file.
        """
        host_settings = {
            "node_name": self.name,
            "zone": self.zone,
            "bind_addrs": self.addresses,
        }
        content = msgspec.json.encode(settings | host_settings)
        if is_cut_off:
            content = content[: len(content) // 2]
        path = folder / f"{self.name}.json"
        # A process that starts meanwhile reads the former file or this one.
        temporary = path.with_suffix(".new")
        temporary.write_bytes(content)
        return temporary.replace(path)

    def close(self) -> None:
        """Kill the process and release its ports."""
        if self.process is not None:
            self.process.kill()
        for reserved in self._reserved_sockets:
            reserved.close()


class PlatformFleet:
    """Store, upstreams and the daemons that use them.

    :param folder: receives settings files and logs.
    :param services: services with one upstream in each zone.
    :param environment: further environment variables of the daemons.
    :param hosts_per_zone: number of hosts in each zone.
    :ivar hosts: all hosts; one of each zone comes first.
    """

    def __init__(
        self,
        folder: Path,
        services: Iterable[str],
        environment: Mapping[str, str] = MappingProxyType({}),
        hosts_per_zone: int = 1,
    ) -> None:
        self.folder = folder
        self._environment = environment
        self.store = PlatformStore()
        self.upstreams = [
            PlatformUpstream(f"i-{service}-{zone}", service, zone)
            for service in services
            for zone in ZONES
        ]
        self.hosts = [
            PlatformHost(f"host-{zone}" + (f"-{number}" if number > 1 else ""), zone)
            for number in range(1, hosts_per_zone + 1)
            for zone in ZONES
        ]

    @property
    def settings(self) -> dict[str, object]:
        """Settings that all hosts share."""
        return {
            "seed_nodes": [
                host.addresses["admin"] for host in self.hosts[: len(ZONES)]
            ],
            "platform": {"address": self.store.address},
            "parameters": {"grace_s": STOP_TIME.total_seconds(), "ttl_max_s": 5},
        }

    async def start(self, configuration: dict[str, object]) -> None:
        """Start the store, the upstreams and the daemons.

        :param configuration: first configuration of the operators.
        """
        await self.store.start()
        await self.store.put("op/config", configuration)
        for upstream in self.upstreams:
            await upstream.start()
            await self.register(upstream)
        for host in self.hosts:
            host.start(self.folder, self.settings, self._environment)

    async def stop(self) -> None:
        """Kill the daemons and stop the upstreams and the store."""
        for host in self.hosts:
            host.close()
        for upstream in self.upstreams:
            await upstream.stop()
        await self.store.stop()

    async def register(self, upstream: PlatformUpstream, lifecycle="ready") -> None:
        """Write the entry of an upstream to the store.

        :param upstream: the upstream.
        :param lifecycle: ``ready`` or ``draining``.
        """
        key = f"servers/{upstream.instance_id}"
        await self.store.put(key, upstream.make_entry(lifecycle))

    def read_logs(self) -> str:
        """Return the last lines of every daemon's log."""
        return "\n".join(
            f"{host.name}: {host.process.read_log_tail()}"
            for host in self.hosts
            if host.process is not None
        )
