"""Settings of the daemon."""

from dataclasses import dataclass, field
from datetime import timedelta

from celeryferry_core.models.topology import Host


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Limits of one daemon.

    :param waiting_requests: maximum number of requests of callers that wait or run at
        once.
    :param body_bytes: maximum size of a request body in bytes.
    :param tickets: maximum number of tickets remembered at once.
    :param ticket_valid_ms: time for which a ticket is valid, in milliseconds.
    :param entry_hosts_valid_ms: time for which callers may cache an answer that lists
        entry hosts, in milliseconds.
    """

    waiting_requests: int = 512
    body_bytes: int = 65_536
    tickets: int = 10_000
    ticket_valid_ms: int = 60_000
    entry_hosts_valid_ms: int = 5_000

    @property
    def ticket_validity(self) -> timedelta:
        """Time for which a ticket is valid."""
        return timedelta(milliseconds=self.ticket_valid_ms)

    @property
    def entry_hosts_validity(self) -> timedelta:
        """Time for which callers may cache an answer that lists entry hosts."""
        return timedelta(milliseconds=self.entry_hosts_valid_ms)


@dataclass(frozen=True, slots=True)
class DaemonSettings:
    """Validated settings of one daemon.

    :param host: identity, failure domain and addresses of this host.
    :param fleet_token: token shared by the daemons of the fleet.
    :param configuration_service: ``ip:port`` of the configuration service.
    :param host_list: ``ip:port`` of the service that publishes the host list.
    :param log_level: lowest severity that is logged.
    """

    host: Host
    fleet_token: str
    configuration_service: str
    host_list: str
    limits: LimitSettings = field(default_factory=LimitSettings)
    log_level: str = "info"
