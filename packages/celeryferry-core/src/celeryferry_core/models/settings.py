"""Settings of the daemon."""

from dataclasses import dataclass, field
from datetime import timedelta

from celeryferry_core.models.topology import Host


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Bounds of one daemon.

    :param waiting_requests: requests of callers that may wait or run at once.
    :param body_bytes: largest request body in bytes.
    :param tickets: tickets remembered at once.
    :param ticket_valid_ms: life of a ticket in milliseconds.
    :param entry_hosts_valid_ms: how long callers may keep an entry-host answer, in
        milliseconds.
    """

    waiting_requests: int = 512
    body_bytes: int = 65_536
    tickets: int = 10_000
    ticket_valid_ms: int = 60_000
    entry_hosts_valid_ms: int = 5_000

    @property
    def ticket_validity(self) -> timedelta:
        """Life of a ticket."""
        return timedelta(milliseconds=self.ticket_valid_ms)

    @property
    def entry_hosts_validity(self) -> timedelta:
        """How long callers may keep an entry-host answer."""
        return timedelta(milliseconds=self.entry_hosts_valid_ms)


@dataclass(frozen=True, slots=True)
class DaemonSettings:
    """Checked settings of one daemon.

    :param host: identity, failure domain and addresses of this host.
    :param fleet_token: token shared by the daemons of the fleet.
    :param configuration_service: ``ip:port`` of the configuration service.
    :param host_list: ``ip:port`` of the host list.
    :param limits: bounds of the daemon.
    :param log_level: lowest level that is logged.
    """

    host: Host
    fleet_token: str
    configuration_service: str
    host_list: str
    limits: LimitSettings = field(default_factory=LimitSettings)
    log_level: str = "info"
