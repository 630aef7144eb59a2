"""Configuration in force and known upstreams of this host.

They are read and changed only on the event loop, so there are no locks.
"""

from collections import deque
from collections.abc import Collection, Iterable
from datetime import timedelta

from celeryferry_core.environment import RandomSource
from celeryferry_core.forwarding.budgets import BudgetLimits, ExtraAttemptBudgets
from celeryferry_core.forwarding.caller_bounds import CallerBoundsInForce
from celeryferry_core.forwarding.cold_senders import ColdSenders
from celeryferry_core.forwarding.hosts import HostInfo
from celeryferry_core.forwarding.models import ForwardingConfiguration, Upstream
from celeryferry_core.forwarding.notices import UpstreamNotice, UpstreamNotices
from celeryferry_core.forwarding.positions import Evidence
from celeryferry_core.forwarding.processes import (
    Cold,
    OtherInstance,
    Undecided,
    Unstated,
    Warm,
    WarmupStatement,
    describe_statement,
)
from celeryferry_core.forwarding.registry import SOURCE_BACK_GRACE, UpstreamRegistry
from celeryferry_core.forwarding.restarts import RestartObservations, is_new_process
from celeryferry_core.forwarding.restores import HeldChanges, get_holding_time
from celeryferry_core.forwarding.rules import RuleTable, list_services
from celeryferry_core.forwarding.selection import (
    DEFAULT_SERVICE_BOUNDS,
    UpstreamSelector,
)
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
    UpstreamRejected,
    UpstreamUnlisted,
)
from celeryferry_daemon._internal.forwarding.settings import ForwardingSettings

# Evacuations of one domain that are remembered, to recognise the item of one that was
# taken back in a copy of the source. A copy is some seconds old.
MAX_REMEMBERED_EVACUATIONS = 32


class HostState:
    """Configuration in force and upstreams known to this host.

    :param pool: connection pool; idle connections to removed upstreams are closed.
    :param log: receives one line per change.
    :param now: monotonic time of the start.
    :ivar configuration: configuration in force, None until the first is received.
    :ivar caller_bounds: limits on callers in force.
    :ivar rules: rules of the configuration in force.
    :ivar services: services that these rules name.
    :ivar rejected_count: invalid items so far, each counted once while it stays
        invalid.
    :ivar invalid_pause_count: answers that stated a pause that can't be read.
    :ivar registry: upstreams listed by the sources.
    :ivar session_context: data shared by all sessions: upstream selection, budgets and
        response times.
    :ivar warmup: limits on requests to cold upstreams.
    """

    __slots__ = (
        "_contact_time",
        "_evacuations",
        "_held",
        "_holding_time",
        "_host_id",
        "_log",
        "_pool",
        "_rejected_keys",
        "_reports_seen",
        "caller_bounds",
        "configuration",
        "invalid_pause_count",
        "rejected_count",
        "session_context",
        "registry",
        "rules",
        "services",
        "warmup",
    )

    def __init__(
        self,
        settings: ForwardingSettings,
        random: RandomSource,
        pool: UpstreamPool,
        log: LogWriter,
        now: timedelta,
    ) -> None:
        self._host_id = settings.host_id
        self._contact_time = settings.contact_time
        self._holding_time = get_holding_time(settings.heartbeat_interval)
        self._held: HeldChanges[Change] = HeldChanges()
        # Revisions at which domains were taken out of service.
        self._evacuations: dict[str, deque[int]] = {}
        self._pool = pool
        self._log = log
        self.configuration: ForwardingConfiguration | None = None
        self.caller_bounds = CallerBoundsInForce()
        self.rules = RuleTable(())
        self.services: frozenset[str] = frozenset()
        self._rejected_keys: set[str] = set()
        self.rejected_count = 0
        self.invalid_pause_count = 0
        self.registry = UpstreamRegistry()
        # Reports of other hosts that were applied, by host id.
        self._reports_seen: dict[str, tuple[tuple[str, int], ...]] = {}
        self.warmup = WarmupLimits(
            ColdSenders(settings.host_id, now),
            settings.cold_excess,
            settings.cold_tolerance,
        )
        selector = UpstreamSelector(
            settings.failure_domain, self.registry, self.warmup, random
        )
        budgets = ExtraAttemptBudgets(_read_budget_limits(settings))
        self.session_context = SessionContext(selector, budgets, TimesByRule(), random)
        pool.on_refused = self._record_refused
        pool.on_reached = self._record_reached
        pool.questions.is_source_read = self.registry.is_current

    def replace_settings(self, settings: ForwardingSettings) -> None:
        """Apply the limits and times of changed settings."""
        self._contact_time = settings.contact_time
        self._holding_time = get_holding_time(settings.heartbeat_interval)
        self.warmup.replace_bounds(settings.cold_excess, settings.cold_tolerance)
        self.session_context.budgets.limits = _read_budget_limits(settings)

    def set_fleet(
        self,
        live_ids: Collection[str],
        sender_ids: frozenset[str],
        sharing_count: int,
        is_joined: bool,
        now: timedelta,
    ) -> None:
        """Set the hosts that share the limits of the upstreams and the budgets.

        A host outside the entry sets seldom gets a request, so its budget is the one
        that it would have if all hosts sent.

        :param live_ids: ids of the live hosts, including this one.
        :param sender_ids: ids of the hosts that callers are sent to or that report a
            load.
        :param sharing_count: number of hosts that share the limits.
        :param is_joined: whether this host is in contact with the whole fleet, as far
            as it can know.
        """
        is_sender = self._host_id in sender_ids
        if not is_sender:
            sharing_count += 1
        self.warmup.senders.update(live_ids, sender_ids, is_joined, now)
        self.session_context.selector.host_count = sharing_count
        self.session_context.budgets.host_count = (
            sharing_count if is_sender else max(len(live_ids), sharing_count)
        )

    def apply(
        self,
        change: Change,
        now: timedelta,
        evidence: Evidence = Evidence.UNCONFIRMED,
    ) -> None:
        """Apply one change of a source.

        :param now: current monotonic time.
        :param evidence: what the change proves.
        """
        self._held.drop(_get_subject(change))
        if evidence is Evidence.RESTORED:
            holding_time = self._get_holding_time(change)
            if holding_time:
                self._held.hold(_get_subject(change), change, holding_time, now)
                return
        is_confirmed = evidence is Evidence.CONFIRMED
        match change:
            case UpstreamListed(key, upstream):
                self._rejected_keys.discard(key)
                known = self.registry.get(upstream.instance_id)
                self.notices.record_listed(upstream)
                if self.registry.put(upstream, now):
                    if is_new_process(upstream, known):
                        self.restarts.forget(upstream.instance_id)
                        self._pool.questions.processes.forget(upstream.instance_id)
                    self._log.write("upstream_listed", upstream=upstream)
            case UpstreamUnlisted(key, instance_id):
                self._rejected_keys.discard(key)
                if self.registry.remove(instance_id, now, is_confirmed):
                    self._remove_upstream(instance_id, now)
            case UpstreamRejected(key, instance_id, reason):
                self._reject(key, reason)
                if self.registry.remove(instance_id, now, is_confirmed=True):
                    self._remove_upstream(instance_id, now)
            case ConfigurationPublished(key, configuration):
                self._rejected_keys.discard(key)
                self._replace_configuration(configuration, now)
            case DomainEvacuated(failure_domain, revision):
                self._record_evacuation(failure_domain, revision)
                self._replace_domains_out(self.registry.domains_out | {failure_domain})
            case DomainRestored(failure_domain):
                self._replace_domains_out(self.registry.domains_out - {failure_domain})
            case ItemRejected(key, reason):
                self._reject(key, reason)

    def record_restored(self, now: timedelta) -> None:
        """Record that the source has come back from a copy of itself.

        Entries that the copy lacks are kept for the grace period. The source did not
        announce new processes while it was away.
        """
        self.registry.restart_grace_period(now)
        self._held.restart(now)
        self._pool.record_source_lost(self._contact_time)

    @property
    def held_count(self) -> int:
        """Number of changes of a copy that do not count yet."""
        return len(self._held)

    def _get_holding_time(self, change: Change) -> timedelta:
        """Return how long a change from a copy is kept back, zero if it counts.

        What the copy contradicts stays in force until it is written again, or until it
        would have been: what operators have written, within the grace period, and the
        entry of a process, before it expires. Versions of a configuration are ordered
        without the source.
        """
        match change:
            case UpstreamListed(_, upstream) if self.registry.is_outdated(upstream):
                return self._holding_time
            case UpstreamRejected(_, instance_id) if self.is_listed(instance_id):
                return self._holding_time
            case DomainEvacuated(domain, revision) if (
                domain not in self.registry.domains_out
                and revision in self._evacuations.get(domain, ())
            ):
                return SOURCE_BACK_GRACE
            case DomainRestored(domain) if domain in self.registry.domains_out:
                return max(SOURCE_BACK_GRACE, self._contact_time)
            case _:
                return timedelta(0)

    @property
    def restarts(self) -> RestartObservations:
        """Upstreams that are absent or have returned cold, as observed."""
        return self.session_context.selector.restarts

    @property
    def notices(self) -> UpstreamNotices:
        """Upstreams that have said that they leave or want a pause."""
        return self.session_context.selector.notices

    def record_notice(
        self, upstream: Upstream, notice: UpstreamNotice, now: timedelta
    ) -> None:
        """Record what an upstream has said of itself in an answer to this host."""
        instance_id, started_ms = upstream.instance_id, upstream.started_ms
        if notice.is_leaving and self.notices.record_leaving(
            instance_id, started_ms, is_own=True
        ):
            self._pool.close_idle(instance_id)
            self._log.write("upstream_leaving", instance_id=instance_id)
        if self.registry.get(instance_id) is None:
            self.notices.record_gone(instance_id, now)
            return
        pause = notice.pause
        if pause is not None and self.notices.record_pause(instance_id, pause, now):
            self._log.write(
                "upstream_pause",
                instance_id=instance_id,
                pause_s=pause.total_seconds(),
            )
        if notice.is_invalid:
            self.invalid_pause_count += 1
            if self.invalid_pause_count == 1:
                self._log.write("upstream_pause_invalid", instance_id=instance_id)

    def list_leaving(self, reports_all: bool) -> tuple[tuple[str, int], ...]:
        """Return the upstreams that leave, to report them to the other hosts.

        :param reports_all: whether to pass on what other hosts have reported.
        """
        ready = (each for each in self.registry.list_all() if not each.is_draining)
        return self.notices.list_reported(ready, reports_all)

    def record_source_lost(self) -> None:
        """Record that no host can read the source of entries."""
        self.registry.mark_source_lost()
        self._pool.record_source_lost(self._contact_time)

    def record_statement(
        self, upstream: Upstream, statement: WarmupStatement, now: timedelta
    ) -> bool:
        """Record what an upstream has answered when it was asked whether it is cold.

        One that does not say is taken for a new process.

        :returns: whether this settles the question.
        """
        match statement:
            case Undecided() | OtherInstance():
                return False
            case Warm():
                time_left = timedelta(0)
            case Cold(time_left):
                pass
            case Unstated():
                time_left = self._get_cold_time(upstream)
        instance_id = upstream.instance_id
        if time_left and self.registry.get(instance_id) is not None:
            self.restarts.record_cold(instance_id, time_left, now)
        self._log.write(
            "upstream_asked",
            instance_id=instance_id,
            statement=describe_statement(statement),
            cold_for_s=time_left.total_seconds(),
        )
        return True

    def get_health_path(self, upstream: Upstream) -> str:
        """Return the path of an upstream's health check, empty if there is none."""
        services = self.session_context.selector.services
        return services.get(upstream.service, DEFAULT_SERVICE_BOUNDS).health_path

    def apply_leaving_reports(self, hosts: Iterable[HostInfo], now: timedelta) -> None:
        """Apply what upstreams have said to other hosts.

        :param hosts: statements of live hosts.
        """
        for host in hosts:
            for instance_id, started_ms in host.leaving:
                if self.notices.record_leaving(instance_id, started_ms, is_own=False):
                    self._pool.close_idle(instance_id)
                    if self.registry.get(instance_id) is None:
                        self.notices.record_gone(instance_id, now)

    def check_absent_upstreams(self) -> None:
        """Try to connect to the upstreams that refuse connections."""
        for instance_id in self.restarts.list_absent():
            upstream = self.registry.get(instance_id)
            if upstream is None:
                self.restarts.forget(instance_id)
            else:
                self._pool.check_presence(upstream)

    def apply_restart_reports(self, hosts: Iterable[HostInfo], now: timedelta) -> None:
        """Apply what other hosts have seen of upstreams that returned.

        :param hosts: statements of live hosts.
        """
        reports = {host.host_id: host.restarted for host in hosts if host.restarted}
        for host_id, report in reports.items():
            known = self._reports_seen.get(host_id, ())
            for instance_id, left_ms in set(report).difference(known):
                upstream = self.registry.get(instance_id)
                if upstream is not None and host_id != self._host_id:
                    cold_time = self._get_cold_time(upstream)
                    time_left = min(cold_time, timedelta(milliseconds=left_ms))
                    self.restarts.record_reported(instance_id, time_left, now)
        self._reports_seen = reports

    def _record_refused(self, upstream: Upstream) -> None:
        is_listed = self.registry.get(upstream.instance_id) is not None
        if is_listed and self.restarts.record_refused(upstream.instance_id):
            self._log.write("upstream_absent", instance_id=upstream.instance_id)

    def _record_reached(self, upstream: Upstream, now: timedelta) -> None:
        cold_time = self._get_cold_time(upstream)
        if self.restarts.record_reached(upstream.instance_id, cold_time, now):
            # It is known to be a new process, so there is nothing to ask.
            self._pool.questions.record_settled(upstream.instance_id)
            self.notices.record_new_process(upstream.instance_id)
            self._log.write(
                "upstream_returned",
                instance_id=upstream.instance_id,
                cold_for_s=cold_time.total_seconds(),
            )

    def _get_cold_time(self, upstream: Upstream) -> timedelta:
        services = self.session_context.selector.services
        return services.get(upstream.service, DEFAULT_SERVICE_BOUNDS).cold_time

    def drop_missing_upstreams(self, now: timedelta) -> None:
        """Remove upstreams whose entries did not return within the grace period.

        :param now: current monotonic time.
        """
        self.notices.expire(now)
        if not self.registry.is_source_lost:
            # While nothing can be written, nothing counts as not written again.
            for change in self._held.take_due(now):
                self.apply(change, now)
        self._pool.questions.processes.keep_only(self.is_listed)
        for instance_id in self.registry.drop_missing(now):
            self._remove_upstream(instance_id, now)

    def is_listed(self, instance_id: str) -> bool:
        """Return whether an upstream is listed."""
        return self.registry.get(instance_id) is not None

    def _reject(self, key: str, reason: str) -> None:
        """Log an invalid item once, until a valid value replaces it."""
        if key not in self._rejected_keys:
            self._rejected_keys.add(key)
            self.rejected_count += 1
            self._log.write("item_rejected", key=key, reason=reason)

    def _remove_upstream(self, instance_id: str, now: timedelta) -> None:
        self._pool.close_idle(instance_id)
        self.session_context.selector.forget(instance_id, now)
        self._log.write("upstream_gone", instance_id=instance_id)

    def _record_evacuation(self, failure_domain: str, revision: int) -> None:
        known = self._evacuations.setdefault(
            failure_domain, deque(maxlen=MAX_REMEMBERED_EVACUATIONS)
        )
        if revision not in known:
            known.append(revision)

    def _replace_domains_out(self, domains_out: frozenset[str]) -> None:
        if domains_out != self.registry.domains_out:
            self.registry.domains_out = domains_out
            self._log.write("domains_out_changed", domains_out=sorted(domains_out))

    def _replace_configuration(
        self, configuration: ForwardingConfiguration, now: timedelta
    ) -> None:
        previous = self.configuration
        if previous is not None and configuration.version <= previous.version:
            return
        self.configuration = configuration
        self.caller_bounds.replace(configuration.callers, now)
        self.rules = RuleTable(configuration.rules)
        self.services = list_services(configuration.rules)
        self.session_context.selector.services = configuration.services
        names = frozenset(rule.name for rule in configuration.rules)
        self.session_context.times.keep_only(names)
        self._log.write(
            "configuration_in_force",
            version=configuration.version,
            replaced_version=None if previous is None else previous.version,
            rule_count=len(configuration.rules),
        )


def _get_subject(change: Change) -> str:
    """Return what a change is about, the same for an item and for its removal."""
    match change:
        case DomainEvacuated(failure_domain=domain):
            return f"domain {domain}"
        case DomainRestored(failure_domain=domain):
            return f"domain {domain}"
        case _:
            return change.key


def _read_budget_limits(settings: ForwardingSettings) -> BudgetLimits:
    return BudgetLimits(
        settings.extra_ratio, settings.extra_burst, settings.extra_window
    )
