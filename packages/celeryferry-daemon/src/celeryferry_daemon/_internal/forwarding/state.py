"""What this host knows, owned by the tasks that follow the sources."""

from datetime import timedelta

from celeryferry_core.environment import RandomSource
from celeryferry_core.forwarding.budgets import ExtraAttemptBudgets
from celeryferry_core.forwarding.models import ForwardingConfiguration
from celeryferry_core.forwarding.registry import UpstreamRegistry
from celeryferry_core.forwarding.rules import RuleTable
from celeryferry_core.forwarding.selection import UpstreamSelector
from celeryferry_core.forwarding.session import SessionContext
from celeryferry_core.forwarding.timing import TimesByRule
from celeryferry_core.forwarding.warmup import WarmupLimits
from celeryferry_daemon._internal.forwarding.log_lines import LogWriter
from celeryferry_daemon._internal.forwarding.pool import UpstreamPool
from celeryferry_daemon._internal.forwarding.ports import (
    Change,
    ConfigurationPublished,
    DomainEvacuated,
    DomainRestored,
    ItemRejected,
    UpstreamListed,
    UpstreamUnlisted,
)
from celeryferry_daemon._internal.forwarding.settings import ForwardingSettings


class HostState:
    """Configuration and upstreams in force on this host.

    :param settings: settings of the process.
    :param random: source of random numbers.
    :param pool: connections, closed with the upstreams they go to.
    :param log: receives one line for each change.
    :ivar configuration: configuration in force, None before the first.
    :ivar rules: its rules.
    :ivar registry: listed upstreams.
    :ivar session_context: what sessions decide from.
    """

    __slots__ = (
        "_log",
        "_pool",
        "configuration",
        "session_context",
        "registry",
        "rules",
        "warmup",
    )

    def __init__(
        self,
        settings: ForwardingSettings,
        random: RandomSource,
        pool: UpstreamPool,
        log: LogWriter,
    ) -> None:
        self._pool = pool
        self._log = log
        self.configuration: ForwardingConfiguration | None = None
        self.rules = RuleTable(())
        self.registry = UpstreamRegistry()
        self.warmup = WarmupLimits(
            settings.host_id, settings.cold_excess, settings.cold_tolerance
        )
        selector = UpstreamSelector(
            settings.failure_domain, self.registry, self.warmup, random
        )
        budgets = ExtraAttemptBudgets(settings.extra_ratio, settings.extra_burst)
        self.session_context = SessionContext(selector, budgets, TimesByRule(), random)

    def replace_settings(self, settings: ForwardingSettings) -> None:
        """Take over changed bounds.

        :param settings: new settings.
        """
        self.warmup.replace_bounds(settings.cold_excess, settings.cold_tolerance)
        self.session_context.budgets.replace_bounds(
            settings.extra_ratio, settings.extra_burst
        )

    def set_live_hosts(self, host_ids: tuple[str, ...]) -> None:
        """Take over which hosts share the bounds of the upstreams.

        :param host_ids: live hosts, this one included.
        """
        self.warmup.host_ids = host_ids
        self.session_context.selector.host_count = len(host_ids)
        self.session_context.budgets.host_count = len(host_ids)

    def apply(self, change: Change, now: timedelta, is_confirmed: bool = False) -> None:
        """Take over one change.

        :param change: the change.
        :param now: present monotonic time.
        :param is_confirmed: whether a removal is known to be no lapse.
        """
        match change:
            case UpstreamListed(upstream):
                if self.registry.put(upstream, now):
                    self._log.write("upstream_listed", upstream=upstream)
            case UpstreamUnlisted(instance_id, is_removed):
                is_certain = is_confirmed or not is_removed
                if self.registry.remove(instance_id, now, is_certain):
                    self._remove_upstream(instance_id)
            case ConfigurationPublished(configuration):
                self._replace_configuration(configuration)
            case DomainEvacuated(failure_domain):
                self._replace_domains_out(self.registry.domains_out | {failure_domain})
            case DomainRestored(failure_domain):
                self._replace_domains_out(self.registry.domains_out - {failure_domain})
            case ItemRejected(key, reason):
                self._log.write("item_rejected", key=key, reason=reason)

    def drop_missing_upstreams(self, now: timedelta) -> None:
        """Drop upstreams whose entries did not come back.

        :param now: present monotonic time.
        """
        for instance_id in self.registry.drop_missing(now):
            self._remove_upstream(instance_id)

    def _remove_upstream(self, instance_id: str) -> None:
        self._pool.close_idle(instance_id)
        self.session_context.selector.forget(instance_id)
        self._log.write("upstream_gone", instance_id=instance_id)

    def _replace_domains_out(self, domains_out: frozenset[str]) -> None:
        if domains_out != self.registry.domains_out:
            self.registry.domains_out = domains_out
            self._log.write("domains_out_changed", domains_out=sorted(domains_out))

    def _replace_configuration(self, configuration: ForwardingConfiguration) -> None:
        previous = self.configuration
        if previous is not None and configuration.version <= previous.version:
            return
        self.configuration = configuration
        self.rules = RuleTable(configuration.rules)
        self.session_context.selector.services = configuration.services
        names = frozenset(rule.name for rule in configuration.rules)
        self.session_context.times.keep_only(names)
        self._log.write(
            "configuration_in_force",
            version=configuration.version,
            replaced_version=None if previous is None else previous.version,
            rule_count=len(configuration.rules),
        )
