"""Checks that nothing in force on a host goes back after a restore of its source."""

from datetime import timedelta

from celeryferry_core.forwarding.models import Upstream
from celeryferry_core.forwarding.positions import START, Position
from celeryferry_core.forwarding.registry import SOURCE_BACK_GRACE
from celeryferry_core.forwarding.restores import get_holding_time
from tests.daemon.restorable_source import DOMAIN_PREFIX
from tests.daemon.test_forwarding_sources import make_settings

HOLDING_TIME = get_holding_time(make_settings().heartbeat_interval)


class HostChecker:
    """Compares what is in force on a host with what it knew before.

    :param host: process whose state is compared.
    """

    def __init__(self, host) -> None:
        self._host = host
        self._version = 0
        self._position = Position()
        self._listed: dict[str, Upstream] = {}
        # Latest entry of each upstream that drains or was removed.
        self._known_bad: dict[str, Upstream] = {}
        self._domains_out: frozenset[str] = frozenset()
        # Positions at which domains were found back in service.
        self._returned_at: dict[str, Position] = {}

    def check(self) -> None:
        """Compare the present state with the previous one."""
        self._check_configuration()
        self._check_upstreams()
        self._check_domains()
        self._check_position()

    def _fail(self, text: str) -> None:
        self._host.fleet.violations.append(f"{self._host.host_id}: {text}")

    def _is_since_restore(self, duration: timedelta) -> bool:
        """Return whether a duration has passed since the latest restore."""
        restored_at = self._host.log.restored_at
        now = self._host.fleet.clock.monotonic()
        return restored_at is None or now - restored_at >= duration

    def _check_position(self) -> None:
        position = self._host.follower.position
        if position < self._position:
            self._fail(f"position {position} after {self._position}")
        self._position = position

    def _check_configuration(self) -> None:
        configuration = self._host.state.configuration
        version = 0 if configuration is None else configuration.version
        if version < self._version:
            self._fail(f"configuration {version} after {self._version}")
        self._version = version

    def _check_upstreams(self) -> None:
        registry = self._host.state.registry
        listed = {each.instance_id: each for each in registry.list_all()}
        for instance_id, known in self._listed.items():
            if instance_id not in listed:
                self._known_bad.setdefault(instance_id, known)
                if self._is_alive(known) and not self._is_since_restore(
                    SOURCE_BACK_GRACE
                ):
                    self._fail(f"{instance_id} is dropped within the grace period")
        for instance_id, upstream in listed.items():
            if upstream.is_draining:
                self._known_bad[instance_id] = upstream
                continue
            known = self._known_bad.pop(instance_id, None)
            if known is None or upstream.order > known.order:
                continue
            if not self._is_since_restore(HOLDING_TIME):
                self._fail(f"{instance_id} is ready by {upstream}, after {known}")
        self._listed = listed

    def _is_alive(self, upstream: Upstream) -> bool:
        """Return whether the process that an entry describes has not ended."""
        process = self._host.fleet.upstreams.get(upstream.instance_id)
        return process is not None and process.started_ms == upstream.started_ms

    def _check_domains(self) -> None:
        domains_out = self._host.state.registry.domains_out
        for domain in self._domains_out - domains_out:
            if not (
                self._is_taken_back(domain) or self._is_since_restore(SOURCE_BACK_GRACE)
            ):
                self._fail(f"domain {domain} is back in service")
            self._returned_at[domain] = self._host.follower.position
        for domain in domains_out - self._domains_out:
            item = self._host.follower._items.get(DOMAIN_PREFIX + domain)
            era = self._host.follower.position.era
            returned_at = self._returned_at.get(domain, START)
            is_old = (
                item is None
                or self._host.fleet.source.find_origin(era, item) <= returned_at
            )
            if is_old and not self._is_since_restore(SOURCE_BACK_GRACE):
                self._fail(f"domain {domain} is out by an old item")
        self._domains_out = domains_out

    def _is_taken_back(self, domain: str) -> bool:
        """Return whether the item was removed since the previous check.

        A listing may hold changes beyond its revision, so all removals in this era
        after the previous check count.
        """
        era = self._host.follower.position.era
        return any(
            position.era == era and position > self._position
            for position, item in self._host.fleet.source.written
            if item.key == DOMAIN_PREFIX + domain and item.value is None
        )
