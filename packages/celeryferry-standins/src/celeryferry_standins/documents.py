"""Texts of service documents and daemon settings for a test fleet."""

from dataclasses import dataclass, field

from celeryferry_core.models.settings import DaemonSettings
from celeryferry_core.models.topology import (
    Preference,
    Replica,
    ServiceDocument,
    Shard,
    UpstreamLimits,
)


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """One service of a test fleet.

    :param service: name of the service.
    :param application: application that the service belongs to.
    :param shards: names of its shards; one named like the service if empty.
    :param upstreams: limits of each upstream.
    :param preference: what it preserves if it cannot answer completely in time.
    :param repeatable: False if each request may run at most once.
    :param deadline_ms: longest time of a query in milliseconds.
    :param answer_within_ms: time after which ``time`` services answer.
    :param replicas_per_domain: replicas of each shard in each failure domain.
    """

    service: str
    application: str
    shards: tuple[str, ...] = ()
    upstreams: UpstreamLimits = field(
        default_factory=lambda: UpstreamLimits(4, 80, 1, 6.0)
    )
    preference: Preference = Preference.COVERAGE
    repeatable: bool = True
    deadline_ms: int = 1000
    answer_within_ms: int = 250
    replicas_per_domain: int = 1

    @property
    def shard_names(self) -> tuple[str, ...]:
        """Names of the shards."""
        return self.shards or (self.service,)

    def to_document(
        self, version: int, replicas: dict[str, tuple[Replica, ...]]
    ) -> ServiceDocument:
        """Build the service document.

        :param version: version of the document.
        :param replicas: replicas by shard name.
        :returns: the document.
        """
        return ServiceDocument(
            version=version,
            application=self.application,
            service=self.service,
            team="test",
            preference=self.preference,
            repeatable=self.repeatable,
            deadline_ms=self.deadline_ms,
            answer_within_ms=self.answer_within_ms,
            failure_domains_out=(),
            upstreams=self.upstreams,
            shards=tuple(Shard(name, replicas[name]) for name in self.shard_names),
        )


def render_settings(settings: DaemonSettings, fleet_token_file: str) -> str:
    """Render daemon settings as TOML.

    :param fleet_token_file: file that holds the fleet token.
    :returns: TOML text.
    """
    host = settings.host
    limits = settings.limits
    lines = [
        f'host_id = "{host.host_id}"',
        f'failure_domain = "{host.failure_domain}"',
        f'callers_address = "{host.callers_address}"',
        f'peers_address = "{host.peers_address}"',
        f'fleet_token_file = "{fleet_token_file}"',
        f'configuration_service = "{settings.configuration_service}"',
        f'host_list = "{settings.host_list}"',
        "",
        "[limits]",
        f"waiting_requests = {limits.waiting_requests}",
        f"body_bytes = {limits.body_bytes}",
        f"tickets = {limits.tickets}",
        f"ticket_valid_ms = {limits.ticket_valid_ms}",
        f"entry_hosts_valid_ms = {limits.entry_hosts_valid_ms}",
        "",
        "[log]",
        f'level = "{settings.log_level}"',
    ]
    return "\n".join(lines) + "\n"
