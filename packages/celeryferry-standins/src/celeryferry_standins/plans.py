"""Plan of a test fleet, and handles of its running processes."""

import socket
from dataclasses import dataclass, field, replace
from pathlib import Path

import msgspec

from celeryferry_core.models.settings import LimitSettings
from celeryferry_core.models.topology import Host
from celeryferry_standins.documents import ServicePlan
from celeryferry_standins.processes import ManagedProcess
from celeryferry_standins.serving import LISTEN_IP
from celeryferry_standins.upstream.behaviour import Behaviour


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """What a test fleet consists of.

    :param failure_domains: names of the failure domains.
    :param services: services; each shard has replicas in every failure domain.
    :param daemons_per_domain: daemons in each failure domain.
    :param behaviour: behaviour of every upstream; slots, connections, cost of a
        connection and cold limit come from the limits of the service.
    :param isolated_upstreams: names of upstreams that run in their own process.
    :param limits: limits in the daemon settings.
    :param log_level: log level of the daemons.
    :param faulty: True to run the test daemon, which can inject network faults.
    :param without: mechanisms that are switched off; setting it selects the test
        daemon.
    :param host_list_lag_ms: lag of the host list.
    :param daemon_module: module that is run as the daemon.
    :param journals_searches: True to write executions of searches to a file, so that
        those on killed upstreams are counted too.
    """

    failure_domains: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    daemons_per_domain: int = 3
    behaviour: Behaviour = field(default_factory=Behaviour)
    isolated_upstreams: frozenset[str] = frozenset()
    limits: LimitSettings = field(default_factory=LimitSettings)
    log_level: str = "info"
    faulty: bool = False
    without: tuple[str, ...] = ()
    host_list_lag_ms: float = 0.0
    daemon_module: str = "celeryferry_daemon"
    journals_searches: bool = False

    @property
    def uses_test_daemon(self) -> bool:
        """Whether the daemons are test daemons."""
        return self.faulty or bool(self.without)

    def list_upstreams(self) -> list["UpstreamPlan"]:
        """List the upstreams of every service.

        :returns: one plan for each replica.
        """
        return [
            UpstreamPlan(service, shard, domain, number)
            for service in self.services
            for shard in service.shard_names
            for domain in self.failure_domains
            for number in range(service.replicas_per_domain)
        ]

    def make_behaviour(self, upstream: "UpstreamPlan") -> Behaviour:
        """Return the plan's behaviour with the limits of the upstream's service."""
        limits = upstream.service.upstreams
        return msgspec.structs.replace(
            self.behaviour,
            slots=limits.slots,
            connections=limits.connections,
            connect_cost_ms=limits.connect_cost_ms,
            cold_bears=limits.cold_limit,
        )


@dataclass(frozen=True, slots=True)
class UpstreamPlan:
    """One upstream of a plan.

    :param service: its service.
    :param shard: shard that it holds.
    :param failure_domain: failure domain it is in.
    :param number: number among the replicas of the shard there.
    """

    service: ServicePlan
    shard: str
    failure_domain: str
    number: int

    @property
    def name(self) -> str:
        """Name ``shard/failure_domain/number``, with the service if it differs."""
        parts = [self.shard, self.failure_domain, str(self.number)]
        if self.shard != self.service.service:
            parts.insert(0, self.service.service)
        return "/".join(parts)


@dataclass(slots=True)
class UpstreamProcessHandle:
    """A process that hosts stand-in upstreams.

    :param name: name of the process.
    :param process: the running process.
    :param spec_file: file with its upstreams.
    :param control_address: address for control requests.
    """

    name: str
    process: ManagedProcess
    spec_file: Path
    control_address: str


@dataclass(slots=True)
class UpstreamHandle:
    """A running stand-in upstream.

    :param plan: its plan.
    :param address: its address.
    :param process_handle: process that hosts it.
    """

    plan: UpstreamPlan
    address: str
    process_handle: UpstreamProcessHandle


@dataclass(slots=True)
class DaemonHandle:
    """A daemon of the fleet.

    :param host: identity and addresses.
    :param settings_file: its settings.
    :param control_address: control address of the test daemon.
    :param process: latest process, None before the start.
    :param start_count: number of starts so far.
    """

    host: Host
    settings_file: Path
    control_address: str
    process: ManagedProcess | None = None
    start_count: int = 0

    def set_addresses(self, addresses: list[str]) -> None:
        """Replace the addresses of the daemon.

        :param addresses: for callers, for peers and for control requests.
        """
        callers, peers, self.control_address = addresses
        self.host = replace(self.host, callers_address=callers, peers_address=peers)


def find_free_addresses(count: int) -> list[str]:
    """Find addresses on which no process listens at the moment.

    All sockets are open at once, so the addresses differ. Another process may bind
    one before it is used; the launcher then retries with other addresses.

    :param count: number of addresses.
    :returns: ``ip:port`` of each.
    """
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind((LISTEN_IP, 0))
        return [f"{LISTEN_IP}:{one.getsockname()[1]}" for one in sockets]
    finally:
        for one in sockets:
            one.close()
